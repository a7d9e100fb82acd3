// The one guard of starting: a process says that it is ready only with a permit of this guard.
#pragma once

#include <optional>

#include "decide/invariants.hpp"

namespace gatetiller::decide {

struct ReadinessContext {
    bool has_endpoints = false;    // of engines, from the configuration or a source
    bool is_listening = false;     // for clients
    bool handles_signals = false;  // to end, to reload
};

class ReadyPermit {
    ReadyPermit() = default;
    friend class ReadinessGuard;
};

class ReadinessGuard {
public:
    static std::optional<Invariant> find_violation(const ReadinessContext& facts) {
        if (!facts.has_endpoints)
            return Invariant::ready_without_endpoints;
        if (!facts.is_listening)
            return Invariant::ready_without_listener;
        if (!facts.handles_signals)
            return Invariant::ready_without_signals;
        return std::nullopt;
    }
    static std::optional<ReadyPermit> permit(const ReadinessContext& facts) {
        return find_violation(facts) ? std::nullopt : std::optional(ReadyPermit());
    }
};

}  // namespace gatetiller::decide
