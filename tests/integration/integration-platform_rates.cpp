#include "support/hosted_proxy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <thread>

// One customer's limit on many proxy processes that exchange tokens.

using namespace std::chrono_literals;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::line_caller;
using clock_type = std::chrono::steady_clock;

namespace
{

constexpr std::size_t proxy_count = 24;
constexpr double rate_per_s = 20;

/// Limit of a window of 5 s with the overage and the tolerance of the settings.
constexpr double window_limit = (rate_per_s * 5 + rate_per_s) * 1.1 + 20;

class platform_rates : public testing::Test
{
protected:
    void SetUp() override
    {
        platform_.configure(1, {{"alba", "key-a"}}, rate_per_s);
        for (std::size_t number = 0; number < proxy_count; ++number)
        {
            proxies_.push_back(std::make_unique<hosted_proxy>(
                platform_, "n" + std::to_string(number)));
        }
        for (const auto& proxy : proxies_)
        {
            ASSERT_TRUE(proxy->wait_until_ready(10s)) << proxy->log();
            callers_.push_back(std::make_unique<line_caller>(proxy->address()));
            ASSERT_TRUE(callers_.back()->start("latest", "key-a").ok());
        }
        // The shares are assigned, and the buckets fill.
        std::this_thread::sleep_for(3s);
    }

    void TearDown() override
    {
        if (HasFailure())
        {
            GTEST_LOG_(INFO) << proxies_.front()->log();
        }
    }

    /// Sends the next request through the next proxy.
    bool call()
    {
        auto& caller = *callers_[next_++ * 7 % proxy_count];
        const bool ok = caller.run("FETCH item").ok();
        if (ok)
        {
            served_.push_back(clock_type::now());
        }
        return ok;
    }

    /// Highest number of requests served within 5 s.
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        auto first = served_.begin();
        for (auto last = served_.begin(); last != served_.end(); ++last)
        {
            while (*last - *first > 5s)
            {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    hosted_platform platform_{{.max_connections = 200}};
    std::vector<std::unique_ptr<hosted_proxy>> proxies_;
    std::vector<std::unique_ptr<line_caller>> callers_;
    std::deque<clock_type::time_point> served_;
    std::size_t next_ = 0;
};

} // namespace

// Guards against refusing requests inside a small limit because no proxy has a
// whole token, and against exceeding the limit while proxies lend tokens.
TEST_F(platform_rates, small_limit_is_served_and_kept_on_many_proxies)
{
    constexpr std::size_t steady_requests = 60;
    std::size_t served = 0;
    auto due = clock_type::now();
    for (std::size_t request = 0; request < steady_requests; ++request)
    {
        due += 67ms;
        std::this_thread::sleep_until(due);
        served += call() ? 1 : 0;
    }
    EXPECT_GE(served, steady_requests * 95 / 100);

    const auto end = clock_type::now() + 5s;
    std::size_t refused = 0;
    while (clock_type::now() < end)
    {
        refused += call() ? 0 : 1;
    }
    EXPECT_GT(refused, 0U);
    EXPECT_LE(static_cast<double>(most_in_window()), window_limit);
    RecordProperty("most_in_window", std::to_string(most_in_window()));
    RecordProperty("served_steady", std::to_string(served));
}
