// Endpoint discovery over DNS: polls SRV records over UDP and reports each new endpoint list. The serial of
// the SOA record is the version of the list. Malformed responses are ignored.
//
// Polling policy:
// - While the server responds, polls are sent at a steady interval, which grows with the size of the response
//   and with round trips longer than the interval.
// - An unanswered poll is repeated after `response_timeout`, `immediate_retries` times, then at the steady
//   interval.
// - After `backoff_after` without a response, polls back off to `backoff_poll_interval`.
// - Responses to earlier polls are accepted but never delay the next poll.
// - After `attempts_per_port` unanswered polls the next one is sent from a new local port, because a network
//   device or the service may have lost the state of the old one.
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

// Timing of polls. Durations are in microseconds.
struct DnsPollSettings {
    // Interval between polls while the server responds. Default 250 ms.
    Micros poll_interval = 250 * kMillisecond;
    // Size of a typical response, in bytes; the interval grows in proportion for larger ones. Default 8000.
    std::size_t typical_response_bytes = 8'000;
    // Upper bound of that growth, so that a change is received before it is assumed to be known. Default 1 s.
    Micros max_poll_interval = kSecondMicros;
    // Timeout after which an unanswered poll is repeated. Default 150 ms.
    Micros response_timeout = 150 * kMillisecond;
    // Number of consecutive unanswered polls that are repeated after `response_timeout`. Default 3.
    int immediate_retries = 3;
    // Minimum interval while round trips are longer than `poll_interval`. Default 500 ms.
    Micros slow_poll_interval = 500 * kMillisecond;
    // Time without a response after which polls back off. Default 8 s.
    Micros backoff_after = 8 * kSecondMicros;
    // Minimum interval after backing off. Default 700 ms.
    Micros backoff_poll_interval = 700 * kMillisecond;
    // Age of a poll after which a response to it is ignored. Default 10 s.
    Micros response_lifetime = 10 * kSecondMicros;
    // Consecutive unanswered polls after which the local port is renewed. Default 3.
    int attempts_per_port = 3;
    // Random part of each interval, as a fraction of it, so that gateways don't poll in lockstep.
    // Default 0.2.
    double jitter = 0.2;
    // If false, the first local port is never renewed; only fault injection sets it.
    bool renew_port = true;
    // If true, every poll is followed by a long pause; only fault injection sets it.
    bool back_off_after_every_poll = false;
};

// A complete endpoint list from a well-formed response.
struct ReceivedUpdate {
    std::uint32_t serial = 0;  // serial of the SOA record
    Micros polled_at = 0;      // loop time at which the poll was sent
    std::vector<decide::DiscoveredEndpoint> endpoints;
};

class DnsEndpointSource {
public:
    struct Events {
        std::function<void(const ReceivedUpdate& update)> on_update;
        // The response equals that of the last update byte for byte. Returns false to receive the update
        // again.
        std::function<bool(std::uint32_t serial)> on_unchanged;
        // A response was ignored, for `reason`.
        std::function<void(const std::string& reason)> on_bad_response;
        // A poll was sent, after `unanswered` consecutive unanswered ones. Optional.
        std::function<void(std::uint16_t id, int unanswered)> on_poll_sent = nullptr;
    };

    // `service_name`: owner name of the SRV records. The loop must outlive the source.
    DnsEndpointSource(net::Loop& loop, std::string service_name, std::uint64_t seed, DnsPollSettings settings,
                      Events events);
    ~DnsEndpointSource();
    DnsEndpointSource(const DnsEndpointSource&) = delete;
    DnsEndpointSource& operator=(const DnsEndpointSource&) = delete;

    // Starts polling `server` from `local`, on ports chosen by the kernel. Fails if no socket can be opened.
    Result<bool> start(const net::Address& local, const net::Address& server);
    // Switches to another server and polls it at once. Responses of the old one are ignored.
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
    Micros with_jitter(Micros interval);
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
    std::deque<LocalPort> ports_;  // polls are sent from the last one; the others may receive late responses
    std::deque<PendingPoll> pending_polls_;  // polls that may still be answered, oldest first
    int unanswered_polls_ = 0;               // since the last well-formed response
    Micros last_response_at_ = 0;            // time of that response, or of the first poll of the server
    Micros round_trip_ = 0;                  // of the last well-formed response
    std::size_t response_bytes_ = 0;         // size of that response
    std::string last_content_;               // response of the last update, without its id
    std::uint32_t last_serial_ = 0;
    net::TimerId poll_timer_ = 0;
};

}  // namespace gatetiller::discovery
