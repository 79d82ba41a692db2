#include <zinniahub/idle_budget.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace
{

using namespace zinniahub;

/// Connections that each member accepts.
constexpr std::uint32_t member_limit = 56;
constexpr std::size_t services = 8;
constexpr std::size_t members_per_service = 3;

/// Idle connections that the hosts may keep.
struct fleet_allowance
{
    /// By member.
    std::vector<std::uint32_t> of_member =
        std::vector<std::uint32_t>(services * members_per_service);
    std::vector<std::uint32_t> of_host;
    /// Fewest connections to one member.
    std::uint32_t smallest = member_limit;
};

fleet_allowance allow(std::size_t host_count)
{
    std::vector<std::string> hosts;
    for (std::size_t host = 0; host < host_count; ++host)
    {
        hosts.push_back("host-" + std::to_string(host));
    }
    fleet_allowance all;
    for (const auto& host : hosts)
    {
        idle_budget budget;
        budget.set_hosts(host, hosts);
        std::uint32_t own = 0;
        for (std::size_t service = 0; service < services; ++service)
        {
            const auto share = budget.share_of(
                "service-" + std::to_string(service), member_limit);
            for (std::size_t index = 0; index < members_per_service; ++index)
            {
                const auto allowed = share.allowance(index);
                all.of_member[service * members_per_service + index] += allowed;
                all.smallest = std::min(all.smallest, allowed);
                own += allowed;
            }
        }
        all.of_host.push_back(own);
    }
    return all;
}

// Guards against idle connections that take the half of a member that is kept
// for requests and restarted hosts, and against an allowance that is rounded
// down to nothing, or below one part for each host.
TEST(idle_budget, all_hosts_together_keep_half_of_each_member)
{
    for (const std::size_t hosts : {1U, 8U, 30U, 66U, 295U, 2900U})
    {
        const auto all = allow(hosts);
        for (const auto kept : all.of_member)
        {
            EXPECT_EQ(kept, member_limit / 2) << hosts << " hosts";
        }
        EXPECT_GE(all.smallest, member_limit / 2 / hosts);
    }
}

// Guards against hosts that get nothing while others get much: 66 hosts may
// keep 24 x 56 / 2 / 66 = 10.2 connections each.
TEST(idle_budget, each_host_gets_its_part_of_all_members)
{
    const auto all = allow(66);
    EXPECT_EQ(
        std::accumulate(all.of_host.begin(), all.of_host.end(), 0U),
        services * members_per_service * member_limit / 2);
    // One or two of the three members of each service.
    EXPECT_GE(*std::min_element(all.of_host.begin(), all.of_host.end()), 8U);
    EXPECT_LE(*std::max_element(all.of_host.begin(), all.of_host.end()), 16U);
}

// Guards against a host that takes a remainder which the registered hosts have
// already divided.
TEST(idle_budget, unregistered_host_takes_no_remainder)
{
    idle_budget budget;
    budget.set_hosts("new", {"a", "b", "c"});
    EXPECT_FALSE(budget.is_registered());
    for (std::size_t index = 0; index < members_per_service; ++index)
    {
        EXPECT_EQ(budget.share_of("s", 56).allowance(index), 9U);
        EXPECT_EQ(budget.share_of("s", 4).allowance(index), 0U);
    }
}

// Guards against a host that joins and moves the allowances of all others,
// whose connections would then be closed.
TEST(idle_budget, joining_host_changes_few_allowances)
{
    std::vector<std::string> before;
    before.reserve(66);
    for (int host = 0; host < 66; ++host)
    {
        before.push_back("host-" + std::to_string(host));
    }
    auto after = before;
    after.emplace_back("joined");
    int changed = 0;
    for (const auto& host : before)
    {
        idle_budget old_budget;
        old_budget.set_hosts(host, before);
        idle_budget new_budget;
        new_budget.set_hosts(host, after);
        for (std::size_t index = 0; index < members_per_service; ++index)
        {
            changed += old_budget.share_of("s", 56).allowance(index) ==
                               new_budget.share_of("s", 56).allowance(index)
                           ? 0
                           : 1;
        }
    }
    EXPECT_LE(changed, 12);
}

} // namespace
