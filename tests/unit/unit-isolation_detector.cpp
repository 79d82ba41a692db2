#include <zinniahub/isolation_detector.hpp>

#include <gtest/gtest.h>

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};

} // namespace

// Guards against a host that stays ready while it is isolated.
TEST(isolation_detector, isolated_after_most_members_stay_unreachable)
{
    isolation_detector monitor({});
    monitor.on_tick(9, 6, start);
    EXPECT_FALSE(monitor.is_isolated());
    monitor.on_tick(9, 6, start + 300ms);
    EXPECT_TRUE(monitor.is_isolated());
    monitor.on_tick(9, 0, start + 1s);
    EXPECT_TRUE(monitor.is_isolated());
    monitor.on_tick(9, 0, start + 1500ms);
    EXPECT_FALSE(monitor.is_isolated());
}

// Guards against all hosts becoming unready because primaries have failed.
TEST(isolation_detector, loss_of_half_the_members_does_not_count)
{
    isolation_detector monitor({});
    monitor.on_tick(8, 4, start);
    monitor.on_tick(8, 4, start + 10s);
    EXPECT_FALSE(monitor.is_isolated());
}

// Guards against a short network fault that closes all sessions.
TEST(isolation_detector, a_short_loss_does_not_count)
{
    isolation_detector monitor({});
    monitor.on_tick(9, 9, start);
    monitor.on_tick(9, 0, start + 200ms);
    monitor.on_tick(9, 9, start + 400ms);
    EXPECT_FALSE(monitor.is_isolated());
}

// Guards against a host that is never ready because it knows no members yet.
TEST(isolation_detector, not_isolated_without_members)
{
    isolation_detector monitor({});
    monitor.on_tick(0, 0, start);
    monitor.on_tick(0, 0, start + 1s);
    EXPECT_FALSE(monitor.is_isolated());
}
