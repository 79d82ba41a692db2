#include <zinniahub/primary_position_history.hpp>

#include <gtest/gtest.h>

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};

} // namespace

// Guards against a read on a log that lacks a commit older than the staleness
// bound.
TEST(primary_position_history, requires_a_sample_inside_the_bound)
{
    primary_position_history samples;
    EXPECT_FALSE(samples.required_position(start, 1s));
    samples.add(start, {1, 10});
    EXPECT_EQ(samples.required_position(start + 1s, 1s), (log_position{1, 10}));
    EXPECT_FALSE(samples.required_position(start + 1001ms, 1s));
}

// Guards against rejecting replicas that are fresh enough: the oldest sample
// within the bound has the lowest sufficient position.
TEST(primary_position_history, requires_the_lowest_sufficient_position)
{
    primary_position_history samples;
    samples.add(start, {1, 10});
    samples.add(start + 500ms, {1, 20});
    samples.add(start + 900ms, {1, 30});
    EXPECT_EQ(
        samples.required_position(start + 1400ms, 1s), (log_position{1, 20}));
}

// Guards against a late sample that replaces a newer one.
TEST(primary_position_history, ignores_samples_out_of_order)
{
    primary_position_history samples;
    samples.add(start + 500ms, {1, 20});
    samples.add(start, {1, 10});
    EXPECT_EQ(samples.newest_sample_time(), start + 500ms);
    EXPECT_EQ(samples.newest_position(), (log_position{1, 20}));
}

// Guards against closely spaced samples that change earlier ones: a retained
// sample keeps the time at which its own position was observed.
TEST(primary_position_history, close_samples_keep_their_own_time)
{
    primary_position_history samples;
    samples.add(start, {1, 10});
    samples.add(start + 30ms, {1, 11});
    samples.add(start + 40ms, {1, 12});
    EXPECT_EQ(
        samples.required_position(start + 40ms, 5ms), (log_position{1, 12}));
    EXPECT_EQ(samples.reached_at({1, 11}, start + 50ms), start + 40ms);
    EXPECT_EQ(samples.reached_at({1, 10}, start + 50ms), start);
}

// Guards against a lagging replica that counts as fresh.
TEST(primary_position_history, computes_lag_and_arrival_time)
{
    primary_position_history samples;
    samples.add(start, {1, 10});
    samples.add(start + 100ms, {1, 20});
    EXPECT_EQ(samples.lag_of({1, 5}, start + 200ms), 200ms);
    EXPECT_EQ(samples.lag_of({1, 15}, start + 200ms), 100ms);
    EXPECT_EQ(samples.lag_of({1, 20}, start + 200ms), 0ms);
    EXPECT_EQ(samples.lag_of({2, 1}, start + 200ms), 0ms);
    EXPECT_EQ(samples.reached_at({1, 15}, start + 200ms), start + 100ms);
    EXPECT_EQ(samples.reached_at({1, 25}, start + 200ms), start + 200ms);
}
