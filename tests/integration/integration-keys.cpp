#include "support/fleet.hpp"
#include "support/load.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

namespace
{

using zinniahub::clock;
using zinniahub::errc;
using zinniahub::time_point;
using zinniahub::verdict;
using zinniahub::test::caller;
using zinniahub::test::eventually;
using zinniahub::test::fleet;
using zinniahub::test::fleet_options;
using zinniahub::test::load;
using zinniahub::test::reads_of;
using namespace std::chrono_literals;

const std::string desk = "session-desk";
const std::string shop = "shop";
const std::string open_group = "catalogue";
const std::string closed_group = "booth-ledger";

/// Bound of the design between the withdrawal of a key and its last use.
constexpr auto withdrawal_bound = 5s;

fleet_options two_customers()
{
    fleet_options options;
    options.members = 2;
    options.customers = {{desk, {1000, 1000}}, {shop, {1000, 1000}}};
    return options;
}

/// @brief Reports every key that a member has received in any message.
void expect_no_key_upstream(
    const fleet& system, const std::vector<std::string>& keys)
{
    for (const auto& member : system.member_names())
    {
        for (const auto& key : keys)
        {
            EXPECT_EQ(system.member_command(member, "seen " + key), "no")
                << member;
        }
    }
}

/// @brief Waits until the proxies know each other and serve at the full rate.
/// A host learns the addresses of the others from the platform once.
void wait_until_connected(const fleet& system)
{
    for (std::size_t i = 0; i < system.proxies(); ++i)
    {
        EXPECT_TRUE(eventually(
            10s,
            [&]
            {
                return system.metric(i, "zinniahub_live_hosts") >=
                       static_cast<double>(system.proxies());
            }));
    }
    EXPECT_TRUE(system.wait_until_rates_settle());
}

std::string withdraw_key(const fleet& system, const std::string& customer)
{
    const auto result =
        system.operate({"withdraw", "key", customer, "--id", "first"});
    return result.exit_code == 0 ? std::string() : result.output;
}

// Guards against a request that runs without the key of its customer, and
// against a check of one group that is used for another.
TEST(keys, request_runs_only_with_the_key_of_its_customer)
{
    auto options = two_customers();
    options.groups = {closed_group, open_group};
    fleet system{options};
    ASSERT_EQ(
        system
            .operate(
                {"apply", "customer", shop, "--rate", "1000", "--burst", "1000",
                 "--group", open_group})
            .exit_code,
        0);
    ASSERT_EQ(
        system
            .operate(
                {"apply", "customer", "anonymous", "--rate", "100", "--burst",
                 "100"})
            .exit_code,
        0);
    ASSERT_EQ(system.open_group(open_group).exit_code, 0);
    const std::string wrong = "not-the-key-of-anyone-0123456789";
    for (std::size_t i = 0; i < system.proxies(); ++i)
    {
        auto guest = system.connect(i, "nobody", open_group);
        EXPECT_TRUE(
            eventually(14s, [&] { return guest->read("get r/1").is_done(); }));
        auto unknown = system.connect(i, "nobody", closed_group);
        const auto keyless = unknown->write("put r/1 keyless");
        EXPECT_EQ(keyless.code, errc::key_missing);
        EXPECT_EQ(keyless.outcome, verdict::not_run);
        unknown->set_key(wrong);
        const auto refused = unknown->write("put r/1 wrong");
        EXPECT_EQ(refused.code, errc::key_invalid);
        EXPECT_EQ(refused.outcome, verdict::not_run);
        auto buyer = system.connect(i, shop, closed_group);
        const auto not_allowed = buyer->write("put r/1 other");
        EXPECT_EQ(not_allowed.code, errc::group_not_allowed);
        EXPECT_EQ(not_allowed.outcome, verdict::not_run);
        // A wrong key is refused also where no key is needed.
        guest->set_key(wrong);
        EXPECT_EQ(guest->write("put r/1 guest").code, errc::key_invalid);
    }
    for (const auto& member : system.member_names())
    {
        EXPECT_FALSE(system.rows_of(member).contains("r/1")) << member;
    }
    expect_no_key_upstream(
        system, {wrong, system.key_of(desk), system.key_of(shop)});
    // The check can fail: the members do record what they receive.
    const auto names = system.member_names();
    EXPECT_TRUE(std::any_of(
        names.begin(), names.end(),
        [&](const auto& member)
        { return system.member_command(member, "seen get r/1") == "yes"; }));
}

// Guards against a transaction that goes on under the key of another customer.
TEST(keys, transaction_is_not_continued_with_the_key_of_another_customer)
{
    fleet system{two_customers()};
    auto session = system.connect(0, desk);
    ASSERT_TRUE(session->begin().is_done());
    ASSERT_TRUE(session->write("put fee/1 40").is_done());
    session->set_key(system.key_of(shop));
    EXPECT_EQ(session->write("put fee/1 0").outcome, verdict::not_run);
    EXPECT_EQ(session->commit().outcome, verdict::not_run);
    auto reader = system.connect(0, desk);
    EXPECT_EQ(reader->read("get fee/1").value(), "");
    expect_no_key_upstream(system, {system.key_of(desk), system.key_of(shop)});
}

/// Failures under which a withdrawn key has to stop working.
struct withdrawal_case
{
    const char* name;
    bool platform_slow;
    /// The domain of proxy 1 is cut off from the platform but not from the
    /// other failure domains.
    bool cut_from_platform;

    /// Keeps the test's name in ctest the same in every run.
    friend void PrintTo(const withdrawal_case& tested, std::ostream* out)
    {
        *out << tested.name;
    }
};

class withdrawal : public testing::TestWithParam<withdrawal_case>
{
};

// Guards against a key that is checked at connection only, and against a
// withdrawal that does not arrive while the platform is slow or cut off.
TEST_P(withdrawal, stops_requests_and_transactions_of_connected_callers)
{
    auto options = two_customers();
    options.platform_faults = true;
    fleet system{options};
    wait_until_connected(system);
    auto values = reads_of(shop);
    values.callers = 2 * system.proxies();
    values.rate = 400;
    load traffic(system, values);

    std::vector<std::unique_ptr<caller>> sessions;
    for (std::size_t i = 0; i < system.proxies(); ++i)
    {
        sessions.push_back(system.connect(i, shop));
        ASSERT_TRUE(sessions.back()->begin().is_done());
        ASSERT_TRUE(sessions.back()
                        ->write("put open/" + std::to_string(i) + " x")
                        .is_done());
    }
    ASSERT_TRUE(
        eventually(5s, [&] { return traffic.done_operations() > 100; }));
    if (GetParam().cut_from_platform)
    {
        system.platform_fault(1, "cut");
    }
    if (GetParam().platform_slow)
    {
        system.platform_command("slow 200");
    }
    ASSERT_EQ(withdraw_key(system, shop), "");
    const auto withdrawn_at = clock::now();

    // The statements of the open transactions go on until they are refused.
    // Each has its own row, so that they do not wait for each other.
    for (std::size_t i = 0; i < sessions.size(); ++i)
    {
        auto& session = *sessions[i];
        zinniahub::test::caller_reply reply;
        EXPECT_TRUE(eventually(
            withdrawal_bound,
            [&]
            {
                reply = session.write("put late/" + std::to_string(i) + " x");
                return reply.code == errc::key_invalid;
            }))
            << i << ": " << reply.detail;
        const auto committed = session.commit();
        EXPECT_EQ(committed.outcome, verdict::not_run) << committed.detail;
    }
    const auto bound = withdrawn_at + withdrawal_bound;
    EXPECT_TRUE(eventually(7s, [&] { return clock::now() > bound + 500ms; }));
    const auto records = traffic.stop();
    const auto late = std::count_if(
        records.begin(), records.end(),
        [&](const auto& entry)
        { return entry.is_admitted() && entry.completed_at > bound; });
    EXPECT_EQ(late, 0);
    time_point last{};
    for (const auto& entry : records)
    {
        last = entry.is_admitted() ? std::max(last, entry.completed_at) : last;
    }
    RecordProperty(
        "last_use_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           last - withdrawn_at)
                           .count()));
    system.platform_command("heal");
    for (const auto& member : system.member_names())
    {
        const auto rows = system.rows_of(member);
        for (std::size_t i = 0; i < sessions.size(); ++i)
        {
            const auto row = std::to_string(i);
            EXPECT_FALSE(rows.contains("open/" + row)) << member;
            EXPECT_FALSE(rows.contains("late/" + row)) << member;
        }
    }
    expect_no_key_upstream(system, {system.key_of(shop)});
}

INSTANTIATE_TEST_SUITE_P(
    keys, withdrawal,
    testing::Values(
        withdrawal_case{"healthy", false, false},
        withdrawal_case{"platform_slow", true, false},
        withdrawal_case{"domain_cut_from_platform", false, true},
        withdrawal_case{"slow_and_cut", true, true}),
    [](const auto& tested) { return std::string(tested.param.name); });

/// @brief Cuts a proxy off from the platform and from all peers.
void cut_off(const fleet& system, std::size_t proxy)
{
    system.platform_fault(proxy, "cut");
    for (std::size_t i = 0; i < system.proxies(); ++i)
    {
        if (i != proxy)
        {
            system.peer_fault(proxy, i, "cut");
            system.peer_fault(i, proxy, "cut");
        }
    }
}

fleet_options isolated_domain()
{
    auto options = two_customers();
    options.platform_faults = true;
    options.peer_faults = true;
    options.settings = "[limits]\nmax_configuration_age_s = 10\n";
    return options;
}

// Guards against a host that serves a withdrawn key indefinitely because it
// cannot learn of the withdrawal.
TEST(keys, domain_cut_off_from_all_refuses_keys_after_the_stated_age)
{
    fleet system{isolated_domain()};
    wait_until_connected(system);
    auto values = reads_of(shop);
    values.callers = 1;
    values.rate = 100;
    values.target = [](std::size_t) { return 1; };
    load traffic(system, values);
    ASSERT_TRUE(eventually(5s, [&] { return traffic.done_operations() > 10; }));
    cut_off(system, 1);
    const auto cut_at = clock::now();
    ASSERT_EQ(withdraw_key(system, shop), "");
    auto session = system.connect(1, desk);
    EXPECT_TRUE(session->read("get r/1").is_done());
    zinniahub::test::caller_reply reply;
    EXPECT_TRUE(eventually(
        11s,
        [&]
        {
            reply = session->read("get r/1");
            return reply.code == errc::configuration_expired &&
                   reply.outcome == verdict::not_run;
        }))
        << static_cast<int>(reply.code) << " " << reply.detail << " age "
        << system.metric(1, "zinniahub_configuration_age_seconds");
    EXPECT_LE(clock::now() - cut_at, 10500ms);
    const auto refused_at = clock::now();
    EXPECT_TRUE(eventually(2s, [&] { return clock::now() > refused_at + 1s; }));
    const auto records = traffic.stop();
    EXPECT_TRUE(std::none_of(
        records.begin(), records.end(),
        [&](const auto& entry)
        { return entry.is_admitted() && entry.sent_at > refused_at; }));
    expect_no_key_upstream(system, {system.key_of(shop), system.key_of(desk)});
}

// Guards against a withdrawal that looks complete while a host cannot learn of
// it.
TEST(keys, watch_shows_a_host_without_confirmation)
{
    fleet system{isolated_domain()};
    wait_until_connected(system);
    cut_off(system, 1);
    ASSERT_EQ(withdraw_key(system, shop), "");
    std::string output;
    const bool shown = eventually(
        15s,
        [&]
        {
            output = system
                         .operate(
                             {"watch", "customer", shop, "--once", "--output",
                              "json"})
                         .output;
            const auto host = output.find("\"host\":\"proxy1\"");
            return host != std::string::npos &&
                   output.find("not confirmed", host) != std::string::npos;
        });
    EXPECT_TRUE(shown) << output;
    EXPECT_NE(output.find("\"converged\":false"), std::string::npos) << output;
}

} // namespace
