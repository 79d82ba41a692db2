#include <zinniahub/lease.hpp>

#include <gtest/gtest.h>

namespace
{

using namespace std::chrono_literals;
using zinniahub::lease_clock;
using zinniahub::time_point;

constexpr time_point start = time_point{} + 1h;

// Guards against a validity period that starts at the reply or ignores the
// margin.
TEST(lease, validity_counts_from_before_the_request)
{
    lease_clock lease;
    EXPECT_FALSE(lease.is_valid(start));
    const auto sent_at = lease_clock::on_request_sent(start);
    lease.on_granted(sent_at, 2s);
    EXPECT_TRUE(lease.is_valid(start + 1799ms));
    EXPECT_FALSE(lease.is_valid(start + 1800ms));
    EXPECT_EQ(lease.valid_until(), start + 1800ms);
}

// Guards against the use of outdated state after a gap in which another host
// may have held the lease.
TEST(lease, grant_after_a_lapse_starts_a_new_epoch)
{
    lease_clock lease;
    lease.on_granted(start, 2s);
    lease.on_granted(start + 1s, 2s);
    EXPECT_EQ(lease.epoch(), 1U);
    lease.on_granted(start + 2800ms, 2s);
    EXPECT_EQ(lease.epoch(), 2U);
}

// Guards against late replies that shorten a lease, restore a lost one, or
// count as a grant although the margin exceeds their remaining validity.
TEST(lease, late_answers_have_no_effect)
{
    lease_clock lease;
    lease.on_granted(start + 1s, 2s);
    lease.on_granted(start, 2s);
    EXPECT_EQ(lease.valid_until(), start + 2800ms);
    lease.on_lost(start + 2s);
    lease.on_granted(start + 1900ms, 2s);
    EXPECT_FALSE(lease.is_valid(start + 2s));
    lease.on_granted(start + 3s, 150ms);
    EXPECT_FALSE(lease.is_valid(start + 3s));
    EXPECT_EQ(lease.epoch(), 1U);
}

} // namespace
