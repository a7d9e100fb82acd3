// Byte queue in one contiguous block: bytes are appended at the end and consumed at the front. Views are
// valid until the next modification. A buffer that becomes empty releases the memory of a large message.
#pragma once

#include <cassert>
#include <cstddef>
#include <string>
#include <string_view>

namespace gatetiller {

class Buffer {
public:
    void append(std::string_view bytes) {
        if (start_ > 0 && start_ >= bytes_.size() / 2)
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
            bytes_.shrink_to_fit();
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
    static constexpr std::size_t kRetainedCapacityBytes = 4096;
    void compact() {
        bytes_.erase(0, start_);
        start_ = 0;
    }

    std::string bytes_;
    std::size_t start_ = 0;
};

}  // namespace gatetiller
