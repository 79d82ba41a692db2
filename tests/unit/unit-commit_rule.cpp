#include <zinniahub/commit_rule.hpp>

#include <gtest/gtest.h>

namespace
{

using zinniahub::group_view;
using zinniahub::log_position;

struct state
{
    std::uint64_t term;
    log_position position;
};

struct rule_case
{
    const char* guards_against;
    std::vector<state> members; // the first one is the primary
    bool satisfied;
    bool lost;
};

group_view view_of(const std::vector<state>& members)
{
    group_view view;
    for (const auto& member : members)
    {
        view.members.emplace_back();
        view.members.back().term = member.term;
        view.members.back().position = member.position;
    }
    return view;
}

const rule_case cases[] = {
    {"waiting for all members",
     {{2, {2, 9}}, {2, {2, 9}}, {2, {2, 1}}},
     true,
     false},
    {"acknowledging a write that only the primary holds",
     {{2, {2, 9}}, {2, {2, 8}}, {2, {1, 99}}},
     false,
     false},
    {"not counting a fenced member that holds the write",
     {{2, {2, 9}}, {3, {2, 9}}, {2, {2, 8}}},
     true,
     false},
    {"counting a member whose last entry is of a later term",
     {{2, {2, 9}}, {3, {3, 12}}, {2, {2, 8}}},
     false,
     false},
    {"counting a fenced member that does not hold the write",
     {{2, {2, 9}}, {3, {2, 8}}, {3, {2, 8}}},
     false,
     true},
    {"acknowledging a write of a deposed primary",
     {{2, {2, 9}}, {3, {3, 9}}, {3, {3, 9}}},
     false,
     true},
    {"giving up a write held by a majority because all were fenced",
     {{3, {2, 9}}, {3, {2, 9}}, {3, {2, 9}}},
     true,
     false},
    {"counting replicas while the primary has dropped the write",
     {{3, {3, 10}}, {3, {2, 9}}, {3, {2, 9}}},
     false,
     false},
    {"counting half of an even group as a majority",
     {{2, {2, 9}}, {2, {2, 9}}, {3, {3, 9}}, {3, {3, 9}}},
     false,
     true},
    {"waiting for another member in a group of one",
     {{2, {2, 9}}},
     true,
     false},
};

TEST(commit_rule, majority_ack_cases)
{
    const auto rule = zinniahub::make_majority_ack_rule();
    for (const auto& item : cases)
    {
        const auto view = view_of(item.members);
        EXPECT_EQ(rule->is_satisfied(view, 0, {2, 9}), item.satisfied)
            << item.guards_against;
        EXPECT_EQ(rule->is_lost(view, {2, 9}), item.lost)
            << item.guards_against;
    }
    EXPECT_FALSE(rule->is_satisfied(
        view_of({{2, {2, 9}}}), zinniahub::no_member, {2, 9}));
}

// Guards against a baseline rule that waits, which would distort comparisons.
TEST(commit_rule, primary_ack_never_waits)
{
    const auto rule = zinniahub::make_primary_ack_rule();
    for (const auto& item : cases)
    {
        EXPECT_TRUE(rule->is_satisfied(view_of(item.members), 0, {2, 9}));
        EXPECT_FALSE(rule->is_lost(view_of(item.members), {2, 9}));
    }
}

} // namespace
