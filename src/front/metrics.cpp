#include "front/metrics.hpp"

#include <prometheus/text_serializer.h>

#include "decide/attempt_end.hpp"

namespace gatetiller::front {
namespace {

// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries& statement_seconds_buckets() {
    static const prometheus::Histogram::BucketBoundaries kBuckets = {0.005, 0.02, 0.05, 0.1, 0.25, 0.5,
                                                                     1,     2,    4,    8,   16,   32};
    return kBuckets;
}

prometheus::Family<prometheus::Counter>& add_counter(prometheus::Registry& registry, const char* name,
                                                     const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      accepted_(
          add_counter(*registry_, "gatetiller_statements_accepted_total", "Statements accepted, by class.")),
      rejected_(add_counter(*registry_, "gatetiller_statements_rejected_total",
                            "Statements not accepted, by reason.")),
      attempts_(add_counter(*registry_, "gatetiller_attempts_total", "Attempts that ended, by outcome.")),
      finished_(add_counter(*registry_, "gatetiller_statements_finished_total",
                            "Statements that ended, by class and how.")),
      dropped_row_bytes_(
          add_counter(*registry_, "gatetiller_row_bytes_dropped_total",
                      "Bytes of rows of attempts that ended before their clients fetched them.")),
      violations_(add_counter(*registry_, "gatetiller_violations_prevented_total",
                              "Actions that a guard refused, by invariant; zero in a sound front.")),
      seconds_(prometheus::BuildHistogram()
                   .Name("gatetiller_statement_seconds")
                   .Help("From accepting a statement until its client has the final document.")
                   .Register(*registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("gatetiller_now")
                  .Help("Active statements, bytes of rows waiting, connections, alpha, finished statements "
                        "cached, the ledger's state.")
                  .Register(*registry_)) {}

void Metrics::count_accepted(const std::string& class_name) {
    accepted_.Add({{"class", class_name}}).Increment();
}

void Metrics::count_rejected(RejectionReason reason) {
    rejected_.Add({{"reason", name_of(reason)}}).Increment();
}

void Metrics::count_attempt(AttemptOutcome outcome) {
    attempts_.Add({{"outcome", decide::name_of(outcome)}}).Increment();
}

void Metrics::count_dropped_row_bytes(std::size_t bytes) {
    dropped_row_bytes_.Add({}).Increment(static_cast<double>(bytes));
}

void Metrics::count_violation(decide::Invariant invariant) {
    violations_.Add({{"invariant", decide::name_of(invariant)}}).Increment();
}

void Metrics::record_finished(const FinishedStatement& statement) {
    const std::string& class_name = statement.class_name;
    finished_.Add({{"class", class_name}, {"ended", name_of(statement.outcome)}}).Increment();
    seconds_.Add({{"class", class_name}}, statement_seconds_buckets())
        .Observe(static_cast<double>(statement.total) / kSecondMicros);
}

void Metrics::set_gauge(const char* label, double value) {
    gauges_.Add({{"what", label}}).Set(value);
}

void Metrics::set_ledger_gauges(const store::LedgerWriterStatus& status) {
    set_gauge("ledger_written", status.error == decide::StoreError::none ? 1 : 0);
    set_gauge("ledger_rows_waiting", static_cast<double>(status.queued_rows));
    set_gauge("ledger_rows_lost", static_cast<double>(status.lost_rows));
    set_gauge("ledger_rows_committed", static_cast<double>(status.committed_rows));
    set_gauge("ledger_written_until_seconds", static_cast<double>(status.written_until) / kSecondMicros);
}

std::string Metrics::render_page(const Gauges& gauges) {
    set_gauge("statements", gauges.statements);
    set_gauge("waiting_bytes", gauges.waiting_bytes);
    set_gauge("connections", gauges.connections);
    set_gauge("alpha", gauges.sensitive_share);
    set_gauge("finished_kept", gauges.finished_statements);
    set_gauge("result_bytes", gauges.result_bytes);
    set_gauge("results_evicted", gauges.evicted_results);
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace gatetiller::front
