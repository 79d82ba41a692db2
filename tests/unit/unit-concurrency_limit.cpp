#include <zinniahub/concurrency_limit.hpp>

#include <gtest/gtest.h>

#include <queue>
#include <vector>

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

const time_point start{1h};
constexpr duration objective = 400ms;

/// Simulates hosts that always have requests waiting, and an upstream that
/// serves the statements of all hosts in order of arrival.
class shared_upstream
{
public:
    shared_upstream(std::size_t hosts, std::size_t slots, duration work)
        : limits_(hosts)
        , active_(hosts, 0)
        , work_(work)
    {
        for (std::size_t i = 0; i < slots; ++i)
        {
            free_at_.push(start);
        }
    }

    /// Sends statements as the limits allow and delivers replies for `period`.
    void run(duration period)
    {
        const auto end = now_ + period;
        while (true)
        {
            for (std::size_t host = 0; host < limits_.size(); ++host)
            {
                while (limits_[host].allows(active_[host]))
                {
                    send(host);
                }
            }
            const auto next = answers_.top();
            if (next.at > end)
            {
                now_ = end;
                return;
            }
            answers_.pop();
            now_ = next.at;
            ++answered_;
            slowest_ = std::max(slowest_, now_ - next.sent_at);
            limits_[next.host].on_answer(
                next.sent_at, now_, objective, active_[next.host]);
            --active_[next.host];
        }
    }

    void restart_counts()
    {
        answered_ = 0;
        slowest_ = {};
    }
    std::size_t answered() const
    {
        return answered_;
    }
    duration slowest() const
    {
        return slowest_;
    }
    double limit_of(std::size_t host) const
    {
        return limits_[host].value();
    }

private:
    struct answer
    {
        time_point at;
        time_point sent_at;
        std::size_t host;
        bool operator<(const answer& other) const
        {
            return at > other.at;
        }
    };

    void send(std::size_t host)
    {
        const auto begins = std::max(now_, free_at_.top());
        free_at_.pop();
        free_at_.push(begins + work_);
        answers_.push({begins + work_, now_, host});
        ++active_[host];
    }

    std::vector<concurrency_limit> limits_;
    std::vector<std::size_t> active_;
    duration work_;
    time_point now_ = start;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>>
        free_at_;
    std::priority_queue<answer> answers_;
    std::size_t answered_ = 0;
    duration slowest_{};
};

// Guards against limits so high that queueing at a busy upstream makes requests
// miss their latency objective, and so low that slots stay unused.
TEST(concurrency_limit, keeps_the_queue_of_a_shared_upstream_short)
{
    constexpr auto work = 35ms;
    constexpr std::size_t slots = 5;
    shared_upstream upstream(7, slots, work);
    upstream.run(5s);
    upstream.restart_counts();
    upstream.run(20s);
    const auto possible = slots * (20s / work);
    EXPECT_GE(upstream.answered(), possible * 98 / 100);
    EXPECT_LT(upstream.slowest(), objective / 2);
    for (std::size_t host = 0; host < 7; ++host)
    {
        EXPECT_LT(upstream.limit_of(host), 8) << host;
    }
}

// Guards against a limit that stays low although the upstream has free slots.
TEST(concurrency_limit, grows_while_answers_are_quick)
{
    shared_upstream upstream(1, 40, 20ms);
    upstream.run(5s);
    EXPECT_GE(upstream.limit_of(0), 40);
}

// Guards against reducing the limit to its minimum after one burst of slow
// replies to statements that were all sent before the first of these replies.
TEST(concurrency_limit, shrinks_once_for_statements_sent_together)
{
    concurrency_limit limit;
    const auto before = limit.value();
    for (int i = 0; i < 8; ++i)
    {
        limit.on_answer(start, start + 300ms, objective, 8);
    }
    EXPECT_GT(limit.value(), before / 2);
    EXPECT_LT(limit.value(), before);
    limit.on_refused(start, start + 310ms);
    EXPECT_GT(limit.value(), before / 2);
    for (int i = 0; i < 100; ++i)
    {
        limit.on_refused(start + 1s * i, start + 1s * i + 1ms);
    }
    EXPECT_TRUE(limit.allows(0));
    EXPECT_FALSE(limit.allows(1));
}

} // namespace
