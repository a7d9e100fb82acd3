// Admission of requests at a front node.
#include "decide/node_admission.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(NodeAdmission, RefusesWhatCouldNotBeKeptApartOrHeld) {
    const ResourceLimits bounds{.requests = 2, .statement_bytes = 100};
    const ShutdownSchedule times;
    const auto verdict = [&](NodeLoad h, std::size_t bytes = 10) {
        return admit(h, bytes, bounds, times);
    };
    EXPECT_EQ(verdict({}), NodeAdmission::admitted);
    EXPECT_EQ(verdict({.requests = 2}), NodeAdmission::at_capacity);
    EXPECT_EQ(verdict({.statement_bytes = 95}), NodeAdmission::at_capacity);
    EXPECT_EQ(verdict({.requests = 2, .duplicate_id = true}), NodeAdmission::duplicate);
    EXPECT_EQ(verdict({.draining_for = times.admit_until - 1}), NodeAdmission::admitted);
    EXPECT_EQ(verdict({.draining_for = times.admit_until}), NodeAdmission::shutting_down);
}

}  // namespace
}  // namespace gatetiller::decide
