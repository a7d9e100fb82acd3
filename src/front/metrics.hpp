// The metrics page of a front, GET /metrics in the Prometheus text format.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "decide/invariants.hpp"
#include "front/statement_outcome.hpp"
#include "policy/gateway_policy.hpp"
#include "store/ledger_writer.hpp"

namespace gatetiller::front {

class Metrics {
public:
    // Values at the time at which the page is read.
    struct Gauges {
        double statements = 0;           // active statements
        double waiting_bytes = 0;        // size of rows that wait for clients, in bytes
        double connections = 0;          // client connections
        double sensitive_share = 0;      // of the policy; published as "alpha"
        double finished_statements = 0;  // statements whose final document is cached for repeated polls
        double result_bytes = 0;  // size of rows that wait and of the latest documents of active statements
        double evicted_results = 0;  // statements that failed since the start as result_bytes was too large
    };

    Metrics();
    // gatetiller_statements_accepted_total{class}
    void count_accepted(const std::string& class_name);
    // gatetiller_statements_rejected_total{reason}
    void count_rejected(RejectionReason reason);
    // gatetiller_attempts_total{outcome}: counts an attempt that ended.
    void count_attempt(AttemptOutcome outcome);
    // gatetiller_row_bytes_dropped_total: counts rows of an attempt that ended before its client fetched
    // them.
    void count_dropped_row_bytes(std::size_t bytes);
    // gatetiller_violations_prevented_total{invariant}: counts an action that a guard refused.
    void count_violation(decide::Invariant invariant);
    // gatetiller_statements_finished_total{class,ended} and gatetiller_statement_seconds{class}
    void record_finished(const FinishedStatement& statement);
    // gatetiller_now{what="ledger_..."}: sets the ledger's gauges.
    void set_ledger_gauges(const store::LedgerWriterStatus& status);
    // Returns the page, with the gauges as gatetiller_now{what}.
    std::string render_page(const Gauges& gauges);

private:
    void set_gauge(const char* label, double value);

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& accepted_;
    prometheus::Family<prometheus::Counter>& rejected_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& finished_;
    prometheus::Family<prometheus::Counter>& dropped_row_bytes_;
    prometheus::Family<prometheus::Counter>& violations_;
    prometheus::Family<prometheus::Histogram>& seconds_;
    prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace gatetiller::front
