#include "policy/slow_start.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kUsedBudgetShare =
    0.6;  // used share of the platform's budget, because the speeds of endpoints vary
constexpr double kCountedCoreShare = 0.85;  // share of an endpoint's cores that counts as capacity
constexpr double kLargestDrawnShare = 0.1;  // of the budget, for a query admitted by random draw

}  // namespace

bool in_slow_start(const PolicySettings& settings, Micros started_at, Micros now) {
    return started_at > 0 && now < started_at + settings.slow_start_window;
}

double warm_capacity_share(const PolicySettings& settings, Micros started_at, Micros now) {
    const double warm =
        in_slow_start(settings, started_at, now)
            ? static_cast<double>(now - started_at) / static_cast<double>(settings.slow_start_window)
            : 1;
    return settings.slow_start_capacity_share + (1 - settings.slow_start_capacity_share) * warm;
}

double slow_start_budget(const PolicySettings& settings, double cores) {
    return kUsedBudgetShare * settings.overload_factor * settings.slow_start_capacity_share *
           kCountedCoreShare * cores * static_cast<double>(settings.overload_window);
}

bool SlowStartUse::admits(const SlowStartRequest& request) const {
    const double work = sent_.empty() ? request.first_work : request.work;
    const double part = request.budget / request.gateway_count;
    double sum = work;
    for (const auto& [at, sent_work] : sent_)
        sum += sent_work;
    if (sum <= part)
        return true;
    return sent_.empty() && work <= kLargestDrawnShare * request.budget && draw_ * work <= part;
}

void SlowStartUse::add(Micros now, double work) {
    sent_.emplace_back(now, work);
}

void SlowStartUse::expire(Micros window_start) {
    while (!sent_.empty() && sent_.front().first < window_start)
        sent_.pop_front();
}

bool SlowStartUse::draw_expired(Micros now) const {
    return now >= draw_until_;
}

void SlowStartUse::set_draw(double draw, Micros until) {
    draw_ = draw;
    draw_until_ = until;
}

}  // namespace gatetiller::policy
