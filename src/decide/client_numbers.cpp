#include "decide/client_numbers.hpp"

#include <utility>

namespace gatetiller::decide {

ClientNumbers::Verdict ClientNumbers::take(std::int32_t number) {
    if (number <= last_)
        return Verdict::not_climbing;
    if (open_.size() >= kOpenMost)
        return Verdict::too_many;
    last_ = number;
    open_.insert(number);
    return Verdict::taken;
}

std::set<std::int32_t> ClientNumbers::end_all() {
    return std::exchange(open_, {});
}

}  // namespace gatetiller::decide
