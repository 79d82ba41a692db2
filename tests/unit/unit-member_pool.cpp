#include "pooling/member_pool.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace
{

using namespace zinniahub;
using namespace zinniahub::pooling;
using namespace std::chrono_literals;

const time_point start{1h};

/// Connection that stays open until it is closed.
class idle_link : public member_connection
{
public:
    awaitable<result<reply>> forward(forwarded_statement, duration) override
    {
        co_return reply{};
    }

    awaitable<result<reply>> run(const command&, duration) override
    {
        co_return reply{};
    }

    bool is_open() const override
    {
        return open_;
    }

    void close() override
    {
        open_ = false;
    }

private:
    bool open_ = true;
};

pooled_connection_ptr make_connection(std::string customer)
{
    auto connection = std::make_unique<pooled_connection>();
    connection->link = std::make_unique<idle_link>();
    connection->customer = std::move(customer);
    return connection;
}

/// Pools of all hosts for one member, after each host has served requests.
std::vector<member_pool>
pools_after_use(std::uint32_t member_limit, std::size_t hosts)
{
    std::vector<std::string> names;
    for (std::size_t host = 0; host < hosts; ++host)
    {
        names.push_back("host-" + std::to_string(host));
    }
    std::vector<member_pool> pools(hosts);
    for (std::size_t host = 0; host < hosts; ++host)
    {
        auto& pool = pools[host];
        idle_budget budget;
        budget.set_hosts(names[host], names);
        pool.set_limits(member_pool::limits::of(member_limit, hosts));
        pool.set_max_idle(budget.share_of("ledger", member_limit).allowance(0));
        for (const auto* customer : {"alba", "bea", "cleo"})
        {
            pool.on_connecting();
            pool.on_connected();
            pool.return_connection(make_connection(customer), start);
        }
        pool.close_surplus(start + 1s);
    }
    return pools;
}

std::size_t open_connections(const std::vector<member_pool>& pools)
{
    std::size_t total = 0;
    for (const auto& pool : pools)
    {
        total += pool.connection_count();
    }
    return total;
}

// Guards against idle connections of many hosts that fill a member, so that it
// refuses the connections of hosts that have requests.
TEST(member_pool, idle_connections_of_all_hosts_leave_half_of_a_member_free)
{
    for (const std::size_t hosts : {1U, 2U, 9U, 26U, 49U, 51U, 79U, 400U})
    {
        EXPECT_LE(open_connections(pools_after_use(50, hosts)), 25U)
            << hosts << " hosts";
    }
}

// Guards against hosts that keep nothing although the member has room.
TEST(member_pool, hosts_keep_connections_while_there_is_room)
{
    EXPECT_EQ(open_connections(pools_after_use(50, 9)), 25U);
    EXPECT_EQ(open_connections(pools_after_use(56, 66)), 28U);
}

// Guards against connections that are kept in a member although no request
// needs them, and against closing those used last.
TEST(member_pool, connections_used_last_are_kept_for_a_limited_time)
{
    member_pool pool;
    pool.set_limits(member_pool::limits::of(56, 8));
    pool.set_max_idle(2);
    int number = 0;
    for (const auto* customer : {"alba", "bea", "cleo"})
    {
        pool.on_connecting();
        pool.on_connected();
        pool.return_connection(
            make_connection(customer), start + 1s * number++);
    }
    pool.close_surplus(start + 3s);
    EXPECT_EQ(pool.idle_count(), 2U);
    EXPECT_EQ(pool.take_idle("alba", session_values{}), nullptr);
    pool.close_surplus(start + 20s);
    EXPECT_EQ(pool.idle_count(), 2U);
    pool.close_surplus(start + 22s);
    EXPECT_EQ(pool.idle_count(), 1U);
    pool.close_surplus(start + 23s);
    EXPECT_EQ(pool.idle_count(), 0U);
}

// Guards against a host whose idle connections fill a member that refuses the
// connections of hosts with requests.
TEST(member_pool, member_with_too_many_connections_gets_the_idle_ones_back)
{
    member_pool pool;
    pool.set_limits(member_pool::limits::of(56, 8));
    pool.set_max_idle(3);
    pool.on_connecting();
    pool.on_connected();
    pool.return_connection(make_connection("alba"), start);
    pool.on_connecting();
    pool.on_connect_failed(
        {connect_failure::reason::rejected, reply_code::too_many}, start);
    EXPECT_EQ(pool.idle_count(), 0U);
    EXPECT_EQ(
        pool.availability_for("alba", start), member_pool::availability::none);
    EXPECT_EQ(
        pool.availability_for("alba", start + 1s),
        member_pool::availability::open);
}

// Guards against idle connections that count as holding what their member has
// dropped.
TEST(member_pool, idle_connections_are_not_relied_on_after_a_loss_of_state)
{
    member_pool pool;
    pool.on_connecting();
    pool.on_connected();
    auto connection = make_connection("alba");
    session_values session;
    ASSERT_TRUE(session.set("colour", "red"));
    connection->values.on_set("colour", "red");
    ASSERT_TRUE(connection->values.holds(session, nullptr));
    pool.return_connection(std::move(connection), start);
    pool.on_state_lost();
    const auto taken = pool.take_idle("alba", session);
    ASSERT_NE(taken, nullptr);
    EXPECT_FALSE(taken->values.holds(session, nullptr));
}

// Guards against a host that opens nothing, because its part of the member's
// limit is less than one connection.
TEST(member_pool, each_host_may_open_a_connection)
{
    member_pool pool;
    pool.set_limits(member_pool::limits::of(50, 79));
    EXPECT_EQ(
        pool.availability_for("alba", start), member_pool::availability::open);
}

} // namespace
