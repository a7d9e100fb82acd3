#include "policy/slow_start.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kUsedBudgetShare =
    0.6;  // used share of the platform's budget, because the speeds of endpoints vary
constexpr double kCountedCoreShare = 0.85;  // share of an endpoint's cores that counts as capacity
constexpr double kMaxDrawnShare = 0.1;      // of the budget, for a query admitted by random draw

}  // namespace

bool in_slow_start(const PolicySettings& settings, Micros started_at, Micros now) {
    return started_at > 0 && now < started_at + settings.slow_start_window;
}

double warm_capacity_share(const PolicySettings& settings, Micros started_at, Micros now) {
    const double elapsed_share =
        in_slow_start(settings, started_at, now)
            ? static_cast<double>(now - started_at) / static_cast<double>(settings.slow_start_window)
            : 1;
    return settings.slow_start_capacity_share + (1 - settings.slow_start_capacity_share) * elapsed_share;
}

double slow_start_budget(const PolicySettings& settings, double cores) {
    return kUsedBudgetShare * settings.overload_factor * settings.slow_start_capacity_share *
           kCountedCoreShare * cores * static_cast<double>(settings.overload_window);
}

bool SlowStartUsage::admits(const SlowStartRequest& request) const {
    const double work = sent_.empty() ? request.first_work : request.work;
    const double share = request.budget / request.gateway_count;
    double sum = work;
    for (const auto& [at, sent_work] : sent_)
        sum += sent_work;
    if (sum <= share)
        return true;
    return sent_.empty() && work <= kMaxDrawnShare * request.budget && draw_ * work <= share;
}

void SlowStartUsage::add(Micros now, double work) {
    sent_.emplace_back(now, work);
}

void SlowStartUsage::expire(Micros window_start) {
    while (!sent_.empty() && sent_.front().first < window_start)
        sent_.pop_front();
}

bool SlowStartUsage::draw_expired(Micros now) const {
    return now >= draw_until_;
}

void SlowStartUsage::set_draw(double draw, Micros until) {
    draw_ = draw;
    draw_until_ = until;
}

}  // namespace gatetiller::policy
