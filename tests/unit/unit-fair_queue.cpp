#include <zinniahub/fair_queue.hpp>

#include <gtest/gtest.h>

#include <array>

namespace
{

using namespace std::chrono_literals;
using zinniahub::errc;
using zinniahub::fair_queue;
using zinniahub::queue_entry;
using zinniahub::time_point;

constexpr time_point start = time_point{} + 1h;

// Guards against an overloading customer that delays others by more than one
// round, and against ignored weights.
TEST(fair_queue, flood_leaves_others_their_share_of_each_round)
{
    std::array<queue_entry, 100> flood;
    std::array<queue_entry, 6> other;
    fair_queue queue({});
    for (auto& entry : flood)
    {
        ASSERT_TRUE(queue.push("flooding", 1, entry));
    }
    for (auto& entry : other)
    {
        ASSERT_TRUE(queue.push("other", 3, entry));
    }
    for (std::size_t round = 0; round < 2; ++round)
    {
        EXPECT_EQ(queue.pop(), &flood[round]);
        for (std::size_t i = 0; i < 3; ++i)
        {
            EXPECT_EQ(queue.pop(), &other[3 * round + i]);
        }
    }
    EXPECT_EQ(queue.size_of("other"), 0U);
    EXPECT_EQ(queue.pop(), &flood[2]);
}

// Guards against expired entries that are not found behind unexpired ones.
TEST(fair_queue, expired_entries_are_found_anywhere)
{
    std::array<queue_entry, 4> entries;
    entries[1].deadline = start + 2s;
    entries[2].deadline = start + 1s;
    entries[3].deadline = start + 3s;
    fair_queue queue({});
    for (auto& entry : entries)
    {
        ASSERT_TRUE(queue.push("customer", 1, entry));
    }
    EXPECT_EQ(queue.pop_expired(start), nullptr);
    EXPECT_EQ(queue.pop_expired(start + 2s), &entries[2]);
    EXPECT_EQ(queue.pop_expired(start + 2s), &entries[1]);
    EXPECT_EQ(queue.pop_expired(start + 2s), nullptr);
    EXPECT_EQ(queue.size(), 2U);
}

// Guards against refusing customers with short queues under overload, and
// against shedding an entry that is not the newest.
TEST(fair_queue, newest_entry_of_the_longest_queue_is_shed)
{
    std::array<queue_entry, 8> entries;
    fair_queue queue({.max_per_customer = 4, .max_total = 6});
    for (std::size_t i = 0; i < 4; ++i)
    {
        ASSERT_TRUE(queue.push("long", 1, entries[i]));
    }
    auto refused = queue.push("long", 1, entries[4]);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, errc::queue_full);
    // Relative to its weight, a queue of two entries with weight 4 is shorter
    // than a queue of four entries with weight 1.
    ASSERT_TRUE(queue.push("heavy", 4, entries[4]));
    ASSERT_TRUE(queue.push("heavy", 4, entries[5]));
    EXPECT_EQ(queue.push("heavy", 4, entries[6]).value(), &entries[3]);
    EXPECT_FALSE(queue.push("long", 1, entries[3]));
    EXPECT_EQ(queue.push("new", 1, entries[7]).value(), &entries[2]);
    EXPECT_EQ(queue.size(), 6U);
}

// Guards against dangling links when callers disconnect or the queue is
// destroyed.
TEST(fair_queue, erase_is_safe_in_any_state)
{
    std::array<queue_entry, 3> entries;
    {
        fair_queue queue({});
        for (auto& entry : entries)
        {
            entry.deadline = start;
            ASSERT_TRUE(queue.push("customer", 1, entry));
        }
        queue.erase(entries[1]);
        queue.erase(entries[1]);
        EXPECT_EQ(queue.pop(), &entries[0]);
        queue.erase(entries[0]);
        EXPECT_EQ(queue.size(), 1U);
        ASSERT_TRUE(queue.push("customer", 1, entries[1]));
    }
    EXPECT_EQ(entries[1].owning_queue, nullptr);
    EXPECT_FALSE(entries[2].is_linked());
}

} // namespace
