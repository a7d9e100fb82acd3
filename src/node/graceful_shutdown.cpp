#include "node/graceful_shutdown.hpp"

#include <utility>

namespace gatetiller::node {
namespace {

constexpr Micros kCheckInterval = 20 * kMillisecond;

}  // namespace

GracefulShutdown::GracefulShutdown(net::Loop& loop, const PolicySettings& settings, ClientSessions& clients,
                                   Events events)
    : loop_(loop),
      clients_(clients),
      events_(std::move(events)),
      schedule_(decide::derive_shutdown_schedule(settings)) {}

GracefulShutdown::~GracefulShutdown() {
    loop_.cancel(timer_);
}

void GracefulShutdown::begin() {
    began_at_ = loop_.now();
    clients_.resume_accepting();
    advance();
}

Micros GracefulShutdown::draining_for() const {
    return has_begun() ? loop_.now() - began_at_ : 0;
}

void GracefulShutdown::advance() {
    const Micros elapsed = draining_for();
    if (elapsed >= schedule_.final_responses_at)
        events_.on_final_responses_due();
    if (elapsed >= schedule_.admit_until)
        clients_.close_idle();
    if (elapsed >= schedule_.listen_until)
        clients_.close_listener(elapsed >= schedule_.exit_at);
    const bool nothing_left = elapsed >= schedule_.listen_until && !clients_.is_listening() &&
                              !events_.has_requests() && clients_.connections() == 0;
    if (nothing_left || elapsed >= schedule_.exit_at)
        return events_.on_done();
    timer_ = loop_.after(kCheckInterval, [this] {
        advance();
    });
}

}  // namespace gatetiller::node
