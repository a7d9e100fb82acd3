#include "front/engine_registry.hpp"

#include <set>

#include "base/units.hpp"
#include "statement/json.hpp"
#include "statement/load_report.hpp"

namespace gatetiller::front {
namespace {

constexpr Micros kKeepAgain = kSecondMicros;  // a last list that could not be written
constexpr Micros kFirstWord =
    100 * kMillisecond;  // that an engine has for telling its state, before it counts as on

}  // namespace

Engines::Engines(net::Loop& loop, const config::FrontSettings& s, Events events)
    : loop_(loop),
      roster_(s.roster),
      own_(s.engines),
      client_options_(s.client),
      name_(s.name),
      events_(std::move(events)),
      warm_up_(s.module.slow_start_window) {}

Engines::~Engines() {
    loop_.cancel(watching_);
    loop_.cancel(holding_);
    loop_.cancel(first_word_);
    loop_.cancel(keeping_);
}

void Engines::start() {
    // Until a source's first list comes the last one is what is known, or else the configuration's engines.
    auto known = own_;
    if (!roster_.keep.empty()) {
        auto last = discovery::load_cached_endpoints(roster_.keep);
        if (last)
            known = std::move(*last);
        else
            events_.log("starting without a last list: " + last.error());
    }
    take_list(known, EndpointUpdateKind::cached);
    open_source();
    if (roster_.watch_every > 0)
        watch();
}

void Engines::open_source() {
    source_ = discovery::make_endpoint_source(loop_, roster_, name_);
    if (source_)
        source_->start({[this](auto list) {
                            take_list(list, EndpointUpdateKind::full);
                            to_keep_ = std::move(list);
                            keep_last_list();
                        },
                        [this](const std::string& why) {
                            events_.log("the list of engines is lost: " + why);
                            events_.changed({EndpointUpdateKind::source_lost, {}});
                        }});
    else
        take_list(own_, EndpointUpdateKind::full);
}

// A disk that is full or broken for a while is tried again: the same list may not come again for long.
void Engines::keep_last_list() {
    const bool again = keeping_ != 0;
    loop_.cancel(std::exchange(keeping_, 0));
    if (roster_.keep.empty())
        return;
    const auto kept = discovery::save_cached_endpoints(roster_.keep, to_keep_);
    if (kept)
        return;
    if (!again)
        events_.log(kept.error());
    keeping_ = loop_.after(kKeepAgain, [this] {
        keep_last_list();
    });
}

void Engines::ask() {
    if (source_)
        source_->poll();
    else
        events_.changed({EndpointUpdateKind::incremental, {}});
}

void Engines::reload(const config::FrontSettings& s) {
    own_ = s.engines, roster_ = s.roster;
    open_source();
}

Engine* Engines::find(EngineId id) {
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : found->second.get();
}

void Engines::take_list(const std::vector<config::EngineSettings>& list, EndpointUpdateKind form) {
    EndpointUpdate change{form, {}};
    std::set<EngineId> named;
    std::vector<Engine*> coming;  // new, or back after it was off: its process may be a cold one
    for (const auto& settings : list) {
        auto& id = ids_[settings.name + " " + settings.address.text()];
        if (id == 0)
            id = ++last_id_;
        auto& engine = engines_[id];
        const bool is_new = !engine;
        if (is_new) {
            engine = std::make_unique<Engine>();
            engine->id = id;
            engine->client = std::make_unique<http::Client>(loop_, settings.address, client_options_);
            engine->client->on_all_lost([this, e = engine.get()] {
                ask_before_more(*e);
            });
        }
        const bool comes = is_new || engine->watch.endpoint().state == EndpointState::removed;
        if (comes && settings.state != EndpointState::removed && roster_.watch_every > 0) {
            engine->watch.await_status();
            coming.push_back(engine.get());
        }
        engine->settings = settings;
        engine->watch.on_listed(
            {id, settings.state, settings.zone, settings.kind, settings.cell, 0, settings.share});
        named.insert(id);
        change.endpoints.push_back(engine->watch.endpoint());
    }
    for (auto& [id, engine] : engines_) {
        if (named.contains(id) || engine->watch.endpoint().state == EndpointState::removed)
            continue;
        Endpoint gone = engine->watch.endpoint();
        gone.state = EndpointState::removed;
        engine->watch.on_listed(gone);
    }
    events_.changed(std::move(change));
    for (Engine* e : coming)
        ask_and_wait(*e);
}

void Engines::changed(Engine& e) {
    events_.log("engine " + e.settings.name + " is " +
                (e.watch.endpoint().state == EndpointState::ready      ? "on"
                 : e.watch.endpoint().state == EndpointState::draining ? "draining"
                                                                       : "off"));
    events_.changed({EndpointUpdateKind::incremental, {e.watch.endpoint()}});
}

void Engines::watch() {
    for (auto& [id, e] : engines_)
        if (e->watch.endpoint().state != EndpointState::removed && !e->info.active() && !e->state.active())
            ask_state(*e);
    watching_ = loop_.after(roster_.watch_every, [this] {
        watch();
    });
}

// Its process may have ended and another, cold one stand in its place. Not more often than a word is waited
// for: an engine that ends each connection at once would be asked without end.
void Engines::ask_before_more(Engine& e) {
    if (roster_.watch_every <= 0 || e.watch.endpoint().state == EndpointState::removed)
        return;
    if (e.lost_at > 0 && loop_.now() - e.lost_at < kFirstWord)
        return;
    e.lost_at = loop_.now();
    if (e.watch.await_status())
        changed(e);
    ask_and_wait(e);
}

// Of one that counts as unheard.
void Engines::ask_and_wait(Engine& e) {
    awaited_.push_back({e.id, loop_.now() + kFirstWord});
    if (first_word_ == 0)
        first_word_ = loop_.after(kFirstWord, [this] {
            enough_waited();
        });
    ask_state(e);
}

void Engines::ask_state(Engine& e) {
    http::Headers headers;
    headers.add("User-Agent", "gatetiller/" + name_);
    const Micros limit = std::max(roster_.watch_every, kSecondMicros);
    e.info = e.client->send(
        {"GET", "/v1/info", 1, headers, {}, {}}, limit, [this, &e, headers, limit](http::Answer a) {
            const auto unheard = [&] {
                if (e.watch.on_status_unavailable())
                    changed(e);
            };
            if (a.reached != http::Reached::answered || a.response.status != 200)
                return unheard();
            const auto found = statement::members(a.response.body);
            if (!found)
                return unheard();
            e.starting = false, e.uptime.reset();
            for (const auto& m : *found) {
                if (m.key == "starting")
                    e.starting = m.raw == "true";
                if (m.key == "uptime")
                    if (const auto span = parse_span(statement::as_string(m.raw).value_or("")))
                        e.uptime = *span;
            }
            e.state = e.client->send(
                {"GET", "/v1/info/state", 1, headers, {}, {}}, limit, [this, &e](http::Answer s) {
                    const bool told = s.reached == http::Reached::answered && s.response.status == 200;
                    if (!told) {
                        if (e.watch.on_status_unavailable())
                            changed(e);
                        return;
                    }
                    const bool ends =
                        statement::as_string(trimmed(s.response.body)).value_or("") == "SHUTTING_DOWN";
                    const bool news = e.watch.on_status_reported(loop_.now(), ends, e.starting, e.uptime);
                    const bool held = e.watch.hold_in_slow_start(loop_.now(), hold_until_, warm_up_);
                    if (news || held)
                        changed(e);
                });
        });
}

void Engines::enough_waited() {
    first_word_ = 0;
    const Micros now = loop_.now();
    for (; !awaited_.empty() && awaited_.front().until <= now; awaited_.pop_front())
        if (Engine* e = find(awaited_.front().id); e && e->watch.on_status_unavailable())
            changed(*e);
    if (!awaited_.empty())
        first_word_ = loop_.after(awaited_.front().until - now, [this] {
            enough_waited();
        });
}

void Engines::hold_cold(Micros until) {
    hold_until_ = until;
    loop_.cancel(std::exchange(holding_, 0));
    for (auto& [id, e] : engines_)
        if (e->watch.hold_in_slow_start(loop_.now(), until, warm_up_))
            changed(*e);
    if (until > loop_.now())
        holding_ = loop_.after(until - loop_.now(), [this] {
            holding_ = 0;
            hold_cold(0);
        });
}

void Engines::probe(EngineId id,
                    std::function<void(Micros, AttemptOutcome, std::optional<LoadReport>)> done) {
    Engine* e = find(id);
    if (!e)
        return done(0, AttemptOutcome::not_sent, std::nullopt);
    const Micros began = loop_.now();
    e->client
        ->send({"GET", "/v1/status", 1, {}, {}, {}}, kSecondMicros,
               [this, began, done = std::move(done)](const http::Answer& a) {
                   const bool fine = a.reached == http::Reached::answered && a.response.status == 200;
                   const AttemptOutcome how =
                       fine                                      ? AttemptOutcome::succeeded
                       : a.reached == http::Reached::answered    ? AttemptOutcome::failed
                       : a.reached == http::Reached::late        ? AttemptOutcome::timed_out
                       : a.reached == http::Reached::broken      ? AttemptOutcome::connection_reset
                       : a.reached == http::Reached::lacked_here ? AttemptOutcome::not_sent
                                                                 : AttemptOutcome::connection_refused;
                   done(loop_.now() - began, how,
                        fine ? statement::read_report(a.response.headers) : std::nullopt);
               })
        .detach();
}

}  // namespace gatetiller::front
