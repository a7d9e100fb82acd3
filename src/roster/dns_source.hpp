// A list of engines watched at a name service over UDP: SRV records with the list's number as the SOA's
// serial. Asked at a steady pace; where no good answer comes, again at once. A bad answer changes nothing.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "base/random.hpp"
#include "decide/engine_list.hpp"
#include "net/loop.hpp"

namespace gatetiller::roster {

struct DnsTimes {
    Micros every = 250 * kMillisecond;     // between a good answer and the next question
    std::size_t usual_bytes = 8'000;       // of an answer; the pause grows with one that is longer
    Micros every_most = kSecondMicros;     // so far: a change must be heard before it counts as told
    Micros patience = 150 * kMillisecond;  // with one question, before it is asked again
    int quick_tries = 12;                  // questions with that patience; then it doubles each time
    Micros patience_most = 700 * kMillisecond;
    Micros counts_for = 10 * kSecondMicros;  // an answer this late is still one
    double jitter = 0.2;  // of each of these spans, so that many fronts don't ask in step
};

class DnsSource {
public:
    struct Events {
        // A good whole list and its number; the same one may come again.
        std::function<void(std::uint64_t number, std::vector<decide::ListedEngine>)> list;
        // The very answer of the last good list came again.
        std::function<void(std::uint64_t number)> confirmed;
        std::function<void(const std::string& why)> bad;  // an answer that was passed over
        std::function<void(std::uint16_t id, int unanswered)> asked = nullptr;  // a question went out; may be absent
    };
    // `from`: the address to ask from, its port chosen by the kernel. The loop outlives this.
    DnsSource(net::Loop& loop, std::string name, std::uint64_t seed, DnsTimes times, Events events);
    ~DnsSource();
    DnsSource(const DnsSource&) = delete;
    DnsSource& operator=(const DnsSource&) = delete;

    Result<bool> start(const net::Address& from, const net::Address& service);
    void move(const net::Address& service);  // another address from now on; asked at once

private:
    void ask();
    Micros patience() const;
    Micros pause_after(std::size_t answer_bytes) const;
    Micros jittered(Micros span);
    void took(const net::Address& from, std::string_view bytes);

    net::Loop& loop_;
    std::string name_;
    Random random_;
    DnsTimes times_;
    Events events_;
    net::Address service_;
    std::unique_ptr<net::Datagrams> socket_;
    struct Question {
        std::uint16_t id;
        Micros at;
    };
    std::deque<Question> asked_;  // that may still be answered
    int unanswered_ = 0;          // in a row
    Micros round_trip_ = 0;       // of the last good answer
    std::string last_good_;       // that answer, without its id
    std::uint64_t last_serial_ = 0;
    net::TimerId timer_ = 0;
};

}  // namespace gatetiller::roster
