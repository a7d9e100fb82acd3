// Endpoint discovery over DNS: polls SRV records over UDP and reports each new endpoint list. The serial of
// the SOA record is the list's version. A malformed response changes nothing.
//
// Polling policy:
// - While responses come, polls follow at a steady interval; it grows with the size of the response, and with
//   a round trip that is longer than the interval.
// - A poll without a response is repeated after `response_timeout`, a few times, then at the steady interval.
// - After `backoff_after` of silence, polls back off to `backoff_poll_interval`.
// - Responses to earlier polls are accepted but never delay the next poll.
// - After `attempts_per_port` unanswered polls the next one leaves from a new local port, because a path or
//   the service may have lost the state of the old one.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.hpp"
#include "decide/endpoint_list.hpp"
#include "net/loop.hpp"

namespace gatetiller::discovery {

// When polls are sent. Spans are in microseconds.
struct DnsPollSettings {
    // Between two polls while responses come. Default 250 ms.
    Micros poll_interval = 250 * kMillisecond;
    // Size of a usual response, in bytes; the interval grows in proportion for a larger one. Default 8000.
    std::size_t typical_response_bytes = 8'000;
    // Upper bound of that growth, so that a change is received before it is assumed to be known. Default 1 s.
    Micros max_poll_interval = kSecondMicros;
    // Wait for a response before the poll is repeated. Default 150 ms.
    Micros response_timeout = 150 * kMillisecond;
    // Unanswered polls that are repeated after `response_timeout`. Default 3.
    int immediate_retries = 3;
    // Least interval while round trips are longer than `poll_interval`. Default 500 ms.
    Micros slow_poll_interval = 500 * kMillisecond;
    // Silence before polls back off. Default 8 s.
    Micros backoff_after = 8 * kSecondMicros;
    // Least interval after that. Default 700 ms.
    Micros backoff_poll_interval = 700 * kMillisecond;
    // A response that comes later than this after its poll is ignored. Default 10 s.
    Micros response_lifetime = 10 * kSecondMicros;
    // Polls in a row without a response before the local port is renewed. Default 3.
    int attempts_per_port = 3;
    // Random part of each interval, as a fraction of it, so that many gateways do not poll in step. Default
    // 0.2.
    double jitter = 0.2;
    // False keeps the first local port for good; only fault injection sets it.
    bool renew_port = true;
    // True leaves a long pause after each poll; only fault injection sets it.
    bool back_off_after_every_poll = false;
};

// A well-formed response: the complete endpoint list.
struct ReceivedUpdate {
    std::uint32_t serial = 0;  // of the SOA record
    Micros polled_at = 0;      // loop time at which its poll was sent
    std::vector<decide::DiscoveredEndpoint> endpoints;
};

class DnsEndpointSource {
public:
    struct Events {
        std::function<void(const ReceivedUpdate& update)> on_update;
        // The response equals that of the last update byte for byte. False asks to report it again.
        std::function<bool(std::uint32_t serial)> on_unchanged;
        // A response that was ignored, and why.
        std::function<void(const std::string& reason)> on_bad_response;
        // A poll was sent, after so many unanswered ones. May be absent.
        std::function<void(std::uint16_t id, int unanswered)> on_poll_sent = nullptr;
    };

    // `service_name`: owner of the SRV records. The loop outlives the source.
    DnsEndpointSource(net::Loop& loop, std::string service_name, std::uint64_t seed, DnsPollSettings settings,
                      Events events);
    ~DnsEndpointSource();
    DnsEndpointSource(const DnsEndpointSource&) = delete;
    DnsEndpointSource& operator=(const DnsEndpointSource&) = delete;

    // Begins to poll `server` from `local`, whose ports the kernel chooses. Fails where no socket can be
    // opened.
    Result<bool> start(const net::Address& local, const net::Address& server);
    // Polls another server from now on, at once. Responses of the old one are ignored.
    void set_server(const net::Address& server);

private:
    struct PendingPoll {
        std::uint16_t id;
        Micros sent_at;
    };
    struct LocalPort {
        std::unique_ptr<net::Datagrams> socket;
        Micros last_polled_at = 0;
    };

    void poll();
    void schedule_poll(Micros delay);
    Result<bool> open_port();
    void close_old_ports();
    Micros steady_interval() const;
    Micros delay_after_poll() const;
    Micros with_jitter(Micros span);
    void on_datagram(const net::Address& sender, std::string_view message);
    void on_response(const PendingPoll& poll, std::string_view message);
    std::optional<ReceivedUpdate> parse(const PendingPoll& poll, std::string_view message);

    net::Loop& loop_;
    std::string service_name_;
    Random random_;
    DnsPollSettings settings_;
    Events events_;
    net::Address local_;
    net::Address server_;
    std::deque<LocalPort> ports_;  // polls leave from the last one; late responses may reach the others
    std::deque<PendingPoll> pending_polls_;  // that may still be answered, in the order sent
    int unanswered_polls_ = 0;               // since the last well-formed response
    Micros last_response_at_ = 0;            // of that response, or when the server was first polled
    Micros round_trip_ = 0;                  // of that response
    std::size_t response_bytes_ = 0;         // of that response
    std::string last_content_;               // of the last update: the response without its id
    std::uint32_t last_serial_ = 0;
    net::TimerId poll_timer_ = 0;
};

}  // namespace gatetiller::discovery
