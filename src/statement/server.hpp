// The server side of the statement API: statements by id, slug and token, polls held while nothing is new,
// the latest document kept for being asked again, cancelling, abandonment. What a statement answers comes
// from its Backend.
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

enum class Left {
    cancelled,
    abandoned,
    killed,
    evicted  // its result was dropped for lack of memory, as its client had not asked for longest
};

struct Submission {
    Context context;
    std::string sql, peer;
};

class Backend {
public:
    virtual ~Backend() = default;
    // Takes a statement or answers why not. A taken one may be answered from within this call.
    virtual std::optional<http::Response> submit(const std::string& id, Submission submission) = 0;
    // The client has left before the final document was given out.
    virtual void left(const std::string& id, Left how) = 0;
    // A document with rows is about to be given out for the first time.
    virtual void rows_going_out(const std::string& id) = 0;
    // A waiting document has been given out: there is room for more.
    virtual void room(const std::string& id) = 0;
    // The final document has been given out.
    virtual void final_given(const std::string& id) = 0;
    // What to say while nothing is new.
    virtual Stats progress(const std::string& id) = 0;
    // Drains this server, as PUT /v1/info/state asks.
    virtual void drain() = 0;
    // More members for GET /v1/status, as JSON members after a comma; may be empty.
    virtual std::string status_members() = 0;
    // Headers for every answer, such as a load report.
    virtual void decorate(http::Response& response) = 0;
};

struct ServerSideOptions {
    std::string node_id = "gatetiller", version = "0.2.0", environment = "production";
    Micros long_poll = kSecondMicros;               // a poll is held for so long while nothing is new
    Micros abandoned_after = 300 * kSecondMicros;   // without a poll
    Micros finished_kept = 30 * kSecondMicros;      // the final document, for being asked again
    std::size_t finished_bytes = 64 * 1024 * 1024;  // and in all, overhead included: the oldest go first
    // Bytes of rows that wait and of the latest documents, of all statements that are not finished. Beyond it
    // those whose clients have not asked for longest fail.
    std::size_t result_bytes = std::size_t{1} << 30;
    bool remote_drain = false;  // PUT /v1/info/state is heard from other machines too, not only from this one
    bool trust_forwarded = false;  // X-Forwarded-Proto and -Host build the URIs
};

class ServerSide {
public:
    // `entropy` gives 32 hex digits that nobody can guess, for slugs.
    ServerSide(net::Loop& loop, ServerSideOptions options, Backend& backend,
               std::function<std::string()> entropy);
    ~ServerSide();
    ServerSide(const ServerSide&) = delete;
    ServerSide& operator=(const ServerSide&) = delete;

    // For http::Server. False: the path is none of this API's; nothing was done.
    bool handle(http::Request& request, http::Server::Reply& reply);

    // Puts a document at the end of those waiting; id and URIs are set here. `headers` go with it. One whose
    // next_uri is empty is the final one; after it nothing more is taken.
    void push(const std::string& id, Document document, http::Headers headers = {});
    // Drops what waits and has not been given out, and what rows may have been in it.
    void drop_waiting(const std::string& id);
    std::size_t waiting_bytes(const std::string& id) const;
    std::size_t waiting_in_all() const {
        return waiting_in_all_;
    }
    // Bytes of rows that wait and of the latest documents, of all statements that are not finished.
    std::size_t result_bytes() const {
        return waiting_in_all_ + latest_in_all_;
    }
    // Statements that failed because result_bytes() exceeded its limit.
    std::uint64_t evicted() const {
        return evicted_;
    }
    bool starting = false, draining = false;
    std::size_t kept() const {
        return finished_.size();
    }

private:
    struct Waiting {
        Document document;
        http::Headers headers;
    };
    struct Session {
        std::string slug, user, sql, base;
        std::uint64_t token = 0;  // of the latest document given out
        http::Response latest;
        std::deque<Waiting> waiting;
        std::size_t waiting_bytes = 0;
        bool final_queued = false, finished = false, rows_out = false;
        std::string state = "QUEUED", error_name;
        std::int64_t error_code = 0;
        Micros asked = 0;                          // when a poll last came or was answered
        std::list<std::string>::iterator place{};  // in by_asking_, while not finished
        std::optional<http::Server::Reply> held;
        std::uint64_t held_serial = 0;
        net::TimerId timer = 0;
    };

    void submit(http::Request& request, http::Server::Reply& reply);
    void statement_path(http::Request& request, std::string_view path, http::Server::Reply& reply);
    void query_path(http::Request& request, std::string_view id, http::Server::Reply& reply);
    void info_path(http::Request& request, std::string_view rest, http::Server::Reply& reply);
    void poll(const std::string& id, Session& s, http::Server::Reply& reply);
    void give(const std::string& id, Session& s, http::Server::Reply reply);
    void give_progress(const std::string& id, Session& s, http::Server::Reply reply);
    std::string uri(const std::string& id, const Session& s, std::uint64_t token) const;
    void leave(const std::string& id, Left how);
    void set_latest(Session& s, http::Response response);
    void schedule_eviction();
    void evict_excess();
    void evict(const std::string& id);
    void touch(Session& s);  // its client is there
    void finish(const std::string& id, Session& s);
    void forget(const std::string& id);
    void sweep();
    void answer(http::Server::Reply& reply, http::Response response);
    std::string base_of(const http::Request& request) const;
    static std::string info_uri(const std::string& id, const Session& s);

    net::Loop& loop_;
    ServerSideOptions options_;
    Backend& backend_;
    std::function<std::string()> entropy_;
    Micros started_;
    std::uint64_t last_ = 0, held_ = 0;
    std::string run_;  // of ids: differs between runs, so that no id comes twice
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return std::hash<std::string_view>{}(text);
        }
    };
    std::unordered_map<std::string, Session, Hash, std::equal_to<>> sessions_;
    // Those not finished, the one that asked longest ago first: abandonment looks at that end only.
    std::list<std::string> by_asking_;
    std::deque<std::pair<Micros, std::string>> finished_;
    std::size_t finished_bytes_ = 0, waiting_in_all_ = 0;
    std::size_t latest_in_all_ = 0;  // of the latest documents of statements that are not finished
    std::uint64_t evicted_ = 0;
    net::TimerId sweeping_ = 0, eviction_timer_ = 0;
};

http::Response json_response(int status, std::string body);
http::Response text_response(int status, std::string text);

}  // namespace gatetiller::statement
