#include "support/hosted_proxy.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

// The whole path on the users' platform: one proxy process, the platform's
// store and the members of one service, over the platform's protocols.

using namespace std::chrono_literals;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::line_caller;

namespace
{

class platform_path : public testing::Test
{
protected:
    void SetUp() override
    {
        platform_.configure(1, {{"alba", "key-a"}, {"bea", "key-b"}});
        proxy_ = std::make_unique<hosted_proxy>(platform_, "n1");
        ASSERT_TRUE(proxy_->wait_until_ready()) << proxy_->log();
        wait_for_rates("key-a");
    }

    void TearDown() override
    {
        if (HasFailure())
        {
            GTEST_LOG_(INFO) << proxy_->log();
        }
        EXPECT_TRUE(proxy_->child().is_running());
    }

    /// Waits until the proxy has its share of a customer's rate.
    void wait_for_rates(const std::string& key)
    {
        for (int attempt = 0; attempt < 100; ++attempt)
        {
            line_caller caller(proxy_->address());
            caller.start("latest", key);
            if (caller.run("FETCH probe").ok())
            {
                return;
            }
            std::this_thread::sleep_for(50ms);
        }
        FAIL() << "no share of the rate";
    }

    hosted_platform platform_;
    std::unique_ptr<hosted_proxy> proxy_;
};

} // namespace

// Guards against statements that do not reach a member, or whose answer does
// not reach the client.
TEST_F(platform_path, writes_and_reads_on_each_kind_of_route)
{
    for (const auto* database : {"latest", "bounded", "session"})
    {
        line_caller caller(proxy_->address());
        ASSERT_TRUE(caller.start(database, "key-a").ok());
        const auto written = caller.run("PUT item first");
        EXPECT_EQ(written.signature, "sig-" + caller.last_id()) << database;
        const auto read = caller.run("FETCH item");
        ASSERT_EQ(read.rows.size(), 1U) << database;
        EXPECT_EQ(read.rows.front(), "first");
        EXPECT_EQ(read.signature, "sig-" + caller.last_id());
    }
}

// Guards against wrong answers to unknown databases and keys.
TEST_F(platform_path, refuses_unknown_databases_and_keys)
{
    line_caller no_database(proxy_->address());
    EXPECT_EQ(no_database.send_raw("STARTUP nowhere key-a\r\n").code, "NODB");
    line_caller no_key(proxy_->address());
    EXPECT_EQ(no_key.send_raw("STARTUP latest wrong\r\n").code, "NOAUTH");
}

// Guards against a transaction that leaves its connection or loses a write.
TEST_F(platform_path, commits_and_rolls_back_transactions)
{
    line_caller caller(proxy_->address());
    ASSERT_TRUE(caller.start("latest", "key-a").ok());
    EXPECT_EQ(caller.run("BEGIN").state, "T");
    EXPECT_TRUE(caller.run("PUT item kept").ok());
    EXPECT_TRUE(caller.run("COMMIT").ok());
    EXPECT_EQ(caller.run("BEGIN").state, "T");
    EXPECT_TRUE(caller.run("PUT item dropped").ok());
    EXPECT_EQ(caller.run("ROLLBACK").state, "I");
    const auto read = caller.run("FETCH item");
    ASSERT_EQ(read.rows.size(), 1U);
    EXPECT_EQ(read.rows.front(), "kept");
}

// Guards against session values and prepared statements that reach another
// session, or are missing on a pooled connection.
TEST_F(platform_path, restores_values_and_prepared_statements)
{
    line_caller first(proxy_->address());
    line_caller second(proxy_->address());
    ASSERT_TRUE(first.start("latest", "key-a").ok());
    ASSERT_TRUE(second.start("latest", "key-a").ok());
    EXPECT_TRUE(first.run("PREPARE s1 PUT shape-a").ok());
    EXPECT_TRUE(second.run("PREPARE s1 FETCH shape-b").ok());
    EXPECT_TRUE(first.run("EXECUTE s1 item from-first").ok());
    const auto read = second.run("EXECUTE s1 item");
    ASSERT_EQ(read.rows.size(), 1U);
    EXPECT_EQ(read.rows.front(), "from-first");
    EXPECT_TRUE(second.run("DEALLOCATE s1").ok());
    EXPECT_EQ(second.run("EXECUTE s1 item").code, "NOSTMT");
}

// Guards against a proxy that ends or hangs on bad input.
TEST_F(platform_path, survives_malformed_input)
{
    for (const auto* bytes :
         {"\r\n", "QUERY\r\n", "STARTUP\r\n", "GARBAGE \x01\xff\r\n",
          "STARTUP latest key-a\r\nQUERY 1\r\n",
          "STARTUP latest key-a\r\nQUERY 1 NONSENSE\r\n"})
    {
        line_caller caller(proxy_->address());
        caller.send_only(bytes);
        caller.is_closed_within(200ms);
    }
    line_caller oversize(proxy_->address());
    ASSERT_TRUE(oversize.start("latest", "key-a").ok());
    EXPECT_EQ(
        oversize.send_raw("QUERY 1 PUT item " + std::string(1200000, 'x')).code,
        "TOOLARGE");
    line_caller caller(proxy_->address());
    EXPECT_TRUE(caller.start("latest", "key-a").ok());
    EXPECT_TRUE(caller.run("FETCH item").ok());
}

// Guards against lifetime faults under many short sessions of several
// customers that share few connections.
TEST_F(platform_path, serves_many_sessions_at_once)
{
    platform_.configure(2, {{"alba", "key-a"}, {"bea", "key-b"}}, 20000);
    std::this_thread::sleep_for(500ms);
    wait_for_rates("key-b");
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    callers.reserve(12);
    for (int caller_index = 0; caller_index < 12; ++caller_index)
    {
        callers.emplace_back(
            [this, caller_index, &failed]
            {
                for (int round = 0; round < 30; ++round)
                {
                    line_caller caller(proxy_->address());
                    caller.start(
                        round % 3 == 0 ? "latest" : "session",
                        caller_index % 2 == 0 ? "key-a" : "key-b");
                    caller.run("SET colour c" + std::to_string(caller_index));
                    caller.run("BEGIN");
                    caller.run("PUT item v");
                    const bool ok = caller.run("COMMIT").ok() &&
                                    caller.run("FETCH item").ok();
                    failed += ok ? 0 : 1;
                }
            });
    }
    for (auto& thread : callers)
    {
        thread.join();
    }
    EXPECT_LT(failed, 12 * 30 / 10);
}
