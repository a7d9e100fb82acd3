// Case 2: a zone is cut off for a second; when it is back, the answers to one client's requests come in
// together. The client reads all the time, and each of its requests must get its answer.
#include "rig.hpp"
#include "settings.hpp"

namespace {

using namespace rig;

constexpr std::size_t kNodes = 3;  // front nodes, which share one core
constexpr int kMemoryMb = 32;
constexpr int kOpen = 32;          // requests that a client keeps open on its one connection
constexpr std::size_t kPages = 8;  // of 5,940 bytes each: 47,520 bytes, of 48,000 that a result may hold
constexpr double kNetworkMs = 1;   // each way between front node and engine
constexpr std::int64_t kFirstCutMs = 3'000, kCutEveryMs = 6'000, kCutMs = 1'000, kCuts = 2;
constexpr double kRunMs = 14'000;

std::string page_of(const std::string& id, std::size_t page) {
    std::string rows;
    for (int row = 0; row < 99; ++row) {
        std::string line = id + "\tpage " + std::to_string(page) + "\trow " + std::to_string(row);
        line.resize(59, '.');
        rows += line + "\n";
    }
    return rows;
}

// An engine in a process of its own. What it sends and receives is held back while its zone is cut off.
class EngineProcess {
public:
    EngineProcess(Loop& loop, Engine& engine, std::int64_t start, unsigned seed)
        : loop_(loop), engine_(engine), start_(start), random_(seed) {
        engine_.on_do = [this](const Do& request) {
            when_reachable(kNetworkMs, [this, request] {
                run(request);
            });
        };
        engine_.on_other = [this](Engine&, const std::shared_ptr<Stream>& stream,
                                  const std::vector<std::string>& words) {
            if (words[0] != "page" || words.size() != 3)
                return;
            const auto at = static_cast<std::size_t>(std::strtoul(words[2].c_str(), nullptr, 10));
            send(stream, resp_array({words[1], "PART", "at=" + words[2], page_of(words[1], at)}));
        };
    }

private:
    // When the network delivers what is sent now.
    std::int64_t reachable_at(std::int64_t at) const {
        if (!trouble() || engine_.zone != "west")
            return at;
        for (std::int64_t cut = 0; cut < kCuts; ++cut) {
            const std::int64_t from = start_ + (kFirstCutMs + cut * kCutEveryMs) * 1000;
            if (at >= from && at < from + kCutMs * 1000)
                return from + kCutMs * 1000;
        }
        return at;
    }
    void when_reachable(double ms, std::function<void()> call) {
        const std::int64_t at = reachable_at(now_us() + static_cast<std::int64_t>(ms * 1000));
        loop_.after_ms(static_cast<double>(at - now_us()) / 1000, std::move(call));
    }
    // Messages of one connection that are sent in a row go out in one piece.
    void send(const std::shared_ptr<Stream>& stream, const std::string& message) {
        std::string& waiting = waiting_[stream.get()];
        waiting += message;
        if (waiting.size() > message.size())
            return;
        when_reachable(2 * kNetworkMs, [this, stream] {
            stream->send(waiting_[stream.get()]);
            waiting_.erase(stream.get());
        });
    }
    void run(const Do& request) {
        record("%s (%s) runs %s", engine_.name.c_str(), engine_.zone.c_str(), request.id.c_str());
        const double work_ms = 200 + static_cast<double>(random_() % 200);
        loop_.after_ms(work_ms, [this, request] {
            if (*request.given_up)
                return;
            engine_.open.erase({request.stream.get(), request.id});
            send(request.stream,
                 resp_array({request.id, "HIT",
                             "chunks=" + std::to_string(kPages) +
                                 ",spent=200,wanted=32,gauges=inflight:4;queue:0;x1:0.1;x0:0.1",
                             page_of(request.id, 0)}));
        });
    }

    Loop& loop_;
    Engine& engine_;
    std::int64_t start_;
    std::mt19937_64 random_;
    std::map<Stream*, std::string> waiting_;
};

std::string settings() {
    std::string text = small_deployment();
    const auto replace = [&](const std::string& from, const std::string& to) {
        const auto at = text.find(from);
        if (at == std::string::npos)
            throw CannotRun("settings without " + from);
        text.replace(at, from.size(), to);
    };
    replace("\"azs\":[\"east\"]", "\"azs\":[\"east\",\"west\"]");
    replace("\"name\":\"report\"", "\"azs_open\":[\"west\"],\"name\":\"report\"");
    replace("\"width_by_class\":[1,3,2]", "\"width_by_class\":[1,1,2]");
    replace("\"size_cores\":[8]", "\"size_cores\":[16]");
    return text;
}

bool held(const std::string& folder) {
    Loop loop;
    std::mt19937_64 random(4);
    NameService names(loop);
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 8; ++i) {
        engines.push_back(std::make_unique<Engine>());
        engines.back()->name = "s" + std::to_string(i);
        engines.back()->zone = i % 2 == 0 ? "east" : "west";
        engines.back()->listen();
        names.engines.push_back(engines.back().get());
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (std::size_t i = 0; i < kNodes; ++i)
        nodes.push_back(std::make_unique<Node>(
            NodeSettings{"n" + std::to_string(i), 256, kMemoryMb, 0.5, settings(), 0}, folder));
    const std::int64_t start = now_us();
    std::vector<Child> children;
    for (std::size_t i = 0; i < engines.size(); ++i)
        children.push_back(Child::start([&, i] {
            Loop own;
            engines[i]->start(own);
            EngineProcess process(own, *engines[i], start, static_cast<unsigned>(i));
            own.run(120'000);
        }));
    for (const auto& engine : engines)
        engine->close_listener();
    for (auto& node : nodes)
        node->start_ready(loop, names);

    std::map<std::string, int> tally;
    std::vector<std::shared_ptr<Client>> clients;
    std::vector<std::shared_ptr<Client>> current(nodes.size());
    bool asking = true;
    const auto ask = [&](std::size_t i) {
        auto& client = current[i];
        if (!client || !client->stream->open()) {
            clients.push_back(Client::connect(loop, nodes[i]->port, "client of n" + std::to_string(i)));
            client = clients.back();
            record("%s connects", client->name.c_str());
        }
        while (asking && client->open.size() < kOpen) {
            const std::string id = hex(random, 16);
            ++tally["asked"];
            record("%s asks %s", client->name.c_str(), id.c_str());
            client->ask({{"route", "report"},
                         {"trace", id},
                         {"patience", "20000"},
                         {"customer", "aso-east"},
                         {"weight", "200.0"},
                         {"heap_mb", "32"}},
                        "SELECT a, b, c FROM sales_" + std::to_string(random() % 20) + ".orders",
                        [&tally, id, name = client->name](const Answer& answer) {
                            ++tally[answer.how];
                            record("%s got %s: %s, %zu bytes", name.c_str(), id.c_str(), answer.how.c_str(),
                                   answer.rows.size());
                        });
        }
    };
    std::function<void()> keep = [&] {
        loop.after_ms(10, keep);
        for (std::size_t i = 0; i < nodes.size(); ++i)
            ask(i);
    };
    keep();
    for (std::int64_t cut = 0; trouble() && cut < kCuts; ++cut) {
        const double at = static_cast<double>(start - now_us()) / 1000 + kFirstCutMs + cut * kCutEveryMs;
        loop.after_ms(at, [] {
            record("zone west is cut off");
        });
        loop.after_ms(at + kCutMs, [] {
            record("zone west is back");
        });
    }
    const auto all_alive = [&] {
        return std::all_of(nodes.begin(), nodes.end(), [](const auto& node) {
            return node->alive();
        });
    };
    const auto open = [&] {
        std::size_t count = 0;
        for (const auto& client : current)
            count += client->open.size();
        return count;
    };
    loop.run(kRunMs, [&] {
        return !all_alive();
    });
    asking = false;
    loop.run(22'000, [&] {
        return open() == 0 || !all_alive();
    });
    record(
        "asked %d, served %d, refused %d, failed %d, lost by the end of the connection %d, not answered %zu",
        tally["asked"], tally["served"], tally["refused"], tally["failed"], tally["lost"], open());
    if (tally["served"] < 500)
        throw CannotRun("too few requests were served");
    return all_alive() && tally["lost"] == 0 && open() == 0;
}

}  // namespace

int main(int argc, char** argv) {
    return rig::main_of(argc, argv, held);
}
