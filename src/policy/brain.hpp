// The interface of gatetiller: settings, events and actions of one front. Plain data; no decision is made
// here.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.hpp"

namespace gatetiller {

using EngineId = std::uint32_t;

// ---- Settings
// -----------------------------------------------------------------------------------------------

enum class Effect {
    repeatable,
    by_key,
    once
};
enum class Scope {
    all,
    zone,
    cell
};  // which engines drop a keyed repeat
enum class WhenShort {
    queue,
    trim,
    swap
};  // what an engine does when grants pass its memory
enum class ReportSource {
    none,
    answers,
    probe
};

struct ClassSettings {
    std::string name;
    Micros aim = 0;
    double aim_stretch = 0;  // the aim grows by this times work over threads
    Micros deadline = 0;
    Effect effect = Effect::once;
    Scope key_scope = Scope::cell;
    Micros window = 0;  // by_key: how long repeats are dropped
    double late_share = 0;
    double value = 1;
    bool in_turn = false;
    std::optional<std::vector<std::string>> served_on;  // the only kinds allowed
    std::optional<std::vector<std::string>> azs_open;   // the only zones allowed
    double threads = 1;
    bool holds_group = false;      // a load: holds its group of tables on its engine
    bool yields_to_loads = false;  // stands still while a load holds its group
};

struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // over all fronts
    double share = 0;
};

struct KindSettings {
    std::string name;
    double cores = 0;
    double memory_mb = 0;
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<KindSettings> kinds;
    std::string zone;
    int me = 0;
    int siblings = 1;
    bool ask_discovery = false;
    bool worth_by_work = false;
    double over_share_worth = 1;
    double largest_share = 1;  // of an engine's memory, for one query
    bool grants = false;
    bool priorities = false;
    bool cost_in_answers = false;
    Micros note_period = 0;
    WhenShort when_short = WhenShort::queue;
    ReportSource reports = ReportSource::none;
    double probe_price = 0;
    double cross_zone_price = 0;
    bool may_cancel = false;
    bool may_duplicate = false;
    bool may_probe = false;
    bool may_tell_peers = false;
    bool retry_hints = false;
    Micros max_retry_after = 0;
    int attempts_cap = 1;
    // figures of the rules
    Micros grace_to_answer = 0;
    Micros ask_within = 0;
    Micros drain_grace = 0;
    double cold_share = 0;
    Micros warm_up = 0;
    double overload_factor = 0;
    Micros overload_for = 0;
    std::optional<double> extra_free;  // with these two absent, further attempts are not rationed
    std::optional<double> extra_per_request;
    Micros ratio_span = 0;
    Micros turn_gap = 0;
};

// ---- Events
// -------------------------------------------------------------------------------------------------

enum class EngineState {
    on,
    fading,
    off
};

struct EngineEntry {
    EngineId id = 0;
    EngineState state = EngineState::on;
    std::string zone;
    std::string kind;
    std::int64_t cell = 0;
    Micros came_up = 0;
    double share = 1;
};

struct Report {  // what an engine says of its load; any part may be missing
    std::optional<double> concurrent, depth, load_share, mean_ms, tps, err_ps, memory_granted, disks_busy;
};

enum class Outcome {
    done,
    err,
    busy,
    etimedout,
    econnrefused,
    econnreset,
    ecanceled,
    skipped
};
// Whether an attempt that ended so is proved not to have run.
constexpr bool never_ran(Outcome o) {
    return o == Outcome::busy || o == Outcome::econnrefused || o == Outcome::skipped;
}
enum class ListForm {
    incr,
    total,
    warm_copy,
    lost
};

struct ListChange {
    ListForm form = ListForm::incr;
    std::vector<EngineEntry> engines;
};
struct Demand {
    std::string id;
    std::string type;
    std::string tenant;
    std::string key;  // empty: no order to keep
    Micros time_left = 0;
    std::optional<Micros> cost;  // estimated work of all threads, as time on one
    double memory_mb = 0;
    std::int64_t group = 0;
    bool repeat = false;
};
struct Begun {
    std::string id;
    int attempt = 0;
};
struct Completed {
    std::string id;
    int attempt = 0;
    EngineId engine = 0;
    Outcome outcome = Outcome::done;
    Micros taken = 0;
    bool finished = false;
    double work_ms = 0;  // 0: not told
    double needed_mb = 0;
    std::optional<Report> report;
};
enum class NoteTopic {
    progress = 1,
    spills = 2,
    waits = 3
};
struct Note {
    std::string id;
    int attempt = 0;
    EngineId engine = 0;
    NoteTopic topic = NoteTopic::progress;
    double value = 0;
};
struct Probed {
    EngineId engine = 0;
    Micros taken = 0;
    Outcome outcome = Outcome::done;
    std::optional<Report> report;
};
struct PeerMessage {
    int from = 0;
    std::string bytes;
};
struct Gone {
    std::string id;
};
struct Bell {
    std::int64_t name = 0;
};
using Event = std::variant<ListChange, Demand, Begun, Completed, Note, Probed, PeerMessage, Gone, Bell>;

// ---- Actions
// ------------------------------------------------------------------------------------------------

struct Send {
    std::string id;
    EngineId engine = 0;
    Micros time_out = 0;
};
struct Terms {
    std::string id;
    double grant_mb = 0;  // 0: the engine's own choice
    int priority = 1;
};
enum class EndReason {
    out_of_time,
    worthless,
    no_tries_left
};  // of a request given up on; for logs
struct Refuse {
    std::string id;
    Micros come_back = 0;
    EndReason reason = EndReason::out_of_time;
};
struct Fail {
    std::string id;
    EndReason reason = EndReason::out_of_time;
};
struct Cancel {
    std::string id;
    int attempt = 0;
};
struct Probe {
    EngineId engine = 0;
};
struct Tell {
    std::string bytes;  // to every peer
};
struct Observe {};  // subscribe to the list
struct SetTimer {
    Micros delay = 0;
    std::int64_t name = 0;
};
using Action = std::variant<Send, Terms, Refuse, Fail, Cancel, Probe, Tell, Observe, SetTimer>;

// ---- One front
// ----------------------------------------------------------------------------------------------

class Brain {
public:
    // Settings that contradict themselves throw std::invalid_argument.
    Brain(Micros now, std::uint64_t seed, Settings settings);
    ~Brain();
    Brain(Brain&&) noexcept;
    Brain& operator=(Brain&&) noexcept;

    // What to do at the start; to be called once, before the first event.
    std::vector<Action> start();
    // Takes one event. An id not held is passed over; a time before the last one counts as the last one.
    std::vector<Action> handle(Micros now, const Event& event);
    // The chance that a freed slot goes to the sensitive side; for watching.
    double alpha() const;

private:
    class Front;
    std::unique_ptr<Front> front_;
};

// The parts of Algorithm 1, shown for checking.
double gexp_shape(double cv);                       // phi of the fit with this CV
double gexp_cdf(double x, double mean, double cv);  // F(x) of the fit
double mean_latency_budget(double cv, double aim, double deadline, double target);
double next_alpha(double alpha, double worst, double best, double mean_cv);

}  // namespace gatetiller
