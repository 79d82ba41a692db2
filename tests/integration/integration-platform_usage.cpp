#include "support/hosted_proxy.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

// Usage reports of three proxies, with the holder of the duty killed.

using namespace std::chrono_literals;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::hosted_store;
using zinniahub::test::line_caller;

namespace
{

constexpr unsigned window_s = 2;

/// Due time of a report, and the time in which the duty moves.
constexpr std::chrono::seconds report_limit{20};

using usage_map = std::map<std::uint64_t, std::map<std::string, unsigned>>;

std::uint64_t present_window()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(now / std::chrono::seconds(window_s));
}

class platform_usage : public testing::Test
{
protected:
    platform_usage()
        : platform_({.usage_window_s = window_s})
    {
        platform_.configure(1, {{"alba", "key-a"}, {"brig", "key-b"}});
        for (const auto* name : {"n0", "n1", "n2"})
        {
            proxies_[name] = std::make_unique<hosted_proxy>(platform_, name);
        }
    }

    void SetUp() override
    {
        for (const auto& [name, proxy] : proxies_)
        {
            ASSERT_TRUE(proxy->wait_until_ready()) << proxy->log();
        }
        ASSERT_TRUE(
            wait_for([this] { return !platform_.store().usage().empty(); }))
            << proxies_["n0"]->log();
    }

    void TearDown() override
    {
        EXPECT_TRUE(platform_.store().usage_violations().empty());
        if (HasFailure())
        {
            for (const auto& [name, proxy] : proxies_)
            {
                GTEST_LOG_(INFO) << proxy->log();
            }
        }
    }

    static bool wait_for(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + report_limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(50ms);
        }
        return condition();
    }

    /// Runs operations in the middle of a window through all proxies that
    /// run, so that the window of each is known.
    void operate(const std::string& key, unsigned count)
    {
        const auto begin = present_window() + 1;
        std::this_thread::sleep_until(std::chrono::system_clock::time_point(
            std::chrono::seconds(begin * window_s) + 200ms));
        for (const auto& [name, proxy] : proxies_)
        {
            if (!proxy->child().is_running())
            {
                continue;
            }
            line_caller caller(proxy->address());
            ASSERT_TRUE(caller.start("latest", key).ok());
            for (unsigned number = 0; number < count; ++number)
            {
                ASSERT_TRUE(caller.run("PUT item data").ok());
            }
            // A transaction counts once.
            ASSERT_TRUE(caller.run("BEGIN").ok());
            ASSERT_TRUE(caller.run("PUT item other").ok());
            ASSERT_TRUE(caller.run("PUT item third").ok());
            ASSERT_TRUE(caller.run("COMMIT").ok());
        }
        last_window_ = begin;
        ASSERT_EQ(present_window(), begin) << "the machine is too slow";
    }

    unsigned reported(std::uint64_t window, const std::string& customer)
    {
        const auto calls = platform_.store().usage();
        const auto found = calls.find(window);
        if (found == calls.end())
        {
            return 0;
        }
        const auto body = nlohmann::json::parse(found->second.body);
        return body["counts"].value(customer, 0U);
    }

    bool is_reported(std::uint64_t window)
    {
        return platform_.store().usage().contains(window);
    }

    /// The first call of `window` kills its holder with the given fate.
    void kill_holder_at(std::uint64_t window, hosted_store::usage_fate fate)
    {
        platform_.store().on_usage(
            [this, window, fate](const hosted_store::usage_call& call)
            {
                if (call.window != window || !killed_.empty())
                {
                    return hosted_store::usage_fate::served;
                }
                killed_ = call.holder;
                killed_body_ = call.body;
                proxies_[call.holder]->child().kill();
                return fate;
            });
    }

    hosted_platform platform_;
    std::map<std::string, std::unique_ptr<hosted_proxy>> proxies_;
    std::uint64_t last_window_ = 0;
    std::string killed_;
    std::string killed_body_;
};

} // namespace

// Guards against operations that are lost, counted twice or reported for the
// wrong window, and against windows without a report.
TEST_F(platform_usage, reports_the_operations_of_all_hosts)
{
    operate("key-a", 5);
    const auto first = last_window_;
    operate("key-b", 3);
    ASSERT_TRUE(wait_for([this] { return is_reported(last_window_); }));
    EXPECT_EQ(reported(first, "alba"), 18U);
    EXPECT_EQ(reported(last_window_, "brig"), 12U);
    const auto calls = platform_.store().usage();
    EXPECT_EQ(calls.rbegin()->first - calls.begin()->first + 1, calls.size());
}

// Guards against two different reports of one window, and against a report
// that is lost with the holder that had recorded it.
TEST_F(platform_usage, repeats_the_record_of_a_holder_killed_before_the_call)
{
    operate("key-a", 4);
    kill_holder_at(last_window_, hosted_store::usage_fate::lost);
    ASSERT_TRUE(wait_for([this] { return is_reported(last_window_ + 1); }));
    ASSERT_FALSE(killed_.empty());
    const auto calls = platform_.store().usage();
    EXPECT_EQ(calls.at(last_window_).body, killed_body_);
    EXPECT_NE(calls.at(last_window_).holder, killed_);
    EXPECT_EQ(reported(last_window_, "alba"), 15U);
}

// The same with a holder that is killed between the call and its answer.
TEST_F(platform_usage, repeats_the_record_of_a_holder_killed_before_the_answer)
{
    operate("key-a", 4);
    kill_holder_at(last_window_, hosted_store::usage_fate::unanswered);
    ASSERT_TRUE(wait_for([this] { return is_reported(last_window_ + 1); }));
    ASSERT_FALSE(killed_.empty());
    EXPECT_EQ(platform_.store().usage().at(last_window_).body, killed_body_);
}

// Guards against counts of a dead host, and of the dead holder itself, that
// are missing from the report of the next holder.
TEST_F(platform_usage, keeps_the_counts_of_a_killed_holder)
{
    const auto holder = platform_.store().usage().begin()->second.holder;
    operate("key-b", 6);
    std::this_thread::sleep_for(800ms);
    proxies_[holder]->child().kill();
    ASSERT_TRUE(wait_for([this] { return is_reported(last_window_); }));
    EXPECT_EQ(reported(last_window_, "brig"), 21U);
}

// Guards against a holder that goes on where it was after a suspension, with
// sums and a token that another host has replaced.
TEST_F(platform_usage, survives_a_holder_that_is_suspended)
{
    const auto holder = platform_.store().usage().begin()->second.holder;
    operate("key-a", 4);
    proxies_[holder]->child().freeze();
    std::this_thread::sleep_for(6s);
    proxies_[holder]->child().resume();
    ASSERT_TRUE(wait_for([this] { return is_reported(last_window_ + 4); }));
    EXPECT_EQ(reported(last_window_, "alba"), 15U);
    const auto calls = platform_.store().usage();
    EXPECT_NE(calls.rbegin()->second.holder, holder);
    EXPECT_EQ(calls.rbegin()->first - calls.begin()->first + 1, calls.size());
}
