// report: settlement on top of the books. This file: a stretch of local days in a time zone. Days are as long
// as the zone makes them, 23 or 25 hours at a change of its clocks. Source: the system's tz database, by way
// of Howard Hinnant's date library.
#pragma once

#include <string>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"

namespace gatetiller::report {

// "2026-11-01" or "2026-11-01T09:30[:15]" in a zone such as "Asia/Tokyo". A time that a change of the clocks
// skips counts as the moment of the change; one that comes twice as the first.
Result<Micros> local_time(const std::string& zone, const std::string& text);

class Calendar {
public:
    // Local days from `from` (a date) to before `until`.
    static Result<Calendar> days(const std::string& zone, const std::string& from, const std::string& until);
    static Result<Calendar> month(const std::string& zone, const std::string& month);  // "2026-11"

    Micros from() const {
        return starts_.front();
    }
    Micros until() const {
        return starts_.back();
    }
    bool holds(Micros t) const {
        return t >= from() && t < until();
    }
    int day_of(Micros t) const;  // from 0; for times that it holds
    const std::vector<std::string>& dates() const {
        return dates_;
    }
    Micros length(int day) const;
    const std::string& zone() const {
        return zone_;
    }

private:
    std::string zone_;
    std::vector<Micros> starts_;  // of each day, and the end
    std::vector<std::string> dates_;
};

}  // namespace gatetiller::report
