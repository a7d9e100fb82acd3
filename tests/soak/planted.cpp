// The faults that the soak plants in a front node, by the names that GATETILLER_PLANTED in the environment
// gives, parted by commas. tests/soak/find-planted lists them.
#include <cstdlib>

#include "base/text.hpp"
#include "node/fault_injection.hpp"

namespace gatetiller::node {
namespace {

bool planted(std::string_view name) {
    static const char* const named = std::getenv("GATETILLER_PLANTED");
    if (!named)
        return false;
    for (const auto one : split(named, ','))
        if (one == name)
            return true;
    return false;
}

constexpr int kExtraAttempts = 20;
constexpr std::size_t kSlowStartWeight = 400;
constexpr Micros kEndlessKeyWindow = 3'600 * kSecondMicros;
constexpr Micros kLostResponseShare = 50;  // one response in so many is lost
constexpr EngineId kUnlistedEngine = 0;

void plant_in_class(ClassSettings& settings) {
    if (planted("retry_of_non_idempotent") && settings.idempotency == Idempotency::non_idempotent)
        settings.idempotency = Idempotency::idempotent;
    if (planted("retry_past_key_window"))
        settings.key_window = kEndlessKeyWindow;
    if (planted("retry_outside_key_scope"))
        settings.key_scope = KeyScope::all;
    if (planted("send_against_placement"))
        settings.allowed_zones.reset();
}

class PlantedFaults final : public FaultInjection {
public:
    PolicySettings policy_settings(PolicySettings settings) const override {
        if (planted("send_over_max_attempts"))
            settings.max_attempts += kExtraAttempts;
        if (planted("cold_engine_taken_for_warm"))
            settings.slow_start_window = 0;
        for (ClassSettings& class_settings : settings.classes)
            plant_in_class(class_settings);
        return settings;
    }
    Micros time_left_for_policy(Micros time_left) const override {
        return planted("send_past_deadline") ? time_left + kSecondMicros : time_left;
    }
    EndpointUpdate update_for_policy(EndpointUpdate update) const override {
        if (planted("send_past_drain_grace"))
            for (Endpoint& endpoint : update.endpoints)
                endpoint.state = EndpointState::ready;
        return update;
    }
    discovery::DnsPollSettings poll_settings(discovery::DnsPollSettings settings) const override {
        settings.renew_port = !planted("one_port");
        settings.back_off_after_every_poll = planted("slow_questions");
        return settings;
    }
    bool accepts_restarted_serials() const override {
        return !planted("highest_number_for_ever");
    }

    bool enforces_attempt_guard() const override {
        return !planted("guard_off");
    }
    EngineId engine_for_attempt(EngineId engine, int attempt) const override {
        return attempt > 0 && planted("send_to_unlisted_engine") ? kUnlistedEngine : engine;
    }
    std::size_t slow_start_weight_of_attempt() const override {
        return planted("send_over_slow_start_budget") ? kSlowStartWeight : 1;
    }
    bool duplicates_first_attempt() const override {
        return planted("send_while_attempt_in_flight");
    }
    bool sends_stale_time_left() const override {
        return planted("stale_deadline");
    }
    bool begins_at_draining_engine() const override {
        return planted("send_past_drain_grace");
    }
    bool begins_despite_violation() const override {
        return planted("guard_off") || planted("send_after_client_disconnected");
    }
    bool sends_after_client_disconnected() const override {
        return planted("send_after_client_disconnected");
    }
    bool sends_after_final_response() const override {
        return planted("send_after_final_response");
    }

    bool loses_response(Micros deadline) const override {
        return planted("lost_answer") && deadline % kLostResponseShare == 0;
    }
    bool closes_while_response_owed(const decide::ClientSnapshot& client) const override {
        if (client.closing)
            return false;
        if (planted("close_with_request_open") && client.open_requests > 0)
            return true;
        return planted("close_with_response_unsent") && client.open_requests == 0 && client.has_unsent;
    }
    bool closes_with_unread_bytes() const override {
        return planted("close_over_unread_bytes");
    }

    decide::ReadinessContext readiness(decide::ReadinessContext context) const override {
        context.has_endpoints = context.has_endpoints && !planted("ready_without_endpoints");
        context.is_listening = context.is_listening && !planted("ready_without_listener");
        context.handles_signals = context.handles_signals && !planted("ready_without_signals");
        return context;
    }
};

}  // namespace

const FaultInjection& fault_injection() {
    static const PlantedFaults faults;
    return faults;
}

}  // namespace gatetiller::node
