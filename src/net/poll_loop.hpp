// The event loop on poll(2). One turn: what was sent in the last turn goes out, poll, what is ready, then
// the timers that are due. Writes are gathered for a turn, so that several answers on one connection cost one
// system call.
#pragma once

#include <poll.h>

#include <map>
#include <set>
#include <vector>

#include "net/loop.hpp"

namespace gatetiller::net {

// Blocked signals wait for whoever receives them. To be called before anything that takes time, so that none
// of them ends the process by its default action.
void block_signals(const std::vector<int>& signals);

class PollLoop final : public Loop {
public:
    struct Limits {
        std::size_t input = 256 * 1024;  // bytes read ahead of what a stream's owner has taken
        int accepts = 64;                // new connections taken in one turn by one listener
    };

    PollLoop();
    explicit PollLoop(Limits limits);
    ~PollLoop() override;
    PollLoop(const PollLoop&) = delete;
    PollLoop& operator=(const PollLoop&) = delete;

    Micros now() const override {
        return now_;
    }
    Micros input_delay() const override {
        return unseen_;
    }
    Micros wall() const override;
    TimerId after(Micros delay, std::function<void()> call) override;
    void cancel(TimerId timer) override;
    std::size_t timers() const override {
        return timers_.size();
    }
    Result<std::unique_ptr<Listener>> listen(const Address& at,
                                             std::function<void(std::unique_ptr<Stream>)> accepted) override;
    std::unique_ptr<Stream> connect(const Address& to, StreamEvents& events, Micros time_out) override;
    Result<std::unique_ptr<Datagrams>> datagrams(const Address& at, Datagrams::Received received) override;

    // Calls `then` for each of these signals from the loop's turns, also for those that came while they were
    // blocked. They are blocked for the whole process, so this comes before any thread starts.
    Result<bool> on_signals(const std::vector<int>& signals, std::function<void(int)> then);

    void run();  // until stop()
    void stop() {
        stopping_ = true;
    }  // after the present turn
    bool stopped() const {
        return stopping_;
    }
    void turn(Micros longest);  // one turn, waiting no longer than this

private:
    struct Watched;
    struct Socket;
    struct ListeningSocket;
    struct DatagramSocket;
    struct SignalDescriptor;
    class SocketStream;
    class SocketListener;
    class SocketDatagrams;

    void watch(std::shared_ptr<Watched> what, short events);
    void forget(Watched& what);
    void want(Watched& what, short events);
    void mute(Watched& what);
    void flush();
    void ring();
    void refresh();
    bool hear_first(Micros since);
    std::size_t wait(Micros longest);  // how many descriptors are ready
    std::size_t poll_in_parts(Micros longest);
    void reckon_unseen(Micros before, Micros asked, Micros longest_wait);

    Limits limits_;
    Micros now_ = 0, unseen_ = 0;
    Micros last_overrun_ = 0;    // of the last turn's wait past its limit
    Micros unpolled_since_ = 0;  // polls have failed since then; 0: the last one did not
    bool poll_failed_ = false;   // the last one, for some descriptors at least
    bool stopping_ = false;
    bool heard_first_ = false;  // what had come was heard before sending, in the last turn
    bool behind_ = false;       // a listener left connections for the next turn
    TimerId last_timer_ = 0;
    std::set<std::pair<Micros, TimerId>> due_;
    std::map<TimerId, std::pair<Micros, std::function<void()>>> timers_;
    std::vector<pollfd> polled_;  // parallel to watched_
    std::vector<std::shared_ptr<Watched>> watched_;
    std::vector<std::shared_ptr<Socket>> to_flush_, to_offer_;
    std::vector<std::pair<std::shared_ptr<Watched>, short>> ready_;
};

}  // namespace gatetiller::net
