#include "soak/plan.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>

#include "base/random.hpp"
#include "shim/fault_control.hpp"

namespace gatetiller::soak {
namespace {

using testing::Call;

constexpr Micros kQuietStart = kSecondMicros;      // all nodes are ready, and asked
constexpr Micros kQuietEnd = 2 * kSecondMicros;    // nothing new begins
constexpr double kOverlap = 0.6;                   // of troubles that begin while another lasts
constexpr double kSameNodes = 0.5;                 // of those, that strike the same nodes
constexpr Micros kDrainLasts = 6 * kSecondMicros;  // at most: past its grace and what it takes to be heard
constexpr std::uint64_t kCrowdedSeeds =
    4;  // one in so many has idle clients fill the descriptors in an outage
constexpr TroubleKind kNameTroubles[] = {TroubleKind::names_silent, TroubleKind::names_garbled,
                                         TroubleKind::names_slow, TroubleKind::names_deaf_ports,
                                         TroubleKind::names_renumbered};
constexpr double kColdShares[] = {0.31, 0.1, 0.05};
constexpr Micros kConnectTimeOuts[] = {250 * kMillisecond,
                                       1'500 * kMillisecond};  // under and over a SYN's second try
constexpr std::int64_t kHourSeconds = 3600;

struct FailingCall {
    Call call;
    int error;
};
constexpr FailingCall kFailingCalls[] = {
    {Call::accept, ECONNABORTED}, {Call::accept, EMFILE},        {Call::accept, ENFILE},
    {Call::accept, ENOBUFS},      {Call::accept, EINTR},         {Call::socket, EMFILE},
    {Call::socket, ENFILE},       {Call::socket, ENOBUFS},       {Call::connect, EADDRNOTAVAIL},
    {Call::connect, ENETUNREACH}, {Call::connect, EAGAIN},       {Call::connect, EINTR},
    {Call::connect, ETIMEDOUT},   {Call::connect, EHOSTUNREACH}, {Call::send, ENOBUFS},
    {Call::send, ENOMEM},         {Call::send, EINTR},           {Call::send, EAGAIN},
    {Call::recv, ENOMEM},         {Call::recv, ENOBUFS},         {Call::recv, EINTR},
    {Call::recv, EAGAIN},         {Call::recvfrom, ENOMEM},      {Call::sendto, ENOBUFS},
    {Call::sendto, ENETUNREACH},  {Call::poll, EINTR},           {Call::poll, ENOMEM},
    {Call::poll, EINVAL},         {Call::open, EMFILE},
};

Trouble drawn(Random& random, const PlanSettings& s, std::size_t number, Micros at) {
    Trouble t;
    t.number = number;
    t.kind = static_cast<TroubleKind>(random.below(kTroubleKinds));
    t.at = at;
    t.lasts = static_cast<Micros>(random.uniform(0.2, 2.5) * static_cast<double>(kSecondMicros));
    const std::size_t struck = 1 + random.below(std::max<std::size_t>(1, s.nodes / 3));
    while (t.nodes.size() < struck) {
        const std::size_t node = random.below(s.nodes);
        if (std::find(t.nodes.begin(), t.nodes.end(), node) == t.nodes.end())
            t.nodes.push_back(node);
    }
    t.engine = random.below(s.engines);
    const FailingCall& failing = kFailingCalls[random.below(std::size(kFailingCalls))];
    t.call = static_cast<std::size_t>(failing.call), t.error = failing.error;
    t.per_mille = random.chance(0.5) ? 200 : 900;
    constexpr std::int64_t kSteps[] = {kHourSeconds, -kHourSeconds, 5, -5};
    t.seconds = kSteps[random.below(std::size(kSteps))];
    return t;
}

// Ill-heard drains: the name service in trouble, an engine that drains just then and stays up past its grace,
// and in some plans a crowd of idle clients meanwhile.
void add_unheard_drain(Random& random, const PlanSettings& s, std::vector<Trouble>& plan) {
    const Micros latest = std::max<Micros>(kQuietStart, s.length - kQuietEnd - 4 * kSecondMicros);
    const auto at =
        kQuietStart + static_cast<Micros>(random.uniform() * static_cast<double>(latest - kQuietStart));
    auto names = drawn(random, s, plan.size(), at);
    names.kind = kNameTroubles[random.below(std::size(kNameTroubles))];
    names.lasts = static_cast<Micros>(random.uniform(0.5, 4) * static_cast<double>(kSecondMicros));
    if (names.kind == TroubleKind::names_deaf_ports)
        names.lasts = kDrainLasts + kSecondMicros;  // until it is found out
    plan.push_back(names);
    auto drain = drawn(random, s, plan.size(),
                       at + static_cast<Micros>(random.uniform() * static_cast<double>(kSecondMicros)));
    drain.kind = TroubleKind::engine_drains;
    drain.lasts = kDrainLasts;
    plan.push_back(drain);
    if (s.seed % kCrowdedSeeds != 0)
        return;
    auto crowd = drawn(random, s, plan.size(), at);
    crowd.kind = TroubleKind::clients_crowd;
    crowd.lasts = names.lasts + kSecondMicros;
    plan.push_back(crowd);
}

}  // namespace

const char* name_of(TroubleKind kind) {
    constexpr const char* kNames[] = {"engine_misbehaves",
                                      "engine_crashes",
                                      "engine_drains",
                                      "engine_joins_cold",
                                      "links_late",
                                      "links_held",
                                      "links_half_open",
                                      "links_trickle",
                                      "links_reset",
                                      "clients_leave",
                                      "clients_reset",
                                      "clients_rude",
                                      "clients_crowd",
                                      "names_silent",
                                      "names_slow",
                                      "names_garbled",
                                      "names_move",
                                      "names_deaf_ports",
                                      "names_renumbered",
                                      "node_killed",
                                      "node_terminated",
                                      "node_restart_overlaps",
                                      "node_stopped",
                                      "node_reloaded_often",
                                      "node_config_half_written",
                                      "node_signals_in_series",
                                      "calls_fail",
                                      "transfers_short",
                                      "wall_clock_steps",
                                      "log_unwritable"};
    static_assert(std::size(kNames) == kTroubleKinds);
    return kNames[static_cast<std::size_t>(kind)];
}

std::string Trouble::text() const {
    char head[160];
    std::snprintf(head, sizeof head, "%3zu  %6.2f s for %4.2f s  %-24s", number,
                  static_cast<double>(at) / kSecondMicros, static_cast<double>(lasts) / kSecondMicros,
                  name_of(kind));
    std::string text = head;
    if (kind <= TroubleKind::engine_joins_cold)
        text += " engine " + std::to_string(engine);
    else
        for (std::size_t i = 0; i < nodes.size(); ++i)
            text += (i == 0 ? " n" : ",n") + std::to_string(nodes[i]);
    if (kind == TroubleKind::calls_fail)
        text += std::string(" ") + testing::kCallNames[call] + " " + ::strerrorname_np(error) + " in " +
                std::to_string(per_mille) + " of 1000";
    if (kind == TroubleKind::wall_clock_steps)
        text += " by " + std::to_string(seconds) + " s";
    return text;
}

std::vector<Trouble> draw_plan(const PlanSettings& s) {
    Random random(s.seed);
    std::vector<Trouble> plan;
    const Micros span = std::max<Micros>(kSecondMicros, s.length - kQuietStart - kQuietEnd);
    for (std::size_t n = 0; n < s.troubles; ++n) {
        const Trouble* const before = plan.empty() ? nullptr : &plan[random.below(plan.size())];
        const bool overlaps =
            before && before->at + before->lasts < s.length - kQuietEnd && random.chance(kOverlap);
        const Micros at =
            overlaps ? before->at + static_cast<Micros>(random.uniform() * static_cast<double>(before->lasts))
                     : kQuietStart + static_cast<Micros>(random.uniform() * static_cast<double>(span));
        auto trouble = drawn(random, s, n, std::min(at, s.length - kQuietEnd));
        if (overlaps && random.chance(kSameNodes))
            trouble.nodes = before->nodes;
        plan.push_back(std::move(trouble));
    }
    if (s.troubles > 0)
        add_unheard_drain(random, s, plan);
    return plan;
}

EngineSettings draw_engine_settings(const PlanSettings& s) {
    Random random(s.seed ^ 0xc01d);
    EngineSettings drawn;
    drawn.cold_share = kColdShares[random.below(std::size(kColdShares))];
    drawn.connect_time_out = kConnectTimeOuts[random.below(std::size(kConnectTimeOuts))];
    return drawn;
}

std::string text_of(const PlanSettings& s, const std::vector<Trouble>& plan) {
    const EngineSettings engine_settings = draw_engine_settings(s);
    char drawn[80];
    std::snprintf(drawn, sizeof drawn, "cold share %.2f, connections within %lld ms\n",
                  engine_settings.cold_share,
                  static_cast<long long>(engine_settings.connect_time_out / kMillisecond));
    std::string text = "seed " + std::to_string(s.seed) + ": " + std::to_string(s.nodes) + " nodes, " +
                       std::to_string(s.engines) + " engines, " + std::to_string(s.length / kSecondMicros) +
                       " s, " + drawn;
    for (const Trouble& t : plan)
        text += t.text() + "\n";
    return text;
}

}  // namespace gatetiller::soak
