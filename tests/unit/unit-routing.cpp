#include <zinniahub/routing.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <map>

namespace
{

using zinniahub::errc;
using zinniahub::group_view;
using zinniahub::member_role;
using zinniahub::no_member;

/// Member 0 is the primary of term 2; members 1 and 2 are fresh replicas.
group_view healthy_group()
{
    group_view group;
    group.term = 2;
    group.primary = 0;
    for (const auto* domain : {"a", "b", "c"})
    {
        zinniahub::member_view member;
        member.failure_domain = domain;
        member.reachable = true;
        member.term = 2;
        member.position = {2, 100};
        group.members.push_back(member);
    }
    group.members[0].role = member_role::primary;
    return group;
}

struct read_case
{
    const char* guards_against;
    std::function<void(group_view&)> change;
    std::size_t fresh_replica; // no_member: refused
    std::size_t primary_only;
};

const read_case read_cases[] = {
    {"ignoring the local failure domain", [](auto&) {}, 1, 0},
    {"leaving the local domain because of load",
     [](auto& group) { group.members[1].load = 50; }, 1, 0},
    {"a read on a member that is leaving",
     [](auto& group) { group.members[1].in_service = false; }, 2, 0},
    {"a read on a silent member",
     [](auto& group) { group.members[1].reachable = false; }, 2, 0},
    {"a stale read",
     [](auto& group) {
         group.members[1].position = {2, 49};
     },
     2, 0},
    {"a stale read after a change of term",
     [](auto& group) {
         group.members[1].position = {1, 900};
     },
     2, 0},
    {"refusing a fresh replica during a promotion",
     [](auto& group)
     {
         group.members[1].term = 3;
         group.members[0].reachable = false;
     },
     1, no_member},
    {"a read on a primary of an older term",
     [](auto& group) { group.members[1].role = member_role::primary; }, 2, 0},
    {"refusing instead of using the primary",
     [](auto& group)
     {
         group.members[1].position = {2, 1};
         group.members[2].position = {2, 1};
     },
     0, 0},
    {"new work for a leaving primary",
     [](auto& group)
     {
         group.members[0].in_service = false;
         group.members[1].reachable = false;
         group.members[2].reachable = false;
     },
     no_member, no_member},
    {"refusing when only a returning replica is left",
     [](auto& group)
     {
         group.primary = no_member;
         group.members[0].reachable = false;
         group.members[1].ramp_up_factor = 0;
         group.members[2].reachable = false;
     },
     1, no_member},
    {"a stale read on the primary of an old term",
     [](auto& group)
     {
         group.term = 1;
         group.members[0].term = 1;
         group.members[1].position = {1, 900};
         group.members[2].position = {1, 900};
     },
     no_member, no_member},
};

void expect_choice(
    const zinniahub::result<std::size_t>& choice, std::size_t expected,
    errc refusal, const char* guards_against)
{
    EXPECT_EQ(choice.value_or(no_member), expected) << guards_against;
    if (!choice)
    {
        EXPECT_EQ(choice.error().code, refusal) << guards_against;
    }
}

TEST(routing, read_cases)
{
    const auto fresh = zinniahub::make_fresh_replica_router();
    const auto primary = zinniahub::make_primary_only_router();
    for (const auto& item : read_cases)
    {
        auto group = healthy_group();
        item.change(group);
        for (std::uint64_t seed = 0; seed < 20; ++seed)
        {
            const zinniahub::read_request request{{2, 50}, "b", seed};
            expect_choice(
                fresh->choose_read(group, request), item.fresh_replica,
                errc::no_fresh_replica, item.guards_against);
            expect_choice(
                primary->choose_read(group, request), item.primary_only,
                errc::no_primary, item.guards_against);
        }
    }
}

struct write_case
{
    const char* guards_against;
    std::function<void(group_view&)> change;
};

const write_case refused_writes[] = {
    {"a write without a primary",
     [](auto& group) { group.primary = no_member; }},
    {"a write to an unreachable primary",
     [](auto& group) { group.members[0].reachable = false; }},
    {"a write to a leaving primary",
     [](auto& group) { group.members[0].in_service = false; }},
    {"a write to a primary of an older term",
     [](auto& group) { group.members[0].term = 1; }},
    {"a write to a member that is no primary any more",
     [](auto& group) { group.members[0].role = member_role::replica; }},
};

TEST(routing, writes_go_to_a_usable_primary_only)
{
    const auto router = zinniahub::make_fresh_replica_router();
    EXPECT_EQ(router->choose_write(healthy_group()).value_or(no_member), 0U);
    for (const auto& item : refused_writes)
    {
        auto group = healthy_group();
        item.change(group);
        expect_choice(
            router->choose_write(group), no_member, errc::no_primary,
            item.guards_against);
    }
}

std::map<std::size_t, int> count_choices(const group_view& group)
{
    std::map<std::size_t, int> choices;
    const auto router = zinniahub::make_fresh_replica_router();
    for (std::uint64_t seed = 0; seed < 10000; ++seed)
    {
        ++choices[*router->choose_read(group, {{2, 50}, "elsewhere", seed})];
    }
    return choices;
}

// Guards against all hosts selecting the same one of two equal replicas.
TEST(routing, seeds_spread_reads_over_equal_replicas)
{
    auto choices = count_choices(healthy_group());
    EXPECT_EQ(choices[0], 0);
    EXPECT_NEAR(choices[1], 5000, 300);
}

TEST(routing, least_loaded_replica_is_chosen)
{
    auto group = healthy_group();
    group.members[1].load = 1;
    EXPECT_EQ(count_choices(group)[2], 10000);
}

// Guards against a returning member that gets its normal load at once.
TEST(routing, ramp_up_limits_share_of_returning_member)
{
    auto group = healthy_group();
    group.members[1].ramp_up_factor = 0.2;
    group.members[2].load = 10; // the returning member is idle
    EXPECT_NEAR(count_choices(group)[1], 2000, 300);
    group.members[1].ramp_up_factor = 0.0;
    EXPECT_EQ(count_choices(group)[1], 0);
}

} // namespace
