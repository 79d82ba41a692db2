#include "support/hosted_proxy.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

// Failure domains that are cut off, with two processes in each of three
// domains. A partition is simulated by freezing the processes and the members
// of the other domains: neither shows a sign of life.

using namespace std::chrono_literals;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::line_caller;

namespace
{

constexpr std::size_t domains = 3;
constexpr unsigned ready = 200;

class platform_domains : public testing::Test
{
protected:
    void SetUp() override
    {
        platform_.configure(1, {{"alba", "key-a"}});
        for (std::size_t number = 0; number < 2 * domains; ++number)
        {
            proxies_.push_back(std::make_unique<hosted_proxy>(
                platform_, "n" + std::to_string(number),
                "zone-" + std::to_string(number % domains)));
        }
        for (const auto& proxy : proxies_)
        {
            ASSERT_TRUE(proxy->wait_until_ready()) << proxy->log();
        }
        // The hosts learn the domains of the others.
        std::this_thread::sleep_for(2s);
    }

    void TearDown() override
    {
        if (HasFailure())
        {
            GTEST_LOG_(INFO) << proxies_[1]->log();
        }
    }

    void for_others(
        std::size_t domain,
        const std::function<void(hosted_proxy&)>& change) const
    {
        for (std::size_t number = 0; number < proxies_.size(); ++number)
        {
            if (number % domains != domain)
            {
                change(*proxies_[number]);
            }
        }
    }

    void silence_others(std::size_t domain, bool value)
    {
        for (std::size_t number = 0; number < domains; ++number)
        {
            if (number != domain)
            {
                platform_.member(number).set_silent(value);
            }
        }
    }

    static bool becomes(
        const hosted_proxy& proxy, bool is_ready,
        std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while ((proxy.get("/readyz") == ready) != is_ready)
        {
            if (std::chrono::steady_clock::now() > end)
            {
                return false;
            }
            std::this_thread::sleep_for(10ms);
        }
        return true;
    }

    hosted_platform platform_;
    std::vector<std::unique_ptr<hosted_proxy>> proxies_;
};

/// Whether the log has the name of an event, or of a reason.
bool has_event(const hosted_proxy& proxy, const std::string& event)
{
    return proxy.log().find("\"" + event + "\"") != std::string::npos;
}

} // namespace

// Guards against hosts that stay ready, and let requests wait, while their
// domain is cut off from the primary.
TEST_F(platform_domains, cut_off_hosts_are_unready_and_refuse_at_once)
{
    line_caller caller(proxies_[1]->address());
    caller.start("latest", "key-a");
    for_others(1, [](hosted_proxy& proxy) { proxy.child().freeze(); });
    silence_others(1, true);
    // 420 ms by the rules, and time for a busy machine.
    EXPECT_TRUE(becomes(*proxies_[1], false, 1s));
    EXPECT_TRUE(becomes(*proxies_[4], false, 1s));
    EXPECT_TRUE(has_event(*proxies_[1], "domain_cut_off"));
    const auto answer = caller.run("FETCH a");
    EXPECT_EQ(answer.code, "BUSY");
    EXPECT_TRUE(has_event(*proxies_[1], "member_unreachable"));
    silence_others(1, false);
    for_others(1, [](hosted_proxy& proxy) { proxy.child().resume(); });
    EXPECT_TRUE(becomes(*proxies_[1], true, 3s));
    EXPECT_TRUE(becomes(*proxies_[4], true, 3s));
    EXPECT_TRUE(has_event(*proxies_[1], "domain_regained"));
    // The others were suspended, and were never cut off.
    for_others(
        1, [](hosted_proxy& proxy)
        { EXPECT_FALSE(has_event(proxy, "domain_cut_off")) << proxy.log(); });
}

// Guards against the last host that becomes unready because all others were
// killed: nobody would serve.
TEST_F(platform_domains, last_host_stays_ready_while_members_answer)
{
    for (std::size_t number = 0; number < proxies_.size(); ++number)
    {
        if (number != 1)
        {
            proxies_[number]->child().kill();
        }
    }
    EXPECT_FALSE(becomes(*proxies_[1], false, 3s));
    EXPECT_FALSE(has_event(*proxies_[1], "domain_cut_off"));
    EXPECT_FALSE(has_event(*proxies_[1], "domain_unreachable"));
}
