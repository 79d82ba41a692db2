#include <zinniahub/leader_samples.hpp>

#include <gtest/gtest.h>

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};

} // namespace

// Guards against a read on a log that lacks a commit outside the bound.
TEST(leader_samples, requires_a_sample_inside_the_bound)
{
    leader_samples samples;
    EXPECT_FALSE(samples.required(start, 1s));
    samples.add(start, {1, 10});
    EXPECT_EQ(samples.required(start + 1s, 1s), (log_position{1, 10}));
    EXPECT_FALSE(samples.required(start + 1001ms, 1s));
}

// Guards against replicas that are refused although they are fresh enough: the
// oldest sufficient sample is the easiest to meet.
TEST(leader_samples, requires_the_lowest_sufficient_position)
{
    leader_samples samples;
    samples.add(start, {1, 10});
    samples.add(start + 500ms, {1, 20});
    samples.add(start + 900ms, {1, 30});
    EXPECT_EQ(samples.required(start + 1400ms, 1s), (log_position{1, 20}));
}

// Guards against a sample that came late and replaces a younger one.
TEST(leader_samples, ignores_samples_out_of_order)
{
    leader_samples samples;
    samples.add(start + 500ms, {1, 20});
    samples.add(start, {1, 10});
    EXPECT_EQ(samples.newest(), start + 500ms);
    EXPECT_EQ(samples.position(), (log_position{1, 20}));
}

// Guards against close samples that push older ones out of their place: the
// time of a kept sample never moves before the position's own time.
TEST(leader_samples, close_samples_keep_their_own_time)
{
    leader_samples samples;
    samples.add(start, {1, 10});
    samples.add(start + 30ms, {1, 11});
    samples.add(start + 40ms, {1, 12});
    EXPECT_EQ(samples.required(start + 40ms, 5ms), (log_position{1, 12}));
    EXPECT_EQ(samples.reached_at({1, 11}, start + 50ms), start + 40ms);
    EXPECT_EQ(samples.reached_at({1, 10}, start + 50ms), start);
}

// Guards against a late replica that counts as fresh.
TEST(leader_samples, tells_how_far_a_log_reaches)
{
    leader_samples samples;
    samples.add(start, {1, 10});
    samples.add(start + 100ms, {1, 20});
    EXPECT_EQ(samples.lag_of({1, 5}, start + 200ms), 200ms);
    EXPECT_EQ(samples.lag_of({1, 15}, start + 200ms), 100ms);
    EXPECT_EQ(samples.lag_of({1, 20}, start + 200ms), 0ms);
    EXPECT_EQ(samples.lag_of({2, 1}, start + 200ms), 0ms);
    EXPECT_EQ(samples.reached_at({1, 15}, start + 200ms), start + 100ms);
    EXPECT_EQ(samples.reached_at({1, 25}, start + 200ms), start + 200ms);
}
