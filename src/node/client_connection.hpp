// One connection of ClientSessions: reads its messages, and queues the responses to them. Internal to
// src/node.
//
// A message that is discarded before it is complete (net::InputBudget) is read to its end without being
// stored, so that the messages after it are read as usual. A request is then rejected like one for which the
// node has no room.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "node/client_sessions.hpp"

namespace gatetiller::node {

class ClientSessions::Connection final : public net::StreamEvents {
public:
    Connection(ClientSessions& sessions, ClientId id, std::unique_ptr<net::Stream> stream);

    // Starts reading. To be called once the connection can be found by its id, as reading may close it.
    void start();
    void on_data(Buffer& in) override;
    void on_sent() override;
    void on_closed(net::Closed how) override;

    decide::ClientSnapshot snapshot() const;
    decide::ClosingContext closing_context() const;
    bool is_closing() const {
        return state_.closing;
    }
    ClientId id() const {
        return id_;
    }
    const std::string& peer() const {
        return stream_->peer();
    }

    // `wait`: the maximum time that the connection may have spent in the listen backlog.
    void set_backlog_wait(Micros wait) {
        backlog_wait_ = wait;
    }
    // The connection counts as having unread bytes until that time or until bytes are read.
    void set_unread_until(Micros until) {
        unread_until_ = until;
    }
    // Reads the bytes that have arrived, and returns whether it read all of them. May destroy the connection.
    bool read_now() {
        return stream_->read_now();
    }
    // Queues the response. Returns false if the request is not open.
    bool respond(std::int32_t sequence, std::string frame);
    std::size_t unsent() const {
        return stream_->unsent();
    }
    // Its part of ClientSessions::unsent_bytes().
    std::size_t reported_unsent() const {
        return reported_unsent_;
    }
    // To be called at each sweep.
    decide::ReaderSnapshot check_reading();
    void close_if_answered();
    // Discards the part of a message that has arrived, and its rest once it arrives.
    void discard_partial_message();
    // Closes gracefully: pending output is sent, further input is read and discarded.
    void close(const decide::ClosePermit& permit);
    std::set<std::int32_t> release_all() {
        return sequence_numbers_.release_all();
    }

private:
    // The result of reading the next message in the buffer.
    enum class Reading {
        complete,    // one message was read; there may be more
        incomplete,  // there is nothing more to read in this turn
        deferred,    // complete messages are left for a later turn
        gone,        // the connection has been destroyed
    };
    // The incomplete message at the end of the input.
    struct PartialMessage {
        Result<thrift::CallHead> head;
        std::size_t received_bytes = 0;
    };
    // A message of which nothing is stored.
    struct DiscardedMessage {
        thrift::CallHead head;
        std::size_t missing_bytes = 0;
    };

    void read_messages(Buffer& in);
    void report_held_input(Buffer& in);
    void skip_discarded_message(Buffer& in);
    void end_discarded_message(const thrift::CallHead& head);
    Reading read_message(Buffer& in, int calls);
    bool must_read_first(const thrift::Call& call) const;
    void defer();
    void handle(thrift::Call call);
    void handle_process(thrift::Call call);
    // Opens the sequence number of a request. Returns false after ending the connection as malformed.
    bool accept_sequence_number(std::int32_t sequence);
    void queue(std::string frame);
    void count_queued(std::size_t bytes);
    void report_unsent();
    void end_malformed(std::int32_t sequence, thrift::Fault fault, const std::string& reason);
    Micros max_unread_wait() const;

    ClientSessions& sessions_;
    ClientId id_;
    std::unique_ptr<net::Stream> stream_;
    decide::ClientSnapshot state_;  // without the number of open requests, which is in `sequence_numbers_`
    decide::ClientSequenceNumbers sequence_numbers_;
    decide::ReadProgress read_progress_;     // bytes that the kernel accepted
    decide::ReadProgress acknowledgements_;  // bytes that the client's machine acknowledged
    Micros backlog_wait_ = 0;                // maximum time spent in the listen backlog
    bool deferred_ = false;                  // complete messages wait for a later turn
    bool waits_for_client_ = false;          // they wait until the client has read its responses
    std::size_t reported_unsent_ = 0;        // counted in ClientSessions::unsent_bytes()
    // A malformed message has arrived: further input is discarded, and the connection closes once the
    // accepted requests have their responses.
    bool malformed_ = false;
    Micros deferred_since_ = 0;  // since when the deferred messages have waited; 0: none are deferred
    Micros waiting_since_ = 0;   // since when the messages of this turn have waited; 0: since they arrived
    Micros unread_until_ = 0;    // unread bytes are assumed until then or until bytes are read
    // Set while InputBudget::kAllowanceBytes or more of an incomplete message are held.
    std::optional<PartialMessage> partial_message_;
    std::optional<DiscardedMessage> discarded_message_;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace gatetiller::node
