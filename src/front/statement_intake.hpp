// Accepts or rejects submitted statements according to their routes, the budgets of their teams and the
// limits of this front. Owns the number of statements by user and the use of the budgets.
#pragma once

#include <string>
#include <variant>

#include "config/settings.hpp"
#include "decide/quota.hpp"
#include "decide/routing.hpp"
#include "decide/statement_admission.hpp"
#include "front/statement_outcome.hpp"
#include "statement/server.hpp"

namespace gatetiller::front {

struct AcceptedStatement {
    decide::RoutingResult route;  // its tenant is the one that the policy counts
    std::string route_tenant;     // tenant of the route; differs from route.tenant over a soft budget
    std::string team;             // team whose budget the statement is charged to; empty: none
    const ClassSettings* class_settings = nullptr;
    Micros time_left = 0;  // until its deadline, in microseconds
};

struct Rejection {
    RejectionReason reason = RejectionReason::draining;
    int status = 0;  // HTTP status of the response
    std::string text;
    Micros retry_after = 0;  // in microseconds; 0: the default of the settings
};

class StatementIntake {
public:
    // The loop and the settings outlive the intake.
    StatementIntake(net::Loop& loop, const config::FrontSettings& settings);

    // An accepted statement counts towards its user's limit until `release`.
    std::variant<AcceptedStatement, Rejection> admit(const statement::Submission& submission);
    void release(const statement::Submission& submission) {
        admission_.release(submission.context.user, submission.sql.size());
    }
    // Returns whether more rows of a statement may be requested from its engine. `waiting_bytes`,
    // `total_waiting_bytes`: size of the rows that wait for its client and for all clients.
    bool can_fetch_more(std::size_t waiting_bytes, std::size_t total_waiting_bytes) const {
        return admission_.can_fetch_more(waiting_bytes, total_waiting_bytes);
    }
    // Charges the core time of an attempt that has just ended to a team's budget.
    void record_use(const std::string& team, Micros core_time);
    // Charges core time used in an earlier incarnation, `ago` microseconds before now.
    void restore_use(const decide::Requester& requester, Micros ago, Micros core_time);
    // Applies the changed routes of the settings.
    void reload_routes();

private:
    net::Loop& loop_;
    const config::FrontSettings& settings_;
    decide::Router router_;
    decide::StatementAdmission admission_;
    decide::Teams teams_;
    decide::Quota quota_;
};

}  // namespace gatetiller::front
