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
    Micros patience = 150 * kMillisecond;  // with one question, before it is asked again
};

class DnsSource {
public:
    struct Events {
        // A good whole list and its number; the same one comes again and again.
        std::function<void(std::uint64_t number, std::vector<decide::ListedEngine>)> list;
        std::function<void(const std::string& why)> bad;  // an answer that was passed over
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
    void took(const net::Address& from, std::string_view bytes);

    net::Loop& loop_;
    std::string name_;
    Random random_;
    DnsTimes times_;
    Events events_;
    net::Address service_;
    std::unique_ptr<net::Datagrams> socket_;
    std::deque<std::uint16_t> asked_;  // ids of the last few questions: an answer may be slow
    net::TimerId timer_ = 0;
};

}  // namespace gatetiller::roster
