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

    Micros now() const override { return now_; }
    Micros unseen() const override { return unseen_; }
    Micros wall() const override;
    TimerId after(Micros delay, std::function<void()> call) override;
    void cancel(TimerId timer) override;
    Result<std::unique_ptr<Listener>> listen(const Address& at,
                                             std::function<void(std::unique_ptr<Stream>)> accepted) override;
    std::unique_ptr<Stream> connect(const Address& to, StreamEvents& events, Micros time_out) override;
    Result<std::unique_ptr<Datagrams>> datagrams(const Address& at, Datagrams::Received received) override;

    // Calls `then` for each of these signals from the loop's turns. They are blocked for the whole process,
    // so this comes before any thread starts.
    void on_signals(const std::vector<int>& signals, std::function<void(int)> then);

    void run();                        // until stop()
    void stop() { stopping_ = true; }  // after the present turn
    void turn(Micros longest);         // one turn, waiting no longer than this

private:
    struct Watched;
    struct Socket;
    struct Door;
    struct Signals;
    class SocketStream;
    class DoorListener;
    struct Post;
    class PostDatagrams;

    void watch(std::shared_ptr<Watched> what, short events);
    void forget(Watched& what);
    void want(Watched& what, short events);
    void mute(Watched& what);
    void flush();
    void ring();
    void refresh();

    Limits limits_;
    Micros now_ = 0, unseen_ = 0;
    bool stopping_ = false;
    bool behind_ = false;  // a listener left connections for the next turn
    TimerId last_timer_ = 0;
    std::set<std::pair<Micros, TimerId>> due_;
    std::map<TimerId, std::pair<Micros, std::function<void()>>> timers_;
    std::vector<pollfd> polled_;  // parallel to watched_
    std::vector<std::shared_ptr<Watched>> watched_;
    std::vector<std::shared_ptr<Socket>> to_flush_, to_offer_;
    std::vector<std::pair<std::shared_ptr<Watched>, short>> ready_;
};

}  // namespace gatetiller::net
