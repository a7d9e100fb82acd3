#include "discovery/dns_endpoint_source.hpp"

#include <algorithm>

#include "base/bytes.hpp"
#include "discovery/dns_endpoints.hpp"
#include "dns/dns.hpp"

namespace gatetiller::discovery {
namespace {

constexpr std::size_t kIdBytes = 2;  // message id at the start of the header
constexpr std::size_t kMaxOpenPorts = 4;
constexpr Micros kInjectedBackoffFactor = 6;  // multiple of `backoff_poll_interval`

}  // namespace

DnsEndpointSource::DnsEndpointSource(net::Loop& loop, std::string service_name, std::uint64_t seed,
                                     DnsPollSettings settings, Events events)
    : loop_(loop),
      service_name_(std::move(service_name)),
      random_(seed),
      settings_(settings),
      events_(std::move(events)) {}

DnsEndpointSource::~DnsEndpointSource() {
    loop_.cancel(poll_timer_);
}

Result<bool> DnsEndpointSource::start(const net::Address& local, const net::Address& server) {
    local_ = local;
    server_ = server;
    last_response_at_ = loop_.now();
    auto opened = open_port();
    if (!opened)
        return opened;
    poll();
    return true;
}

Result<bool> DnsEndpointSource::open_port() {
    auto socket = loop_.datagrams(local_, [this](const net::Address& sender, std::string_view message) {
        on_datagram(sender, message);
    });
    if (!socket)
        return socket.failure();
    ports_.push_back({std::move(*socket), loop_.now()});
    return true;
}

void DnsEndpointSource::close_old_ports() {
    const Micros oldest = loop_.now() - settings_.response_lifetime;
    while (ports_.size() > 1 && (ports_.size() > kMaxOpenPorts || ports_.front().last_polled_at < oldest))
        ports_.pop_front();
}

void DnsEndpointSource::set_server(const net::Address& server) {
    if (server == server_)
        return;
    server_ = server;
    unanswered_polls_ = 0;
    last_response_at_ = loop_.now();
    pending_polls_.clear();
    last_content_.clear();
    if (!ports_.empty())
        poll();
}

void DnsEndpointSource::poll() {
    const Micros now = loop_.now();
    while (!pending_polls_.empty() && pending_polls_.front().sent_at < now - settings_.response_lifetime)
        pending_polls_.pop_front();
    const bool port_renewal_due =
        unanswered_polls_ > 0 && unanswered_polls_ % settings_.attempts_per_port == 0;
    // If no descriptor is left for a new port, the old one remains in use.
    if (port_renewal_due && settings_.renew_port)
        (void)open_port();
    close_old_ports();
    const auto id = static_cast<std::uint16_t>(random_.next());
    pending_polls_.push_back({id, now});
    ports_.back().last_polled_at = now;
    ports_.back().socket->send(server_, dns::encode_srv_query(id, service_name_));
    if (events_.on_poll_sent)
        events_.on_poll_sent(id, unanswered_polls_);
    ++unanswered_polls_;
    schedule_poll(delay_after_poll());
}

void DnsEndpointSource::schedule_poll(Micros delay) {
    loop_.cancel(poll_timer_);
    poll_timer_ = loop_.after(with_jitter(delay), [this] {
        poll();
    });
}

// Interval between polls while the server responds. Its growth with the response size bounds the traffic of
// long lists.
Micros DnsEndpointSource::steady_interval() const {
    const Micros size_based = settings_.poll_interval * static_cast<Micros>(response_bytes_) /
                              static_cast<Micros>(settings_.typical_response_bytes);
    const Micros typical =
        std::max(settings_.poll_interval, std::min(size_based, settings_.max_poll_interval));
    // A server that no longer responds does not count as slow, even if its last round trip was long.
    const bool server_responds =
        loop_.now() - last_response_at_ <= round_trip_ + settings_.slow_poll_interval;
    const bool slow = round_trip_ > settings_.poll_interval && server_responds;
    return slow ? std::max(typical, settings_.slow_poll_interval) : typical;
}

// Delay until the next poll if this one is not answered.
Micros DnsEndpointSource::delay_after_poll() const {
    if (settings_.back_off_after_every_poll)
        return kInjectedBackoffFactor * settings_.backoff_poll_interval;
    if (loop_.now() - last_response_at_ > settings_.backoff_after)
        return std::max(steady_interval(), settings_.backoff_poll_interval);
    if (unanswered_polls_ > settings_.immediate_retries)
        return steady_interval();
    const Micros by_round_trip = round_trip_ + round_trip_ / 2;
    return std::min(steady_interval(), std::max(settings_.response_timeout, by_round_trip));
}

Micros DnsEndpointSource::with_jitter(Micros interval) {
    const double offset = settings_.jitter * (2 * random_.uniform() - 1);
    return interval + static_cast<Micros>(offset * static_cast<double>(interval));
}

void DnsEndpointSource::on_datagram(const net::Address& sender, std::string_view message) {
    if (sender != server_ || message.size() < kIdBytes)
        return;
    const auto id = static_cast<std::uint16_t>(read_big_endian(message.substr(0, kIdBytes)));
    const auto poll =
        std::find_if(pending_polls_.begin(), pending_polls_.end(), [&](const PendingPoll& pending) {
            return pending.id == id;
        });
    if (poll == pending_polls_.end())
        return events_.on_bad_response("response with an unknown message id");
    on_response(PendingPoll{*poll}, message);
}

void DnsEndpointSource::on_response(const PendingPoll& poll, std::string_view message) {
    const bool unchanged = message.substr(kIdBytes) == last_content_ && events_.on_unchanged(last_serial_);
    std::optional<ReceivedUpdate> update;
    if (!unchanged) {
        update = parse(poll, message);
        if (!update)
            return;
    }
    const bool answers_latest_poll = pending_polls_.back().id == poll.id;
    std::erase_if(pending_polls_, [&](const PendingPoll& pending) {
        return pending.id == poll.id;
    });
    last_response_at_ = loop_.now();
    round_trip_ = last_response_at_ - poll.sent_at;
    unanswered_polls_ = 0;
    response_bytes_ = message.size();
    // A response to an earlier poll doesn't answer the latest one, whose repetition stays scheduled.
    if (answers_latest_poll)
        schedule_poll(std::max<Micros>(0, poll.sent_at + steady_interval() - last_response_at_));
    if (update)
        events_.on_update(*update);
}

// Returns nothing for a malformed response, which is reported.
std::optional<ReceivedUpdate> DnsEndpointSource::parse(const PendingPoll& poll, std::string_view message) {
    const auto response = dns::parse_response(message, poll.id, service_name_);
    if (!response) {
        events_.on_bad_response(response.error());
        return std::nullopt;
    }
    auto endpoints = read_endpoints(*response);
    if (!endpoints) {
        events_.on_bad_response(endpoints.error());
        return std::nullopt;
    }
    last_content_ = message.substr(kIdBytes);
    last_serial_ = response->serial;
    return ReceivedUpdate{response->serial, poll.sent_at, std::move(*endpoints)};
}

}  // namespace gatetiller::discovery
