// The one guard of starting: a process says that it is ready only with a permit of this guard.
#pragma once

#include <optional>

#include "decide/invariants.hpp"

namespace gatetiller::decide {

struct ReadyFacts {
    bool has_list = false;       // of engines, from the configuration or a source
    bool listens = false;        // for clients
    bool hears_signals = false;  // to end, to reload
};

class ReadyPermit {
    ReadyPermit() = default;
    friend class StartGuard;
};

class StartGuard {
public:
    static std::optional<Invariant> forbids(const ReadyFacts& facts) {
        if (!facts.has_list)
            return Invariant::ready_without_list;
        if (!facts.listens)
            return Invariant::ready_without_listener;
        if (!facts.hears_signals)
            return Invariant::ready_without_signals;
        return std::nullopt;
    }
    static std::optional<ReadyPermit> permit(const ReadyFacts& facts) {
        return forbids(facts) ? std::nullopt : std::optional(ReadyPermit());
    }
};

}  // namespace gatetiller::decide
