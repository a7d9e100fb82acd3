// Which team a request belongs to: by tenant, user, source and tags, as it was agreed for the moment of the
// request's arrival. A team has a name of its own for each time; being renamed doesn't make it another team.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "decide/account.hpp"

namespace gatetiller::decide {

struct TeamRule {
    std::string team;
    Micros from = 0, until = 0;        // arrivals in [from, until); until 0: for good
    std::string tenant, user, source;  // patterns with `*`; empty: any
    std::vector<std::string> tags;     // each must match some tag
};

struct TeamName {
    Micros from = 0;
    std::string name;
};

class Teams {
public:
    // `names`: of each team in the order of time; a team that isn't there goes by its id.
    Teams(std::vector<TeamRule> rules, std::map<std::string, std::vector<TeamName>> names);

    // The first rule that fits at that time decides; empty where none does. The same requester's answers are
    // remembered as long as `who` lives elsewhere or not: by its content.
    const std::string& team_of(const Requester& who, Micros received_at);
    std::string name_at(const std::string& team, Micros at) const;
    // Names that it bore in [from, until) beside the last one, in the order of time.
    std::vector<std::string> former_names(const std::string& team, Micros from, Micros until) const;

private:
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
