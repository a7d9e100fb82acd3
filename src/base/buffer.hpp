// A byte queue in one contiguous block: appended at the end, consumed at the front. Views are valid until the
// next change of the buffer. An empty buffer gives back the memory of a large message.
#pragma once

#include <cassert>
#include <cstddef>
#include <string>
#include <string_view>

namespace gatetiller {

class Buffer {
public:
    void append(std::string_view bytes) {
        if (start_ > 0 && start_ >= held_.size() / 2)
            compact();
        held_.append(bytes);
    }
    void append(std::string&& bytes) {
        if (empty()) {
            held_ = std::move(bytes);
            start_ = 0;
        } else {
            append(std::string_view(bytes));
        }
    }
    void consume(std::size_t n) {
        assert(n <= size());
        start_ += n;
        if (start_ == held_.size())
            clear();
    }
    void erase(std::size_t at, std::size_t n) {  // from the middle; views are no good any more
        assert(at + n <= size());
        held_.erase(start_ + at, n);
        if (start_ == held_.size())
            clear();
    }
    void replace(std::size_t at, std::size_t n, std::string_view bytes) {  // in the middle; likewise
        assert(at + n <= size());
        held_.replace(start_ + at, n, bytes);
    }
    void clear() {
        held_.clear();
        start_ = 0;
        if (held_.capacity() > kRetainedCapacityBytes)
            held_.shrink_to_fit();
    }
    std::string_view view() const {
        return std::string_view(held_).substr(start_);
    }
    std::size_t size() const {
        return held_.size() - start_;
    }
    bool empty() const {
        return size() == 0;
    }

private:
    static constexpr std::size_t kRetainedCapacityBytes = 4096;
    void compact() {
        held_.erase(0, start_);
        start_ = 0;
    }

    std::string held_;
    std::size_t start_ = 0;
};

}  // namespace gatetiller
