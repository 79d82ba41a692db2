#include <zinniahub/relay_planner.hpp>

#include <gtest/gtest.h>

#include <array>
#include <set>

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

const time_point start{1h};
constexpr duration interval = 500ms;

host_entry host(const std::string& name, const std::string& domain = "lodz-a")
{
    return {name, domain, "127.0.0.1:7000", 1, false};
}

/// Hosts of two failure domains.
host_list listed_hosts()
{
    host_list hosts;
    hosts.on_listed(
        std::array{host("entry-0"), host("entry-1"), host("entry-2", "lodz-b")},
        start);
    return hosts;
}

relay_planner planner_of(const std::string& name)
{
    return relay_planner({name, "lodz-a", interval});
}

relay_planner::view follower()
{
    return {false, "entry-0", start};
}

/// Hosts asked in consecutive rounds.
std::set<std::string> asked_in(
    int rounds, relay_planner& planner, const host_list& hosts,
    const relay_planner::view& seen, time_point from)
{
    std::set<std::string> asked;
    for (int i = 0; i < rounds; ++i)
    {
        for (auto& name : planner.next(hosts, seen, from + i * interval).hosts)
        {
            asked.insert(std::move(name));
        }
    }
    return asked;
}

using names = std::vector<std::string>;

// Guards against every host watching the platform, which would exceed its read
// limit.
TEST(relay_planner, follower_with_a_current_parent_does_not_watch)
{
    auto planner = planner_of("entry-1");
    const auto hosts = listed_hosts();
    EXPECT_TRUE(planner.next(hosts, follower(), start).watch_platform);
    planner.on_current_reply(start, 100ms);
    const auto plan = planner.next(hosts, follower(), start + interval);
    EXPECT_FALSE(plan.watch_platform);
    EXPECT_EQ(plan.hosts, names{"entry-0"});
}

// Guards against a host that relies on a parent whose configuration is
// outdated.
TEST(relay_planner, follower_watches_when_its_parent_is_not_current)
{
    auto planner = planner_of("entry-1");
    const auto hosts = listed_hosts();
    planner.on_current_reply(start, 4 * interval);
    EXPECT_TRUE(planner.next(hosts, follower(), start).watch_platform);
    planner.on_current_reply(start, 0ms);
    EXPECT_FALSE(planner.next(hosts, follower(), start).watch_platform);
    EXPECT_TRUE(
        planner.next(hosts, follower(), start + 4 * interval).watch_platform);
}

// Guards against a delegate that asks the hosts of its own tree, which get
// their configuration from the delegate.
TEST(relay_planner, delegate_watches_and_asks_nobody)
{
    auto planner = planner_of("entry-0");
    auto hosts = listed_hosts();
    hosts.on_reported(host("entry-0"), start);
    hosts.on_reported(host("entry-1"), start);
    const auto plan = planner.next(hosts, {true, "entry-0", start}, start);
    EXPECT_TRUE(plan.watch_platform);
    EXPECT_TRUE(plan.hosts.empty());
}

// Guards against a host without platform access that asks only hosts of other
// failure domains: one in its own may still reach the platform.
TEST(relay_planner, host_without_confirmation_asks_every_live_host)
{
    auto planner = planner_of("entry-0");
    auto hosts = listed_hosts();
    const relay_planner::view seen{false, "entry-0", start};
    const auto later = start + 4 * interval + 1ms;
    EXPECT_TRUE(planner.next(hosts, seen, later).watch_platform);
    EXPECT_EQ(
        asked_in(4, planner, hosts, seen, later),
        (std::set<std::string>{"entry-1", "entry-2"}));
}

// Guards against a host without platform access that drops its peers once the
// platform's list is older than 10 s.
TEST(relay_planner, host_without_a_list_asks_all_known_hosts)
{
    auto planner = planner_of("entry-0");
    auto hosts = listed_hosts();
    const relay_planner::view seen{false, "", start};
    EXPECT_EQ(
        asked_in(6, planner, hosts, seen, start + 60s),
        (std::set<std::string>{"entry-1", "entry-2"}));
}

// Guards against a host that lost the platform before it received a host list,
// so that it knows no other host and is contacted by none.
TEST(relay_planner, delegate_contacts_each_unreported_host_of_its_domain_once)
{
    auto planner = planner_of("entry-0");
    auto hosts = listed_hosts();
    hosts.on_reported(host("entry-0"), start);
    const relay_planner::view seen{true, "entry-0", start};
    EXPECT_EQ(planner.next(hosts, seen, start).hosts, names{"entry-1"});
    hosts.on_reported(host("entry-1"), start);
    EXPECT_TRUE(planner.next(hosts, seen, start + interval).hosts.empty());
}

} // namespace
