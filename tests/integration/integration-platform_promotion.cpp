#include "support/hosted_proxy.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>

// Promotions on the users' platform, with real processes: the log of the
// promoted member holds every acknowledged commit.

using namespace std::chrono_literals;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::line_caller;

namespace
{

class platform_promotion : public testing::Test
{
protected:
    void SetUp() override
    {
        platform_.configure(1, {{"alba", "key-a"}});
        proxy_ = std::make_unique<hosted_proxy>(platform_, "n1");
        ASSERT_TRUE(proxy_->wait_until_ready()) << proxy_->log();
    }

    void TearDown() override
    {
        if (HasFailure())
        {
            GTEST_LOG_(INFO) << proxy_->log();
        }
    }

    /// @brief Writes an item; retried while the proxy refuses it.
    bool write(const std::string& item) const
    {
        for (int attempt = 0; attempt < 100; ++attempt)
        {
            line_caller caller(proxy_->address());
            caller.start("latest", "key-a");
            if (caller.run("PUT " + item + " value").ok())
            {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    hosted_platform platform_;
    std::unique_ptr<hosted_proxy> proxy_;
};

} // namespace

// Guards against an acknowledged commit that is lost because a restarted host
// takes the duty while the registrations of the primary and of the replica that
// has the commit are missing.
TEST_F(platform_promotion, waits_for_members_whose_registrations_expired)
{
    ASSERT_TRUE(write("before"));
    platform_.set_receiving(1, false);
    ASSERT_TRUE(write("kept"));
    platform_.remove_member(0);
    platform_.remove_member(2);
    proxy_->restart();
    std::this_thread::sleep_for(6s);
    EXPECT_EQ(platform_.primary(), 0U);
    platform_.register_member(0);
    platform_.register_member(2);
    EXPECT_TRUE(write("after"));
    EXPECT_EQ(platform_.primary(), 0U);
}
