// The arithmetic of the charge-back report: settled attempts and requests are summed in lines, one for each
// team, class, day and kind of engine. Nothing is rounded and every addition is exact, so that the total is
// the same for every grouping.
#pragma once

#include <array>
#include <map>

#include "decide/money.hpp"
#include "decide/settlement.hpp"

namespace gatetiller::decide {

struct ChargeLineKey {
    // `kind`: of the engine, "-" for requests without an attempt.
    std::string team, cls, kind;
    // Of the period, from 0.
    int day = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false report of clang 14 on defaulted comparisons.
    auto operator<=>(const ChargeLineKey&) const = default;
};

// The sums of one line. Work is core time in microseconds.
struct ChargeLine {
    // By RequestState.
    std::array<std::int64_t, kRequestStates> requests{};
    // Served requests with an error of the statement itself.
    std::int64_t errors = 0;
    // Requests that repeat an earlier one (RepeatDetector).
    std::int64_t repeats = 0;
    // `additional_attempts`: all but the first of each request.
    std::int64_t attempts = 0, additional_attempts = 0;
    // Attempts that may have run and that no journal contains: only the front's statistics are known.
    std::int64_t unlogged = 0;
    // Attempts for which the price list has no price.
    std::int64_t unpriced = 0;
    // By WastedWork; `none`: work that served a client.
    std::array<Micros, kWastedWorkKinds> work{};
    // The part of the work that was done after the client had disconnected.
    Micros work_after_disconnect = 0;
    Exact granted_byte_micros = 0, used_byte_micros = 0;
    // Spilled bytes, of attempts that served a client and of wasted ones.
    std::array<std::int64_t, 2> spilled{};
    std::int64_t row_bytes = 0;
    // Amounts, of attempts that served a client and of wasted ones.
    std::array<Exact, 2> amount{};

    ChargeLine& operator+=(const ChargeLine& other);
    bool operator==(const ChargeLine&) const = default;
    // Work that served a client and wasted work.
    Micros total_work() const;
};

// The sums of all attempts and logged queries with one finding. `work`: as in ChargeLine.
struct FindingTotal {
    std::int64_t queries = 0;
    Micros work = 0;
    bool operator==(const FindingTotal&) const = default;
};

// Sums charges by line and by finding. Keeps a reference to `prices`, which must outlive it.
class Charges {
public:
    explicit Charges(const PriceList& prices) : prices_(prices) {}
    // Adds a request and its attempts under the team, class and day of `key`. The kind is that of each
    // attempt; the request itself is counted under the kind of its last attempt. `repeat`: from
    // RepeatDetector; `settled`: one for each of `attempts`.
    void add(ChargeLineKey key, const RequestRow& request, bool repeat,
             const std::vector<AttemptRow>& attempts, const std::vector<Settlement>& settled);
    // Adds a logged query that no ledger contains.
    void add_unmatched(ChargeLineKey key, const LoggedQuery& logged, const Settlement& settled);

    const std::map<ChargeLineKey, ChargeLine>& lines() const {
        return lines_;
    }
    const std::array<FindingTotal, kFindings>& findings() const {
        return findings_;
    }

private:
    void add_work(ChargeLine& line, const std::string& kind, Micros received_at, const Settlement& s,
                  Micros span, std::int64_t grant_bytes);
    const PriceList& prices_;
    std::map<ChargeLineKey, ChargeLine> lines_;
    std::array<FindingTotal, kFindings> findings_{};
};

}  // namespace gatetiller::decide
