#include "decide/money.hpp"

#include <algorithm>
#include <numeric>

#include "base/text.hpp"

namespace gatetiller::decide {
namespace {

constexpr int kAmountDecimals = 24, kPriceDecimals = 9;

Exact power_of_ten(int n) {
    Exact p = 1;
    while (n-- > 0)
        p *= 10;
    return p;
}

Exact floor_of(Exact a, Exact unit) {
    return a / unit - (a % unit < 0 ? 1 : 0);
}

std::string with_point(Exact units, int decimals) {
    const bool minus = units < 0;
    std::string digits = integer_text(minus ? -units : units);
    if (decimals > 0) {
        if (digits.size() <= static_cast<std::size_t>(decimals))
            digits.insert(0, static_cast<std::size_t>(decimals) + 1 - digits.size(), '0');
        digits.insert(digits.size() - static_cast<std::size_t>(decimals), ".");
    }
    return (minus ? "-" : "") + digits;
}

}  // namespace

std::string integer_text(Exact n) {
    if (n == 0)
        return "0";
    std::string text;
    const bool minus = n < 0;
    for (; n != 0; n /= 10)
        text += static_cast<char>('0' + (minus ? -(n % 10) : n % 10));
    if (minus)
        text += '-';
    std::reverse(text.begin(), text.end());
    return text;
}

Result<std::int64_t> parse_price(std::string_view text) {
    const auto wrong = [&](const char* why) {
        return Error{"'" + std::string(text) + "' is not a price: " + why +
                     "; write a decimal such as '0.000125'"};
    };
    const auto point = text.find('.');
    const std::string_view integer = text.substr(0, point);
    const std::string_view fraction = point == std::string_view::npos ? "" : text.substr(point + 1);
    if (integer.empty() || (point != std::string_view::npos && fraction.empty()))
        return wrong("digits are missing");
    if (fraction.size() > kPriceDecimals)
        return wrong("more than nine decimals");
    if (integer.size() > 9)
        return wrong("it is too large");
    std::string digits(integer);
    digits += fraction;
    digits.append(kPriceDecimals - fraction.size(), '0');
    if (digits.find_first_not_of("0123456789") != std::string::npos)
        return wrong("not a plain decimal");
    return *to_number<std::int64_t>(digits);
}

Exact amount_of(const Usage& u, const Rates& r) {
    return Exact{u.work} * r.core_second * power_of_ten(9) + u.granted_byte_micros * r.gb_second_granted +
           u.used_byte_micros * r.gb_second_used + Exact{u.spilled_bytes} * r.gb_spilled * power_of_ten(6);
}

const Rates* PriceList::rates_at(Micros received_at, std::string_view kind) const {
    for (const Price& p : prices_)
        if (received_at >= p.from && (p.until == 0 || received_at < p.until) &&
            (p.kind.empty() || p.kind == kind))
            return &p.rates;
    return nullptr;
}

std::vector<std::string> round_preserving_total(const std::vector<Exact>& parts, int decimals) {
    const Exact unit = power_of_ten(kAmountDecimals - decimals);
    Exact total = 0;
    Exact given = 0;
    std::vector<Exact> units;
    units.reserve(parts.size());
    for (const Exact part : parts) {
        total += part;
        units.push_back(floor_of(part, unit));
        given += units.back();
    }
    std::vector<std::size_t> order(parts.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto rest = [&](std::size_t i) {
        return parts[i] - units[i] * unit;
    };
    std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
        return rest(a) > rest(b);
    });
    Exact missing = floor_of(total + unit / 2, unit) - given;
    std::vector<Exact> fair = units;
    for (std::size_t i = 0; missing > 0 && i < order.size(); ++i, --missing)
        ++fair[order[i]];
    std::vector<std::string> texts;
    texts.reserve(fair.size());
    for (const Exact n : fair)
        texts.push_back(with_point(n, decimals));
    return texts;
}

std::string decimal_text(Exact amount, int decimals) {
    const Exact unit = power_of_ten(kAmountDecimals - decimals);
    return with_point(floor_of(amount + unit / 2, unit), decimals);
}

}  // namespace gatetiller::decide
