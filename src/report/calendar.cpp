#include "report/calendar.hpp"

#include <date/tz.h>

#include <algorithm>
#include <chrono>

#include "base/text.hpp"

namespace gatetiller::report {
namespace {

using std::chrono::microseconds;

Result<const date::time_zone*> zone_of(const std::string& name) {
    try {
        return date::locate_zone(name);
    } catch (const std::exception&) {
        return Error{"'" + name +
                     "' is not a time zone of this system; write one such as 'Asia/Tokyo' or 'UTC'"};
    }
}

Micros start_of(const date::time_zone& zone, date::local_time<microseconds> local) {
    return zone.to_sys(local, date::choose::earliest).time_since_epoch().count();
}

Result<date::local_days> read_date(const std::string& text) {
    const auto parts = split(text, '-');
    if (text.size() == 10 && parts.size() == 3) {
        const auto y = to_number<int>(parts[0]);
        const auto m = to_number<unsigned>(parts[1]), d = to_number<unsigned>(parts[2]);
        if (y && m && d) {
            const auto day = date::year(*y) / static_cast<int>(*m) / static_cast<int>(*d);
            if (day.ok())
                return date::local_days(day);
        }
    }
    return Error{"'" + text + "' is not a date such as 2026-11-01"};
}

}  // namespace

Result<Micros> local_time(const std::string& zone_name, const std::string& text) {
    const auto zone = zone_of(zone_name);
    if (!zone)
        return Error{zone.error()};
    const auto day = read_date(text.substr(0, 10));
    if (!day)
        return Error{day.error()};
    Micros rest = 0;
    if (text.size() > 10) {
        const auto parts = split(std::string_view(text).substr(11), ':');
        int values[3] = {0, 0, 0};
        bool right = text[10] == 'T' && (parts.size() == 2 || parts.size() == 3);
        for (std::size_t i = 0; right && i < parts.size(); ++i) {
            const auto n = to_number<int>(parts[i]);
            right = n && *n >= 0 && *n < (i == 0 ? 24 : 60);
            if (right)
                values[i] = *n;
        }
        if (!right)
            return Error{"'" + text + "' is not a time such as 2026-11-01T09:30"};
        rest = ((values[0] * 60 + values[1]) * 60LL + values[2]) * kSecondMicros;
    }
    return start_of(**zone, date::local_time<microseconds>(*day) + microseconds(rest));
}

Result<Calendar> Calendar::days(const std::string& zone_name, const std::string& from,
                                const std::string& until) {
    const auto zone = zone_of(zone_name);
    if (!zone)
        return Error{zone.error()};
    const auto first = read_date(from), last = read_date(until);
    for (const auto* d : {&first, &last})
        if (!*d)
            return Error{d->error()};
    if (*last <= *first || *last - *first > date::days(1000))
        return Error{"from " + from + " to " + until +
                     ": the end must be after the start, by 1000 days at most"};
    Calendar c;
    c.zone_ = zone_name;
    for (auto day = *first; day <= *last; day += date::days(1)) {
        c.starts_.push_back(start_of(**zone, day));
        if (day < *last)
            c.dates_.push_back(date::format("%F", day));
    }
    return c;
}

Result<Calendar> Calendar::month(const std::string& zone, const std::string& month) {
    const auto first = read_date(month + "-01");
    if (!first)
        return Error{"'" + month + "' is not a month such as 2026-11"};
    const date::year_month_day day(*first);
    const auto next = date::local_days(day.year() / day.month() / 1 + date::months(1));
    return days(zone, month + "-01", date::format("%F", next));
}

int Calendar::day_of(Micros t) const {
    return static_cast<int>(std::upper_bound(starts_.begin(), starts_.end(), t) - starts_.begin()) - 1;
}

Micros Calendar::length(int day) const {
    const auto i = static_cast<std::size_t>(day);
    return starts_[i + 1] - starts_[i];
}

}  // namespace gatetiller::report
