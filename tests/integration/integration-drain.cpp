#include "load_checks.hpp"
#include "support/fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace
{

using zinniahub::errc;
using zinniahub::verdict;
using zinniahub::test::caller;
using zinniahub::test::eventually;
using zinniahub::test::fleet;
using zinniahub::test::fleet_options;
using zinniahub::test::load;
using zinniahub::test::load_options;
using namespace std::chrono_literals;

constexpr auto group = "booth-ledger";
constexpr auto customer = "session-desk";

/// Announcement, limit, handover (500 ms) and 1 s for the last streams, as in
/// the settings below, and 1 s for a busy machine.
constexpr auto exit_bound = 500ms + 6000ms + 500ms + 1000ms + 1000ms;

fleet_options short_drain()
{
    fleet_options options;
    options.settings = "[drain]\nannounce_ms = 500\nlimit_ms = 6000\n"
                       "[limits]\nmax_deadline_ms = 6000\n";
    return options;
}

bool refuses(const fleet& system, std::size_t proxy)
{
    auto probe = system.connect(proxy, customer);
    return probe->read("get probe").code == errc::draining;
}

std::map<std::string, std::string> primary_rows(const fleet& system)
{
    return system.rows_of(system.primary_of(group));
}

void send_write(caller& from, const std::string& text)
{
    zinniahub::v1::Request request;
    request.set_access(zinniahub::v1::ACCESS_WRITE);
    request.set_text(text);
    from.send(std::move(request));
}

// Guards against a planned stop that cuts a request in progress or an open
// transaction, and against a "draining" reply to a request that ran.
TEST(drain, requests_in_flight_and_open_transactions_finish)
{
    auto options = short_drain();
    options.statement_ms = 800;
    fleet system{options};
    auto clerk = system.connect(0, customer);
    ASSERT_TRUE(clerk->begin().is_done());
    ASSERT_TRUE(clerk->write("add fee/1 1").is_done());
    auto desk = system.connect(0, customer);
    send_write(*desk, "add take/1 1");

    system.proxy(0).terminate();
    ASSERT_TRUE(eventually(3s, [&] { return refuses(system, 0); }));
    auto late = system.connect(0, customer);
    const auto refused = late->write("add take/2 1");
    EXPECT_TRUE(refused.is_refused());
    EXPECT_EQ(refused.code, errc::draining);

    const auto in_flight = desk->receive();
    EXPECT_TRUE(in_flight.is_done()) << in_flight.detail;
    const auto inside = clerk->write("add fee/2 1");
    EXPECT_TRUE(inside.is_done()) << inside.detail;
    const auto committed = clerk->commit();
    EXPECT_TRUE(committed.is_done()) << committed.detail;
    const auto second = clerk->write("add fee/3 1");
    EXPECT_EQ(second.code, errc::draining);

    EXPECT_EQ(system.proxy(0).wait(exit_bound), 0);
    const auto rows = primary_rows(system);
    EXPECT_EQ(rows.count("take/1"), 1u);
    EXPECT_EQ(rows.count("fee/1"), 1u);
    EXPECT_EQ(rows.count("fee/2"), 1u);
    EXPECT_EQ(rows.count("take/2"), 0u);
    EXPECT_EQ(rows.count("fee/3"), 0u);
}

// Guards against a stop that leaves it unknown whether a request ran that is
// sent on an idle stream when the proxy has stopped.
TEST(drain, idle_stream_ends_as_not_run)
{
    fleet system{short_drain()};
    auto desk = system.connect(0, customer);
    ASSERT_TRUE(desk->write("add take/1 1").is_done());
    system.proxy(0).terminate();
    EXPECT_EQ(system.proxy(0).wait(exit_bound), 0);
    const auto late = desk->write("add take/2 1");
    EXPECT_FALSE(late.answered);
    EXPECT_TRUE(late.is_refused()) << late.detail;
    EXPECT_EQ(late.code, errc::draining);
    EXPECT_EQ(primary_rows(system).count("take/2"), 0u);
}

// Guards against a second signal that ends the process while work is open.
TEST(drain, second_signal_changes_nothing)
{
    fleet system{short_drain()};
    auto clerk = system.connect(0, customer);
    ASSERT_TRUE(clerk->begin().is_done());
    ASSERT_TRUE(clerk->write("add fee/1 1").is_done());
    system.proxy(0).terminate();
    ASSERT_TRUE(eventually(3s, [&] { return refuses(system, 0); }));
    system.proxy(0).terminate();
    // The signal has been handled once the proxy answers several requests.
    for (int i = 0; i < 5; ++i)
    {
        EXPECT_TRUE(refuses(system, 0));
    }
    EXPECT_TRUE(system.proxy(0).is_running());
    EXPECT_TRUE(clerk->commit().is_done());
    EXPECT_EQ(system.proxy(0).wait(exit_bound), 0);
    EXPECT_EQ(primary_rows(system).count("fee/1"), 1u);
}

// Guards against a stop that waits indefinitely for an idle transaction, and
// against a transaction that is kept without a commit.
TEST(drain, idle_transaction_is_rolled_back_at_the_limit)
{
    auto options = short_drain();
    options.settings = "[drain]\nannounce_ms = 500\nlimit_ms = 1500\n";
    fleet system{options};
    auto clerk = system.connect(0, customer);
    ASSERT_TRUE(clerk->begin().is_done());
    ASSERT_TRUE(clerk->write("add fee/1 1").is_done());
    system.proxy(0).terminate();
    EXPECT_EQ(system.proxy(0).wait(500ms + 1500ms + 2500ms), 0);
    const auto outcome = clerk->commit();
    EXPECT_FALSE(outcome.is_done());
    EXPECT_EQ(primary_rows(system).count("fee/1"), 0u);
    auto other = system.connect(1, customer);
    EXPECT_TRUE(other->write("add fee/1 1").is_done());
}

// Guards against a rolling replacement that cuts, loses or doubles requests of
// callers that send refused requests to another proxy.
TEST(drain, rolling_replacement_cuts_loses_and_doubles_nothing)
{
    auto options = short_drain();
    fleet system{options};
    load_options six_callers;
    six_callers.callers = 6;
    load traffic(system, six_callers);
    const auto begin = zinniahub::clock::now();
    for (std::size_t i = 0; i < options.proxies; ++i)
    {
        system.proxy(i).terminate();
        EXPECT_EQ(system.proxy(i).wait(exit_bound), 0) << "proxy " << i;
        system.start_proxy(i);
        EXPECT_TRUE(eventually(
            15s,
            [&]
            {
                auto probe = system.connect(i, customer);
                return probe->read("get probe").is_done();
            }))
            << "proxy " << i;
    }
    traffic.stop();
    const auto end = zinniahub::clock::now();
    EXPECT_GT(count_failed(traffic.records(), errc::draining), 0u);
    EXPECT_GT(traffic.done_operations(), 200u);
    EXPECT_EQ(traffic.failed_operations(), 0u);
    EXPECT_LT(longest_write_gap(traffic.records(), begin, end), 5s);
    expect_nothing_cut(traffic, primary_rows(system));
}

// Guards against a stop that depends on the platform.
TEST(drain, stops_without_the_platform)
{
    fleet system{short_drain()};
    load traffic(system, {});
    ASSERT_TRUE(eventually(5s, [&] { return traffic.done_operations() > 20; }));
    system.platform_command("outage 60000");
    system.proxy(0).terminate();
    EXPECT_EQ(system.proxy(0).wait(exit_bound), 0);
    traffic.stop();
    EXPECT_GT(count_failed(traffic.records(), errc::draining), 0u);
    expect_nothing_cut(traffic, primary_rows(system));
}

// Guards against rate pools and seats that remain assigned to a stopped host:
// its customers would be refused inside their rates until the leases expire.
TEST(drain, leases_are_free_after_the_exit)
{
    fleet system{short_drain()};
    const auto held_by = [&](const std::string& host)
    {
        std::set<std::string> keys;
        for (const auto& [key, holder] : system.owners())
        {
            if (holder == host)
            {
                keys.insert(key);
            }
        }
        return keys;
    };
    const auto has = [&](const std::string& host, const std::string& kind)
    {
        const auto keys = held_by(host);
        return std::any_of(
            keys.begin(), keys.end(),
            [&](const std::string& key)
            { return key.find(kind) != std::string::npos; });
    };
    // The host that starts first usually owns all pools.
    std::size_t owner = 0;
    ASSERT_TRUE(eventually(
        15s,
        [&]
        {
            for (std::size_t i = 0; i < fleet_options{}.proxies; ++i)
            {
                const auto host = "proxy" + std::to_string(i);
                if (has(host, "/rate/") && has(host, "/seat/"))
                {
                    owner = i;
                    return true;
                }
            }
            return false;
        }));
    const auto host = "proxy" + std::to_string(owner);
    const auto before = held_by(host);
    system.proxy(owner).terminate();
    ASSERT_EQ(system.proxy(owner).wait(exit_bound), 0);
    EXPECT_TRUE(held_by(host).empty());
    // Only hosts of the failure domain take its delegate, and the seat waits
    // for a host without one.
    EXPECT_TRUE(eventually(
        4s,
        [&]
        {
            const auto now = system.owners();
            return std::all_of(
                before.begin(), before.end(),
                [&](const std::string& key) {
                    return key.find("/rate/") == std::string::npos ||
                           now.contains(key);
                });
        }));
}

} // namespace
