// The sequence numbers of the requests on one client connection.
//
// The platform's protocol requires that they increase and that at most 32 are open. A connection that
// violates this must be closed: where two requests have one number, the response to one may be read as the
// response to the other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

namespace gatetiller::decide {

class ClientSequenceNumbers {
public:
    // Open numbers on one connection.
    static constexpr std::size_t kMaxOpen = 32;
    enum class Verdict {
        // The number is open now.
        accepted,
        // It is not greater than the last accepted number, or than 0.
        not_increasing,
        // kMaxOpen numbers are open.
        too_many_open
    };
    // A request with this number arrived.
    Verdict accept(std::int32_t number);
    // The request was cancelled or has its final response. False where the number is not open.
    bool release(std::int32_t number) {
        return open_.erase(number) > 0;
    }
    // Releases all open numbers and returns them.
    std::set<std::int32_t> release_all();
    std::size_t open_count() const {
        return open_.size();
    }

private:
    std::set<std::int32_t> open_;
    std::int32_t last_accepted_ = 0;
};

}  // namespace gatetiller::decide
