#include "unit/changing_group_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace std::chrono_literals;

// Guards against the promotion of a member that lacks a commit which a client
// saw acknowledged, while members join, leave, crash and return, and orders
// take effect late.
TEST(failover_membership, loses_no_commit_while_members_join_and_leave)
{
    EXPECT_TRUE(rc::check(
        [](std::uint64_t seed)
        {
            changing_group_model::group model(seed, {});
            model.run(25s);
            RC_ASSERT(model.outcome().lost == "");
        }));
}
