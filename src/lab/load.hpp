// Clients of a day: an open loop of statements by class and tenant, each client with its patience, its
// retries, and its ways of leaving. What they see is recorded.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "base/random.hpp"
#include "lab/records.hpp"
#include "statement/client.hpp"

namespace gatetiller::lab {

struct ClassLoad {
    std::string name;  // as the front's routes know it: the statement's source begins with it
    double share = 1;  // of the statements
    double work_ms = 100, cv = 1, threads = 1, io = 0.3, memory_mb = 64, memory_cv = 0.5;
    int rows = 3, groups = 20;
    bool load = false, yields = false, keyed = false;
    double keys = 0;  // so many keys in turn, for classes that keep their order; 0: a key of its own for each
};

struct Traffic {
    double rate = 50;  // statements a second
    std::vector<ClassLoad> classes;
    std::map<std::string, double> tenants;         // share of each
    double patience_low = 0.8, patience_high = 1;  // of the class's deadline
    int retries = 2;
    Micros retry_wait = 300 * kMillisecond;
    double honour = 0.5;       // share of clients that wait as Retry-After says
    double leave = 0;          // share that cancels early, with DELETE
    double abandon = 0;        // share that stops polling early, without a word
    double lost_polls = 0;     // share that loses a poll's answer and asks again
    double estimate_cv = 0.5;  // of estimates around the truth; negative: none are sent
};

// What troubles do to the load; all 1 or 0 on a quiet day.
struct Mood {
    double rate = 1;
    std::string tenant;  // whose rate is multiplied
    double tenant_rate = 1;
    double hot_share = 0;  // of statements that read one of `hot_groups`
    int hot_groups = 1;
    double heavy_share = 0, heavy_times = 1;     // of the class with the most statements
    double shift = 0;                            // share of statements that turn into the heaviest class
    double short_share = 0, short_patience = 1;  // clients who leave or come with little time
    bool short_leaves = false;
};

class Load {
public:
    struct Target {
        std::string name;
        net::Address address;
    };
    Load(net::Loop& loop, Traffic traffic, std::vector<ClassSettings> classes, std::uint64_t seed,
         std::function<void(const ClientRecord&)> record);
    ~Load();

    void start(std::vector<Target> fronts, Micros length);
    Mood mood;
    // The plain layer before the fronts: clients go elsewhere for a while once a front was found dead.
    bool over() const {
        return stopped_ && tries_.empty() && waiting_ == 0;
    }
    std::size_t asked() const {
        return requests_;
    }
    const std::map<std::string, std::size_t>& outcomes() const {
        return outcomes_;
    }
    const std::vector<double>& latencies_ms() const {
        return latencies_;
    }

private:
    struct Request;
    struct Try;
    void arrive();
    void begin(std::shared_ptr<Request> request);
    void end(std::uint64_t number, const statement::ClientResult& result);
    void close(std::uint64_t number);
    void again(std::shared_ptr<Request> request, Micros wait);
    void note(const char* event, const Try& t, std::string detail = "");
    std::size_t choose_front();
    const ClassSettings* settings_of(std::size_t cls) const;  // nothing where the front doesn't know it
    std::shared_ptr<Request> draw();

    net::Loop& loop_;
    Traffic traffic_;
    std::vector<ClassSettings> classes_;
    Random random_;
    std::function<void(const ClientRecord&)> record_;
    std::vector<Target> fronts_;
    std::vector<std::unique_ptr<http::Client>> clients_;
    std::vector<Micros> dead_until_;
    std::map<std::uint64_t, std::unique_ptr<Try>> tries_;
    std::vector<std::unique_ptr<Try>> ended_;
    std::map<std::string, std::size_t> outcomes_;
    std::vector<double> latencies_;
    std::size_t requests_ = 0, waiting_ = 0;
    std::uint64_t last_try_ = 0;
    Micros until_ = 0, next_ = 0;
    bool stopped_ = false;
};

}  // namespace gatetiller::lab
