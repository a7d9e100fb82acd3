#include "front/graceful_shutdown.hpp"

#include <utility>

namespace gatetiller::front {
namespace {

constexpr Micros kStatementCheckInterval = 50 * kMillisecond;
constexpr Micros kLostPollGrace = 300 * kMillisecond;  // for clients that did not receive the final document

}  // namespace

GracefulShutdown::GracefulShutdown(net::Loop& loop, Micros timeout, Actions actions)
    : loop_(loop), timeout_(timeout), actions_(std::move(actions)) {}

GracefulShutdown::~GracefulShutdown() {
    loop_.cancel(timer_);
}

void GracefulShutdown::begin(std::function<void()> done) {
    if (done && finished_)
        return done();
    if (done)
        done_ = std::move(done);
    if (std::exchange(begun_, true))
        return;
    actions_.log("draining: " + std::to_string(actions_.active_statements()) + " active statements");
    deadline_ = loop_.now() + timeout_;
    wait_for_statements();
}

void GracefulShutdown::wait_for_statements() {
    if (actions_.active_statements() > 0 && loop_.now() < deadline_) {
        timer_ = loop_.after(kStatementCheckInterval, [this] {
            wait_for_statements();
        });
        return;
    }
    timer_ = loop_.after(kLostPollGrace, [this] {
        finish();
    });
}

void GracefulShutdown::finish() {
    finished_ = true;
    actions_.drain_server();
    actions_.log("drained: " + std::to_string(actions_.active_statements()) + " statements unfinished");
    if (done_)
        done_();
}

}  // namespace gatetiller::front
