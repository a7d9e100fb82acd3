// The report's arithmetic: settled attempts and requests add up in lines, each for one team, class, day and
// kind of engine. Nothing is rounded here, and every addition is exact, so that any grouping has the same
// total.
#pragma once

#include <array>
#include <map>

#include "decide/money.hpp"
#include "decide/settlement.hpp"

namespace gatetiller::decide {

struct ChargeLineKey {
    std::string team, cls, kind;  // kind: of engine; "-" for requests that were never sent
    int day = 0;                  // of the period, from 0
    // NOLINTNEXTLINE(modernize-use-nullptr): a false report of clang 14 on defaulted comparisons.
    auto operator<=>(const ChargeLineKey&) const = default;
};

struct ChargeLine {
    std::array<std::int64_t, kRequestStates> requests{};  // by what became of them
    std::int64_t errors = 0;                              // of those served: with an error of their own
    std::int64_t repeats = 0;                             // a client's own repeats, among all of them
    std::int64_t attempts = 0, additional_attempts = 0;   // further: beyond the first of a request
    std::int64_t unlogged = 0;                            // attempts whose figures only the front has
    std::int64_t unpriced = 0;                            // attempts for which no price was agreed on
    std::array<Micros, kWastedWorkKinds> work{};          // [0]: that served
    Micros work_after_disconnect = 0;  // of the work: done when the client had left already
    Exact granted_byte_micros = 0, used_byte_micros = 0;
    std::array<std::int64_t, 2> spilled{};  // bytes: that served, that didn't
    std::int64_t row_bytes = 0;
    std::array<Exact, 2> amount{};  // the same

    ChargeLine& operator+=(const ChargeLine& other);
    bool operator==(const ChargeLine&) const = default;
    Micros total_work() const;
};

struct FindingTotal {
    std::int64_t queries = 0;
    Micros work = 0;
    bool operator==(const FindingTotal&) const = default;
};

class Charges {
public:
    explicit Charges(const PriceList& prices) : prices_(prices) {}
    // One request under its line's team, class and day; the kind is that of its last attempt.
    void add(ChargeLineKey key, const RequestRow& request, bool repeat,
             const std::vector<AttemptRow>& attempts, const std::vector<Settlement>& settled);
    // A logged query that no ledger has.
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
