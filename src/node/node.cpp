#include "node/node.hpp"

#include <utility>

#include "node/status_report.hpp"

namespace gatetiller::node {
namespace {

constexpr const char* kServiceName = "_work._tcp.fleet.local";
constexpr Micros kTickInterval = kSecondMicros;
constexpr int kTicksPerStatus = 5;

// Returns the settings for the policy. Their key windows are shortened by the time that a retry takes to
// reach its engine, as it must arrive within the window.
PolicySettings policy_settings(PolicySettings settings, const FaultInjection& faults) {
    for (ClassSettings& class_settings : settings.classes)
        class_settings.key_window = retry_send_window(class_settings);
    return faults.policy_settings(std::move(settings));
}

std::string milliseconds(Micros duration) {
    return std::to_string(duration / kMillisecond) + " ms";
}

}  // namespace

Node::Node(net::Loop& loop, NodeSettings settings, NodeDeps deps)
    : loop_(loop),
      settings_(std::move(settings)),
      deps_(std::move(deps)),
      limits_(decide::derive_limits(settings_.sockets, settings_.memory_mb)),
      policy_(loop, settings_.seed, policy_settings(settings_.policy, *deps_.faults),
              [this](const Action& action) {
                  requests_.apply(action);
              }),
      clients_(loop, limits_, client_events(), *deps_.faults),
      discovery_(loop, kServiceName, settings_.seed, deps_.faults->poll_settings({}), discovery_events()),
      endpoints_(loop, settings_, limits_, deps_, endpoint_events()),
      attempts_(loop, settings_, endpoints_, policy_, deps_, attempt_events()),
      shutdown_(loop, settings_.policy, clients_, shutdown_events()),
      requests_({.loop = loop,
                 .settings = settings_,
                 .limits = limits_,
                 .deps = deps_,
                 .clients = clients_,
                 .endpoints = endpoints_,
                 .attempts = attempts_,
                 .policy = policy_,
                 .shutdown = shutdown_}) {}

Node::~Node() {
    loop_.cancel(tick_timer_);
}

// ---- Callbacks between the parts

ClientSessions::Events Node::client_events() {
    return {.on_request =
                [this](ClientId client, thrift::Call call, Micros unread_wait) {
                    requests_.on_request({client, std::move(call), unread_wait});
                },
            .on_discarded =
                [this](ClientId client, std::int32_t sequence) {
                    requests_.on_discarded(client, sequence);
                },
            .on_cancelled =
                [this](ClientId client, std::int32_t sequence) {
                    requests_.on_client_cancelled(client, sequence);
                },
            .on_closed =
                [this](ClientId client, const std::string& peer, decide::CloseReason reason,
                       const decide::ClosingContext& context) {
                    trace_close(client, peer, reason, context);
                },
            .on_violation =
                [this](decide::Invariant invariant, ClientId client) {
                    report_violation(invariant, "client " + std::to_string(client));
                }};
}

void Node::trace_close(ClientId client, const std::string& peer, decide::CloseReason reason,
                       const decide::ClosingContext& context) const {
    if (deps_.trace)
        deps_.trace("client " + std::to_string(client) + " " + peer + " closed: " + decide::name_of(reason) +
                    " open=" + std::to_string(context.open_requests) + (context.has_unsent ? " unsent" : "") +
                    (context.has_unread ? " unread" : ""));
}

discovery::DnsEndpointSource::Events Node::discovery_events() {
    return {.on_update =
                [this](const discovery::ReceivedUpdate& update) {
                    endpoints_.apply_received(update);
                },
            .on_unchanged =
                [this](std::uint32_t serial) {
                    return endpoints_.confirm(serial);
                },
            .on_bad_response =
                [this](const std::string& reason) {
                    ++bad_lists_;
                    if (deps_.trace)
                        deps_.trace("name service: " + reason + ", current: " + endpoints_.list_text());
                },
            .on_poll_sent =
                [this](std::uint16_t id, int unanswered) {
                    if (deps_.trace && unanswered > 0)
                        deps_.trace("name service: sent another poll with id " + std::to_string(id) +
                                    ", earlier polls without response " + std::to_string(unanswered) +
                                    ", current: " + endpoints_.list_text());
                }};
}

EndpointRegistry::Events Node::endpoint_events() {
    return {.on_update =
                [this](EndpointUpdate update) {
                    policy_.post(std::move(update));
                },
            .on_applied =
                [this] {
                    requests_.withdraw_from_unready_engines();
                }};
}

AttemptDispatcher::Events Node::attempt_events() {
    return {.on_result =
                [this](ActiveRequest& request, const decide::ExchangeResult& result) {
                    requests_.respond_with_result(request, result);
                },
            .on_releasable =
                [this](const ActiveRequest& request) {
                    requests_.schedule_release(request);
                },
            .on_violation =
                [this](decide::Invariant invariant, const std::string& subject) {
                    report_violation(invariant, subject);
                }};
}

GracefulShutdown::Events Node::shutdown_events() {
    return {.has_requests =
                [this] {
                    return requests_.active_requests() > 0;
                },
            .on_final_responses_due =
                [this] {
                    requests_.abort_remaining();
                },
            .on_done =
                [this] {
                    deps_.log("drained: " + status());
                    on_drained_();
                }};
}

// ---- Operation

Result<net::Address> Node::start() {
    if (!std::exchange(policy_started_, true)) {
        policy_.start();
        endpoints_.apply_configured(settings_.known_serial, settings_.known_endpoints);
    }
    if (!discovery_started_) {
        net::Address local = settings_.listen;
        local.port = 0;
        const auto started = discovery_.start(local, settings_.dns);
        if (!started)
            return started.failure();
        discovery_started_ = true;
    }
    auto bound = clients_.listen(settings_.listen);
    if (!bound)
        return bound;
    log_settings();
    tick_timer_ = loop_.after(kTickInterval, [this] {
        tick();
    });
    return bound;
}

void Node::reload(const NodeSettings& settings) {
    if (settings.dns != settings_.dns)
        deps_.log("name service address changed to " + settings.dns.text() + " by a reload");
    settings_.dns = settings.dns;
    discovery_.set_server(settings.dns);
    if (!settings.known_endpoints.empty())
        endpoints_.apply_configured(settings.known_serial, settings.known_endpoints);
    if (settings.sockets != settings_.sockets || settings.memory_mb != settings_.memory_mb) {
        settings_.sockets = settings.sockets;
        settings_.memory_mb = settings.memory_mb;
        limits_ = decide::derive_limits(settings.sockets, settings.memory_mb);
        clients_.set_limits(limits_);
        endpoints_.refresh_resource_limits();
        deps_.log(limits_text());
    }
    if (settings.settings_text != settings_.settings_text || settings.listen != settings_.listen ||
        settings.name != settings_.name)
        deps_.log("a change of name, listen or settings needs a restart; the current values remain in use");
}

void Node::drain(std::function<void()> done) {
    if (shutdown_.has_begun())
        return;
    on_drained_ = std::move(done);
    deps_.log("draining: " + status());
    shutdown_.begin();
}

void Node::tick() {
    tick_timer_ = loop_.after(kTickInterval, [this] {
        tick();
    });
    endpoints_.tick();
    if (++ticks_ % kTicksPerStatus == 0)
        deps_.log(status());
}

void Node::report_violation(decide::Invariant invariant, const std::string& subject) {
    violations_.count(invariant);
    deps_.log(std::string("VIOLATION prevented: ") + decide::name_of(invariant) + ": " + subject);
}

void Node::log_settings() const {
    std::string classes;
    for (const auto& class_settings : settings_.policy.classes)
        classes += " " + class_settings.name + "(latency objective " +
                   milliseconds(class_settings.latency_objective) + ", deadline " +
                   milliseconds(class_settings.deadline) + ")";
    deps_.log("classes" + classes + "; progress updates every " +
              milliseconds(settings_.policy.progress_period));
    deps_.log(limits_text());
}

std::string Node::limits_text() const {
    return std::to_string(settings_.memory_mb) + " MB, " + std::to_string(settings_.sockets) +
           " descriptors: " + std::to_string(limits_.client_connections) + " for clients, " +
           std::to_string(limits_.engine_connections) + " for engines; at most " +
           std::to_string(limits_.requests) + " requests";
}

std::string Node::status() const {
    return status_text(
        {.requests = requests_,
         .attempts = attempts_,
         .clients = clients_,
         .endpoints = endpoints_,
         .violations = violations_,
         .bad_lists = bad_lists_,
         .log_lines_lost = deps_.log_lines_lost ? std::optional(deps_.log_lines_lost()) : std::nullopt,
         .timers = loop_.timers()});
}

std::vector<std::pair<std::size_t, std::size_t>> Node::in_flight_by_engine() const {
    std::vector<std::pair<std::size_t, std::size_t>> counts;
    for (const auto& [id, engine] : endpoints_.engines())
        counts.emplace_back(engine.in_flight,
                            engine.connections ? engine.connections->requests_in_flight() : 0);
    return counts;
}

}  // namespace gatetiller::node
