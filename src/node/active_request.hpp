// A request that a front node has accepted and whose response it owes, with its attempts at engines. Plain
// data: request_dispatcher.hpp and attempt_dispatcher.hpp act on it.
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

// What an attempt's exchange reports goes here; see Exchange::Events.
class AttemptHandler {
public:
    virtual ~AttemptHandler() = default;
    virtual void on_progress(Attempt& attempt, ProgressKind kind, double value) = 0;
    virtual void on_end(Attempt& attempt, decide::ExchangeResult result) = 0;
    virtual std::optional<Exchange::Request> current_request(const Attempt& attempt) = 0;
    virtual bool may_begin(const Attempt& attempt, std::uint64_t connection) = 0;
};

// Times are the loop's.
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
    int number;  // from 0
    EngineId engine;
    Micros dispatched_at;
    Micros expires_at = 0;
    net::TimerId timeout_timer = 0;
    net::TimerId retry_window_timer = 0;  // when a retry must have been sent, so that its key still counts
    Micros last_progress_at = 0;          // for logs, as is the next
    int progress_updates = 0;
    bool in_flight = false;  // it is the one that the request's lifecycle counts
    bool over = false;
    std::unique_ptr<Exchange> exchange;  // null: not sent, or over
};

// An attempt that is over and may have run.
struct PossibleExecution {
    Micros dispatched_at = 0;
    std::string zone;  // of its engine
    std::int64_t cell = 0;
};

// Times are the loop's.
struct ActiveRequest {
    std::string id;
    std::string idempotency_key;  // empty: none
    std::string body;
    const ClassSettings* class_settings = nullptr;
    std::string tenant;
    ClientId client = 0;
    std::int32_t sequence = 0;  // of the client's call
    Micros arrived_at = 0;
    Micros deadline = 0;
    double granted_memory_mb = 0;  // 0: the engine's own choice
    int priority = 1;
    std::vector<std::unique_ptr<Attempt>> attempts;
    std::optional<PossibleExecution> first_possible_execution;
    decide::RequestLifecycle lifecycle;
    bool client_disconnected = false;

    Attempt* attempt_in_flight() {
        return lifecycle.attempt_in_flight() ? attempts.back().get() : nullptr;
    }
    // For logs.
    std::string name() const {
        return id + " " + class_settings->name;
    }
};

}  // namespace gatetiller::node
