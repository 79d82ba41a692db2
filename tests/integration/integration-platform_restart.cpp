#include "support/hosted_proxy.hpp"

#include <zinniahub/time.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

// All proxies are killed at once, and start again while the store fails.

using namespace std::chrono_literals;
using zinniahub::clock;
using zinniahub::test::free_address;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::hosted_store;
using zinniahub::test::line_caller;

namespace
{

/// The users accept 12 s on their machines.
constexpr std::chrono::seconds recovery_limit{12};
constexpr std::size_t proxy_count = 4;

class platform_restart : public testing::Test
{
protected:
    void SetUp() override
    {
        platform_.configure(1, {{"alba", "key-a"}});
        for (std::size_t number = 0; number < proxy_count; ++number)
        {
            proxies_.push_back(std::make_unique<hosted_proxy>(
                platform_, "n" + std::to_string(number)));
        }
        for (const auto& proxy : proxies_)
        {
            ASSERT_TRUE(serves_within(*proxy, 10s)) << proxy->log();
        }
    }

    void TearDown() override
    {
        if (HasFailure())
        {
            GTEST_LOG_(INFO) << proxies_.back()->log();
        }
    }

    static bool call(const hosted_proxy& proxy)
    {
        line_caller caller(proxy.address(), 2s);
        return caller.start("latest", "key-a").ok() &&
               caller.run("PUT item data").ok();
    }

    static bool
    serves_within(const hosted_proxy& proxy, std::chrono::milliseconds limit)
    {
        const auto end = clock::now() + limit;
        while (clock::now() < end)
        {
            if (call(proxy))
            {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    void kill_all()
    {
        for (const auto& proxy : proxies_)
        {
            proxy->child().kill();
        }
    }

    void start_all()
    {
        for (const auto& proxy : proxies_)
        {
            proxy->restart();
        }
    }

    hosted_platform platform_{{.max_connections = 100}};
    std::vector<std::unique_ptr<hosted_proxy>> proxies_;
};

} // namespace

// Guards against proxies that refuse every request after a restart because
// their writes to the store are carried out but not answered.
TEST_F(platform_restart, serves_again_while_no_write_is_answered)
{
    kill_all();
    platform_.store().set_fault(hosted_store::fault::answers_lost);
    start_all();
    const auto end = clock::now() + recovery_limit;
    for (const auto& proxy : proxies_)
    {
        EXPECT_TRUE(serves_within(
            *proxy, std::chrono::duration_cast<std::chrono::milliseconds>(
                        end - clock::now())));
    }
}

// Guards against proxies that serve nothing after a restart because the store
// turns them away, although it serves another proxy.
TEST_F(platform_restart, serves_again_where_only_one_proxy_reaches_the_store)
{
    kill_all();
    const auto unreachable = free_address();
    for (std::size_t index = 1; index < proxies_.size(); ++index)
    {
        proxies_[index]->set_store(unreachable);
    }
    start_all();
    const auto end = clock::now() + recovery_limit;
    for (const auto& proxy : proxies_)
    {
        EXPECT_TRUE(serves_within(
            *proxy, std::chrono::duration_cast<std::chrono::milliseconds>(
                        end - clock::now())));
    }
}
