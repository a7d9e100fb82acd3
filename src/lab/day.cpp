#include "lab/day.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

#include "config/settings.hpp"
#include "http/server.hpp"
#include "lab/percentile.hpp"
#include "lab/process.hpp"
#include "net/poll_loop.hpp"
#include "report/report.hpp"
#include "statement/completed.hpp"
#include "statement/server.hpp"

namespace gatetiller::lab {
namespace {

using nlohmann::json;

constexpr Micros kStartPatience = 20 * kSecondMicros;
constexpr Micros kDownAfterDrain = 1500 * kMillisecond;

struct EngineProcess {
    EngineFacts facts;
    std::string file;
    Process process;
    json faults = json::object();
    std::string listed = "on";  // what the list says, once notice was given
    bool lied_about = false;    // the list calls it gone whatever it is
};

struct FrontProcess {
    std::string name, file;
    net::Address address;
    Process process;
};

class Day {
public:
    Day(const Script& script, const DayOptions& options)
        : script_(script),
          options_(options),
          random_(script.seed),
          records_out_(options.folder + "/lab.jsonl"),
          list_(loop_, {}, [this](http::Request& r, http::Server::Reply reply) {
              serve_list(r, std::move(reply));
          }) {}

    Result<DayResult> run() {
        if (auto ready = start(); !ready)
            return Error{ready.error()};
        const auto hears = loop_.on_signals({SIGINT, SIGTERM}, [this](int) {
            interrupted_ = true;
        });
        if (!hears)
            return hears.failure();
        const Micros began = loop_.now();
        Load load(loop_, script_.traffic, settings_.classes, random_.next(), [this](const ClientRecord& r) {
            records_out_ << line_of(r);
        });
        load_ = &load;
        std::vector<Load::Target> targets;
        for (const auto& f : fronts_)
            targets.push_back({f->name, f->address});
        load.start(targets, script_.length);
        for (const Trouble& t : script_.troubles)
            loop_.after(t.at, [this, t] {
                begin(t);
            });
        for (int i = 0; i < script_.kills; ++i) {
            const auto at = static_cast<Micros>(random_.uniform(0, static_cast<double>(script_.length)));
            loop_.after(at, [this, who = random_.below(fronts_.size())] {
                kill_front(*fronts_[who]);
            });
        }
        const Micros end = began + script_.length + script_.settle;
        while (!interrupted_ &&
               (loop_.now() < began + script_.length || (!load.over() && loop_.now() < end))) {
            loop_.turn(50 * kMillisecond);
            if (loop_.now() >= began + script_.length && !calm_)
                calm();
        }
        DayResult result;
        result.seconds = static_cast<double>(loop_.now() - began) / kSecondMicros;
        result.asked = load.asked(), result.outcomes = load.outcomes(),
        result.latencies_ms = load.latencies_ms();
        load_ = nullptr;
        stop();
        if (interrupted_)
            return Error{"interrupted: the day is not judged; its records are in " + options_.folder};
        auto records = load_records({options_.folder});
        if (!records)
            return Error{records.error()};
        result.judgement = judge(*records);
        if (script_.ledger)
            if (auto done = settle(result); !done)
                return Error{done.error()};
        return result;
    }

private:
    Result<bool> start() {
        auto bound = list_.listen(*net::Address::parse("127.0.0.1:0"));
        if (!bound)
            return Error{bound.error()};
        for (const EngineGroup& g : script_.engines)
            for (int i = 0; i < g.count; ++i) {
                auto e = std::make_unique<EngineProcess>();
                e->facts = {g.name + (g.count > 1 ? "-" + std::to_string(i + 1) : ""), "127.0.0.1:0", g.zone,
                            g.kind, 0};
                e->file = options_.folder + "/" + e->facts.name + ".engine.json";
                write_engine(*e, g.machine);
                auto p = Process::start({options_.program, "engine", "--config", e->file},
                                        log_of(e->facts.name), kStartPatience);
                if (!p)
                    return Error{p.error()};
                e->facts.address = p->first_line().substr(7);
                write_engine(*e, g.machine);  // the same port at every start
                e->process = std::move(*p);
                http_[e->facts.name] = std::make_unique<http::Client>(
                    loop_, *net::Address::parse(e->facts.address), http::ClientOptions{});
                engines_.push_back(std::move(e));
            }
        for (int i = 0; i < script_.fronts; ++i) {
            auto f = std::make_unique<FrontProcess>();
            f->name = "front-" + std::to_string(i + 1);
            f->file = options_.folder + "/" + f->name + ".front.json";
            if (auto wrote = write_front(*f, i, "127.0.0.1:0", bound->text()); !wrote)
                return wrote;
            if (auto up = start_front(*f); !up)
                return up;
            f->address = *net::Address::parse(f->process.first_line().substr(7));
            if (auto wrote = write_front(*f, i, f->address.text(), bound->text()); !wrote)
                return wrote;
            fronts_.push_back(std::move(f));
        }
        Facts facts;
        facts.classes = settings_.classes;
        for (const auto& e : engines_)
            facts.engines.push_back(e->facts);
        facts.answer_grace = settings_.response_grace, facts.drain_grace = settings_.drain_grace,
        facts.turn_gap = settings_.key_order_gap;
        facts.ratio_span = settings_.retry_budget_window, facts.extra_free = settings_.retry_budget_base,
        facts.extra_per_request = settings_.retry_budget_ratio;
        records_out_ << line_of(facts);
        // Engines have answered their state, and the list has come, before the first statement.
        for (const Micros until = loop_.now() + script_.lead; loop_.now() < until;)
            loop_.turn(20 * kMillisecond);
        return true;
    }
    std::string log_of(const std::string& name) const {
        return options_.folder + "/" + name + ".log";
    }

    void write_engine(const EngineProcess& e, const json& machine) {
        json j = {{"name", e.facts.name},
                  {"listen", e.facts.address},
                  {"journal", options_.folder + "/" + e.facts.name + ".jsonl"},
                  {"seed", script_.seed + std::hash<std::string>{}(e.facts.name) % 1000000},
                  {"long_poll", "250ms"},
                  {"abandoned_after", "5s"}};
        if (!machine.empty())
            j["machine"] = machine;
        if (script_.ledger)
            j["events"] = events_of(e);
        std::ofstream(e.file) << j.dump(2) << "\n";
    }
    Result<bool> write_front(const FrontProcess& f, int index, const std::string& listen,
                             const std::string& list) {
        json j = script_.front;
        j["name"] = f.name, j["listen"] = {listen}, j["fronts"] = script_.fronts, j["me"] = index;
        j["seed"] = script_.seed * 1000 + static_cast<std::uint64_t>(index);
        j["roster"] = {{"url", "http://" + list + "/engines"},
                       {"every", "200ms"},
                       {"watch_every", "250ms"},
                       {"keep", options_.folder + "/" + f.name + ".list.json"}};
        if (script_.ledger)
            j["ledger"] = {{"file", ledger_of(f)}};
        j["records"] = options_.folder + "/" + f.name + ".jsonl";
        j["engines"] = json::object();
        for (const auto& e : engines_)
            j["engines"][e->facts.name] = {
                {"address", e->facts.address}, {"zone", e->facts.zone}, {"kind", e->facts.kind}};
        std::ofstream(f.file) << j.dump(2) << "\n";
        auto loaded = config::load_front_text(f.file, j.dump(2));
        if (!loaded)
            return Error{"the script's front: " + loaded.error()};
        settings_ = loaded->front.module;
        return true;
    }
    // At its first start the address is waited for; later the same one is taken again.
    Result<bool> start_front(FrontProcess& f) {
        const std::vector<std::string> command = {options_.program, "serve", "--config", f.file};
        auto p = f.address.port == 0 ? Process::start(command, log_of(f.name), kStartPatience)
                                     : Process::spawn(command, log_of(f.name));
        if (!p)
            return Error{p.error()};
        f.process = std::move(*p);
        note("front_started", f.name);
        return true;
    }
    void note(const std::string& event, const std::string& who, const std::string& detail = "") {
        records_out_ << line_of(LabRecord{loop_.now(), event, who, detail});
    }

    // The list of engines, as a discovery service would have it: who runs, told late.
    void serve_list(http::Request& r, http::Server::Reply reply) {
        if (list_down_)
            return reply.send({503, {}, ""});
        json list = {{"engines", json::object()}};
        std::string states;
        for (const auto& e : engines_) {
            const std::string state = e->lied_about ? "off" : e->listed;
            states += (states.empty() ? "" : ",") + e->facts.name + "=" + state;
            if (state == "off")
                continue;
            list["engines"][e->facts.name] = {{"address", e->facts.address},
                                              {"zone", e->facts.zone},
                                              {"kind", e->facts.kind},
                                              {"state", state}};
        }
        const std::string tag = "\"" + std::to_string(std::hash<std::string>{}(states)) + "\"";
        const auto agent = r.headers.find("User-Agent").value_or("");
        http::Response answer = r.headers.find("If-None-Match") == tag
                                    ? http::Response{304, {}, {}}
                                    : statement::json_response(200, list.dump());
        answer.headers.add("ETag", tag);
        if (answer.status == 200 && agent.starts_with("gatetiller/"))
            note("list_served", std::string(agent.substr(11)), states);
        reply.send(answer);
    }
    void list_as(EngineProcess& e, std::string state) {
        const auto late =
            static_cast<Micros>(static_cast<double>(script_.notice) * random_.uniform(0.5, 1.5));
        loop_.after(late, [&e, state] {
            e.listed = state;
        });
    }

    // ---- Ledgers

    std::string ledger_of(const FrontProcess& f) const {
        return options_.folder + "/" + f.name + ".ledger";
    }
    std::string events_of(const EngineProcess& e) const {
        return options_.folder + "/" + e.facts.name + ".events";
    }
    void kill_front(FrontProcess& f) {
        if (calm_ || !f.process.running())
            return;
        f.process.kill();
        ++killed_;
        note("front_killed", f.name);
        later(50 * kMillisecond, [this, &f] {
            if (auto up = start_front(f); !up)
                note("front_failed", f.name, up.error());
        });
    }
    // All ledgers against all journals, twice, from nothing each time.
    Result<bool> settle(DayResult& result) {
        std::string reports[2];
        report::Settlement agreed;
        agreed.clock_slack = 20 * kMillisecond;  // one machine, one clock
        for (int i = 0; i < 2; ++i) {
            store::AccountingStore books;
            if (auto f = books.open(":memory:"))
                return Error{f.text};
            std::int64_t requests = 0, queries = 0;
            for (const auto& f : fronts_) {
                auto c = books.collect_ledger(ledger_of(*f));
                if (!c)
                    return Error{c.error()};
                requests += c->requests;
            }
            for (const auto& e : engines_) {
                std::ifstream lines(events_of(*e));
                auto c = books.collect_journal(e->facts.name, lines);
                if (!c)
                    return Error{c.error()};
                queries += c->events;
            }
            auto calendar = report::Calendar::days(
                "UTC", statement::utc_text(loop_.wall() - 86'400 * kSecondMicros).substr(0, 10),
                statement::utc_text(loop_.wall() + 86'400 * kSecondMicros).substr(0, 10));
            if (!calendar)
                return Error{calendar.error()};
            auto r = report::make_report(books, agreed, std::move(*calendar), {{}, 20});
            if (!r)
                return Error{r.error()};
            reports[i] = report::to_json(*r).dump();
            if (i > 0)
                continue;
            const std::size_t gaps = r->gaps.size();
            r->gaps.clear();  // counted: there is one for each killing
            result.settlement = "ledgers: " + std::to_string(requests) +
                                " requests; journals: " + std::to_string(queries) +
                                " queries; fronts killed " + std::to_string(killed_) + " times, " +
                                std::to_string(gaps) + " gaps stated\n" + report::findings_text(*r);
            result.settled = report::all_explained(*r);
        }
        if (reports[0] != reports[1])
            result.settled = false, result.settlement += "the same run gave two reports\n";
        return true;
    }

    // ---- Troubles

    template <typename T>
    std::vector<T*> struck(std::vector<std::unique_ptr<T>>& all, const Trouble& t, double otherwise) {
        std::vector<T*> chosen;
        for (const std::size_t i : t.on)
            if (i < all.size())
                chosen.push_back(all[i].get());
        if (!chosen.empty())
            return chosen;
        for (const auto& x : all)
            chosen.push_back(x.get());
        for (std::size_t i = chosen.size(); i > 1; --i)
            std::swap(chosen[i - 1], chosen[random_.below(i)]);
        const auto n = static_cast<std::size_t>(
            std::ceil((t.part > 0 ? t.part : otherwise) * static_cast<double>(all.size()) - 1e-9));
        chosen.resize(std::clamp<std::size_t>(n, 1, all.size()));
        return chosen;
    }
    void set_fault(EngineProcess& e, const std::string& key, const json& value) {
        e.faults[key] = value;
        if (value.is_null())
            e.faults.erase(key);
        http_[e.facts.name]
            ->send({"PUT", "/v1/fault", 1, {}, e.faults.dump(), {}}, 5 * kSecondMicros,
                   [](const http::Answer&) {})
            .detach();
    }
    void with_fault(const Trouble& t, const std::vector<EngineProcess*>& engines, const std::string& key,
                    const json& value) {
        for (EngineProcess* e : engines) {
            set_fault(*e, key, value);
            later(t.length, [this, e, key] {
                set_fault(*e, key, nullptr);
            });
        }
    }
    // What ends a trouble happens at the day's end at the latest.
    void later(Micros delay, std::function<void()> then) {
        const auto key = ++last_end_;
        ends_[key] = std::move(then);
        loop_.after(delay, [this, key] {
            if (auto node = ends_.extract(key))
                node.mapped()();
        });
    }
    void calm() {
        calm_ = true;
        for (auto& [key, end] : std::exchange(ends_, {}))
            end();
    }

    void down(EngineProcess& e) {
        if (!e.process.running())
            return;
        e.process.kill();
        note("engine_down", e.facts.name);
        list_as(e, "off");
    }
    void up(EngineProcess& e) {
        if (e.process.running())
            return;
        auto p = Process::spawn({options_.program, "engine", "--config", e.file}, log_of(e.facts.name));
        if (!p)
            return note("engine_failed", e.facts.name, p.error());
        e.process = std::move(*p);
        e.faults = json::object();
        note("engine_up", e.facts.name);
        list_as(e, "on");
    }
    void drain(EngineProcess& e) {
        http_[e.facts.name]
            ->send({"PUT", "/v1/info/state", 1, {}, "\"SHUTTING_DOWN\"", {}}, 5 * kSecondMicros,
                   [](const http::Answer&) {})
            .detach();
        note("engine_drains", e.facts.name);
        list_as(e, "fading");
    }
    void repeat(Micros until, Micros every, const std::function<void()>& what) {
        what();
        const Micros next = loop_.now() + every;
        if (next < until && !calm_)
            loop_.after(every, [this, until, every, what] {
                if (!calm_)
                    repeat(until, every, what);
            });
    }
    template <typename T>
    void hold_still(T& x, const std::string& name, Micros span, const char* stopped, const char* continued) {
        if (!x.process.running())
            return;
        x.process.stop();
        note(stopped, name);
        later(span, [this, &x, name, continued] {
            x.process.go_on();
            note(continued, name);
        });
    }
    // One batch after another over the trouble's length.
    template <typename T>
    void in_batches(const Trouble& t, std::vector<T*> chosen, double all, double batch,
                    const std::function<void(T&)>& what) {
        const auto size = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(batch * all)));
        const std::size_t batches = (chosen.size() + size - 1) / size;
        for (std::size_t i = 0; i < chosen.size(); ++i)
            loop_.after(t.length * static_cast<Micros>(i / size) / static_cast<Micros>(batches),
                        [this, x = chosen[i], what] {
                            if (!calm_)
                                what(*x);
                        });
    }
    void mood(const Trouble& t, const std::function<void(Mood&)>& on, const std::function<void(Mood&)>& off) {
        on(load_->mood);
        later(t.length, [this, off] {
            if (load_)
                off(load_->mood);
        });
    }

    void begin(const Trouble& t) {
        note("trouble", t.name,
             "part " + std::to_string(t.part) + " size " + std::to_string(t.size) + " length " +
                 std::to_string(t.length / 1000) + " ms");
        const auto engines = [&](double otherwise) {
            return struck(engines_, t, otherwise);
        };
        const auto all = static_cast<double>(engines_.size());
        const auto size = [&](double otherwise) {
            return t.size > 0 ? t.size : otherwise;
        };
        const auto seconds = [&](double otherwise) {
            return static_cast<Micros>((t.extra > 0 ? t.extra : otherwise) * kSecondMicros);
        };
        const std::string& n = t.name;
        if (n == "slow" || n == "shared_slow")
            with_fault(t, engines(n == "slow" ? 0.15 : 1), "slow", size(n == "slow" ? 4 : 2));
        else if (n == "hang")
            with_fault(t, engines(0.1), "hang", true);
        else if (n == "fast_errors")
            with_fault(t, engines(0.1), "fast_errors", size(0.6));
        else if (n == "report_late")
            with_fault(t, engines(1), "report_late_s", size(2));
        else if (n == "answer_lost") {
            const auto chosen = engines(0.6);
            if (t.how == "reset")
                with_fault(t, chosen, "lost_resets", true);
            with_fault(t, chosen, "answer_lost", size(0.2));
        } else if (n == "flush") {
            for (EngineProcess* e : engines(size(0.7)))
                set_fault(*e, "flush", true), set_fault(*e, "flush", nullptr);
        } else if (n == "ageing") {
            for (EngineProcess* e : engines(0.3))
                for (int step = 1; step <= 5; ++step)
                    loop_.after(t.length * (step - 1) / 5, [this, e, step, to = size(4)] {
                        if (!calm_)
                            set_fault(*e, "slow", 1 + (to - 1) * step / 5);
                    });
            later(t.length, [this] {
                for (auto& e : engines_)
                    set_fault(*e, "slow", nullptr);
            });
        } else if (n == "crash" || n == "mass_restart") {
            for (EngineProcess* e : engines(n == "crash" ? 0.15 : 0.6)) {
                down(*e);
                later(t.length, [this, e] {
                    up(*e);
                });
            }
        } else if (n == "vanish") {
            for (EngineProcess* e : engines(0.1)) {
                e->process.stop();
                list_as(*e, "off");
                later(t.length, [this, e] {
                    down(*e), up(*e);
                });
            }
        } else if (n == "preempt") {
            for (EngineProcess* e : engines(0.15)) {
                drain(*e);
                later(seconds(2), [this, e] {
                    down(*e);
                });
                later(t.length, [this, e] {
                    down(*e), up(*e);
                });
            }
        } else if (n == "deploy") {
            in_batches<EngineProcess>(t, engines(0.6), all, size(0.1),
                                      [this, wait = seconds(3)](EngineProcess& e) {
                                          drain(e);
                                          later(wait, [this, &e] {
                                              down(e);
                                              later(kDownAfterDrain, [this, &e] {
                                                  up(e);
                                              });
                                          });
                                      });
        } else if (n == "pauses") {
            const auto chosen = engines(0.3);
            repeat(loop_.now() + t.length, seconds(1.5),
                   [this, chosen, span = static_cast<Micros>(size(300) * kMillisecond)] {
                       for (EngineProcess* e : chosen)
                           hold_still(*e, e->facts.name, span, "engine_stopped", "engine_continued");
                   });
        } else if (n == "balancer_stall") {
            const auto chosen = struck(fronts_, t, 0.7);
            repeat(loop_.now() + t.length, seconds(3),
                   [this, chosen, span = static_cast<Micros>(size(800) * kMillisecond)] {
                       for (FrontProcess* f : chosen)
                           hold_still(*f, f->name, span, "front_stopped", "front_continued");
                   });
        } else if (n == "balancer_roll") {
            in_batches<FrontProcess>(t, struck(fronts_, t, 0.7), static_cast<double>(fronts_.size()),
                                     size(0.2), [this, wait = seconds(0.8)](FrontProcess& f) {
                                         f.process.kill();
                                         note("front_killed", f.name);
                                         later(wait, [this, &f] {
                                             if (auto up = start_front(f); !up)
                                                 note("front_failed", f.name, up.error());
                                         });
                                     });
        } else if (n == "list_lies") {
            for (EngineProcess* e : engines(0.2)) {
                e->lied_about = true;
                later(t.length, [e] {
                    e->lied_about = false;
                });
            }
        } else if (n == "discovery_down") {
            list_down_ = true;
            later(t.length, [this] {
                list_down_ = false;
            });
        } else if (n == "burst") {
            mood(
                t,
                [&](Mood& m) {
                    m.rate = size(2);
                },
                [](Mood& m) {
                    m.rate = 1;
                });
        } else if (n == "tenant_burst") {
            const auto& tenants = script_.traffic.tenants;
            if (tenants.empty())
                return;
            auto who = tenants.begin();
            std::advance(who, static_cast<long>(random_.below(tenants.size())));
            double sum = 0;
            for (const auto& [name, share] : tenants)
                sum += share;
            // The others go on as before: the whole rate grows by what this one adds.
            mood(
                t,
                [&](Mood& m) {
                    m.tenant = who->first, m.tenant_rate = size(4),
                    m.rate = 1 + (size(4) - 1) * who->second / sum;
                },
                [](Mood& m) {
                    m.tenant.clear(), m.tenant_rate = m.rate = 1;
                });
        } else if (n == "hot_key") {
            mood(
                t,
                [&](Mood& m) {
                    m.hot_share = size(0.15), m.hot_groups = std::max(1, static_cast<int>(t.extra));
                },
                [](Mood& m) {
                    m.hot_share = 0;
                });
        } else if (n == "heavy_tail") {
            mood(
                t,
                [&](Mood& m) {
                    m.heavy_times = size(15), m.heavy_share = t.extra > 0 ? t.extra : 0.015;
                },
                [](Mood& m) {
                    m.heavy_share = 0;
                });
        } else if (n == "shift") {
            load_->mood.shift = size(0.3);  // for good
        } else if (n == "give_up") {
            mood(
                t,
                [&](Mood& m) {
                    m.short_share = size(0.6), m.short_patience = t.extra > 0 ? t.extra : 0.4,
                    m.short_leaves = t.how == "leave";
                },
                [](Mood& m) {
                    m.short_share = 0;
                });
        }
    }

    void stop() {
        for (auto& f : fronts_)
            f->process.go_on(), f->process.terminate();
        for (const Micros until = loop_.now() + 5 * kSecondMicros; loop_.now() < until;) {
            loop_.turn(20 * kMillisecond);
            if (std::all_of(fronts_.begin(), fronts_.end(), [](auto& f) {
                    return f->process.wait(0);
                }))
                break;
        }
        for (auto& f : fronts_)
            f->process.kill();
        for (auto& e : engines_)
            e->process.kill();
        records_out_.flush();
    }

    const Script& script_;
    const DayOptions& options_;
    net::PollLoop loop_;
    Random random_;
    std::ofstream records_out_;
    http::Server list_;
    PolicySettings settings_;
    std::vector<std::unique_ptr<EngineProcess>> engines_;
    std::vector<std::unique_ptr<FrontProcess>> fronts_;
    std::map<std::string, std::unique_ptr<http::Client>> http_;
    std::map<std::uint64_t, std::function<void()>> ends_;
    std::uint64_t last_end_ = 0;
    Load* load_ = nullptr;
    int killed_ = 0;
    bool list_down_ = false, calm_ = false, interrupted_ = false;
};

}  // namespace

Result<DayResult> run_day(const Script& script, const DayOptions& options) {
    std::error_code error;
    std::filesystem::create_directories(options.folder, error);
    for (const auto& entry : std::filesystem::directory_iterator(options.folder, error))
        if (entry.path().extension() == ".jsonl" || entry.path().extension() == ".log" ||
            entry.path().extension() == ".events" ||
            entry.path().filename().string().find(".ledger") != std::string::npos)
            std::filesystem::remove(entry.path(), error);
    if (error)
        return Error{options.folder + ": " + error.message()};
    return Day(script, options).run();
}

Result<Records> load_records(const std::vector<std::string>& paths) {
    Records records;
    std::set<std::string> files;
    for (const auto& path : paths) {
        if (!std::filesystem::is_directory(path)) {
            files.insert(path);
            continue;
        }
        for (const auto& entry : std::filesystem::directory_iterator(path))
            if (entry.path().extension() == ".jsonl")
                files.insert(entry.path().string());
    }
    for (const auto& file : files) {
        const auto text = config::whole_file(file);
        if (!text)
            return Error{text.error()};
        if (auto read = read_records(file, *text, records); !read)
            return Error{read.error()};
    }
    if (records.facts.classes.empty())
        return Error{"no facts among the records: give the folder of a day"};
    records.sort();
    return records;
}

std::string report_of(const Judgement& j) {
    char text[1024];
    std::snprintf(
        text, sizeof text,
        "statements taken %zu, final answers %zu, attempts %zu (further ones %zu), drains told %zu\n"
        "keyed %zu, bound to places %zu, in turn %zu, engine starts %zu, clients that left %zu, fronts died "
        "under %zu\n"
        "service: worth served %.1f of %.1f asked = %.3f\n",
        j.statements, j.finals, j.attempts, j.further_attempts, j.drains, j.keyed, j.bound, j.in_turn,
        j.cold_starts, j.client_left, j.front_died, j.worth_served, j.worth_asked,
        j.worth_asked > 0 ? j.worth_served / j.worth_asked : 0);
    std::string out = text;
    if (j.violations.empty())
        return out + "all seven rules kept\n";
    std::map<int, int> shown;
    for (const auto& v : j.violations)
        if (++shown[v.rule] <= 3)
            out += "RULE " + std::to_string(v.rule) + " broken by " + v.front + " for " + v.trace + ": " +
                   v.what + "\n" + v.story;
    for (const auto& [rule, n] : shown)
        out += "rule " + std::to_string(rule) + ": broken " + std::to_string(n) + " times\n";
    return out;
}

std::string report_of(const DayResult& r) {
    char text[512];
    std::snprintf(text, sizeof text, "%zu requests in %.1f s; served in ms: p50 %.1f, p90 %.1f, p99 %.1f\n",
                  r.asked, r.seconds, percentile(r.latencies_ms, 0.5), percentile(r.latencies_ms, 0.9),
                  percentile(r.latencies_ms, 0.99));
    std::string out = text;
    for (const auto& [how, n] : r.outcomes)
        out += "  " + how + ": " + std::to_string(n) + "\n";
    return out + report_of(r.judgement) + r.settlement;
}

}  // namespace gatetiller::lab
