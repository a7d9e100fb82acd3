// Accepts or rejects a submitted statement, by its route, its team's budget and this front's limits. Owns the
// counts behind these: statements by user, and use of the budgets.
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
    std::string route_tenant;     // by the route alone; another one over a soft budget
    std::string team;             // whose budget it counts on; empty: none
    const ClassSettings* class_settings = nullptr;
    Micros time_left = 0;  // until its deadline
};

struct Rejection {
    RejectionReason reason = RejectionReason::draining;
    int status = 0;  // of the HTTP response
    std::string text;
    Micros retry_after = 0;  // 0: the hint of the settings
};

class StatementIntake {
public:
    // The loop and the settings outlive the intake.
    StatementIntake(net::Loop& loop, const config::FrontSettings& settings);

    // An accepted statement counts for its user until it is released.
    std::variant<AcceptedStatement, Rejection> admit(const statement::Submission& submission);
    void release(const std::string& user) {
        admission_.release(user);
    }
    // Whether a statement's engine may be asked for more rows, given the bytes that wait for its client and
    // for all clients.
    bool can_fetch_more(std::size_t waiting_bytes, std::size_t total_waiting_bytes) const {
        return admission_.can_fetch_more(waiting_bytes, total_waiting_bytes);
    }
    // Core time of an attempt that ended now.
    void record_use(const std::string& team, Micros core_time);
    // Core time of an earlier incarnation, so long ago.
    void restore_use(const decide::Requester& requester, Micros ago, Micros core_time);
    // Takes over the routes of the settings, which have changed.
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
