#include "node/endpoint_registry.hpp"

#include <algorithm>

namespace gatetiller::node {
namespace {

constexpr Micros kListStaleAfter = 2 * kSecondMicros;  // without a confirmation by the name service
constexpr Micros kDiscardLead = 100 * kMillisecond;    // before the end of an engine's drain grace
constexpr std::size_t kMaxEnginesLogged = 40;          // per update
constexpr double kWorkSmoothing = 0.02;                // weight of one request in the mean work

const char* state_text(EndpointState state) {
    switch (state) {
        case EndpointState::ready:
            return " is ready";
        case EndpointState::draining:
            return " is draining";
        case EndpointState::removed:
            return " is removed";
    }
    return " is in an unknown state";
}

}  // namespace

EndpointRegistry::EndpointRegistry(net::Loop& loop, const NodeSettings& settings,
                                   const decide::ResourceLimits& limits, const NodeDeps& deps, Events events)
    : loop_(loop),
      settings_(settings),
      limits_(limits),
      deps_(deps),
      events_(std::move(events)),
      pool_(loop),
      list_(deps.faults->accepts_restarted_serials()),
      wall_offset_(loop.wall() - loop.now()) {
    refresh_resource_limits();
    pool_.trace = deps_.trace;
}

EndpointRegistry::~EndpointRegistry() {
    loop_.cancel(discard_timer_);
}

void EndpointRegistry::refresh_resource_limits() {
    pool_.set_max_connections(limits_.engine_connections);
    pool_.results.set_limit(limits_.result_bytes);
}

// ---- Updates of the endpoint list

void EndpointRegistry::apply_configured(std::uint64_t serial,
                                        const std::vector<decide::DiscoveredEndpoint>& endpoints) {
    apply(list_.apply(serial, endpoints, loop_.now(), wall_now()));
}

void EndpointRegistry::apply_received(const discovery::ReceivedUpdate& update) {
    const auto previous = list_.serial();
    if (deps_.trace)
        deps_.trace("name service: list " + std::to_string(update.serial) + " with " +
                    std::to_string(update.endpoints.size()) + " engines, polled " +
                    std::to_string((loop_.now() - update.polled_at) / kMillisecond) +
                    " ms ago, current: " + list_text());
    auto change = list_.apply(update.serial, update.endpoints, loop_.now(), wall_now(), update.polled_at);
    if (update.serial < previous && list_.serial() == update.serial)
        deps_.log("the name service's serials have restarted: list " + std::to_string(previous) +
                  " was current, " + std::to_string(update.serial) + " is now");
    apply(std::move(change));
}

bool EndpointRegistry::confirm(std::uint64_t serial) {
    return list_.confirm(serial, loop_.now());
}

void EndpointRegistry::apply(std::optional<EndpointUpdate> update) {
    if (!update)
        return;
    const auto replaced = connect_listed();
    for (auto& [id, engine] : engines_)
        engine.listed = list_.endpoints().contains(id);
    apply_endpoint_states(*update);
    events_.on_update(deps_.faults->update_for_policy(std::move(*update)));
    for (const auto& connections : replaced)
        connections->end_all("the engine's address has changed");
    // Requests still waiting to be sent to a draining engine could otherwise begin after its drain grace.
    events_.on_applied();
    reset_before_grace_ends();
}

// Creates the connections of each listed engine whose address is new, and returns those to previous
// addresses.
std::vector<std::unique_ptr<EngineConnections>> EndpointRegistry::connect_listed() {
    std::vector<std::unique_ptr<EngineConnections>> replaced;
    for (const auto& [id, listed] : list_.endpoints()) {
        RegisteredEngine& engine = engines_[id];
        if (engine.connections && engine.address == listed.address)
            continue;
        const auto address = net::Address::parse(listed.address);
        if (!address)
            continue;
        engine.name = listed.name;
        engine.address = listed.address;
        if (engine.connections)
            replaced.push_back(std::move(engine.connections));
        engine.connections = std::make_unique<EngineConnections>(loop_, *address, connection_limits(), pool_);
    }
    return replaced;
}

decide::ConnectionLimits EndpointRegistry::connection_limits() const {
    decide::ConnectionLimits limits;
    // This limit is per engine; the pool limits the total.
    limits.max_connections = std::max<std::size_t>(1, limits_.engine_connections / 2);
    limits.max_streams = static_cast<std::size_t>(settings_.max_streams);
    limits.connect_timeout = settings_.connect_timeout;
    limits.idle_timeout = settings_.idle_timeout;
    return limits;
}

void EndpointRegistry::apply_endpoint_states(const EndpointUpdate& update) {
    const bool logs_each =
        update.kind == EndpointUpdateKind::incremental && update.endpoints.size() <= kMaxEnginesLogged;
    if (!logs_each)
        deps_.log("list " + std::to_string(list_.serial()) + ": " + std::to_string(update.endpoints.size()) +
                  " engines");
    for (const Endpoint& endpoint : update.endpoints) {
        RegisteredEngine& engine = engines_[endpoint.id];
        engine.kind = endpoint.kind;
        engine.zone = endpoint.zone;
        engine.cell = endpoint.cell;
        engine.started_at = endpoint.started_at;
        if (endpoint.state == EndpointState::ready) {
            engine.draining_since = 0;
        } else if (engine.draining_since == 0) {
            engine.draining_since = loop_.now();
            engine.discard_pending = true;
        }
        if (logs_each)
            log_state(engine, endpoint);
    }
}

void EndpointRegistry::log_state(const RegisteredEngine& engine, const Endpoint& endpoint) const {
    std::string text = "engine " + engine.name + state_text(endpoint.state);
    if (endpoint.started_at > 0)
        text += ", up for " + std::to_string((loop_.now() - endpoint.started_at) / kMillisecond) + " ms";
    deps_.log(text);
}

// Bytes that a draining engine has not acknowledged could start an attempt there after its drain grace.
// Connections with such bytes are reset shortly before the grace ends; the policy retries their attempts
// where allowed.
void EndpointRegistry::reset_before_grace_ends() {
    const Micros grace = std::max<Micros>(0, settings_.policy.drain_grace - kDiscardLead);
    std::vector<EngineId> due;
    Micros next_at = 0;  // 0: nothing is pending
    for (auto& [id, engine] : engines_) {
        if (!engine.discard_pending || engine.draining_since == 0)
            continue;
        const Micros due_at = engine.draining_since + grace;
        if (due_at > loop_.now()) {
            next_at = next_at == 0 ? due_at : std::min(next_at, due_at);
            continue;
        }
        engine.discard_pending = false;
        due.push_back(id);
    }
    loop_.cancel(std::exchange(discard_timer_, 0));
    if (next_at > 0)
        discard_timer_ = loop_.after(next_at - loop_.now(), [this] {
            discard_timer_ = 0;
            reset_before_grace_ends();
        });
    for (const EngineId id : due) {
        const RegisteredEngine* const engine = find(id);
        if (engine && engine->connections)
            engine->connections->end_unacknowledged(
                "the engine is draining and has not acknowledged all sent bytes");
    }
}

// Returns the wall-clock time derived from the offset read at construction and the monotonic clock, so that
// later steps of the wall clock have no effect.
Micros EndpointRegistry::wall_now() const {
    return loop_.now() + wall_offset_;
}

// ---- Engines

RegisteredEngine* EndpointRegistry::find(EngineId id) {
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : &found->second;
}

const RegisteredEngine* EndpointRegistry::find(EngineId id) const {
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : &found->second;
}

std::string EndpointRegistry::name_of(EngineId id) const {
    const RegisteredEngine* const engine = find(id);
    return engine ? engine->name : "-";
}

decide::EndpointSnapshot EndpointRegistry::snapshot(EngineId id) const {
    const RegisteredEngine* const engine = find(id);
    if (!engine)
        return {};
    const Micros now = loop_.now();
    const Micros window_begins = now - settings_.policy.overload_window;
    decide::EndpointSnapshot snapshot;
    snapshot.listed = true;
    snapshot.draining_for = engine->draining_since > 0 ? now - engine->draining_since : 0;
    snapshot.in_slow_start =
        engine->started_at > 0 && now < engine->started_at + settings_.policy.slow_start_window;
    snapshot.slow_start_attempts = static_cast<double>(
        std::count_if(engine->slow_start_sends.begin(), engine->slow_start_sends.end(), [&](Micros at) {
            return at > window_begins;
        }));
    snapshot.kind = engine->kind;
    snapshot.zone = engine->zone;
    snapshot.cell = engine->cell;
    return snapshot;
}

// ---- Slow start

void EndpointRegistry::record_work(Micros work) {
    const auto sample = static_cast<double>(work);
    mean_work_ = mean_work_ > 0 ? mean_work_ + kWorkSmoothing * (sample - mean_work_) : sample;
}

std::optional<double> EndpointRegistry::slow_start_share_requests(EngineId id) const {
    const RegisteredEngine* const engine = find(id);
    if (!engine)
        return std::nullopt;
    for (const EngineKindSettings& kind : settings_.policy.kinds)
        if (kind.name == engine->kind)
            return decide::slow_start_share_requests(settings_.policy, kind.cores,
                                                     static_cast<Micros>(mean_work_));
    return std::nullopt;
}

void EndpointRegistry::record_slow_start_send(EngineId id, Micros at, std::size_t attempts) {
    if (RegisteredEngine* const engine = find(id))
        engine->slow_start_sends.insert(engine->slow_start_sends.end(), attempts, at);
}

// ---- Operation

void EndpointRegistry::tick() {
    std::erase_if(engines_, [](const auto& entry) {
        return !entry.second.listed && entry.second.in_flight == 0;
    });
    for (auto& [id, engine] : engines_) {
        if (engine.connections)
            engine.connections->close_expiring_idle();
        auto& sends = engine.slow_start_sends;
        while (!sends.empty() && sends.front() <= loop_.now() - settings_.policy.overload_window)
            sends.pop_front();
    }
    log_list_age();
}

// Logs once when the list becomes old and once when it is confirmed again. The current list stays in use
// regardless of its age (docs/incidents/drain-told-and-not-held.md).
void EndpointRegistry::log_list_age() {
    const bool is_stale = loop_.now() - list_.confirmed_at() > kListStaleAfter;
    if (is_stale == std::exchange(list_stale_logged_, is_stale))
        return;
    deps_.log((is_stale ? "no response from the name service, keeping the current list: "
                        : "the name service responds again: ") +
              list_text());
}

std::string EndpointRegistry::list_text() const {
    return "list=" + std::to_string(list_.serial()) +
           " list_age_ms=" + std::to_string((loop_.now() - list_.confirmed_at()) / kMillisecond);
}

}  // namespace gatetiller::node
