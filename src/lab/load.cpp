#include "lab/load.hpp"

#include <algorithm>
#include <cmath>

#include "statement/json.hpp"

namespace gatetiller::lab {
namespace {

constexpr Micros kDeadFor = kSecondMicros;             // a front that refused is left alone for so long
constexpr Micros kLeastPatience = 200 * kMillisecond;  // with less left no further try is made

std::string fixed(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return text;
}

}  // namespace

struct Load::Request {
    std::size_t number = 0, cls = 0;
    int tries = 0;
    std::string sql, tenant, key, group;
    double work_ms = 0, memory_mb = 0;
    std::size_t rows = 0;
    Micros asked = 0, aim = 0, ends = 0;  // ends: when its client gives up for good
    bool leaves = false, abandons = false, loses = false, honours = false;
};

struct Load::Try {
    std::shared_ptr<Request> request;
    std::string trace;
    std::size_t front = 0;
    std::unique_ptr<statement::StatementClient> client;
    Micros patience = 0;
    net::TimerId give_up = 0, leave = 0, lose = 0;
    bool taken = false;
    std::size_t rows = 0;
    std::string wrong;
};

Load::Load(net::Loop& loop, Traffic traffic, std::vector<ClassSettings> classes, std::uint64_t seed,
           std::function<void(const ClientRecord&)> record)
    : loop_(loop),
      traffic_(std::move(traffic)),
      classes_(std::move(classes)),
      random_(seed),
      record_(std::move(record)) {}

Load::~Load() = default;

void Load::start(std::vector<Target> fronts, Micros length) {
    fronts_ = std::move(fronts);
    dead_until_.assign(fronts_.size(), 0);
    for (const Target& f : fronts_)
        clients_.push_back(std::make_unique<http::Client>(
            loop_, f.address,
            http::ClientOptions{
                .limits = {.body = 256 << 20}, .connect_time_out = kSecondMicros, .idle_connections = 4096}));
    until_ = loop_.now() + length;
    next_ = loop_.now();
    arrive();
}

void Load::arrive() {
    // Arrivals keep to their own clock: a stall of this process doesn't thin out the load.
    while (next_ <= loop_.now() && next_ < until_) {
        begin(draw());
        const double rate = traffic_.rate * mood.rate;
        next_ +=
            static_cast<Micros>(std::max(1.0, random_.exponential(kSecondMicros / std::max(rate, 0.01))));
    }
    if (next_ >= until_) {
        stopped_ = true;
        return;
    }
    loop_.after(next_ - loop_.now(), [this] {
        arrive();
    });
}

std::shared_ptr<Load::Request> Load::draw() {
    auto r = std::make_shared<Request>();
    r->number = ++requests_;
    double sum = 0;
    for (const auto& c : traffic_.classes)
        sum += c.share;
    double at = random_.uniform() * sum;
    while (r->cls + 1 < traffic_.classes.size() && at >= traffic_.classes[r->cls].share)
        at -= traffic_.classes[r->cls++].share;
    if (random_.chance(mood.shift)) {
        const auto heavier = [](const ClassLoad& a, const ClassLoad& b) {
            return a.work_ms < b.work_ms;
        };
        r->cls = static_cast<std::size_t>(
            std::max_element(traffic_.classes.begin(), traffic_.classes.end(), heavier) -
            traffic_.classes.begin());
    }
    const ClassLoad& c = traffic_.classes[r->cls];
    double tenants = 0;
    const auto weight = [&](const auto& t) {
        return t.second * (t.first == mood.tenant ? mood.tenant_rate : 1);
    };
    for (const auto& t : traffic_.tenants)
        tenants += weight(t);
    at = random_.uniform() * tenants;
    for (const auto& t : traffic_.tenants) {
        r->tenant = t.first;
        if ((at -= weight(t)) < 0)
            break;
    }
    r->work_ms = random_.lognormal(c.work_ms, c.cv);
    if (r->cls == 0 && random_.chance(mood.heavy_share))
        r->work_ms *= mood.heavy_times;
    r->memory_mb = random_.lognormal(c.memory_mb, c.memory_cv);
    r->rows = static_cast<std::size_t>(c.rows);
    const bool hot = random_.chance(mood.hot_share);
    // Some groups are read far more than others.
    const double u = random_.uniform();
    r->group = hot ? "hot" + std::to_string(random_.below(static_cast<std::uint64_t>(mood.hot_groups)))
                   : "g" + std::to_string(static_cast<int>(u * u * c.groups));
    if (c.keyed)
        r->key = c.keys > 0 ? "key" + std::to_string(random_.below(static_cast<std::uint64_t>(c.keys)))
                            : "own" + std::to_string(r->number);
    r->sql = "SELECT " + std::to_string(r->number) + " /* gt: work_ms=" + fixed(r->work_ms) +
             " threads=" + fixed(c.threads) + " io=" + fixed(c.io) + " mem_mb=" + fixed(r->memory_mb) +
             " group=" + r->group + " rows=" + std::to_string(r->rows) + (c.load ? " load=1" : "") +
             (c.yields ? " yields=1" : "") + " */";
    const ClassSettings* settings = settings_of(r->cls);
    const Micros deadline = settings ? settings->deadline : 10 * kSecondMicros;
    r->asked = loop_.now();
    r->aim = settings ? std::min(deadline, settings->latency_objective +
                                               static_cast<Micros>(settings->objective_run_factor *
                                                                   r->work_ms * 1000 / c.threads))
                      : deadline;
    double patience =
        static_cast<double>(deadline) * random_.uniform(traffic_.patience_low, traffic_.patience_high);
    const bool hasty = random_.chance(mood.short_share);
    if (hasty)
        patience = std::min(patience, static_cast<double>(r->aim) * mood.short_patience);
    r->ends = r->asked + static_cast<Micros>(patience);
    r->leaves = (hasty && mood.short_leaves) || random_.chance(traffic_.leave);
    r->abandons = random_.chance(traffic_.abandon);
    r->loses = random_.chance(traffic_.lost_polls);
    r->honours = random_.chance(traffic_.honour);
    return r;
}

const ClassSettings* Load::settings_of(std::size_t cls) const {
    for (const auto& s : classes_)
        if (s.name == traffic_.classes[cls].name)
            return &s;
    return nullptr;
}

std::size_t Load::choose_front() {
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < fronts_.size(); ++i)
        if (loop_.now() >= dead_until_[i])
            alive.push_back(i);
    return alive.empty() ? random_.below(fronts_.size()) : alive[random_.below(alive.size())];
}

void Load::note(const char* event, const Try& t, std::string detail) {
    ClientRecord r{loop_.now(), event, t.trace, fronts_[t.front].name, "", "", "", 0, 0, std::move(detail)};
    if (r.event == "asked") {
        const Request& q = *t.request;
        r.cls = traffic_.classes[q.cls].name, r.tenant = q.tenant, r.key = q.key, r.aim = q.aim,
        r.patience = t.patience;
    }
    record_(r);
}

void Load::begin(std::shared_ptr<Request> request) {
    const std::uint64_t number = ++last_try_;
    auto made = std::make_unique<Try>();
    Try& t = *made;
    t.request = request;
    t.front = choose_front();
    t.trace = "r" + std::to_string(request->number) + "." + std::to_string(request->tries++);
    t.patience = request->ends - loop_.now();
    tries_.emplace(number, std::move(made));
    const ClassLoad& c = traffic_.classes[request->cls];
    http::Headers h;
    h.add("X-Trino-User", request->tenant.empty() ? "lab" : request->tenant);
    h.add("X-Trino-Source", c.name);
    h.add("X-Trino-Trace-Token", t.trace);
    std::string tags = "group=" + request->group;
    if (!request->key.empty())
        tags += ",key=" + request->key;
    h.add("X-Trino-Client-Tags", tags);
    h.add("X-Trino-Session", "query_max_run_time=" + std::to_string(t.patience / kMillisecond) + "ms");
    if (traffic_.estimate_cv >= 0) {
        // Drawn one by one: within one expression, compilers for different machines draw in different orders.
        const double memory_mb = random_.lognormal(request->memory_mb, traffic_.estimate_cv);
        const double work_ms = random_.lognormal(request->work_ms, traffic_.estimate_cv);
        h.add("X-Trino-Resource-Estimate",
              "CPU_TIME=" + fixed(work_ms) + "ms,PEAK_MEMORY=" + fixed(memory_mb) + "MiB");
    }
    note("asked", t);
    t.give_up = loop_.after(t.patience, [this, number] {
        Try& mine = *tries_.at(number);
        note("gave_up", mine);
        ++outcomes_["gave up"];
        mine.client->abandon();
        close(number);
    });
    const auto go = [&](Micros within, auto then) {
        return loop_.after(static_cast<Micros>(random_.uniform() * static_cast<double>(within)), then);
    };
    if (request->leaves || request->abandons)
        t.leave = go(t.patience, [this, number, deletes = request->leaves] {
            Try& mine = *tries_.at(number);
            note("left", mine, deletes ? "DELETE" : "without a word");
            ++outcomes_["left"];
            if (deletes)
                mine.client->cancel();
            else
                mine.client->abandon();
            close(number);
        });
    if (request->loses)
        t.lose = go(kSecondMicros, [this, number] {
            tries_.at(number)->lose = 0, tries_.at(number)->client->ask_again();
        });
    t.client = std::make_unique<statement::StatementClient>(
        loop_, *clients_[t.front],
        statement::EngineCallOptions{.answer_time_out = t.patience + kSecondMicros});
    t.client->start(std::move(h), request->sql,
                    {[this, number](const statement::Document& d) {
                         Try& mine = *tries_.at(number);
                         if (!std::exchange(mine.taken, true))
                             note("taken", mine);
                         if (!d.has_rows())
                             return;
                         const std::string first = "[[" + std::to_string(mine.rows) + ",\"" +
                                                   engine::row_of(mine.request->sql, mine.rows);
                         if (!d.data.starts_with(first))
                             mine.wrong = d.data.substr(0, 60);
                         mine.rows += statement::array_length(d.data);
                     },
                     [this, number](const statement::ClientResult& r) {
                         end(number, r);
                     }});
}

void Load::end(std::uint64_t number, const statement::ClientResult& r) {
    using How = statement::ClientResult::How;
    Try& t = *tries_.at(number);
    const auto request = t.request;
    std::string detail;
    bool back = false;  // the protocol or the error says that trying again is harmless
    if (r.how == How::answered) {
        detail = !r.last.error                              ? "served"
                 : r.last.error->name == "QUERY_QUEUE_FULL" ? "refused"
                                                            : r.last.error->name;
        if (detail == "served" && t.rows != request->rows)
            t.wrong = std::to_string(t.rows) + " rows of " + std::to_string(request->rows);
        note("final", t, detail);
        if (!t.wrong.empty())
            note("wrong_rows", t, t.wrong);
        back = detail == "refused";
        ++outcomes_[detail];
        if (detail == "served")
            latencies_.push_back(static_cast<double>(loop_.now() - request->asked) / 1000);
    } else if (r.how == How::turned_away) {
        note("turned_away", t, std::to_string(r.status));
        ++outcomes_["turned away"];
        back = r.status == 429 || r.status == 503;
    } else {
        note("lost", t, r.text);
        ++outcomes_["lost"];
        back = r.how == How::unreachable;
        dead_until_[t.front] = loop_.now() + kDeadFor;
    }
    const ClassSettings* settings = settings_of(request->cls);
    const bool served = detail == "served";
    const bool may =
        back || (settings && settings->idempotency == Idempotency::idempotent) ||
        (settings && settings->idempotency == Idempotency::keyed && settings->key_scope == KeyScope::all);
    close(number);
    if (served || !may || request->tries > traffic_.retries)
        return;
    Micros wait = static_cast<Micros>(static_cast<double>(traffic_.retry_wait) * random_.uniform(0.5, 1.5));
    if (request->honours && r.retry_after > 0)
        wait = r.retry_after;
    again(request, wait);
}

void Load::again(std::shared_ptr<Request> request, Micros wait) {
    if (request->ends - loop_.now() - wait < kLeastPatience)
        return;
    ++waiting_;
    loop_.after(wait, [this, request] {
        --waiting_;
        begin(request);
    });
}

void Load::close(std::uint64_t number) {
    auto node = tries_.extract(number);
    Try& t = *node.mapped();
    for (const auto timer : {t.give_up, t.leave, t.lose})
        loop_.cancel(timer);
    // Its client may stand on the stack.
    ended_.push_back(std::move(node.mapped()));
    if (ended_.size() == 1)
        loop_.after(0, [this] {
            ended_.clear();
        });
}

}  // namespace gatetiller::lab
