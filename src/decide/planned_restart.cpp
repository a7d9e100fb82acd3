#include "decide/planned_restart.hpp"

#include <algorithm>

namespace gatetiller::decide {
namespace {

constexpr Micros kCountedMost = 3 * kSecondMicros;
constexpr Micros kPast = 300 * kMillisecond;  // of the 700 ms that the platform leaves past the deadline

}  // namespace

RestartTimes restart_times(const Settings& settings) {
    Micros longest = 0;
    for (const auto& c : settings.classes) longest = std::max(longest, c.deadline);
    RestartTimes t;
    t.last_answers = std::max(t.stays, std::min(longest, kCountedMost) + kPast);
    return t;
}

LastWord last_word(const ClassSettings& c, bool may_have_run) {
    const bool harmless = !may_have_run || c.effect == Effect::repeatable ||
                          (c.effect == Effect::by_key && c.key_scope == Scope::all);
    return harmless ? LastWord::refused : LastWord::failed;
}

}  // namespace gatetiller::decide
