#include <zinniahub/membership.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

const time_point start{1h};

host_entry host(std::string name, std::uint64_t incarnation = 1)
{
    return {std::move(name), "lodz-a", "127.0.0.1:7000", incarnation, false};
}

std::vector<std::string> names_of(std::span<const host_entry> hosts)
{
    std::vector<std::string> names;
    for (const auto& entry : hosts)
    {
        names.push_back(entry.name);
    }
    return names;
}

std::vector<std::string> numbered_hosts(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
    {
        names.push_back(fmt::format("entry-{:04}", i));
    }
    return names;
}

// Guards against choosing relays and delegates from hosts that are not live.
TEST(membership, liveness_follows_reports_and_listings)
{
    struct row
    {
        const char* name;
        void (*play)(host_list&);
        duration at;
        bool live;
    };
    const auto listed = [](host_list& list)
    { list.on_listed(std::array{host("a")}, start); };
    const auto reported = [](host_list& list)
    { list.on_reported(host("a"), start); };
    const auto unresponsive = [](host_list& list)
    {
        list.on_listed(std::array{host("a")}, start);
        list.on_unresponsive("a", start + 1s);
    };
    const auto crashed = [](host_list& list)
    {
        list.on_reported(host("a"), start);
        list.on_listed(std::array{host("a")}, start + 2s);
        list.on_unresponsive("a", start + 1s);
    };
    const auto recovered = [](host_list& list)
    {
        list.on_listed(std::array{host("a")}, start);
        list.on_unresponsive("a", start);
        list.on_reported(host("a"), start + 4s);
    };
    const auto restarted = [](host_list& list)
    {
        list.on_listed(std::array{host("a")}, start);
        list.on_unresponsive("a", start);
        list.on_listed(std::array{host("a", 2)}, start + 4s);
        list.on_listed(std::array{host("a", 1)}, start + 5s);
    };
    const row rows[] = {
        {"listed", listed, 9999ms, true},
        {"listed too long ago", listed, 10s, false},
        {"reported", reported, 2999ms, true},
        {"reported too long ago", reported, 3s, false},
        {"unresponsive for a short time", unresponsive, 3999ms, true},
        {"listed and unresponsive", unresponsive, 4s, false},
        {"reported, then unresponsive", crashed, 2999ms, true},
        {"reported, then unresponsive and listed again", crashed, 3s, false},
        {"unresponsive, then reported", recovered, 8s, true},
        {"restarted, with an outdated list", restarted, 13s, true}};
    for (const auto& [name, play, at, live] : rows)
    {
        host_list list;
        play(list);
        EXPECT_EQ(!list.live(start + at).empty(), live) << name;
    }
    host_list list;
    unresponsive(list);
    EXPECT_TRUE(list.unresponsive(start + 3s).empty());
    EXPECT_EQ(
        names_of(list.unresponsive(start + 5s)), std::vector<std::string>{"a"});
}

// Guards against an older incarnation that replaces a newer one.
TEST(membership, higher_incarnation_wins_in_any_order)
{
    std::array entries{host("a", 1), host("a", 2), host("a", 3), host("b", 1)};
    entries[1].leaving = true;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        std::mt19937_64 random(seed);
        std::shuffle(entries.begin(), entries.end(), random);
        host_list list;
        for (const auto& entry : entries)
        {
            random() % 2 == 0 ? list.on_reported(entry, start)
                              : list.on_listed(std::array{entry}, start);
        }
        const std::vector expected{host("a", 3), host("b", 1)};
        EXPECT_EQ(list.live(start), expected) << seed;
    }
}

// Guards against a leaving host that becomes a relay again because of an
// outdated list.
TEST(membership, leaving_host_stays_leaving_until_it_restarts)
{
    host_list list;
    auto leaving = host("a");
    leaving.leaving = true;
    list.on_reported(leaving, start);
    list.on_listed(std::array{host("a"), host("b")}, start);
    const auto live = list.live(start);
    ASSERT_EQ(live.size(), 2U);
    EXPECT_TRUE(live[0].leaving);
    const auto tree = relay_tree::of_domain(live, "lodz-a");
    EXPECT_EQ(*tree.delegate_candidate(), "b");
    EXPECT_EQ(tree.rank_of("a"), std::nullopt);
    list.on_reported(host("a", 2), start);
    EXPECT_FALSE(list.live(start)[0].leaving);
}

// Guards against hosts that are served by no relay or by two relays.
TEST(membership, relay_tree_reaches_every_host_once)
{
    for (const std::size_t count : {0, 1, 2, 16, 17, 18, 290, 2'900})
    {
        const relay_tree tree(numbered_hosts(count));
        std::set<std::string> served;
        for (const auto& name : tree.hosts())
        {
            EXPECT_LE(tree.children_of(name).size(), relay_fan_out);
            for (const auto& child : tree.children_of(name))
            {
                EXPECT_TRUE(served.insert(child).second) << child;
                EXPECT_EQ(*tree.parent_of(child), name);
            }
        }
        EXPECT_EQ(served.size(), count == 0 ? 0 : count - 1);
        EXPECT_EQ(tree.delegate_candidate() == nullptr, count == 0);
        EXPECT_EQ(tree.parent_of("entry-0000"), nullptr);
        EXPECT_EQ(tree.parent_of("unknown"), nullptr);
        EXPECT_TRUE(tree.children_of("unknown").empty());
    }
}

// Guards against hosts that disagree on ranks, and against an uneven
// distribution of the first rank.
TEST(membership, rendezvous_order_is_consistent_and_balanced)
{
    const auto hosts = numbered_hosts(8);
    auto reversed = hosts;
    std::reverse(reversed.begin(), reversed.end());
    std::array<int, 8> first{};
    for (std::uint64_t id = 0; id < 8'000; ++id)
    {
        const auto order = rendezvous_order(id, hosts);
        const auto other = rendezvous_order(id, reversed);
        ++first[order[0]];
        for (std::uint32_t rank = 0; rank < order.size(); ++rank)
        {
            ASSERT_EQ(hosts[order[rank]], reversed[other[rank]]);
            ASSERT_EQ(rank_of(id, hosts, hosts[order[rank]]), rank);
        }
    }
    // The expected count per host is 1000 with a standard deviation of 30.
    EXPECT_GT(*std::min_element(first.begin(), first.end()), 850);
    EXPECT_LT(*std::max_element(first.begin(), first.end()), 1'150);
}

// Guards against a changed hash function, which would make hosts of different
// versions disagree on ranks.
TEST(membership, rendezvous_order_does_not_change_between_versions)
{
    const auto hosts = numbered_hosts(5);
    const std::vector<std::size_t> expected{4, 2, 0, 1, 3};
    EXPECT_EQ(rendezvous_order(7, hosts), expected);
}

// Guards against unrelated rank changes when one host leaves.
TEST(membership, only_the_ids_of_a_removed_host_move)
{
    const auto hosts = numbered_hosts(8);
    const std::span remaining = std::span(hosts).first(7);
    for (std::uint64_t id = 0; id < 500; ++id)
    {
        const auto before = rendezvous_order(id, hosts)[0];
        const auto after = rendezvous_order(id, remaining)[0];
        EXPECT_TRUE(before == 7 || before == after) << id;
    }
}

// Guards against a snapshot of the live hosts that misses a change, or that is
// copied without a change. The steps are random with a fixed seed.
TEST(membership, snapshot_of_live_hosts_follows_every_change)
{
    std::mt19937_64 random(7);
    host_list list;
    auto now = start;
    for (int step = 0; step < 20'000; ++step)
    {
        now += std::chrono::milliseconds(random() % 400);
        auto entry = host(fmt::format("entry-{}", random() % 6));
        entry.incarnation += random() % 50 == 0 ? step : 0;
        entry.leaving = random() % 500 == 0;
        switch (random() % 8)
        {
        case 0:
            list.on_listed(std::array{entry}, now);
            break;
        case 1:
            list.on_reported(entry, now);
            break;
        case 2:
            list.on_unresponsive(entry.name, now);
            break;
        default:
            break;
        }
        const auto after = list.live_snapshot(now);
        ASSERT_EQ(*after, list.live(now)) << step;
        ASSERT_EQ(list.live_snapshot(now), after) << step;
    }
    // Another report from a live host changes nothing.
    list.on_reported(host("entry-9"), now);
    const auto before = list.live_snapshot(now);
    list.on_reported(host("entry-9"), now + 1ms);
    EXPECT_EQ(list.live_snapshot(now + 1ms), before);
}

} // namespace
