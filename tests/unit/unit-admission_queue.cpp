#include "unit/admission_replay.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace admission_replay;

/// As `service_gateway` uses the module.
struct queue_policy
{
    using ticket = admission_queue::ticket;

    bool may_take(const ticket& entry)
    {
        return !queue.must_yield(admission_queue::lane::primary, &entry);
    }
    bool join(ticket& entry, time_point limit, time_point now)
    {
        return queue.join(entry, limit, now).outcome ==
               admission_queue::decision::admitted;
    }
    void release(time_point)
    {
        queue.on_release(true);
    }
    static bool is_woken(const ticket& entry)
    {
        return entry.is_granted();
    }
    void taken(ticket& entry, time_point now)
    {
        queue.on_taken(entry, now);
    }
    void taken_at_once(const stream& source, time_point now)
    {
        queue.on_taken_at_once(source.where, source.priority, now);
    }
    void keep(ticket& entry)
    {
        if (entry.is_granted())
        {
            queue.pass_on(entry);
        }
    }
    void leave(ticket& entry)
    {
        queue.leave(entry);
    }

    admission_queue queue;
};

using queue_replay = replay<queue_policy>;

/// Statements that the member of the replays serves in a second.
constexpr double capacity = 400;

double served_part(const outcome& value)
{
    return static_cast<double>(value.served) / static_cast<double>(value.sent);
}

std::size_t total_served(const std::vector<outcome>& results)
{
    std::size_t total = 0;
    for (const auto& result : results)
    {
        total += result.served;
    }
    return total;
}

// Guards against a burst that starves a priority, requests that lose their
// place to later ones, and refusals near the limit instead of at once.
TEST(admission_queue, burst_leaves_each_priority_its_share)
{
    queue_replay burst;
    burst.streams = {{"a", 0, 350}, {"b", 1, 350}, {"c", 2, 340}};
    const auto results = burst.run();
    EXPECT_GT(total_served(results), capacity * 3 * 0.98);
    EXPECT_GT(results[0].served, 2 * results[1].served);
    EXPECT_GT(results[1].served, 2 * results[2].served);
    EXPECT_GT(results[2].served, capacity * 3 / 12 * 0.9);
    for (const auto& result : results)
    {
        EXPECT_EQ(result.overtook, 0U);
        EXPECT_LE(result.longest_wait, 66ms);
    }
    for (const auto index : {1, 2})
    {
        EXPECT_GT(results[index].refused, 3 * results[index].timed_out);
    }
}

// Guards against a customer that takes the slots of the others because its
// requests arrive between a release and the request that was woken.
TEST(admission_queue, flooding_customer_leaves_others_their_share)
{
    queue_replay flood;
    flood.streams = {
        {"a", 0, 600}, {"b", 0, 80}, {"c", 0, 80}, {"d", 0, 80}, {"e", 0, 80}};
    const auto results = flood.run();
    EXPECT_GT(total_served(results), capacity * 3 * 0.98);
    for (std::size_t i = 1; i < results.size(); ++i)
    {
        EXPECT_GT(served_part(results[i]), 0.85) << i;
    }
}

// Guards against a rate that was measured with more members and admits too
// much, and one measured with fewer that refuses what could be served.
TEST(admission_queue, follows_the_members_that_remain)
{
    queue_replay loss;
    loss.streams = {
        {"a", 0, 300, 66ms, 0s, 5s},
        {"b", 1, 300, 66ms, 0s, 5s},
        {"c", 2, 300, 66ms, 0s, 5s}};
    loss.length = 3s;
    loss.slots = [](duration elapsed)
    { return std::size_t{elapsed < 1s || elapsed >= 2s ? 12U : 4U}; };
    const auto results = loss.run();
    EXPECT_GT(total_served(results), (900 + capacity + 900) * 0.98);
    EXPECT_GT(served_part(results[0]), 0.95);
    EXPECT_GT(results[2].refused, 2 * results[2].timed_out);
}

// Guards against urgent requests that are refused when the clients of other
// hosts double the load.
TEST(admission_queue, urgent_requests_are_served_at_twice_the_load)
{
    queue_replay doubled;
    doubled.streams = {{"a", 0, 130},           {"b", 1, 130},
                       {"c", 2, 130},           {"d", 0, 130, 66ms, 1s},
                       {"e", 1, 130, 66ms, 1s}, {"f", 2, 130, 66ms, 1s}};
    const auto results = doubled.run();
    EXPECT_GT(total_served(results), capacity * 3 * 0.96);
    EXPECT_GT(served_part(results[0]), 0.95);
    EXPECT_GT(served_part(results[3]), 0.95);
    EXPECT_GT(results[5].served, 0U);
}

// Guards against an old rate that refuses requests while nothing is served,
// and against requests that wait beyond their limit.
TEST(admission_queue, outage_refuses_nothing_early)
{
    queue_replay outage;
    outage.streams = {{"a", 0, 150, 66ms, 0s, 5s}, {"b", 1, 100, 66ms, 0s, 5s}};
    outage.length = 5s;
    outage.slots = [](duration elapsed)
    { return std::size_t{elapsed < 1s || elapsed >= 4s ? 4U : 0U}; };
    const auto results = outage.run();
    EXPECT_LE(results[0].refused + results[1].refused, 10U);
    EXPECT_GT(results[0].served, 2 * 150 * 0.97);
    EXPECT_LE(results[0].longest_wait, 66ms);
}

class admission_queue_steps : public testing::Test
{
protected:
    using lane = admission_queue::lane;
    using ticket = admission_queue::ticket;

    ticket& join(lane where, std::string_view customer = "a")
    {
        auto& added = *tickets_.emplace_back(
            std::make_unique<ticket>(where, 0, customer));
        outcome_ = queue_.join(added, start + 1s, start);
        return added;
    }

    admission_queue queue_{{.max_waiting = 4}};
    admission_queue::verdict outcome_;
    std::vector<std::unique_ptr<ticket>> tickets_;
};

// Guards against a release that is lost because the woken request cannot use
// the member, and against a request that loses its place by that.
TEST_F(admission_queue_steps, release_is_passed_on_in_order)
{
    auto& first = join(lane::read);
    auto& second = join(lane::read);
    auto& third = join(lane::read);
    EXPECT_EQ(queue_.on_release(false), &first);
    EXPECT_TRUE(queue_.must_yield(lane::read, nullptr));
    EXPECT_FALSE(queue_.must_yield(lane::primary, nullptr));
    EXPECT_EQ(queue_.pass_on(first), &second);
    EXPECT_EQ(queue_.pass_on(second), &third);
    EXPECT_EQ(queue_.pass_on(third), nullptr);
    EXPECT_FALSE(queue_.must_yield(lane::read, nullptr));
    EXPECT_EQ(queue_.on_release(false), &first);
    // The next one looks too, because a request has yielded.
    EXPECT_EQ(queue_.on_taken(first, start), &second);
    EXPECT_EQ(queue_.leave(second), &third);
    EXPECT_EQ(queue_.on_taken(third, start), nullptr);
    EXPECT_EQ(queue_.waiting(), 0U);
}

// Guards against reads that starve while the primary is their only member, and
// against a release of a replica that goes to a request for the primary.
TEST_F(admission_queue_steps, lanes_share_the_releases_of_the_primary)
{
    auto& write = join(lane::primary);
    join(lane::primary);
    join(lane::primary);
    auto& read = join(lane::read);
    EXPECT_EQ(queue_.on_release(false), &read);
    queue_.pass_on(read);
    EXPECT_EQ(queue_.on_release(true), &write);
    bool read_granted = false;
    for (int i = 0; i < 3; ++i)
    {
        read_granted = queue_.on_release(true) == &read || read_granted;
    }
    EXPECT_TRUE(read_granted);
}

// Guards against a queue without bound, and against a flooding customer that
// fills it and locks out the others.
TEST_F(admission_queue_steps, full_queue_sheds_the_longest)
{
    for (int i = 0; i < 3; ++i)
    {
        join(lane::read, "flooding");
    }
    auto& newest = join(lane::read, "flooding");
    join(lane::primary, "other");
    EXPECT_EQ(outcome_.outcome, admission_queue::decision::admitted);
    EXPECT_EQ(outcome_.shed, &newest);
    EXPECT_FALSE(newest.is_waiting());
    join(lane::read, "flooding");
    EXPECT_EQ(outcome_.outcome, admission_queue::decision::full);
    EXPECT_EQ(queue_.waiting(), 4U);
}

// Guards against refusals because one request waits for something that the
// others do not need: only a few of them wait, so few are served after a wait.
TEST_F(admission_queue_steps, one_stuck_request_does_not_lower_the_rate)
{
    join(lane::read, "stuck");
    for (auto elapsed = 0ms; elapsed < 1s; elapsed += 5ms)
    {
        queue_.on_taken_at_once(lane::read, 0, start + elapsed);
    }
    const auto wait = queue_.expected_wait(lane::read, 0, "a", start + 1s);
    ASSERT_TRUE(wait);
    EXPECT_LT(*wait, 10ms);
}

// Guards against repetitions that come back as a second peak.
TEST(admission_queue, retry_delays_are_spread_by_id)
{
    std::array<int, 5> counts{};
    for (int id = 0; id < 1000; ++id)
    {
        const auto delay = spread_retry_delay(100ms, std::to_string(id));
        ASSERT_GE(delay, 100ms);
        ASSERT_LT(delay, 150ms);
        ++counts.at(static_cast<std::size_t>((delay - 100ms) / 10ms));
    }
    for (const auto count : counts)
    {
        EXPECT_GT(count, 150);
    }
}

} // namespace
