#include "decide/settlement.hpp"

#include <algorithm>
#include <tuple>

#include "base/text.hpp"

namespace gatetiller::decide {

const char* name_of(SettlementFinding f) {
    static constexpr const char* kNames[kFindings] = {
        "agreed", "unseen_end", "never_ran", "unlogged",      "in_gap",       "other_life",
        "direct", "worked_on",  "differs",   "journal_lacks", "ledger_lacks", "ran_after_all"};
    return kNames[static_cast<int>(f)];
}

bool is_explained(SettlementFinding f) {
    return f < SettlementFinding::mismatched;
}

Settlement settle(const RequestRow& r, const AttemptRow& a, const std::vector<LoggedQuery>& logged) {
    Settlement s;
    s.waste = classify_waste(r, a);
    s.observed_work = a.work;
    const bool never = a.state == AttemptState::rejected || a.state == AttemptState::unreachable ||
                       a.state == AttemptState::not_sent;
    if (logged.empty()) {
        s.work = a.work;
        s.peak_bytes = a.peak_bytes;
        s.spilled_bytes = a.spilled_bytes;
        s.finding = never        ? SettlementFinding::never_ran
                    : a.is_final ? SettlementFinding::missing_in_journal
                                 : SettlementFinding::unlogged;
        return s;
    }
    s.logged = true;
    Micros ran = 0;
    for (const LoggedQuery& q : logged) {
        s.work += q.work;
        s.spilled_bytes += q.spilled_bytes;
        s.peak_bytes = std::max(s.peak_bytes, q.peak_bytes);
        ran = std::max(ran, q.ended - q.created);
    }
    if (never) {
        // An engine that rejects a query in its queue logs it nevertheless, without work.
        s.finding = s.work == 0 ? SettlementFinding::never_ran : SettlementFinding::unexpected_work;
        return s;
    }
    if (a.is_final) {
        // The protocol reports milliseconds. The journal has a finer resolution, and its figure is charged.
        const bool same = s.work / kMillisecond == a.work / kMillisecond &&
                          s.spilled_bytes == a.spilled_bytes && s.peak_bytes == a.peak_bytes;
        const bool later = s.work > a.work && a.sent_after + ran > a.ended_after;
        s.finding = same    ? SettlementFinding::agreed
                    : later ? SettlementFinding::ended_later
                            : SettlementFinding::mismatched;
        return s;
    }
    s.finding = SettlementFinding::end_not_observed;
    const bool left = r.state == RequestState::cancelled || r.state == RequestState::abandoned;
    const Micros over = a.sent_after + ran - r.ended_after;
    if (left && over > 0 && ran > 0) {
        const auto part = static_cast<double>(s.work) *
                          (static_cast<double>(std::min(over, ran)) / static_cast<double>(ran));
        s.work_after_disconnect =
            std::clamp(static_cast<Micros>(part), Micros{0}, std::max<Micros>(0, s.work - a.work));
    }
    return s;
}

Settlement settle_unmatched(const LoggedQuery& logged, const IncarnationRecord* incarnation) {
    Settlement s;
    s.logged = true;
    s.waste = WastedWork::unrecorded;
    s.work = logged.work;
    s.peak_bytes = logged.peak_bytes;
    s.spilled_bytes = logged.spilled_bytes;
    if (!logged.attempt_tag) {
        s.finding = SettlementFinding::direct;
        s.waste = WastedWork::none;  // whether it served its client is not known
        return s;
    }
    if (!incarnation) {
        s.finding = SettlementFinding::unknown_incarnation;
        return s;
    }
    const bool covered =
        std::any_of(incarnation->gaps.begin(), incarnation->gaps.end(), [&](const LedgerGap& gap) {
            return logged.created >= gap.from - incarnation->clock_slack &&
                   logged.created <= gap.to + incarnation->clock_slack;
        });
    s.finding = covered ? SettlementFinding::in_gap : SettlementFinding::missing_in_ledger;
    return s;
}

void RepeatDetector::add(const RequestRow& r, std::uint32_t incarnation) {
    if (r.key.empty() || r.key_window <= 0)
        return;
    keyed_.push_back({fnv1a_hash(r.key, fnv1a_hash(r.requester->tenant, fnv1a_hash(r.requester->cls))),
                      r.received_at, r.key_window, std::uint64_t{incarnation} << 32 | r.number});
}

void RepeatDetector::finish() {
    std::sort(keyed_.begin(), keyed_.end(), [](const Keyed& a, const Keyed& b) {
        return std::tie(a.key, a.received_at, a.request) < std::tie(b.key, b.received_at, b.request);
    });
    for (std::size_t i = 0, first = 0; i < keyed_.size(); ++i) {
        if (keyed_[i].key != keyed_[first].key ||
            keyed_[i].received_at - keyed_[first].received_at > keyed_[first].window)
            first = i;
        if (first != i)
            repeats_.push_back(keyed_[i].request);
    }
    keyed_.clear();
    keyed_.shrink_to_fit();
    std::sort(repeats_.begin(), repeats_.end());
}

bool RepeatDetector::is_repeat(std::uint32_t incarnation, std::uint32_t number) const {
    return std::binary_search(repeats_.begin(), repeats_.end(), std::uint64_t{incarnation} << 32 | number);
}

}  // namespace gatetiller::decide
