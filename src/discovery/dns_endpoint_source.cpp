#include "discovery/dns_endpoint_source.hpp"

#include <algorithm>

#include "base/bytes.hpp"
#include "base/planted.hpp"
#include "base/text.hpp"
#include "dns/dns.hpp"

namespace gatetiller::discovery {
namespace {

constexpr std::size_t kIdBytes = 2;    // at the head of every message
constexpr std::size_t kPortsMost = 4;  // open at once

// The list that an answer holds; an error where a service lacks its address.
Result<std::vector<decide::DiscoveredEndpoint>> list_of(const dns::Answer& answer) {
    std::vector<decide::DiscoveredEndpoint> list;
    for (const auto& s : answer.services) {
        decide::DiscoveredEndpoint e;
        const std::size_t dot = s.target.find('.'), second = s.target.find('.', dot + 1);
        if (dot == std::string::npos)
            return Error{"a target without a zone: " + s.target};
        e.name = s.target.substr(0, dot);
        e.zone = s.target.substr(dot + 1, second == std::string::npos ? second : second - dot - 1);
        const auto address = answer.addresses.find(s.target);
        if (address == answer.addresses.end())
            return Error{"no address of " + s.target};
        e.address = address->second + ":" + std::to_string(s.port);
        e.state = s.priority == 0 ? EndpointState::ready : EndpointState::draining;
        e.share = s.weight / 10.0;
        if (const auto texts = answer.texts.find(s.target); texts != answer.texts.end())
            for (const std::string_view text : texts->second) {
                const std::size_t equals = text.find('=');
                if (equals == std::string_view::npos)
                    continue;
                const auto key = text.substr(0, equals), value = text.substr(equals + 1);
                if (key == "kind")
                    e.kind = value;
                else if (key == "cell")
                    e.cell = to_number<std::int64_t>(value).value_or(0);
                else if (key == "started")
                    e.started_at = to_number<std::int64_t>(value).value_or(0) * kMillisecond;
            }
        list.push_back(std::move(e));
    }
    return list;
}

}  // namespace

DnsSource::DnsSource(net::Loop& loop, std::string name, std::uint64_t seed, DnsTimes times, Events events)
    : loop_(loop), name_(std::move(name)), random_(seed), times_(times), events_(std::move(events)) {}

DnsSource::~DnsSource() {
    loop_.cancel(timer_);
}

Result<bool> DnsSource::start(const net::Address& from, const net::Address& service) {
    from_ = from, service_ = service;
    heard_at_ = loop_.now();
    if (auto opened = open_port(); !opened)
        return opened;
    ask();
    return true;
}

Result<bool> DnsSource::open_port() {
    auto socket = loop_.datagrams(from_, [this](const net::Address& sender, std::string_view bytes) {
        took(sender, bytes);
    });
    if (!socket)
        return socket.failure();
    ports_.push_back({std::move(*socket), loop_.now()});
    return true;
}

void DnsSource::close_old_ports() {
    const Micros oldest = loop_.now() - times_.counts_for;
    while (ports_.size() > 1 && (ports_.size() > kPortsMost || ports_.front().asked < oldest))
        ports_.pop_front();
}

void DnsSource::move(const net::Address& service) {
    if (service == service_)
        return;
    service_ = service;
    unanswered_ = 0, heard_at_ = loop_.now();
    asked_.clear();  // what the old one still says counts no more
    last_good_.clear();
    if (!ports_.empty())
        ask();
}

void DnsSource::ask() {
    const Micros now = loop_.now();
    while (!asked_.empty() && asked_.front().at < now - times_.counts_for)
        asked_.pop_front();
    // Where this machine has no descriptor for another one, the old port has to do.
    if (unanswered_ > 0 && unanswered_ % times_.tries_a_port == 0 && !planted("one_port"))
        (void)open_port();
    close_old_ports();
    const auto id = static_cast<std::uint16_t>(random_.next());
    asked_.push_back({id, now});
    ports_.back().asked = now;
    ports_.back().socket->send(service_, dns::srv_question(id, name_));
    if (events_.asked)
        events_.asked(id, unanswered_);
    ++unanswered_;
    ask_after(patience());
}

void DnsSource::ask_after(Micros pause) {
    loop_.cancel(timer_);
    timer_ = loop_.after(jittered(pause), [this] {
        ask();
    });
}

// Between two questions where all is well. A long list costs its service and this front little more than a
// usual one.
Micros DnsSource::pace() const {
    const auto longer =
        times_.every * static_cast<Micros>(answer_bytes_) / static_cast<Micros>(times_.usual_bytes);
    const Micros usual = std::max(times_.every, std::min(longer, times_.every_most));
    const bool answers_come = loop_.now() - heard_at_ <= round_trip_ + times_.slow_every;
    const bool slow =
        round_trip_ > times_.every && answers_come;  // else it is silent, whatever it was before
    return slow ? std::max(usual, times_.slow_every) : usual;
}

// With the question that has just gone out.
Micros DnsSource::patience() const {
    if (planted("slow_questions"))
        return 6 * times_.silent_every;
    if (loop_.now() - heard_at_ > times_.full_pace)
        return std::max(pace(), times_.silent_every);
    if (unanswered_ > times_.quick_tries)
        return pace();
    return std::min(pace(), std::max(times_.patience, round_trip_ + round_trip_ / 2));
}

Micros DnsSource::jittered(Micros span) {
    const double off = times_.jitter * (2 * random_.uniform() - 1);
    return span + static_cast<Micros>(off * static_cast<double>(span));
}

void DnsSource::took(const net::Address& from, std::string_view bytes) {
    if (from != service_ || bytes.size() < kIdBytes)
        return;
    const auto id = static_cast<std::uint16_t>(big_endian(bytes.substr(0, kIdBytes)));
    const auto asked = std::find_if(asked_.begin(), asked_.end(), [&](const Question& q) {
        return q.id == id;
    });
    if (asked == asked_.end())
        return events_.bad("an answer under an id not asked with");
    tell(asked->at, id, bytes);
}

void DnsSource::tell(Micros asked, std::uint16_t id, std::string_view bytes) {
    const auto content = bytes.substr(kIdBytes);
    const bool same = content == last_good_ && events_.confirmed(last_serial_);
    Heard heard;
    if (!same) {
        const auto answer = dns::read_answer(bytes, id, name_);
        if (!answer)
            return events_.bad(answer.error());
        auto list = list_of(*answer);
        if (!list)
            return events_.bad(list.error());
        heard = {answer->serial, asked, std::move(*list)};
        last_good_ = content, last_serial_ = heard.number;
    }
    const bool latest = asked_.back().id == id;
    std::erase_if(asked_, [&](const Question& q) {
        return q.id == id;
    });
    heard_at_ = loop_.now(), round_trip_ = heard_at_ - asked;
    unanswered_ = 0;
    answer_bytes_ = bytes.size();
    // One to an older question says nothing of the latest.
    if (latest)
        ask_after(std::max<Micros>(0, asked + pace() - heard_at_));
    if (!same)
        events_.list(heard);
}

}  // namespace gatetiller::discovery
