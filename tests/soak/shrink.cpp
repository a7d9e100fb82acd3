#include "soak/shrink.hpp"

#include <algorithm>

namespace gatetiller::soak {
namespace {

constexpr int kTriesOfEach = 2;  // real processes don't repeat themselves to the microsecond

bool still_finds(const SoakOptions& options, const std::string& kind) {
    for (int i = 0; i < kTriesOfEach; ++i) {
        const auto result = run_soak(options);
        if (result && std::any_of(result->findings.begin(), result->findings.end(), [&](const Finding& f) {
                return f.kind == kind;
            }))
            return true;
    }
    return false;
}

}  // namespace

std::string shrink(SoakOptions options, const std::string& kind) {
    std::vector<std::size_t> kept;
    for (const Trouble& t : draw_plan(options.plan))
        if (std::find(options.without.begin(), options.without.end(), t.number) == options.without.end())
            kept.push_back(t.number);
    for (std::size_t size = std::max<std::size_t>(1, kept.size() / 2); size >= 1; size /= 2)
        for (std::size_t from = 0; from < kept.size();) {
            const std::size_t to = std::min(kept.size(), from + size);
            SoakOptions fewer = options;
            fewer.without.insert(fewer.without.end(), kept.begin() + static_cast<std::ptrdiff_t>(from),
                                 kept.begin() + static_cast<std::ptrdiff_t>(to));
            if (!still_finds(fewer, kind)) {
                from = to;
                continue;
            }
            options.without = fewer.without;
            kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(from),
                       kept.begin() + static_cast<std::ptrdiff_t>(to));
        }
    std::string text = "--seed " + std::to_string(options.plan.seed);
    for (std::size_t i = 0; i < options.without.size(); ++i)
        text += (i == 0 ? " --without " : ",") + std::to_string(options.without[i]);
    text += "\n";
    for (const Trouble& t : draw_plan(options.plan))
        if (std::find(kept.begin(), kept.end(), t.number) != kept.end())
            text += t.text() + "\n";
    return text;
}

}  // namespace gatetiller::soak
