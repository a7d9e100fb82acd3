#include "decide/slow_reader.hpp"

#include <algorithm>

namespace gatetiller::decide {
namespace {

// Checks after which a client over its share is closed.
constexpr int kMaxStalledChecks = 20;
// The same while all clients together are over their limit. The bytes may have been queued just before the
// first check, so one alone says nothing.
constexpr int kMaxStalledChecksUnderPressure = 2;
// Bytes of unread responses up to which a client's next message is handled.
constexpr std::size_t kMaxUnreadBetweenMessages = 4096;

}  // namespace

ReaderSnapshot ReadProgress::check(std::size_t unsent_bytes) {
    const std::size_t accepted = queued_ - std::min(queued_, unsent_bytes);
    const bool stalled = unsent_bytes > 0 && accepted == accepted_;
    stalled_checks_ = stalled ? stalled_checks_ + 1 : 0;
    accepted_ = accepted;
    return {unsent_bytes, stalled_checks_};
}

bool must_read_first(const UnreadResponses& unread, const ResourceLimits& limits) {
    if (unread.client_bytes <= kMaxUnreadBetweenMessages)
        return false;
    return unread.is_answered_at_once || unread.total_bytes > limits.total_unsent_bytes / 2;
}

bool exceeds_unsent_limit(std::size_t unsent_bytes, const ResourceLimits& limits) {
    return unsent_bytes > limits.max_unsent_bytes;
}

std::vector<std::size_t> select_slow_readers(const std::vector<ReaderSnapshot>& clients,
                                             const ResourceLimits& limits) {
    std::size_t total = 0;
    std::vector<std::size_t> stalled;
    for (std::size_t i = 0; i < clients.size(); ++i) {
        total += clients[i].unsent_bytes;
        if (clients[i].stalled_checks >= kMaxStalledChecksUnderPressure)
            stalled.push_back(i);
    }
    std::stable_sort(stalled.begin(), stalled.end(), [&](std::size_t left, std::size_t right) {
        return clients[left].unsent_bytes > clients[right].unsent_bytes;
    });
    std::vector<std::size_t> selected;
    for (const std::size_t index : stalled) {
        const ReaderSnapshot& client = clients[index];
        const bool over_share =
            client.unsent_bytes > limits.unsent_bytes && client.stalled_checks >= kMaxStalledChecks;
        const bool silent = client.silent_checks >= kMaxStalledChecks;
        if (!over_share && !silent && total <= limits.total_unsent_bytes)
            continue;
        selected.push_back(index);
        total -= client.unsent_bytes;
    }
    return selected;
}

}  // namespace gatetiller::decide
