// What a soak does and when, drawn from its seed alone and printed before it starts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::soak {

enum class TroubleKind : std::uint8_t {
    // engines
    engine_misbehaves,
    engine_crashes,
    engine_drains,
    engine_joins_cold,
    // networks
    links_late,
    links_held,
    links_half_open,
    links_trickle,
    links_reset,
    // clients
    clients_leave,
    clients_reset,
    clients_rude,
    clients_crowd,
    // the name service
    names_silent,
    names_slow,
    names_garbled,
    names_move,
    names_deaf_ports,
    names_renumbered,
    // processes
    node_killed,
    node_terminated,
    node_restart_overlaps,
    node_stopped,
    node_reloaded_often,
    node_config_half_written,
    node_signals_in_series,
    // the machine
    calls_fail,
    transfers_short,
    wall_clock_steps,
    log_unwritable,
};
constexpr std::size_t kTroubleKinds = static_cast<std::size_t>(TroubleKind::log_unwritable) + 1;
const char* name_of(TroubleKind kind);

struct Trouble {
    std::size_t number = 0;  // in the plan; by it a trouble is left out
    TroubleKind kind = TroubleKind::links_reset;
    Micros at = 0, lasts = 0;        // from the soak's beginning
    std::vector<std::size_t> nodes;  // that it strikes
    std::size_t engine = 0;          // of those up at that time, by place
    int error = 0;                   // calls_fail: the errno, and
    std::size_t call = 0;            // the call
    std::uint32_t per_mille = 0;     // how often
    std::int64_t seconds = 0;        // wall_clock_steps: by so many
    std::string text() const;
};

struct PlanSettings {
    std::uint64_t seed = 1;
    std::size_t nodes = 12, engines = 4, troubles = 14;
    Micros length = 12 * kSecondMicros;
};

// What the nodes' configurations say of the engines: connections that may take long to come up, colder
// starts.
struct EngineSettings {
    double cold_share = 0.31;  // of its capacity, that a cold engine may be given
    Micros connect_time_out = 250 * kMillisecond;
};
EngineSettings draw_engine_settings(const PlanSettings& settings);

std::vector<Trouble> draw_plan(const PlanSettings& settings);
std::string text_of(const PlanSettings& settings, const std::vector<Trouble>& plan);

}  // namespace gatetiller::soak
