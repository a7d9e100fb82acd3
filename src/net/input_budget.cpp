#include "net/input_budget.hpp"

namespace gatetiller::net {

void InputBudget::update(Holder holder, std::size_t bytes, bool discardable) {
    const auto found = by_holder_.find(holder);
    if (found != by_holder_.end())
        held_ -= found->second.bytes;
    held_ += bytes;
    if (bytes > 0)
        by_holder_[holder] = {bytes, discardable};
    else if (found != by_holder_.end())
        by_holder_.erase(found);
}

std::optional<InputBudget::Holder> InputBudget::select_discard() const {
    if (!exceeded())
        return std::nullopt;
    std::optional<Holder> largest;
    std::size_t most = 0;
    for (const auto& [holder, held] : by_holder_) {
        if (!held.discardable || held.bytes < kAllowanceBytes || held.bytes <= most)
            continue;
        most = held.bytes;
        largest = holder;
    }
    return largest;
}

}  // namespace gatetiller::net
