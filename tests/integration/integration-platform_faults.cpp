#include "support/hosted_proxy.hpp"

#include <zinniahub/time.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <regex>
#include <set>
#include <string>
#include <thread>

// Failures around one or two proxies on the users' platform.

using namespace std::chrono_literals;
using zinniahub::clock;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::hosted_store;
using zinniahub::test::line_caller;

namespace
{

class platform_faults : public testing::Test
{
protected:
    void SetUp() override
    {
        platform_.configure(1, keys_);
        proxy_ = std::make_unique<hosted_proxy>(platform_, "n1");
        ASSERT_TRUE(proxy_->wait_until_ready()) << proxy_->log();
        ASSERT_TRUE(eventually([this] { return call("latest", "PUT a 1"); }));
    }

    void TearDown() override
    {
        if (HasFailure())
        {
            GTEST_LOG_(INFO) << proxy_->log();
        }
    }

    /// Runs one statement in a session of its own.
    bool call(const std::string& database, const std::string& text)
    {
        line_caller caller(proxy_->address());
        return caller.start(database, "key-a").ok() && caller.run(text).ok();
    }

    template<typename Condition>
    static bool
    eventually(Condition condition, std::chrono::milliseconds limit = 5s)
    {
        const auto end = clock::now() + limit;
        while (clock::now() < end)
        {
            if (condition())
            {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    std::map<std::string, std::string> keys_{{"alba", "key-a"}};
    hosted_platform platform_;
    std::unique_ptr<hosted_proxy> proxy_;
};

} // namespace

// Guards against a planned stop that cuts a transaction, takes longer than the
// grace period, or ends with a failure.
TEST_F(platform_faults, planned_stop_lets_transactions_end)
{
    line_caller open(proxy_->address());
    line_caller idle(proxy_->address());
    ASSERT_TRUE(open.start("latest", "key-a").ok());
    ASSERT_TRUE(idle.start("latest", "key-a").ok());
    ASSERT_TRUE(open.run("BEGIN").ok());
    ASSERT_TRUE(open.run("PUT a kept").ok());
    proxy_->child().terminate();
    EXPECT_TRUE(eventually([this] { return proxy_->get("/readyz") == 503; }));
    EXPECT_TRUE(idle.is_closed_within(3s));
    EXPECT_TRUE(open.run("COMMIT").ok());
    EXPECT_EQ(proxy_->child().wait(6s), 0);
}

// Guards against a process that is killed at the end of its grace period
// because its last call to the store gets no answer.
TEST_F(platform_faults, planned_stop_ends_in_time_while_the_store_is_silent)
{
    constexpr auto grace_period = 3s;
    proxy_->child().kill();
    proxy_->set_grace_period(grace_period);
    proxy_->restart();
    ASSERT_TRUE(proxy_->wait_until_ready()) << proxy_->log();
    platform_.store().set_fault(hosted_store::fault::silent);
    proxy_->child().terminate();
    EXPECT_EQ(proxy_->child().wait(grace_period), 0);
}

// Guards against a configuration that takes effect too late, or that reverts to
// an older version.
TEST_F(platform_faults, withdrawn_key_stops_within_the_bound)
{
    line_caller caller(proxy_->address());
    ASSERT_TRUE(caller.start("latest", "key-a").ok());
    platform_.configure(5, {{"alba", "key-new"}});
    EXPECT_TRUE(eventually(
        [&caller] { return caller.run("FETCH a").code == "NOAUTH"; }, 3s));
    // An older version, as a late writer would leave it.
    platform_.configure(4, keys_);
    std::this_thread::sleep_for(2s);
    line_caller old_key(proxy_->address());
    EXPECT_EQ(old_key.start("latest", "key-a").code, "NOAUTH");
}

// Guards against changes that are lost when the store drops its history.
TEST_F(platform_faults, follows_the_configuration_over_a_lost_history)
{
    platform_.store().compact();
    platform_.configure(5, {{"alba", "key-new"}});
    EXPECT_TRUE(eventually(
        [this]
        {
            line_caller caller(proxy_->address());
            return caller.start("latest", "key-new").ok();
        },
        3s));
}

// Guards against a stop of service while the store is away, and against a
// configuration that is not read when it is back.
TEST_F(platform_faults, serves_while_the_store_is_away)
{
    for (const auto fault :
         {hosted_store::fault::busy, hosted_store::fault::limited,
          hosted_store::fault::reset, hosted_store::fault::silent,
          hosted_store::fault::answers_lost})
    {
        platform_.store().set_fault(fault);
        std::this_thread::sleep_for(1500ms);
        EXPECT_TRUE(
            eventually([this] { return call("latest", "PUT a 2"); }, 1s));
        EXPECT_TRUE(
            eventually([this] { return call("session", "FETCH a"); }, 1s));
        platform_.store().set_fault(hosted_store::fault::none);
        EXPECT_EQ(proxy_->get("/readyz"), 200U);
    }
    platform_.configure(9, {{"alba", "key-new"}});
    EXPECT_TRUE(eventually(
        [this]
        {
            line_caller caller(proxy_->address());
            return caller.start("latest", "key-new").ok();
        }));
}

// Guards against a crashed primary that is not replaced, and against a lost
// commit by its replacement.
TEST_F(platform_faults, replaces_a_crashed_primary)
{
    ASSERT_TRUE(eventually(
        [this]
        { return proxy_->log().find("duty_taken") != std::string::npos; }));
    ASSERT_TRUE(call("latest", "PUT a before"));
    platform_.member(0).crash();
    ASSERT_TRUE(eventually([this] { return call("latest", "PUT b after"); }));
    EXPECT_NE(platform_.primary(), 0U);
    line_caller caller(proxy_->address());
    ASSERT_TRUE(caller.start("latest", "key-a").ok());
    const auto read = caller.run("FETCH a");
    ASSERT_EQ(read.rows.size(), 1U);
    EXPECT_EQ(read.rows.front(), "before");
}

// Guards against refusals that do not tell when to repeat the request, or tell
// all the same, and against log lines that do not name what decided.
TEST_F(platform_faults, refusals_tell_when_to_repeat)
{
    line_caller caller(proxy_->address());
    ASSERT_TRUE(caller.start("latest", "key-a").ok());
    const auto refused_with = [&caller](const std::string& code)
    { return caller.run("PUT a 1").code == code; };
    platform_.member(0).crash();
    ASSERT_TRUE(eventually([&] { return refused_with("BUSY"); }));
    ASSERT_TRUE(eventually([this] { return call("latest", "PUT a 1"); }));
    platform_.configure(3, keys_, 1);
    for (int round = 0; round < 5; ++round)
    {
        ASSERT_TRUE(eventually([&] { return refused_with("TOOMANY"); }));
    }
    const auto log = proxy_->log();
    const auto texts_of = [&log](const std::string& reason)
    {
        const std::regex line(
            "reply_failed[^\\n]*\"refused_by\":\"" + reason +
            "\"[^\\n]*, retry after ([0-9]+) ms");
        return std::set<std::string>(
            std::sregex_token_iterator(log.begin(), log.end(), line, 1),
            std::sregex_token_iterator());
    };
    EXPECT_GE(texts_of("no_primary").size(), 1U);
    EXPECT_GE(texts_of("rate").size(), 2U);
}

// Guards against a lost or doubtful write that is reported as not run, and
// against a write that is sent twice.
TEST_F(platform_faults, unanswered_write_is_in_doubt)
{
    platform_.member(0).lose_answers(true);
    line_caller caller(proxy_->address());
    ASSERT_TRUE(caller.start("latest", "key-a").ok());
    const auto reply = caller.run("PUT a doubtful");
    EXPECT_TRUE(reply.code == "TIMEOUT" || reply.code == "INDOUBT")
        << reply.code;
    platform_.member(0).lose_answers(false);
    EXPECT_EQ(platform_.runs_of(caller.last_id()), 1U);
}

// Guards against work for a member that leaves.
TEST_F(platform_faults, leaving_replica_gets_no_new_work)
{
    platform_.register_member(1, true);
    std::this_thread::sleep_for(2500ms);
    const auto before = platform_.runs_at("i-1");
    for (int round = 0; round < 50; ++round)
    {
        EXPECT_TRUE(call("session", "FETCH a"));
    }
    EXPECT_EQ(platform_.runs_at("i-1"), before);
}

// Guards against rates that are granted twice by two hosts.
TEST_F(platform_faults, two_hosts_keep_one_rate)
{
    platform_.configure(3, keys_, 20);
    hosted_proxy second(platform_, "n2");
    ASSERT_TRUE(second.wait_until_ready());
    std::this_thread::sleep_for(2500ms);
    int served = 0;
    const auto end = clock::now() + 5s;
    line_caller first_caller(proxy_->address());
    line_caller second_caller(second.address());
    first_caller.start("latest", "key-a");
    second_caller.start("latest", "key-a");
    while (clock::now() < end)
    {
        served += first_caller.run("FETCH a").ok() ? 1 : 0;
        served += second_caller.run("FETCH a").ok() ? 1 : 0;
        std::this_thread::sleep_for(5ms);
    }
    // (20 * 5 + 20) * 1.1 + 20, and no less than the rate itself.
    EXPECT_LE(served, 152);
    EXPECT_GE(served, 100);
    // Guards against a refusal whose inputs cannot be found afterwards.
    const auto log = proxy_->log();
    const auto refusal = log.find(R"("event":"rate_refused","id":)");
    ASSERT_NE(refusal, std::string::npos);
    const auto line = log.substr(refusal, log.find('\n', refusal) - refusal);
    for (const auto* input :
         {"customer", "level", "capacity", "refill_ms", "pause_ms", "peers",
          "share", "shares_revision", "registered"})
    {
        EXPECT_NE(
            line.find("\"" + std::string(input) + "\":"), std::string::npos)
            << input << " " << line;
    }
}

// Guards against a process that ends, or follows the members no longer, because
// another program left an odd entry among them.
TEST_F(platform_faults, odd_entries_among_the_members_are_ignored)
{
    const std::string member =
        R"({"service":"ledger","zone":"z","capacity":3,"phase":"ready",
            "db_role":"primary","sequence":1,"born":1000,"address":)";
    const std::string deep(200000, '[');
    const std::vector<std::string> odd{
        deep,
        deep + std::string(200000, ']'),
        R"({"service":)" + deep,
        member + R"("127.0.0.1:99999"})",
        member + R"("127.0.0.1:0"})",
        member + R"("127.0.0.1:1","extra":1e999})",
        member + R"("127.0.0.1:1","sequence":1e300})",
        member + "18446744073709551616}",
        "\xff\xfe",
        ""};
    for (std::size_t index = 0; index < odd.size(); ++index)
    {
        platform_.store().put(
            "servers/odd-" + std::to_string(index), odd[index]);
    }
    platform_.store().put("servers/", member);
    // A change after the odd entries is followed.
    platform_.configure(2, {{"bea", "key-b"}});
    EXPECT_TRUE(eventually([this] { return !call("latest", "PUT a 2"); }));
    platform_.configure(3, keys_);
    EXPECT_TRUE(eventually([this] { return call("latest", "PUT a 3"); }));
    platform_.store().compact();
    platform_.register_member(1, true);
    std::this_thread::sleep_for(2500ms);
    const auto before = platform_.runs_at("i-1");
    for (int round = 0; round < 20; ++round)
    {
        EXPECT_TRUE(call("session", "FETCH a"));
    }
    EXPECT_EQ(platform_.runs_at("i-1"), before);
    const auto log = proxy_->log();
    EXPECT_EQ(log.find("unexpected_error"), std::string::npos);
    EXPECT_NE(log.find("servers/odd-3"), std::string::npos);
    EXPECT_EQ(
        log.find("\"event\":\"started\""), log.rfind("\"event\":\"started\""));
}
