#include "node/status_report.hpp"

#include <algorithm>
#include <vector>

namespace gatetiller::node {
namespace {

constexpr std::size_t kMaxEnginesShown = 40;

std::string counter_text(const char* name, std::uint64_t value) {
    return " " + std::string(name) + "=" + std::to_string(value);
}

std::string engine_text(const RegisteredEngine& engine) {
    const auto* const connections = engine.connections.get();
    return engine.name + ":" + std::to_string(engine.in_flight) + "/" +
           std::to_string(connections ? connections->requests_in_flight() : 0) + "/" +
           std::to_string(connections ? connections->size() : 0);
}

// Returns "name:policy/sockets/connections" for each engine. In a large fleet only the kMaxEnginesShown
// engines with the most attempts in flight are included.
std::string engines_text(const EndpointRegistry& endpoints) {
    std::vector<const RegisteredEngine*> shown;
    for (const auto& [id, engine] : endpoints.engines())
        shown.push_back(&engine);
    const std::size_t count = shown.size();
    if (count > kMaxEnginesShown) {
        std::partial_sort(shown.begin(), shown.begin() + kMaxEnginesShown, shown.end(),
                          [](const RegisteredEngine* a, const RegisteredEngine* b) {
                              return a->in_flight > b->in_flight;
                          });
        shown.resize(kMaxEnginesShown);
    }
    std::string text;
    for (const RegisteredEngine* const engine : shown)
        text += (text.empty() ? "" : ",") + engine_text(*engine);
    return text + (count > shown.size() ? ",and " + std::to_string(count - shown.size()) + " more" : "");
}

std::string closed_by_reason_text(const ClientCounters& counters) {
    std::string text;
    for (std::size_t i = 0; i < counters.closed.size(); ++i) {
        if (counters.closed[i] == 0)
            continue;
        const auto reason = static_cast<decide::CloseReason>(i);
        text += (text.empty() ? "" : ",") + std::string(decide::name_of(reason)) + ":" +
                std::to_string(counters.closed[i]);
    }
    return text;
}

std::string clients_text(const ClientCounters& counters) {
    return counter_text("accepted", counters.accepted) +
           counter_text("malformed_messages", counters.malformed) +
           counter_text("evicted", counters.evicted) + counter_text("overdue", counters.overdue) +
           counter_text("discarded_messages", counters.discarded) + counter_text("waits", counters.waits) +
           " closed=" + closed_by_reason_text(counters);
}

std::string pool_text(const ConnectionPool& pool) {
    return counter_text("opened", pool.opened) + counter_text("no_connection", pool.refused) +
           counter_text("local_failures", pool.local_failures) + counter_text("rewritten", pool.rewritten) +
           counter_text("broken", pool.broken) +
           counter_text("malformed_responses", pool.malformed_responses) +
           counter_text("discarded", pool.discarded) + counter_text("unsolicited", pool.unsolicited) +
           counter_text("idle_connections_closed", pool.evicted) +
           counter_text("waited_for_connection", pool.waited) +
           counter_text("connection_wait_timeouts", pool.wait_timeouts) +
           counter_text("result_bytes", pool.results.reserved_bytes()) +
           counter_text("waited_for_result_memory", pool.results.waited());
}

}  // namespace

std::string status_text(const StatusSources& sources) {
    std::size_t in_flight = 0;
    for (const auto& [id, engine] : sources.endpoints.engines())
        in_flight += engine.in_flight;
    const std::string ended = sources.requests.counters().text();
    return "requests=" + std::to_string(sources.requests.active_requests()) +
           counter_text("clients", sources.clients.connections()) +
           counter_text("input_bytes", sources.clients.input_bytes()) +
           counter_text("unsent_bytes", sources.clients.unsent_bytes()) + " " +
           sources.endpoints.list_text() +
           " engines(policy/sockets/connections)=" + engines_text(sources.endpoints) +
           (ended.empty() ? "" : " " + ended) + clients_text(sources.clients.counters()) +
           " attempts=" + sources.attempts.counters_text() + pool_text(sources.endpoints.pool()) +
           counter_text("bad_lists", sources.bad_lists) +
           (sources.log_lines_lost ? counter_text("log_lost", *sources.log_lines_lost) : "") +
           counter_text("connections", sources.endpoints.pool().open_connections()) +
           counter_text("attempts_in_flight", in_flight) + counter_text("timers", sources.timers) +
           " violations=" + sources.violations.text();
}

}  // namespace gatetiller::node
