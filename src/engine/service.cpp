#include "engine/service.hpp"

#include <nlohmann/json.hpp>

#include "base/units.hpp"
#include "statement/load_report.hpp"

namespace gatetiller::engine {
namespace {

constexpr std::string_view kColumns =
    R"([{"name":"n","type":"bigint","typeSignature":{"rawType":"bigint","arguments":[]}},)"
    R"({"name":"value","type":"varchar","typeSignature":{"rawType":"varchar","arguments":[{"kind":"LONG","value":2147483647}]}}])";

}  // namespace

std::string row_of(std::string_view sql, std::size_t index) {
    return Random(fnv1a_hash(sql, index)).hex(16);
}

Result<Hints> read_hints(std::string_view sql) {
    Hints h;
    const std::size_t from = sql.find("/* gt:");
    if (from == std::string_view::npos)
        return h;
    const std::size_t end = sql.find("*/", from);
    if (end == std::string_view::npos)
        return Error{"the comment with hints does not end"};
    for (const auto part : split(sql.substr(from + 6, end - from - 6), ' ')) {
        const std::size_t equals = part.find('=');
        const std::string_view key = part.substr(0, equals),
                               value = equals == std::string_view::npos ? "" : part.substr(equals + 1);
        const auto number = [&](double& to) {
            const auto n = to_number<double>(value);
            if (n && *n >= 0 && *n < 1e12)
                to = *n;
            return n.has_value();
        };
        double count = 0;
        bool right = true;
        if (key == "work_ms")
            right = number(h.work_ms);
        else if (key == "threads")
            right = number(h.threads) && h.threads > 0;
        else if (key == "io")
            right = number(h.io) && h.io <= 1;
        else if (key == "mem_mb")
            right = number(h.mem_mb);
        else if (key == "rows")
            right = number(count), h.rows = static_cast<std::size_t>(count);
        else if (key == "row_bytes")
            right = number(count), h.row_bytes = static_cast<std::size_t>(std::min(count, 1e6));
        else if (key == "group")
            h.group = value;
        else if (key == "fail")
            h.fail = value;
        else if (key == "load")
            h.load = value == "1";
        else if (key == "yields")
            h.yields = value == "1";
        else
            right = false;
        if (!right)
            return Error{"hint '" + std::string(part) + "' cannot be read"};
    }
    return h;
}

struct Service::Running {
    statement::Submission submission;
    std::string front;
    Hints hints;
    Machine::JobId job = 0;
    bool ended = false, lost = false, told_spill = false;
    View last;
    std::size_t next_row = 0;
    Micros taken = 0, taken_wall = 0;
    net::TimerId limit = 0;
};

Service::Service(net::Loop& loop, ServiceSettings settings, std::function<std::string()> entropy,
                 std::function<void(const Entry&)> journal,
                 std::function<void(const statement::Completed&)> completed)
    : loop_(loop),
      settings_(std::move(settings)),
      entropy_(std::move(entropy)),
      journal_(std::move(journal)),
      completed_(std::move(completed)),
      random_(settings_.seed) {}

Service::~Service() {
    loop_.cancel(timer_);
    for (auto& [id, r] : running_)
        loop_.cancel(r.limit);
}

Result<net::Address> Service::start() {
    bound_ = settings_.listen;
    server_ = std::make_unique<http::Server>(loop_, http::ServerOptions{},
                                             [this](http::Request& r, http::Server::Reply reply) {
                                                 handle(r, std::move(reply));
                                             });
    up();
    auto bound = server_->listen(bound_);
    if (bound)
        bound_ = *bound;
    return bound;
}

void Service::up() {
    machine_ = std::make_unique<Machine>(loop_.now(), settings_.machine, random_.next());
    machine_->slow(loop_.now(), faults_.slow);
    statement::ServerSideOptions options;
    options.node_id = settings_.name, options.environment = "standin";
    options.long_poll = settings_.long_poll, options.abandoned_after = settings_.abandoned_after;
    options.finished_kept = 10 * kSecondMicros;
    statements_ = std::make_unique<statement::ServerSide>(loop_, options, *this, entropy_);
    statements_->draining = draining_;
    note("up", nullptr, "");
}

void Service::down() {
    for (auto& [id, r] : running_) {
        loop_.cancel(r.limit);
        if (const auto view = machine_->view(r.job))
            r.last = *view;
        if (!r.ended)
            note("lost", &r, id);
    }
    running_.clear();
    jobs_.clear();
    heedless_.clear();
    loop_.cancel(std::exchange(timer_, 0));
    server_->stop_listening();
    server_->close_all();
    statements_.reset();
    note("down", nullptr, "");
}

void Service::set(const Faults& f) {
    const Faults before = std::exchange(faults_, f);
    if (f.crashed && !before.crashed)
        return down();
    if (!f.crashed && before.crashed) {
        up();
        if (!f.refuse)
            (void)server_->listen(bound_);
    } else if (f.crashed) {
        return;
    }
    if (f.slow != before.slow)
        machine_->slow(loop_.now(), f.slow), on_ended(), arm();
    if (f.flush)
        machine_->flush_warm();
    server_->suppress_responses(f.hang);
    http::Server::ResponseFaults m;
    m.trickle_bytes = static_cast<std::size_t>(f.trickle);
    if (f.cut > 0)
        m.cuts = [this, share = f.cut] {
            return random_.chance(share);
        };
    server_->inject_faults(std::move(m));
    if (!f.silent)
        ignored_.clear();
    if (f.refuse && !before.refuse)
        server_->stop_listening(), server_->close_all();
    if (!f.refuse && before.refuse)
        (void)server_->listen(bound_);
}

void Service::drain() {
    if (std::exchange(draining_, true))
        return;
    if (statements_)
        statements_->draining = true;
    note("drain", nullptr, "");
}

void Service::note(const char* event, const Running* r, const std::string& id) {
    if (!journal_)
        return;
    Entry e;
    e.at = loop_.now(), e.event = event, e.id = id;
    if (r) {
        const auto& c = r->submission.context;
        e.trace = c.trace_token, e.front = r->front, e.user = c.user, e.source = c.source;
        for (const auto& tag : c.tags)
            e.tags += (e.tags.empty() ? "" : ",") + tag;
        e.work_us = r->last.work_done, e.peak_mb = r->last.peak_mb, e.spilled_mb = r->last.spilled_mb;
    }
    journal_(e);
}

// What an engine's own listener tells of a query once it is over. One that dies tells nothing of those it
// had.
void Service::tell_completed(const Running& r, const std::string& id, const char* error) {
    if (!completed_)
        return;
    const auto& c = r.submission.context;
    statement::Completed e;
    e.id = id, e.state = *error ? "FAILED" : "FINISHED";
    e.user = c.user, e.source = c.source, e.trace_token = c.trace_token, e.tags = c.tags;
    e.user_agent = "gatetiller/" + r.front, e.server = settings_.name, e.environment = "standin";
    e.cpu = static_cast<Micros>(r.last.work_done);
    e.wall = loop_.now() - r.taken;
    e.peak_memory_bytes = static_cast<std::int64_t>(r.last.peak_mb * 1048576);
    e.spilled_bytes = static_cast<std::int64_t>(r.last.spilled_mb * 1048576);
    if (*error) {
        const auto named = statement::error_named(error, "");
        e.error_name = named.name, e.error_type = named.type;
    }
    e.created = r.taken_wall, e.ended = e.created + e.wall;
    completed_(e);
}

std::string Service::front_of(const http::Request& request) const {
    const auto agent = request.headers.find("User-Agent").value_or("");
    return std::string(agent.starts_with("gatetiller/") ? agent.substr(11) : agent);
}

void Service::handle(http::Request& request, http::Server::Reply reply) {
    if (request.target == "/v1/fault")
        return fault_path(request, reply);
    if (faults_.silent)
        return void(ignored_.push_back(std::move(reply)));
    const bool post = request.method == "POST";
    if (post && random_.chance(faults_.reset_before))
        return reply.break_connection();
    if (faults_.lost_resets)
        for (const auto& [id, r] : running_)
            if (r.lost && r.ended && request.target.find(id) != std::string::npos)
                return reply.break_connection();
    asking_ = front_of(request);
    if (!statements_->handle(request, reply))
        reply.send(statement::text_response(404, "no such path"));
}

// PUT /v1/fault with {"slow": 4, "hang": true, ...} sets all faults; what isn't named is well again.
void Service::fault_path(http::Request& request, http::Server::Reply& reply) {
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (request.method != "PUT" || !json.is_object())
        return reply.send(statement::text_response(400, "PUT an object of faults"));
    Faults f;
    for (const auto& [key, value] : json.items()) {
        const auto flag = [&](bool& to) {
            return value.is_boolean() && (to = value.get<bool>(), true);
        };
        const auto number = [&](double& to) {
            return value.is_number() && (to = value.get<double>(), true);
        };
        const bool right = key == "slow"            ? number(f.slow) && f.slow >= 0.01
                           : key == "hang"          ? flag(f.hang)
                           : key == "silent"        ? flag(f.silent)
                           : key == "refuse"        ? flag(f.refuse)
                           : key == "crashed"       ? flag(f.crashed)
                           : key == "fast_errors"   ? number(f.fast_errors)
                           : key == "answer_lost"   ? number(f.answer_lost)
                           : key == "reset_before"  ? number(f.reset_before)
                           : key == "busy"          ? number(f.busy)
                           : key == "cut"           ? number(f.cut)
                           : key == "trickle"       ? number(f.trickle)
                           : key == "lost_resets"   ? flag(f.lost_resets)
                           : key == "report_late_s" ? number(f.report_late_s)
                           : key == "flush"         ? flag(f.flush)
                                                    : false;
        if (!right)
            return reply.send(
                statement::text_response(400, "fault '" + key + "' is not known or has a wrong value"));
    }
    reply.send({204, {}, {}});
    // After the answer has gone out: a crash closes this connection too.
    loop_.after(kMillisecond, [this, f] {
        set(f);
    });
}

std::optional<http::Response> Service::submit(const std::string& id, statement::Submission s) {
    Running r;
    r.front = asking_, r.taken = loop_.now(), r.taken_wall = loop_.wall();
    r.submission = std::move(s);
    const auto& c = r.submission.context;
    note("received", &r, id);
    const auto refuse = [&](const char* event, int status, const char* text) {
        note(event, &r, id);
        return statement::text_response(status, text);
    };
    if (draining_)
        return refuse("refused", 503, "shutting down");
    if (random_.chance(faults_.busy))
        return refuse("refused", 503, "too busy");
    auto hints = read_hints(r.submission.sql);
    if (!hints)
        return refuse("refused", 400, hints.error().c_str());
    r.hints = *hints;
    Job job{c.trace_token,
            "",
            r.hints.group,
            r.hints.work_ms * 1000,
            r.hints.threads,
            r.hints.io,
            r.hints.mem_mb,
            0,
            1,
            r.hints.load,
            r.hints.yields};
    for (const auto& tag : c.tags)
        if (tag.starts_with("key="))
            job.key = c.user + " " + tag;
    if (const auto grant = c.session.find("query_max_memory"); grant != c.session.end())
        if (const auto size = parse_bytes(grant->second))
            job.grant_mb = *size / 1048576.0;
    if (const auto priority = c.session.find("query_priority"); priority != c.session.end())
        job.priority = to_number<int>(priority->second).value_or(1);
    if (random_.chance(faults_.fast_errors)) {
        note("error", &r, id);
        tell_completed(r, id, "GENERIC_INTERNAL_ERROR");
        r.ended = true;
        running_.emplace(id, std::move(r));
        loop_.after(0, [this, id] {
            fail(id, "GENERIC_INTERNAL_ERROR", "a fault on command");
        });
        return std::nullopt;
    }
    switch (machine_->submit(loop_.now(), std::move(job), r.job)) {
        case Taken::taken:
            break;
        case Taken::full:
            return refuse("refused", 429, "too many sessions");
        case Taken::fallen:
            note("fallen", &r, id);
            loop_.after(0, [this] {
                Faults f = faults_;
                f.crashed = true;
                set(f);
            });
            return statement::text_response(503, "fallen over");
        case Taken::repeat:
            note("repeat", &r, id);
            tell_completed(r, id, "");
            r.ended = true;
            running_.emplace(id, std::move(r));
            loop_.after(0, [this, id] {
                if (const auto found = running_.find(id); found != running_.end())
                    give_page(id, found->second);
            });
            return std::nullopt;
    }
    note("started", &r, id);
    r.lost = random_.chance(faults_.answer_lost);
    if (c.run_limit > 0)
        r.limit = loop_.after(c.run_limit, [this, id] {
            stop(id, "late");
            fail(id, "EXCEEDED_TIME_LIMIT", "the statement ran out of its time");
        });
    jobs_[r.job] = id;
    running_.emplace(id, std::move(r));
    on_ended();
    arm();
    return std::nullopt;
}

void Service::arm() {
    loop_.cancel(std::exchange(timer_, 0));
    if (const auto next = machine_->next_end())
        timer_ = loop_.after(*next - loop_.now(), [this] {
            timer_ = 0;
            machine_->advance(loop_.now());
            on_ended();
            arm();
        });
}

void Service::on_ended() {
    for (const auto& [job, view] : machine_->take_ended()) {
        if (auto gone = heedless_.extract(job)) {
            gone.mapped().second.last = view;
            tell_completed(gone.mapped().second, gone.mapped().first, "USER_CANCELED");
        }
        if (view.unseen)
            continue;
        const auto found = jobs_.find(job);
        if (found == jobs_.end())
            continue;
        const std::string id = found->second;
        jobs_.erase(found);
        Running& r = running_.at(id);
        loop_.cancel(std::exchange(r.limit, 0));
        r.ended = true, r.last = view;
        note("finished", &r, id);
        tell_completed(r, id, r.hints.fail.c_str());
        if (r.lost)
            continue;  // its answer never comes
        if (!r.hints.fail.empty())
            fail(id, r.hints.fail.c_str(), "as the statement asked");
        else
            give_page(id, r);
    }
}

void Service::give_page(const std::string& id, Running& r) {
    statement::Document d;
    d.stats = progress(id);
    d.columns = kColumns;
    std::string rows = "[";
    const std::string pad(r.hints.row_bytes > 16 ? r.hints.row_bytes - 16 : 0, 'x');
    while (r.next_row < r.hints.rows && rows.size() < settings_.page_bytes) {
        rows += (rows.size() > 1 ? ",[" : "[") + std::to_string(r.next_row) + ",\"" +
                row_of(r.submission.sql, r.next_row) + pad + "\"]";
        ++r.next_row;
    }
    if (rows.size() > 1)
        d.data = rows + "]";
    const bool last = r.next_row >= r.hints.rows;
    d.next_uri = last ? "" : "more";
    d.stats.state = last ? "FINISHED" : "RUNNING";
    statements_->push(id, std::move(d));
}

void Service::on_document_sent(const std::string& id) {
    const auto found = running_.find(id);
    if (found != running_.end() && found->second.ended && found->second.next_row < found->second.hints.rows)
        give_page(id, found->second);
}

void Service::fail(const std::string& id, const char* name, const std::string& message) {
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    statement::Document d;
    d.stats = progress(id);
    d.stats.state = "FAILED";
    d.error = statement::error_named(name, message);
    statements_->push(id, std::move(d));
}

void Service::stop(const std::string& id, const char* event) {
    const auto found = running_.find(id);
    if (found == running_.end() || found->second.ended)
        return;
    Running& r = found->second;
    machine_->advance(loop_.now());
    if (const auto view = machine_->view(r.job))
        r.last = *view;
    r.ended = true;
    jobs_.erase(r.job);
    machine_->cancel(loop_.now(), r.job);
    note(event, &r, id);
    if (settings_.machine.cancel_stops)
        tell_completed(r, id, event == std::string_view("late") ? "EXCEEDED_TIME_LIMIT" : "USER_CANCELED");
    else
        heedless_.emplace(r.job, std::pair(id, r));
    on_ended();
    arm();
}

void Service::on_cancelled(const std::string& id, statement::CancelReason reason) {
    stop(id, reason == statement::CancelReason::abandoned ? "abandoned" : "cancelled");
    on_final_document_sent(id);
}

void Service::on_final_document_sent(const std::string& id) {
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    loop_.cancel(found->second.limit);
    jobs_.erase(found->second.job);
    running_.erase(found);
}

statement::Stats Service::progress(const std::string& id) {
    statement::Stats s;
    const auto found = running_.find(id);
    if (found == running_.end())
        return s;
    Running& r = found->second;
    if (!r.ended) {
        machine_->advance(loop_.now());
        // Jobs that end by this are told of by the timer, which is due then: here a caller holds on to this
        // one.
        if (const auto view = machine_->view(r.job))
            r.last = *view;
    }
    const bool waits = !r.ended && r.last.phase == Phase::for_memory,
               held = !r.ended && r.last.phase == Phase::for_load;
    s.state = waits ? "QUEUED" : "RUNNING";
    s.queued = waits, s.scheduled = !waits;
    s.progress = r.ended ? 100 : 100 * r.last.progress;
    s.nodes = 1, s.total_splits = 10;
    s.queued_splits = held || waits ? 10 : 0;
    s.running_splits = held || waits || r.ended ? 0 : 1;
    s.cpu_ms = static_cast<std::int64_t>(r.last.work_done / 1000);
    s.wall_ms = s.elapsed_ms = (loop_.now() - r.taken) / kMillisecond;
    s.peak_memory_bytes = static_cast<std::int64_t>(r.last.peak_mb * 1048576);
    s.spilled_bytes = static_cast<std::int64_t>(r.last.spilled_mb * 1048576);
    if (s.spilled_bytes > 0 && !std::exchange(r.told_spill, true))
        note("spilled", &r, id);
    return s;
}

std::string Service::status_members() {
    return ",\"processors\":" + std::to_string(static_cast<int>(settings_.machine.cores));
}

void Service::decorate(http::Response& response) {
    if (!settings_.reports || !machine_)
        return;
    LoadReport report = machine_->report();
    if (faults_.report_late_s > 0) {
        const Micros as_of = loop_.now() - static_cast<Micros>(faults_.report_late_s * kSecondMicros);
        reports_.emplace_back(loop_.now(), report);
        while (reports_.size() > 1 && reports_[1].first <= as_of)
            reports_.pop_front();
        report = reports_.front().second;
    }
    response.headers.add(std::string(statement::kLoadHeader), statement::write_report(report));
}

}  // namespace gatetiller::engine
