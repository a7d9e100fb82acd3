// A list of engines watched at a name service over UDP: SRV records with the list's number as the SOA's
// serial. A bad answer changes nothing.
//
// When it is asked: at a steady pace where answers come, and again at once, a few times, where one does not.
// A service that stays silent is asked on at the steady pace for as long as a change may count as told before
// it is heard, and less often after that; one that answers slowly is asked at a slower steady pace. Answers
// set no pace of their own: an old one, or one that came twice, never delays the next question. After a few
// questions without an answer the next one comes from a new port: a path, or the service, may have lost the
// old one alone.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "base/random.hpp"
#include "decide/endpoint_list.hpp"
#include "net/loop.hpp"

namespace gatetiller::discovery {

struct DnsTimes {
    Micros every = 250 * kMillisecond;         // between two questions
    std::size_t usual_bytes = 8'000;           // of an answer; the pause grows with one that is longer
    Micros every_most = kSecondMicros;         // so far: a change must be heard before it counts as told
    Micros patience = 150 * kMillisecond;      // with one question, before it is asked again
    int quick_tries = 3;                       // questions with that patience
    Micros slow_every = 500 * kMillisecond;    // of a service whose answers take longer than `every`
    Micros full_pace = 8 * kSecondMicros;      // of silence, before a service is asked less often
    Micros silent_every = 700 * kMillisecond;  // from then on
    Micros counts_for = 10 * kSecondMicros;    // an answer this late is still one
    int tries_a_port = 3;  // questions in a row without an answer, before the next one comes from a new port
    double jitter = 0.2;   // of each of these spans, so that many fronts don't ask in step
};

class DnsSource {
public:
    // A good answer: a whole list, and when it was asked for.
    struct Heard {
        std::uint32_t number = 0;
        Micros asked = 0;
        std::vector<decide::DiscoveredEndpoint> engines;
    };
    struct Events {
        std::function<void(const Heard& heard)> list;
        // The very answer of the last good list came again. False: it is to be read and told all the same.
        std::function<bool(std::uint32_t number)> confirmed;
        std::function<void(const std::string& why)> bad;  // an answer that was passed over
        std::function<void(std::uint16_t id, int unanswered)> asked =
            nullptr;  // a question went out; may be absent
    };
    // The loop outlives this.
    DnsSource(net::Loop& loop, std::string name, std::uint64_t seed, DnsTimes times, Events events);
    ~DnsSource();
    DnsSource(const DnsSource&) = delete;
    DnsSource& operator=(const DnsSource&) = delete;

    // `from`: the address to ask from, its ports chosen by the kernel. An error where no socket can be had.
    Result<bool> start(const net::Address& from, const net::Address& service);
    void move(const net::Address& service);  // another address from now on; asked at once

private:
    struct Question {
        std::uint16_t id;
        Micros at;
    };
    struct Port {
        std::unique_ptr<net::Datagrams> socket;
        Micros asked = 0;  // last
    };
    void ask();
    void ask_after(Micros pause);
    Result<bool> open_port();
    void close_old_ports();
    Micros pace() const;
    Micros patience() const;
    Micros jittered(Micros span);
    void took(const net::Address& from, std::string_view bytes);
    void tell(Micros asked, std::uint16_t id, std::string_view bytes);

    net::Loop& loop_;
    std::string name_;
    Random random_;
    DnsTimes times_;
    Events events_;
    net::Address from_, service_;
    std::deque<Port> ports_;      // the last one is asked from; to the others a slow answer may still come
    std::deque<Question> asked_;  // that may still be answered
    int unanswered_ = 0;          // since the last good answer
    Micros heard_at_ = 0;         // of that answer, or when the service began to be asked
    Micros round_trip_ = 0;       // of that answer
    std::size_t answer_bytes_ = 0;
    std::string last_good_;  // that answer, without its id
    std::uint32_t last_serial_ = 0;
    net::TimerId timer_ = 0;
};

}  // namespace gatetiller::discovery
