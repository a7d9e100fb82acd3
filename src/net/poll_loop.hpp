// The event loop on poll(2). Each turn writes the bytes sent in the previous turn, polls, processes ready
// descriptors and then runs due timers. Writes are batched per turn, so that several responses on one
// connection cost one system call.
#pragma once

#include <poll.h>

#include <map>
#include <set>
#include <vector>

#include "net/loop.hpp"

namespace gatetiller::net {

// Blocks signals, which stay pending until they are received. To be called first at startup, so that none of
// them ends the process by its default action.
void block_signals(const std::vector<int>& signals);

class PollLoop final : public Loop {
public:
    struct Limits {
        std::size_t input = 256 * 1024;  // maximum bytes buffered per stream that its owner has not consumed
        int accepts = 64;                // maximum new connections per listener and turn
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
        return input_delay_;
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

    // Calls `handler` in the loop's turns for each of these signals, including those that arrived while
    // blocked. Blocks them for the calling thread and threads started later, so it must run before any thread
    // starts.
    Result<bool> on_signals(const std::vector<int>& signals, std::function<void(int)> handler);

    void run();  // runs turns until stop()
    // Ends run() after the current turn.
    void stop() {
        stopping_ = true;
    }
    bool stopped() const {
        return stopping_;
    }
    void turn(Micros max_wait);  // runs one turn that waits at most `max_wait`

private:
    struct Watched;
    struct Socket;
    struct ListeningSocket;
    struct DatagramSocket;
    struct SignalDescriptor;
    class SocketStream;
    class SocketListener;
    class SocketDatagrams;

    void watch(std::shared_ptr<Watched> watched, short events);
    void unwatch(Watched& watched);
    void set_events(Watched& watched, short events);
    void stop_polling(Watched& watched);
    void flush();
    void run_due_timers();
    void update_time();
    bool must_read_first(Micros turn_start);
    std::size_t wait(Micros max_wait);  // returns the number of ready descriptors
    std::size_t poll_in_batches(Micros max_wait);
    void update_input_delay(Micros turn_start, Micros poll_start, Micros max_wait);

    Limits limits_;
    Micros now_ = 0, input_delay_ = 0;
    Micros last_overrun_ = 0;    // time by which the last turn's wait exceeded its limit
    Micros unpolled_since_ = 0;  // since when polls have failed; 0: the last one succeeded
    bool poll_failed_ = false;   // whether the last poll failed for any descriptor
    bool stopping_ = false;
    bool read_first_ = false;       // the last turn read input before writing
    bool accepts_pending_ = false;  // a listener left connections for the next turn
    TimerId last_timer_ = 0;
    std::set<std::pair<Micros, TimerId>> due_;
    std::map<TimerId, std::pair<Micros, std::function<void()>>> timers_;
    std::vector<pollfd> polled_;  // parallel to watched_
    std::vector<std::shared_ptr<Watched>> watched_;
    std::vector<std::shared_ptr<Socket>> to_flush_, to_deliver_;
    std::vector<std::pair<std::shared_ptr<Watched>, short>> ready_;
};

}  // namespace gatetiller::net
