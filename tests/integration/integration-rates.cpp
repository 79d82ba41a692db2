#include "support/fleet.hpp"
#include "support/load.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <thread>

namespace
{

using zinniahub::clock;
using zinniahub::errc;
using zinniahub::rate_limit;
using zinniahub::time_point;
using zinniahub::test::eventually;
using zinniahub::test::fleet;
using zinniahub::test::fleet_options;
using zinniahub::test::greatest_excess;
using zinniahub::test::load;
using zinniahub::test::load_options;
using zinniahub::test::reads_of;
using zinniahub::test::refused_share;
using zinniahub::test::request_records;
using namespace std::chrono_literals;

const std::string customer = "plant-lodz";

constexpr std::size_t proxy_count = 8;
/// Lease of a rate owner plus the lifetime of tokens, rounded up.
constexpr auto lease_and_tokens = 2500ms;

fleet_options eight_proxies(rate_limit limit)
{
    fleet_options options;
    options.proxies = proxy_count;
    options.members = 2;
    options.slots = 100;
    options.connections = 200;
    options.customers = {{customer, {limit.rate, limit.burst}}};
    return options;
}

// Rates

constexpr rate_limit flooded{200, 100};

/// @brief Keeps every proxy short of tokens: the callers give up a request
/// after 100 ms and send the next one.
load_options flood()
{
    auto values = reads_of(customer);
    values.callers = 3 * proxy_count;
    values.deadline = 100ms;
    return values;
}

/// @brief Lets the load run for a part of the scenario.
void run_for(std::chrono::milliseconds length)
{
    std::this_thread::sleep_for(length);
}

/// @brief Waits until the load gets more than the reserved floors give, which
/// shows that a pool grants tokens.
bool pool_serves(const load& traffic)
{
    return eventually(
        15s,
        [&]
        {
            const auto before = traffic.done_operations();
            run_for(1s);
            return static_cast<double>(traffic.done_operations() - before) >=
                   0.5 * flooded.rate;
        });
}

void expect_within_limit(
    const request_records& records, rate_limit limit = flooded)
{
    const auto excess = greatest_excess(records, limit);
    testing::Test::RecordProperty("excess", std::to_string(excess));
    EXPECT_LE(excess, 0);
}

// Guards against tokens of a dead holder or of a dead owner that are granted
// again: a proxy dies, then the owner of the pool dies, under flood.
TEST(rates, sum_is_kept_when_a_proxy_and_the_owner_die)
{
    fleet system{eight_proxies(flooded)};
    ASSERT_TRUE(system.wait_until_rates_settle());
    load traffic(system, flood());
    ASSERT_TRUE(pool_serves(traffic));
    const auto owner = system.rate_owner_of(customer);
    ASSERT_TRUE(owner);
    system.proxy((*owner + 1) % proxy_count).kill();
    run_for(1s);
    system.proxy(*owner).kill();
    run_for(lease_and_tokens);
    EXPECT_TRUE(pool_serves(traffic));
    expect_within_limit(traffic.stop());
}

// Guards against a holder or an owner that uses tokens or a pool after a pause
// that was longer than their lifetime.
TEST(rates, sum_is_kept_when_frozen_proxies_resume)
{
    fleet system{eight_proxies(flooded)};
    ASSERT_TRUE(system.wait_until_rates_settle());
    load traffic(system, flood());
    ASSERT_TRUE(pool_serves(traffic));
    const auto owner = system.rate_owner_of(customer);
    ASSERT_TRUE(owner);
    const auto holder = (*owner + 1) % proxy_count;
    system.proxy(*owner).freeze();
    system.proxy(holder).freeze();
    const bool moved = eventually(
        15s,
        [&]
        {
            const auto now = system.rate_owner_of(customer);
            return now && *now != *owner;
        });
    EXPECT_TRUE(moved);
    EXPECT_TRUE(pool_serves(traffic));
    system.proxy(*owner).resume();
    system.proxy(holder).resume();
    EXPECT_TRUE(pool_serves(traffic));
    expect_within_limit(traffic.stop());
}

// Guards against an owner that grants after its lease while the platform is
// down, slow or loses answers, also when an owner dies during the outage.
TEST(rates, sum_is_kept_when_the_platform_fails)
{
    fleet system{eight_proxies(flooded)};
    ASSERT_TRUE(system.wait_until_rates_settle());
    load traffic(system, flood());
    ASSERT_TRUE(pool_serves(traffic));
    system.platform_command("slow 300");
    system.platform_command("lose-answers 10");
    run_for(2s);
    system.platform_command("heal");
    EXPECT_TRUE(pool_serves(traffic));
    const auto owner = system.rate_owner_of(customer);
    ASSERT_TRUE(owner);
    system.platform_command("outage 4000");
    run_for(500ms);
    system.proxy(*owner).kill();
    run_for(3500ms);
    EXPECT_TRUE(pool_serves(traffic));
    expect_within_limit(traffic.stop());
}

// Guards against two sides of a partition that both grant the pool: the links
// between the failure domains are cut while all domains reach the platform.
TEST(rates, sum_is_kept_when_peer_links_between_domains_are_cut)
{
    auto options = eight_proxies(flooded);
    options.peer_faults = true;
    fleet system{options};
    ASSERT_TRUE(system.wait_until_rates_settle());
    load traffic(system, flood());
    ASSERT_TRUE(pool_serves(traffic));
    const auto between_domains = [&](const std::string& command)
    {
        for (std::size_t from = 0; from < proxy_count; ++from)
        {
            for (std::size_t to = 0; to < proxy_count; ++to)
            {
                if (system.domain_of_proxy(from) != system.domain_of_proxy(to))
                {
                    system.peer_fault(from, to, command);
                }
            }
        }
    };
    between_domains("cut");
    run_for(3s);
    between_domains("heal");
    EXPECT_TRUE(pool_serves(traffic));
    expect_within_limit(traffic.stop());
}

// Guards against tokens of the old rate that are used after a lower rate is in
// force on all hosts.
TEST(rates, lowered_rate_holds_from_when_it_is_in_force)
{
    fleet system{eight_proxies(flooded)};
    ASSERT_TRUE(system.wait_until_rates_settle());
    load traffic(system, flood());
    ASSERT_TRUE(pool_serves(traffic));
    constexpr rate_limit lowered{40, 20};
    ASSERT_EQ(
        system
            .operate(
                {"apply", "customer", customer, "--rate", "40", "--burst",
                 "20"})
            .exit_code,
        0);
    const auto watched =
        system.operate({"watch", "customer", customer, "--timeout", "14"});
    EXPECT_EQ(watched.exit_code, 0) << watched.output;
    const auto in_force_at = clock::now();
    run_for(4s);
    const auto records = traffic.stop();
    expect_within_limit(records);
    const auto excess = greatest_excess(records, lowered, in_force_at);
    RecordProperty("lowered_excess", std::to_string(excess));
    EXPECT_LE(excess, 0);
}

// Wrongful refusals: requests within the rate that are refused.

/// Bounds of the design.
constexpr double wrongful_bound = 0.01;
constexpr double wrongful_bound_when_a_host_dies = 0.02;
/// Part of its rate that a customer uses.
constexpr double steady_part = 0.95;

constexpr rate_limit steady{300, 150};

load_options steady_load()
{
    auto values = reads_of(customer);
    // Enough callers for the rate when every request waits 1 s for a token.
    values.callers = 300;
    values.rate = steady_part * steady.rate;
    return values;
}

/// @brief Part of the requests that is refused when the load goes to the
/// proxies that `target` names.
double wrongful_share(
    const std::string& settings,
    const std::function<std::size_t(std::size_t)>& target,
    std::chrono::milliseconds length)
{
    auto options = eight_proxies(steady);
    options.settings = settings;
    fleet system{options};
    EXPECT_TRUE(system.wait_until_rates_settle());
    auto values = steady_load();
    values.target = target;
    load traffic(system, values);
    run_for(length);
    const auto records = traffic.stop();
    // The load has to be offered in full.
    EXPECT_GE(
        static_cast<double>(records.size()),
        0.98 * values.rate * zinniahub::to_seconds(length));
    const auto share = refused_share(records);
    testing::Test::RecordProperty("wrongful_share", std::to_string(share));
    return share;
}

std::size_t proxy_three(std::size_t)
{
    return 3;
}

// Guards against a rate that remains unused on hosts without load.
TEST(rates, load_on_one_proxy_is_not_refused_wrongly)
{
    EXPECT_LT(wrongful_share("", proxy_three, 6s), wrongful_bound);
}

// Shows that the check above can fail: an equal part of the rate per host
// leaves seven eighths of it unused.
TEST(rates, static_split_refuses_load_on_one_proxy)
{
    EXPECT_GT(
        wrongful_share(
            "[rates]\nstrategy = \"static_split\"\n", proxy_three, 3s),
        wrongful_bound);
}

// Guards against tokens that follow a moving load too slowly.
TEST(rates, load_that_moves_every_2_s_is_not_refused_wrongly)
{
    const auto moving = [](std::size_t)
    {
        return static_cast<std::size_t>(
            clock::now().time_since_epoch() / std::chrono::seconds(2));
    };
    EXPECT_LT(wrongful_share("", moving, 10s), wrongful_bound);
}

constexpr rate_limit part{60, 60};
constexpr std::size_t candidates = 32;

/// @brief Chooses one customer per proxy, whose pool that proxy owns.
std::vector<std::string> one_customer_per_owner(const fleet& system)
{
    std::map<std::size_t, std::string> by_owner;
    for (std::size_t i = 0; i < candidates; ++i)
    {
        const auto name = "plant-" + std::to_string(i);
        if (const auto owner = system.rate_owner_of(name))
        {
            by_owner.try_emplace(*owner, name);
        }
    }
    std::vector<std::string> names;
    names.reserve(by_owner.size());
    for (const auto& [owner, name] : by_owner)
    {
        names.push_back(name);
    }
    return names;
}

// Guards against long unavailability of a failed host's tokens or pools. Eight
// customers are spread over all proxies, each with its pool on another one, as
// in the simulation of the unit tests.
TEST(rates, refusals_are_few_while_a_proxy_dies)
{
    auto options = eight_proxies(steady);
    options.customers.clear();
    for (std::size_t i = 0; i < candidates; ++i)
    {
        options.customers["plant-" + std::to_string(i)] = {
            part.rate, part.burst};
    }
    fleet system{options};
    ASSERT_TRUE(system.wait_until_rates_settle());
    const auto names = one_customer_per_owner(system);
    ASSERT_GE(names.size(), proxy_count - 2);
    std::vector<std::unique_ptr<load>> loads;
    for (const auto& name : names)
    {
        auto values = reads_of(name);
        values.callers = 8 * proxy_count;
        values.rate = steady_part * part.rate;
        loads.push_back(std::make_unique<load>(system, values));
    }
    run_for(5s);
    const auto owner = system.rate_owner_of(names.front());
    ASSERT_TRUE(owner);
    system.proxy(*owner).kill();
    run_for(22s);
    request_records all;
    for (std::size_t i = 0; i < loads.size(); ++i)
    {
        const auto records = loads[i]->stop();
        EXPECT_LE(greatest_excess(records, part), 0) << names[i];
        RecordProperty(names[i], std::to_string(refused_share(records)));
        all.insert(all.end(), records.begin(), records.end());
    }
    EXPECT_GE(
        static_cast<double>(all.size()), 0.97 * steady_part * part.rate * 27 *
                                             static_cast<double>(names.size()));
    const auto share = refused_share(all);
    RecordProperty("wrongful_share", std::to_string(share));
    EXPECT_LT(share, wrongful_bound_when_a_host_dies);
}

} // namespace
