// Byte queue in one contiguous block: bytes are appended at the end and consumed at the front. Views are
// valid until the next modification. A buffer that becomes empty releases the memory of a large message, and
// release_spare_capacity() that of the part consumed already.
#pragma once

#include <cassert>
#include <cstddef>
#include <string>
#include <string_view>

namespace gatetiller {

class Buffer {
public:
    void append(std::string_view bytes) {
        if (start_ > 0 && (start_ >= bytes_.size() / 2 || should_compact_before(bytes.size())))
            compact();
        bytes_.append(bytes);
    }
    void append(std::string&& bytes) {
        if (empty()) {
            bytes_ = std::move(bytes);
            start_ = 0;
        } else {
            append(std::string_view(bytes));
        }
    }
    void consume(std::size_t n) {
        assert(n <= size());
        start_ += n;
        if (start_ == bytes_.size())
            clear();
    }
    // Removes `n` bytes at offset `at`. Invalidates views.
    void erase(std::size_t at, std::size_t n) {
        assert(at + n <= size());
        bytes_.erase(start_ + at, n);
        if (start_ == bytes_.size())
            clear();
    }
    // Replaces `n` bytes at offset `at` by `bytes`. Invalidates views.
    void replace(std::size_t at, std::size_t n, std::string_view bytes) {
        assert(at + n <= size());
        bytes_.replace(start_ + at, n, bytes);
    }
    void clear() {
        bytes_.clear();
        start_ = 0;
        if (bytes_.capacity() > kRetainedCapacityBytes)
            std::string().swap(bytes_);
    }
    // Moves the bytes to a smaller block if less than half of the present one is in use. Invalidates views.
    void release_spare_capacity() {
        if (bytes_.capacity() <= kRetainedCapacityBytes || bytes_.capacity() <= 2 * size())
            return;
        std::string smaller(view());
        bytes_.swap(smaller);
        start_ = 0;
    }
    // Returns the bytes of memory that the buffer occupies while it is not empty; 0 while it is.
    std::size_t memory() const {
        return empty() ? 0 : bytes_.capacity();
    }
    std::string_view view() const {
        return std::string_view(bytes_).substr(start_);
    }
    std::size_t size() const {
        return bytes_.size() - start_;
    }
    bool empty() const {
        return size() == 0;
    }

private:
    static constexpr std::size_t kRetainedCapacityBytes = 1024;
    static constexpr std::size_t kCheapMoveBytes = 16'384;
    // Whether moving a few bytes saves a larger block.
    bool should_compact_before(std::size_t appended) const {
        return size() <= kCheapMoveBytes && bytes_.size() + appended > bytes_.capacity();
    }
    void compact() {
        bytes_.erase(0, start_);
        start_ = 0;
    }

    std::string bytes_;
    std::size_t start_ = 0;
};

}  // namespace gatetiller
