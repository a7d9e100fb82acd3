#include "decide/statement_admission.hpp"

#include <cassert>

namespace gatetiller::decide {

AdmissionVerdict StatementAdmission::admit(const std::string& user, std::size_t text_bytes) {
    if (text_bytes > limits_.statement_bytes)
        return AdmissionVerdict::statement_too_long;
    if (statements_ >= limits_.statements || statement_bytes_ + text_bytes > limits_.total_statement_bytes)
        return AdmissionVerdict::gateway_full;
    std::size_t& statements_of_user = statements_by_user_[user];
    if (statements_of_user >= limits_.statements_per_user)
        return AdmissionVerdict::user_limit_reached;
    ++statements_of_user;
    ++statements_;
    statement_bytes_ += text_bytes;
    return AdmissionVerdict::admitted;
}

void StatementAdmission::release(const std::string& user, std::size_t text_bytes) {
    const auto found = statements_by_user_.find(user);
    assert(found != statements_by_user_.end() && statements_ > 0 && statement_bytes_ >= text_bytes);
    --statements_;
    statement_bytes_ -= text_bytes;
    --found->second;
    if (found->second == 0)
        statements_by_user_.erase(found);
}

}  // namespace gatetiller::decide
