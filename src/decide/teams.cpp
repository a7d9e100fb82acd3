#include "decide/teams.hpp"

#include <algorithm>
#include <limits>

#include "decide/pattern.hpp"

namespace gatetiller::decide {
namespace {

constexpr std::size_t kKnown = 200'000;  // cached requesters
const std::string kNoTeam;

bool fits(const TeamRule& r, const Requester& w) {
    if (!pattern_matches(r.tenant, w.tenant) || !pattern_matches(r.user, w.user) ||
        !pattern_matches(r.source, w.source))
        return false;
    return tags_match(r.tags, split(w.tags, ','));
}

}  // namespace

Teams::Teams(std::vector<TeamRule> rules, std::map<std::string, std::vector<TeamName>> names)
    : rules_(std::move(rules)), names_(std::move(names)) {}

std::vector<Teams::Interval> Teams::intervals_of(const Requester& who) const {
    std::vector<const TeamRule*> fitting;
    std::vector<Micros> changes{std::numeric_limits<Micros>::min()};
    for (const TeamRule& r : rules_)
        if (fits(r, who)) {
            fitting.push_back(&r);
            changes.push_back(r.from);
            if (r.until != 0)
                changes.push_back(r.until);
        }
    std::sort(changes.begin(), changes.end());
    changes.erase(std::unique(changes.begin(), changes.end()), changes.end());
    std::vector<Interval> intervals;
    for (const Micros at : changes) {
        const auto rule = std::find_if(fitting.begin(), fitting.end(), [&](const TeamRule* r) {
            return at >= r->from && (r->until == 0 || at < r->until);
        });
        intervals.push_back({at, rule == fitting.end() ? kNoTeam : (*rule)->team});
    }
    return intervals;
}

const std::string& Teams::team_of(const Requester& who, Micros received_at) {
    std::string key;
    for (const std::string* part : {&who.tenant, &who.user, &who.source, &who.tags})
        (key += *part) += '\0';
    auto found = known_.find(key);
    if (found == known_.end()) {
        if (known_.size() >= kKnown)
            known_.clear();
        found = known_.emplace(std::move(key), intervals_of(who)).first;
    }
    const auto& s = found->second;
    const auto after =
        std::upper_bound(s.begin(), s.end(), received_at, [](Micros at, const Interval& interval) {
            return at < interval.from;
        });
    return std::prev(after)->team;
}

std::string Teams::name_at(const std::string& team, Micros at) const {
    std::string name = team.empty() ? "(no team)" : team;
    if (const auto names = names_.find(team); names != names_.end())
        for (const TeamName& n : names->second)
            if (n.from <= at)
                name = n.name;
    return name;
}

std::vector<std::string> Teams::former_names(const std::string& team, Micros from, Micros until) const {
    std::vector<std::string> before;
    const auto names = names_.find(team);
    if (names == names_.end())
        return before;
    const std::string last = name_at(team, until - 1);
    for (const Micros at : [&] {
             std::vector<Micros> times{from};
             for (const TeamName& n : names->second)
                 if (n.from > from && n.from < until)
                     times.push_back(n.from);
             return times;
         }()) {
        const std::string name = name_at(team, at);
        if (name != last && std::find(before.begin(), before.end(), name) == before.end())
            before.push_back(name);
    }
    return before;
}

}  // namespace gatetiller::decide
