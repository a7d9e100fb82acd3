// What work costs, in exact arithmetic: parts always sum to the total, whatever they are grouped by.
//
// An Exact amount counts 10^-24 of the currency: a price in billionths of it, times microseconds and bytes,
// is always a whole number of these. 128 bits hold 10^14 of the currency.
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

// "0.000125" as 125'000 billionths. More than nine decimals is an error: it could not be kept exactly.
Result<std::int64_t> parse_price(std::string_view text);

struct Rates {  // billionths of the currency
    std::int64_t core_second = 0, gb_second_granted = 0, gb_second_used = 0,
                 gb_spilled = 0;  // GB: 10^9 bytes
};

struct Usage {
    Micros work = 0;  // of cores
    Exact granted_byte_micros = 0, used_byte_micros = 0;
    std::int64_t spilled_bytes = 0;
};

Exact amount_of(const Usage& usage, const Rates& rates);

struct Price {
    Micros from = 0, until = 0;  // by the request's arrival; until 0: for good
    std::string kind;            // of engine; empty: any
    Rates rates;
};
class PriceList {
public:
    explicit PriceList(std::vector<Price> prices) : prices_(std::move(prices)) {}
    // The first that fits, in the order given. None: nothing was agreed on for that time and kind.
    const Rates* rates_at(Micros received_at, std::string_view kind) const;

private:
    std::vector<Price> prices_;
};

// Amounts as decimal text with so many decimals, rounded so that the parts sum to the rounded total: each is
// rounded down, and the smallest units missing go to those that lost most by it.
std::vector<std::string> round_preserving_total(const std::vector<Exact>& parts, int decimals);
std::string decimal_text(Exact amount, int decimals);  // one alone, rounded half up
std::string integer_text(Exact number);

}  // namespace gatetiller::decide
