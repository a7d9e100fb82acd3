// Equality harness: whole days of a small fleet, played against the decision module through its wire form
// with a fixed seed. Every line that goes in or comes out is part of a digest, so that a change of the code
// that is meant to change no decision can show that it changes none. The digest depends on the wire form
// alone, not on the names in the code.
//
// Where a change of a decision is wanted, the digests below are replaced by those that the failing test
// prints, and the commit says which decision changed and why.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <sstream>

#include "base/random.hpp"
#include "base/text.hpp"
#include "base/time.hpp"
#include "bench/wire.hpp"

using namespace gatetiller;

namespace {

struct RequestClass {
    const char* name;
    Micros time_left;
    Micros mean_work;
    double threads;
    double arrivals_per_second;
    bool ordered;
};

struct DayPlan {
    std::uint64_t seed = 1;
    int instances = 2;
    int engines = 6;
    Micros length = 40 * kSecondMicros;
    bool costs_known = true;  // requests carry an estimate, answers their cost
    bool reports_in_answers = true;
    bool answers_probes = false;
    std::string settings;  // of every instance, as the wire has them
    std::vector<RequestClass> classes;
};

// What a day came to: the digest, and counts that show that it was no idle day.
struct DayResult {
    std::uint64_t digest = 0;
    std::map<std::string, int> lines;  // by the name of the message, both ways
};

std::string field(std::string_view line, std::string_view name) {
    const std::string key = "\t" + std::string(name) + "=";
    const auto at = line.find(key);
    if (at == std::string_view::npos)
        return "";
    const auto from = at + key.size();
    return std::string(line.substr(from, line.find('\t', from) - from));
}

class Day {
public:
    explicit Day(DayPlan plan) : plan_(std::move(plan)), random_(plan_.seed) {}

    DayResult play() {
        engines_.resize(static_cast<std::size_t>(plan_.engines));
        for (int i = 0; i < plan_.instances; ++i) {
            feed("create\ti=" + std::to_string(i) + "\trandom_seed=" + std::to_string(plan_.seed * 100 + i) +
                 "\tboot_info=" + plan_.settings);
            send_list(i, "warm_copy");
        }
        for (std::size_t c = 0; c < plan_.classes.size(); ++c)
            arrive_later(c);
        plan_faults();
        while (!due_.empty() && due_.begin()->first.first <= plan_.length) {
            now_ = due_.begin()->first.first;
            const auto action = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            action();
        }
        return result_;
    }

private:
    struct Engine {
        double threads = 0;
        bool down = false;
        bool hangs = false;
        bool fails = false;
        double slowness = 1;
        Micros came_up = 0;
        std::string state = "on";
    };
    struct Attempt {
        int instance = 0;
        std::string id;
        int number = 0;
        int engine = 0;
        std::size_t cls = 0;
        Micros began = 0;
        Micros work = 0;
        Micros ends = 0;
        bool over = false;
    };
    struct Request {
        std::size_t cls = 0;
        Micros work = 0;
        int attempts = 0;
        bool final = false;
    };

    void at(Micros time, std::function<void()> action) {
        due_.emplace(std::pair(std::max(time, now_), ++sequence_), std::move(action));
    }

    void count(std::string_view line) {
        result_.digest = fnv1a_hash(line, result_.digest);
        ++result_.lines[std::string(line.substr(0, line.find('\t')))];
    }

    void feed(const std::string& lines) {
        host_.take("begin_batch\tat_time_us=" + std::to_string(now_));
        std::istringstream in(lines);
        for (std::string line; std::getline(in, line);) {
            count(line);
            host_.take(line);
        }
        host_.take("commit");
        std::istringstream out(host_.reply());
        for (std::string line; std::getline(out, line);) {
            count(line);
            carry_out(line);
        }
    }

    void send_list(int instance, const std::string& form) {
        std::string lines = "page\tpage=0\thosts=" + std::to_string(plan_.engines) + "\n";
        for (int e = 0; e < plan_.engines; ++e) {
            const Engine& engine = engines_[static_cast<std::size_t>(e)];
            lines += "entry\tstate=" + engine.state + "\tfailure_domain=z" + std::to_string(e % 2) +
                     "\ttype=std\tengine=" + std::to_string(e + 1) + "\tcluster=" + std::to_string(e % 3) +
                     "\tcame_up_us=" + std::to_string(engine.came_up) + "\n";
        }
        feed(lines + "backends_changed\ti=" + std::to_string(instance) + "\tversion=1\tpage=0\tform=" + form);
    }
    void tell_lists() {
        for (int i = 0; i < plan_.instances; ++i)
            send_list(i, "total");
    }

    void arrive_later(std::size_t c) {
        const bool burst = now_ > plan_.length / 4 && now_ < plan_.length / 2;
        const double rate = plan_.classes[c].arrivals_per_second * (burst ? 3 : 1);
        at(now_ + static_cast<Micros>(random_.exponential(1e6 / rate)) + 1, [this, c] {
            arrive(c);
        });
    }

    void arrive(std::size_t c) {
        const RequestClass& cls = plan_.classes[c];
        const int instance = static_cast<int>(random_.below(static_cast<std::uint64_t>(plan_.instances)));
        const std::string id = "r" + std::to_string(++last_id_);
        Request request;
        request.cls = c;
        request.work = 1 + static_cast<Micros>(random_.lognormal(static_cast<double>(cls.mean_work), 0.8));
        const Micros estimate =
            1 + static_cast<Micros>(static_cast<double>(request.work) * random_.uniform(0.6, 1.5));
        requests_[id] = request;
        // Drawn one by one: within one expression, compilers for different machines draw in different orders.
        const std::string table_group = std::to_string(random_.below(4));
        const std::string memory_mb = std::to_string(20 + random_.below(200));
        const std::string tenant = std::to_string(random_.below(2));
        std::string line = "demand\ti=" + std::to_string(instance) + "\tcorr=" + id + "\ttype=" + cls.name +
                           "\tgrace_us=" + std::to_string(cls.time_left) + "\tbilling=t" + tenant +
                           "\tmem_mb=" + memory_mb + "\ttable_group=" + table_group;
        if (plan_.costs_known)
            line += "\tplan_cost_us=" + std::to_string(estimate);
        if (cls.ordered)
            line += "\trelation=k" + std::to_string(random_.below(3));
        if (random_.chance(0.1))
            at(now_ + static_cast<Micros>(random_.uniform(0.005, 0.3) * static_cast<double>(cls.time_left)),
               [this, instance, id] {
                   leave(instance, id);
               });
        feed(line);
        arrive_later(c);
    }

    void leave(int instance, const std::string& id) {
        Request& request = requests_[id];
        if (request.final)
            return;
        request.final = true;
        feed("gone\ti=" + std::to_string(instance) + "\tcorr=" + id);
    }

    void plan_faults() {
        const auto at_share = [&](double share) {
            return static_cast<Micros>(share * static_cast<double>(plan_.length));
        };
        const auto engine = [this](std::size_t n) -> Engine& {
            return engines_[n % engines_.size()];
        };
        at(at_share(0.15), [=, this] {
            engine(0).down = true;
        });
        at(at_share(0.25), [=, this] {
            engine(0).down = false;
            engine(0).came_up = now_;
            tell_lists();
        });
        at(at_share(0.3), [=, this] {
            engine(1).hangs = true;
        });
        at(at_share(0.38), [=, this] {
            engine(1).hangs = false;
        });
        at(at_share(0.4), [=, this] {
            engine(2).fails = true;
        });
        at(at_share(0.48), [=, this] {
            engine(2).fails = false;
        });
        at(at_share(0.5), [=, this] {
            engine(3).slowness = 6;
        });
        at(at_share(0.6), [=, this] {
            engine(3).slowness = 1;
        });
        at(at_share(0.55), [this] {
            for (int i = 0; i < plan_.instances; ++i)
                feed("backends_changed\ti=" + std::to_string(i) + "\tversion=2\tform=lost");
        });
        at(at_share(0.58), [this] {
            for (int i = 0; i < plan_.instances; ++i)
                send_list(i, "incr");
        });
        at(at_share(0.65), [=, this] {
            engine(4).state = "fading";
            tell_lists();
        });
        at(at_share(0.75), [=, this] {
            engine(4).state = "off";
            tell_lists();
        });
        at(at_share(0.8), [=, this] {
            engine(4).state = "on";
            engine(4).came_up = now_;
            tell_lists();
        });
    }

    void carry_out(const std::string& line) {
        const std::string name = line.substr(0, line.find('\t'));
        if (name == "yield")
            return;
        const int instance = std::stoi(field(line, "i"));
        if (name == "after")
            at(now_ + std::stoll(field(line, "sleep_for_us")), [this, instance, timer = field(line, "name")] {
                feed("bell\ti=" + std::to_string(instance) + "\tname=" + timer);
            });
        else if (name == "observe")
            at(now_ + 20 * kMillisecond, [this, instance] {
                send_list(instance, "total");
            });
        else if (name == "touch")
            at(now_ + 2 * kMillisecond, [this, instance, engine = std::stoi(field(line, "engine"))] {
                feed("echo\ti=" + std::to_string(instance) + "\tengine=" + std::to_string(engine) +
                     "\ttime_taken_us=2000\treason=done\tfeedback=" + report_of(engine));
            });
        else if (name == "not_now" || name == "abort")
            requests_[field(line, "corr")].final = true;
        else if (name == "stop_attempt")
            stop(field(line, "corr"), std::stoi(field(line, "hop")));
        else if (name == "call_out")
            begin(instance, field(line, "corr"), std::stoi(field(line, "engine")),
                  std::stoll(field(line, "max_wait_us")));
    }

    std::string report_of(int engine) const {
        const Engine& e = engines_[static_cast<std::size_t>(engine - 1)];
        const double busy = std::min(1.0, e.threads / kCores);
        return "concurrent:" + std::to_string(e.threads) + ",load_share:" + std::to_string(busy) +
               ",depth:" + std::to_string(std::max(0.0, e.threads - 2 * kCores));
    }

    void begin(int instance, const std::string& id, int engine, Micros limit) {
        Request& request = requests_[id];
        const RequestClass& cls = plan_.classes[request.cls];
        Engine& e = engines_[static_cast<std::size_t>(engine - 1)];
        Attempt attempt;
        attempt.instance = instance;
        attempt.id = id;
        attempt.number = request.attempts++;
        attempt.engine = engine;
        attempt.cls = request.cls;
        attempt.began = now_;
        attempt.work = request.work;
        const std::size_t index = attempts_.size();
        attempts_by_name_[{id, attempt.number}] = index;
        if (e.down || e.threads > 4 * kCores) {
            attempts_.push_back(attempt);
            const std::string how = e.down ? "econnrefused" : "busy";
            at(now_ + kMillisecond, [this, index, how] {
                end(index, how, false);
            });
            return;
        }
        e.threads += cls.threads;
        const double crowd = std::max(1.0, e.threads / kCores) * e.slowness;
        const auto run = static_cast<Micros>(static_cast<double>(request.work) / cls.threads * crowd);
        attempt.ends = now_ + run + kMillisecond;
        attempts_.push_back(attempt);
        at(attempt.ends, [this, index] {
            answer(index);
        });
        at(now_ + limit, [this, index] {
            end(index, "etimedout", true);
        });
        at(now_ + 500 * kMillisecond, [this, index] {
            note(index);
        });
    }

    void note(std::size_t index) {
        const Attempt& attempt = attempts_[index];
        if (attempt.over || engines_[static_cast<std::size_t>(attempt.engine - 1)].hangs)
            return;
        const double progress = std::min(1.0, static_cast<double>(now_ - attempt.began) /
                                                  static_cast<double>(attempt.ends - attempt.began));
        const bool waits = random_.chance(0.05);
        at(now_ + 500 * kMillisecond, [this, index] {
            note(index);
        });
        feed("update_of\ti=" + std::to_string(attempt.instance) + "\tcorr=" + attempt.id +
             "\thop=" + std::to_string(attempt.number) + "\tengine=" + std::to_string(attempt.engine) +
             "\ttopic=" + (waits ? "3" : "1") + "\tvalue=" + (waits ? "2" : std::to_string(progress)));
    }

    void answer(std::size_t index) {
        const Attempt& attempt = attempts_[index];
        if (attempt.over)
            return;
        const Engine& e = engines_[static_cast<std::size_t>(attempt.engine - 1)];
        if (e.hangs) {
            at(now_ + 200 * kMillisecond, [this, index] {
                answer(index);
            });
            return;
        }
        if (e.down)
            return end(index, "econnreset", true);
        if (e.fails || random_.chance(0.01))
            return end(index, "err", true);
        end(index, "done", true);
    }

    void stop(const std::string& id, int number) {
        const auto found = attempts_by_name_.find({id, number});
        if (found != attempts_by_name_.end())
            at(now_ + kMillisecond, [this, index = found->second] {
                end(index, "ecanceled", true);
            });
    }

    void end(std::size_t index, const std::string& how, bool ran) {
        if (std::exchange(attempts_[index].over, true))
            return;
        const Attempt attempt = attempts_[index];
        Request& request = requests_[attempt.id];
        if (ran)
            engines_[static_cast<std::size_t>(attempt.engine - 1)].threads -=
                plan_.classes[attempt.cls].threads;
        const bool done = how == "done";
        request.final = request.final || done;
        std::string line = "completed\ti=" + std::to_string(attempt.instance) + "\tcorr=" + attempt.id +
                           "\thop=" + std::to_string(attempt.number) +
                           "\tengine=" + std::to_string(attempt.engine) + "\treason=" + how +
                           "\ttime_taken_us=" + std::to_string(now_ - attempt.began) +
                           "\tfinished=" + (request.final ? "1" : "0");
        if (done && plan_.costs_known)
            line += "\tstats=" + std::to_string((static_cast<std::uint64_t>(attempt.work / 1000) << 12) + 30);
        if (plan_.reports_in_answers && (done || how == "busy"))
            line += "\tfeedback=" + report_of(attempt.engine);
        feed(line);
    }

    static constexpr double kCores = 8;
    DayPlan plan_;
    Random random_;
    wire::Host host_;
    DayResult result_;
    Micros now_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_id_ = 0;
    std::map<std::pair<Micros, std::uint64_t>, std::function<void()>> due_;
    std::vector<Engine> engines_;
    std::vector<Attempt> attempts_;
    std::map<std::pair<std::string, int>, std::size_t> attempts_by_name_;
    std::map<std::string, Request> requests_;
};

const std::string kRules =
    R"("rules":{"grace_to_answer_us":20000,"ask_within_us":1000000,"drain_grace_us":1000000,"cold_share":0.3,)"
    R"("warm_up_us":8000000,"overload_factor":3,"overload_for_us":2000000,"extra_free":20,"extra_per_request":0.3,)"
    R"("ratio_span_us":10000000,"turn_gap_us":100000})";
const std::string kClasses =
    R"("classes":[{"name":"lookup","aim_us":600000,"deadline_us":3000000,"effect":"repeatable","value":1},)"
    R"({"name":"report","aim_us":4000000,"aim_stretch":2,"deadline_us":15000000,"effect":"repeatable","late_share":0.5,)"
    R"("value":6},{"name":"load","aim_us":5000000,"deadline_us":20000000,"effect":"by_key","key_scope":"zone",)"
    R"("window_us":8000000,"late_share":0.4,"value":4,"in_turn":true},)"
    R"({"name":"post","aim_us":2000000,"deadline_us":8000000,"effect":"once","late_share":0.5,"value":2}])";

DayPlan plan(std::uint64_t seed, int instances, int engines, const std::string& more) {
    DayPlan day;
    day.seed = seed;
    day.instances = instances;
    day.engines = engines;
    day.settings = "{" + kClasses + "," + kRules + R"(,"kinds":["std"],"zone":"z0","siblings":)" +
                   std::to_string(instances) + "," + more + "}";
    const double scale = engines / 6.0;
    day.classes = {{"lookup", 3'000'000, 60'000, 1, 60 * scale, false},
                   {"report", 15'000'000, 3'000'000, 2, 5 * scale, false},
                   {"load", 20'000'000, 1'500'000, 2, 1.5 * scale, true},
                   {"post", 8'000'000, 400'000, 1, 4 * scale, false}};
    return day;
}

const std::string kExtra =
    R"("extra":{"size_cores":[8],"size_mb":[16384],"width_by_class":[1,2,2,1],"class_load":[false,false,true,false],)"
    R"("yields_to_loads":[false,true,false,false],"largest_share":0.4,)";

// Engines that tell costs and load with their answers, whose work can be called off; tenants with quotas.
DayPlan well_informed() {
    return plan(
        11, 2, 6,
        kExtra +
            R"("grants":true,"lanes_count":true,"cost_in_answers":true,"note_period_us":500000,)"
            R"("when_short":"trim"},"report":{"source":"answers"},)"
            R"("tenants":[{"name":"t0","quota_per_s":30,"share":0.7},{"name":"t1","quota_per_s":20,"share":0.3}],)"
            R"("over_share_worth":0.5,"penalties":{"cross_zone":0.1},)"
            R"("policy_limits":{"cancel":true,"retry_after":true,"max_retry_after_us":2000000,"attempts_cap":4})");
}

// Many instances on few engines that tell nothing and whose work can't be called off.
DayPlan uninformed() {
    DayPlan day = plan(12, 24, 6,
                       kExtra + R"("note_period_us":0,"when_short":"queue"},"report":{"source":"none"},)"
                                R"("policy_limits":{"attempts_cap":3})");
    day.costs_known = false;
    day.reports_in_answers = false;
    return day;
}

// Load is asked for by probes, the list of engines is asked for, engines swap when memory is short.
DayPlan probing() {
    DayPlan day = plan(13, 5, 9,
                       kExtra + R"("grants":true,"note_period_us":500000,"when_short":"swap"},)"
                                R"("report":{"source":"probe"},"discovery":"ask",)"
                                R"("policy_limits":{"cancel":true,"probes":true,"retry_after":true,)"
                                R"("max_retry_after_us":1000000,"attempts_cap":5})");
    day.reports_in_answers = false;
    return day;
}

void expect_day(const DayPlan& plan, std::uint64_t digest) {
    const DayResult day = Day(plan).play();
    std::string counts;
    for (const auto& [name, count] : day.lines)
        counts += " " + name + "=" + std::to_string(count);
    EXPECT_EQ(day.digest, digest) << "decisions differ; lines of this day:" << counts;
    EXPECT_GT(day.lines.at("call_out"), 1000) << counts;
    EXPECT_GT(day.lines.at("not_now"), 20) << counts;
    EXPECT_EQ(Day(plan).play().digest, day.digest) << "the same day played twice";
}

}  // namespace

TEST(DecisionDigest, WellInformedFleet) {
    expect_day(well_informed(), 16058814878735099533ULL);
}

TEST(DecisionDigest, UninformedFleet) {
    expect_day(uninformed(), 8856510750781798434ULL);
}

TEST(DecisionDigest, ProbingFleet) {
    expect_day(probing(), 154647139308454610ULL);
}
