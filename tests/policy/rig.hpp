// One front fed by hand: keeps what it sent, answers nothing by itself, and rings its timers.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy/brain.hpp"

namespace gatetiller::testing {

// Four classes on engines of 8 cores: short (0.1 s on one thread), long, keyed and unsafe (each 2 s on two).
inline Settings plain() {
    Settings s;
    const auto add = [&](const char* name, Effect effect, Micros aim, Micros deadline, double threads) {
        ClassSettings c;
        c.name = name, c.effect = effect, c.aim = aim, c.deadline = deadline, c.threads = threads;
        c.aim_stretch = 2, c.late_share = 0.5, c.key_scope = Scope::all, c.window = 5'000'000;
        s.classes.push_back(c);
    };
    add("short", Effect::repeatable, 1'000'000, 4'000'000, 1);
    add("long", Effect::repeatable, 3'000'000, 20'000'000, 2);
    add("keyed", Effect::by_key, 3'000'000, 25'000'000, 2);
    add("unsafe", Effect::once, 3'000'000, 20'000'000, 2);
    s.kinds = {{"std", 8, 16384}};
    s.zone = "z1";
    s.attempts_cap = 3;
    s.may_cancel = true;
    s.grants = s.priorities = true;
    s.largest_share = 0.4;
    s.retry_hints = true;
    s.max_retry_after = 2'000'000;
    s.cold_share = 0.3, s.warm_up = 15'000'000, s.overload_factor = 3, s.overload_for = 2'000'000;
    s.drain_grace = 1'000'000, s.grace_to_answer = 20'000;
    return s;
}

inline std::string nth(const std::string& name, int i) {
    return name + std::to_string(i);
}

inline EngineEntry engine(EngineId id, std::int64_t cell = 0) {
    EngineEntry e;
    e.id = id, e.zone = "z1", e.kind = "std", e.cell = cell;
    return e;
}

// A query of which nothing is estimated.
inline Demand unestimated(const std::string& id, const std::string& type, Micros time_left) {
    Demand d;
    d.id = id, d.type = type, d.time_left = time_left;
    return d;
}

class Rig {
public:
    explicit Rig(Settings s, std::uint64_t seed = 7) : brain(0, seed, std::move(s)) {
        keep(brain.start());
    }

    void at(Micros time) {
        now = time;
    }
    void feed(const Event& event) {
        keep(brain.handle(now, event));
    }
    void list(std::vector<EngineEntry> engines) {
        feed(ListChange{ListForm::total, std::move(engines)});
    }
    void demand(const std::string& id, const std::string& type, const std::string& key = "",
                const std::string& tenant = "") {
        Demand d;
        d.id = id, d.type = type, d.key = key, d.tenant = tenant;
        d.time_left = type == "short" ? 4'000'000 : type == "keyed" ? 25'000'000 : 20'000'000;
        d.cost = type == "short" ? 100'000 : 2'000'000;
        d.memory_mb = 20;
        feed(d);
    }
    void demands(int count, const std::string& name, const std::string& type,
                 const std::string& tenant = "") {
        for (int i = 0; i < count; ++i)
            demand(nth(name, i), type, "", tenant);
    }
    void outcome(const std::string& id, int attempt, EngineId engine, Outcome outcome, bool finished = false,
                 Micros taken = 100'000) {
        Completed c;
        c.id = id, c.attempt = attempt, c.engine = engine, c.outcome = outcome, c.finished = finished;
        c.taken = taken;
        feed(c);
    }
    // Rings timers up to a time; with `calm`, every engine that holds work also says that it lives.
    void run_until(Micros end, bool calm = true) {
        while (!timers.empty() && timers.begin()->first <= end) {
            const auto [due, name] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, due);
            if (calm && !sends.empty())
                feed(Note{sends.back().id, 0, sends.back().engine, NoteTopic::waits, 1});
            feed(Bell{name});
        }
        now = std::max(now, end);
    }
    int refused(const std::string& id) const {
        return count(refusals, id);
    }
    int failed(const std::string& id) const {
        return count(failures, id);
    }
    Micros ended_at(const std::string& id) const {
        return ends.at(id);
    }
    int sends_of(char initial, std::size_t from = 0) const {
        const auto named = [&](const Send& send) {
            return send.id[0] == initial;
        };
        return static_cast<int>(
            std::count_if(sends.begin() + static_cast<std::ptrdiff_t>(from), sends.end(), named));
    }
    std::vector<std::string> sent_ids() const {
        std::vector<std::string> ids;
        for (const Send& send : sends)
            ids.push_back(send.id);
        return ids;
    }

    Brain brain;
    Micros now = 0;
    std::vector<Send> sends;
    std::vector<Cancel> cancels;
    std::vector<Terms> terms;
    std::vector<Action> others;
    std::vector<Refuse> refusals;
    std::vector<Fail> failures;
    std::set<std::pair<Micros, std::int64_t>> timers;

private:
    template <typename T>
    static int count(const std::vector<T>& all, const std::string& id) {
        int n = 0;
        for (const T& one : all)
            n += one.id == id;
        return n;
    }
    void keep(const std::vector<Action>& actions) {
        for (const Action& action : actions) {
            if (const auto* a = std::get_if<Send>(&action))
                sends.push_back(*a);
            else if (const auto* b = std::get_if<Refuse>(&action))
                refusals.push_back(*b), ends[b->id] = now;
            else if (const auto* c = std::get_if<Fail>(&action))
                failures.push_back(*c), ends[c->id] = now;
            else if (const auto* d = std::get_if<Cancel>(&action))
                cancels.push_back(*d);
            else if (const auto* e = std::get_if<Terms>(&action))
                terms.push_back(*e);
            else if (const auto* f = std::get_if<SetTimer>(&action))
                timers.emplace(now + f->delay, f->name);
            else
                others.push_back(action);
        }
    }
    std::map<std::string, Micros> ends;
};

}  // namespace gatetiller::testing
