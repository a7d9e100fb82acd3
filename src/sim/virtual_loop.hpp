// sim: the loop's interface in virtual time. Clock, timers and a network between whatever runs on it; one
// thread, one order of events, drawn from one seed: the same run twice is the same to the byte. Time passes
// only from event to event.
//
// So far the network delays by a drawn span, keeps the order within a connection, and never loses a byte; a
// process is killed by destroying its objects, upon which the other side sees its connections end.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "base/random.hpp"
#include "net/loop.hpp"

namespace gatetiller::sim {

struct VirtualSettings {
    std::uint64_t seed = 1;
    Micros wall = 1'790'000'000'000'000;      // at the start
    Micros delay_low = 30, delay_high = 300;  // of each message, one way
};

class VirtualLoop final : public net::Loop {
public:
    explicit VirtualLoop(VirtualSettings settings);
    ~VirtualLoop() override;
    VirtualLoop(const VirtualLoop&) = delete;
    VirtualLoop& operator=(const VirtualLoop&) = delete;

    Micros now() const override {
        return now_;
    }
    Micros input_delay() const override {
        return 0;
    }
    Micros wall() const override {
        return settings_.wall + now_;
    }
    net::TimerId after(Micros delay, std::function<void()> call) override;
    void cancel(net::TimerId timer) override;
    std::size_t timers() const override {
        return when_.size();
    }
    Result<std::unique_ptr<net::Listener>> listen(
        const net::Address& at, std::function<void(std::unique_ptr<net::Stream>)> accepted) override;
    std::unique_ptr<net::Stream> connect(const net::Address& to, net::StreamEvents& events,
                                         Micros time_out) override;
    Result<std::unique_ptr<net::Datagrams>> datagrams(const net::Address& at,
                                                      net::Datagrams::Received received) override;

    // The next event. False: none is left.
    bool step();
    // Events until the condition holds, or none is left, or so much time has passed. Whether it holds.
    bool run(const std::function<bool()>& until, Micros longest);
    void step_wall(Micros by) {
        settings_.wall += by;
    }
    std::uint64_t events() const {
        return events_done_;
    }

private:
    struct End;
    struct Door;
    class EndStream;
    class DoorListener;
    struct Post;
    class PostDatagrams;
    Micros delay();

    VirtualSettings settings_;
    Random random_;
    Micros now_ = 0;
    net::TimerId last_ = 0;
    std::uint64_t events_done_ = 0;
    std::map<std::pair<Micros, net::TimerId>, std::function<void()>> due_;
    std::map<net::TimerId, Micros> when_;
    std::map<std::string, std::weak_ptr<Door>> doors_;
    std::map<std::string, std::weak_ptr<Post>> posts_;
    std::uint16_t next_port_ = 20'000;
};

}  // namespace gatetiller::sim
