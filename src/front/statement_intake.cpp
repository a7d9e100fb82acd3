#include "front/statement_intake.hpp"

#include <algorithm>
#include <optional>

#include "decide/client_time_left.hpp"

namespace gatetiller::front {
namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusPayloadTooLarge = 413;
constexpr int kStatusTooManyRequests = 429;

std::vector<std::string> tenant_names(const PolicySettings& settings) {
    std::vector<std::string> names;
    for (const auto& tenant : settings.tenants)
        names.push_back(tenant.name);
    return names;
}

std::optional<Rejection> rejection_of(decide::AdmissionVerdict verdict,
                                      const decide::StatementLimits& limits) {
    switch (verdict) {
        case decide::AdmissionVerdict::admitted:
            return std::nullopt;
        case decide::AdmissionVerdict::gateway_full:
            return Rejection{RejectionReason::front_full, kStatusTooManyRequests,
                             "too many statements at this front"};
        case decide::AdmissionVerdict::user_limit_reached:
            return Rejection{RejectionReason::user_full, kStatusTooManyRequests,
                             "too many statements of this user"};
        case decide::AdmissionVerdict::statement_too_long:
            return Rejection{RejectionReason::statement_too_long, kStatusPayloadTooLarge,
                             "a statement of over " + std::to_string(limits.statement_bytes) + " bytes"};
    }
    return std::nullopt;
}

}  // namespace

StatementIntake::StatementIntake(net::Loop& loop, const config::FrontSettings& settings)
    : loop_(loop),
      settings_(settings),
      router_(settings.routes, tenant_names(settings.module)),
      admission_(settings.holding),
      teams_(settings.budgets.rules, {}),
      quota_(settings.budgets.quota, settings.budgets.budgets) {}

std::variant<AcceptedStatement, Rejection> StatementIntake::admit(const statement::Submission& submission) {
    const auto& context = submission.context;
    auto route = router_.route(
        {context.user, context.source, context.catalog, context.schema, context.trace_token, context.tags});
    if (!route)
        return Rejection{
            RejectionReason::no_route, kStatusBadRequest,
            "no route takes this statement: user '" + context.user + "', source '" + context.source + "'"};
    AcceptedStatement accepted;
    accepted.route_tenant = route->tenant;
    if (quota_.has_budgets()) {
        accepted.team =
            teams_.team_of({context.user, context.source,
                            decide::join_tags_without_key(context.tags, route->key), "", route->tenant},
                           0);
        const auto state = quota_.state(accepted.team, loop_.now());
        if (state == decide::QuotaState::over_hard_limit)
            return Rejection{RejectionReason::over_budget, kStatusTooManyRequests,
                             "team '" + accepted.team + "' has used up its budget",
                             quota_.retry_after(accepted.team, loop_.now())};
        if (state == decide::QuotaState::over_soft_limit)
            route->tenant = settings_.budgets.over;
    }
    auto rejection = rejection_of(admission_.admit(context.user, submission.sql.size()), admission_.limits());
    if (rejection)
        return *std::move(rejection);
    const auto& classes = settings_.module.classes;
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const ClassSettings& candidate) {
        return candidate.name == route->cls;
    });
    const Micros time_limit =
        context.run_limit > 0 ? std::min(context.run_limit, found->deadline) : found->deadline;
    accepted.class_settings = &*found;
    accepted.time_left = decide::client_time_left(time_limit, loop_.input_delay(), settings_.answer_reserve);
    accepted.route = std::move(*route);
    return accepted;
}

void StatementIntake::record_use(const std::string& team, Micros core_time) {
    quota_.record_use(team, loop_.now(), core_time);
}

void StatementIntake::restore_use(const decide::Requester& requester, Micros ago, Micros core_time) {
    const auto& team =
        teams_.team_of({requester.user, requester.source, requester.tags, "", requester.tenant}, 0);
    quota_.restore(team, loop_.now(), ago, core_time);
}

void StatementIntake::reload_routes() {
    router_ = decide::Router(settings_.routes, tenant_names(settings_.module));
}

}  // namespace gatetiller::front
