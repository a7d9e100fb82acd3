// Statement limits of a gateway, for random sequences of admissions and releases.
#include "decide/statement_admission.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "base/random.hpp"

namespace gatetiller::decide {
namespace {

// The limit on the bytes of all statements guards against memory that is bounded by a count alone.
TEST(StatementAdmission, AdmitsUpToItsLimits) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        StatementLimits limits;
        limits.statements = 20, limits.statements_per_user = 8, limits.statement_bytes = 100;
        limits.total_statement_bytes = 600;
        StatementAdmission admission(limits);
        std::map<std::string, std::vector<std::size_t>> admitted_by_user;  // bytes of each statement
        std::size_t total_bytes = 0;
        for (int i = 0; i < 300; ++i) {
            const std::string user(1, static_cast<char>('a' + random.below(4)));
            if (random.chance(0.6)) {
                const std::size_t size = random.below(110), all = admission.statements();
                const auto verdict = admission.admit(user, size);
                EXPECT_EQ(verdict == AdmissionVerdict::admitted, size <= 100 && all < 20 &&
                                                                     total_bytes + size <= 600 &&
                                                                     admitted_by_user[user].size() < 8)
                    << "seed " << seed;
                if (verdict != AdmissionVerdict::admitted)
                    continue;
                admitted_by_user[user].push_back(size);
                total_bytes += size;
            } else if (!admitted_by_user[user].empty()) {
                admission.release(user, admitted_by_user[user].back());
                total_bytes -= admitted_by_user[user].back();
                admitted_by_user[user].pop_back();
            }
        }
    }
    StatementLimits limits;
    limits.row_buffer_bytes = 100, limits.total_row_buffer_bytes = 1000;
    const StatementAdmission admission(limits);
    EXPECT_TRUE(admission.can_fetch_more(99, 999));
    EXPECT_FALSE(admission.can_fetch_more(100, 100));
    EXPECT_FALSE(admission.can_fetch_more(50, 1000));
    EXPECT_TRUE(
        admission.can_fetch_more(0, 5000));  // an empty buffer may fetch one page above the total limit
}

}  // namespace
}  // namespace gatetiller::decide
