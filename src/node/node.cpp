#include "node/node.hpp"

#include <algorithm>
#include <cmath>

#include "base/overloaded.hpp"
#include "base/planted.hpp"
#include "decide/attempt_end.hpp"
#include "decide/client_time_left.hpp"
#include "decide/table_group.hpp"

namespace gatetiller::node {
namespace {

using decide::RequestEvent;
using How = decide::ExchangeResult::Status;

constexpr const char* kService = "_work._tcp.fleet.local";
constexpr Micros kAnswerReserve = 5 * kMillisecond;  // for an answer's way to its client
constexpr Micros kTick = kSecondMicros;
constexpr int kStatusTicks = 5;
constexpr Micros kListOld = 2 * kSecondMicros;    // without a word of the name service
constexpr Micros kRepeatWay = 20 * kMillisecond;  // of a repeat to its engine
constexpr Micros kDrainLook = 20 * kMillisecond;
constexpr Micros kDiscardBefore = 100 * kMillisecond;  // the end of a drained engine's grace
constexpr std::size_t kEnginesShown = 40;              // in the status
constexpr double kWorkLearnt = 0.02;                   // of a request, for the mean work

// A refusal, with when to come back where there is something to say.
std::string refusal(std::int32_t seq, Micros come_back) {
    thrift::Fields hint;
    if (come_back > 0)
        hint["pause"] = std::to_string(std::max<Micros>(1, come_back / kMillisecond));
    return thrift::rejected(seq, hint);
}

// Within which a repeat may go out, so that it arrives while the engines still know its key.
Micros repeat_window(const ClassSettings& c) {
    return std::max<Micros>(0, c.key_window - kRepeatWay);
}

// What the module is told of the settings: windows of repeats that leave time for a repeat's way to its
// engine, as it must arrive within them; the rest as it is, but for faults planted by the soak.
PolicySettings module_settings(PolicySettings s) {
    for (ClassSettings& c : s.classes)
        c.key_window = repeat_window(c);
    if (planted("send_over_attempt_cap"))
        s.max_attempts += 20;
    if (planted("cold_engine_taken_for_warm"))
        s.slow_start_window = 0;
    for (ClassSettings& c : s.classes) {
        if (planted("repeat_of_once") && c.idempotency == Idempotency::non_idempotent)
            c.idempotency = Idempotency::idempotent;
        if (planted("repeat_past_key_window"))
            c.key_window = 3600 * kSecondMicros;
        if (planted("repeat_outside_key_scope"))
            c.key_scope = KeyScope::all;
        if (planted("send_against_placement"))
            c.allowed_zones.reset();
    }
    return s;
}

const char* reason_text(GiveUpReason reason) {
    switch (reason) {
        case GiveUpReason::deadline_unreachable:
            return "out_of_time";
        case GiveUpReason::objective_missed:
            return "worthless";
        case GiveUpReason::attempts_exhausted:
            return "no_tries_left";
    }
    return "unknown";
}

}  // namespace

struct Node::Attempt final : Exchange::Events {
    Attempt(Node& n, Running& r, int no, EngineId e)
        : node(n), running(r), number(no), engine(e), sent(n.loop_.now()) {}
    ~Attempt() override {
        node.loop_.cancel(timer), node.loop_.cancel(window);
    }
    void on_progress(ProgressKind topic, double value) override;
    void on_end(decide::ExchangeResult end) override {
        node.on_end(*this, std::move(end));
    }
    std::optional<Exchange::Request> current_request() override;
    bool may_begin(std::uint64_t connection) override;

    Node& node;
    Running& running;
    int number;
    EngineId engine;
    Micros sent;
    Micros until = 0;                    // when its time is up
    net::TimerId timer = 0, window = 0;  // for its whole time; for a repeat's beginning
    Micros noted = 0;                    // when its last note came; for the log
    int notes = 0;
    bool out = false, over = false;  // out: it is the one that the request's life counts
    std::unique_ptr<Exchange> exchange;
};

struct Node::Running {
    std::string id, token, body;
    const ClassSettings* cls = nullptr;
    std::string tenant;
    Clients::Id client = 0;
    std::int32_t seq = 0;
    Micros arrived = 0, deadline = 0;
    double grant_mb = 0;
    int priority = 1;
    std::vector<std::unique_ptr<Attempt>> attempts;
    std::optional<Micros> ran_since;  // when the first attempt that may have run was sent; of those over
    std::string ran_zone;             // of its engine, as is ran_cell
    std::int64_t ran_cell = 0;
    decide::RequestLifecycle life;
    bool client_left = false;

    Attempt* out() {
        return life.attempt_in_flight() ? attempts.back().get() : nullptr;
    }
};

void Node::Attempt::on_progress(ProgressKind topic, double value) {
    if (over)
        return;
    ++notes, noted = node.loop_.now();
    node.driver_.post(AttemptProgress{running.id, number, engine, topic, value});
}

Node::Node(net::Loop& loop, NodeSettings settings, NodeDeps deps)
    : loop_(loop),
      settings_(std::move(settings)),
      deps_(std::move(deps)),
      bounds_(decide::derive_limits(settings_.sockets, settings_.memory_mb)),
      driver_(loop, settings_.seed, module_settings(settings_.module),
              [this](const Action& a) {
                  carry_out(a);
              }),
      clients_(loop, bounds_,
               {[this](Clients::Id c, thrift::Call call, Micros unseen) {
                    requested(c, std::move(call), unseen);
                },
                [this](Clients::Id c, std::int32_t seq) {
                    given_up(c, seq);
                },
                [this](Clients::Id c, const std::string& peer, decide::CloseReason reason,
                       const decide::ClosingContext& facts) {
                    if (deps_.trace)
                        deps_.trace("client " + std::to_string(c) + " " + peer + " closed: " +
                                    decide::name_of(reason) + " open=" + std::to_string(facts.open_requests) +
                                    (facts.has_unsent ? " unsent" : "") +
                                    (facts.has_unread ? " unread" : ""));
                },
                [this](decide::Invariant i, Clients::Id c) {
                    count(i, "client " + std::to_string(c));
                }}),
      dns_(loop, kService, settings_.seed,
           {.renews_port = !planted("one_port"), .backs_off_from_first_silence = planted("slow_questions")},
           {[this](const discovery::ReceivedUpdate& heard) {
                heard_list(heard);
            },
            [this](std::uint32_t number) {
                return list_.confirm(number, loop_.now());
            },
            [this](const std::string& why) {
                if (deps_.trace)
                    deps_.trace("name service: " + why + ", held: " + list_text());
                ++bad_lists_;
            },
            [this](std::uint16_t id, int unanswered) {
                if (deps_.trace && unanswered > 0)
                    deps_.trace("name service: asked again with id " + std::to_string(id) +
                                ", unanswered before " + std::to_string(unanswered) +
                                ", held: " + list_text());
            }}),
      list_(!planted("highest_number_for_ever")),
      guard_(settings_.module, !planted("guard_off")),
      wall_offset_(loop.wall() - loop.now()),
      restart_(decide::derive_shutdown_schedule(settings_.module)) {
    pool_.max_connections = bounds_.engine_connections;
    pool_.trace = deps_.trace;
    pool_.evict_idle = [this] {
        return std::any_of(engines_.begin(), engines_.end(), [](const auto& e) {
            return e.second.link && e.second.link->evict_idle_connection();
        });
    };
}

Node::~Node() {
    for (const auto timer : {free_timer_, tick_timer_, drain_timer_, discard_timer_})
        loop_.cancel(timer);
}

Result<net::Address> Node::start() {
    if (!std::exchange(started_, true)) {
        driver_.start();
        take_change(list_.take(settings_.known_number, settings_.known, loop_.now(), wall_now()));
    }
    net::Address from = settings_.listen;
    from.port = 0;
    if (!discovering_) {
        if (auto asked = dns_.start(from, settings_.dns); !asked)
            return asked.failure();
        discovering_ = true;
    }
    auto bound = clients_.listen(settings_.listen);
    if (!bound)
        return bound;
    std::string classes;
    const auto ms = [](Micros span) {
        return std::to_string(span / kMillisecond);
    };
    for (const auto& c : settings_.module.classes)
        classes +=
            " " + c.name + "(aim " + ms(c.latency_objective) + " ms, deadline " + ms(c.deadline) + " ms)";
    deps_.log("classes" + classes + "; notes every " + ms(settings_.module.progress_period) + " ms");
    deps_.log(bounds_text());
    tick_timer_ = loop_.after(kTick, [this] {
        tick();
    });
    return bound;
}

std::string Node::bounds_text() const {
    return std::to_string(settings_.memory_mb) + " MB, " + std::to_string(settings_.sockets) +
           " descriptors: " + std::to_string(bounds_.client_connections) + " for clients, " +
           std::to_string(bounds_.engine_connections) + " for engines; at most " +
           std::to_string(bounds_.requests) + " requests";
}

void Node::reload(const NodeSettings& s) {
    if (s.dns != settings_.dns)
        deps_.log("the name service is asked at " + s.dns.text() + " from now on");
    settings_.dns = s.dns;
    dns_.set_server(s.dns);
    if (!s.known.empty())
        take_change(list_.take(s.known_number, s.known, loop_.now(), wall_now()));
    if (s.sockets != settings_.sockets || s.memory_mb != settings_.memory_mb) {
        settings_.sockets = s.sockets, settings_.memory_mb = s.memory_mb;
        bounds_ = decide::derive_limits(s.sockets, s.memory_mb);
        clients_.bound(bounds_);
        pool_.max_connections = bounds_.engine_connections;
        deps_.log(bounds_text());
    }
    if (s.settings_text != settings_.settings_text || s.listen != settings_.listen ||
        s.name != settings_.name)
        deps_.log("name, listen or settings have changed: that needs a restart, the old ones stay in force");
}

// ---- The list of engines

void Node::heard_list(const discovery::ReceivedUpdate& heard) {
    const auto held = list_.serial();
    if (deps_.trace)
        deps_.trace("name service: list " + std::to_string(heard.serial) + " of " +
                    std::to_string(heard.endpoints.size()) + " engines asked " +
                    std::to_string((loop_.now() - heard.polled_at) / kMillisecond) +
                    " ms ago, held: " + list_text());
    auto change = list_.take(heard.serial, heard.endpoints, loop_.now(), wall_now(), heard.polled_at);
    if (heard.serial < held && list_.serial() == heard.serial)
        deps_.log("the name service's numbering has started anew: list " + std::to_string(held) +
                  " was held, " + std::to_string(heard.serial) + " is now");
    take_change(std::move(change));
}

void Node::take_change(std::optional<EndpointUpdate> change) {
    if (!change)
        return;
    decide::ConnectionLimits limits;
    limits.max_connections =
        std::max<std::size_t>(1, bounds_.engine_connections / 2);  // the pool bounds them all together
    limits.max_streams = static_cast<std::size_t>(settings_.streams);
    limits.connect_timeout = settings_.connect_time_out;
    limits.idle_timeout = settings_.idle_close;
    std::vector<std::unique_ptr<EngineConnections>> moved;
    for (const auto& [id, listed] : list_.endpoints()) {
        Engine& e = engines_[id];
        if (e.link && e.address == listed.address)
            continue;
        const auto at = net::Address::parse(listed.address);
        if (!at)
            continue;
        e.name = listed.name, e.address = listed.address;
        if (e.link)
            moved.push_back(std::move(e.link));
        e.link = std::make_unique<EngineConnections>(loop_, *at, limits, pool_);
    }
    for (auto& [id, e] : engines_)
        e.listed = list_.endpoints().contains(id);
    note_change(*change);
    if (planted("send_past_drain_grace"))
        for (Endpoint& entry : change->endpoints)
            entry.state = EndpointState::ready;
    driver_.post(std::move(*change));
    // After the module knows: what ends here is tried again by the new list.
    for (const auto& link : moved)
        link->end_all("the engine has another address");
    // What still waits to go out to one that takes nothing new would begin after its grace.
    std::vector<Attempt*> waiting;
    for (const auto& [id, r] : running_) {
        Attempt* const out = r->out();
        if (out && list_.state(out->engine) != EndpointState::ready)
            waiting.push_back(out);
    }
    for (Attempt* a : waiting)
        recall(*a);
    discard_for_drained();
}

// What the kernel still holds for a drained engine would begin after its grace. Its connections to it are
// reset shortly before that, and what was out there is tried again by the new list where it may be.
void Node::discard_for_drained() {
    const Micros grace = std::max<Micros>(0, settings_.module.drain_grace - kDiscardBefore);
    std::vector<EngineId> due;
    Micros next = 0;
    for (auto& [id, e] : engines_) {
        if (!e.to_discard || e.draining_since == 0)
            continue;
        const Micros at = e.draining_since + grace;
        if (at > loop_.now()) {
            next = next == 0 ? at : std::min(next, at);
            continue;
        }
        e.to_discard = false;
        due.push_back(id);
    }
    loop_.cancel(std::exchange(discard_timer_, 0));
    if (next > 0)
        discard_timer_ = loop_.after(next - loop_.now(), [this] {
            discard_timer_ = 0;
            discard_for_drained();
        });
    for (const EngineId id : due)
        if (const auto found = engines_.find(id); found != engines_.end() && found->second.link)
            found->second.link->end_unacknowledged(
                "the engine drains and has not acknowledged what was sent");
}

// The wall clock as it stood at the start, moved on by the monotonic one: a later step of it changes nothing.
Micros Node::wall_now() const {
    return loop_.now() + wall_offset_;
}

void Node::note_change(const EndpointUpdate& change) {
    const bool each =
        change.kind == EndpointUpdateKind::incremental && change.endpoints.size() <= kEnginesShown;
    if (!each)
        deps_.log("list " + std::to_string(list_.serial()) + ": " + std::to_string(change.endpoints.size()) +
                  " engines");
    for (const Endpoint& entry : change.endpoints) {
        Engine& e = engines_[entry.id];
        e.kind = entry.kind, e.zone = entry.zone, e.cell = entry.cell, e.came_up = entry.started_at;
        const bool drains = entry.state != EndpointState::ready;
        if (!drains)
            e.draining_since = 0;
        else if (e.draining_since == 0)
            e.draining_since = loop_.now(), e.to_discard = true;
        const char* const state = entry.state == EndpointState::ready      ? " is on"
                                  : entry.state == EndpointState::draining ? " drains"
                                                                           : " is gone";
        if (!each)
            continue;
        const Micros up_for = (loop_.now() - entry.started_at) / kMillisecond;
        deps_.log("engine " + e.name + state +
                  (entry.started_at > 0 ? ", up for " + std::to_string(up_for) + " ms" : ""));
    }
}

// ---- Requests come and go

Node::Running* Node::find(const std::string& id) {
    const auto found = running_.find(id);
    return found == running_.end() ? nullptr : found->second.get();
}

void Node::requested(Clients::Id client, thrift::Call call, Micros unseen) {
    const auto turned_away = [&](const char* how, std::string frame) {
        ++ended_[how];
        clients_.reply(client, call.seq, std::move(frame));
    };
    auto checked = decide::check_request(call.fields, call.body, settings_.module);
    if (!checked) {
        if (deps_.trace)
            deps_.trace("turned away: " + checked.error());
        return turned_away("malformed", thrift::exception("process", call.seq, thrift::Fault::invalid_type,
                                                          checked.error()));
    }
    const Micros pause = settings_.module.sends_retry_after ? settings_.module.max_retry_after : 0;
    const decide::NodeLoad holding{running_.size(), statement_bytes_, running_.contains(checked->id),
                                   draining_since_ > 0 ? loop_.now() - draining_since_ : 0};
    switch (decide::admit(holding, call.body.size(), bounds_, restart_)) {
        case decide::NodeAdmission::admitted:
            break;
        case decide::NodeAdmission::duplicate:
            return turned_away("twice", refusal(call.seq, pause));
        case decide::NodeAdmission::at_capacity:
            return turned_away("no_room", refusal(call.seq, pause));
        case decide::NodeAdmission::shutting_down:
            return turned_away("ending", refusal(call.seq, 0));
    }
    const Micros left = decide::client_time_left(checked->client_timeout, unseen, kAnswerReserve);
    auto r = std::make_unique<Running>();
    r->id = checked->id, r->token = checked->idempotency_key, r->body = std::move(call.body);
    r->cls = checked->cls, r->tenant = checked->tenant;
    r->client = client, r->seq = call.seq;
    r->arrived = loop_.now(), r->deadline = r->arrived + left;
    statement_bytes_ += r->body.size();
    RequestArrived d{r->id,
                     r->cls->name,
                     r->tenant,
                     "",
                     left,
                     checked->estimated_work,
                     checked->estimated_memory_mb,
                     decide::table_group(r->body),
                     false};
    if (checked->estimated_work) {
        const auto work = static_cast<double>(*checked->estimated_work);
        mean_work_ = mean_work_ > 0 ? mean_work_ + kWorkLearnt * (work - mean_work_) : work;
    }
    if (deps_.trace)
        deps_.trace(r->id + " " + r->cls->name + " taken from client " + std::to_string(client) +
                    " left_ms=" + std::to_string(left / kMillisecond));
    if (planted("send_past_deadline"))
        d.time_left += kSecondMicros;
    asked_[{client, call.seq}] = r->id;
    running_.emplace(r->id, std::move(r));
    driver_.post(std::move(d));
}

void Node::given_up(Clients::Id client, std::int32_t seq) {
    const auto found = asked_.find({client, seq});
    if (found == asked_.end())
        return;
    Running* r = find(found->second);
    asked_.erase(found);
    if (!r || !r->life.apply(RequestEvent::client_disconnected))
        return;
    r->client_left = true;
    ++ended_["given_up"];
    if (deps_.trace)
        deps_.trace(r->id + " " + r->cls->name + " given up by client " + std::to_string(client));
    driver_.post(ClientDisconnected{r->id});
    if (planted("send_after_client_left"))
        send_again(*r);
    // Whether or not the module may call it off: nothing begins for a client that has gone.
    if (Attempt* const out = r->out()) {
        withhold(*out);
        if (!out->over && out->exchange && out->exchange->discard_unacknowledged())
            complete(*out, AttemptOutcome::connection_reset, r->life.finished());
    }
    if (r->life.releasable())
        free_later(r->id);
}

std::string Node::name_of(EngineId id) const {
    const auto found = engines_.find(id);
    return found == engines_.end() ? "-" : found->second.name;
}

// The client's one final answer.
void Node::finish(Running& r, std::string frame, const char* how, std::optional<GiveUpReason> reason) {
    if (!r.life.apply(RequestEvent::response_ready))
        return;
    r.life.apply(RequestEvent::response_delivered);
    ++ended_[how];
    if (reason)
        ++ended_[std::string(how) + ":" + reason_text(*reason)];
    if (deps_.trace)
        deps_.trace(r.id + " " + r.cls->name + " " + how +
                    (reason ? std::string(" for ") + reason_text(*reason) : "") + " at " +
                    (r.attempts.empty() ? "-" : name_of(r.attempts.back()->engine)) +
                    " attempts=" + std::to_string(r.attempts.size()) +
                    " ms=" + std::to_string((loop_.now() - r.arrived) / kMillisecond) +
                    " left_ms=" + std::to_string((r.deadline - loop_.now()) / kMillisecond));
    asked_.erase({r.client, r.seq});
    const bool lost = planted("lost_answer") && r.deadline % 50 == 0;
    if (!lost)
        clients_.reply(r.client, r.seq, std::move(frame));
    if (planted("send_after_final"))
        send_again(r);
    if (r.life.releasable())
        free_later(r.id);
}

void Node::send_again(const Running& r) {
    if (!r.attempts.empty())
        send(DispatchAttempt{r.id, r.attempts.front()->engine, kSecondMicros});
}

void Node::refuse(Running& r, Micros come_back, const char* how, std::optional<GiveUpReason> reason) {
    finish(r, refusal(r.seq, come_back), how, reason);
}

// Not at once: the calls that led here still stand on the request.
void Node::free_later(const std::string& id) {
    to_free_.push_back(id);
    if (free_timer_ != 0)
        return;
    free_timer_ = loop_.after(0, [this] {
        free_timer_ = 0;
        for (const auto& done : std::exchange(to_free_, {})) {
            const auto found = running_.find(done);
            if (found == running_.end())
                continue;
            statement_bytes_ -= found->second->body.size();
            running_.erase(found);
        }
    });
}

// ---- Actions of the module

void Node::carry_out(const Action& action) {
    std::visit(
        Overloaded{
            [&](const DispatchAttempt& a) {
                send(a);
            },
            [&](const ResourceGrant& a) {
                Running* r = find(a.id);
                if (!r)
                    return;
                r->grant_mb = a.memory_mb;
                const bool changed = std::exchange(r->priority, a.priority) != a.priority;
                if (Attempt* out = r->out(); out && out->exchange && changed)
                    out->exchange->set_priority(a.priority);
            },
            [&](const ShedRequest& a) {
                if (Running* r = find(a.id))
                    refuse(*r, a.retry_after, "refused", a.reason);
            },
            [&](const FailRequest& a) {
                if (Running* r = find(a.id))
                    finish(*r, thrift::crashed(r->seq, {}), "failed", a.reason);
            },
            [&](const CancelAttempt& a) {
                Running* r = find(a.id);
                if (!r || a.attempt < 0 || a.attempt >= static_cast<int>(r->attempts.size()))
                    return;
                Attempt& attempt = *r->attempts[static_cast<std::size_t>(a.attempt)];
                complete(attempt, AttemptOutcome::cancelled, r->life.finished());
            },
            [&](const CheckHealth& a) {
                // Engines here tell their load with answers alone: nothing to ask them.
                driver_.post(HealthCheckCompleted{a.engine, 0, AttemptOutcome::not_sent, std::nullopt});
            },
            [&](const BroadcastToPeers&) {},  // no peers here: the settings never allow it
            [&](const WatchEndpoints&) {},    // the name service is asked all the time
            [&](const StartTimer&) {}},       // the driver keeps the timers
        action);
}

void Node::send(const DispatchAttempt& action) {
    Running* r = find(action.id);
    if (!r)
        return;
    r->attempts.push_back(
        std::make_unique<Attempt>(*this, *r, static_cast<int>(r->attempts.size()), action.engine));
    Attempt& a = *r->attempts.back();
    const Micros until = r->deadline - a.sent;
    const Micros limit = action.timeout > 0 ? std::min(action.timeout, until) : until;
    a.until = a.sent + limit;
    const auto found =
        planted("send_to_unlisted_engine") && a.number > 0 ? engines_.end() : engines_.find(action.engine);
    if (planted("send_to_unlisted_engine") && a.number > 0)
        a.engine = 0;
    const auto cold = found == engines_.end() ? std::nullopt : cold_requests(found->second);
    const auto facts = facts_of(a);
    const auto permit = guard_.permit(facts, *r->cls, cold);
    if (found != engines_.end())
        ++found->second.out;
    if (!permit) {
        count(*guard_.find_violation(facts, *r->cls, cold), text_of(a));
        return complete(a, AttemptOutcome::not_sent, r->life.finished());
    }
    a.out = r->life.apply(RequestEvent::attempt_started);
    if (!found->second.link)
        return complete(a, AttemptOutcome::connection_refused, false);
    a.timer = loop_.after(limit, [this, &a] {
        a.timer = 0;
        complete(a, AttemptOutcome::timed_out, a.running.life.finished());
    });
    // A repeat must arrive while the engines still know the key, not only be sent by then.
    if (r->cls->idempotency == Idempotency::keyed && r->ran_since)
        a.window = loop_.after(*r->ran_since + repeat_window(*r->cls) - a.sent, [this, &a] {
            a.window = 0;
            withhold(a);
        });
    const int times = planted("send_over_cold_budget") ? 400 : 1;
    if (facts.target.in_slow_start)
        found->second.sent.insert(found->second.sent.end(), static_cast<std::size_t>(times), a.sent);
    if (deps_.trace)
        deps_.trace(text_of(a) + " sent limit_ms=" + std::to_string(limit / kMillisecond) + " " +
                    list_text());
    a.exchange = found->second.link->send_request(*permit, r->id, a);
    if (!a.exchange)
        return complete(a, AttemptOutcome::not_sent, r->life.finished());
    if (planted("send_while_attempt_out") && a.number == 0)
        send(action);
}

// The request as it goes out now: `ms` is what is left of its time at this moment.
std::optional<Exchange::Request> Node::Attempt::current_request() {
    const Running& r = running;
    const Micros left = until - (planted("stale_deadline") ? sent : node.loop_.now());
    const bool wanted = !r.life.finished() || planted("send_after_client_left");
    if (over || left <= 0 || !wanted)
        return std::nullopt;
    std::string fields =
        "kind=" + r.cls->name + ",ms=" + std::to_string(std::max<Micros>(1, left / kMillisecond));
    if (!r.token.empty())
        fields += ",token=" + r.token;
    const PolicySettings& module = node.settings_.module;
    if (module.supports_memory_grants && r.grant_mb > 0)
        fields += ",reserve=" + std::to_string(static_cast<std::int64_t>(std::ceil(r.grant_mb)));
    if (module.supports_priorities)
        fields += ",level=" + std::to_string(r.priority);
    return Exchange::Request{std::move(fields), r.body};
}

// The list, its number and for how long it has not been confirmed: what an attempt's engine was chosen by.
std::string Node::list_text() const {
    return "list=" + std::to_string(list_.serial()) +
           " list_age_ms=" + std::to_string((loop_.now() - list_.confirmed_at()) / kMillisecond);
}

// By what holds at this moment and not when the attempt was decided: a connection that came up late, or a
// stall of this process, lies between the two.
bool Node::Attempt::may_begin(std::uint64_t connection) {
    auto facts = node.facts_of(*this);
    facts.attempt_in_flight = false;  // it is the one that is out
    const bool drained =
        node.list_.state(engine) != EndpointState::ready && !planted("send_past_drain_grace");
    const auto forbidden = node.guard_.find_violation(facts, *running.cls, std::nullopt);
    const bool may =
        !over && !drained && (!forbidden || planted("guard_off") || planted("send_after_client_left"));
    if (node.deps_.trace)
        node.deps_.trace(node.text_of(*this) + (may ? " begins" : " may not begin any more") +
                         " on connection " + std::to_string(connection) +
                         (forbidden ? std::string(": ") + decide::name_of(*forbidden) : "") +
                         " waited_ms=" + std::to_string((node.loop_.now() - sent) / kMillisecond) +
                         " draining_ms=" + std::to_string(facts.target.draining_for / kMillisecond) + " " +
                         node.list_text());
    return may;
}

// ---- What the guard of attempts is told

decide::AttemptContext Node::facts_of(const Attempt& a) const {
    const Running& r = a.running;
    decide::AttemptContext facts;
    facts.client_disconnected = r.client_left;
    facts.final_response_sent = r.life.finished() && !r.client_left;
    facts.attempt_in_flight = r.life.attempt_in_flight();
    facts.time_left = a.until - loop_.now();
    facts.earlier_attempts = a.number;
    if (r.ran_since) {
        decide::EarlierExecution earlier;
        earlier.sent_ago = loop_.now() - *r.ran_since;
        earlier.zone = r.ran_zone, earlier.cell = r.ran_cell;
        facts.earlier_execution = earlier;
    }
    if (const auto found = engines_.find(a.engine); found != engines_.end())
        facts.target = target_facts(found->second);
    return facts;
}

decide::EndpointSnapshot Node::target_facts(const Engine& e) const {
    const Micros now = loop_.now();
    const Micros window_begins = now - settings_.module.overload_window;
    decide::EndpointSnapshot target;
    target.listed = true;
    target.draining_for = e.draining_since > 0 ? now - e.draining_since : 0;
    target.in_slow_start = e.came_up > 0 && now < e.came_up + settings_.module.slow_start_window;
    target.slow_start_attempts =
        static_cast<double>(std::count_if(e.sent.begin(), e.sent.end(), [&](Micros at) {
            return at > window_begins;
        }));
    target.kind = e.kind, target.zone = e.zone, target.cell = e.cell;
    return target;
}

std::optional<double> Node::cold_requests(const Engine& e) const {
    for (const EngineKindSettings& kind : settings_.module.kinds)
        if (kind.name == e.kind)
            return decide::slow_start_share_requests(settings_.module, kind.cores,
                                                     static_cast<Micros>(mean_work_));
    return std::nullopt;
}

std::string Node::text_of(const Attempt& a) const {
    return a.running.id + " " + a.running.cls->name + " attempt " + std::to_string(a.number) + " at " +
           name_of(a.engine);
}

void Node::count(decide::Invariant invariant, const std::string& what) {
    violations_.count(invariant);
    deps_.log(std::string("VIOLATION prevented: ") + decide::name_of(invariant) + ": " + what);
}

void Node::complete(Attempt& a, AttemptOutcome outcome, bool finished, decide::ExchangeResult* end) {
    if (std::exchange(a.over, true))
        return;
    loop_.cancel(std::exchange(a.timer, 0)), loop_.cancel(std::exchange(a.window, 0));
    const std::string state = deps_.trace && a.exchange ? a.exchange->describe() : "";
    if (a.exchange && a.exchange->withdraw_unsent())
        outcome = AttemptOutcome::not_sent;
    a.exchange.reset();  // gives it up at the engine, where it is not over
    Running& r = a.running;
    if (!proves_not_executed(outcome) && !r.ran_since) {
        r.ran_since = a.sent;
        if (const auto found = engines_.find(a.engine); found != engines_.end())
            r.ran_zone = found->second.zone, r.ran_cell = found->second.cell;
    }
    ++attempts_ended_[decide::name_of(outcome)];
    if (a.out)
        r.life.apply(RequestEvent::attempt_ended);
    if (const auto found = engines_.find(a.engine); found != engines_.end())
        --found->second.out;
    AttemptCompleted c{r.id, a.number, a.engine, outcome, loop_.now() - a.sent, finished, 0, 0, std::nullopt};
    if (end) {
        c.load_report = end->load_report;
        if (outcome == AttemptOutcome::succeeded && settings_.module.cost_in_responses)
            c.work_ms = end->work_ms, c.needed_mb = end->needed_mb;
    }
    if (deps_.trace && outcome != AttemptOutcome::succeeded) {
        deps_.trace(
            text_of(a) + " " + decide::name_of(outcome) + " ms=" + std::to_string(c.duration / kMillisecond) +
            " notes=" + std::to_string(a.notes) +
            (a.notes > 0 ? " last_note_ms=" + std::to_string((a.noted - a.sent) / kMillisecond) : "") +
            (end ? " " + end->detail : "") + (state.empty() ? "" : " " + state));
    }
    driver_.post(std::move(c));
    if (r.life.releasable())
        free_later(r.id);
}

void Node::recall(Attempt& a) {
    if (!a.over && a.exchange && a.exchange->withdraw_unsent())
        complete(a, AttemptOutcome::not_sent, a.running.life.finished());
}

void Node::withhold(Attempt& a) {
    if (!a.over && a.exchange && a.exchange->reset_partial())
        complete(a, AttemptOutcome::not_sent, a.running.life.finished());
}

void Node::on_end(Attempt& a, decide::ExchangeResult end) {
    if (a.over)
        return;
    Running& r = a.running;
    const AttemptOutcome outcome = decide::outcome_of(end.status);
    if (end.status != How::completed || r.life.finished())
        return complete(a, outcome, r.life.finished(), &end);
    std::string frame = thrift::answer("process", r.seq, end.rows);
    finish(r, std::move(frame), "served");
    complete(a, outcome, true, &end);
}

// ---- Operating it

void Node::tick() {
    tick_timer_ = loop_.after(kTick, [this] {
        tick();
    });
    for (auto it = engines_.begin(); it != engines_.end();) {
        if (!it->second.listed && it->second.out == 0) {
            it = engines_.erase(it);
            continue;
        }
        if (it->second.link)
            it->second.link->close_expiring_idle();
        auto& sent = it->second.sent;
        while (!sent.empty() && sent.front() <= loop_.now() - settings_.module.overload_window)
            sent.pop_front();
        ++it;
    }
    look_at_list_age();
    if (++ticks_ % kStatusTicks == 0)
        deps_.log(status());
}

// Told once for each silence. The list held stays in force, however old
// (docs/incidents/drain-told-and-not-held.md).
void Node::look_at_list_age() {
    const bool old = loop_.now() - list_.confirmed_at() > kListOld;
    if (old == std::exchange(list_is_old_, old))
        return;
    deps_.log(
        (old ? "no word of the name service, the list held stays: " : "the name service is heard again: ") +
        list_text());
}

// name:module/sockets/connections of each; of a large fleet, those with most attempts out.
std::string Node::engines_text() const {
    std::vector<const Engine*> shown;
    for (const auto& [id, e] : engines_)
        shown.push_back(&e);
    const std::size_t all = shown.size();
    if (all > kEnginesShown) {
        std::partial_sort(shown.begin(), shown.begin() + kEnginesShown, shown.end(),
                          [](const Engine* a, const Engine* b) {
                              return a->out > b->out;
                          });
        shown.resize(kEnginesShown);
    }
    std::string text;
    for (const Engine* e : shown)
        text += (text.empty() ? "" : ",") + e->name + ":" + std::to_string(e->out) + "/" +
                std::to_string(e->link ? e->link->requests_in_flight() : 0) + "/" +
                std::to_string(e->link ? e->link->size() : 0);
    return text + (all > shown.size() ? ",and " + std::to_string(all - shown.size()) + " more" : "");
}

std::string Node::status() const {
    std::string ended, attempts, closed;
    std::size_t out = 0;
    for (const auto& [id, e] : engines_)
        out += e.out;
    for (const auto& [how, n] : ended_)
        ended += " " + how + "=" + std::to_string(n);
    for (const auto& [how, n] : attempts_ended_)
        attempts += (attempts.empty() ? "" : ",") + how + ":" + std::to_string(n);
    const auto& c = clients_.counters();
    for (std::size_t i = 0; i < c.closed.size(); ++i)
        if (c.closed[i] > 0)
            closed += (closed.empty() ? "" : ",") +
                      std::string(decide::name_of(static_cast<decide::CloseReason>(i))) + ":" +
                      std::to_string(c.closed[i]);
    return "requests=" + std::to_string(running_.size()) +
           " clients=" + std::to_string(clients_.connections()) + " " + list_text() +
           " engines(module/sockets/connections)=" + engines_text() + ended +
           " accepted=" + std::to_string(c.accepted) + " malformed=" + std::to_string(c.malformed) +
           " evicted=" + std::to_string(c.evicted) + " overdue=" + std::to_string(c.overdue) +
           " waits=" + std::to_string(c.waits) + " closed=" + closed + " attempts=" + attempts +
           " opened=" + std::to_string(pool_.opened) + " no_connection=" + std::to_string(pool_.refused) +
           " lacked=" + std::to_string(pool_.local_failures) + " renewed=" + std::to_string(pool_.rewritten) +
           " broken=" + std::to_string(pool_.broken) +
           " spoilt=" + std::to_string(pool_.malformed_responses) +
           " discarded=" + std::to_string(pool_.discarded) + " unasked=" + std::to_string(pool_.unsolicited) +
           " bad_lists=" + std::to_string(bad_lists_) +
           (deps_.log_lines_lost ? " log_lost=" + std::to_string(deps_.log_lines_lost()) : "") +
           " connections=" + std::to_string(pool_.open_connections) + " attempts_out=" + std::to_string(out) +
           " timers=" + std::to_string(loop_.timers()) + " violations=" + violations_.text();
}

void Node::drain(std::function<void()> done) {
    if (draining_since_ > 0)
        return;
    draining_since_ = loop_.now();
    drained_ = std::move(done);
    clients_.accept_again();
    deps_.log("draining: " + status());
    look_drained();
}

void Node::look_drained() {
    const Micros since = loop_.now() - draining_since_;
    if (since >= restart_.final_responses_at)
        end_all();
    if (since >= restart_.admit_until)
        clients_.wind_down();
    if (since >= restart_.listen_until)
        clients_.close_listener(since >= restart_.exit_at);
    const bool settled = since >= restart_.listen_until && !clients_.listens() && running_.empty() &&
                         clients_.connections() == 0;
    if (settled || since >= restart_.exit_at) {
        deps_.log("drained: " + status());
        return drained_();
    }
    drain_timer_ = loop_.after(kDrainLook, [this] {
        look_drained();
    });
}

// What is left is told so while its client can still hear it, and may come again where that is harmless.
void Node::end_all() {
    std::vector<std::string> left;
    for (const auto& [id, r] : running_)
        if (!r->life.finished())
            left.push_back(id);
    for (const auto& id : left) {
        Running& r = *running_.at(id);
        if (decide::final_response_at_shutdown(*r.cls, r.ran_since.has_value() || r.out()) ==
            decide::FinalResponse::rejected)
            refuse(r, 0, "ending");
        else
            finish(r, thrift::crashed(r.seq, {}), "failed");
        driver_.post(ClientDisconnected{id});  // the module calls off what is out
    }
}

std::vector<std::pair<std::size_t, std::size_t>> Node::out_by_engine() const {
    std::vector<std::pair<std::size_t, std::size_t>> out;
    for (const auto& [id, e] : engines_)
        out.emplace_back(e.out, e.link ? e.link->requests_in_flight() : 0);
    return out;
}

}  // namespace gatetiller::node
