#include "decide/slow_reader.hpp"

#include <algorithm>
#include <numeric>

namespace gatetiller::decide {
namespace {

// Checks after which a client over its share is closed.
constexpr int kMaxStalledChecks = 20;
// The same while all clients together are over their limit. The bytes may have been queued just before the
// first check, so one alone says nothing.
constexpr int kMaxStalledChecksUnderPressure = 2;

}  // namespace

ReaderSnapshot ReadProgress::check(std::size_t unsent_bytes) {
    const std::size_t accepted = queued_ - std::min(queued_, unsent_bytes);
    const bool stalled = unsent_bytes > 0 && accepted == accepted_;
    stalled_checks_ = stalled ? stalled_checks_ + 1 : 0;
    accepted_ = accepted;
    return {unsent_bytes, stalled_checks_};
}

bool exceeds_unsent_limit(std::size_t unsent_bytes, const ResourceLimits& limits) {
    return unsent_bytes > limits.max_unsent_bytes;
}

std::vector<std::size_t> select_slow_readers(const std::vector<ReaderSnapshot>& clients,
                                             const ResourceLimits& limits) {
    std::vector<std::size_t> by_size(clients.size());
    std::iota(by_size.begin(), by_size.end(), std::size_t{0});
    std::stable_sort(by_size.begin(), by_size.end(), [&](std::size_t left, std::size_t right) {
        return clients[left].unsent_bytes > clients[right].unsent_bytes;
    });
    std::size_t total = 0;
    for (const ReaderSnapshot& client : clients)
        total += client.unsent_bytes;
    std::vector<std::size_t> selected;
    for (const std::size_t index : by_size) {
        const ReaderSnapshot& client = clients[index];
        const bool over_share =
            client.unsent_bytes > limits.unsent_bytes && client.stalled_checks >= kMaxStalledChecks;
        const bool under_pressure =
            total > limits.total_unsent_bytes && client.stalled_checks >= kMaxStalledChecksUnderPressure;
        if (!over_share && !under_pressure)
            continue;
        selected.push_back(index);
        total -= client.unsent_bytes;
    }
    return selected;
}

}  // namespace gatetiller::decide
