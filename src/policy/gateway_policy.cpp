// gatetiller: all decisions of one front. The interface (settings, events, actions) is in gateway_policy.hpp.
// Reading order: constants, Algorithm 1, tables, the guard, estimates and streams, health, pick and cap,
// slots, giving up, events, timers. Times are microseconds; work is core-microseconds.
#include "policy/gateway_policy.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "policy/latency_budget.hpp"
#include "policy/sensitive_share.hpp"

namespace gatetiller {
namespace {

// ---- Constants

constexpr Micros kMs = 1000, kSecond = 1000 * kMs, kNever = 1'000'000 * kSecond;

// The design's figures (the paper's defaults where it has them).
constexpr std::size_t kWindowCount = 1000;
constexpr Micros kWindowSpan = 10 * kSecond;
constexpr std::size_t kFewSamples = 10;          // with fewer, CV is taken as 1 and S from estimates
constexpr double kSensitiveRun = 1.0 * kSecond;  // usual run time of a sensitive class is under this
constexpr double kSwitch = 0.1;                  // a class changes side only past the limit by this share
constexpr double kThreadsPerCore = 2, kLeastCap = 2;  // C; three a core, the start value, passed the knee
constexpr double kKnee = 1.5;  // threads a core, of all fronts, past which an engine is under pressure

// Pressure and weight.
constexpr double kSlowPressure = 2;          // latency over best at which an engine is under pressure
constexpr double kBusyShare = 0.9;           // reported share of cores, disks or memory that counts as busy
constexpr Micros kFullRest = kSecond;        // rest of a full engine: about a long query's run
constexpr Micros kReportLife = 3 * kSecond;  // a load report is young for so long
constexpr double kMemoryFill = 0.95, kReckoned = 0.75;  // share that is full; sure part of what others hold
constexpr double kGrant = 1.25, kGrantFree = 3;  // grant over the estimate; the latter where it is free
constexpr double kLearn = 0.03;                  // step of what a class costs: about the last thirty answers
constexpr double kEnoughEstimates = 30;          // with fewer, the mean of a class's work is mostly too low
constexpr Micros kAimsHeard = 2;    // aims after its first query a class's answers tell of long ones too
constexpr double kSeedAnswers = 3;  // with fewer, usual work without estimates stays at its seed
constexpr double kQuiet = 0.3;      // latencies in the lower 30% hold little contention
constexpr double kOtherZone = 1.5;  // weight of an engine in another zone, where crossing costs
constexpr double kCalm = 1.3, kStrained = 1.7;       // run time over a calm one: the part of C grows, shrinks
constexpr double kLateLeast = 0.1, kLateMost = 0.3;  // share of attempts late by themselves, likewise
constexpr double kPartGrowth = 0.25;                 // a second
constexpr double kReachDown = 0.7, kCalmCreep = 1.002;  // a second: part; calm (doubles in 6 minutes)
constexpr int kForLoad = 2, kMoves = 2;  // a note says that it waits for a load; moves from behind one
constexpr double kJam = 2.5;  // reported threads a core, a quarter past C for all fronts: nothing more goes
constexpr std::size_t kScan = 8;  // held requests looked at per side when the first can't go

constexpr double kBacklog = 0.5;  // of the shortest aim: what both sides may hold, at this front's part

// Health.
constexpr double kProbeShare = 0.4;  // probes for each request taken, at most
constexpr double kOverdue = 1.5;     // of an expected run and a second: then an attempt counts as stuck
constexpr double kCrowdStep = 0.1;   // the fleet's crowd: about the last ten reports
constexpr double kSmooth = 0.1;      // EWMA step of ratios: about the last ten
constexpr double kErrorStep = 0.15, kErrorTrial = 0.1, kErrorShun = 0.25;  // two errors in a row shun
constexpr Micros kShunFirst = 500 * kMs, kShunMost = 4 * kSecond;
constexpr Micros kSilentAfter = 600 * kMs;  // a note so long overdue means silence
constexpr Micros kStall = 200 * kMs;        // no event, timers included: the front stood still
constexpr double kTimeOutRuns = 6;  // usual runs that a trial may take where nothing can be called off
constexpr double kLost = 4;  // usual runs, after which a short query without an answer is sent again in time
constexpr double kRunaway = 3;  // an attempt with more than this many usual runs still to go is called off

// Rules.
constexpr double kColdMargin = 0.6;         // of this front's part of a cold engine's budget: speeds vary
constexpr double kLotMost = 0.1;            // of a cold engine's budget, for one query by lot: evens out
constexpr double kCapacityBusy = 0.85;      // capacity is counted at this share of the cores
constexpr Micros kAnswerMargin = 15 * kMs;  // final answers go out this long before the client gives up
constexpr Micros kTick = 25 * kMs, kFitEvery = 500 * kMs, kAlphaEvery = kSecond, kProbeEvery = kSecond;
constexpr double kAskShare = 0.25;  // list calls are repeated after this share of ask_within

// ---- Tables

enum class Side {
    sensitive,
    best_effort,
    behind
};

struct Attempt {
    int engine = -1;
    Micros sent = 0;
    double work = 0, threads = 0, memory = 0;  // as expected when sent
    double grant = 0;                          // memory asked for; 0: left to the engine
    bool sensitive = false;
    double progress = 0;
    double expected() const {
        return std::max(work / threads, 1.0 * kMs);
    }
    double slowness(double lasts) const {
        return std::clamp(lasts / expected(), 0.2, 20.0);
    }
    Micros heard = 0;  // its last note
    double blame = 0;  // what its error has cost its engine of trust
    bool open = true, spilled = false, failed = false, counted = true;  // counted in this front's part
};

struct Request {
    std::string id, key;
    int cls = 0, tenant = 0;
    Micros arrival = 0, deadline = 0, due = 0, aim = 0;  // aim and due as clock times
    double cost = 0, raw_cost = 0, memory = 0, raw_memory = 0;
    std::int64_t group = 0;
    std::uint64_t seq = 0;
    bool used = false, over_share = false, queued = false, finished = false, streaming = false,
         in_line = false;
    Micros not_before = 0;
    std::vector<Attempt> attempts;
    double shown = 0;        // what it would have taken in all where it was called off, as its notes told
    int bound_to = -1;       // engine of the first attempt that may have run
    Micros bound_since = 0;  // and when it was sent
    int priority = -1;
    Side side = Side::behind;  // where it is held
    Micros rank = 0;           // and at which place: least first
    bool shed = false;
    bool attempt_out() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) {
            return a.open;
        });
    }
};

struct Engine {
    bool takes() const {
        return listed && entry.state == EndpointState::ready;
    }
    Endpoint entry;
    bool listed = false;
    double cores = 1, memory = 0;
    std::vector<std::pair<int, int>> out;  // slot and attempt of what is out there
    double threads = 0, granted = 0;
    std::deque<std::pair<Micros, double>> cold;  // when and what work was sent while cold, in the last window
    LoadReport report;
    Micros reported = -kReportLife;
    int out_at_report = 0;
    double slow = 1;    // latency over expected run time
    double errors = 0;  // recent share of errors
    double lot = 1;     // this front's draw for a cold engine's budget
    Micros shun_until = 0, shun_for = 0, full_until = 0, alive = 0, probed = 0, lot_until = 0;
    bool down = false;                 // the last word was that it takes no connection
    std::map<int, Micros> turns_away;  // by class: turned away without a crowd, it rests until then
};

struct ClassState {
    double cost_ratio = 1, memory_ratio = 1;     // true over estimate
    double work = 0, raw = 0;                    // usual work and estimate of it
    Micros since = 0;                            // its first query without an estimate came
    double estimates = 0;                        // told
    double ratio = 1, calm = kNever, heard = 0;  // run time over expected: usual, calm; answers heard
    bool sensitive = false;
};

struct Sample {
    Micros at;
    double latency, engine_time, disengaged;
};

struct Stream {
    std::deque<Sample> window;
    bool enough = false;  // as of the last fit, like the rest
    double cv = 1, service = 0, budget = 0, eta = 0;
};

using Key = std::tuple<Micros, std::uint64_t, int>;  // a place in a queue: rank, age, slot

struct Tenant {
    std::set<Key> queue;  // best-effort requests held
    double pass = 0;      // best-effort work served over share: least is next in the round
    double tokens = 0;    // requests still within the share
    Micros filled = 0;
};

bool holds(const std::optional<std::vector<std::string>>& list, const std::string& name) {
    return !list || std::find(list->begin(), list->end(), name) != list->end();
}
void approach(double& value, double seen, double step = kSmooth) {
    value += step * (seen - value);
}

}  // namespace

class GatewayPolicy::Front {
public:
    std::vector<Action> actions;
    policy::SensitiveShare alpha;

    PolicySettings s;
    Micros now;
    std::mt19937_64 rng;
    std::vector<Engine> engines;
    std::map<EngineId, int> engine_index;
    std::vector<Request> requests;
    std::vector<int> spare;
    std::unordered_map<std::string, int> ids;
    std::vector<ClassState> classes;
    std::vector<Tenant> tenants;  // one at least, for sites without
    std::vector<Stream> streams;
    std::set<Key> sensitive, behind;
    std::map<std::string, std::deque<int>> lines;  // requests of a key, in turn
    std::map<std::string, Micros> rests;           // a key rests until then
    std::deque<Micros> taken, further;             // for the budget of attempts
    std::uint64_t seq = 0;
    bool subscribed = false;
    Micros asked = 0, fitted = 0, moved = 0, heard = -kNever, woke = 0;

    struct {
        double run = 0, work = 0, memory = 0, threads = 1;
    } usual;  // of one query that runs, whatever its class
    // Of the fleet, for engines not heard of lately: threads a core (not idle at the start),
    // latency over expected run time, and the same with what still runs.
    double crowd = kKnee, pace = 1, drag = 1, fleet_cores = 0;
    // This front's part of C where nothing reports: in even parts; and what moves it.
    double reach = 1, strain = 1, late = 0;  // late: share of attempts that missed their aim by themselves
    bool bound = false;                      // since the last move a request waited for the part
    double out_threads = 0, probe_credit = 1, shortest_aim = kNever;
    int out_of_side[2] = {0, 0};

    double run_time(const Request& r) const {
        return r.cost / s.classes[r.cls].threads;
    }
    Stream& stream_of(const Request& r) {
        return streams[r.cls * tenants.size() + r.tenant];
    }
    double uniform() {
        return static_cast<double>(rng() >> 11) * 0x1p-53;
    }

    Front(Micros at, std::uint64_t seed, PolicySettings settings)
        : s(std::move(settings)), now(at), rng(seed) {
        if (s.classes.empty() || s.instance_count < 1)
            throw std::invalid_argument("no classes or no fronts");
        for (const ClassSettings& c : s.classes)
            if (c.threads <= 0 || c.deadline <= 0 || c.latency_objective <= 0 ||
                c.latency_objective > c.deadline)
                throw std::invalid_argument("class " + c.name + ": aim, deadline or threads don't fit");
            else
                shortest_aim = std::min(shortest_aim, static_cast<double>(c.latency_objective));
        classes.resize(s.classes.size());
        tenants.resize(std::max<std::size_t>(1, s.tenants.size()));
        for (std::size_t t = 0; t < s.tenants.size(); ++t)
            tenants[t].filled = now, tenants[t].tokens = s.tenants[t].quota_per_s / s.instance_count;
        streams.resize(classes.size() * tenants.size());
        fitted = moved = now;
    }

    void start() {
        if (s.watches_endpoints)
            actions.push_back(WatchEndpoints{}), asked = now;
        actions.push_back(StartTimer{kTick, 0});
    }

    // ---- The guard: the only path that sends, refuses or fails keeps the seven rules

    bool is_cold(const Engine& e) const {
        return e.entry.started_at > 0 && now < e.entry.started_at + s.slow_start_window;
    }

    // What a query is taken to cost a cold engine. While nothing has told its work it may take as long as
    // its aim: a front that has just started must not push one over by a guess, nor by its first answers,
    // which are those of the shortest, nor by the mean of a few estimates, which is mostly too low. Later,
    // halfway between its own estimate and what is usual: estimates err, those that look short mostly
    // towards too little.
    double cold_work(const Request& r) const {
        const ClassState& k = classes[r.cls];
        const ClassSettings& c = s.classes[r.cls];
        if (k.raw > 0) {
            const double usual_work = std::max(k.work, k.raw * k.cost_ratio);
            if (k.estimates >= kEnoughEstimates)
                return (r.cost + usual_work) / 2;
            return std::max(r.cost, usual_work * (1 + 1 / std::sqrt(k.estimates)));
        }
        const bool answered = k.heard >= kSeedAnswers && now >= k.since + kAimsHeard * c.latency_objective;
        return answered ? k.work : std::max(k.work, static_cast<double>(c.latency_objective) * c.threads);
    }

    // Of the first query of a window: while its class is not known it goes by the guess, or nothing would
    // ever tell more.
    double first_cold_work(const Request& r) const {
        const ClassState& k = classes[r.cls];
        return k.estimates >= kEnoughEstimates ? cold_work(r) : std::max(k.work, r.cost);
    }

    double cold_budget(const Engine& e) const {
        return kColdMargin * s.overload_factor * s.slow_start_capacity_share * kCapacityBusy * e.cores *
               static_cast<double>(s.overload_window);
    }

    bool may_try_again(const Request& r) const {
        if (r.finished || r.streaming || now >= r.deadline)
            return false;
        const bool spent = static_cast<int>(r.attempts.size()) >= s.max_attempts;
        if (spent || r.attempt_out())
            return false;       // no second copy, though may_duplicate may allow one
        if (r.bound_to >= 0) {  // something may have run
            if (s.classes[r.cls].idempotency == Idempotency::non_idempotent)
                return false;
            if (s.classes[r.cls].idempotency == Idempotency::keyed &&
                now >= r.bound_since + s.classes[r.cls].key_window)
                return false;
        }
        if (!r.attempts.empty() && s.retry_budget_base && s.retry_budget_ratio) {
            const double allowed =
                *s.retry_budget_base + *s.retry_budget_ratio * static_cast<double>(taken.size());
            if (static_cast<double>(further.size() + 1) > allowed)
                return false;
        }
        return true;
    }

    bool has_turn(const Request& r) const {
        if (!r.in_line)
            return true;
        if (requests[lines.at(r.key).front()].seq != r.seq)
            return false;
        const auto rest = rests.find(r.key);  // for later requests, not for further tries of this one
        return !r.attempts.empty() || rest == rests.end() || now >= rest->second;
    }

    bool may_send(const Request& r, int index) const {
        const Engine& e = engines[index];
        const ClassSettings& c = s.classes[r.cls];
        if (!e.takes())
            return false;
        if (!holds(c.allowed_kinds, e.entry.kind) || !holds(c.allowed_zones, e.entry.zone))
            return false;
        if (r.bound_to >= 0 && c.idempotency == Idempotency::keyed) {
            const Endpoint& first = engines[r.bound_to].entry;
            if (c.key_scope != KeyScope::all && first.zone != e.entry.zone)
                return false;
            if (c.key_scope == KeyScope::cell && first.cell != e.entry.cell)
                return false;
        }
        if (is_cold(e)) {
            const double work = e.cold.empty() ? first_cold_work(r) : cold_work(r);
            const double budget = cold_budget(e), part = budget / s.instance_count;
            double sum = work;
            for (const auto& [at, sent] : e.cold)
                sum += sent;
            // A part smaller than a query is drawn for: so many fronts may send one that all parts are used.
            const bool drawn = e.cold.empty() && work <= kLotMost * budget && e.lot * work <= part;
            if (sum > part && !drawn)
                return false;
        }
        return may_try_again(r);
    }

    bool may_refuse(const Request& r) const {
        const ClassSettings& c = s.classes[r.cls];
        if (c.idempotency == Idempotency::idempotent || (r.bound_to < 0 && !r.attempt_out()))
            return true;
        return c.idempotency == Idempotency::keyed && c.key_scope == KeyScope::all;
    }

    void send(int slot, int index) {
        Request& r = requests[slot];
        if (!may_send(r, index))
            return;
        Engine& e = engines[index];
        unqueue(slot);
        const double most = s.max_memory_share * e.memory;
        // A grant over the need costs nothing where engines count the lesser of the two.
        const double margin = s.memory_shortage_policy == MemoryShortagePolicy::swap ? kGrantFree : kGrant;
        const double grant = s.supports_memory_grants && most > 0 ? std::min(r.memory * margin, most) : 0;
        const int priority = priority_of(r);
        if (grant > 0 || (s.supports_priorities && priority != r.priority)) {
            actions.push_back(ResourceGrant{r.id, grant, priority});
            r.priority = priority;
        }
        actions.push_back(DispatchAttempt{r.id, e.entry.id, time_out(r, e)});
        if (!r.attempts.empty())
            further.push_back(now);
        if (is_cold(e))
            e.cold.emplace_back(now, cold_work(r));
        const double width = s.classes[r.cls].threads;
        r.attempts.push_back({index, now, r.cost, width, r.memory, grant, classes[r.cls].sensitive});
        out_threads += width, ++out_of_side[classes[r.cls].sensitive];
        e.out.emplace_back(slot, static_cast<int>(r.attempts.size()) - 1);
        e.threads += width, e.granted += r.memory;
    }

    void end(int slot, GiveUpReason reason) {
        Request& r = requests[slot];
        if (r.finished)
            return;
        unqueue(slot);
        if (may_refuse(r)) {
            const double hint = static_cast<double>(s.max_retry_after) * (0.5 + 0.5 * uniform());
            actions.push_back(ShedRequest{r.id, s.sends_retry_after ? static_cast<Micros>(hint) : 0, reason});
        } else {
            actions.push_back(FailRequest{r.id, reason});
        }
        r.finished = true;
        call_off(slot);
    }

    // Whether calling off its attempt frees work and leaves it another try.
    bool may_move(const Request& r) const {
        return s.can_cancel && !r.finished && !r.streaming &&
               s.classes[r.cls].idempotency != Idempotency::non_idempotent &&
               static_cast<int>(r.attempts.size()) < s.max_attempts;
    }

    // Nothing more is owed for it: what is out is called off where that frees work.
    void call_off(int slot) {
        const Request& r = requests[slot];
        if (s.can_cancel && !r.streaming)
            for (std::size_t i = 0; i < r.attempts.size(); ++i)
                if (r.attempts[i].open)
                    actions.push_back(CancelAttempt{r.id, static_cast<int>(i)});
        free_if_over(slot);
    }

    // ---- Estimates and streams

    bool learns_need() const {
        return !s.cost_in_responses && s.memory_shortage_policy != MemoryShortagePolicy::swap;
    }

    // Where needs aren't told, notes of spilling do: what was granted and missing. Guards against estimates
    // too low. Harm: an engine that gives less makes needs look larger, to an even part of its memory for C.
    void learn_need(const Request& r, Attempt& a, double missing) {
        if (std::exchange(a.spilled, true) || !learns_need() || a.grant <= 0 || r.raw_memory <= 0)
            return;
        const Engine& e = engines[a.engine];
        if (a.grant > e.memory * a.threads / (kThreadsPerCore * e.cores))
            return;
        approach(classes[r.cls].memory_ratio, std::min((a.grant + missing) / r.raw_memory, 20.0));
    }

    void learn(Request& r, const Attempt& a, const AttemptCompleted& c) {
        ClassState& k = classes[r.cls];
        if (learns_need() && a.grant > 0 && !a.spilled)
            k.memory_ratio *= 1 - kLearn * kQuiet;
        if (c.work_ms > 0) {
            if (r.raw_cost > 0)
                approach(k.cost_ratio, std::clamp(c.work_ms * kMs / r.raw_cost, 0.05, 20.0), kLearn);
            approach(k.work, c.work_ms * kMs, std::max(kLearn, 1 / (k.heard + 1)));  // the guess is no answer
            if (c.needed_mb > 0 && r.raw_memory > 0)
                approach(k.memory_ratio, std::clamp(c.needed_mb / r.raw_memory, 0.05, 20.0), kLearn);
        } else if (r.raw_cost > 0) {
            // Costs aren't told: the ratio follows a low percentile of latency over estimate.
            const double seen = static_cast<double>(c.duration) * a.threads / r.raw_cost;
            k.cost_ratio *= seen > k.cost_ratio ? 1 + kLearn * kQuiet : 1 - kLearn * (1 - kQuiet);
            k.cost_ratio = std::clamp(k.cost_ratio, 0.05, 20.0);
            k.work = k.raw * k.cost_ratio;
        }
    }

    // Strain: run time over told work, or over the class's calmest, which creeps up to learn lasting change.
    void observe_strain(const Request& r, const Attempt& a, const AttemptCompleted& c) {
        ClassState& k = classes[r.cls];
        const double told = c.work_ms * kMs, known = told > 0 ? told : r.raw_cost;
        const double base = known > 0 ? known : static_cast<double>(s.classes[r.cls].latency_objective);
        double ratio = static_cast<double>(std::max<Micros>(c.duration, 1)) * a.threads / base;
        if (k.heard > 0)
            ratio = std::min(ratio, kRunaway * k.ratio);
        approach(k.ratio, ratio, std::max(kLearn, 1 / ++k.heard));
        if (known <= 0 && k.heard > kSeedAnswers)
            k.work = k.ratio * base;  // nothing else tells it
        if (k.heard < kFewSamples && told <= 0)
            return;
        k.calm = told > 0 ? 1 : std::min(k.calm, k.ratio);
        approach(strain, ratio / k.calm);
    }

    // Where nothing reports, a part of C grows while it binds and engines are calm, and shrinks once they
    // strain or, with costs not told and strain so relative, attempts are late by themselves. Guards against
    // uneven fronts and jams that came before any calm. Harm: strain of a few slow engines shrinks it too.
    void move_reach() {
        if (s.load_report_source != LoadReportSource::none)
            return;
        for (ClassState& k : classes)
            k.calm *= kCalmCreep;
        if (strain > kStrained || late > kLateMost)
            reach = std::max(1.0, reach * kReachDown);
        else if (bound && strain < kCalm && late < kLateLeast)
            reach = std::min(reach * (1 + kPartGrowth), 1.0 * s.instance_count);
        bound = false;
    }

    void observe_latency(const Request& r, const Attempt& a, Micros time) {
        Stream& t = stream_of(r);
        const double latency = static_cast<double>(now - r.arrival);
        const double u = now <= r.aim ? 0 : now <= r.deadline ? policy::kLateDisengagement : 1;
        t.window.push_back({now, latency, static_cast<double>(time), u});
        const double slow = a.slowness(static_cast<double>(time));
        approach(engines[a.engine].slow, slow), approach(pace, slow), approach(drag, slow);
    }

    void fit_stream(Stream& t, std::size_t cls) {
        while (!t.window.empty() && (t.window.size() > kWindowCount || t.window[0].at < now - kWindowSpan))
            t.window.pop_front();
        const ClassSettings& c = s.classes[cls];
        const double run = classes[cls].work / c.threads, n = static_cast<double>(t.window.size());
        double latency = 0, square = 0, engine_time = 0, disengaged = 0;
        for (const Sample& x : t.window) {
            latency += x.latency / n, square += x.latency * x.latency / n;
            engine_time += x.engine_time / n, disengaged += x.disengaged / n;
        }
        t.enough = t.window.size() >= kFewSamples;
        t.cv = t.enough ? std::sqrt(std::max(0.0, square - latency * latency)) / std::max(latency, 1.0) : 1;
        t.service = t.enough ? engine_time : run;
        t.eta = disengaged / policy::kDisengagementTarget;
        const double deadline = static_cast<double>(c.deadline);
        const double aim =
            std::min(static_cast<double>(c.latency_objective) + c.objective_stretch * run, deadline);
        t.budget = policy::mean_latency_budget({t.cv, aim, deadline});
    }

    void fit() {
        for (std::size_t k = 0; k < classes.size(); ++k) {
            const double limit = kSensitiveRun * (classes[k].sensitive ? 1 + kSwitch : 1 - kSwitch);
            classes[k].sensitive = classes[k].work / s.classes[k].threads < limit;
            for (std::size_t t = 0; t < tenants.size(); ++t)
                fit_stream(streams[k * tenants.size() + t], k);
        }
    }

    void move_alpha() {
        double worst = -1, best = 1e9, cv = 0, count = 0;
        for (std::size_t i = 0; i < streams.size(); ++i) {
            const Stream& t = streams[i];
            if (!classes[i / tenants.size()].sensitive || !t.enough)
                continue;
            worst = std::max(worst, t.eta), best = std::min(best, t.eta);
            cv += t.cv, count += 1;
        }
        if (count > 0)
            alpha.adjust({worst, best, cv / count});
    }

    // ---- Health

    // Left alone for doubling waits, then tried with one request at a time.
    void shun(Engine& e) {
        if (now < e.shun_until)
            return;
        e.shun_for = std::clamp(e.shun_for * 2, kShunFirst, kShunMost);
        e.shun_until = now + e.shun_for;
        e.errors = std::max(e.errors, kErrorShun);
    }

    void take_report(Engine& e, const std::optional<LoadReport>& report) {
        if (e.alive = now; !report)
            return;
        e.report = *report, e.reported = heard = now;
        auto& there = e.report.running_queries;  // where not told, from its cores: busy is at the knee
        if (const auto busy = report->busy_cores_share; !there && busy)
            there = *busy / kBusyShare * kKnee * e.cores / usual.threads + report->queue_depth.value_or(0);
        if (there)
            approach(crowd, *there * usual.threads / e.cores, kCrowdStep);
        e.out_at_report = static_cast<int>(e.out.size());
    }

    // A full engine would look light. One whose own young report tells of no crowd is not full: it turns away
    // this class for a reason of its own, and only this class rests. Guards against an engine that lacks what
    // one class needs. Harm: where a report is behind, each class asks a full engine once.
    void rest(Engine& e, int cls) {
        const bool young = now - e.reported <= kReportLife && e.report.running_queries;
        const bool alone = young && !under_pressure(e) && reported(e) * usual.threads <= kKnee * e.cores;
        (alone ? e.turns_away[cls] : e.full_until) = now + kFullRest;
    }

    // An error that another engine gave this request too is its own, and neither engine's: what the first one
    // lost is given back. Guards against requests that no engine can use, a broken client's above all. Harm:
    // where many engines fail at once, each is found out later.
    void blame(Engine& e, Request& r, Attempt& a) {
        a.failed = true;
        const auto elsewhere = [&](const Attempt& b) {
            return b.failed && b.engine != a.engine;
        };
        if (std::none_of(r.attempts.begin(), r.attempts.end(), elsewhere)) {
            a.blame = kErrorStep * (1 - e.errors);
            e.errors += a.blame;
            if (e.errors >= kErrorShun)
                shun(e);
            return;
        }
        for (Attempt& b : r.attempts) {
            Engine& blamed = engines[b.engine];
            blamed.errors = std::max(0.0, blamed.errors - std::exchange(b.blame, 0));
        }
    }

    void judge(Engine& e, const AttemptCompleted& c, Request& r, Attempt& a) {
        const AttemptOutcome o = c.outcome;
        e.down = o == AttemptOutcome::connection_refused || (e.down && o != AttemptOutcome::succeeded);
        if (o == AttemptOutcome::succeeded) {
            e.errors *= 1 - kErrorStep;
            if (e.errors < kErrorTrial)
                e.shun_for = 0;
        } else if (o == AttemptOutcome::failed) {
            blame(e, r, a);
        } else if (o == AttemptOutcome::rejected)
            rest(e, r.cls);
        const bool silent = o == AttemptOutcome::timed_out && e.alive < a.sent;  // no sign of life since
        if (silent || o == AttemptOutcome::connection_refused || o == AttemptOutcome::connection_reset)
            shun(e);
    }

    bool ready(const Engine& e) const {
        return now >= e.shun_until && (e.errors < kErrorTrial || e.out.empty());
    }

    double usual_slow() const {
        return std::max(1.0, pace);
    }  // what all share is no engine's fault

    // ---- Pick and cap

    void release(Attempt& a) {
        if (!std::exchange(a.counted, false))
            return;
        out_threads -= a.threads, --out_of_side[a.sensitive];
    }

    bool under_pressure(const Engine& e) const {
        if (e.slow > kSlowPressure)
            return true;
        if (now - e.reported > kReportLife)
            return false;
        const LoadReport& p = e.report;
        return p.busy_cores_share.value_or(0) > kBusyShare || p.busy_disks_share.value_or(0) > kBusyShare ||
               p.granted_memory_share.value_or(0) > kBusyShare || p.queue_depth.value_or(0) >= 1;
    }

    // Queries there in all, as its last report and the fleet tell, and those of other fronts.
    double reported(const Engine& e) const {
        const double usual_there = crowded() * e.cores / usual.threads;
        const double told = e.report.running_queries.value_or(usual_there);
        // It holds for as long as what it counts takes to run, fading into what the fleet holds.
        const double life = std::max<double>(kReportLife, told * usual.work / e.cores);
        return told + (usual_there - told) * std::min(1.0, static_cast<double>(now - e.reported) / life);
    }
    // With no young report the fleet is taken to be at the knee: each front keeps to its part of C.
    bool heard_lately() const {
        return now - heard <= kReportLife;
    }
    double crowded() const {
        return heard_lately() ? crowd : kKnee;
    }
    double others(const Engine& e) const {
        return s.instance_count < 2 ? 0 : std::max(0.0, reported(e) - e.out_at_report);
    }

    bool has_room(const Engine& e, const Request& r) {
        const auto turned = e.turns_away.find(r.cls);
        if (turned != e.turns_away.end() && now < turned->second)
            return false;
        // Jammed: work that no front counts any more runs on there, left by time-outs or by a dead front.
        if (now < e.full_until || reported(e) * usual.threads > kJam * e.cores)
            return false;
        const double elsewhere = others(e);  // a guess if nothing was heard, which must not fill memory
        const double taken_mb = e.granted + (heard_lately() ? kReckoned * elsewhere * usual.memory : 0);
        if (e.memory > 0 && taken_mb > 0 && taken_mb + r.memory > kMemoryFill * e.memory)
            return false;
        const double width = s.classes[r.cls].threads, threads = e.threads + width;
        if (!under_pressure(e) && threads + elsewhere * usual.threads <= kKnee * e.cores)
            return true;
        // Where fronts outnumber threads, C for each engine is under one query: it binds over the fleet too.
        // Sensitive queries pass while reports tell of room, best-effort ones wait while they tell of none. A
        // jammed engine reports nothing, as it answers nothing: notes that crawl tell of it too.
        const double part = kThreadsPerCore / s.instance_count * reach;
        const bool quick = classes[r.cls].sensitive, room = crowded() < kKnee && drag < 2 * kSlowPressure;
        if (!quick && crowded() > kThreadsPerCore)
            return false;
        if (!(quick && room) && out_of_side[quick] > 0 && out_threads + width > part * fleet_cores) {
            bound = true;
            return false;
        }
        return e.out.empty() || threads <= std::max(kLeastCap, part * e.cores);
    }

    double load(const Engine& e, const Request& r) const {
        double work = r.cost;
        const ClassSettings& c = s.classes[r.cls];
        for (const auto& [slot, n] : e.out) {
            const Request& other = requests[slot];
            const Attempt& a = other.attempts[n];
            const double left = a.work * std::max(0.1, 1 - a.progress);
            work += left;
            if (other.group == r.group && s.classes[other.cls].locks_table_group &&
                (c.waits_for_table_lock || c.locks_table_group))
                work += left / a.threads * e.cores;  // it would stand still until that load ends
        }
        work += others(e) * usual.work;
        const double warm = is_cold(e) ? double(now - e.entry.started_at) / double(s.slow_start_window) : 1;
        const double capacity =
            e.cores * (s.slow_start_capacity_share + (1 - s.slow_start_capacity_share) * warm);
        const double slow = std::max(1.0, e.slow / usual_slow());
        const bool crosses = s.cross_zone_price > 0 && e.entry.zone != s.zone;
        return work / std::max(capacity, 0.1) * slow * (crosses ? kOtherZone : 1);
    }

    int pick(const Request& r) {
        int bad = 0;
        for (const Engine& e : engines)
            bad += e.takes() ? (ready(e) ? -1 : 1) : 0;
        std::vector<int> able;  // where most look bad the cause is likely shared, and none is shunned
        for (int i = 0; i < static_cast<int>(engines.size()); ++i)
            if (const Engine& e = engines[i];
                (ready(e) || (bad > 0 && !e.down)) && may_send(r, i) && has_room(e, r))
                able.push_back(i);
        if (able.size() > 1 && !r.attempts.empty())
            std::erase(able, r.attempts.back().engine);
        if (able.empty())
            return -1;
        const auto draw = [&] {
            return able[rng() % able.size()];
        };
        const int first = draw();
        if (able.size() > 1)
            std::erase(able, first);
        const int second = draw();
        return load(engines[first], r) <= load(engines[second], r) ? first : second;
    }

    int priority_of(const Request& r) const {
        if (r.over_share || now > r.aim)
            return 0;
        const auto dense = [&](std::size_t k) {
            return s.classes[k].priority_weight / std::max(classes[k].work, 1.0);
        };
        for (std::size_t k = 0; k < classes.size(); ++k)
            if (dense(k) > dense(r.cls))
                return classes[r.cls].sensitive ? 2 : 1;
        return 3;
    }

    // A try at an engine under suspicion ends early where it could not be called off later.
    Micros time_out(const Request& r, const Engine& e) const {
        const bool last = static_cast<int>(r.attempts.size()) + 1 >= s.max_attempts;
        const bool stays =
            s.can_cancel || last || s.classes[r.cls].idempotency == Idempotency::non_idempotent;
        if (stays || e.errors < kErrorTrial)
            return r.deadline - now;
        return std::min(r.deadline - now, static_cast<Micros>(kTimeOutRuns * run_time(r) * usual_slow()));
    }

    // ---- Slots: alpha splits them between earliest-due sensitive streams and best-effort tenants in turn

    std::set<Key>& held_with(const Request& r) {
        if (r.side == Side::behind)
            return behind;
        return r.side == Side::sensitive ? sensitive : tenants[r.tenant].queue;
    }

    // Over its share or too late for its aim: waits behind both sides. By due time alone the long overdue go
    // first, and soon nothing is in time. Harm: where costs are overestimated, what is in time waits too.
    bool gives_way(const Request& r) const {
        return r.shed || r.over_share || now + run_time(r) > r.aim;
    }

    // Work for each unit of worth still to be had.
    double price(const Request& r) const {
        const ClassSettings& c = s.classes[r.cls];
        const double worth = c.priority_weight * (r.over_share ? s.over_quota_weight : 1);
        return r.cost / std::max(worth * (now + run_time(r) > r.aim ? c.late_value_share : 1), 1e-3);
    }

    void queue(int slot) {
        Request& r = requests[slot];
        if (r.queued || r.finished)
            return;
        r.queued = true;
        r.side = gives_way(r) ? Side::behind : classes[r.cls].sensitive ? Side::sensitive : Side::best_effort;
        r.rank = r.side == Side::behind ? static_cast<Micros>(price(r)) : r.due;
        held_with(r).insert({r.rank, r.seq, slot});
    }

    void unqueue(int slot) {
        Request& r = requests[slot];
        if (!r.queued)
            return;
        r.queued = false;
        held_with(r).erase({r.rank, r.seq, slot});
    }

    bool serve_from(std::set<Key>& held) {
        std::size_t looked = 0;
        for (const auto& [rank, age, slot] : held) {
            if (++looked > kScan)
                break;
            const Request& r = requests[slot];
            if (now < r.not_before)
                continue;
            const int e = pick(r);
            if (e < 0)
                continue;
            if (r.side == Side::best_effort)
                tenants[r.tenant].pass +=
                    r.cost / std::max(s.tenants.empty() ? 1 : s.tenants[r.tenant].fair_share, 0.01);
            send(slot, e);
            return true;
        }
        return false;
    }

    bool serve(Side side) {
        if (side != Side::best_effort)
            return serve_from(side == Side::sensitive ? sensitive : behind);
        std::vector<std::pair<double, std::size_t>> turn;  // the tenant least served for its share goes first
        for (std::size_t k = 0; k < tenants.size(); ++k)
            if (!tenants[k].queue.empty())
                turn.emplace_back(tenants[k].pass, k);
        std::sort(turn.begin(), turn.end());
        return std::any_of(turn.begin(), turn.end(), [&](const auto& next) {
            return serve_from(tenants[next.second].queue);
        });
    }

    void dispatch() {
        for (;;) {
            const bool first = uniform() < alpha.value();
            if (!serve(first ? Side::sensitive : Side::best_effort) &&
                !serve(first ? Side::best_effort : Side::sensitive) && !serve(Side::behind))
                return;
        }
    }

    // ---- The life of a request

    void free_if_over(int slot) {
        Request& r = requests[slot];
        if (!r.used || !r.finished || r.attempt_out() || r.in_line)
            return;
        ids.erase(r.id);
        r.used = false;
        spare.push_back(slot);
    }

    // Decides what an unfinished request with nothing out waits for: its turn, a slot, or its end.
    void settle(int slot) {
        Request& r = requests[slot];
        if (r.finished || r.attempt_out() || r.queued)
            return;
        if (!may_try_again(r))
            return end(slot, GiveUpReason::attempts_exhausted);
        if (has_turn(r))
            queue(slot);
    }

    // Under overload both sides would hold more than can be served in time. What costs most for its worth
    // goes behind until the rest fits in a part of the shortest aim. Guards against waves of any origin, and
    // against few engines. Harm: a class of costly requests is served last for as long as the overload lasts.
    void shed() {
        double work = 0;
        std::vector<std::pair<double, int>> held;
        for (std::size_t i = 0; i < requests.size(); ++i)
            if (const Request& r = requests[i]; r.queued && r.side != Side::behind)
                held.emplace_back(price(r), static_cast<int>(i)), work += r.cost;
        const double limit = fleet_cores / s.instance_count * kBacklog * shortest_aim;
        std::sort(held.rbegin(), held.rend());
        for (const auto& [price, slot] : held) {
            if (work <= limit)
                break;
            work -= requests[slot].cost;
            requests[slot].shed = true;
            unqueue(slot), queue(slot);
        }
    }

    void sweep() {
        for (auto it = lines.begin(); it != lines.end();) {  // the head of a key's line goes once it is over
            auto& line = it->second;
            while (!line.empty() && requests[line.front()].finished &&
                   !requests[line.front()].attempt_out()) {
                requests[line.front()].in_line = false;
                free_if_over(line.front());
                line.pop_front();
            }
            if (!line.empty())
                settle(line.front());
            it = line.empty() ? lines.erase(it) : std::next(it);
        }
        std::erase_if(rests, [&](const auto& rest) {
            return now >= rest.second;
        });
        for (std::size_t i = 0; i < requests.size(); ++i) {
            Request& r = requests[i];
            const int slot = static_cast<int>(i);
            if (!r.used || r.finished || r.streaming)
                continue;
            const ClassSettings& c = s.classes[r.cls];
            const bool worthless = c.late_value_share <= 0 && now > r.aim;
            if (!r.attempt_out()) {
                const bool out_of_time =
                    now + kAnswerMargin >= r.deadline || now + static_cast<Micros>(run_time(r)) > r.deadline;
                if (out_of_time)
                    end(slot, GiveUpReason::deadline_unreachable);
                else if (worthless)
                    end(slot, GiveUpReason::objective_missed);
                else if (!may_try_again(r))
                    end(slot, GiveUpReason::attempts_exhausted);
                else if (r.queued && r.side != Side::behind && gives_way(r))
                    unqueue(slot), queue(slot);
            } else if (worthless && s.can_cancel && c.idempotency == Idempotency::idempotent) {
                end(slot, GiveUpReason::objective_missed);
            } else if (s.supports_priorities && priority_of(r) != r.priority) {
                r.priority = priority_of(r);
                actions.push_back(ResourceGrant{r.id, 0, r.priority});
            }
        }
        for (Engine& e : engines) {
            approach(e.slow, 1, static_cast<double>(kTick) / kWindowSpan);  // what is not seen again fades
            for (const auto& [slot, n] : e.out) {  // what is stuck must not bar other engines
                Attempt& a = requests[slot].attempts[n];
                if (static_cast<double>(now - a.sent) > kOverdue * (a.expected() + kSecond))
                    release(a);
                // No word of this one while its engine lives: its answer is lost, however long it waits.
                // Harm: an engine that notes some and forgets others loses their tries. A short query ends
                // before any note: it is overdue by its usual run, and sent again while its aim can be met.
                const Micros quiet = now - std::max({a.sent, a.heard, woke});
                const bool lost = s.progress_period > 0 && quiet >= 2 * s.progress_period + kSilentAfter / 2;
                const Request& r = requests[slot];
                const double usual_run =  // of its class at least: a tiny estimate is mostly overhead
                    std::max(e.slow, usual_slow()) * std::max(a.expected(), classes[r.cls].work / a.threads);
                const bool overdue = s.classes[r.cls].late_value_share <= 0 && a.heard == 0 &&
                                     a.sent >= woke &&
                                     static_cast<double>(now - a.sent) > kLost * usual_run &&
                                     now + static_cast<Micros>(run_time(r)) <= r.aim;
                if ((lost || overdue) && may_move(r))
                    actions.push_back(CancelAttempt{r.id, n});
            }
            while (!e.cold.empty() && e.cold.front().first < now - s.overload_window)
                e.cold.pop_front();
            if (now >= e.lot_until)
                e.lot = uniform(), e.lot_until = now + s.overload_window;
            // No note and no answer from an engine that holds work: silent. What may move is called off.
            if (s.progress_period <= 0 || e.out.empty())
                continue;
            const Micros silence = s.progress_period + kSilentAfter;
            const Attempt& oldest = requests[e.out.front().first].attempts[e.out.front().second];
            if (now - std::max({oldest.sent, e.alive, woke}) < silence)
                continue;
            shun(e);
            for (const auto& [slot, n] : e.out)
                if (may_move(requests[slot]))
                    actions.push_back(CancelAttempt{requests[slot].id, n});
        }
    }

    // ---- Events

    int slot_of(const std::string& id) const {
        const auto found = ids.find(id);
        return found == ids.end() ? -1 : found->second;
    }

    void on(const EndpointUpdate& c) {
        if (c.kind != EndpointUpdateKind::cached)
            subscribed = c.kind != EndpointUpdateKind::source_lost;
        if (c.kind == EndpointUpdateKind::full || c.kind == EndpointUpdateKind::cached)
            for (Engine& e : engines)
                e.listed = false;
        for (const Endpoint& entry : c.endpoints) {
            const auto [place, fresh] = engine_index.try_emplace(entry.id, static_cast<int>(engines.size()));
            if (fresh)
                engines.emplace_back().alive = now;
            Engine& e = engines[place->second];
            if (fresh)
                e.probed = now - static_cast<Micros>((1 + uniform()) * kProbeEvery);
            if (entry.started_at >
                e.entry.started_at) {  // a fresh process: nothing known of the old one holds
                e.shun_until = e.shun_for = e.full_until = 0;
                e.errors = 0, e.slow = 1, e.down = false, e.turns_away.clear();
            }
            e.entry = entry;
            e.listed = entry.state != EndpointState::removed;
            for (const EngineKindSettings& k : s.kinds)
                if (k.name == entry.kind)
                    e.cores = std::max(1.0, k.cores), e.memory = k.memory_mb;
        }
        fleet_cores = 0;
        for (const Engine& e : engines)
            fleet_cores += e.listed ? e.cores : 0;
    }

    void on(const RequestArrived& d) {
        const auto called = [&](const ClassSettings& c) {
            return c.name == d.class_name;
        };
        const auto type = std::find_if(s.classes.begin(), s.classes.end(), called);
        if (type == s.classes.end() || ids.contains(d.id))
            return;
        int slot = static_cast<int>(requests.size());
        if (spare.empty())
            requests.emplace_back();
        else
            slot = spare.back(), spare.pop_back();
        Request& r = requests[slot];
        r = Request{};
        r.used = true, r.id = d.id, r.seq = ++seq;
        r.cls = static_cast<int>(type - s.classes.begin());
        for (std::size_t t = 0; t < s.tenants.size(); ++t)
            if (s.tenants[t].name == d.tenant)
                r.tenant = static_cast<int>(t);
        ids.emplace(r.id, slot);
        taken.push_back(now);
        probe_credit = std::min(probe_credit + kProbeShare, 2.0);
        const ClassSettings& c = s.classes[r.cls];
        ClassState& k = classes[r.cls];
        if (d.estimated_work && *d.estimated_work > 0) {
            r.raw_cost = static_cast<double>(*d.estimated_work);
            if (k.raw <= 0)
                k.raw = k.work = r.raw_cost;
            approach(k.raw, r.raw_cost, std::max(kLearn, 1 / ++k.estimates));
            if (!s.cost_in_responses)
                k.work = k.raw * k.cost_ratio;
            r.cost = r.raw_cost * k.cost_ratio;
        } else {
            if (k.work <= 0)
                k.work = static_cast<double>(c.latency_objective) * c.threads / 4, k.since = now;
            r.cost = k.work;
        }
        r.raw_memory = d.estimated_memory_mb, r.memory = d.estimated_memory_mb * k.memory_ratio,
        r.group = d.table_group;
        r.arrival = now, r.deadline = now + d.time_left;
        r.aim = now + std::min(d.time_left,
                               c.latency_objective + static_cast<Micros>(c.objective_stretch * run_time(r)));
        Stream& t = stream_of(r);
        if (t.budget <= 0) {
            k.sensitive = k.work / c.threads < kSensitiveRun;
            fit_stream(t, static_cast<std::size_t>(r.cls));
        }
        r.due = now + static_cast<Micros>(t.budget - t.service);
        if (!s.tenants.empty() && s.tenants[r.tenant].quota_per_s > 0) {
            Tenant& q = tenants[r.tenant];
            const double rate = s.tenants[r.tenant].quota_per_s / s.instance_count;
            q.tokens += rate * static_cast<double>(now - std::exchange(q.filled, now)) / kSecond;
            q.tokens = std::min(q.tokens, std::max(rate, 1.0));  // a second's worth at most
            r.over_share = q.tokens < 1;
            q.tokens -= !r.over_share;
        }
        // Weighted by run time: what an engine holds at a moment is mostly long queries.
        approach(usual.run, run_time(r), kLearn);
        const double step = std::min(1.0, kLearn * run_time(r) / std::max(usual.run, 1.0));
        approach(usual.work, r.cost, step), approach(usual.memory, r.memory, step);
        approach(usual.threads, c.threads, step);
        alpha.count_arrival(k.sensitive);
        if (c.ordered_by_key && !d.ordering_key.empty()) {
            r.key = d.ordering_key, r.in_line = true;
            lines[r.key].push_back(slot);
        }
        settle(slot);
    }

    void on(const ResponseStarted& b) {
        if (const int slot = slot_of(b.id); slot >= 0)
            requests[slot].streaming = true;
    }

    void on(const AttemptCompleted& c) {
        const int slot = slot_of(c.id);
        if (slot < 0)
            return;
        Request& r = requests[slot];
        const int count = static_cast<int>(r.attempts.size());
        if (c.attempt < 0 || c.attempt >= count || !r.attempts[c.attempt].open)
            return;
        Attempt& a = r.attempts[c.attempt];
        Engine& e = engines[a.engine];
        a.open = false;
        std::erase(e.out, std::pair(slot, c.attempt));
        e.threads -= a.threads, e.granted -= a.memory;
        release(a);
        const bool lingers = c.outcome == AttemptOutcome::timed_out || c.outcome == AttemptOutcome::cancelled;
        if (!lingers && c.outcome != AttemptOutcome::connection_refused)
            e.alive = now;
        if (c.load_report)
            take_report(e, c.load_report);
        judge(e, c, r, a);
        const bool done = c.outcome == AttemptOutcome::succeeded;
        if (!s.cost_in_responses && (done || (lingers && e.alive >= a.sent)))
            approach(late, !done || c.duration > r.aim - r.arrival);
        if (!proves_not_executed(c.outcome) && r.bound_to < 0)
            r.bound_to = a.engine, r.bound_since = a.sent;
        if (done) {
            learn(r, a, c);
            observe_strain(r, a, c);
            observe_latency(r, a, c.duration);
        }
        if (r.in_line && (lingers || c.outcome == AttemptOutcome::connection_reset))
            rests[r.key] = now + s.key_order_gap;
        if (c.request_finished)
            unqueue(slot), r.finished = true;
        if (c.outcome == AttemptOutcome::rejected)
            r.not_before = now + kTick;
        settle(slot);
        free_if_over(slot);
    }

    void on(const AttemptProgress& n) {
        const int slot = slot_of(n.id);
        if (slot < 0 || n.attempt < 0 || n.attempt >= static_cast<int>(requests[slot].attempts.size()))
            return;
        Attempt& a = requests[slot].attempts[n.attempt];
        engines[a.engine].alive = now;
        if (!a.open)
            return;
        a.heard = now;
        Request& r = requests[slot];
        if (n.kind == ProgressKind::spilling)
            learn_need(r, a, n.value);
        // Behind a load, of whatever front, it stands still: moved at once, as nothing is lost; but not where
        // three engines in a row hold one, as most do then.
        if (n.kind == ProgressKind::waiting && n.value == kForLoad && n.attempt < kMoves && may_move(r))
            actions.push_back(CancelAttempt{r.id, n.attempt});
        if (n.kind != ProgressKind::fraction_done)
            return;
        a.progress = std::clamp(n.value, 0.0, 1.0);
        const double lasts = static_cast<double>(now - a.sent) / std::max(a.progress, 0.01);
        approach(engines[a.engine].slow, a.slowness(lasts)), approach(drag, a.slowness(lasts));
        // An attempt that gets on far slower than a fresh one would, by a bad plan or a slow engine, is sent
        // again. Without an estimate, one that would take as long again is costly by itself and let finish.
        // When all engines are slow, so is the measure. Harm: a query far over its estimate loses its tries.
        const double usual_run = std::max(run_time(r) * usual_slow(), r.shown);
        if (!may_move(r) || lasts * (1 - a.progress) <= kRunaway * usual_run)
            return;
        if (r.raw_cost <= 0 && r.shown <= 0)
            r.shown = lasts;
        actions.push_back(CancelAttempt{r.id, n.attempt});
    }

    void on(const HealthCheckCompleted& p) {
        const auto found = engine_index.find(p.engine);
        if (found != engine_index.end() && p.outcome == AttemptOutcome::succeeded)
            take_report(engines[found->second], p.load_report);
    }

    void on(const PeerMessage&) {}

    void on(const ClientDisconnected& g) {
        const int slot = slot_of(g.id);
        if (slot < 0)
            return;
        unqueue(slot);
        requests[slot].finished = true;
        call_off(slot);
    }

    // ---- Timers

    void on(const TimerFired&) {
        actions.push_back(StartTimer{kTick, 0});
        sweep(), shed();
        if (now - fitted >= kFitEvery)
            fitted = now, fit();
        if (now - moved >= kAlphaEvery)
            moved = now, move_alpha(), move_reach();
        if (s.watches_endpoints && !subscribed &&
            now - asked >= static_cast<Micros>(kAskShare * static_cast<double>(s.watch_deadline))) {
            asked = now;
            actions.push_back(WatchEndpoints{});
        }
        if (s.can_health_check && s.load_report_source == LoadReportSource::health_checks)
            probe();
    }

    // The engine not asked for longest, at most once a second each, and within a share of the requests taken.
    void probe() {
        Engine* next = nullptr;
        for (Engine& e : engines)
            if (e.takes() && (!next || e.probed < next->probed))
                next = &e;
        if (!next || probe_credit < 1 || now - next->probed < kProbeEvery)
            return;
        probe_credit -= 1, next->probed = now;
        actions.push_back(CheckHealth{next->entry.id});
    }

    void take(Micros at, const Event& event) {
        if (at > now + kStall)
            woke = at;  // timers come more often: this front stood still and heard nothing
        now = std::max(now, at);
        while (!taken.empty() && taken.front() <= now - s.retry_budget_window)
            taken.pop_front();
        while (!further.empty() && further.front() < now - s.retry_budget_window)
            further.pop_front();
        std::visit(
            [this](const auto& e) {
                on(e);
            },
            event);
        dispatch();
    }
};

GatewayPolicy::GatewayPolicy(Micros now, std::uint64_t seed, PolicySettings settings)
    : front_(std::make_unique<Front>(now, seed, std::move(settings))) {}
GatewayPolicy::~GatewayPolicy() = default;
GatewayPolicy::GatewayPolicy(GatewayPolicy&&) noexcept = default;
GatewayPolicy& GatewayPolicy::operator=(GatewayPolicy&&) noexcept = default;

std::vector<Action> GatewayPolicy::start() {
    front_->start();
    return std::exchange(front_->actions, {});
}

std::vector<Action> GatewayPolicy::handle(Micros now, const Event& event) {
    front_->take(now, event);
    return std::exchange(front_->actions, {});
}

double GatewayPolicy::alpha() const {
    return front_->alpha.value();
}

}  // namespace gatetiller
