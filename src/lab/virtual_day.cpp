#include "lab/virtual_day.hpp"

#include <filesystem>
#include <set>
#include <sstream>

#include "config/settings.hpp"
#include "front/front.hpp"
#include "lab/load.hpp"
#include "net/tap.hpp"
#include "report/report.hpp"
#include "sim/virtual_loop.hpp"
#include "statement/completed.hpp"

namespace gatetiller::lab {
namespace {

constexpr Micros kFlush = 50 * kMillisecond;
constexpr Micros kRestart = 40 * kMillisecond;  // from a kill to the next life

constexpr const char* kFront = R"(local g = import 'gatetiller.libsonnet'; g.front('%NAME%') {
  listen: ['127.0.0.1:0'], fronts: %FRONTS%, me: %ME%,
  classes: {
    lookup: g.class('750ms', '4s') { aim_stretch: 1.5 },
    report: g.class('1.5s', '15s') { aim_stretch: 2.5, threads: 3, value: 15, late_share: 0.4 },
    load: g.class('3s', '12s', 'by_key') { threads: 2, key_scope: 'all', window: '25s', late_share: 0.5 },
    post: g.class('1.5s', '8s', 'once') { late_share: 0.5 },
  },
  kinds: { std: g.kind(8, '16GiB') },
  engines: { %ENGINES% },
  facts+: { reports: 'answers', when_short: 'trim' },
  routes: [g.route(c, { source: c + '*' }) for c in ['lookup', 'report', 'load', 'post']],
  roster: { watch_every: '250ms' },
  times: { long_poll: '400ms', abandoned_after: '3s', engine_answer: '4s' },
})";

std::string replaced(std::string text, const std::string& what, const std::string& by) {
    text.replace(text.find(what), what.size(), by);
    return text;
}

class Day {
public:
    explicit Day(const VirtualDayOptions& o)
        : o_(o),
          random_(o.seed),
          names_(random_.next()),
          loop_({random_.next(), 1'793'487'595'000'000, 30, 400}) {}

    Result<VirtualDayResult> run() {
        for (int i = 0; i < o_.engines; ++i)
            if (auto up = add_engine(i); !up)
                return Error{up.error()};
        for (int i = 0; i < o_.fronts; ++i)
            if (auto up = add_front(i); !up)
                return Error{up.error()};
        pass(kSecondMicros);
        Load load(loop_, traffic(), settings_.module.classes, random_.next(), [this](const ClientRecord& r) {
            records_.clients.push_back(r);
        });
        std::vector<Load::Target> targets;
        for (const auto& f : fronts_)
            targets.push_back({f->settings.name, f->settings.listen[0]});
        const auto length = static_cast<Micros>(static_cast<double>(o_.requests) / o_.rate * kSecondMicros);
        for (int i = 0; i < o_.kills; ++i)
            loop_.after(drawn(length), [this, i] {
                kill(*fronts_[static_cast<std::size_t>(i) % fronts_.size()]);
            });
        if (o_.faults)
            for (Micros at = kSecondMicros; at < length; at += drawn(3 * kSecondMicros))
                loop_.after(at, [this] {
                    trouble();
                });
        if (o_.clock_steps)
            for (int i = 0; i < 2; ++i)
                loop_.after(drawn(length), [this] {
                    loop_.step_wall(-static_cast<Micros>(random_.below(3000)) * kMillisecond);
                });
        load.start(targets, length);
        const Micros began = loop_.now();
        if (!loop_.run(
                [&] {
                    return loop_.now() > began + length && load.over();
                },
                length + 60 * kSecondMicros))
            return Error{"the day did not end: " + std::to_string(load.asked()) + " requests were asked"};
        calm_ = true;
        for (auto& e : engines_)
            e->service->set({});
        pass(20 * kSecondMicros);  // engines end what nobody waits for
        result_.asked = load.asked();
        result_.events = loop_.events();
        result_.virtual_seconds = static_cast<double>(loop_.now()) / kSecondMicros;
        for (auto& f : fronts_) {
            f->front.reset();
            (void)f->ledger->finish(loop_.now(), loop_.wall());
            f->ledger.reset();
        }
        if (auto done = settle(); !done)
            return Error{done.error()};
        records_.facts = facts();
        records_.sort();
        result_.judgement = judge(records_);
        return std::move(result_);
    }

private:
    struct EngineNode {
        std::string name;
        net::Address address;
        std::unique_ptr<engine::Service> service;
        std::string events;
    };
    struct FrontNode {
        config::FrontSettings settings;
        std::unique_ptr<net::TapLoop> tap;
        std::unique_ptr<store::LedgerWriter> ledger;
        std::unique_ptr<front::Front> front;
        std::string file;
    };

    Micros drawn(Micros most) {
        return static_cast<Micros>(random_.below(static_cast<std::uint64_t>(most)));
    }
    void pass(Micros span) {
        (void)loop_.run(
            [] {
                return false;
            },
            span);
    }

    Result<bool> add_engine(int i) {
        auto e = std::make_unique<EngineNode>();
        engine::ServiceSettings s;
        s.name = e->name = "e" + std::to_string(i);
        s.listen = *net::Address::parse("127.0.0.1:0");
        s.machine.cores = 8, s.machine.key_window = 25 * kSecondMicros;
        s.machine.when_short = MemoryShortagePolicy::trim;
        s.machine.cancel_stops = i % 3 != 0;  // some don't heed
        s.long_poll = 250 * kMillisecond, s.abandoned_after = 3 * kSecondMicros;
        s.seed = random_.next();
        e->service = std::make_unique<engine::Service>(
            loop_, s,
            [this] {
                return names_.hex(32);
            },
            [this, name = s.name](const engine::Entry& entry) {
                records_.engines.push_back({name, entry});
            },
            [node = e.get()](const statement::Completed& c) {
                node->events += statement::write_completed(c) + "\n";
            });
        auto at = e->service->start();
        if (!at)
            return Error{at.error()};
        e->address = *at;
        engines_.push_back(std::move(e));
        return true;
    }

    Result<bool> add_front(int i) {
        auto f = std::make_unique<FrontNode>();
        const std::string name = "front-" + std::to_string(i + 1);
        std::string engines;
        for (const auto& e : engines_)
            engines += e->name + ": g.engine('" + e->address.text() + "'), ";
        auto text = replaced(replaced(kFront, "%NAME%", name), "%FRONTS%", std::to_string(o_.fronts));
        text = replaced(replaced(std::move(text), "%ME%", std::to_string(i)), "%ENGINES%", engines);
        auto loaded = config::load_front_text(name, text);
        if (!loaded)
            return Error{loaded.error()};
        f->settings = settings_ = loaded->front;
        f->file = o_.folder + "/" + name + ".ledger";
        for (const char* part : {"", "-wal", "-shm", ".lock"})
            std::filesystem::remove(f->file + part);
        f->tap = std::make_unique<net::TapLoop>(loop_, [this, name](const net::TapEvent& e) {
            records_.sockets.push_back(record_of(name, e));
        });
        if (auto up = start(*f); !up)
            return up;
        fronts_.push_back(std::move(f));
        return true;
    }

    Result<bool> start(FrontNode& f) {
        store::LedgerWriterSettings w;
        w.file = f.file, w.front = f.settings.name, w.incarnation = names_.hex(16);
        w.flush_interval = kFlush;
        f.ledger = std::make_unique<store::LedgerWriter>(w);
        f.front = std::make_unique<front::Front>(
            *f.tap, f.settings,
            front::FrontDeps{[this] {
                                 return names_.hex(32);
                             },
                             random_.next(), [](const std::string&) {}, nullptr, nullptr, f.ledger.get()});
        auto bound = f.front->start();
        if (!bound)
            return Error{bound.error()};
        f.settings.listen = *bound;
        records_.lab.push_back({loop_.now(), "front_started", f.settings.name, ""});
        return true;
    }

    void kill(FrontNode& f) {
        if (calm_ || !f.front)
            return;
        f.front.reset();
        f.ledger.reset();  // what waited is gone
        ++result_.killed;
        records_.lab.push_back({loop_.now(), "front_killed", f.settings.name, ""});
        loop_.after(kRestart, [this, &f] {
            if (auto up = start(f); !up)
                broken_ = up.error();
        });
    }

    void trouble() {
        if (calm_)
            return;
        EngineNode& e = *engines_[random_.below(engines_.size())];
        engine::Faults faults;
        switch (random_.below(8)) {
            case 0:
                faults.slow = 3;
                break;
            case 1:
                faults.hang = true;
                break;
            case 2:
                faults.fast_errors = 0.5;
                break;
            case 3:
                faults.answer_lost = 0.3, faults.lost_resets = true;
                break;
            case 4:
                faults.busy = 0.4;
                break;
            case 5:
                faults.reset_before = 0.3;
                break;
            case 6:
                faults.crashed = true;
                break;
            case 7:
                faults.cut = 0.1;
                break;
        }
        const bool crash = faults.crashed;
        e.service->set(faults);
        if (crash)
            records_.lab.push_back({loop_.now(), "engine_down", e.name, ""});
        loop_.after(kSecondMicros + drawn(3 * kSecondMicros), [this, &e, crash] {
            e.service->set({});
            if (crash)
                records_.lab.push_back({loop_.now(), "engine_up", e.name, ""});
        });
    }

    Traffic traffic() const {
        Traffic t;
        t.rate = o_.rate;
        ClassLoad lookup, report, load, post;
        lookup.name = "lookup", lookup.share = 75, lookup.work_ms = 60, lookup.rows = 2;
        report.name = "report", report.share = 8, report.work_ms = 400, report.threads = 3;
        report.memory_mb = 900, report.rows = 20;
        load.name = "load", load.share = 5, load.work_ms = 200, load.threads = 2, load.keyed = true;
        post.name = "post", post.share = 12, post.work_ms = 60, post.rows = 1;
        t.classes = {lookup, report, load, post};
        t.tenants = {{"east", 3}, {"west", 1}};
        t.leave = 0.03, t.abandon = 0.01, t.lost_polls = 0.02;
        return t;
    }

    Facts facts() const {
        Facts f;
        const PolicySettings& m = settings_.module;
        f.classes = m.classes;
        for (const auto& e : engines_)
            f.engines.push_back({e->name, e->address.text(), "here", "std", 0});
        f.answer_grace = m.response_grace, f.drain_grace = m.drain_grace, f.turn_gap = m.key_order_gap;
        f.ratio_span = m.retry_budget_window, f.extra_free = m.retry_budget_base,
        f.extra_per_request = m.retry_budget_ratio;
        return f;
    }

    Result<bool> settle() {
        if (!broken_.empty())
            return Error{"a front did not come up again: " + broken_};
        store::AccountingStore books;
        if (auto f = books.open(":memory:"))
            return Error{f.text};
        for (const auto& f : fronts_)
            if (auto c = books.collect_ledger(f->file); !c)
                return Error{c.error()};
        for (const auto& e : engines_) {
            std::istringstream lines(e->events);
            if (auto c = books.collect_journal(e->name, lines); !c)
                return Error{c.error()};
            std::istringstream again(e->events);
            for (std::string line; std::getline(again, line);)
                result_.logged += statement::read_completed(line)->cpu;
        }
        report::Settlement agreed;
        agreed.zone = "Europe/Budapest";  // the day runs over a month's end there
        agreed.clock_slack = kMillisecond;
        auto calendar = report::Calendar::days(agreed.zone, "2026-10-25", "2026-11-10");
        if (!calendar)
            return Error{calendar.error()};
        auto r = report::make_report(books, agreed, std::move(*calendar), {{}, 20});
        if (!r)
            return Error{r.error()};
        result_.report = report::to_json(*r).dump();
        for (const auto& [key, line] : r->lines)
            result_.charged += line.total_work();
        result_.charged -= r->findings[static_cast<std::size_t>(decide::SettlementFinding::unlogged)].work;
        for (const auto& [front, gap] : r->gaps)
            result_.longest_gap = std::max(result_.longest_gap, gap.to - gap.from);
        result_.gaps = r->gaps.size();
        r->gaps.clear();  // one for each kill
        result_.findings = report::findings_text(*r);
        result_.explained = report::all_explained(*r);
        return true;
    }

    const VirtualDayOptions& o_;
    Random random_, names_;
    sim::VirtualLoop loop_;
    std::vector<std::unique_ptr<EngineNode>> engines_;
    std::vector<std::unique_ptr<FrontNode>> fronts_;
    config::FrontSettings settings_;
    Records records_;
    VirtualDayResult result_;
    std::string broken_;
    bool calm_ = false;
};

}  // namespace

Result<VirtualDayResult> run_virtual_day(const VirtualDayOptions& options) {
    std::error_code error;
    std::filesystem::create_directories(options.folder, error);
    if (error)
        return Error{options.folder + ": " + error.message()};
    return Day(options).run();
}

}  // namespace gatetiller::lab
