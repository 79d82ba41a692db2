#include "load_checks.hpp"
#include "support/fleet.hpp"

#include <zinniahub/membership.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace
{

using zinniahub::errc;
using zinniahub::test::command_result;
using zinniahub::test::eventually;
using zinniahub::test::fleet;
using zinniahub::test::fleet_options;
using zinniahub::test::load;
using zinniahub::test::load_options;
using namespace std::chrono_literals;
using steady_clock = zinniahub::clock;

const std::string group = "booth-ledger";
constexpr auto customer = "session-desk";
constexpr std::uint64_t group_uid = 1;
/// A leaving member gets no new work after this time.
constexpr auto leave_bound = 5s;
constexpr auto watch_timeout_s = "15";

command_result
set_leaving(const fleet& system, const std::string& member, bool leaving)
{
    return system.operate(
        {"apply", "member", group + "/" + member, "--leaving",
         leaving ? "yes" : "no"});
}

command_result watch_group(const fleet& system)
{
    return system.operate(
        {"watch", "group", group, "--timeout", watch_timeout_s});
}

std::string replica_of(const fleet& system)
{
    const auto primary = system.primary_of(group);
    for (const auto& name : system.members_of(group))
    {
        if (name != primary)
        {
            return name;
        }
    }
    return {};
}

/// Waits until the member has no connection, at most until the bound after the
/// command returned.
bool is_left_in_time(
    const fleet& system, const std::string& member,
    steady_clock::time_point returned)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        returned + leave_bound - steady_clock::now());
    return eventually(
        left, [&] { return system.member_stat(member, "connections") == "0"; });
}

/// Runs further operations and tells whether the member got a request.
bool stays_without_work(
    const fleet& system, const load& traffic, const std::string& member)
{
    constexpr std::size_t further_operations = 100;
    const auto requests = system.requests_at(member);
    return traffic.progresses(further_operations, 20s) &&
           system.requests_at(member) == requests;
}

load_options mixed_load()
{
    load_options options;
    options.callers = 4;
    options.readers = 4;
    return options;
}

// Guards against new work at a leaving replica after 5 s, against requests
// that are cut off, and against a surge when it comes back.
TEST(upstream_leaving, replica_leaves_and_returns_with_a_ramp)
{
    fleet system{fleet_options{}};
    const auto replica = replica_of(system);
    load traffic(system, mixed_load());
    const auto begin = steady_clock::now();
    ASSERT_TRUE(
        eventually(20s, [&] { return traffic.done_operations() > 200; }));
    const auto usual =
        read_share_of(traffic.records(), replica, begin, steady_clock::now());
    ASSERT_GT(usual, 0.05);

    ASSERT_EQ(set_leaving(system, replica, true).exit_code, 0);
    EXPECT_TRUE(is_left_in_time(system, replica, steady_clock::now()))
        << system.member_command(replica, "stats");
    EXPECT_TRUE(stays_without_work(system, traffic, replica));
    const auto left = watch_group(system);
    EXPECT_EQ(left.exit_code, 0) << left.output;

    const auto requests = system.requests_at(replica);
    ASSERT_EQ(set_leaving(system, replica, false).exit_code, 0);
    ASSERT_TRUE(eventually(
        10s, [&] { return system.requests_at(replica) > requests; }));
    const auto back = steady_clock::now();
    // The share after a full ramp of 5 s is the usual one again.
    EXPECT_TRUE(eventually(
        15s,
        [&]
        {
            const auto now = steady_clock::now();
            return now - back > 2s &&
                   read_share_of(traffic.records(), replica, now - 1s, now) >
                       0.6 * usual;
        }));
    // The ramp allows a mean of 10% of the usual share in its first second.
    EXPECT_LT(
        read_share_of(traffic.records(), replica, back, back + 1s),
        0.5 * usual);
    const auto returned = watch_group(system);
    EXPECT_EQ(returned.exit_code, 0) << returned.output;
    expect_nothing_lost(system, traffic, group);
}

// Guards against a planned change of primary that cuts off requests or open
// transactions, and against new work at the old primary after 5 s.
TEST(upstream_leaving, primary_leaves_and_returns)
{
    fleet system{fleet_options{}};
    const auto primary = system.primary_of(group);
    load traffic(system, mixed_load());
    ASSERT_TRUE(
        eventually(20s, [&] { return traffic.done_operations() > 50; }));
    auto clerk = system.connect(1, customer);
    ASSERT_TRUE(clerk->begin().is_done());
    ASSERT_TRUE(clerk->write("add fee/1 1").is_done());

    ASSERT_EQ(set_leaving(system, primary, true).exit_code, 0);
    const auto returned = steady_clock::now();
    // The change waits for the open transaction.
    ASSERT_TRUE(eventually(
        5s,
        [&]
        {
            return system.log_of(primary).find("member_quiesce") !=
                   std::string::npos;
        }));
    EXPECT_TRUE(clerk->write("add fee/2 1").is_done());
    const auto committed = clerk->commit();
    EXPECT_TRUE(committed.is_done()) << committed.detail;
    EXPECT_TRUE(is_left_in_time(system, primary, returned))
        << system.member_command(primary, "stats");
    EXPECT_TRUE(eventually(
        leave_bound, [&] { return system.primary_of(group) != primary; }));
    EXPECT_TRUE(stays_without_work(system, traffic, primary));
    EXPECT_LT(
        longest_write_gap(traffic.records(), returned, steady_clock::now()),
        5s);
    const auto left = watch_group(system);
    EXPECT_EQ(left.exit_code, 0) << left.output;

    ASSERT_EQ(set_leaving(system, primary, false).exit_code, 0);
    const auto requests = system.requests_at(primary);
    EXPECT_TRUE(eventually(
        15s, [&] { return system.requests_at(primary) > requests; }));
    const auto converged = watch_group(system);
    EXPECT_EQ(converged.exit_code, 0) << converged.output;
    expect_nothing_lost(system, traffic, group);
    const auto rows = system.rows_of(system.primary_of(group));
    EXPECT_EQ(rows.count("fee/1") + rows.count("fee/2"), 2u);
}

// Guards against a watched state that calls a leaving member done while it
// still has work, and against a transaction that outlives the bound.
TEST(upstream_leaving, open_transaction_shows_and_ends_at_the_bound)
{
    fleet system{fleet_options{}};
    const auto primary = system.primary_of(group);
    auto clerk = system.connect(1, customer);
    ASSERT_TRUE(clerk->begin().is_done());
    ASSERT_TRUE(clerk->write("add fee/1 1").is_done());
    ASSERT_EQ(set_leaving(system, primary, true).exit_code, 0);
    EXPECT_TRUE(eventually(
        5s,
        [&]
        {
            const auto now =
                system.operate({"watch", "group", group, "--once"});
            return now.exit_code == 6 &&
                   now.output.find("open requests") != std::string::npos;
        }));
    ASSERT_TRUE(
        eventually(10s, [&] { return system.primary_of(group) != primary; }));
    const auto outcome = clerk->commit();
    EXPECT_TRUE(outcome.is_refused()) << outcome.detail;
    EXPECT_EQ(outcome.code, errc::transaction_aborted);
    const auto left = watch_group(system);
    EXPECT_EQ(left.exit_code, 0) << left.output;
    EXPECT_EQ(system.rows_of(system.primary_of(group)).count("fee/1"), 0u);
}

// Guards against a planned change to a replica that lacks writes which the
// leaving primary has executed.
TEST(upstream_leaving, primary_waits_for_a_successor_that_lags_2_s)
{
    fleet system{fleet_options{}};
    const auto primary = system.primary_of(group);
    for (const auto& name : system.members_of(group))
    {
        if (name != primary)
        {
            ASSERT_EQ(system.member_command(name, "lag 2000"), "ok");
        }
    }
    auto options = mixed_load();
    options.callers = 8;
    options.transaction_every = 3;
    load traffic(system, options);
    ASSERT_TRUE(eventually(20s, [&] { return traffic.done_operations() > 8; }));
    ASSERT_EQ(set_leaving(system, primary, true).exit_code, 0);
    EXPECT_TRUE(is_left_in_time(system, primary, steady_clock::now()))
        << system.member_command(primary, "stats");
    // The member has no connection as soon as it is quiesced.
    EXPECT_TRUE(eventually(
        leave_bound, [&] { return system.primary_of(group) != primary; }));
    const auto left = watch_group(system);
    EXPECT_EQ(left.exit_code, 0) << left.output;
    for (const auto& name : system.members_of(group))
    {
        system.member_command(name, "lag 5");
    }
    expect_nothing_lost(system, traffic, group);
}

// Guards against a planned change that stops with its coordinator.
TEST(upstream_leaving, change_completes_without_its_coordinator)
{
    fleet system{fleet_options{}};
    const std::vector<std::string> hosts{
        "proxy0", "proxy1", "proxy2", "proxy3"};
    std::size_t coordinator = 0;
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        if (zinniahub::rank_of(group_uid, hosts, hosts[i]) == 0)
        {
            coordinator = i;
        }
        else
        {
            others.push_back(i);
        }
    }
    const auto primary = system.primary_of(group);
    auto options = mixed_load();
    options.proxies = others;
    load traffic(system, options);
    ASSERT_TRUE(
        eventually(20s, [&] { return traffic.done_operations() > 50; }));
    auto clerk = system.connect(others.front(), customer);
    ASSERT_TRUE(clerk->begin().is_done());
    ASSERT_TRUE(clerk->write("add fee/1 1").is_done());
    ASSERT_EQ(set_leaving(system, primary, true).exit_code, 0);
    const auto returned = steady_clock::now();
    ASSERT_TRUE(eventually(
        5s,
        [&]
        {
            return system.log_of(primary).find("member_quiesce") !=
                   std::string::npos;
        }));
    system.proxy(coordinator).kill();
    const auto committed = clerk->commit();
    EXPECT_TRUE(committed.is_done()) << committed.detail;
    EXPECT_TRUE(is_left_in_time(system, primary, returned))
        << system.member_command(primary, "stats");
    EXPECT_TRUE(eventually(
        leave_bound, [&] { return system.primary_of(group) != primary; }));
    EXPECT_TRUE(stays_without_work(system, traffic, primary));
    expect_nothing_lost(system, traffic, group);
}

// Guards against a watched state that hides that a group has no member left,
// and against requests that are run or cut off in this state.
TEST(upstream_leaving, two_operators_take_the_remaining_members_out)
{
    fleet system{fleet_options{}};
    const auto first = replica_of(system);
    ASSERT_EQ(set_leaving(system, first, true).exit_code, 0);
    load_options options;
    options.deadline = 1500ms;
    options.attempts = 1;
    load traffic(system, options);
    ASSERT_TRUE(
        eventually(20s, [&] { return traffic.done_operations() > 20; }));
    std::vector<std::thread> operators;
    for (const auto& name : system.members_of(group))
    {
        if (name != first)
        {
            operators.emplace_back(
                [&system, name]
                {
                    // The loser of the race gets a conflict and repeats.
                    EXPECT_TRUE(eventually(
                        5s,
                        [&]
                        {
                            const auto code =
                                set_leaving(system, name, true).exit_code;
                            EXPECT_TRUE(code == 0 || code == 4) << code;
                            return code == 0;
                        }));
                });
        }
    }
    for (auto& each : operators)
    {
        each.join();
    }
    EXPECT_TRUE(eventually(
        10s,
        [&]
        {
            const auto now =
                system.operate({"watch", "group", group, "--once"});
            return now.exit_code == 6 &&
                   now.output.find("no writable primary") != std::string::npos;
        }));
    ASSERT_TRUE(eventually(
        10s, [&]
        { return count_failed(traffic.records(), errc::deadline_exceeded); }));

    ASSERT_EQ(set_leaving(system, first, false).exit_code, 0);
    const auto back = watch_group(system);
    EXPECT_EQ(back.exit_code, 0) << back.output;
    EXPECT_TRUE(traffic.progresses(21, 10s));
    traffic.stop();
    EXPECT_EQ(system.primary_of(group), first);
    expect_nothing_cut(traffic, system.rows_of(first));
}

} // namespace
