#include "front/front.hpp"

#include <algorithm>
#include <cmath>

#include "base/overloaded.hpp"
#include "statement/json.hpp"
#include "statement/load_report.hpp"

namespace gatetiller::front {
namespace {

using decide::RequestEvent;
using decide::RequestPhase;

constexpr double kMega = 1048576.0;
constexpr Micros kDrainLook = 50 * kMillisecond;
constexpr Micros kLastPolls = 300 * kMillisecond;  // after the last final answer, for one that was lost
constexpr Micros kNearDeadline = 100 * kMillisecond;

std::string session_span(Micros span) {
    return std::to_string(std::max<Micros>(1, span / kMillisecond)) + "ms";
}

std::string retry_after(Micros span) {
    return std::to_string(std::max<Micros>(1, (span + kSecondMicros - 1) / kSecondMicros));
}

// This front's own word on a statement, with what is known of its work.
statement::Document failed_document(const statement::Stats& stats, const char* name, std::string message) {
    statement::Document d;
    d.stats = stats;
    d.stats.state = "FAILED";
    d.error = statement::error_named(name, std::move(message));
    return d;
}

decide::RequestState state_of(Ended ended) {
    switch (ended) {
        case Ended::served:
            return decide::RequestState::served;
        case Ended::refused:
            return decide::RequestState::shed;
        case Ended::failed:
            return decide::RequestState::failed;
        case Ended::cut:
            return decide::RequestState::truncated;
        case Ended::cancelled:
            return decide::RequestState::cancelled;
        case Ended::abandoned:
            return decide::RequestState::abandoned;
    }
    return decide::RequestState::failed;
}

std::vector<std::string> tenant_names(const PolicySettings& s) {
    std::vector<std::string> names;
    for (const auto& t : s.tenants)
        names.push_back(t.name);
    return names;
}

}  // namespace

struct Front::Attempt final : statement::EngineCall::Events {
    Attempt(Front& f, Running& r, int n, EngineId e)
        : front(f),
          running(r),
          number(n),
          engine(e),
          sent(f.loop_.now()),
          notes(sent, f.settings_.module.progress_period) {}
    ~Attempt() override {
        front.loop_.cancel(timer);
    }
    void on_document(statement::EngineCall&, statement::Document d, const http::Headers& h) override {
        front.on_document(*this, std::move(d), h);
    }
    void on_end(statement::EngineCall&, statement::CallEnd end) override {
        front.on_end(*this, end);
    }

    Front& front;
    Running& running;
    int number;
    EngineId engine;
    std::unique_ptr<statement::EngineCall> call;
    Micros sent;
    decide::ProgressReporter notes;
    net::TimerId timer = 0;
    bool out = false, over = false, ever_ran = false;  // out: it is the one that the statement's life counts
    decide::AttemptEndRecord facts;
    std::int64_t row_bytes = 0;
    std::string engine_id, engine_name, engine_kind;
    store::LedgerWriter::QueueSlot place;
    statement::Stats stats;
    std::string columns;
    std::optional<LoadReport> report;
};

struct Front::Running {
    std::string id;
    statement::Submission submission;
    decide::Routed routed;
    std::uint32_t number = 0;  // in the ledger's order of taking
    std::string team;          // whose budget it is on; empty: nobody's
    Micros arrived = 0, deadline = 0, first_sent = 0, ended_at = 0;
    std::vector<std::unique_ptr<Attempt>> attempts;
    double grant_mb = 0;
    int priority = 1;
    decide::RequestLifecycle life;
    Ended ended = Ended::failed;
    AttemptOutcome last = AttemptOutcome::not_sent;
    std::string last_error, last_engine;
    std::optional<decide::RequestRow> row;  // until its last one is given to the ledger
    bool in_ledger = false;
    store::LedgerWriter::QueueSlot place;
    statement::Stats stats;

    Attempt* out() {
        return life.attempt_in_flight() ? attempts.back().get() : nullptr;
    }
    bool flowing() const {
        return life.phase() == RequestPhase::streaming;
    }
};

Front::Front(net::Loop& loop, config::FrontSettings settings, Deps deps)
    : loop_(loop),
      settings_(std::move(settings)),
      deps_(std::move(deps)),
      router_(settings_.routes, tenant_names(settings_.module)),
      holding_(settings_.holding),
      teams_(settings_.budgets.rules, {}),
      quota_(settings_.budgets.quota, settings_.budgets.budgets),
      driver_(loop, deps_.seed, settings_.module,
              [this](const Action& a) {
                  carry_out(a);
              }),
      engines_(loop, settings_,
               {[this](const EndpointUpdate& c) {
                    engines_changed(c);
                },
                [this](const std::string& t) {
                    deps_.log(t);
                }}),
      statements_(loop, settings_.statements, *this, deps_.entropy),
      server_(loop, settings_.server, [this](http::Request& r, http::Server::Reply reply) {
          handle(r, std::move(reply));
      }) {}

Front::~Front() {
    loop_.cancel(ledger_timer_);
    loop_.cancel(drain_timer_);
    loop_.cancel(free_timer_);
}

Result<std::vector<net::Address>> Front::start() {
    while (bound_.size() < settings_.listen.size()) {
        auto address = server_.listen(settings_.listen[bound_.size()]);
        if (!address)
            return address.failure();
        bound_.push_back(*address);
    }
    driver_.start();
    // Until the ledger tells whether a life before was killed, cold engines are not pushed by both.
    if (deps_.ledger)
        engines_.hold_cold(loop_.now() + settings_.module.overload_window);
    engines_.start();
    if (deps_.ledger)
        look_in_ledger();
    return bound_;
}

void Front::handle(http::Request& request, http::Server::Reply reply) {
    if (statements_.handle(request, reply))
        return;
    if (request.target == "/metrics" && request.method == "GET") {
        if (deps_.ledger)
            metrics_.ledger(deps_.ledger->status());
        http::Response r{200,
                         {},
                         metrics_.page({static_cast<double>(running_.size()),
                                        static_cast<double>(statements_.waiting_in_all()),
                                        static_cast<double>(server_.connections()), driver_.alpha(),
                                        static_cast<double>(statements_.kept())})};
        r.headers.add("Content-Type", "text/plain; version=0.0.4");
        return reply.send(r);
    }
    reply.send(statement::text_response(404, "no such path; statements go to POST /v1/statement"));
}

// ---- Statements come and go

Front::Running* Front::find(const std::string& id) {
    const auto found = running_.find(id);
    return found == running_.end() ? nullptr : found->second.get();
}

std::optional<http::Response> Front::submit(const std::string& id, statement::Submission s) {
    const auto turned_away = [&](int status, const char* why, const std::string& text, Micros come_back = 0) {
        metrics_.turned_away(why);
        auto r = statement::text_response(status, text);
        if (status == 429 || status == 503)
            r.headers.add("Retry-After",
                          retry_after(come_back > 0 ? come_back : settings_.holding.retry_after));
        return r;
    };
    if (draining_)
        return turned_away(503, "draining", "this front is shutting down: ask another one");
    const auto& c = s.context;
    auto routed = router_.route({c.user, c.source, c.catalog, c.schema, c.trace_token, c.tags});
    if (!routed)
        return turned_away(400, "no_route",
                           "no route takes this statement: user '" + c.user + "', source '" + c.source + "'");
    std::string team;
    const std::string tenant = routed->tenant;  // whose it is, whatever it counts as
    if (quota_.any()) {
        team = teams_.of({c.user, c.source, decide::tags_without(c.tags, routed->key), "", tenant}, 0);
        switch (quota_.state(team, loop_.now())) {
            case decide::QuotaState::within_budget:
                break;
            case decide::QuotaState::over_soft_limit:
                routed->tenant = settings_.budgets.over;
                break;
            case decide::QuotaState::over_hard_limit:
                return turned_away(429, "over_budget", "team '" + team + "' has used up its budget",
                                   quota_.retry_after(team, loop_.now()));
        }
    }
    switch (holding_.admit(c.user, s.sql.size())) {
        case decide::AdmissionVerdict::admitted:
            break;
        case decide::AdmissionVerdict::gateway_full:
            return turned_away(429, "front_full", "too many statements at this front");
        case decide::AdmissionVerdict::user_limit_reached:
            return turned_away(429, "user_full", "too many statements of this user");
        case decide::AdmissionVerdict::statement_too_long:
            return turned_away(
                413, "too_long",
                "a statement of over " + std::to_string(settings_.holding.statement_bytes) + " bytes");
    }
    const auto& classes = settings_.module.classes;
    const auto cls = std::find_if(classes.begin(), classes.end(), [&](const auto& k) {
        return k.name == routed->cls;
    });
    auto r = std::make_unique<Running>();
    r->id = id, r->routed = std::move(*routed), r->arrived = loop_.now(), r->team = std::move(team);
    const Micros limit = c.run_limit > 0 ? std::min(c.run_limit, cls->deadline) : cls->deadline;
    const Micros left = decide::client_time_left(limit, loop_.unseen(), settings_.answer_reserve);
    r->deadline = r->arrived + left;
    RequestArrived d{id,   r->routed.cls, r->routed.tenant,          r->routed.key,
                     left, std::nullopt,  c.memory_estimate / kMega, r->routed.group,
                     false};
    if (c.cpu_estimate > 0)
        d.estimated_work = c.cpu_estimate;
    if (deps_.ledger) {
        decide::RequestRow row;
        row.who = std::make_shared<const decide::Requester>(decide::Requester{
            c.user, c.source, decide::tags_without(c.tags, r->routed.key), r->routed.cls, tenant});
        row.id = id, row.key = r->routed.key, row.taken = loop_.wall();
        if (cls->idempotency == Idempotency::keyed)
            row.key_window = cls->key_window;
        r->in_ledger = deps_.ledger->add_request(row, row.taken, r->place);
        r->number = row.number;
        r->row = std::move(row);
    }
    r->submission = std::move(s);
    metrics_.taken(r->routed.cls);
    running_.emplace(id, std::move(r));
    post(std::move(d));
    return std::nullopt;
}

void Front::left(const std::string& id, statement::Left how) {
    Running* r = find(id);
    if (!r || r->life.phase() == RequestPhase::closed)
        return;
    // Where the answer waited unfetched, the work was done all the same: the record says who ended it.
    r->ended = how == statement::Left::abandoned ? Ended::abandoned : Ended::cancelled;
    if (r->ended_at == 0)
        r->ended_at = loop_.now();
    r->life.apply(RequestEvent::client_disconnected);
    post(ClientDisconnected{id});
    // The module calls off what it may; a stream that had begun is nobody's any more, and ends here.
    if (Attempt* a = r->out(); a && settings_.module.can_cancel) {
        a->call->cancel();
        complete(*a, AttemptOutcome::cancelled, true);
    }
    finish(*r);
}

void Front::rows_going_out(const std::string& id) {
    Running* r = find(id);
    if (r && r->life.apply(RequestEvent::streaming_started))
        post(ResponseStarted{id, r->out()->number});
}

void Front::room(const std::string& id) {
    Running* r = find(id);
    if (!r)
        return;
    if (Attempt* a = r->out())
        ask_on(*a);
}

void Front::final_given(const std::string& id) {
    Running* r = find(id);
    if (r && r->life.apply(RequestEvent::response_delivered))
        finish(*r);
}

// The client has its final document, or has left. What is known is written down; the rest is freed once no
// attempt is out any more.
void Front::finish(Running& r) {
    holding_.release(r.submission.context.user);
    const Micros now = loop_.now(), ended = r.ended_at > 0 ? r.ended_at : now;
    Finished f{r.id,
               r.submission.context.trace_token,
               r.submission.context.user,
               r.routed.cls,
               r.routed.tenant,
               r.last_engine,
               r.last_error,
               static_cast<int>(r.attempts.size()),
               r.ended,
               (r.first_sent > 0 ? r.first_sent : ended) - r.arrived,
               r.first_sent > 0 ? ended - r.first_sent : 0,
               now - ended,
               now - r.arrived,
               r.stats.cpu_ms,
               r.stats.peak_memory_bytes,
               r.stats.spilled_bytes};
    metrics_.finished(f);
    if (deps_.finished)
        deps_.finished(f);
    if (r.in_ledger && r.row) {
        r.row->state = state_of(r.ended);
        r.row->error = r.ended == Ended::served && !r.last_error.empty();
        r.row->attempts = static_cast<std::uint32_t>(r.attempts.size());
        r.row->ended_after = ended - r.arrived, r.row->closed_after = now - r.arrived;
        deps_.ledger->update(std::move(*r.row), loop_.wall(), r.place);
        r.row.reset();
    }
    if (r.life.releasable())
        free_later(r.id);
}

// Not at once: the calls that led here still stand on the statement.
void Front::free_later(const std::string& id) {
    to_free_.push_back(id);
    if (free_timer_ != 0)
        return;
    free_timer_ = loop_.after(0, [this] {
        free_timer_ = 0;
        for (const auto& done : std::exchange(to_free_, {}))
            running_.erase(done);
    });
}

statement::Stats Front::progress(const std::string& id) {
    Running* r = find(id);
    if (!r)
        return {};
    statement::Stats s = r->stats;
    Attempt* a = r->out();
    if (!a)
        s.state = "QUEUED", s.queued = true;
    s.elapsed_ms = (loop_.now() - r->arrived) / kMillisecond;
    s.queued_ms = ((r->first_sent > 0 ? r->first_sent : loop_.now()) - r->arrived) / kMillisecond;
    return s;
}

std::string Front::ledger_member() const {
    if (!deps_.ledger)
        return "";
    const auto s = deps_.ledger->status();
    return ",\"ledger\":{\"state\":" +
           statement::json_string(s.error == decide::StoreError::none ? "written" : name_of(s.error)) +
           ",\"waiting\":" + std::to_string(s.queued_rows) + ",\"lost\":" + std::to_string(s.lost_rows) + "}";
}

std::string Front::status_members() {
    std::string engines;
    for (const auto& [number, e] : engines_.all()) {
        const auto state = e->watch.endpoint().state;
        engines += (engines.empty() ? "" : ",") + ("{\"name\":" + statement::json_string(e->settings.name)) +
                   ",\"address\":" + statement::json_string(e->settings.address.text()) + ",\"state\":" +
                   (state == EndpointState::ready      ? "\"on\""
                    : state == EndpointState::draining ? "\"fading\""
                                                       : "\"off\"") +
                   ",\"connections\":" + std::to_string(e->client->open()) + "}";
    }
    return ",\"engines\":[" + engines +
           "]"
           ",\"statements\":" +
           std::to_string(running_.size()) +
           ",\"waitingBytes\":" + std::to_string(statements_.waiting_in_all()) +
           ",\"connections\":" + std::to_string(server_.connections()) +
           ",\"alpha\":" + std::to_string(driver_.alpha()) + ledger_member();
}

// ---- Events of the module, and its actions

bool Front::dropped(const Event& event) const {
    return deps_.drop_event && deps_.drop_event(event);
}

void Front::post(Event event) {
    if (!dropped(event))
        driver_.post(std::move(event));
}

// A list, or an engine's own word. What waits to go out to one that takes nothing new is taken back: it would
// begin once its connection is up.
void Front::engines_changed(const EndpointUpdate& change) {
    if (dropped(change))
        return;
    // Before the module hears of it: what it sends at once to an engine that is back is asked of the guard.
    for (const Endpoint& entry : change.endpoints) {
        if (entry.state == EndpointState::ready)
            draining_engines_.erase(entry.id);
        else
            draining_engines_.emplace(entry.id, loop_.now());
    }
    if (change.kind == EndpointUpdateKind::full)  // what it lacks is gone
        for (const auto& [id, engine] : engines_.all())
            if (engine->watch.endpoint().state == EndpointState::removed)
                draining_engines_.emplace(id, loop_.now());
    driver_.post(change);
    std::vector<Attempt*> waiting;
    for (const auto& [id, r] : running_)
        if (Attempt* const out = r->out(); out && out->call && draining_engines_.contains(out->engine))
            waiting.push_back(out);
    for (Attempt* a : waiting)
        if (!a->over && a->call->recall())
            complete(*a, AttemptOutcome::not_sent, a->running.life.finished());
}

void Front::carry_out(const Action& action) {
    std::visit(
        Overloaded{
            [&](const DispatchAttempt& a) {
                send(a);
            },
            [&](const ResourceGrant& a) {
                // An attempt that is out keeps its priority: the statement API has no way to
                // change it.
                if (Running* r = find(a.id)) {
                    if (a.memory_mb > 0)
                        r->grant_mb = a.memory_mb;
                    r->priority = a.priority;
                }
            },
            [&](const ShedRequest& a) {
                Running* r = find(a.id);
                if (!r || r->life.finished())
                    return;
                auto d =
                    failed_document(r->stats, "QUERY_QUEUE_FULL",
                                    "refused, trying again is harmless" +
                                        (r->last_error.empty() ? std::string(": no engine has room in time")
                                                               : ": " + r->last_error));
                answer_finally(*r, std::move(d), Ended::refused, a.retry_after);
            },
            [&](const FailRequest& a) {
                Running* r = find(a.id);
                if (!r || r->life.finished())
                    return;
                const bool late =
                    r->last == AttemptOutcome::timed_out || loop_.now() + kNearDeadline >= r->deadline;
                const char* name = late                                          ? "EXCEEDED_TIME_LIMIT"
                                   : r->last == AttemptOutcome::connection_reset ? "REMOTE_HOST_GONE"
                                                                                 : "GENERIC_INTERNAL_ERROR";
                auto d = failed_document(
                    r->stats, name, "it may have run" + (r->last_error.empty() ? "" : ": " + r->last_error));
                answer_finally(*r, std::move(d), Ended::failed, 0);
            },
            [&](const CancelAttempt& a) {
                Running* r = find(a.id);
                if (!r || a.attempt < 0 || a.attempt >= static_cast<int>(r->attempts.size()))
                    return;
                Attempt& attempt = *r->attempts[static_cast<std::size_t>(a.attempt)];
                if (attempt.over || r->flowing())
                    return;  // a stream that has begun is not called off
                attempt.call->cancel();
                complete(attempt, AttemptOutcome::cancelled, r->life.finished());
            },
            [&](const CheckHealth& a) {
                engines_.probe(a.engine, [this, id = a.engine](Micros taken, AttemptOutcome how,
                                                               std::optional<LoadReport> report) {
                    post(HealthCheckCompleted{id, taken, how, report});
                });
            },
            [&](const BroadcastToPeers&) {},  // no peers here: the settings never allow it
            [&](const WatchEndpoints&) {
                engines_.ask();
            },
            [&](const StartTimer&) {}},  // the driver keeps the timers
        action);
}

void Front::send(const DispatchAttempt& action) {
    Running* r = find(action.id);
    if (!r)
        return;
    r->attempts.push_back(
        std::make_unique<Attempt>(*this, *r, static_cast<int>(r->attempts.size()), action.engine));
    Attempt& a = *r->attempts.back();
    if (const auto broken = forbidden(a)) {
        metrics_.violation(*broken);
        deps_.log(std::string("VIOLATION prevented: ") + decide::name_of(*broken) + ": " + r->id +
                  " attempt " + std::to_string(a.number));
        return complete(a, AttemptOutcome::not_sent, r->life.finished());
    }
    a.out = r->life.apply(RequestEvent::attempt_started);
    if (r->first_sent == 0)
        r->first_sent = a.sent;
    Engine* engine = engines_.find(action.engine);
    if (!engine)
        return complete(a, AttemptOutcome::connection_refused, false);
    r->last_engine = a.engine_name = engine->settings.name;
    a.engine_kind = engine->settings.kind;
    const Micros limit =
        action.timeout > 0 ? std::min(action.timeout, r->deadline - a.sent) : r->deadline - a.sent;
    // The engine stops by itself at the deadline, whatever becomes of this front.
    std::map<std::string, std::string> set{{"query_max_run_time", session_span(limit)}};
    if (r->grant_mb > 0)
        set["query_max_memory"] = std::to_string(std::llround(r->grant_mb)) + "MB";
    if (settings_.module.supports_priorities)
        set["query_priority"] = std::to_string(r->priority);
    std::string tag;
    if (deps_.ledger)
        tag = decide::tag_of({deps_.ledger->incarnation(), r->number, static_cast<std::uint32_t>(a.number)});
    auto headers = statement::engine_headers(r->submission.context, set, tag);
    note_attempt(a, decide::AttemptState::in_flight);
    headers.add("User-Agent", "gatetiller/" + settings_.name);
    a.timer = loop_.after(limit, [this, &a] {
        a.timer = 0;
        if (a.over || a.running.flowing())
            return;
        a.call->cancel();
        a.running.last_error = "no answer in time";
        complete(a, AttemptOutcome::timed_out, a.running.life.finished());
    });
    a.call = std::make_unique<statement::EngineCall>(loop_, *engine->client, settings_.calls, a);
    a.call->start(std::move(headers), r->submission.sql, [this, &a] {
        return may_begin(a);
    });
}

// By what holds when its first byte is to go out: its connection may have come up long after the attempt was
// decided.
bool Front::may_begin(const Attempt& a) {
    if (a.over || draining_engines_.contains(a.engine))
        return false;
    return !forbidden(a, true);
}

// What the guard of attempts says of one that the module chose.
std::optional<decide::Invariant> Front::forbidden(const Attempt& a, bool is_out) {
    const Running& r = a.running;
    const auto& classes = settings_.module.classes;
    const auto cls = std::find_if(classes.begin(), classes.end(), [&](const auto& c) {
        return c.name == r.routed.cls;
    });
    decide::AttemptContext facts;
    facts.client_disconnected = r.ended == Ended::cancelled || r.ended == Ended::abandoned;
    facts.final_response_sent = r.life.finished() && !facts.client_disconnected;
    facts.attempt_in_flight = r.life.attempt_in_flight() && !is_out;
    facts.time_left = r.deadline - loop_.now();
    facts.earlier_attempts = a.number;
    for (const auto& earlier : r.attempts)
        if (earlier->over && !proves_not_executed(earlier->facts.outcome) && !facts.earlier_execution) {
            const Engine* const ran = engines_.find(earlier->engine);
            decide::EarlierExecution run;
            run.sent_ago = a.sent - earlier->sent;
            if (ran)
                run.zone = ran->watch.endpoint().zone, run.cell = ran->watch.endpoint().cell;
            facts.earlier_execution = run;
        }
    if (const Engine* const engine = engines_.find(a.engine)) {
        const Endpoint& entry = engine->watch.endpoint();
        facts.target.listed = true;
        facts.target.kind = entry.kind, facts.target.zone = entry.zone, facts.target.cell = entry.cell;
        if (const auto drains = draining_engines_.find(a.engine); drains != draining_engines_.end())
            facts.target.draining_for = loop_.now() - drains->second;
    }
    return decide::AttemptGuard(settings_.module).find_violation(facts, *cls, std::nullopt);
}

void Front::answer_finally(Running& r, statement::Document document, Ended ended, Micros come_back) {
    r.life.apply(RequestEvent::response_ready);
    r.ended = ended;
    r.ended_at = loop_.now();
    http::Headers headers;
    if (come_back > 0)
        headers.add("Retry-After", retry_after(come_back));
    document.next_uri.clear();
    statements_.push(r.id, std::move(document), std::move(headers));
}

void Front::complete(Attempt& a, AttemptOutcome outcome, bool finished) {
    if (std::exchange(a.over, true))
        return;
    loop_.cancel(std::exchange(a.timer, 0));
    Running& r = a.running;
    if (a.out)
        r.life.apply(RequestEvent::attempt_ended);
    r.last = outcome;
    metrics_.attempt(outcome);
    a.facts.outcome = outcome;
    note_attempt(a, decide::state_of(a.facts));
    quota_.record_use(r.team, loop_.now(), a.stats.cpu_ms * kMillisecond);
    AttemptCompleted c{r.id, a.number, a.engine, outcome, loop_.now() - a.sent, finished, 0, 0, a.report};
    if (outcome == AttemptOutcome::succeeded && settings_.module.cost_in_responses) {
        c.work_ms = static_cast<double>(a.stats.cpu_ms);
        c.needed_mb = static_cast<double>(a.stats.peak_memory_bytes) / kMega;
    }
    post(std::move(c));
    if (r.life.releasable())
        free_later(r.id);
}

// ---- What engines answer

void Front::on_document(Attempt& a, statement::Document d, const http::Headers& headers) {
    Running& r = a.running;
    if (a.over)
        return;
    if (auto report = statement::read_report(headers))
        a.report = report;
    a.stats = r.stats = d.stats;
    a.engine_id = d.id;
    a.row_bytes += static_cast<std::int64_t>(d.data.size());
    a.ever_ran = a.ever_ran || d.stats.cpu_ms > 0 || d.has_rows() || d.stats.state == "RUNNING" ||
                 d.stats.state == "FINISHING";
    if (!d.columns.empty())
        a.columns = d.columns;
    if (d.final()) {
        decide::AttemptEnd how;
        how.has_executed = a.ever_ran;
        if (d.error)
            how.has_error = true, how.error_type = d.error->type, how.error_name = d.error->name;
        return end_attempt(a, how, std::move(d), headers);
    }
    const decide::QueryStats seen{d.stats.progress,      d.stats.queued,         d.stats.scheduled,
                                  d.stats.queued_splits, d.stats.running_splits, d.stats.spilled_bytes};
    for (const auto& note : a.notes.observe(loop_.now(), seen)) {
        post(AttemptProgress{r.id, a.number, a.engine, note.kind, note.value});
        if (a.over)
            return;  // the module called it off
    }
    if (d.has_rows()) {
        if (d.columns.empty())
            d.columns = a.columns;
        http::Headers passed;
        statement::pass_response_headers(headers, passed);
        statements_.push(r.id, std::move(d), std::move(passed));
        if (a.over)
            return;
    }
    ask_on(a);
}

void Front::ask_on(Attempt& a) {
    if (holding_.can_fetch_more(statements_.waiting_bytes(a.running.id), statements_.waiting_in_all()))
        a.call->next();
}

void Front::on_end(Attempt& a, const statement::CallEnd& end) {
    if (a.over)
        return;
    using How = decide::AttemptEnd::Kind;
    using Call = statement::CallEnd::How;
    decide::AttemptEnd how;
    how.kind = end.how == Call::not_sent       ? How::not_sent
               : end.how == Call::connect_late ? How::connect_timeout
               : end.how == Call::lacked_here  ? How::local_resource_exhausted
               : end.how == Call::withdrawn    ? How::local_resource_exhausted
               : end.how == Call::turned_away  ? How::rejected
               : end.how == Call::late         ? How::timed_out
                                               : How::connection_lost;
    how.status = end.status;
    end_attempt(
        a, how,
        failed_document(a.stats, "REMOTE_HOST_GONE", "engine " + a.running.last_engine + ": " + end.text),
        {});
}

void Front::end_attempt(Attempt& a, decide::AttemptEnd how, statement::Document d,
                        const http::Headers& headers) {
    Running& r = a.running;
    const auto verdict = decide::classify_attempt_end(how);
    using How = decide::AttemptEnd::Kind;
    a.facts.document = how.kind == How::answered;
    a.facts.connected = how.kind != How::not_sent && how.kind != How::connect_timeout &&
                        how.kind != How::local_resource_exhausted;
    if (d.error)
        r.last_error = d.error->message;
    if (verdict.for_client && !r.life.finished()) {
        if (d.columns.empty())
            d.columns = a.columns;
        r.life.apply(RequestEvent::response_ready);
        r.ended = Ended::served, r.ended_at = loop_.now();
        a.facts.for_client = true;
        complete(a, verdict.outcome, true);
        http::Headers passed;
        statement::pass_response_headers(headers, passed);
        statements_.push(r.id, std::move(d), std::move(passed));
    } else if (r.flowing()) {
        // Rows have gone out: nothing is tried again, and the client learns that what it has is not whole.
        if (!d.error)
            d.error = statement::error_named("REMOTE_HOST_GONE", "the engine failed after the first rows");
        r.life.apply(RequestEvent::response_ready);
        r.ended = Ended::cut, r.ended_at = loop_.now();
        complete(a, verdict.outcome, true);
        d.data.clear(), d.next_uri.clear();
        statements_.push(r.id, std::move(d));
    } else {
        // Rows that wait unfetched are of an attempt that failed: another one brings its own.
        if (!r.life.finished())
            statements_.drop_waiting(r.id);
        complete(a, verdict.outcome, r.life.finished());
    }
}

// ---- The ledger

void Front::note_attempt(Attempt& a, decide::AttemptState state) {
    const Running& r = a.running;
    if (!r.in_ledger)
        return;
    decide::AttemptRow row;
    row.request = r.number, row.number = static_cast<std::uint32_t>(a.number);
    row.engine = a.engine_name, row.kind = a.engine_kind, row.engine_id = a.engine_id;
    row.state = state;
    row.sent_after = a.sent - r.arrived;
    if (a.over)
        row.ended_after = loop_.now() - r.arrived;
    row.grant_bytes = std::llround(r.grant_mb * kMega);
    row.work = a.stats.cpu_ms * kMillisecond;
    row.peak_bytes = a.stats.peak_memory_bytes, row.spilled_bytes = a.stats.spilled_bytes;
    row.row_bytes = a.row_bytes;
    row.whole = a.facts.document;
    deps_.ledger->update(std::move(row), loop_.wall(), a.place);
}

void Front::look_in_ledger() {
    for (const auto& text : deps_.ledger->poll(loop_.now(), loop_.wall()))
        deps_.log(text);
    if (const auto before = deps_.ledger->previous_incarnation();
        before.known && !std::exchange(before_known_, true)) {
        // What was sent after its last commit may be as young as this life.
        engines_.hold_cold(before.killed_from ? loop_.now() + settings_.module.overload_window : 0);
    }
    for (const auto& p : deps_.ledger->take_work_history())
        quota_.restore(teams_.of({p.who->user, p.who->source, p.who->tags, "", p.who->tenant}, 0),
                       loop_.now(), loop_.wall() - p.taken, p.work);
    ledger_timer_ = loop_.after(deps_.ledger->flush_interval(), [this] {
        look_in_ledger();
    });
}

// ---- Operating it

void Front::reload(const config::FrontSettings& s) {
    settings_.routes = s.routes;
    router_ = decide::Router(s.routes, tenant_names(settings_.module));
    engines_.reload(s);
}

void Front::drain(std::function<void()> done) {
    if (done && drain_over_)
        return done();
    if (done)
        drained_ = std::move(done);
    if (std::exchange(draining_, true))
        return;
    statements_.draining = true;
    deps_.log("draining: " + std::to_string(running_.size()) + " statements in hand");
    const Micros until = loop_.now() + settings_.drain_patience;
    // Clients may poll on new connections, so the door stays open until all are done.
    const auto look = [this, until](auto self) -> void {
        if (!running_.empty() && loop_.now() < until) {
            drain_timer_ = loop_.after(kDrainLook, [self] {
                self(self);
            });
            return;
        }
        drain_timer_ = loop_.after(kLastPolls, [this] {
            finish_drain();
        });
    };
    look(look);
}

void Front::finish_drain() {
    drain_over_ = true;
    server_.drain();
    deps_.log("drained: " + std::to_string(running_.size()) + " statements left behind");
    if (drained_)
        drained_();
}

}  // namespace gatetiller::front
