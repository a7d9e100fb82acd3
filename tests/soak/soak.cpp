#include "soak/soak.hpp"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <set>

#include "soak/fleet.hpp"
#include "soak/oracle.hpp"

namespace gatetiller::soak {
namespace {

constexpr double kHarsh = 0.3;        // of engines that misbehave: all do, and turn nearly everything away
constexpr std::size_t kSlowEnds = 2;  // one in so many planned restarts has its node's sends fail meanwhile
constexpr std::size_t kCrowd = 200;   // more idle clients than the table of a node has places

// What a trouble does when it begins and when it is over.
class Applied {
public:
    Applied(Fleet& fleet, const Trouble& trouble) : fleet_(fleet), t_(trouble) {
        begin();
    }
    void end();
    bool due(Micros since_begin) const {
        return since_begin >= t_.at + t_.lasts;
    }

private:
    void begin();
    template <typename Do>
    void each_node(Do act) {
        for (const std::size_t n : t_.nodes)
            act(*fleet_.nodes[n % fleet_.nodes.size()]);
    }
    Engine* engine() {
        const auto up = fleet_.engines_up();
        return up.size() > 1 ? up[t_.engine % up.size()] : nullptr;  // one is always left
    }
    void set_links(const LinkFaults& faults);

    Fleet& fleet_;
    const Trouble& t_;
    Engine* struck_ = nullptr;
    std::vector<LinkId> links_;
};

// Of the nodes struck, the links to one engine or to all.
void Applied::set_links(const LinkFaults& faults) {
    if (links_.empty()) {
        const bool all = fleet_.random.chance(0.3);
        const auto up = fleet_.engines_up();
        for (const std::size_t n : t_.nodes)
            for (std::size_t e = 0; e < up.size(); ++e)
                if ((all || e == t_.engine % up.size()) && n < up[e]->links.size())
                    links_.push_back(up[e]->links[n]);
    }
    for (const LinkId link : links_)
        fleet_.proxy.set(link, faults);
}

void Applied::begin() {
    auto& f = fleet_;
    switch (t_.kind) {
        case TroubleKind::engine_misbehaves:
            if (f.random.chance(kHarsh)) {
                for (Engine* e : f.engines_up())
                    e->stand_in->set({.shed = 0.7, .fault = 0.2});
                return;
            }
            if ((struck_ = engine()))
                struck_->stand_in->set({.shed = 0.1,
                                        .fault = 0.1,
                                        .spoilt = 0.1,
                                        .reset = 0.1,
                                        .silent = 0.1,
                                        .doubled = 0.1,
                                        .lost_page = 0.2});
            return;
        case TroubleKind::engine_crashes:
            if ((struck_ = engine()))
                f.crash_engine(*struck_);
            return;
        case TroubleKind::engine_drains:
            if (!(struck_ = engine()))
                return;
            struck_->entry.draining = true;
            return f.names.put(struck_->entry);
        case TroubleKind::engine_joins_cold:
            f.add_engine(true);
            return;
        case TroubleKind::links_late:
            set_links({.late = true});
            for (const LinkId link : links_)
                f.proxy.reset(link);  // so that new ones have to come up
            return;
        case TroubleKind::links_held:
            return set_links({.held = true});
        case TroubleKind::links_half_open:
            return set_links({.half_open = true});
        case TroubleKind::links_trickle:
            return set_links({.trickle = true});
        case TroubleKind::links_reset:
            return set_links({.reset = 0.1});
        case TroubleKind::clients_leave:
        case TroubleKind::clients_reset:
            return each_node([&](Node& n) {
                for (Client& c : n.clients)
                    f.leave(c, n, t_.kind == TroubleKind::clients_reset);
            });
        case TroubleKind::clients_rude:
            return each_node([&](Node& n) {
                for (int i = 0; i < 10 && n.taking; ++i)
                    f.rude_client(n);
            });
        case TroubleKind::clients_crowd:
            if (Node& n = *f.nodes[t_.nodes[0] % f.nodes.size()]; n.taking)
                f.idle_crowd(n, kCrowd);
            return;
        case TroubleKind::names_silent:
            return f.trouble_names(t_.number, lab::NameFaults{.silent = true});
        case TroubleKind::names_slow:
            return f.trouble_names(t_.number, lab::NameFaults{.slow = kSecondMicros});
        case TroubleKind::names_garbled:
            return f.trouble_names(
                t_.number,
                lab::NameFaults{.lost = 0.2, .failure = 0.1, .cut = 0.1, .foreign = 0.1, .old = 0.1});
        case TroubleKind::names_move:
            return each_node([&](Node& n) {
                f.move_names(n);
            });
        case TroubleKind::names_deaf_ports:
            return f.trouble_names(t_.number, lab::NameFaults{.deaf_ports = true});
        case TroubleKind::names_renumbered:
            return f.names.renumber();
        case TroubleKind::node_killed:
            return each_node([&](Node& n) {
                f.kill_node(n);
            });
        case TroubleKind::node_terminated:
        case TroubleKind::node_restart_overlaps:
            return each_node([&](Node& n) {
                if (t_.number % kSlowEnds == 0)
                    (*n.control)->fail(testing::Call::send, ENOBUFS, 900);
                f.terminate_node(n, t_.kind == TroubleKind::node_restart_overlaps);
            });
        case TroubleKind::node_stopped:
            return each_node([&](Node& n) {
                f.stop_node(n);
            });
        case TroubleKind::node_reloaded_often:
            return each_node([&](Node& n) {
                for (int i = 0; i < 5; ++i)
                    f.reload_node(n, false);
            });
        case TroubleKind::node_config_half_written:
            return each_node([&](Node& n) {
                f.reload_node(n, true);
            });
        case TroubleKind::node_signals_in_series:
            return each_node([&](Node& n) {
                f.signal_in_series(n);
            });
        case TroubleKind::calls_fail:
            return each_node([&](Node& n) {
                (*n.control)->fail(static_cast<testing::Call>(t_.call), t_.error, t_.per_mille);
            });
        case TroubleKind::transfers_short:
            return each_node([&](Node& n) {
                (*n.control)->short_per_mille = 500;
            });
        case TroubleKind::wall_clock_steps:
            return each_node([&](Node& n) {
                (*n.control)->wall_offset_us += t_.seconds * kSecondMicros;
            });
        case TroubleKind::log_unwritable:
            return each_node([&](Node& n) {
                (*n.control)->fail(testing::Call::write, t_.number % 2 == 0 ? ENOSPC : EIO);
            });
    }
}

void Applied::end() {
    auto& f = fleet_;
    switch (t_.kind) {
        case TroubleKind::engine_misbehaves:
            for (auto& e : f.engines)
                e->stand_in->set({});
            return;
        case TroubleKind::engine_crashes:
            if (struck_)
                f.add_engine(true);  // it comes back cold, as another
            return;
        case TroubleKind::engine_drains:
            if (struck_)
                f.remove_engine(*struck_), f.add_engine(true);
            return;
        case TroubleKind::links_late:
        case TroubleKind::links_held:
        case TroubleKind::links_half_open:
        case TroubleKind::links_trickle:
        case TroubleKind::links_reset:
            return set_links({});
        case TroubleKind::clients_crowd:
            return f.drop_crowd();
        case TroubleKind::names_silent:
        case TroubleKind::names_slow:
        case TroubleKind::names_garbled:
        case TroubleKind::names_deaf_ports:
            return f.trouble_names(t_.number, std::nullopt);
        case TroubleKind::node_stopped:
            return each_node([&](Node& n) {
                f.continue_node(n);
            });
        case TroubleKind::node_terminated:
        case TroubleKind::node_restart_overlaps:
            if (t_.number % kSlowEnds != 0)
                return;
            return each_node([&](Node& n) {
                (*n.control)->of(testing::Call::send).per_mille = 0;
            });
        case TroubleKind::node_config_half_written:
            return each_node([&](Node& n) {
                f.write_config(n);
            });  // whole, without a second signal
        case TroubleKind::calls_fail:
            return each_node([&](Node& n) {
                (*n.control)->of(static_cast<testing::Call>(t_.call)).per_mille = 0;
            });
        case TroubleKind::transfers_short:
            return each_node([&](Node& n) {
                (*n.control)->short_per_mille = 0;
            });
        case TroubleKind::log_unwritable:
            return each_node([&](Node& n) {
                (*n.control)->of(testing::Call::write).per_mille = 0;
            });
        case TroubleKind::engine_joins_cold:
        case TroubleKind::clients_leave:
        case TroubleKind::clients_reset:
        case TroubleKind::clients_rude:
        case TroubleKind::names_move:
        case TroubleKind::names_renumbered:
        case TroubleKind::node_killed:
        case TroubleKind::node_reloaded_often:
        case TroubleKind::node_signals_in_series:
        case TroubleKind::wall_clock_steps:
            return;
    }
}

std::vector<Trouble> played(const SoakOptions& options) {
    auto plan = draw_plan(options.plan);
    std::erase_if(plan, [&](const Trouble& t) {
        return std::find(options.without.begin(), options.without.end(), t.number) != options.without.end();
    });
    std::stable_sort(plan.begin(), plan.end(), [](const Trouble& a, const Trouble& b) {
        return a.at < b.at;
    });
    return plan;
}

}  // namespace

Result<SoakResult> run_soak(const SoakOptions& options) {
    std::error_code failed;
    std::filesystem::remove_all(options.folder, failed);
    std::filesystem::create_directories(options.folder, failed);
    if (failed)
        return Error{options.folder + ": " + failed.message()};
    SoakResult result;
    Fleet fleet(options, result);
    if (const auto begun = fleet.begin(); !begun)
        return begun.failure();
    const auto plan = played(options);
    const Micros began = fleet.loop.now();
    std::vector<std::unique_ptr<Applied>> lasting;
    for (std::size_t next = 0; fleet.loop.now() - began < options.plan.length || !lasting.empty();) {
        fleet.turn();
        const Micros since = fleet.loop.now() - began;
        for (; next < plan.size() && plan[next].at <= since; ++next)
            lasting.push_back(std::make_unique<Applied>(fleet, plan[next]));
        std::erase_if(lasting, [&](const auto& applied) {
            if (!applied->due(since))
                return false;
            applied->end();
            return true;
        });
    }
    for (auto& node : fleet.nodes)
        (*node->control)->heal();
    fleet.quiesce();
    Oracle oracle(fleet, result);
    oracle.look_at_processes();
    fleet.end_all();
    oracle.look_at_logs();
    oracle.judge();
    return result;
}

std::string SoakResult::text() const {
    return "asked " + std::to_string(asked) + ", answered " + std::to_string(answered) + ", served " +
           std::to_string(served) + ", attempts " + std::to_string(attempts) + ", starts " +
           std::to_string(starts) + ", resets " + std::to_string(link_resets) + ", failed calls " +
           std::to_string(calls_failed) + ", crossed " + std::to_string(crossed) + ", findings " +
           std::to_string(findings.size());
}

}  // namespace gatetiller::soak
