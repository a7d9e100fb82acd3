#include "roster/dns_source.hpp"

#include <algorithm>

#include "base/bytes.hpp"
#include "base/text.hpp"
#include "dns/dns.hpp"

namespace gatetiller::roster {
namespace {

constexpr std::size_t kIdBytes = 2;  // at the head of every message

// The list that an answer holds; an error where a service lacks its address.
Result<std::vector<decide::ListedEngine>> list_of(const dns::Answer& answer) {
    std::vector<decide::ListedEngine> list;
    for (const auto& s : answer.services) {
        decide::ListedEngine e;
        const std::size_t dot = s.target.find('.'), second = s.target.find('.', dot + 1);
        if (dot == std::string::npos) return Error{"a target without a zone: " + s.target};
        e.name = s.target.substr(0, dot);
        e.zone = s.target.substr(dot + 1, second == std::string::npos ? second : second - dot - 1);
        const auto address = answer.addresses.find(s.target);
        if (address == answer.addresses.end()) return Error{"no address of " + s.target};
        e.address = address->second + ":" + std::to_string(s.port);
        e.state = s.priority == 0 ? EngineState::on : EngineState::fading;
        e.share = s.weight / 10.0;
        if (const auto texts = answer.texts.find(s.target); texts != answer.texts.end())
            for (const std::string_view text : texts->second) {
                const std::size_t equals = text.find('=');
                if (equals == std::string_view::npos) continue;
                const auto key = text.substr(0, equals), value = text.substr(equals + 1);
                if (key == "kind") e.kind = value;
                else if (key == "cell") e.cell = to_number<std::int64_t>(value).value_or(0);
                else if (key == "started")
                    e.started = to_number<std::int64_t>(value).value_or(0) * kMillisecond;
            }
        list.push_back(std::move(e));
    }
    return list;
}

}  // namespace

DnsSource::DnsSource(net::Loop& loop, std::string name, std::uint64_t seed, DnsTimes times, Events events)
    : loop_(loop), name_(std::move(name)), random_(seed), times_(times), events_(std::move(events)) {}

DnsSource::~DnsSource() { loop_.cancel(timer_); }

Result<bool> DnsSource::start(const net::Address& from, const net::Address& service) {
    service_ = service;
    auto socket = loop_.datagrams(
        from, [this](const net::Address& sender, std::string_view bytes) { took(sender, bytes); });
    if (!socket) return socket.failure();
    socket_ = std::move(*socket);
    ask();
    return true;
}

void DnsSource::move(const net::Address& service) {
    if (service == service_) return;
    service_ = service;
    unanswered_ = 0;
    asked_.clear();  // what the old one still says counts no more
    last_good_.clear();
    if (socket_) ask();
}

void DnsSource::ask() {
    loop_.cancel(timer_);
    const Micros now = loop_.now();
    while (!asked_.empty() && asked_.front().at < now - times_.counts_for) asked_.pop_front();
    const auto id = static_cast<std::uint16_t>(random_.next());
    asked_.push_back({id, now});
    socket_->send(service_, dns::srv_question(id, name_));
    if (events_.asked) events_.asked(id, unanswered_);
    timer_ = loop_.after(jittered(patience()), [this] { ask(); });
    ++unanswered_;
}

// A service that says nothing may be slow because of its questions: it is asked less and less often.
Micros DnsSource::patience() const {
    Micros span = std::max(times_.patience, round_trip_ + round_trip_ / 2);
    for (int n = times_.quick_tries; n <= unanswered_ && span < times_.patience_most; ++n) span *= 2;
    return std::min(span, times_.patience_most);
}

Micros DnsSource::jittered(Micros span) {
    const double off = times_.jitter * (2 * random_.uniform() - 1);
    return span + static_cast<Micros>(off * static_cast<double>(span));
}

void DnsSource::took(const net::Address& from, std::string_view bytes) {
    if (from != service_ || bytes.size() < kIdBytes) return;
    const auto id = static_cast<std::uint16_t>(big_endian(bytes.substr(0, kIdBytes)));
    const auto asked = std::find_if(asked_.begin(), asked_.end(), [&](const Question& q) { return q.id == id; });
    if (asked == asked_.end()) return events_.bad("an answer under an id not asked with");
    const auto content = bytes.substr(kIdBytes);
    const bool same = content == last_good_;
    std::vector<decide::ListedEngine> engines;
    if (!same) {
        const auto answer = dns::read_answer(bytes, id, name_);
        if (!answer) return events_.bad(answer.error());
        auto list = list_of(*answer);
        if (!list) return events_.bad(list.error());
        engines = std::move(*list);
        last_good_ = content, last_serial_ = answer->serial;
    }
    round_trip_ = loop_.now() - asked->at;
    asked_.erase(asked);
    unanswered_ = 0;
    loop_.cancel(timer_);
    timer_ = loop_.after(jittered(pause_after(bytes.size())), [this] { ask(); });
    if (same) events_.confirmed(last_serial_);
    else events_.list(last_serial_, std::move(engines));
}

// So that a long list costs its service and this front little more than a usual one.
Micros DnsSource::pause_after(std::size_t answer_bytes) const {
    const auto longer = times_.every * static_cast<Micros>(answer_bytes) / static_cast<Micros>(times_.usual_bytes);
    return std::max(times_.every, std::min(longer, times_.every_most));
}

}  // namespace gatetiller::roster
