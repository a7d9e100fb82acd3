// A client request that a front node has accepted and not yet released, with its attempts at engines. Plain
// data: request_dispatcher.hpp and attempt_dispatcher.hpp operate on it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decide/request_lifecycle.hpp"
#include "net/loop.hpp"
#include "node/client_sessions.hpp"
#include "node/exchange.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

struct ActiveRequest;
struct Attempt;

// Receives the events of an attempt's exchange; see Exchange::Events.
class AttemptHandler {
public:
    virtual ~AttemptHandler() = default;
    virtual void on_progress(Attempt& attempt, ProgressKind kind, double value) = 0;
    virtual void on_end(Attempt& attempt, decide::ExchangeResult result) = 0;
    virtual std::optional<Exchange::Request> current_request(const Attempt& attempt) = 0;
    virtual bool may_begin(const Attempt& attempt, std::uint64_t connection) = 0;
};

// Timestamps are on the loop's clock, in microseconds.
struct Attempt final : Exchange::Events {
    Attempt(AttemptHandler& handler_in, net::Loop& loop_in, ActiveRequest& request_in, int number_in,
            EngineId engine_in)
        : handler(handler_in),
          loop(loop_in),
          request(request_in),
          number(number_in),
          engine(engine_in),
          dispatched_at(loop_in.now()) {}
    ~Attempt() override {
        cancel_timers();
    }
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    void cancel_timers() {
        loop.cancel(std::exchange(timeout_timer, 0));
        loop.cancel(std::exchange(retry_window_timer, 0));
    }

    void on_progress(ProgressKind kind, double value) override {
        handler.on_progress(*this, kind, value);
    }
    void on_end(decide::ExchangeResult result) override {
        handler.on_end(*this, std::move(result));
    }
    std::optional<Exchange::Request> current_request() override {
        return handler.current_request(*this);
    }
    bool may_begin(std::uint64_t connection) override {
        return handler.may_begin(*this, connection);
    }

    AttemptHandler& handler;
    net::Loop& loop;
    ActiveRequest& request;
    int number;  // 0 for the request's first attempt
    EngineId engine;
    Micros dispatched_at;
    Micros expires_at = 0;
    net::TimerId timeout_timer = 0;
    net::TimerId retry_window_timer = 0;  // fires when a retry can no longer arrive within its key window
    Micros last_progress_at = 0;          // for logs
    int progress_updates = 0;             // for logs
    bool in_flight = false;               // counted as in flight by the request's lifecycle
    bool ended = false;
    std::unique_ptr<Exchange> exchange;  // null: not sent, or ended
};

// An ended attempt that the engine may have executed.
struct PossibleExecution {
    Micros dispatched_at = 0;
    std::string zone;       // the engine's
    std::int64_t cell = 0;  // the engine's
};

// Timestamps are on the loop's clock, in microseconds.
struct ActiveRequest {
    std::string id;
    std::string idempotency_key;  // empty: none
    std::string body;
    const ClassSettings* class_settings = nullptr;
    std::string tenant;
    ClientId client = 0;
    std::int32_t sequence = 0;  // sequence number of the client's call
    Micros arrived_at = 0;
    Micros deadline = 0;
    double granted_memory_mb = 0;  // 0: the engine chooses
    int priority = 1;
    std::vector<std::unique_ptr<Attempt>> attempts;
    std::optional<PossibleExecution> first_possible_execution;
    decide::RequestLifecycle lifecycle;
    bool client_disconnected = false;

    Attempt* attempt_in_flight() {
        return lifecycle.attempt_in_flight() ? attempts.back().get() : nullptr;
    }
    // The request's name in log lines.
    std::string name() const {
        return id + " " + class_settings->name;
    }
};

}  // namespace gatetiller::node
