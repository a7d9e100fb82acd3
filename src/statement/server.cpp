#include "statement/server.hpp"

#include <ctime>

#include "statement/json.hpp"

namespace gatetiller::statement {
namespace {

constexpr Micros kSweepInterval = kSecondMicros / 4;
constexpr std::size_t kFinishedOverheadBytes = 1024;  // of a finished statement beside its document
constexpr std::size_t kMinEvictedBytes = 16 * 1024;   // a statement that holds less is not worth an eviction
constexpr std::size_t kEvictionDivisor = 8;  // an eviction goes on until this part of the limit is free
constexpr std::string_view kStatement = "/v1/statement", kQuery = "/v1/query/", kInfo = "/v1/info";

std::string day_stamp(Micros wall) {
    const std::time_t t = wall / kSecondMicros;
    std::tm tm{};
    gmtime_r(&t, &tm);
    char text[32];
    std::strftime(text, sizeof text, "%Y%m%d_%H%M%S", &tm);
    return text;
}

}  // namespace

http::Response json_response(int status, std::string body) {
    http::Response r{status, {}, std::move(body)};
    r.headers.add("Content-Type", "application/json");
    return r;
}

http::Response text_response(int status, std::string text) {
    http::Response r{status, {}, std::move(text) + "\n"};
    r.headers.add("Content-Type", "text/plain; charset=utf-8");
    return r;
}

ServerSide::ServerSide(net::Loop& loop, ServerSideOptions options, Backend& backend,
                       std::function<std::string()> entropy)
    : loop_(loop),
      options_(std::move(options)),
      backend_(backend),
      entropy_(std::move(entropy)),
      started_at_(loop.now()),
      run_id_(entropy_().substr(0, 5)) {
    sweep_timer_ = loop_.after(kSweepInterval, [this] {
        sweep();
    });
}

ServerSide::~ServerSide() {
    loop_.cancel(sweep_timer_);
    loop_.cancel(eviction_timer_);
    for (auto& [id, s] : sessions_)
        loop_.cancel(s.timer);
}

void ServerSide::respond(http::Server::Reply& reply, http::Response response) {
    backend_.decorate(response);
    reply.send(response);
}

bool ServerSide::handle(http::Request& request, http::Server::Reply& reply) {
    const std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
    if (path == kStatement) {
        if (request.method == "POST")
            submit(request, reply);
        else
            respond(reply, text_response(405, "statements are sent with POST"));
    } else if (path.starts_with(std::string(kStatement) + "/")) {
        statement_path(request, path.substr(kStatement.size() + 1), reply);
    } else if (path.starts_with(kQuery)) {
        query_path(request, path.substr(kQuery.size()), reply);
    } else if (path == kInfo || path == "/v1/info/state" || path == "/v1/status") {
        info_path(request, path, reply);
    } else {
        return false;
    }
    return true;
}

std::string ServerSide::base_of(const http::Request& request) const {
    std::string_view scheme = "http", host = request.headers.find("Host").value_or("localhost");
    if (options_.trust_forwarded) {
        scheme = request.headers.find("X-Forwarded-Proto").value_or(scheme);
        host = request.headers.find("X-Forwarded-Host").value_or(host);
    }
    return std::string(scheme) + "://" + std::string(host);
}

void ServerSide::submit(http::Request& request, http::Server::Reply& reply) {
    auto context = read_context(request.headers);
    if (!context)
        return respond(reply, text_response(context.error().find("User") != std::string::npos ? 401 : 400,
                                            context.error()));
    if (request.body.find_first_not_of(" \t\r\n") == std::string::npos)
        return respond(reply, text_response(400, "the body is empty: send the statement's text in it"));
    std::string count = std::to_string(++statement_count_);
    if (count.size() < 5)
        count.insert(0, 5 - count.size(), '0');
    const std::string id = day_stamp(loop_.wall()) + "_" + count + "_" + run_id_;
    Session& s = sessions_[id];
    s.slug = "y" + entropy_();
    s.user = context->user, s.sql = request.body, s.base = base_of(request);
    s.last_poll_at = loop_.now();
    s.position = by_last_poll_.insert(by_last_poll_.end(), id);
    // Answered before it is run: some clients pass over rows and errors of this first document.
    Document first;
    first.id = id, first.info_uri = info_uri(id, s), first.next_uri = uri(id, s, 1);
    first.stats.queued = true;
    http::Response response = json_response(200, write_document(first));
    if (auto refused =
            backend_.submit(id, {std::move(*context), std::move(request.body), std::move(request.peer)})) {
        by_last_poll_.erase(s.position);
        sessions_.erase(id);
        return respond(reply, std::move(*refused));
    }
    respond(reply, std::move(response));
}

std::string ServerSide::info_uri(const std::string& id, const Session& s) {
    return s.base + std::string(kQuery) + id;
}

std::string ServerSide::uri(const std::string& id, const Session& s, std::uint64_t token) const {
    const char* phase = s.state == "QUEUED" ? "/queued/" : "/executing/";
    return s.base + std::string(kStatement) + phase + id + "/" + s.slug + "/" + std::to_string(token);
}

void ServerSide::statement_path(http::Request& request, std::string_view path, http::Server::Reply& reply) {
    // Trailing parts are never empty, so split() by '/' gives exactly {phase, id, slug, token}.
    const auto parts = split(path, '/');
    if (parts.size() != 4 || (parts[0] != "queued" && parts[0] != "executing"))
        return respond(reply, text_response(404, "no such path"));
    const auto found = sessions_.find(parts[1]);
    const auto token = to_number<std::uint64_t>(parts[3]);
    // An id with a wrong slug looks like one that doesn't exist.
    if (found == sessions_.end() || found->second.slug != parts[2] || !token)
        return respond(reply, text_response(404, "no such statement"));
    const std::string id = found->first;
    Session& s = found->second;
    if (request.method == "DELETE") {
        if (!s.finished)
            cancel(id, CancelReason::cancelled);
        return respond(reply, {204, {}, {}});
    }
    if (request.method != "GET" && request.method != "HEAD")
        return respond(reply, text_response(405, "statements are polled with GET and cancelled with DELETE"));
    record_poll(s);
    if (*token == s.token && *token > 0)
        return respond(reply, s.latest);
    if (*token <= s.token)
        return respond(reply, text_response(410, "a document that has been passed"));
    if (*token > s.token + 1 || s.finished)
        return respond(reply, text_response(404, "no such document"));
    poll(id, s, reply);
}

void ServerSide::poll(const std::string& id, Session& s, http::Server::Reply& reply) {
    // The same poll again while the first is held: its client has given up on it, the newer one gets the
    // answer.
    if (s.held_poll) {
        auto older = std::move(*s.held_poll);
        s.held_poll.reset();
        respond(older, text_response(503, "asked again meanwhile"));
    }
    if (!s.waiting.empty())
        return send_next_document(id, s, std::move(reply));
    s.held_poll = std::move(reply);
    const std::uint64_t serial = s.held_poll_number = ++held_polls_;
    const auto mine = [this, id, serial]() -> Session* {
        const auto found = sessions_.find(id);
        return found != sessions_.end() && found->second.held_poll && found->second.held_poll_number == serial
                   ? &found->second
                   : nullptr;
    };
    s.held_poll->on_disconnect([this, mine] {
        if (Session* held = mine()) {
            held->held_poll.reset();
            record_poll(*held);
            loop_.cancel(std::exchange(held->timer, 0));
        }
    });
    loop_.cancel(s.timer);
    s.timer = loop_.after(options_.long_poll, [this, id, mine] {
        if (Session* held = mine()) {
            held->timer = 0;
            auto to = std::move(*held->held_poll);
            held->held_poll.reset();
            send_progress(id, *held, std::move(to));
        }
    });
}

void ServerSide::send_progress(const std::string& id, Session& s, http::Server::Reply reply) {
    Document d;
    d.id = id, d.info_uri = info_uri(id, s);
    d.stats = backend_.progress(id);
    s.state = d.stats.state;
    d.next_uri = uri(id, s, s.token + 2);
    ++s.token;
    set_latest(s, json_response(200, write_document(d)));
    record_poll(s);
    respond(reply, s.latest);
}

void ServerSide::send_next_document(const std::string& id, Session& s, http::Server::Reply reply) {
    if (s.waiting.front().document.has_rows() && !std::exchange(s.rows_sent, true)) {
        backend_.on_rows_started(id);
        // What that led to may have ended the statement.
        if (!sessions_.contains(id) || s.waiting.empty())
            return respond(reply, text_response(503, "try again"));
    }
    Waiting next = std::move(s.waiting.front());
    s.waiting.pop_front();
    s.waiting_bytes -= next.document.held_bytes();
    total_waiting_bytes_ -= next.document.held_bytes();
    Document& d = next.document;
    const bool final = d.final();
    s.state = d.stats.state;
    d.id = id, d.info_uri = info_uri(id, s);
    d.partial_cancel_uri.clear();
    d.next_uri = final ? "" : uri(id, s, s.token + 2);
    ++s.token;
    set_latest(s, json_response(200, write_document(d)));
    for (const auto& [key, value] : next.headers)
        s.latest.headers.add(key, value);
    if (final)
        finish(id, s);
    else
        record_poll(s);
    respond(reply, s.latest);
    if (final)
        backend_.on_final_document_sent(id);
    else
        backend_.on_document_sent(id);
}

void ServerSide::push(const std::string& id, Document document, http::Headers headers) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end() || found->second.final_queued)
        return;
    Session& s = found->second;
    s.final_queued = document.final();
    if (document.error)
        s.error_name = document.error->name, s.error_code = document.error->code;
    s.waiting_bytes += document.held_bytes();
    total_waiting_bytes_ += document.held_bytes();
    s.waiting.push_back({std::move(document), std::move(headers)});
    if (!s.held_poll)
        return schedule_eviction();
    loop_.cancel(std::exchange(s.timer, 0));
    auto reply = std::move(*s.held_poll);
    s.held_poll.reset();
    send_next_document(id, s, std::move(reply));
}

void ServerSide::drop_waiting(const std::string& id) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end())
        return;
    found->second.waiting.clear();
    total_waiting_bytes_ -= std::exchange(found->second.waiting_bytes, 0);
}

std::size_t ServerSide::waiting_bytes(const std::string& id) const {
    const auto found = sessions_.find(id);
    return found == sessions_.end() ? 0 : found->second.waiting_bytes;
}

// What ends a statement from the client's side. Its next poll is told so, as others may share the statement.
void ServerSide::cancel(const std::string& id, CancelReason reason) {
    Session& s = sessions_.find(id)->second;
    if (s.finished)
        return;
    drop_waiting(id);
    s.final_queued = false;
    backend_.on_cancelled(id, reason);
    if (!sessions_.contains(id))
        return;
    if (reason == CancelReason::abandoned) {
        s.final_queued = true;
        set_latest(s, text_response(404, "abandoned"));
        return finish(id, s);
    }
    Document d;
    d.stats.state = "FAILED";
    d.error = reason == CancelReason::evicted
                  ? error_named("GENERIC_INSUFFICIENT_RESOURCES",
                                "the result was dropped, as the client had not asked and memory ran short")
                  : error_named("USER_CANCELED", "the statement was cancelled");
    push(id, std::move(d));
}

// ---- The memory of results

void ServerSide::set_latest(Session& s, http::Response response) {
    total_latest_bytes_ += response.body.size();
    total_latest_bytes_ -= s.latest.body.size();
    s.latest = std::move(response);
    schedule_eviction();
}

// In a later turn, as the caller is in the middle of a statement.
void ServerSide::schedule_eviction() {
    if (result_bytes() <= options_.result_bytes || eviction_timer_ != 0)
        return;
    eviction_timer_ = loop_.after(0, [this] {
        eviction_timer_ = 0;
        evict_excess();
    });
}

void ServerSide::evict_excess() {
    const std::size_t target = options_.result_bytes - options_.result_bytes / kEvictionDivisor;
    std::size_t remaining = result_bytes();
    std::vector<std::string> evicted;
    for (const std::string& id : by_last_poll_) {
        if (remaining <= target)
            break;
        const Session& s = sessions_.find(id)->second;
        const std::size_t bytes = s.waiting_bytes + s.latest.body.size();
        if (bytes < kMinEvictedBytes)
            continue;
        remaining -= bytes;
        evicted.push_back(id);
    }
    for (const std::string& id : evicted)
        evict(id);
}

void ServerSide::evict(const std::string& id) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end() || found->second.finished)
        return;
    Session& s = found->second;
    set_latest(s, text_response(410, "a document that has been passed"));
    if (s.held_poll)
        return;  // its client asks for the next document, so it has received the latest
    ++evicted_;
    cancel(id, CancelReason::evicted);
}

void ServerSide::record_poll(Session& s) {
    s.last_poll_at = loop_.now();
    if (!s.finished)
        by_last_poll_.splice(by_last_poll_.end(), by_last_poll_, s.position);
}

void ServerSide::finish(const std::string& id, Session& s) {
    if (std::exchange(s.finished, true))
        return;
    by_last_poll_.erase(s.position);
    s.sql = {};
    total_latest_bytes_ -= s.latest.body.size();
    finished_.emplace_back(loop_.now(), id);
    finished_bytes_ += s.latest.body.size() + kFinishedOverheadBytes;
    while (finished_bytes_ > options_.finished_bytes && finished_.size() > 1)
        remove_oldest_finished();
}

void ServerSide::remove_oldest_finished() {
    const auto found = sessions_.find(finished_.front().second);
    finished_bytes_ -= std::min(finished_bytes_, found->second.latest.body.size() + kFinishedOverheadBytes);
    loop_.cancel(found->second.timer);
    sessions_.erase(found);
    finished_.pop_front();
}

void ServerSide::sweep() {
    const Micros now = loop_.now();
    while (!finished_.empty() && now - finished_.front().first >= options_.finished_kept)
        remove_oldest_finished();
    while (!by_last_poll_.empty()) {
        Session& oldest = sessions_.find(by_last_poll_.front())->second;
        if (now - oldest.last_poll_at < options_.abandoned_after)
            break;
        if (oldest.held_poll)
            record_poll(oldest);  // its poll is being held: it asks
        else
            cancel(std::string(by_last_poll_.front()), CancelReason::abandoned);
    }
    sweep_timer_ = loop_.after(kSweepInterval, [this] {
        sweep();
    });
}

void ServerSide::query_path(http::Request& request, std::string_view id, http::Server::Reply& reply) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end())
        return respond(reply, text_response(404, "no such statement"));
    Session& s = found->second;
    const auto context = read_context(request.headers);
    if (!context)
        return respond(reply, text_response(401, context.error()));
    if (context->user != s.user)
        return respond(reply, text_response(403, "another user's statement"));
    if (request.method == "DELETE") {
        if (!s.finished)
            cancel(std::string(id), CancelReason::killed);
        return respond(reply, {204, {}, {}});
    }
    if (request.method != "GET")
        return respond(reply, text_response(405, "GET or DELETE"));
    const Stats stats = s.finished ? Stats{.state = s.error_name.empty() ? "FINISHED" : "FAILED"}
                                   : backend_.progress(found->first);
    std::string body = "{\"queryId\":" + json_string(id) + ",\"state\":" + json_string(stats.state) +
                       ",\"query\":" + json_string(s.sql) + ",\"session\":{\"user\":" + json_string(s.user) +
                       "},\"queryStats\":" + write_stats(stats);
    if (!s.error_name.empty())
        body += ",\"errorCode\":{\"code\":" + std::to_string(s.error_code) +
                ",\"name\":" + json_string(s.error_name) + "}";
    respond(reply, json_response(200, body + "}"));
}

void ServerSide::info_path(http::Request& request, std::string_view path, http::Server::Reply& reply) {
    const auto up = (loop_.now() - started_at_) / kMillisecond;
    if (path == "/v1/info/state") {
        if (request.method == "PUT") {
            const std::string& from = request.peer;
            const bool here =
                from.starts_with("127.") || from.starts_with("[::1]") || from.starts_with("unix:");
            if (!here && !options_.remote_drain)
                return respond(reply, text_response(403, "drained from its own machine only"));
            if (trimmed(request.body) != "\"SHUTTING_DOWN\"")
                return respond(reply, text_response(400, "the one state to put is \"SHUTTING_DOWN\""));
            draining = true;
            backend_.drain();
            return respond(reply, {200, {}, {}});
        }
        return respond(reply, json_response(200, draining   ? "\"SHUTTING_DOWN\""
                                                 : starting ? "\"STARTING\""
                                                            : "\"ACTIVE\""));
    }
    if (request.method != "GET" && request.method != "HEAD")
        return respond(reply, text_response(405, "GET"));
    if (path == "/v1/info")
        return respond(
            reply,
            json_response(200, "{\"nodeVersion\":{\"version\":" + json_string(options_.version) +
                                   "},\"environment\":" + json_string(options_.environment) +
                                   ",\"coordinator\":true,\"starting\":" + (starting ? "true" : "false") +
                                   ",\"uptime\":\"" + std::to_string(up) + ".00ms\"}"));
    respond(reply, json_response(200, "{\"nodeId\":" + json_string(options_.node_id) + ",\"uptime\":\"" +
                                          std::to_string(up) + ".00ms\"" + backend_.status_members() + "}"));
}

}  // namespace gatetiller::statement
