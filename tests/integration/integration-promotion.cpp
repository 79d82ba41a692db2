// Changes of primary: no more than one primary in a term, none without cause,
// and none that loses a write, also when failures follow each other.

#include "load_checks.hpp"
#include "support/group_state.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <regex>
#include <set>

namespace
{

using zinniahub::clock;
using zinniahub::time_point;
using zinniahub::test::eventually;
using zinniahub::test::fleet;
using zinniahub::test::fleet_options;
using zinniahub::test::load;
using zinniahub::test::promoted_member;
using zinniahub::test::settled_rows;
using zinniahub::test::writes_at;
using namespace std::chrono_literals;

const char* const first = "booth-ledger-m0";
const char* const second = "booth-ledger-m1";
const char* const third = "booth-ledger-m2";
const std::vector<std::string> replicas{second, third};
const std::vector<std::string> members{first, second, third};

constexpr std::chrono::milliseconds failover_bound = 5s;
constexpr std::size_t few_writes = 40;

fleet_options options_of_test()
{
    fleet_options options;
    options.customers = {{"session-desk", {5000, 5000}}};
    return options;
}

void expect_promises(
    const fleet& system, const load& traffic, time_point failed_at)
{
    const auto rows = settled_rows(system, members, 10s);
    ASSERT_TRUE(rows) << "the members do not agree";
    expect_no_faults(traffic, *rows);
    const auto gap = gap_after(traffic.records(), failed_at);
    ASSERT_TRUE(gap);
    EXPECT_LE(*gap, failover_bound);
    testing::Test::RecordProperty("gap_ms", static_cast<int>(gap->count()));
}

/// Members that became primary, by term, from the members' logs.
std::map<std::string, std::set<std::string>>
primaries_by_term(const fleet& system)
{
    static const std::regex promoted(
        "member_promote member=(\\S+) accepted=true term=(\\d+)");
    std::map<std::string, std::set<std::string>> found;
    for (const auto& name : members)
    {
        const auto log = system.log_of(name);
        for (std::sregex_iterator at(log.begin(), log.end(), promoted), end;
             at != end; ++at)
        {
            found[(*at)[2]].insert((*at)[1]);
        }
    }
    return found;
}

void expect_one_primary_per_term(const fleet& system)
{
    const auto found = primaries_by_term(system);
    EXPECT_FALSE(found.empty());
    for (const auto& [term, names] : found)
    {
        EXPECT_EQ(names.size(), 1U) << "term " << term;
    }
}

std::size_t number_of_candidates(const fleet& system)
{
    std::size_t candidates = 0;
    for (std::size_t proxy = 0; proxy < system.proxy_count(); ++proxy)
    {
        const auto log = system.log_of(fmt::format("proxy{}", proxy));
        candidates += log.find("event=fence") != std::string::npos ? 1 : 0;
    }
    return candidates;
}

void delay_member_links(const fleet& system, const std::string& command)
{
    for (std::size_t proxy = 0; proxy < system.proxy_count(); ++proxy)
    {
        for (const auto& member : members)
        {
            system.member_fault(proxy, member, command);
        }
    }
}

bool replicas_miss_primary(
    const fleet& system, std::chrono::milliseconds at_least)
{
    return eventually(
        failover_bound,
        [&]
        {
            return std::all_of(
                replicas.begin(), replicas.end(),
                [&](const std::string& name)
                {
                    return std::stol(system.member_stat(name, "silent_ms")) >=
                           at_least.count();
                });
        });
}

// Guards against two primaries in one term, lost writes and promotions that
// never complete when proxies that do not know of each other promote at the
// same time.
TEST(promotion, proxies_that_promote_at_the_same_time)
{
    auto options = options_of_test();
    options.member_faults = true;
    // Proxies that do not know of each other all have rank 0.
    options.list_lag_ms = 600000;
    fleet system(options);
    load traffic(system, writes_at({0, 1, 2, 3}));
    ASSERT_TRUE(traffic.progresses(few_writes, 10s));
    const auto is_alone = [&](std::size_t proxy)
    { return system.metric(proxy, "zinniahub_live_hosts") == 1; };
    for (std::size_t proxy = 0; proxy < system.proxy_count(); ++proxy)
    {
        ASSERT_TRUE(eventually(10s, [&] { return is_alone(proxy); })) << proxy;
    }

    // The proxies notice the failure at the same moment, when they resume, and
    // learn of the fences of another candidate too late to stop.
    delay_member_links(system, "delay 100");
    const auto killed_at = clock::now();
    system.member(first).kill();
    // The last status of the primary has passed the delayed links by then, and
    // its silence is still below the 1,000 ms that make a proxy act.
    EXPECT_TRUE(replicas_miss_primary(system, 250ms));
    for (std::size_t proxy = 0; proxy < system.proxy_count(); ++proxy)
    {
        system.proxy(proxy).freeze();
    }
    EXPECT_TRUE(replicas_miss_primary(system, 1600ms));
    for (std::size_t proxy = 0; proxy < system.proxy_count(); ++proxy)
    {
        system.proxy(proxy).resume();
    }
    EXPECT_FALSE(promoted_member(system, replicas, 1, failover_bound).empty());
    delay_member_links(system, "delay 0");
    EXPECT_TRUE(traffic.progresses(few_writes, failover_bound));
    system.rejoin_member(first);
    traffic.stop();
    EXPECT_GE(number_of_candidates(system), 2U);
    expect_one_primary_per_term(system);
    expect_promises(system, traffic, killed_at);
}

// Guards against a second failure that loses writes because the member that
// came back holds none of them, or that is not survived at all.
TEST(promotion, second_primary_frozen_after_the_first_rejoined)
{
    fleet system(options_of_test());
    load traffic(system, writes_at({0, 1, 2, 3}));
    ASSERT_TRUE(traffic.progresses(few_writes, 10s));
    system.member(first).kill();
    const auto promoted = promoted_member(system, replicas, 1, failover_bound);
    ASSERT_FALSE(promoted.empty());
    ASSERT_TRUE(traffic.progresses(few_writes, failover_bound));
    system.rejoin_member(first);
    ASSERT_TRUE(eventually(
        5s,
        [&]
        {
            return system.member_stat(first, "term") ==
                       system.member_stat(promoted, "term") &&
                   system.rows_of(first).size() >= 2 * few_writes;
        }));

    const auto term = std::stoull(system.member_stat(promoted, "term"));
    const auto frozen_at = clock::now();
    system.member(promoted).freeze();
    std::vector<std::string> others;
    for (const auto& name : members)
    {
        if (name != promoted)
        {
            others.push_back(name);
        }
    }
    EXPECT_FALSE(promoted_member(system, others, term, failover_bound).empty());
    EXPECT_TRUE(traffic.progresses(few_writes, failover_bound));
    system.member(promoted).resume();
    EXPECT_TRUE(traffic.progresses(few_writes, failover_bound));
    traffic.stop();
    expect_one_primary_per_term(system);
    expect_promises(system, traffic, frozen_at);
}

// Guards against a proxy that was frozen with writes in flight and that acts on
// its old view of the group, or acknowledges its old writes, when it resumes.
TEST(promotion, proxy_frozen_during_a_change_of_primary)
{
    fleet system(options_of_test());
    load traffic(system, writes_at({0, 1, 1, 1, 2, 3}));
    ASSERT_TRUE(traffic.progresses(few_writes, 10s));
    system.proxy(1).freeze();
    const auto killed_at = clock::now();
    system.member(first).kill();
    const auto promoted = promoted_member(system, replicas, 1, failover_bound);
    ASSERT_FALSE(promoted.empty());
    EXPECT_TRUE(traffic.progresses(few_writes, failover_bound));
    const auto term = system.member_stat(promoted, "term");
    system.rejoin_member(first);
    const auto before = traffic.done_operations_of(1);
    system.proxy(1).resume();
    // The resumed proxy learns of the new term and serves again.
    EXPECT_TRUE(eventually(
        failover_bound,
        [&] { return traffic.done_operations_of(1) >= before + 10; }));
    traffic.stop();
    EXPECT_EQ(system.member_stat(promoted, "term"), term);
    expect_one_primary_per_term(system);
    expect_promises(system, traffic, killed_at);
}

/// A fault on the links of proxy 0 that leaves the primary healthy.
struct partition_case
{
    const char* name;
    const char* command;
    std::vector<std::string> members;
};

void PrintTo(const partition_case& test_case, std::ostream* out)
{
    *out << test_case.name;
}

const partition_case partition_cases[] = {
    {"cut_from_the_primary", "cut", {first}},
    {"cut_from_all_members", "cut", members},
    {"cut_towards_the_primary", "cut-to", {first}},
    {"cut_on_the_way_back_from_the_primary", "cut-from", {first}},
    {"frozen_link_to_the_primary", "freeze", {first}},
};

class healthy_primary : public testing::TestWithParam<partition_case>
{
};

// Guards against a promotion by a proxy that merely cannot reach a primary
// which the group still hears.
TEST_P(healthy_primary, is_not_replaced_by_a_proxy_cut_off_from_it)
{
    auto options = options_of_test();
    options.member_faults = true;
    fleet system(options);
    load traffic(system, writes_at({1, 2, 3}));
    ASSERT_TRUE(traffic.progresses(few_writes, 10s));
    for (const auto& member : GetParam().members)
    {
        system.member_fault(0, member, GetParam().command);
    }
    // Observes three times the time in which a failed primary is suspected.
    const bool changed = eventually(
        3s,
        [&]
        {
            return system.member_stat(first, "term") != "1" ||
                   system.member_stat(second, "term") != "1" ||
                   system.member_stat(third, "term") != "1";
        });
    EXPECT_FALSE(changed) << "the term changed";
    EXPECT_EQ(system.member_stat(first, "role"), "primary");
    EXPECT_TRUE(traffic.progresses(few_writes, failover_bound));

    // The proxy serves again once the fault is over.
    for (const auto& member : GetParam().members)
    {
        system.member_fault(0, member, "heal");
    }
    auto writer = system.connect(0, "session-desk");
    EXPECT_TRUE(writer->write("put order/1 paid").is_done());
    traffic.stop();
}

INSTANTIATE_TEST_SUITE_P(
    promotion, healthy_primary, testing::ValuesIn(partition_cases),
    [](const auto& test) { return std::string(test.param.name); });

} // namespace
