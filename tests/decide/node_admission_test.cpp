// Admission of requests at a front node.
#include "decide/node_admission.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(NodeAdmission, RejectsDuplicatesOverloadAndLateRequests) {
    const ResourceLimits limits{.requests = 2, .statement_bytes = 100, .total_unsent_bytes = 50};
    const ShutdownSchedule schedule;
    const auto verdict = [&](NodeLoad load, std::size_t bytes = 10) {
        return admit(load, bytes, limits, schedule);
    };
    EXPECT_EQ(verdict({}), NodeAdmission::admitted);
    EXPECT_EQ(verdict({.requests = 2}), NodeAdmission::at_capacity);
    EXPECT_EQ(verdict({.statement_bytes = 95}), NodeAdmission::at_capacity);
    // Guards against responses without limit to many clients that read slowly.
    EXPECT_EQ(verdict({.client_unsent_bytes = 1, .unsent_bytes = 50}), NodeAdmission::admitted);
    EXPECT_EQ(verdict({.client_unsent_bytes = 1, .unsent_bytes = 51}), NodeAdmission::at_capacity);
    EXPECT_EQ(verdict({.unsent_bytes = 51}), NodeAdmission::admitted);
    EXPECT_EQ(verdict({.requests = 2, .duplicate_id = true}), NodeAdmission::duplicate);
    EXPECT_EQ(verdict({.draining_for = schedule.admit_until - 1}), NodeAdmission::admitted);
    EXPECT_EQ(verdict({.draining_for = schedule.admit_until}), NodeAdmission::shutting_down);
}

}  // namespace
}  // namespace gatetiller::decide
