// lab: scripted days on loopback with real fronts, stand-in engines and clients, and the checker of the seven
// rules. This file: what was recorded, one JSON object a line. All times are of the machine's monotonic
// clock.
#pragma once

#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "engine/service.hpp"
#include "net/tap.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::lab {

// What passed on a front's sockets.
struct SocketRecord {
    Micros at = 0;
    std::string front;
    std::uint64_t stream = 0;
    net::TapEvent::What what = net::TapEvent::What::sent;
    std::string peer;
    std::string bytes;     // the first kSocketBytes of what was handed over at once
    std::size_t size = 0;  // of all of it
};
constexpr std::size_t kSocketBytes = 1536;

// What a client saw of one try of a request.
struct ClientRecord {
    Micros at = 0;
    std::string event;  // asked, taken, final, turned_away, lost, gave_up, left, wrong_rows
    std::string trace;  // REQUEST.TRY
    std::string front;  // the one that it asked
    std::string cls, tenant, key;
    Micros aim = 0, patience = 0;  // from asked: wanted within; then it gives up
    std::string detail;            // final: served, refused, or the name of the error
};

struct EngineRecord {
    std::string engine;
    engine::Entry entry;
};

// Beside what an engine journals of itself (engine/service.hpp), of one that speaks the platform's protocol:
// arrived, and how it ended on its socket: hit, shed, fault, undone, connection_ended.

// What the lab did, such as killing a front; and the facts that the rules are judged by.
struct LabRecord {
    Micros at = 0;
    std::string
        event;  // front_killed, front_ended (by itself), front_started, front_stalled, engine_on, trouble
    std::string who, detail;
};

struct EngineFacts {
    std::string name, address, zone, kind;
    std::int64_t cell = 0;
};

struct Facts {
    std::vector<ClassSettings> classes;
    std::vector<EngineFacts> engines;
    Micros answer_grace = 0, drain_grace = 0, turn_gap = 0, ratio_span = 0;
    std::optional<double> extra_free, extra_per_request;
    bool may_duplicate = false;
};

struct Records {
    Facts facts;
    std::vector<SocketRecord> sockets;
    std::vector<ClientRecord> clients;
    std::vector<EngineRecord> engines;
    std::vector<LabRecord> lab;

    void sort();  // by time; within the same moment in the order of taking
};

std::string line_of(const SocketRecord& r);
std::string line_of(const ClientRecord& r);
std::string line_of(const std::string& engine, const engine::Entry& e);
std::string line_of(const LabRecord& r);
std::string line_of(const Facts& f);
SocketRecord record_of(const std::string& front, const net::TapEvent& e);

// Opens a file of lines for more of them. A last line without its end, as a killed process leaves it, is cut
// off first: what follows would run into it.
std::ofstream append_lines(const std::string& file);

// Reads lines of all kinds into `to`. A line cut short at the end of a file, as a killed process leaves it,
// is passed over; anything else that can't be read is an error with its line.
Result<bool> read_records(const std::string& name, const std::string& text, Records& to);

}  // namespace gatetiller::lab
