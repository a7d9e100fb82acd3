// A limit on the bytes that clients make a process hold before their messages are complete.
//
// All connections of one server share a budget. Each reports what it holds. While they hold more than the
// limit together, streams read little (Stream::set_input_budget), and the server discards incomplete
// messages, the largest first. So clients with small messages are served however many others send large ones.
// The memory held is at most the limit, one read of one stream, and kAllowanceBytes for each connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace gatetiller::net {

class InputBudget {
public:
    // Identifies a connection among those of one server.
    using Holder = std::uint64_t;

    // What a connection may hold although the budget is exceeded.
    static constexpr std::size_t kAllowanceBytes = 4096;

    // `limit`: bytes of all connections together.
    explicit InputBudget(std::size_t limit) : limit_(limit) {}

    void set_limit(std::size_t limit) {
        limit_ = limit;
    }
    // Replaces what `holder` holds. `discardable`: it is one incomplete message, which can be discarded.
    void update(Holder holder, std::size_t bytes, bool discardable);
    // The connection is closed.
    void remove(Holder holder) {
        update(holder, 0, false);
    }
    // Bytes of all connections together.
    std::size_t held() const {
        return held_;
    }
    bool exceeded() const {
        return held_ > limit_;
    }
    // Returns the connection with the largest incomplete message if the budget is exceeded, or nothing if it
    // is not, or if each holds less than kAllowanceBytes of one and so goes on reading. One that holds as
    // much as that would read no more until the others end.
    std::optional<Holder> select_discard() const;

private:
    struct Held {
        std::size_t bytes = 0;
        bool discardable = false;
    };

    std::size_t limit_;
    std::size_t held_ = 0;
    std::unordered_map<Holder, Held> by_holder_;  // those that hold something
};

}  // namespace gatetiller::net
