// fault_soak: seeds of the fault soak, one after another or several at once, with a table of what they found.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <mutex>
#include <thread>

#include "soak/shrink.hpp"
#include "soak/soak.hpp"

namespace {

using namespace gatetiller;

struct Options {
    std::uint64_t first = 1, seeds = 0;
    double minutes = 0, seconds = 12;
    int jobs = 1;
    bool shrink = false, quiet = false;
    std::string table, deploy;
    soak::SoakOptions soak;
};

std::string run_line(const std::string& deploy_file) {
    std::ifstream in(deploy_file);
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("run = \""))
            return line.substr(7, line.rfind('"') - 7);
    return "";
}

// The seeds still to be played, and what they came to.
class Campaign {
public:
    explicit Campaign(Options options) : options_(std::move(options)), next_(options_.first) {
        if (options_.minutes > 0)
            ends_ = std::time(nullptr) + static_cast<std::time_t>(options_.minutes * 60);
    }
    int run() {
        std::vector<std::thread> workers;
        for (int job = 0; job < options_.jobs; ++job)
            workers.emplace_back([this] {
                work();
            });
        for (auto& worker : workers)
            worker.join();
        std::printf("%zu seeds, %zu with findings\n", played_, failed_);
        return failed_ == 0 ? 0 : 1;
    }

private:
    bool another(std::uint64_t& seed) {
        const std::lock_guard lock(mutex_);
        seed = next_;
        if (options_.seeds > 0 && seed >= options_.first + options_.seeds)
            return false;
        if (ends_ > 0 && std::time(nullptr) >= ends_)
            return false;
        if (options_.seeds == 0 && ends_ == 0 && seed > options_.first)
            return false;
        ++next_;
        return true;
    }
    void work() {
        for (std::uint64_t seed = 0; another(seed);)
            play(seed);
    }
    void play(std::uint64_t seed) {
        auto soak = options_.soak;
        soak.plan.seed = seed;
        soak.folder += "/seed-" + std::to_string(seed);
        const auto plan = soak::text_of(soak.plan, soak::draw_plan(soak.plan));
        say(plan);
        const auto result = soak::run_soak(soak);
        if (!result)
            return tell(seed, "could not run: " + result.error(), true);
        std::string text = result->text() + "\n";
        for (const auto& finding : result->findings)
            text += "  " + finding.kind + ": " + finding.what + "\n";
        tell(seed, text, !result->findings.empty());
        if (options_.shrink && !result->findings.empty())
            say("seed " + std::to_string(seed) + " shrunk:\n" +
                soak::shrink(soak, result->findings.front().kind));
    }
    void say(const std::string& text) {
        const std::lock_guard lock(mutex_);
        if (options_.quiet)
            return;
        std::fputs(text.c_str(), stdout);
        std::fflush(stdout);
    }
    void tell(std::uint64_t seed, const std::string& text, bool failed) {
        const std::lock_guard lock(mutex_);
        ++played_, failed_ += failed;
        std::printf("seed %llu %s: %s", static_cast<unsigned long long>(seed), failed ? "FAILED" : "passed",
                    text.c_str());
        std::fflush(stdout);
        if (!options_.table.empty())
            std::ofstream(options_.table, std::ios::app)
                << "| " << seed << " | " << (failed ? "failed" : "passed") << " | "
                << text.substr(0, text.find('\n')) << " |\n";
    }

    Options options_;
    std::mutex mutex_;
    std::uint64_t next_;
    std::time_t ends_ = 0;
    std::size_t played_ = 0, failed_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    Options o;
    o.soak.program = GATETILLER_PROGRAM, o.soak.shim = GATETILLER_FAULT_SHIM;
    o.soak.folder = "/tmp/fault-soak-" + std::to_string(::getpid());
    o.deploy = GATETILLER_DEPLOY;
    CLI::App app{
        "fault_soak: front nodes as real processes under overlapping troubles, judged by their invariants"};
    app.add_option("--seed", o.first, "the first seed")->capture_default_str();
    app.add_option("--seeds", o.seeds, "how many seeds; 0: one, or as many as --minutes allow");
    app.add_option("--minutes", o.minutes, "begin no seed after so long");
    app.add_option("--jobs", o.jobs, "seeds at once")->check(CLI::Range(1, 16))->capture_default_str();
    app.add_option("--nodes", o.soak.plan.nodes, "front nodes")
        ->check(CLI::Range(1, 40))
        ->capture_default_str();
    app.add_option("--engines", o.soak.plan.engines, "engines at the beginning")
        ->check(CLI::Range(2, 12))
        ->capture_default_str();
    app.add_option("--troubles", o.soak.plan.troubles, "troubles of a plan")
        ->check(CLI::Range(0, 200))
        ->capture_default_str();
    app.add_option("--seconds", o.seconds, "length of a plan")
        ->check(CLI::Range(4.0, 3600.0))
        ->capture_default_str();
    app.add_option("--rate", o.soak.rate, "requests a second at each node")->capture_default_str();
    app.add_option("--noise", o.soak.noise,
                   "share of the engines' messages with an unreadable byte in a field")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    app.add_option("--without", o.soak.without, "numbers of troubles to leave out")->delimiter(',');
    app.add_option("--planted", o.soak.planted,
                   "names of planted faults; the program must be built with them");
    app.add_option("--program", o.soak.program, "the program of the nodes")->capture_default_str();
    app.add_option("--folder", o.soak.folder, "for configurations and logs")->capture_default_str();
    app.add_option("--table", o.table, "append a row of Markdown for each seed to this file");
    app.add_flag("--shrink", o.shrink, "play a failing seed again with fewer troubles, as long as it fails");
    app.add_flag("--quiet", o.quiet, "don't print the plans");
    app.footer("Example: fault_soak --seed 100 --seeds 20 --jobs 2");
    CLI11_PARSE(app, argc, argv);
    o.soak.plan.length = static_cast<Micros>(o.seconds * kSecondMicros);
    if (const auto run = run_line(o.deploy); !run.empty())
        o.soak.run = run;
    return Campaign(std::move(o)).run();
}
