// Guard of readiness: decides whether a process may report that it is ready to serve clients.
//
// The verdict is the violated invariant (invariants.hpp), or none.
//
// Invariant: readiness is reported only against a ReadyPermit, and only ReadinessGuard creates permits.
#pragma once

#include <optional>

#include "decide/invariants.hpp"

namespace gatetiller::decide {

// What ReadinessGuard considers about the process.
struct ReadinessContext {
    // An endpoint list is loaded, from the configuration or from a discovery source.
    bool has_endpoints = false;
    // Clients can connect.
    bool is_listening = false;
    // The signals for shutdown and reload are handled.
    bool handles_signals = false;
};

// Proof that ReadinessGuard admitted the report.
class ReadyPermit {
    ReadyPermit() = default;
    friend class ReadinessGuard;
};

class ReadinessGuard {
public:
    // The first invariant that reporting readiness would violate, or nothing.
    static std::optional<Invariant> find_violation(const ReadinessContext& context) {
        if (!context.has_endpoints)
            return Invariant::ready_without_endpoints;
        if (!context.is_listening)
            return Invariant::ready_without_listener;
        if (!context.handles_signals)
            return Invariant::ready_without_signals;
        return std::nullopt;
    }
    // A permit where find_violation() finds nothing; nothing otherwise.
    static std::optional<ReadyPermit> permit(const ReadinessContext& context) {
        return find_violation(context) ? std::nullopt : std::optional(ReadyPermit());
    }
};

}  // namespace gatetiller::decide
