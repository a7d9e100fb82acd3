#include "decide/planned_restart.hpp"

#include <algorithm>

namespace gatetiller::decide {
namespace {

constexpr Micros kCountedMost = 3 * kSecondMicros;
constexpr Micros kKilledPast = 700 * kMillisecond;  // the deadline: the platform kills no sooner
constexpr Micros kSpare = 150 * kMillisecond;       // for the end to be over by then
constexpr Micros kToRead = 250 * kMillisecond;      // for clients to read the last answers and to close

}  // namespace

RestartTimes restart_times(const Settings& settings) {
    Micros longest = 0;
    for (const auto& c : settings.classes)
        longest = std::max(longest, c.deadline);
    RestartTimes t;
    t.leaves = std::min(longest, kCountedMost) + kKilledPast - kSpare;
    t.last_answers = std::max(t.takes_new, t.leaves - kToRead);
    t.stays = std::min(t.stays, t.last_answers);
    return t;
}

LastWord last_word(const ClassSettings& c, bool may_have_run) {
    const bool harmless = !may_have_run || c.effect == Effect::repeatable ||
                          (c.effect == Effect::by_key && c.key_scope == Scope::all);
    return harmless ? LastWord::refused : LastWord::failed;
}

}  // namespace gatetiller::decide
