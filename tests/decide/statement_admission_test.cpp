// Statement limits of a gateway, for random sequences of admissions and releases.
#include "decide/statement_admission.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "base/random.hpp"

namespace gatetiller::decide {
namespace {

TEST(Holding, CountsWhatItAdmitsOverManySeeds) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        StatementLimits limits;
        limits.statements = 20, limits.statements_per_user = 8, limits.statement_bytes = 100;
        StatementAdmission holding(limits);
        std::map<std::string, std::size_t> mine;
        for (int i = 0; i < 300; ++i) {
            const std::string user(1, static_cast<char>('a' + random.below(4)));
            if (random.chance(0.6)) {
                const std::size_t size = random.below(110), all = holding.statements();
                const auto how = holding.admit(user, size);
                EXPECT_EQ(how == AdmissionVerdict::admitted, size <= 100 && all < 20 && mine[user] < 8)
                    << "seed " << seed;
                mine[user] += how == AdmissionVerdict::admitted;
            } else if (mine[user] > 0) {
                holding.release(user);
                --mine[user];
            }
        }
    }
    StatementLimits limits;
    limits.row_buffer_bytes = 100, limits.total_row_buffer_bytes = 1000;
    const StatementAdmission h(limits);
    EXPECT_TRUE(h.can_fetch_more(99, 999));
    EXPECT_FALSE(h.can_fetch_more(100, 100));
    EXPECT_FALSE(h.can_fetch_more(50, 1000));
    EXPECT_TRUE(h.can_fetch_more(0, 5000));  // an empty buffer may fetch one page above the total limit
}

}  // namespace
}  // namespace gatetiller::decide
