#include <zinniahub/rate_ledger.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <random>

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};
constexpr rate_allowance allowance{0.1, 20, 5s};
constexpr rate_limit limit{40, 40};

/// Maximum number of operations in any window.
constexpr double window_limit = (40 * 5 + 40) * 1.1 + 20;

constexpr std::string_view customer = "alba";

std::string host_name(std::size_t number)
{
    return "host-" + std::to_string(100 + number);
}

std::size_t host_number(const std::string& name)
{
    return std::stoul(name.substr(5)) - 100;
}

std::set<std::string> host_names(std::size_t count)
{
    std::set<std::string> names;
    for (std::size_t number = 0; number < count; ++number)
    {
        names.insert(host_name(number));
    }
    return names;
}

/// Shares that the planner gives to hosts that start together.
rate_shares equal_shares(std::size_t count)
{
    share_planner planner({.host = host_name(0)});
    const auto hosts = host_names(count);
    planner.on_tick(hosts, {}, start);
    return planner.on_tick(hosts, {}, start + 1s)->shares;
}

std::uint32_t
share_of_customer(const rate_shares& shares, std::string_view host)
{
    return count_portions(customer, shares.ranges_of(host)) *
           rate_shares::total_parts / portions_per_limit;
}

} // namespace

// Guards against shares whose sum exceeds the total.
TEST(share_planner, first_host_gives_equal_shares)
{
    share_planner planner({.host = "a"});
    const std::set<std::string> hosts{"a", "b", "c"};
    EXPECT_FALSE(planner.on_tick(hosts, {}, start));
    const auto change = planner.on_tick(hosts, {}, start + 700ms);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->shares.share_of("a"), change->shares.share_of("c"));
    EXPECT_LE(change->shares.sum(), rate_shares::total_parts);
    EXPECT_TRUE(change->removed_hosts.empty());
}

// Guards against a host that waits indefinitely for the first host, which may
// be down.
TEST(share_planner, host_without_share_adds_itself)
{
    share_planner planner({.host = "b"});
    const std::set<std::string> hosts{"a", "b"};
    EXPECT_FALSE(planner.on_tick(hosts, {}, start));
    EXPECT_FALSE(planner.on_tick(hosts, {}, start + 1s));
    const auto change = planner.on_tick(hosts, {}, start + 1500ms);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->shares.share_of("a"), 0U);
    EXPECT_GT(change->shares.share_of("b"), 0U);
}

// Guards against reassigning the share of a host that is still registered.
TEST(share_planner, takes_only_shares_of_hosts_that_are_gone)
{
    share_planner planner({.host = "a"});
    rate_shares shares;
    shares.by_host = {
        {"a", part_ranges({{0, 4000}})}, {"gone", part_ranges({{4000, 8000}})}};
    const std::set<std::string> hosts{"a", "b"};
    planner.on_tick(hosts, shares, start);
    // The host may have read its registration just before it ended.
    const auto early = planner.on_tick(hosts, shares, start + 8s);
    ASSERT_TRUE(early);
    EXPECT_TRUE(early->removed_hosts.empty());
    EXPECT_EQ(early->shares.share_of("gone"), 4000U);
    const auto change = planner.on_tick(hosts, shares, start + 9s);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->removed_hosts, std::vector<std::string>{"gone"});
    EXPECT_GT(change->shares.share_of("b"), 0U);
    EXPECT_LE(change->shares.sum(), rate_shares::total_parts);
}

// Guards against taking the share of a host that was registered again in
// between.
TEST(share_planner, counts_the_delay_from_the_last_registration)
{
    share_planner planner({.host = "a"});
    rate_shares shares;
    shares.by_host = {
        {"a", part_ranges({{0, 4000}})}, {"b", part_ranges({{4000, 10000}})}};
    planner.on_tick({"a", "c"}, shares, start);
    planner.on_tick({"a", "b", "c"}, shares, start + 8s);
    planner.on_tick({"a", "c"}, shares, start + 9s);
    const auto change = planner.on_tick({"a", "c"}, shares, start + 17s);
    EXPECT_TRUE(!change || change->removed_hosts.empty());
    ASSERT_TRUE(planner.on_tick({"a", "c"}, shares, start + 18s));
}

// Guards against a joining host that never gets a share.
TEST(share_planner, makes_room_for_hosts_without_a_share)
{
    share_planner planner({.host = "a"});
    rate_shares shares;
    shares.by_host = {
        {"a", part_ranges({{0, 5000}})}, {"b", part_ranges({{5000, 10000}})}};
    const std::set<std::string> hosts{"a", "b", "c"};
    planner.on_tick(hosts, shares, start);
    const auto change = planner.on_tick(hosts, shares, start + 1s);
    ASSERT_TRUE(change);
    EXPECT_LT(change->shares.share_of("a"), 5000U);
    EXPECT_EQ(change->shares.share_of("b"), 5000U);
}

// Guards against spending tokens again that a previous process of the host
// already spent.
TEST(host_rate_limiter, starts_empty)
{
    host_rate_limiter limiter(allowance, limit, start);
    limiter.set_share(rate_shares::total_parts, start);
    EXPECT_FALSE(limiter.try_take(start));
    EXPECT_TRUE(limiter.try_take(start + 100ms));
}

// Guards against exceeding the limit in any window, for random sequences of
// restarts, token transfers and requests on three hosts.
TEST(host_rate_limiter, all_hosts_together_keep_the_limit)
{
    EXPECT_TRUE(rc::check(
        []
        {
            std::vector<host_rate_limiter> limiters(
                3, host_rate_limiter(allowance, limit, start));
            for (auto& limiter : limiters)
            {
                limiter.set_share(rate_shares::total_parts / 3, start);
            }
            std::deque<time_point> taken;
            auto now = start;
            for (int step = 0; step < 600; ++step)
            {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
                const auto host = *rc::gen::inRange(0, 3);
                const auto other = (host + 1) % 3;
                switch (*rc::gen::inRange(0, 12))
                {
                case 0:
                    limiters[host] = host_rate_limiter(allowance, limit, now);
                    limiters[host].set_share(rate_shares::total_parts / 3, now);
                    break;
                case 1:
                case 2:
                    limiters[host].receive(
                        limiters[other].give(limiters[host].wanted(now), now),
                        now);
                    break;
                default:
                    while (limiters[host].try_take(now))
                    {
                        taken.push_back(now);
                    }
                }
                while (!taken.empty() && now - taken.front() > 5s)
                {
                    taken.pop_front();
                }
                RC_ASSERT(static_cast<double>(taken.size()) <= window_limit);
            }
        }));
}

// Guards against refusing part of a steady load that is within the limit.
TEST(host_rate_limiter, serves_a_steady_load_at_the_rate)
{
    host_rate_limiter limiter(allowance, limit, start);
    limiter.set_share(rate_shares::total_parts, start);
    int served = 0;
    for (int step = 1; step <= 400; ++step)
    {
        served += limiter.try_take(start + step * 25ms) ? 1 : 0;
    }
    EXPECT_GE(served, 396);
}

// Guards against refusing requests within a small limit because its tokens are
// divided into fractions that no host can use.
TEST(host_rate_limiter, hosts_together_serve_a_small_limit_in_full)
{
    constexpr std::size_t hosts = 8;
    constexpr rate_limit small{30, 30};
    std::vector<host_rate_limiter> limiters(
        hosts, host_rate_limiter(allowance, small, start));
    for (auto& limiter : limiters)
    {
        limiter.set_share(
            2 * rate_shares::total_parts / (2 * hosts + 1), start);
    }
    // One host receives at least a quarter of the load.
    constexpr auto load = 45;
    constexpr auto period = 20s;
    int served = 0;
    for (int request = 1; request <= load * (period / 1s); ++request)
    {
        const auto now = start + request * duration(1s) / load;
        const auto host = request % 4 == 0
                              ? 0
                              : static_cast<std::size_t>(request * 7 % hosts);
        auto& own = limiters[host];
        bool taken = own.try_take(now);
        for (std::size_t i = 1; i < hosts && !taken; ++i)
        {
            auto& other = limiters[(host + i) % hosts];
            own.receive(other.give(own.wanted(now), now), now);
            taken = own.try_take(now);
        }
        served += taken ? 1 : 0;
    }
    // Number of operations that the limit allows over a long period.
    const auto allowed =
        small.rate * (1 + allowance.overage) * to_seconds(period);
    EXPECT_GE(served, allowed);
}

// Guards against refusing a request although the host's own bucket refills in
// time, and against waiting for tokens that never arrive.
TEST(host_rate_limiter, reports_time_until_tokens_are_available)
{
    host_rate_limiter limiter(allowance, limit, start);
    EXPECT_EQ(limiter.time_until_available(1, start), duration::max());
    limiter.set_share(rate_shares::total_parts, start);
    const auto wait = limiter.time_until_available(1, start);
    EXPECT_LT(wait, 50ms);
    EXPECT_FALSE(limiter.try_take(start + wait - 1ms));
    EXPECT_TRUE(limiter.try_take(start + wait + 1ms));
    EXPECT_EQ(limiter.time_until_available(10'000, start), duration::max());
}

// Guards against refusing a customer with a small limit on many hosts, each of
// which has too small a part of the limit to hold a whole token, although all
// hosts together are far below the limit.
TEST(host_rate_limiter, many_hosts_serve_a_small_limit)
{
    constexpr std::size_t hosts = 80;
    constexpr std::size_t max_keepers_asked = 6;
    constexpr rate_limit small{16, 24};
    constexpr auto load = 10;
    const auto shares = equal_shares(hosts);
    std::vector<host_rate_limiter> limiters(
        hosts, host_rate_limiter(allowance, small, start));
    for (std::size_t host = 0; host < hosts; ++host)
    {
        limiters[host].set_share(
            share_of_customer(shares, host_name(host)), start);
    }
    const auto keepers = shares.keepers_of(customer);
    std::mt19937_64 random(1);
    int requests = 0;
    int served = 0;
    for (auto now = start + 5s; now < start + 65s; now += duration(1s) / load)
    {
        auto& own = limiters[random() % hosts];
        bool taken = own.try_take(now);
        for (std::size_t i = 0; i < max_keepers_asked && !taken; ++i)
        {
            const auto& keeper = keepers[random() % keepers.size()];
            auto& other = limiters[host_number(keeper)];
            own.receive(other.give(own.wanted(now), now), now);
            taken = own.try_take(now);
        }
        ++requests;
        served += taken ? 1 : 0;
    }
    EXPECT_GE(served, 0.99 * requests);
}
