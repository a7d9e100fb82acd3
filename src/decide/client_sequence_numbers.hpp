// The numbers of one client connection's requests, as the platform's protocol has them: they climb, and at
// most 32 are open. Whoever breaks this can't be told apart from itself any more: an answer under a number
// that stands for two requests may be read as the other's.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

namespace gatetiller::decide {

class ClientSequenceNumbers {
public:
    static constexpr std::size_t kMaxOpen = 32;
    enum class Verdict {
        accepted,
        not_increasing,
        too_many_open
    };
    Verdict accept(std::int32_t number);
    // Answered, or taken back: no answer is owed under it any more. False where none was.
    bool release(std::int32_t number) {
        return open_.erase(number) > 0;
    }
    std::set<std::int32_t> release_all();  // those that were open
    std::size_t open_count() const {
        return open_.size();
    }

private:
    std::set<std::int32_t> open_;
    std::int32_t last_ = 0;
};

}  // namespace gatetiller::decide
