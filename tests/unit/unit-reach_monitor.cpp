#include <zinniahub/reach_monitor.hpp>

#include <gtest/gtest.h>

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};

} // namespace

// Guards against a host that stays ready while it is cut off.
TEST(reach_monitor, isolated_after_a_time_without_most_members)
{
    reach_monitor monitor({});
    monitor.on_tick(9, 6, start);
    EXPECT_FALSE(monitor.is_isolated());
    monitor.on_tick(9, 6, start + 300ms);
    EXPECT_TRUE(monitor.is_isolated());
    monitor.on_tick(9, 0, start + 1s);
    EXPECT_TRUE(monitor.is_isolated());
    monitor.on_tick(9, 0, start + 1500ms);
    EXPECT_FALSE(monitor.is_isolated());
}

// Guards against hosts that all leave because primaries are down.
TEST(reach_monitor, loss_of_half_the_members_does_not_count)
{
    reach_monitor monitor({});
    monitor.on_tick(8, 4, start);
    monitor.on_tick(8, 4, start + 10s);
    EXPECT_FALSE(monitor.is_isolated());
}

// Guards against a short disturbance that closes all sessions.
TEST(reach_monitor, a_short_loss_does_not_count)
{
    reach_monitor monitor({});
    monitor.on_tick(9, 9, start);
    monitor.on_tick(9, 0, start + 200ms);
    monitor.on_tick(9, 9, start + 400ms);
    EXPECT_FALSE(monitor.is_isolated());
}

// Guards against a host that is never ready because it knows no members yet.
TEST(reach_monitor, no_members_is_no_loss)
{
    reach_monitor monitor({});
    monitor.on_tick(0, 0, start);
    monitor.on_tick(0, 0, start + 1s);
    EXPECT_FALSE(monitor.is_isolated());
}
