// The server side of the statement API: statements by id, slug and token. A poll without news is held for a
// while, the latest document is kept so that a client may ask for it again, and a statement is cancelled by
// its client or abandoned without polls. The documents come from a Backend.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "http/server.hpp"
#include "statement/context.hpp"
#include "statement/document.hpp"

namespace gatetiller::statement {

// Why a statement ended before its final document was sent.
enum class CancelReason {
    // Its client cancelled it.
    cancelled,
    // Its client did not poll for ServerSideOptions::abandoned_after.
    abandoned,
    // It was cancelled by its id, not by its client's URI.
    killed,
    // Its result was dropped for lack of memory (ServerSideOptions::result_bytes).
    evicted
};

// A statement as its client sent it.
struct Submission {
    Context context;
    std::string sql;
    std::string peer;  // address of the client
};

// Executes the statements of a ServerSide.
class Backend {
public:
    virtual ~Backend() = default;
    // Accepts a statement and returns nothing, or returns the rejection. Documents of an accepted statement
    // may be pushed within this call.
    virtual std::optional<http::Response> submit(const std::string& id, Submission submission) = 0;
    // The statement ended before its final document was sent.
    virtual void on_cancelled(const std::string& id, CancelReason reason) = 0;
    // A document with rows is about to be sent for the first time.
    virtual void on_rows_started(const std::string& id) = 0;
    // A waiting document was sent, so that more may be pushed.
    virtual void on_document_sent(const std::string& id) = 0;
    virtual void on_final_document_sent(const std::string& id) = 0;
    // Returns the statistics to send while no document waits.
    virtual Stats progress(const std::string& id) = 0;
    // Starts draining this server, on PUT /v1/info/state.
    virtual void drain() = 0;
    // Returns further members for GET /v1/status, as JSON members after a comma; may be empty.
    virtual std::string status_members() = 0;
    // Adds headers to every response, such as a load report.
    virtual void decorate(http::Response& response) = 0;
};

// Times in microseconds.
struct ServerSideOptions {
    std::string node_id = "gatetiller";
    std::string version = "0.2.0";
    std::string environment = "production";
    // How long a poll is held while no document waits.
    Micros long_poll = kSecondMicros;
    // A statement without a poll for this long is abandoned.
    Micros abandoned_after = 300 * kSecondMicros;
    // How long the final document is kept, so that a client may ask for it again.
    Micros finished_kept = 30 * kSecondMicros;
    // Bytes of all final documents kept, overhead included; beyond it the oldest are removed.
    std::size_t finished_bytes = 64 * 1024 * 1024;
    // Bytes of rows that wait and of the latest documents, of all statements that are not finished. Beyond it
    // those whose clients have not polled for longest are ended.
    std::size_t result_bytes = std::size_t{1} << 30;
    // PUT /v1/info/state is accepted from other machines too, not only from this one.
    bool remote_drain = false;
    // URIs are built from X-Forwarded-Proto and X-Forwarded-Host.
    bool trust_forwarded = false;
};

class ServerSide {
public:
    // `entropy` returns 32 unpredictable hex digits, for slugs. The loop and the backend must outlive this.
    ServerSide(net::Loop& loop, ServerSideOptions options, Backend& backend,
               std::function<std::string()> entropy);
    ~ServerSide();
    ServerSide(const ServerSide&) = delete;
    ServerSide& operator=(const ServerSide&) = delete;

    // Handles a request for http::Server. Returns false, without any effect, for a path of another API.
    bool handle(http::Request& request, http::Server::Reply& reply);

    // Queues a document for the client; its id and URIs are set here. `headers` are sent with it. A document
    // without next_uri is the final one; later ones are ignored.
    void push(const std::string& id, Document document, http::Headers headers = {});
    // Drops the documents that wait.
    void drop_waiting(const std::string& id);
    // Bytes of the documents that wait, of one statement and of all.
    std::size_t waiting_bytes(const std::string& id) const;
    std::size_t total_waiting_bytes() const {
        return total_waiting_bytes_;
    }
    // Bytes of rows that wait and of the latest documents, of all statements that are not finished.
    std::size_t result_bytes() const {
        return total_waiting_bytes_ + total_latest_bytes_;
    }
    // Statements that were ended because result_bytes() exceeded its limit.
    std::uint64_t evicted() const {
        return evicted_;
    }
    // Statements whose final document is kept.
    std::size_t finished_statements() const {
        return finished_.size();
    }
    // Reported by GET /v1/info and /v1/info/state.
    bool starting = false;
    bool draining = false;

private:
    struct Waiting {
        Document document;
        http::Headers headers;
    };
    struct Session {
        std::string slug;
        std::string user;
        std::string sql;
        std::string base;         // of its URIs
        std::uint64_t token = 0;  // of the latest document
        http::Response latest;
        std::deque<Waiting> waiting;
        std::size_t waiting_bytes = 0;
        bool final_queued = false;
        bool finished = false;
        bool rows_sent = false;
        std::string state = "QUEUED";
        std::string error_name;
        std::int64_t error_code = 0;
        Micros last_poll_at = 0;                      // the arrival of a poll or the response to it
        std::list<std::string>::iterator position{};  // in by_last_poll_, while not finished
        std::optional<http::Server::Reply> held_poll;
        std::uint64_t held_poll_number = 0;
        net::TimerId timer = 0;  // for the response to the held poll
    };

    void submit(http::Request& request, http::Server::Reply& reply);
    void statement_path(http::Request& request, std::string_view path, http::Server::Reply& reply);
    void query_path(http::Request& request, std::string_view id, http::Server::Reply& reply);
    void info_path(http::Request& request, std::string_view rest, http::Server::Reply& reply);
    void poll(const std::string& id, Session& s, http::Server::Reply& reply);
    void send_next_document(const std::string& id, Session& s, http::Server::Reply reply);
    void send_progress(const std::string& id, Session& s, http::Server::Reply reply);
    std::string uri(const std::string& id, const Session& s, std::uint64_t token) const;
    void cancel(const std::string& id, CancelReason reason);
    void set_latest(Session& s, http::Response response);
    void schedule_eviction();
    void evict_excess();
    void evict(const std::string& id);
    void record_poll(Session& s);
    void finish(const std::string& id, Session& s);
    void remove_oldest_finished();
    void sweep();
    void respond(http::Server::Reply& reply, http::Response response);
    std::string base_of(const http::Request& request) const;
    static std::string info_uri(const std::string& id, const Session& s);

    net::Loop& loop_;
    ServerSideOptions options_;
    Backend& backend_;
    std::function<std::string()> entropy_;
    Micros started_at_;
    std::uint64_t statement_count_ = 0;
    std::uint64_t held_polls_ = 0;
    std::string run_id_;  // part of the statement ids, which thus differ between runs
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return std::hash<std::string_view>{}(text);
        }
    };
    std::unordered_map<std::string, Session, Hash, std::equal_to<>> sessions_;
    // Statements that are not finished; the one whose client polled longest ago first.
    std::list<std::string> by_last_poll_;
    std::deque<std::pair<Micros, std::string>> finished_;  // the oldest first
    std::size_t finished_bytes_ = 0;
    std::size_t total_waiting_bytes_ = 0;
    std::size_t total_latest_bytes_ = 0;  // of the latest documents of statements that are not finished
    std::uint64_t evicted_ = 0;
    net::TimerId sweep_timer_ = 0;
    net::TimerId eviction_timer_ = 0;
};

http::Response json_response(int status, std::string body);
http::Response text_response(int status, std::string text);

}  // namespace gatetiller::statement
