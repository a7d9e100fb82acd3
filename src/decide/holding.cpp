#include "decide/holding.hpp"

#include <cassert>

namespace gatetiller::decide {

Admission Holding::admit(const std::string& user, std::size_t text_bytes) {
    if (text_bytes > limits_.statement_bytes)
        return Admission::too_long;
    if (statements_ >= limits_.statements)
        return Admission::front_full;
    std::size_t& mine = by_user_[user];
    if (mine >= limits_.statements_per_user)
        return Admission::user_full;
    ++mine, ++statements_;
    return Admission::taken;
}

void Holding::finished(const std::string& user) {
    const auto found = by_user_.find(user);
    assert(found != by_user_.end() && statements_ > 0);
    --statements_;
    if (--found->second == 0)
        by_user_.erase(found);
}

}  // namespace gatetiller::decide
