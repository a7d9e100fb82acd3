#include "statement/server.hpp"

#include <ctime>

#include "statement/json.hpp"

namespace gatetiller::statement {
namespace {

constexpr Micros kSweep = kSecondMicros / 4;
constexpr std::size_t kKeptOverhead = 1024;          // of a finished statement beside its document
constexpr std::size_t kMinEvictedBytes = 16 * 1024;  // a statement that holds less is not worth an eviction
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
      started_(loop.now()),
      run_(entropy_().substr(0, 5)) {
    sweeping_ = loop_.after(kSweep, [this] {
        sweep();
    });
}

ServerSide::~ServerSide() {
    loop_.cancel(sweeping_);
    loop_.cancel(eviction_timer_);
    for (auto& [id, s] : sessions_)
        loop_.cancel(s.timer);
}

void ServerSide::answer(http::Server::Reply& reply, http::Response response) {
    backend_.decorate(response);
    reply.send(response);
}

bool ServerSide::handle(http::Request& request, http::Server::Reply& reply) {
    const std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
    if (path == kStatement) {
        if (request.method == "POST")
            submit(request, reply);
        else
            answer(reply, text_response(405, "statements are sent with POST"));
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
        return answer(reply, text_response(context.error().find("User") != std::string::npos ? 401 : 400,
                                           context.error()));
    if (request.body.find_first_not_of(" \t\r\n") == std::string::npos)
        return answer(reply, text_response(400, "the body is empty: send the statement's text in it"));
    std::string count = std::to_string(++last_);
    if (count.size() < 5)
        count.insert(0, 5 - count.size(), '0');
    const std::string id = day_stamp(loop_.wall()) + "_" + count + "_" + run_;
    Session& s = sessions_[id];
    s.slug = "y" + entropy_();
    s.user = context->user, s.sql = request.body, s.base = base_of(request);
    s.asked = loop_.now();
    s.place = by_asking_.insert(by_asking_.end(), id);
    // Answered before it is run: some clients pass over rows and errors of this first document.
    Document first;
    first.id = id, first.info_uri = info_uri(id, s), first.next_uri = uri(id, s, 1);
    first.stats.queued = true;
    http::Response response = json_response(200, write_document(first));
    if (auto refused =
            backend_.submit(id, {std::move(*context), std::move(request.body), std::move(request.peer)})) {
        by_asking_.erase(s.place);
        sessions_.erase(id);
        return answer(reply, std::move(*refused));
    }
    answer(reply, std::move(response));
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
        return answer(reply, text_response(404, "no such path"));
    const auto found = sessions_.find(parts[1]);
    const auto token = to_number<std::uint64_t>(parts[3]);
    // An id with a wrong slug looks like one that doesn't exist.
    if (found == sessions_.end() || found->second.slug != parts[2] || !token)
        return answer(reply, text_response(404, "no such statement"));
    const std::string id = found->first;
    Session& s = found->second;
    if (request.method == "DELETE") {
        if (!s.finished)
            leave(id, Left::cancelled);
        return answer(reply, {204, {}, {}});
    }
    if (request.method != "GET" && request.method != "HEAD")
        return answer(reply, text_response(405, "statements are polled with GET and cancelled with DELETE"));
    touch(s);
    if (*token == s.token && *token > 0)
        return answer(reply, s.latest);
    if (*token <= s.token)
        return answer(reply, text_response(410, "a document that has been passed"));
    if (*token > s.token + 1 || s.finished)
        return answer(reply, text_response(404, "no such document"));
    poll(id, s, reply);
}

void ServerSide::poll(const std::string& id, Session& s, http::Server::Reply& reply) {
    // The same poll again while the first is held: its client has given up on it, the newer one gets the
    // answer.
    if (s.held) {
        auto older = std::move(*s.held);
        s.held.reset();
        answer(older, text_response(503, "asked again meanwhile"));
    }
    if (!s.waiting.empty())
        return give(id, s, std::move(reply));
    s.held = std::move(reply);
    const std::uint64_t serial = s.held_serial = ++held_;
    const auto mine = [this, id, serial]() -> Session* {
        const auto found = sessions_.find(id);
        return found != sessions_.end() && found->second.held && found->second.held_serial == serial
                   ? &found->second
                   : nullptr;
    };
    s.held->on_disconnect([this, mine] {
        if (Session* held = mine()) {
            held->held.reset();
            touch(*held);
            loop_.cancel(std::exchange(held->timer, 0));
        }
    });
    loop_.cancel(s.timer);
    s.timer = loop_.after(options_.long_poll, [this, id, mine] {
        if (Session* held = mine()) {
            held->timer = 0;
            auto to = std::move(*held->held);
            held->held.reset();
            give_progress(id, *held, std::move(to));
        }
    });
}

void ServerSide::give_progress(const std::string& id, Session& s, http::Server::Reply reply) {
    Document d;
    d.id = id, d.info_uri = info_uri(id, s);
    d.stats = backend_.progress(id);
    s.state = d.stats.state;
    d.next_uri = uri(id, s, s.token + 2);
    ++s.token;
    set_latest(s, json_response(200, write_document(d)));
    touch(s);
    answer(reply, s.latest);
}

void ServerSide::give(const std::string& id, Session& s, http::Server::Reply reply) {
    if (s.waiting.front().document.has_rows() && !std::exchange(s.rows_out, true)) {
        backend_.rows_going_out(id);
        // What that led to may have ended the statement.
        if (!sessions_.contains(id) || s.waiting.empty())
            return answer(reply, text_response(503, "try again"));
    }
    Waiting next = std::move(s.waiting.front());
    s.waiting.pop_front();
    s.waiting_bytes -= next.document.held_bytes();
    waiting_in_all_ -= next.document.held_bytes();
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
        touch(s);
    answer(reply, s.latest);
    if (final)
        backend_.final_given(id);
    else
        backend_.room(id);
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
    waiting_in_all_ += document.held_bytes();
    s.waiting.push_back({std::move(document), std::move(headers)});
    if (!s.held)
        return schedule_eviction();
    loop_.cancel(std::exchange(s.timer, 0));
    auto reply = std::move(*s.held);
    s.held.reset();
    give(id, s, std::move(reply));
}

void ServerSide::drop_waiting(const std::string& id) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end())
        return;
    found->second.waiting.clear();
    waiting_in_all_ -= std::exchange(found->second.waiting_bytes, 0);
}

std::size_t ServerSide::waiting_bytes(const std::string& id) const {
    const auto found = sessions_.find(id);
    return found == sessions_.end() ? 0 : found->second.waiting_bytes;
}

// What ends a statement from the client's side. Its next poll is told so, as others may share the statement.
void ServerSide::leave(const std::string& id, Left how) {
    Session& s = sessions_.find(id)->second;
    if (s.finished)
        return;
    drop_waiting(id);
    s.final_queued = false;
    backend_.left(id, how);
    if (!sessions_.contains(id))
        return;
    if (how == Left::abandoned) {
        s.final_queued = true;
        set_latest(s, text_response(404, "abandoned"));
        return finish(id, s);
    }
    Document d;
    d.stats.state = "FAILED";
    d.error = how == Left::evicted
                  ? error_named("GENERIC_INSUFFICIENT_RESOURCES",
                                "the result was dropped, as the client had not asked and memory ran short")
                  : error_named("USER_CANCELED", "the statement was cancelled");
    push(id, std::move(d));
}

// ---- The memory of results

void ServerSide::set_latest(Session& s, http::Response response) {
    latest_in_all_ += response.body.size();
    latest_in_all_ -= s.latest.body.size();
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
    for (const std::string& id : by_asking_) {
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
    if (s.held)
        return;  // its client asks for the next document, so it has received the latest
    ++evicted_;
    leave(id, Left::evicted);
}

void ServerSide::touch(Session& s) {
    s.asked = loop_.now();
    if (!s.finished)
        by_asking_.splice(by_asking_.end(), by_asking_, s.place);
}

void ServerSide::finish(const std::string& id, Session& s) {
    if (std::exchange(s.finished, true))
        return;
    by_asking_.erase(s.place);
    s.sql = {};
    latest_in_all_ -= s.latest.body.size();
    finished_.emplace_back(loop_.now(), id);
    finished_bytes_ += s.latest.body.size() + kKeptOverhead;
    while (finished_bytes_ > options_.finished_bytes && finished_.size() > 1)
        forget(finished_.front().second);
}

void ServerSide::forget(const std::string& id) {
    const auto found = sessions_.find(id);
    finished_bytes_ -= std::min(finished_bytes_, found->second.latest.body.size() + kKeptOverhead);
    loop_.cancel(found->second.timer);
    sessions_.erase(found);
    finished_.pop_front();
}

void ServerSide::sweep() {
    const Micros now = loop_.now();
    while (!finished_.empty() && now - finished_.front().first >= options_.finished_kept)
        forget(std::string(finished_.front().second));
    while (!by_asking_.empty()) {
        Session& oldest = sessions_.find(by_asking_.front())->second;
        if (now - oldest.asked < options_.abandoned_after)
            break;
        if (oldest.held)
            touch(oldest);  // its poll is being held: it asks
        else
            leave(std::string(by_asking_.front()), Left::abandoned);
    }
    sweeping_ = loop_.after(kSweep, [this] {
        sweep();
    });
}

void ServerSide::query_path(http::Request& request, std::string_view id, http::Server::Reply& reply) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end())
        return answer(reply, text_response(404, "no such statement"));
    Session& s = found->second;
    const auto context = read_context(request.headers);
    if (!context)
        return answer(reply, text_response(401, context.error()));
    if (context->user != s.user)
        return answer(reply, text_response(403, "another user's statement"));
    if (request.method == "DELETE") {
        if (!s.finished)
            leave(std::string(id), Left::killed);
        return answer(reply, {204, {}, {}});
    }
    if (request.method != "GET")
        return answer(reply, text_response(405, "GET or DELETE"));
    const Stats stats = s.finished ? Stats{.state = s.error_name.empty() ? "FINISHED" : "FAILED"}
                                   : backend_.progress(found->first);
    std::string body = "{\"queryId\":" + json_string(id) + ",\"state\":" + json_string(stats.state) +
                       ",\"query\":" + json_string(s.sql) + ",\"session\":{\"user\":" + json_string(s.user) +
                       "},\"queryStats\":" + write_stats(stats);
    if (!s.error_name.empty())
        body += ",\"errorCode\":{\"code\":" + std::to_string(s.error_code) +
                ",\"name\":" + json_string(s.error_name) + "}";
    answer(reply, json_response(200, body + "}"));
}

void ServerSide::info_path(http::Request& request, std::string_view path, http::Server::Reply& reply) {
    const auto up = (loop_.now() - started_) / kMillisecond;
    if (path == "/v1/info/state") {
        if (request.method == "PUT") {
            const std::string& from = request.peer;
            const bool here =
                from.starts_with("127.") || from.starts_with("[::1]") || from.starts_with("unix:");
            if (!here && !options_.remote_drain)
                return answer(reply, text_response(403, "drained from its own machine only"));
            if (trimmed(request.body) != "\"SHUTTING_DOWN\"")
                return answer(reply, text_response(400, "the one state to put is \"SHUTTING_DOWN\""));
            draining = true;
            backend_.drain();
            return answer(reply, {200, {}, {}});
        }
        return answer(reply, json_response(200, draining   ? "\"SHUTTING_DOWN\""
                                                : starting ? "\"STARTING\""
                                                           : "\"ACTIVE\""));
    }
    if (request.method != "GET" && request.method != "HEAD")
        return answer(reply, text_response(405, "GET"));
    if (path == "/v1/info")
        return answer(
            reply,
            json_response(200, "{\"nodeVersion\":{\"version\":" + json_string(options_.version) +
                                   "},\"environment\":" + json_string(options_.environment) +
                                   ",\"coordinator\":true,\"starting\":" + (starting ? "true" : "false") +
                                   ",\"uptime\":\"" + std::to_string(up) + ".00ms\"}"));
    answer(reply, json_response(200, "{\"nodeId\":" + json_string(options_.node_id) + ",\"uptime\":\"" +
                                         std::to_string(up) + ".00ms\"" + backend_.status_members() + "}"));
}

}  // namespace gatetiller::statement
