// Prices and amounts in exact arithmetic: the parts sum to the total for every grouping.
//
// An Exact amount is in units of 10^-24 of the currency: a price in billionths of the currency multiplied by
// microseconds and bytes is always an integer number of them. 128 bits hold up to 10^14 of the currency.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"

namespace gatetiller::decide {

// Only a typedef can be marked as an extension.
__extension__ typedef __int128 Exact;  // NOLINT(modernize-use-using): see above

// Parses a price into billionths of the currency: "0.000125" is 125'000. More than nine decimals are an
// error, as they could not be represented exactly.
Result<std::int64_t> parse_price(std::string_view text);

// Prices in billionths of the currency; 1 GB is 10^9 bytes.
struct Rates {
    std::int64_t core_second = 0, gb_second_granted = 0, gb_second_used = 0, gb_spilled = 0;
};

struct Usage {
    // Core time in microseconds.
    Micros work = 0;
    Exact granted_byte_micros = 0, used_byte_micros = 0;
    std::int64_t spilled_bytes = 0;
};

Exact amount_of(const Usage& usage, const Rates& rates);

// The rates for requests that arrive in [from, until).
struct Price {
    // Wall clock, microseconds since 1970; `until` 0: no end.
    Micros from = 0, until = 0;
    // Kind of engine; empty: any.
    std::string kind;
    Rates rates;
};
class PriceList {
public:
    explicit PriceList(std::vector<Price> prices) : prices_(std::move(prices)) {}
    // The rates of the first price that applies, in the given order; null where none does.
    const Rates* rates_at(Micros received_at, std::string_view kind) const;

private:
    std::vector<Price> prices_;
};

// Formats amounts with `decimals` decimals, so that the results sum to the rounded total: each is rounded
// down, and the missing units are added to those with the largest remainders.
std::vector<std::string> round_preserving_total(const std::vector<Exact>& parts, int decimals);
// Formats one amount, rounded half up.
std::string decimal_text(Exact amount, int decimals);
// Formats an integer, which need not be an amount.
std::string integer_text(Exact number);

}  // namespace gatetiller::decide
