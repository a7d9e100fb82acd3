#include "decide/charge.hpp"

#include <algorithm>
#include <numeric>

namespace gatetiller::decide {
namespace {

template <typename T, std::size_t N>
void add(std::array<T, N>& to, const std::array<T, N>& from) {
    for (std::size_t i = 0; i < N; ++i)
        to[i] += from[i];
}

}  // namespace

ChargeLine& ChargeLine::operator+=(const ChargeLine& o) {
    add(requests, o.requests);
    errors += o.errors, repeats += o.repeats, attempts += o.attempts,
        additional_attempts += o.additional_attempts;
    unlogged += o.unlogged, unpriced += o.unpriced;
    add(work, o.work);
    work_after_disconnect += o.work_after_disconnect;
    granted_byte_micros += o.granted_byte_micros, used_byte_micros += o.used_byte_micros;
    add(spilled, o.spilled);
    row_bytes += o.row_bytes;
    add(amount, o.amount);
    return *this;
}

Micros ChargeLine::total_work() const {
    return std::accumulate(work.begin(), work.end(), Micros{0});
}

void Charges::add_work(ChargeLine& line, const std::string& kind, Micros received_at, const Settlement& s,
                       Micros span, std::int64_t grant_bytes) {
    auto& finding = findings_[static_cast<std::size_t>(s.finding)];
    ++finding.queries;
    finding.work += s.work;
    ++line.attempts;
    line.unlogged += !s.logged && s.finding != SettlementFinding::never_ran;
    line.work[static_cast<std::size_t>(s.waste)] += s.work;
    line.work_after_disconnect += s.work_after_disconnect;
    const std::size_t wasted = s.waste != WastedWork::none;
    Usage u{s.work, Exact{grant_bytes} * span, Exact{s.peak_bytes} * span, s.spilled_bytes};
    line.granted_byte_micros += u.granted_byte_micros;
    line.used_byte_micros += u.used_byte_micros;
    line.spilled[wasted] += s.spilled_bytes;
    if (const Rates* rates = prices_.rates_at(received_at, kind))
        line.amount[wasted] += amount_of(u, *rates);
    else
        line.unpriced += 1;
}

void Charges::add(ChargeLineKey key, const RequestRow& r, bool repeat,
                  const std::vector<AttemptRow>& attempts, const std::vector<Settlement>& settled) {
    for (std::size_t i = 0; i < attempts.size(); ++i) {
        const AttemptRow& a = attempts[i];
        key.kind = a.kind.empty() ? "-" : a.kind;
        ChargeLine& line = lines_[key];
        // Memory is charged for attempts that may have run, for the time that the front observed.
        const bool ran = settled[i].finding != SettlementFinding::never_ran;
        add_work(line, a.kind, r.received_at, settled[i],
                 ran ? std::max<Micros>(0, a.ended_after - a.sent_after) : 0, a.grant_bytes);
        line.additional_attempts += i > 0;
        line.row_bytes += a.row_bytes;
    }
    if (attempts.empty())
        key.kind = "-";
    ChargeLine& line = lines_[key];
    ++line.requests[static_cast<std::size_t>(r.state)];
    line.errors += r.error;
    line.repeats += repeat;
}

void Charges::add_unmatched(ChargeLineKey key, const LoggedQuery& logged, const Settlement& settled) {
    const std::string kind = key.kind;
    const Micros span = std::max<Micros>(0, logged.ended - logged.created);
    add_work(lines_[std::move(key)], kind, logged.created, settled, span, 0);
}

}  // namespace gatetiller::decide
