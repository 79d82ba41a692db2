#include "support/hosted_proxy.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

// Promotions that take effect a second after their order was accepted, with
// real processes: whatever happens meanwhile, the log of the promoted member
// holds every acknowledged commit.

using namespace std::chrono_literals;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::hosted_store;
using zinniahub::test::line_caller;
using zinniahub::test::replicated_log;

namespace
{

class platform_orders : public testing::Test
{
protected:
    platform_orders()
        : platform_({.members = 4})
    {
        platform_.store().set_promotion_time(1s);
        platform_.configure(1, {{"alba", "key-a"}});
        platform_.on_promoted(
            [this](const std::string& instance, const replicated_log& log)
            { note_promotion(instance, log); });
        for (const auto* name : {"n1", "n2", "n3"})
        {
            proxies_.push_back(std::make_unique<hosted_proxy>(platform_, name));
        }
    }

    void SetUp() override
    {
        for (const auto& proxy : proxies_)
        {
            ASSERT_TRUE(proxy->wait_until_ready()) << proxy->log();
        }
    }

    void TearDown() override
    {
        stop_writers();
        if (HasFailure())
        {
            for (const auto& proxy : proxies_)
            {
                GTEST_LOG_(INFO) << proxy->log();
            }
        }
    }

    /// Starts writers at all proxies but one, and waits until they are served.
    void start_writers(const std::string& except = {})
    {
        for (std::size_t index = 0; index < proxies_.size(); ++index)
        {
            if (proxy_name(index) != except)
            {
                writers_.emplace_back([this, index] { run_writer(index); });
            }
        }
        ASSERT_TRUE(wait_until([this] { return acknowledged() > 50; }, 10s));
    }

    void stop_writers()
    {
        ended_ = true;
        for (auto& writer : writers_)
        {
            writer.join();
        }
        writers_.clear();
    }

    /// Waits for the first order.
    bool wait_for_order(hosted_store::promotion& found)
    {
        return wait_until(
            [this, &found]
            {
                const auto orders = platform_.store().promotions();
                if (!orders.empty())
                {
                    found = orders.front();
                }
                return !orders.empty();
            },
            6s);
    }

    static bool wait_until(
        const std::function<bool()>& condition, std::chrono::seconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition())
        {
            if (std::chrono::steady_clock::now() > end)
            {
                return false;
            }
            std::this_thread::sleep_for(5ms);
        }
        return true;
    }

    /// Waits until further writes are acknowledged.
    bool is_served()
    {
        const auto before = acknowledged();
        return wait_until(
            [this, before] { return acknowledged() > before + 50; }, 15s);
    }

    std::size_t acknowledged()
    {
        const std::lock_guard lock(mutex_);
        return acknowledged_.size();
    }
    /// Acknowledged writes that a promoted member lacked.
    std::size_t lost()
    {
        const std::lock_guard lock(mutex_);
        return lost_.size();
    }
    static std::size_t index_of(const std::string& instance)
    {
        return std::stoul(instance.substr(2));
    }
    hosted_proxy& proxy(const std::string& name)
    {
        return *proxies_.at(std::stoul(name.substr(1)) - 1);
    }

    hosted_platform platform_;
    std::vector<std::unique_ptr<hosted_proxy>> proxies_;
    /// Called after each promotion, with the lock of the log held.
    std::function<void(const std::string&)> promoted_ = [](const std::string&) {
    };

private:
    static std::string proxy_name(std::size_t index)
    {
        return "n" + std::to_string(index + 1);
    }

    void run_writer(std::size_t index)
    {
        std::size_t count = 0;
        while (!ended_)
        {
            line_caller caller(proxies_[index]->address(), 3s);
            bool usable = caller.start("latest", "key-a").ok();
            while (usable && !ended_)
            {
                const auto data =
                    proxy_name(index) + "-" + std::to_string(++count);
                const auto reply =
                    caller.run(fmt::format("PUT item-{0} {0}", data));
                if (reply.ok())
                {
                    const std::lock_guard lock(mutex_);
                    acknowledged_.insert(data);
                }
                usable = !reply.cut && !reply.unanswered;
                std::this_thread::sleep_for(10ms);
            }
            std::this_thread::sleep_for(20ms);
        }
    }

    void note_promotion(const std::string& instance, const replicated_log& log)
    {
        std::set<std::string> held;
        for (const auto& row : log.members.at(instance).rows)
        {
            held.insert(row.data);
        }
        {
            const std::lock_guard lock(mutex_);
            std::set_difference(
                acknowledged_.begin(), acknowledged_.end(), held.begin(),
                held.end(), std::inserter(lost_, lost_.end()));
        }
        promoted_(instance);
    }

    std::mutex mutex_;
    std::set<std::string> acknowledged_;
    std::set<std::string> lost_;
    std::atomic<bool> ended_{false};
    std::vector<std::thread> writers_;
};

} // namespace

// Guards against an accepted order that is given up because its member leaves:
// the old primary acknowledged commits without that member, which took the lead
// afterwards.
TEST_F(platform_orders, candidate_that_leaves_loses_no_commit)
{
    start_writers();
    platform_.register_member(0, true);
    hosted_store::promotion order;
    ASSERT_TRUE(wait_for_order(order));
    std::this_thread::sleep_for(300ms);
    const auto ordered = index_of(order.instance);
    platform_.register_member(ordered, true);
    EXPECT_TRUE(wait_until(
        [&]
        {
            const auto primary = platform_.primary();
            return primary != 0 && primary != ordered;
        },
        10s));
    EXPECT_TRUE(is_served());
    EXPECT_EQ(lost(), 0U);
}

// Guards against a holder of the duty that does not know which order the one
// before it has sent: it promoted the old primary, whose promotion took effect
// after that of the ordered member and without the commits of that member.
TEST_F(platform_orders, next_holder_of_the_duty_completes_the_order)
{
    // The primary is cut off from the other members for a while.
    std::atomic<bool> cut{true};
    promoted_ = [&](const std::string& instance)
    {
        for (auto& [name, member] : platform_.log().members)
        {
            member.deaf = cut && (name == "i-0") != (instance == "i-0");
        }
    };
    start_writers();
    // The replication group is complete after some time.
    std::this_thread::sleep_for(6s);
    for (const std::size_t index : {1U, 2U, 3U})
    {
        platform_.set_receiving(index, false);
    }
    hosted_store::promotion order;
    ASSERT_TRUE(wait_for_order(order));
    std::this_thread::sleep_for(300ms);
    proxy(order.holder).child().terminate();
    std::this_thread::sleep_for(3s);
    cut = false;
    for (std::size_t index = 0; index < platform_.size(); ++index)
    {
        platform_.set_receiving(index, true);
    }
    EXPECT_TRUE(is_served());
    EXPECT_EQ(lost(), 0U);
}

// Guards against commits of a primary that only the holder of the duty cannot
// reach, with a replica whose pause ended with its restart: the ordered member
// received nothing, and took the lead without them.
TEST_F(platform_orders, primary_out_of_reach_of_the_holder_loses_no_commit)
{
    std::string holder;
    ASSERT_TRUE(wait_until(
        [&]
        {
            holder = platform_.store().get("zinniahub/duty/promotion");
            return !holder.empty();
        },
        5s));
    start_writers(holder);
    // The replication group is complete after some time.
    std::this_thread::sleep_for(6s);
    platform_.member(0).ignore_control(true);
    hosted_store::promotion order;
    ASSERT_TRUE(wait_for_order(order));
    const auto ordered = index_of(order.instance);
    platform_.set_receiving(ordered, false);
    for (std::size_t index = 1; index < platform_.size(); ++index)
    {
        if (index != ordered)
        {
            platform_.member(index).crash();
        }
    }
    std::this_thread::sleep_for(500ms);
    for (std::size_t index = 1; index < platform_.size(); ++index)
    {
        if (index != ordered)
        {
            platform_.member(index).restart();
        }
    }
    std::this_thread::sleep_for(2s);
    platform_.set_receiving(ordered, true);
    platform_.member(0).ignore_control(false);
    EXPECT_TRUE(is_served());
    EXPECT_EQ(lost(), 0U);
}

// Guards against commits that a replica which joins after the order lets the
// primary acknowledge: clients saw them, and the ordered member took the lead
// without them.
TEST_F(platform_orders, member_that_joins_after_the_order_loses_no_commit)
{
    start_writers();
    platform_.register_member(3, true);
    std::this_thread::sleep_for(500ms);
    platform_.retire(3);
    std::this_thread::sleep_for(1s);
    platform_.register_member(0, true);
    hosted_store::promotion order;
    ASSERT_TRUE(wait_for_order(order));
    const auto ordered = index_of(order.instance);
    platform_.set_receiving(ordered, false);
    platform_.start_successor(3);
    std::this_thread::sleep_for(1500ms);
    platform_.set_receiving(ordered, true);
    EXPECT_TRUE(is_served());
    EXPECT_EQ(lost(), 0U);
}

// Guards against the promotion of a member without commits that only a replica
// which has left and the crashed primary have.
TEST_F(platform_orders, member_that_leaves_before_a_crash_loses_no_commit)
{
    start_writers();
    platform_.register_member(3, true);
    std::this_thread::sleep_for(1s);
    for (const std::size_t index : {1U, 2U})
    {
        platform_.set_receiving(index, false);
    }
    std::this_thread::sleep_for(150ms);
    platform_.retire(3);
    platform_.member(0).crash();
    std::this_thread::sleep_for(3s);
    platform_.member(0).restart();
    for (const std::size_t index : {1U, 2U})
    {
        platform_.set_receiving(index, true);
    }
    EXPECT_TRUE(is_served());
    EXPECT_EQ(lost(), 0U);
}
