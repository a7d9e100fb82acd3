// Case 1: noise hits one character of a good answer, the number of its pages. The client must not get a part
// of the result as the whole of it.
#include "rig.hpp"
#include "settings.hpp"

namespace {

using namespace rig;

constexpr double kRunMs = 20'000;
constexpr double kAskEveryMs = 40;
constexpr int kNoiseEvery = 5;  // one of so many answers

// The result of a statement: it depends on the statement alone. 2 to 5 pages of whole rows.
std::vector<std::string> pages_of(const std::string& statement) {
    std::mt19937_64 random(std::hash<std::string>{}(statement));
    std::vector<std::string> pages(2 + random() % 4);
    for (std::size_t page = 0; page < pages.size(); ++page)
        for (int row = 0; row < 20; ++row)
            pages[page] +=
                "p" + std::to_string(page) + "\trow " + std::to_string(row) + "\t" + hex(random, 16) + "\n";
    return pages;
}
std::string whole(const std::vector<std::string>& pages) {
    std::string rows;
    for (const auto& page : pages)
        rows += page;
    return rows;
}

struct Tally {
    int asked = 0, served_whole = 0, served_part = 0, refused = 0, failed = 0, lost = 0, spoilt = 0;
};

// An engine that serves each request after 15 ms, page by page. Of the answers to `do`, one in kNoiseEvery is
// spoilt by noise: one bit of the only digit in `chunks` is flipped (0x40), so that it is no digit any more.
// After it the connection serves no further use: the engine ends it 100 ms later.
class QueryEngine {
public:
    QueryEngine(Loop& loop, std::string name, Tally& tally) : loop_(loop), tally_(tally) {
        engine.name = std::move(name);
        engine.start(loop);
        engine.on_do = [this](const Do& request) {
            record("%s run %s: %s", engine.name.c_str(), request.id.c_str(), request.body.c_str());
            loop_.after_ms(15, [this, request] {
                answer(request);
            });
        };
        engine.on_other = [this](Engine&, const std::shared_ptr<Stream>& stream,
                                 const std::vector<std::string>& words) {
            if (words[0] == "page" && words.size() == 3)
                page(stream, words[1], words[2]);
        };
    }
    Engine engine;

private:
    void answer(const Do& request) {
        if (*request.given_up || dead_.contains(request.stream))
            return;
        const auto pages = pages_of(request.body);
        results_[request.id] = pages;
        std::string chunks = std::to_string(pages.size());
        const bool noise = trouble() && ++answers_ % kNoiseEvery == 0;
        if (noise) {
            chunks[0] = static_cast<char>(chunks[0] ^ 0x40);
            ++tally_.spoilt;
            dead_.insert(request.stream);
            loop_.after_ms(100, [this, stream = request.stream] {
                engine.give_up_all(stream.get());
                dead_.erase(stream);
                engine.streams.erase(stream);
                stream->shut();
            });
        }
        record("%s answers %s: HIT chunks=%s, page 0 of %zu pages%s", engine.name.c_str(), request.id.c_str(),
               chunks.c_str(), pages.size(), noise ? " (noise in chunks)" : "");
        Engine::answer(request, "HIT",
                       "chunks=" + chunks + ",spent=15,wanted=32,gauges=inflight:1;queue:0;x1:0.1;x0:0.1",
                       pages[0]);
    }
    void page(const std::shared_ptr<Stream>& stream, const std::string& id, const std::string& number) {
        const auto found = results_.find(id);
        const auto at = static_cast<std::size_t>(std::strtoul(number.c_str(), nullptr, 10));
        if (dead_.contains(stream))
            return;
        if (found == results_.end() || at >= found->second.size())
            return stream->send(resp_array({id, "FAULT", "-", "no such page"}));
        stream->send(resp_array({id, "PART", "at=" + number, found->second[at]}));
    }

    Loop& loop_;
    Tally& tally_;
    std::map<std::string, std::vector<std::string>> results_;
    std::set<std::shared_ptr<Stream>> dead_;
    int answers_ = 0;
};

bool held(const std::string& folder) {
    Loop loop;
    std::mt19937_64 random(1);
    Tally tally;
    NameService names(loop);
    std::vector<std::unique_ptr<QueryEngine>> engines;
    for (int i = 0; i < 4; ++i) {
        engines.push_back(std::make_unique<QueryEngine>(loop, "s-" + std::to_string(i), tally));
        names.engines.push_back(&engines.back()->engine);
    }
    Node node({"n0", 256, 64, 0.5, small_deployment()}, folder);
    node.start_ready(loop, names);

    const auto client = Client::connect(loop, node.port, "client");
    const std::int64_t start = now_us();
    std::function<void()> ask = [&] {
        if (now_us() - start > static_cast<std::int64_t>(kRunMs * 1000) || client->open.size() >= 32)
            return;
        loop.after_ms(kAskEveryMs, ask);
        const std::string id = hex(random, 16);
        const std::string statement =
            "SELECT a, b, c FROM sales_" + std::to_string(random() % 20) + ".orders -- " + id;
        ++tally.asked;
        record("client asks %s: %s", id.c_str(), statement.c_str());
        client->ask({{"route", "lookup"},
                     {"trace", id},
                     {"patience", "4000"},
                     {"customer", "aso-east"},
                     {"weight", "15.0"},
                     {"heap_mb", "32"}},
                    statement, [&, id, statement](const Answer& answer) {
                        const auto pages = pages_of(statement);
                        const std::string rows = whole(pages);
                        const bool part = answer.how == "served" && answer.rows != rows;
                        record("client got %s: %s, %zu of %zu bytes%s", id.c_str(), answer.how.c_str(),
                               answer.rows.size(), rows.size(), part ? " - NOT the whole result" : "");
                        ++(part                      ? tally.served_part
                           : answer.how == "served"  ? tally.served_whole
                           : answer.how == "refused" ? tally.refused
                           : answer.how == "failed"  ? tally.failed
                                                     : tally.lost);
                    });
    };
    ask();
    loop.run(kRunMs + 5000, [&] {
        const bool over = now_us() - start > static_cast<std::int64_t>(kRunMs * 1000) && client->open.empty();
        return over || !node.alive() || !client->stream->open();
    });
    record(
        "asked %d, served whole %d, served a part as the whole %d, refused %d, failed %d, lost %d, answers "
        "spoilt by noise %d",
        tally.asked, tally.served_whole, tally.served_part, tally.refused, tally.failed, tally.lost,
        tally.spoilt);
    if (!node.alive() || tally.asked < 100 || (trouble() && tally.spoilt < 20))
        throw CannotRun("too few requests were asked or spoilt");
    return tally.served_part == 0;
}

}  // namespace

int main(int argc, char** argv) {
    return rig::main_of(argc, argv, held);
}
