#include "engine/config.hpp"

#include "config/reader.hpp"
#include "config/settings.hpp"

namespace gatetiller::engine {
namespace {

void read_machine(config::Reader& r, MachineSettings& m) {
    r.number("cores", m.cores, 0.1, 1e4);
    r.megabytes("memory", m.memory_mb);
    r.number("speed", m.speed, 0.01, 100);
    r.number("disks", m.disks, 0.01, 100);
    r.number("knee", m.knee, 0.1, 100);
    r.number("past_knee", m.past_knee, 0, 100);
    r.number("sessions_per_core", m.sessions_per_core, 0.1, 1e4);
    r.number("spill_cost", m.spill_cost, 1, 100);
    config::read_when_short(r, m.when_short);
    r.number("largest_share", m.largest_share, 0.01, 1);
    r.number("warm_groups", m.warm_groups, 0, 1e6);
    r.number("warm_saves", m.warm_saves, 0, 1);
    r.number("cold_share", m.cold_share, 0.01, 1);
    r.span("warm_up", m.warm_up);
    r.number("fall_factor", m.fall_factor, 0, 1000);
    r.span("fall_for", m.fall_for);
    r.flag("cancel_stops", m.cancel_stops);
    r.flag("priorities", m.priorities);
    r.number("bad_plans", m.bad_plans, 0, 1);
    r.number("bad_plan_times", m.bad_plan_times, 1, 1000);
    r.span("key_window", m.key_window);
}

}  // namespace

Result<ServiceSettings> load_engine_text(const std::string& name, const std::string& source) {
    auto text = config::evaluate(name, source);
    if (!text)
        return Error{text.error()};
    config::Mistakes mistakes(name, source);
    const auto json = nlohmann::json::parse(*text);
    ServiceSettings s;
    config::Reader top(json, {}, mistakes);
    std::string listen = "127.0.0.1:0";
    top.text("name", s.name);
    top.text("listen", listen);
    if (auto address = net::Address::parse(listen))
        s.listen = *address;
    else
        top.wrong("listen", address.error());
    top.object("machine", [&](config::Reader& r) {
        read_machine(r, s.machine);
    });
    top.bytes("page", s.page_bytes);
    top.span("long_poll", s.long_poll);
    top.span("abandoned_after", s.abandoned_after);
    top.flag("reports", s.reports);
    top.text("journal", s.journal);
    top.text("events", s.events);
    top.count("seed", s.seed, 0, 9e15);
    top.close();
    if (!mistakes.none())
        return Error{mistakes.text()};
    return s;
}

}  // namespace gatetiller::engine
