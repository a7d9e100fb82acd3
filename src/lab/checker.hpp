// The seven rules, judged from what passed on the fronts' sockets, what clients saw and what engines ran.
// Nothing that a front says of itself is asked.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "lab/records.hpp"

namespace gatetiller::lab {

struct Violation {
    int rule = 0;  // 1 to 7; 0: attempts of one request overlapped
    Micros at = 0;
    std::string front, trace, what;
    std::string story;  // all that the records hold of the request, in order
};

struct Judgement {
    std::vector<Violation> violations;
    // How much there was to judge, so that a day on which nothing happened doesn't pass for a good one.
    std::size_t statements = 0, finals = 0, attempts = 0, further_attempts = 0, drains = 0, keyed = 0,
                bound = 0, in_turn = 0, cold_starts = 0, client_left = 0, front_died = 0;
    // Worth answered within the aim (a share of it after) over the worth asked, each request once.
    double worth_asked = 0, worth_served = 0;
};

Judgement judge(const Records& records);

}  // namespace gatetiller::lab
