#include "net/input_budget.hpp"

#include <gtest/gtest.h>

#include "base/buffer.hpp"

namespace gatetiller::net {
namespace {

constexpr std::size_t kLarge = 2 * InputBudget::kAllowanceBytes;

TEST(InputBudget, SelectsTheLargestIncompleteMessageOnlyBeyondTheLimit) {
    InputBudget budget(3 * kLarge);
    budget.update(1, kLarge, true);
    budget.update(2, kLarge + 1, true);
    EXPECT_EQ(budget.select_discard(), std::nullopt);
    budget.update(3, 2 * kLarge, false);
    EXPECT_EQ(budget.select_discard(), 2u);
    budget.remove(2);
    EXPECT_FALSE(budget.exceeded());
    EXPECT_EQ(budget.held(), 3 * kLarge);
}

// Guards against discarding small messages where complete ones that wait hold the memory.
TEST(InputBudget, KeepsIncompleteMessagesWithinTheAllowance) {
    InputBudget budget(kLarge);
    budget.update(1, InputBudget::kAllowanceBytes - 1, true);
    budget.update(2, kLarge, false);
    EXPECT_TRUE(budget.exceeded());
    EXPECT_EQ(budget.select_discard(), std::nullopt);
}

// Guards against a message that is neither read further nor discarded while the budget is exceeded.
TEST(InputBudget, SelectsAMessageThatMayNotBeReadFurther) {
    InputBudget budget(kLarge);
    budget.update(1, InputBudget::kAllowanceBytes, true);
    budget.update(2, kLarge, false);
    EXPECT_EQ(budget.select_discard(), 1u);
}

// Guards against a connection that keeps the memory of its largest message.
TEST(InputBudget, BufferReleasesTheMemoryOfWhatWasConsumed) {
    Buffer buffer;
    buffer.append(std::string_view(std::string(100'000, 'x')));
    buffer.append(std::string_view("rest"));
    buffer.consume(100'000);
    buffer.release_spare_capacity();
    EXPECT_EQ(buffer.view(), "rest");
    EXPECT_LT(buffer.memory(), 1024u);
    buffer.consume(4);
    EXPECT_EQ(buffer.memory(), 0u);
}

}  // namespace
}  // namespace gatetiller::net
