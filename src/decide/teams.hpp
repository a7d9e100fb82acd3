// Assigns requests to teams by tenant, user, source and tags, according to the rules in force when the
// request arrived. A team has an id that never changes and names that are valid from given times on. Times
// are microseconds of the wall clock since 1970.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "decide/account.hpp"

namespace gatetiller::decide {

struct TeamRule {
    // The team's id.
    std::string team;
    // Applies to arrivals in [from, until); `until` 0: no end.
    Micros from = 0, until = 0;
    // Patterns (pattern.hpp).
    std::string tenant, user, source;
    // Patterns, each of which must match at least one tag.
    std::vector<std::string> tags;
};

// A name of a team, valid from `from` until the next name.
struct TeamName {
    Micros from = 0;
    std::string name;
};

class Teams {
public:
    // `names`: of each team, by its id, in the order of time. The name of a team that it lacks is its id.
    Teams(std::vector<TeamRule> rules, std::map<std::string, std::vector<TeamName>> names);

    // The id of the team by the first rule that applies at `received_at`; empty where none does. Results are
    // cached by the content of `who`.
    const std::string& team_of(const Requester& who, Micros received_at);
    std::string name_at(const std::string& team, Micros at) const;
    // The names other than the last that the team had in [from, until), in the order of time.
    std::vector<std::string> former_names(const std::string& team, Micros from, Micros until) const;

private:
    // A team that applies from `from` until the next interval.
    struct Interval {
        Micros from = 0;
        std::string team;
    };
    std::vector<Interval> intervals_of(const Requester& who) const;

    std::vector<TeamRule> rules_;
    std::map<std::string, std::vector<TeamName>> names_;
    std::unordered_map<std::string, std::vector<Interval>> known_;
};

}  // namespace gatetiller::decide
