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

bool explained(SettlementFinding f) {
    return f < SettlementFinding::differs;
}

Settlement settle(const RequestRow& r, const AttemptRow& a, const std::vector<LoggedQuery>& logged) {
    Settlement s;
    s.waste = classify_waste(r, a);
    s.seen = a.work;
    const bool never = a.state == AttemptState::rejected || a.state == AttemptState::unreachable ||
                       a.state == AttemptState::not_sent;
    if (logged.empty()) {
        s.work = a.work;
        s.peak_bytes = a.peak_bytes;
        s.spilled_bytes = a.spilled_bytes;
        s.finding = never     ? SettlementFinding::never_ran
                    : a.whole ? SettlementFinding::journal_lacks
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
        // An engine that refuses a query in its queue logs it all the same, with nothing done.
        s.finding = s.work == 0 ? SettlementFinding::never_ran : SettlementFinding::ran_after_all;
        return s;
    }
    if (a.whole) {
        // The protocol tells milliseconds; the journal is finer, and counts.
        const bool same = s.work / kMillisecond == a.work / kMillisecond &&
                          s.spilled_bytes == a.spilled_bytes && s.peak_bytes == a.peak_bytes;
        const bool later = s.work > a.work && a.sent_after + ran > a.ended_after;
        s.finding = same    ? SettlementFinding::agreed
                    : later ? SettlementFinding::worked_on
                            : SettlementFinding::differs;
        return s;
    }
    s.finding = SettlementFinding::unseen_end;
    const bool left = r.state == RequestState::cancelled || r.state == RequestState::abandoned;
    const Micros over = a.sent_after + ran - r.ended_after;
    if (left && over > 0 && ran > 0) {
        const auto part = static_cast<double>(s.work) *
                          (static_cast<double>(std::min(over, ran)) / static_cast<double>(ran));
        s.after_leaving =
            std::clamp(static_cast<Micros>(part), Micros{0}, std::max<Micros>(0, s.work - a.work));
    }
    return s;
}

Settlement settle_alone(const LoggedQuery& logged, const IncarnationRecord* incarnation) {
    Settlement s;
    s.logged = true;
    s.waste = WastedWork::unrecorded;
    s.work = logged.work;
    s.peak_bytes = logged.peak_bytes;
    s.spilled_bytes = logged.spilled_bytes;
    if (!logged.name) {
        s.finding = SettlementFinding::direct;
        s.waste = WastedWork::none;  // whom it served is not ours to say
        return s;
    }
    if (!incarnation) {
        s.finding = SettlementFinding::other_life;
        return s;
    }
    const bool covered =
        std::any_of(incarnation->gaps.begin(), incarnation->gaps.end(), [&](const LedgerGap& gap) {
            return logged.created >= gap.from - incarnation->clock_slack &&
                   logged.created <= gap.to + incarnation->clock_slack;
        });
    s.finding = covered ? SettlementFinding::in_gap : SettlementFinding::ledger_lacks;
    return s;
}

void Repeats::add(const RequestRow& r, std::uint32_t life) {
    if (r.key.empty() || r.key_window <= 0)
        return;
    keyed_.push_back({fnv1a_hash(r.key, fnv1a_hash(r.who->tenant, fnv1a_hash(r.who->cls))), r.taken,
                      r.key_window, std::uint64_t{life} << 32 | r.number});
}

void Repeats::finish() {
    std::sort(keyed_.begin(), keyed_.end(), [](const Keyed& a, const Keyed& b) {
        return std::tie(a.key, a.taken, a.request) < std::tie(b.key, b.taken, b.request);
    });
    for (std::size_t i = 0, first = 0; i < keyed_.size(); ++i) {
        if (keyed_[i].key != keyed_[first].key ||
            keyed_[i].taken - keyed_[first].taken > keyed_[first].window)
            first = i;
        if (first != i)
            repeats_.push_back(keyed_[i].request);
    }
    keyed_.clear();
    keyed_.shrink_to_fit();
    std::sort(repeats_.begin(), repeats_.end());
}

bool Repeats::repeat(std::uint32_t life, std::uint32_t number) const {
    return std::binary_search(repeats_.begin(), repeats_.end(), std::uint64_t{life} << 32 | number);
}

}  // namespace gatetiller::decide
