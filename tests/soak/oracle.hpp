// What must hold after a soak: the rules over what passed on the sockets, each process's own guards at zero,
// and nothing left over.
#pragma once

#include "soak/fleet.hpp"

namespace gatetiller::soak {

class Oracle {
public:
    Oracle(Fleet& fleet, SoakResult& result) : fleet_(fleet), result_(result) {}
    void look_at_processes();  // at rest: descriptors and memory
    void look_at_logs();       // ended: what each process said last, and of its guards
    void judge();              // the rules

private:
    void read_clients();
    void read_passed();
    Micros window_of(const std::string& cls) const;
    Micros in_doubt(const PassedMessage& m, Micros first_sent) const;
    void place_held(std::vector<PassedMessage>& messages);
    void deadlines(const PassedMessage& arrived);
    void cold_starts();
    void look_at_log(const Node& node);

    Fleet& fleet_;
    SoakResult& result_;
    struct Asked {
        Micros at = 0, patience = 0;
        Micros window = 0;  // in which it may be repeated; 0: always
        Micros over = 0;    // its client had its final answer, or had left; 0: neither
    };
    std::map<std::string, Asked> asked_;
    std::map<LinkId, std::pair<std::string, std::string>> ends_of_;  // node and engine of a link
    struct Arrival {
        Micros at = 0;
        double work_ms = 0;
    };
    std::map<std::string, std::vector<Arrival>> arrivals_;  // by engine
};

}  // namespace gatetiller::soak
