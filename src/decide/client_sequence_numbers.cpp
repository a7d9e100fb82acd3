#include "decide/client_sequence_numbers.hpp"

#include <utility>

namespace gatetiller::decide {

ClientSequenceNumbers::Verdict ClientSequenceNumbers::accept(std::int32_t number) {
    if (number <= last_accepted_)
        return Verdict::not_increasing;
    if (open_.size() >= kMaxOpen)
        return Verdict::too_many_open;
    last_accepted_ = number;
    open_.insert(number);
    return Verdict::accepted;
}

std::set<std::int32_t> ClientSequenceNumbers::release_all() {
    return std::exchange(open_, {});
}

}  // namespace gatetiller::decide
