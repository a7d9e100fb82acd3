// What an operator sees of a front: one record for each finished statement, and the page at /metrics.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

#include "base/time.hpp"
#include "decide/invariants.hpp"
#include "policy/gateway_policy.hpp"
#include "store/ledger_writer.hpp"

namespace gatetiller::front {

// How a statement ended, and so which side ended it.
enum class Ended {
    served,     // rows, or an error that was its own fault, from an engine
    refused,    // by this front: trying again is harmless
    failed,     // by this front: it may have run
    cut,        // its rows had begun when the engine failed
    cancelled,  // by the client
    abandoned,  // the client stopped asking
};
const char* name_of(Ended ended);

struct Finished {
    std::string id, trace, user, cls, tenant, engine, error;
    int attempts = 0;
    Ended ended = Ended::served;
    // Phases, in microseconds: held before the first attempt, from there to the end of the last one, and
    // until the client had fetched the final document.
    Micros held = 0, running = 0, fetching = 0, total = 0;
    std::int64_t cpu_ms = 0, peak_memory_bytes = 0, spilled_bytes = 0;
};

class Metrics {
public:
    Metrics();
    void taken(const std::string& cls);
    void turned_away(const char* why);
    void attempt(AttemptOutcome outcome);
    void violation(decide::Invariant invariant);  // prevented by a guard
    void finished(const Finished& f);
    struct Now {
        double statements, waiting_bytes, connections, alpha, kept;
    };
    void ledger(const store::LedgerWriterStatus& status);
    std::string page(const Now& now);

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>&taken_, &turned_away_, &attempts_, &finished_, &violations_;
    prometheus::Family<prometheus::Histogram>& seconds_;
    prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace gatetiller::front
