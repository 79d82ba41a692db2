#include <zinniahub/client_budget.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <set>

namespace
{

using zinniahub::client_budget;
using account = client_budget::account;
using activity = client_budget::activity;
using port = client_budget::port;

constexpr std::size_t kib = 1024;
constexpr std::size_t floor_bytes = client_budget::floor_bytes;

client_budget::limits
make_limits(std::size_t bytes, std::size_t connections, std::size_t waiting)
{
    client_budget::limits values;
    values.message_bytes = bytes;
    values.ports.fill({connections, waiting});
    return values;
}

/// Opens an account in the middle of a message.
void open_receiving(client_budget& budget, account& entry, std::size_t bytes)
{
    ASSERT_TRUE(budget.open(entry, port::clients).granted);
    budget.set_started(entry);
    budget.set_activity(entry, activity::receiving);
    ASSERT_TRUE(budget.resize(entry, bytes).granted);
}

} // namespace

// Guards against closing an ordinary caller, or one in a transaction, while
// another choice is left.
TEST(client_budget, accounts_are_closed_in_order)
{
    client_budget budget(make_limits(100 * kib, 10, 10));
    std::array<account, 6> entries;
    auto& [starting, large, small, slow, reading, in_transaction] = entries;
    for (auto& entry : entries)
    {
        open_receiving(budget, entry, 14 * kib);
    }
    ASSERT_TRUE(budget.resize(large, 16 * kib).granted);
    ASSERT_TRUE(budget.resize(in_transaction, 20 * kib).granted);
    budget.set_in_transaction(in_transaction, true);
    budget.set_activity(starting, activity::starting);
    budget.set_activity(slow, activity::sending);
    budget.set_activity(reading, activity::sending);
    account request;
    budget.open(request);
    std::vector<account*> closed;
    for (std::size_t bytes = 4 * kib; bytes <= 100 * kib; bytes += 2 * kib)
    {
        const auto decision = budget.resize(request, floor_bytes + bytes);
        ASSERT_TRUE(decision.granted) << bytes;
        closed.insert(
            closed.end(), decision.close.begin(), decision.close.end());
    }
    EXPECT_EQ(
        closed,
        (std::vector<account*>{
            &starting, &large, &small, &slow, &reading, &in_transaction}));
    EXPECT_FALSE(budget.resize(request, floor_bytes + 101 * kib).granted);
    for (auto& entry : entries)
    {
        EXPECT_FALSE(entry.is_open());
    }
    budget.remove(request);
    EXPECT_EQ(budget.used(), 0U);
}

// Guards against closing others for the message that is itself the largest, or
// that can never be granted.
TEST(client_budget, largest_message_closes_no_other)
{
    client_budget budget(make_limits(100 * kib, 10, 10));
    account first;
    account second;
    open_receiving(budget, first, 54 * kib);
    open_receiving(budget, second, 44 * kib);
    const auto own = budget.resize(first, 70 * kib);
    EXPECT_FALSE(own.granted);
    EXPECT_TRUE(own.close.empty());
    const auto endless = budget.resize(second, 500 * kib);
    EXPECT_FALSE(endless.granted);
    EXPECT_TRUE(endless.close.empty());
    EXPECT_EQ(first.bytes(), 54 * kib);
    budget.remove(first);
    budget.remove(second);
}

// Guards against connections that wait for nothing and keep others out.
TEST(client_budget, longest_waiting_connection_makes_place)
{
    client_budget budget(make_limits(kib, 3, 2));
    std::array<account, 5> entries;
    EXPECT_TRUE(budget.open(entries[0], port::clients).granted);
    EXPECT_TRUE(budget.open(entries[1], port::clients).granted);
    budget.set_waiting(entries[0]);
    EXPECT_EQ(
        budget.open(entries[2], port::clients).close,
        (client_budget::account_list{&entries[1]}));
    budget.set_started(entries[0]);
    budget.set_started(entries[2]);
    EXPECT_TRUE(budget.open(entries[3], port::clients).close.empty());
    budget.set_started(entries[3]);
    EXPECT_FALSE(budget.open(entries[4], port::clients).granted);
    EXPECT_TRUE(budget.open(entries[4], port::probes).granted);
    EXPECT_EQ(budget.connections(port::clients), 3U);
    for (auto& entry : entries)
    {
        budget.remove(entry);
    }
    EXPECT_EQ(budget.connections(port::clients), 0U);
}

// Guards against default limits that the sessions of a host can reach after
// failures elsewhere, or that refuse a single largest message.
TEST(client_budget, smallest_machine_has_place_for_all_sessions)
{
    const auto values = client_budget::limits::of(160, 4200);
    EXPECT_GE(values.ports.front().connections, 4000U);
    EXPECT_GE(values.ports.front().waiting, 4000U);
    EXPECT_GE(values.message_bytes, std::size_t{8} << 20);
    EXPECT_GT(client_budget::limits::of(1, 10).ports.front().connections, 0U);
}

// Guards against granting more than the budget, against a floor that is not
// granted, and against accounts that are lost, in any order of events.
RC_GTEST_PROP(client_budget, never_grants_more_than_it_has, ())
{
    const auto limit = *rc::gen::inRange<std::size_t>(0, 200 * kib);
    client_budget budget(make_limits(limit, 6, 4));
    std::array<account, 10> entries;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step)
    {
        auto& entry = entries[*rc::gen::inRange<std::size_t>(0, 10)];
        client_budget::decision result;
        switch (*rc::gen::inRange(0, 6))
        {
        case 0:
            if (!entry.is_open())
            {
                result = budget.open(entry, port::clients);
            }
            break;
        case 1:
            budget.remove(entry);
            break;
        case 2:
            budget.set_started(entry);
            budget.set_activity(
                entry, static_cast<activity>(*rc::gen::inRange(0, 4)));
            break;
        case 3:
            budget.set_in_transaction(entry, *rc::gen::arbitrary<bool>());
            break;
        default:
        {
            const auto bytes = *rc::gen::inRange<std::size_t>(0, 100 * kib);
            const bool was_open = entry.is_open();
            result = budget.resize(entry, bytes);
            RC_ASSERT(result.granted || !was_open || bytes > floor_bytes);
            RC_ASSERT(!was_open || entry.is_open());
        }
        }
        for (const auto* closed : result.close)
        {
            RC_ASSERT(!closed->is_open());
        }
        std::size_t sum = 0;
        std::size_t open = 0;
        for (const auto& each : entries)
        {
            sum += std::max(each.bytes(), floor_bytes) - floor_bytes;
            open += each.is_open() ? 1 : 0;
        }
        RC_ASSERT(sum == budget.used());
        RC_ASSERT(sum <= limit);
        RC_ASSERT(open == budget.connections(port::clients));
        RC_ASSERT(open <= 6U);
    }
    for (auto& entry : entries)
    {
        budget.remove(entry);
    }
    RC_ASSERT(budget.used() == 0U);
}
