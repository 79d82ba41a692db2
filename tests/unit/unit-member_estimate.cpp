#include "pooling/member_choice.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace zinniahub;
using namespace zinniahub::pooling;
using namespace std::chrono_literals;

constexpr std::size_t member_count = 3;
constexpr std::size_t slots = 4;
constexpr duration set_up_time = 12ms;
const time_point start{1h};

/// How a member of the replay behaves.
struct member_model
{
    /// Mean time of a statement, exponentially distributed.
    duration service_time = 5ms;
    double failing = 0;
    bool is_up = true;
};

class replayed_link : public member_connection
{
public:
    awaitable<result<reply>> forward(forwarded_statement, duration) override
    {
        co_return reply{};
    }
    awaitable<result<reply>> run(const command&, duration) override
    {
        co_return reply{};
    }
    bool is_open() const override
    {
        return open_;
    }
    void close() override
    {
        open_ = false;
    }

private:
    bool open_ = true;
};

/// Reads of one host on members that are modelled as queues with slots. Each
/// read is tried once.
class replay
{
public:
    replay()
    {
        for (std::size_t index = 0; index < member_count; ++index)
        {
            upstream_record record;
            record.instance = name_of(index);
            record.service = "ledger";
            record.address = record.instance;
            directory_.on_registered(record, start);
        }
        pools_.set_limits({20, 200});
        probe();
    }

    /// Runs reads at a rate for a time, with the members as they are then.
    void run(duration length, double per_second)
    {
        std::fill(requests.begin(), requests.end(), 0);
        failed = 0;
        set_ups = 0;
        const auto until = now_ + length;
        while (now_ < until)
        {
            std::exponential_distribution<double> gap(per_second);
            advance(now_ + from_seconds(gap(random_)));
            read();
        }
    }

    double share(std::size_t index) const
    {
        const auto all = requests[0] + requests[1] + requests[2];
        return requests[index] / static_cast<double>(all);
    }

    void stop(std::size_t index)
    {
        members[index].is_up = false;
        // Calls in progress end at once.
        std::vector<std::function<void()>> ended;
        ended.swap(calls_[index]);
        for (const auto& lose : ended)
        {
            lose();
        }
    }

    std::array<member_model, member_count> members;
    std::array<int, member_count> requests{};
    int failed = 0;
    int set_ups = 0;

private:
    static std::string name_of(std::size_t index)
    {
        return "m" + std::to_string(index);
    }

    void advance(time_point to)
    {
        while (!events_.empty() && events_.begin()->first <= to)
        {
            now_ = events_.begin()->first;
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        now_ = to;
    }

    void after(duration delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    void read()
    {
        ++choice_;
        const auto customer = "customer-" + std::to_string(random_() % 12);
        const auto candidates = read_candidates(
            {directory_, "ledger", pools_, primary_, samples_},
            {customer, {}, {}, choice_}, now_);
        for (const auto* candidate : candidates)
        {
            auto& pool = pools_.of(candidate->record.instance);
            const auto access = pool.availability_for(customer, now_);
            if (access == member_pool::availability::none)
            {
                continue;
            }
            const auto index = static_cast<std::size_t>(
                candidate->record.instance.back() - '0');
            pool.estimate().on_chosen(choice_, now_);
            ++requests[index];
            if (access == member_pool::availability::idle)
            {
                send(index, pool.take_idle(customer, session_values{}));
                return;
            }
            open(
                index, customer,
                [this, index](pooled_connection_ptr opened)
                {
                    if (opened == nullptr)
                    {
                        ++failed;
                        return;
                    }
                    send(index, std::move(opened));
                });
            return;
        }
        ++failed;
    }

    /// Probes members that are down, as the gateway does.
    void probe()
    {
        for (std::size_t index = 0; index < member_count; ++index)
        {
            const auto* pool = pools_.find(name_of(index));
            if (pool != nullptr && pool->is_unreachable() &&
                !pool->is_suspect(now_))
            {
                open(
                    index, "customer-0",
                    [this, index](pooled_connection_ptr opened)
                    {
                        if (opened != nullptr)
                        {
                            pools_.of(name_of(index))
                                .return_connection(std::move(opened), now_);
                        }
                    });
            }
        }
        after(100ms, [this] { probe(); });
    }

    using opened_handler = std::function<void(pooled_connection_ptr)>;

    void open(
        std::size_t index, const std::string& customer,
        const opened_handler& opened)
    {
        ++set_ups;
        pools_.of(name_of(index)).on_connecting();
        after(
            set_up_time,
            [this, index, customer, opened]
            {
                auto& pool = pools_.of(name_of(index));
                if (!members[index].is_up)
                {
                    pool.on_connect_failed({}, now_);
                    opened(nullptr);
                    return;
                }
                pool.on_connected();
                pool.estimate().on_set_up(set_up_time);
                auto connection = std::make_unique<pooled_connection>();
                connection->link = std::make_unique<replayed_link>();
                connection->customer = customer;
                opened(std::move(connection));
            });
    }

    void send(std::size_t index, pooled_connection_ptr connection)
    {
        auto& pool = pools_.of(name_of(index));
        const auto sent_at = now_;
        pool.on_call_sent(sent_at);
        auto& free_at = slots_[index];
        auto& slot = *std::min_element(free_at.begin(), free_at.end());
        std::exponential_distribution<double> taken(
            1 / to_seconds(members[index].service_time));
        slot = std::max(slot, now_) + from_seconds(taken(random_));
        const std::shared_ptr<pooled_connection> used(std::move(connection));
        const auto done = std::make_shared<bool>(false);
        const auto finish = [this, index, sent_at, used, done](bool answered)
        {
            if (!std::exchange(*done, true))
            {
                on_finished(index, sent_at, *used, answered);
            }
        };
        after(slot - now_, [finish] { finish(true); });
        calls_[index].push_back([finish] { finish(false); });
        if (!members[index].is_up)
        {
            finish(false);
        }
    }

    void on_finished(
        std::size_t index, time_point sent_at, pooled_connection& used,
        bool answered)
    {
        auto& pool = pools_.of(name_of(index));
        pool.on_call_ended(sent_at);
        std::bernoulli_distribution fails(members[index].failing);
        const bool ok = answered && !fails(random_);
        failed += ok ? 0 : 1;
        if (answered)
        {
            const auto code = ok ? reply_code::none : reply_code::failed;
            pool.on_statement_answered(sent_at, now_, 500ms, code);
            pool.on_read_answered(now_ - sent_at, code);
            pool.on_answer({}, now_);
        }
        else
        {
            pool.on_call_failed(now_);
            used.link->close();
        }
        pool.return_connection(
            std::make_unique<pooled_connection>(std::move(used)), now_);
    }

    std::mt19937 random_{7};
    time_point now_ = start + 1s;
    std::uint64_t choice_ = 0;
    std::multimap<time_point, std::function<void()>> events_;
    std::array<std::array<time_point, slots>, member_count> slots_{};
    std::array<std::vector<std::function<void()>>, member_count> calls_;
    upstream_directory directory_{upstream_directory::settings{}};
    pool_set pools_;
    confirmed_primary primary_;
    primary_position_history samples_;
};

// Guards against estimates that concentrate reads on one of several equal
// members, or open connections where idle ones are there.
TEST(member_estimate, equal_members_share_the_reads)
{
    replay host;
    host.run(2s, 400);
    host.run(10s, 400);
    for (std::size_t index = 0; index < member_count; ++index)
    {
        EXPECT_GT(host.share(index), 0.2);
        EXPECT_LT(host.share(index), 0.5);
    }
    GTEST_LOG_(INFO) << host.set_ups << " set-ups, shares " << host.share(0)
                     << " " << host.share(1) << " " << host.share(2);
    EXPECT_LT(host.set_ups, 100);
}

// Guards against a member five times slower that is used as much as the
// others, and against one that is left out when it has recovered.
TEST(member_estimate, slow_member_gets_few_reads_until_it_recovers)
{
    for (const double per_second : {20.0, 400.0})
    {
        replay host;
        host.run(10s, per_second);
        host.members[1].service_time = 25ms;
        host.run(20s, per_second);
        GTEST_LOG_(INFO) << "slow: share " << host.share(1);
        EXPECT_LT(host.share(1), 0.1) << per_second;
        EXPECT_GT(host.requests[1], 2);
        host.members[1].service_time = 5ms;
        host.run(10s, per_second);
        host.run(10s, per_second);
        GTEST_LOG_(INFO) << "recovered: share " << host.share(1);
        EXPECT_GT(host.share(1), 0.1) << per_second;
    }
}

// Guards against a member with good health reports that goes on failing two of
// five reads.
TEST(member_estimate, failing_member_gets_few_reads_until_it_recovers)
{
    replay host;
    host.run(5s, 200);
    host.members[2].failing = 0.4;
    host.run(20s, 200);
    GTEST_LOG_(INFO) << "failing: share " << host.share(2);
    EXPECT_LT(host.share(2), 0.05);
    EXPECT_GT(host.requests[2], 2);
    host.members[2].failing = 0;
    host.run(15s, 200);
    host.run(10s, 200);
    GTEST_LOG_(INFO) << "recovered: share " << host.share(2);
    EXPECT_GT(host.share(2), 0.1);
}

// Guards against reads that are lost at each stop of a member that comes back
// for 0.7 s only.
TEST(member_estimate, member_that_comes_and_goes_gets_few_reads)
{
    replay host;
    host.run(5s, 1000);
    int lost = 0;
    int reads = 0;
    double share = 0;
    for (int cycle = 0; cycle < 15; ++cycle)
    {
        for (const bool is_up : {false, true})
        {
            is_up ? void(host.members[0].is_up = true) : host.stop(0);
            host.run(700ms, 1000);
            lost += host.failed;
            reads += host.requests[0] + host.requests[1] + host.requests[2];
            share += host.share(0) / 30;
        }
    }
    GTEST_LOG_(INFO) << "comes and goes: share " << share << ", lost " << lost
                     << " of " << reads;
    EXPECT_LT(share, 0.01);
    EXPECT_LT(lost, reads / 500);
    host.run(10s, 1000);
    host.run(10s, 1000);
    GTEST_LOG_(INFO) << "recovered: share " << host.share(0);
    EXPECT_GT(host.share(0), 0.1);
}

// Guards against a slow member that stays unused while the others have more
// than they can run, and goes on being used afterwards.
TEST(member_estimate, slow_member_helps_while_the_others_are_full)
{
    replay host;
    host.run(5s, 400);
    host.members[1].service_time = 25ms;
    host.run(10s, 400);
    host.run(3s, 1600);
    GTEST_LOG_(INFO) << "burst: share " << host.share(1);
    EXPECT_GT(host.share(1), 0.02);
    EXPECT_LT(host.share(1), 0.2);
    host.run(2s, 400);
    host.run(5s, 400);
    GTEST_LOG_(INFO) << "afterwards: share " << host.share(1);
    EXPECT_LT(host.share(1), 0.05);
}

// Guards against a member that is tested by many requests at once, or never.
TEST(member_estimate, member_is_tested_by_one_request_at_a_time)
{
    const member_estimate good;
    member_estimate failing;
    for (int count = 0; count < 10; ++count)
    {
        failing.on_failure();
    }
    failing.on_chosen(100, start);
    member_comparison all;
    all.add(&good);
    all.add(&failing);
    EXPECT_EQ(all.judge(failing), member_judgement::failing);
    // Too few requests or too little time since the last one.
    EXPECT_FALSE(all.is_test_due(failing, 0, 110, start + 10s));
    EXPECT_FALSE(all.is_test_due(failing, 0, 200, start + 500ms));
    EXPECT_FALSE(all.is_test_due(failing, 1, 200, start + 1900ms));
    EXPECT_TRUE(all.is_test_due(failing, 0, 200, start + 1900ms));
    EXPECT_FALSE(all.is_test_due(good, 0, 200, start + 10s));
}

// Guards against a member without measurements that is taken for a fast one.
TEST(member_estimate, member_without_measurements_has_the_mean_of_the_others)
{
    member_estimate fast;
    member_estimate slow;
    for (int count = 0; count < 20; ++count)
    {
        fast.on_answer(10ms);
        slow.on_answer(30ms);
    }
    member_comparison all;
    all.add(&fast);
    all.add(&slow);
    all.add(nullptr);
    EXPECT_EQ(all.judge(slow), member_judgement::slow);
    EXPECT_EQ(all.judge(member_estimate{}), member_judgement::usable);
    EXPECT_EQ(member_comparison{}.judge(slow), member_judgement::usable);
    const auto expected = to_seconds(all.expected_time(nullptr, 0, 0));
    EXPECT_NEAR(expected, 0.02, 1e-6);
    EXPECT_GT(all.expected_time(&fast, 0, 1), all.expected_time(&fast, 0, 0));
    EXPECT_GT(all.expected_time(&fast, 2, 0), all.expected_time(&fast, 0, 0));
}

} // namespace
