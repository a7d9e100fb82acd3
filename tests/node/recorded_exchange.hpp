// The caller of an exchange with an engine, and the permit that sending requires.
#pragma once

#include <optional>
#include <string>

#include "decide/attempt_guard.hpp"
#include "node/exchange.hpp"

namespace gatetiller::testing {

// Records how an exchange ends.
struct RecordedEvents final : node::Exchange::Events {
    void on_progress(ProgressKind, double) override {}
    void on_end(decide::ExchangeResult e) override {
        status = e.status, detail = e.detail;
    }
    std::string detail;
    std::optional<node::Exchange::Request> current_request() override {
        return needed ? std::optional(node::Exchange::Request{"-", body}) : std::nullopt;
    }
    bool may_begin(std::uint64_t) override {
        return allowed;
    }
    bool allowed = true;
    bool needed = true;
    std::optional<decide::ExchangeResult::Status> status;
    std::string body = std::string(40'000, 'x');
};

// Returns the guard's permit for a first attempt at a listed engine.
inline decide::AttemptPermit permit() {
    static const PolicySettings settings = [] {
        PolicySettings s;
        s.max_attempts = 1;
        return s;
    }();
    decide::AttemptContext facts;
    facts.time_left = kSecondMicros, facts.target.listed = true;
    return *decide::AttemptGuard(settings).permit(facts, ClassSettings{}, std::nullopt);
}

}  // namespace gatetiller::testing
