// engine: a stand-in for an analytic engine, for tests, the lab and the demo. This file: its machine, as pure
// state fed with times: all that it was sent runs at once, sharing cores, disks and memory.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "base/time.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::engine {

struct MachineSettings {
    double cores = 8, memory_mb = 16384;
    double speed = 1;  // of a core
    double disks =
        0.6;            // reading and writing that the disks can do, as a share of what all cores can compute
    double knee = 1.6;  // threads a core past which total work falls
    double past_knee = 0.5;        // how fast it falls: at twice the knee to 1 / (1 + this)
    double sessions_per_core = 8;  // more are turned away
    double spill_cost = 2.5;       // work grows by up to this times itself where all memory needed is missing
    MemoryShortagePolicy when_short = MemoryShortagePolicy::queue;
    double largest_share = 0.4;  // of the memory, for one statement
    double warm_groups = 4;      // groups last read that are kept warm
    double warm_saves = 0.6;     // share of reading that a warm group saves
    double cold_share = 0.3;     // of its capacity, at its start
    Micros warm_up = 0;          // and until here it grows to all; 0: warm from the first moment
    double fall_factor = 0;      // sent more than this times its present capacity ...
    Micros fall_for = 0;         // ... for so long while cold, it falls over for good; 0: never
    bool cancel_stops = true;    // cancelled work stops
    bool priorities = false;     // 0 to 3 weigh 1 : 4 : 8 : 16
    double bad_plans = 0;        // share of attempts with a plan that takes `bad_plan_times` as long
    double bad_plan_times = 10;
    Micros key_window = 0;  // a repeat of a key is dropped within this of the first
};

struct Job {
    std::string trace, key, group;
    double work = 0;                   // core-microseconds of all threads
    double threads = 1, io = 0.3;      // io: share of the work that reads or writes
    double need_mb = 0, grant_mb = 0;  // grant 0: the machine's own choice, the need up to the largest share
    int priority = 1;
    bool load = false, yields = false;  // holds its group until it ends; stands still while a load holds it
};

enum class Phase {
    for_memory,
    for_load,
    running
};
enum class Taken {
    taken,
    full,
    repeat,
    fallen
};

struct View {
    Phase phase = Phase::running;
    double progress = 0, work_done = 0, spilled_mb = 0, peak_mb = 0;
    bool unseen = false;  // called off before, and went on to its end all the same
};

class Machine {
public:
    using JobId = std::uint64_t;

    Machine(Micros now, MachineSettings settings, std::uint64_t seed);

    // `id` is set where it was taken.
    Taken submit(Micros now, Job job, JobId& id);
    void cancel(Micros now, JobId id);  // where cancel_stops, else it goes on unseen
    void advance(Micros now);
    // When the next job ends if nothing else happens; nothing while none runs.
    std::optional<Micros> next_end() const;
    std::vector<std::pair<JobId, View>> take_ended();  // since the last call, in order
    std::optional<View> view(JobId id) const;          // nothing once it ended
    LoadReport report() const;
    bool fallen() const {
        return fallen_;
    }
    std::size_t jobs() const {
        return jobs_.size();
    }
    double work_done() const {
        return work_done_;
    }  // in all, core-microseconds
    void slow(Micros now, double times) {
        advance(now), slow_ = times, rates_stale_ = true;
    }
    void flush_warm() {
        warm_.clear();
    }

private:
    struct Running {
        Job job;
        double total = 0, left = 0, rate = 0;  // core-microseconds; per microsecond
        double granted = 0, spilled_mb = 0;
        bool unseen = false;
    };
    void admit();
    void begin(Running& r);
    void set_rates();
    double capacity() const;
    double warmth() const;
    bool held_by_load(const Running& r) const;
    View view_of(const Running& r) const;

    MachineSettings s_;
    Random random_;
    Micros now_, started_;
    std::map<JobId, Running> jobs_;
    std::deque<JobId> queue_;  // waiting for memory, by priority and then in turn
    std::vector<std::pair<JobId, View>> ended_;
    std::deque<std::string> warm_;
    std::map<std::string, Micros> keys_;
    std::deque<std::pair<Micros, double>> sent_;  // while cold: work sent, for falling over
    JobId last_ = 0;
    double granted_ = 0, slow_ = 1, work_done_ = 0, disks_busy_ = 0;
    bool fallen_ = false, rates_stale_ = false;
};

}  // namespace gatetiller::engine
