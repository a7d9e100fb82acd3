#include "front/metrics.hpp"

#include <prometheus/text_serializer.h>

#include "decide/attempt_end.hpp"

namespace gatetiller::front {

const char* name_of(Ended ended) {
    switch (ended) {
        case Ended::served:
            return "served";
        case Ended::refused:
            return "refused";
        case Ended::failed:
            return "failed";
        case Ended::cut:
            return "cut";
        case Ended::cancelled:
            return "cancelled";
        case Ended::abandoned:
            return "abandoned";
    }
    return "?";
}

namespace {

const prometheus::Histogram::BucketBoundaries kSeconds = {0.005, 0.02, 0.05, 0.1, 0.25, 0.5,
                                                          1,     2,    4,    8,   16,   32};

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      taken_(prometheus::BuildCounter()
                 .Name("gatetiller_statements_taken_total")
                 .Help("Statements taken, by class.")
                 .Register(*registry_)),
      turned_away_(prometheus::BuildCounter()
                       .Name("gatetiller_statements_turned_away_total")
                       .Help("Statements not taken, by reason.")
                       .Register(*registry_)),
      attempts_(prometheus::BuildCounter()
                    .Name("gatetiller_attempts_total")
                    .Help("Attempts that ended, by outcome.")
                    .Register(*registry_)),
      finished_(prometheus::BuildCounter()
                    .Name("gatetiller_statements_finished_total")
                    .Help("Statements that ended, by class and how.")
                    .Register(*registry_)),
      violations_(prometheus::BuildCounter()
                      .Name("gatetiller_violations_prevented_total")
                      .Help("Actions that a guard refused, by invariant; zero in a sound front.")
                      .Register(*registry_)),
      seconds_(prometheus::BuildHistogram()
                   .Name("gatetiller_statement_seconds")
                   .Help("From taking a statement to its final answer.")
                   .Register(*registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("gatetiller_now")
                  .Help("Statements in hand, bytes of rows waiting, connections, alpha, finished ones kept, "
                        "the ledger's state.")
                  .Register(*registry_)) {}

void Metrics::taken(const std::string& cls) {
    taken_.Add({{"class", cls}}).Increment();
}
void Metrics::turned_away(const char* why) {
    turned_away_.Add({{"why", why}}).Increment();
}
void Metrics::attempt(AttemptOutcome outcome) {
    attempts_.Add({{"outcome", decide::name_of(outcome)}}).Increment();
}

void Metrics::violation(decide::Invariant i) {
    violations_.Add({{"invariant", decide::name_of(i)}}).Increment();
}

void Metrics::finished(const Finished& f) {
    finished_.Add({{"class", f.cls}, {"ended", name_of(f.ended)}}).Increment();
    seconds_.Add({{"class", f.cls}}, kSeconds).Observe(static_cast<double>(f.total) / kSecondMicros);
}

void Metrics::ledger(const store::LedgerWriterStatus& s) {
    gauges_.Add({{"what", "ledger_written"}}).Set(s.error == decide::StoreError::none ? 1 : 0);
    gauges_.Add({{"what", "ledger_rows_waiting"}}).Set(static_cast<double>(s.queued_rows));
    gauges_.Add({{"what", "ledger_rows_lost"}}).Set(static_cast<double>(s.lost_rows));
    gauges_.Add({{"what", "ledger_rows_committed"}}).Set(static_cast<double>(s.committed_rows));
    gauges_.Add({{"what", "ledger_written_until_seconds"}})
        .Set(static_cast<double>(s.written_until) / kSecondMicros);
}

std::string Metrics::page(const Now& now) {
    gauges_.Add({{"what", "statements"}}).Set(now.statements);
    gauges_.Add({{"what", "waiting_bytes"}}).Set(now.waiting_bytes);
    gauges_.Add({{"what", "connections"}}).Set(now.connections);
    gauges_.Add({{"what", "alpha"}}).Set(now.alpha);
    gauges_.Add({{"what", "finished_kept"}}).Set(now.kept);
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace gatetiller::front
