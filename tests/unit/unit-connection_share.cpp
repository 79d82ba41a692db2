#include <zinniahub/connection_share.hpp>

#include <gtest/gtest.h>

namespace
{

using namespace std::chrono_literals;
using zinniahub::connection_usage;
using zinniahub::time_point;

constexpr time_point now = time_point{} + 1h;

connection_usage usage(
    std::uint32_t total, std::uint32_t own, std::uint32_t idle,
    std::uint32_t waiting)
{
    connection_usage value;
    value.limit = 20;
    value.hosts = 8;
    value.open_total = total;
    value.open_own = own;
    value.idle_own = idle;
    value.waiting_own = waiting;
    return value;
}

// Guards against a fixed split that opens more than its part, and against a
// floor of 0.
TEST(connection_share, fixed_split_opens_at_most_its_part)
{
    const auto strategy = zinniahub::make_fixed_split_strategy();
    EXPECT_EQ(strategy->to_open(usage(0, 0, 0, 10), now), 2U);
    EXPECT_EQ(strategy->to_open(usage(2, 2, 0, 10), now), 0U);
    auto small = usage(0, 0, 0, 10);
    small.limit = 3;
    EXPECT_EQ(strategy->to_open(small, now), 1U);
    EXPECT_EQ(strategy->to_close(usage(4, 4, 3, 0), now), 2U);
}

// Guards against a busy host that does not use free connections, and against a
// host that does not try to open its floor because other hosts use the
// connections.
TEST(connection_share, shared_borrows_free_connections_and_tries_its_floor)
{
    const auto strategy = zinniahub::make_shared_strategy();
    EXPECT_EQ(strategy->to_open(usage(5, 2, 0, 30), now), 15U);
    EXPECT_EQ(strategy->to_open(usage(5, 2, 1, 3), now), 2U);
    EXPECT_EQ(strategy->to_open(usage(20, 2, 0, 5), now), 0U);
    EXPECT_EQ(strategy->to_open(usage(20, 0, 0, 5), now), 2U);
}

// Guards against a flood of connection attempts while the member refuses them.
TEST(connection_share, refusal_pauses_attempts)
{
    auto value = usage(20, 0, 0, 5);
    value.refused_at = now - 199ms;
    for (const auto& strategy :
         {zinniahub::make_shared_strategy().release(),
          zinniahub::make_fixed_split_strategy().release()})
    {
        const std::unique_ptr<zinniahub::connection_strategy> owned(strategy);
        EXPECT_EQ(owned->to_open(value, now), 0U);
        EXPECT_EQ(owned->to_open(value, now + 1ms), 2U);
    }
}

// Guards against keeping idle connections above the floor, and against closing
// connections of the floor or those that waiting requests need.
TEST(connection_share, shared_returns_idle_connections_above_the_floor)
{
    const auto strategy = zinniahub::make_shared_strategy();
    auto value = usage(10, 6, 3, 0);
    value.idle_since = now - 499ms;
    EXPECT_EQ(strategy->to_close(value, now), 0U);
    EXPECT_EQ(strategy->to_close(value, now + 1ms), 3U);
    EXPECT_EQ(strategy->to_close(usage(20, 6, 5, 0), now), 4U);
    EXPECT_EQ(strategy->to_close(usage(20, 6, 5, 1), now), 0U);
    EXPECT_EQ(strategy->to_close(usage(20, 2, 2, 0), now), 0U);
}

} // namespace
