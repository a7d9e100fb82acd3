#include "front/engine_registry.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "base/units.hpp"
#include "statement/json.hpp"
#include "statement/load_report.hpp"

namespace gatetiller::front {
namespace {

constexpr Micros kCacheRetryInterval = kSecondMicros;  // after a failure to save the list
// An engine whose status is awaited for longer counts as ready.
constexpr Micros kStatusTimeout = 100 * kMillisecond;
constexpr Micros kMinStatusRequestTimeout = kSecondMicros;
constexpr Micros kHealthCheckTimeout = kSecondMicros;
constexpr int kStatusOk = 200;

const char* log_name_of(EndpointState state) {
    switch (state) {
        case EndpointState::ready:
            return "on";
        case EndpointState::draining:
            return "draining";
        case EndpointState::removed:
            return "off";
    }
    return "off";
}

bool is_ok(const http::Answer& result) {
    return result.outcome == http::CallOutcome::answered && result.response.status == kStatusOk;
}

// Returns whether the state is that of an engine that shuts down, or nothing if the state is unknown.
std::optional<bool> read_shutting_down(std::string_view body) {
    const auto state = statement::as_string(trimmed(body));
    if (state == "SHUTTING_DOWN")
        return true;
    const bool accepts_statements = state == "ACTIVE" || state == "STARTING";
    return accepts_statements ? std::optional(false) : std::nullopt;
}

AttemptOutcome health_outcome_of(const http::Answer& result) {
    switch (result.outcome) {
        case http::CallOutcome::answered:
            return is_ok(result) ? AttemptOutcome::succeeded : AttemptOutcome::failed;
        case http::CallOutcome::timed_out:
            return AttemptOutcome::timed_out;
        case http::CallOutcome::broken:
            return AttemptOutcome::connection_reset;
        case http::CallOutcome::lacks_local_resource:
            return AttemptOutcome::not_sent;
        case http::CallOutcome::never_sent:
        case http::CallOutcome::connect_timed_out:
        case http::CallOutcome::withdrawn:
            break;
    }
    return AttemptOutcome::connection_refused;
}

}  // namespace

EngineRegistry::EngineRegistry(net::Loop& loop, const config::FrontSettings& settings, Events events)
    : loop_(loop),
      source_settings_(settings.roster),
      configured_engines_(settings.engines),
      client_options_(settings.client),
      front_name_(settings.name),
      events_(std::move(events)),
      slow_start_window_(settings.module.slow_start_window) {}

EngineRegistry::~EngineRegistry() {
    loop_.cancel(status_poll_timer_);
    loop_.cancel(slow_start_hold_timer_);
    loop_.cancel(pending_status_timer_);
    loop_.cancel(cache_retry_timer_);
}

void EngineRegistry::start() {
    // Uses the cached list, or else the configured engines, until the source reports its first list.
    auto initial_list = configured_engines_;
    if (!source_settings_.keep.empty()) {
        auto cached = discovery::load_cached_endpoints(source_settings_.keep);
        if (cached)
            initial_list = std::move(*cached);
        else
            events_.log("starting without a cached endpoint list: " + cached.error());
    }
    apply_list(initial_list, EndpointUpdateKind::cached);
    open_source();
    if (source_settings_.watch_every > 0)
        poll_statuses_periodically();
}

void EngineRegistry::open_source() {
    source_ = discovery::make_endpoint_source(loop_, source_settings_, front_name_);
    if (!source_)
        return apply_list(configured_engines_, EndpointUpdateKind::full);
    source_->start({[this](auto list) {
                        apply_list(list, EndpointUpdateKind::full);
                        source_list_ = std::move(list);
                        save_cached_endpoints();
                    },
                    [this](const std::string& reason) {
                        events_.log("endpoint source unavailable: " + reason);
                        events_.on_update({EndpointUpdateKind::source_lost, {}});
                    }});
}

// Retries while the list cannot be written (full or failed disk), because the source reports a list only when
// it changes.
void EngineRegistry::save_cached_endpoints() {
    const bool is_retry = cache_retry_timer_ != 0;
    loop_.cancel(std::exchange(cache_retry_timer_, 0));
    if (source_settings_.keep.empty())
        return;
    const auto saved = discovery::save_cached_endpoints(source_settings_.keep, source_list_);
    if (saved)
        return;
    if (!is_retry)
        events_.log(saved.error());
    cache_retry_timer_ = loop_.after(kCacheRetryInterval, [this] {
        save_cached_endpoints();
    });
}

void EngineRegistry::poll_source() {
    if (source_)
        source_->poll();
    else
        events_.on_update({EndpointUpdateKind::incremental, {}});
}

void EngineRegistry::reload(const config::FrontSettings& settings) {
    configured_engines_ = settings.engines;
    source_settings_ = settings.roster;
    open_source();
}

Engine* EngineRegistry::find(EngineId id) {
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : found->second.get();
}

Engine& EngineRegistry::find_or_create(const config::EngineSettings& settings) {
    auto& id = ids_[settings.name + " " + settings.address.text()];
    if (id == 0)
        id = ++last_id_;
    auto& engine = engines_[id];
    if (!engine) {
        engine = std::make_unique<Engine>();
        engine->id = id;
        engine->client = std::make_unique<http::Client>(loop_, settings.address, client_options_);
        engine->client->on_all_lost([this, engine_ptr = engine.get()] {
            on_connections_lost(*engine_ptr);
        });
    }
    return *engine;
}

void EngineRegistry::apply_list(const std::vector<config::EngineSettings>& list, EndpointUpdateKind kind) {
    EndpointUpdate update{kind, {}};
    std::vector<Engine*> engines_to_poll;  // new engines and engines that return to the list
    for (const auto& settings : list) {
        const std::size_t engines_before = engines_.size();
        Engine& engine = find_or_create(settings);
        const bool is_new = engines_.size() > engines_before;
        const bool joins = is_new || engine.state_tracker.endpoint().state == EndpointState::removed;
        if (joins && settings.state != EndpointState::removed && source_settings_.watch_every > 0) {
            engine.state_tracker.await_status();
            engines_to_poll.push_back(&engine);
        }
        engine.settings = settings;
        engine.state_tracker.on_listed(
            {engine.id, settings.state, settings.zone, settings.kind, settings.cell, 0, settings.share});
        update.endpoints.push_back(engine.state_tracker.endpoint());
    }
    remove_unlisted(update.endpoints);
    events_.on_update(std::move(update));
    for (Engine* engine : engines_to_poll)
        poll_and_await_status(*engine);
}

void EngineRegistry::remove_unlisted(const std::vector<Endpoint>& listed) {
    std::set<EngineId> listed_ids;
    for (const Endpoint& endpoint : listed)
        listed_ids.insert(endpoint.id);
    for (auto& [id, engine] : engines_) {
        Endpoint endpoint = engine->state_tracker.endpoint();
        if (listed_ids.contains(id) || endpoint.state == EndpointState::removed)
            continue;
        endpoint.state = EndpointState::removed;
        engine->state_tracker.on_listed(endpoint);
    }
}

void EngineRegistry::report_state(const Engine& engine) const {
    const Endpoint& endpoint = engine.state_tracker.endpoint();
    events_.log("engine " + engine.settings.name + " is " + log_name_of(endpoint.state));
    events_.on_update({EndpointUpdateKind::incremental, {endpoint}});
}

void EngineRegistry::poll_statuses_periodically() {
    for (auto& [id, engine] : engines_) {
        const bool poll_in_flight = engine->info_poll.active() || engine->state_poll.active();
        if (engine->state_tracker.endpoint().state != EndpointState::removed && !poll_in_flight)
            poll_status(*engine);
    }
    status_poll_timer_ = loop_.after(source_settings_.watch_every, [this] {
        poll_statuses_periodically();
    });
}

// The minimum interval of kStatusTimeout prevents endless polling of an engine that closes every connection
// immediately.
void EngineRegistry::on_connections_lost(Engine& engine) {
    if (source_settings_.watch_every <= 0 || engine.state_tracker.endpoint().state == EndpointState::removed)
        return;
    const Micros now = loop_.now();
    if (engine.connections_lost_at > 0 && now - engine.connections_lost_at < kStatusTimeout)
        return;
    engine.connections_lost_at = now;
    if (engine.state_tracker.await_status())
        report_state(engine);
    poll_and_await_status(engine);
}

// Polls an engine whose state tracker waits for a status. The status counts as unavailable after
// kStatusTimeout.
void EngineRegistry::poll_and_await_status(Engine& engine) {
    pending_statuses_.push_back({engine.id, loop_.now() + kStatusTimeout});
    if (pending_status_timer_ == 0)
        pending_status_timer_ = loop_.after(kStatusTimeout, [this] {
            expire_pending_statuses();
        });
    poll_status(engine);
}

void EngineRegistry::expire_pending_statuses() {
    pending_status_timer_ = 0;
    const Micros now = loop_.now();
    while (!pending_statuses_.empty() && pending_statuses_.front().deadline <= now) {
        Engine* engine = find(pending_statuses_.front().id);
        if (engine)
            on_status_unavailable(*engine);
        pending_statuses_.pop_front();
    }
    if (!pending_statuses_.empty())
        pending_status_timer_ = loop_.after(pending_statuses_.front().deadline - now, [this] {
            expire_pending_statuses();
        });
}

http::Request EngineRegistry::status_request(const char* path) const {
    http::Headers headers;
    headers.add("User-Agent", "gatetiller/" + front_name_);
    return {"GET", path, 1, std::move(headers), {}, {}};
}

Micros EngineRegistry::status_request_timeout() const {
    return std::max(source_settings_.watch_every, kMinStatusRequestTimeout);
}

void EngineRegistry::poll_status(Engine& engine) {
    engine.info_poll = engine.client->send(status_request("/v1/info"), status_request_timeout(),
                                           [this, &engine](const http::Answer& result) {
                                               on_info(engine, result);
                                           });
}

void EngineRegistry::on_info(Engine& engine, const http::Answer& result) {
    if (!is_ok(result))
        return on_status_unavailable(engine);
    const auto members = statement::members(result.response.body);
    if (!members)
        return on_status_unavailable(engine);
    const bool was_starting = std::exchange(engine.starting, false);
    engine.uptime.reset();
    for (const auto& member : *members) {
        if (member.key == "starting")
            engine.starting = statement::as_bool(member.raw).value_or(was_starting);
        if (member.key == "uptime") {
            const auto uptime = parse_duration(statement::as_string(member.raw).value_or(""));
            if (uptime)
                engine.uptime = *uptime;
        }
    }
    engine.state_poll = engine.client->send(status_request("/v1/info/state"), status_request_timeout(),
                                            [this, &engine](const http::Answer& state) {
                                                on_state(engine, state);
                                            });
}

void EngineRegistry::on_state(Engine& engine, const http::Answer& result) {
    if (!is_ok(result))
        return on_status_unavailable(engine);
    const auto shutting_down = read_shutting_down(result.response.body);
    const Micros now = loop_.now();
    const bool changed =
        engine.state_tracker.on_status_reported(now, shutting_down, engine.starting, engine.uptime);
    const bool slow_start_hold_changed =
        engine.state_tracker.hold_in_slow_start(now, slow_start_hold_until_, slow_start_window_);
    if (changed || slow_start_hold_changed)
        report_state(engine);
}

void EngineRegistry::on_status_unavailable(Engine& engine) const {
    if (engine.state_tracker.on_status_unavailable())
        report_state(engine);
}

void EngineRegistry::hold_slow_start_until(Micros until) {
    slow_start_hold_until_ = until;
    loop_.cancel(std::exchange(slow_start_hold_timer_, 0));
    for (auto& [id, engine] : engines_)
        if (engine->state_tracker.hold_in_slow_start(loop_.now(), until, slow_start_window_))
            report_state(*engine);
    if (until > loop_.now())
        slow_start_hold_timer_ = loop_.after(until - loop_.now(), [this] {
            slow_start_hold_timer_ = 0;
            hold_slow_start_until(0);
        });
}

void EngineRegistry::check_health(EngineId id, HealthCheckHandler done) {
    Engine* engine = find(id);
    if (!engine)
        return done(0, AttemptOutcome::not_sent, std::nullopt);
    const Micros sent_at = loop_.now();
    engine->client
        ->send({"GET", "/v1/status", 1, {}, {}, {}}, kHealthCheckTimeout,
               [this, sent_at, done = std::move(done)](const http::Answer& result) {
                   std::optional<LoadReport> load;
                   if (is_ok(result))
                       load = statement::read_report(result.response.headers);
                   done(loop_.now() - sent_at, health_outcome_of(result), load);
               })
        .detach();
}

}  // namespace gatetiller::front
