#include "support/client_text.hpp"
#include "support/hosted_proxy.hpp"
#include "support/statement_ledger.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// The check that members run what clients sent, and clients that send odd text
// through one proxy process under this check.

using namespace std::chrono_literals;
using zinniahub::test::client_text;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::hosted_run;
using zinniahub::test::line_caller;
using zinniahub::test::replicated_log;
using zinniahub::test::session_record;
using zinniahub::test::statement_ledger;

namespace
{

/// Differences between one run and what a session with a value and two prepared
/// statements sent: an execution of the write as "50a", a read as "50b".
std::vector<std::string>
differences(const std::function<void(hosted_run&)>& change)
{
    session_record session;
    session.start("key-a");
    session.acknowledge("SET owner  v1 ");
    session.acknowledge("SET empty ");
    session.acknowledge("PREPARE w PUT q1 PUT vp");
    session.acknowledge("PREPARE r FETCH q1");
    session.acknowledge("PREPARE gone PUT q1");
    session.acknowledge("DEALLOCATE gone");
    statement_ledger ledger;
    ledger.add(session.statement("50a", "EXECUTE w #c  data "));
    ledger.add(session.statement("50b", "FETCH #c"));
    ledger.add(session.statement("50c", "EXECUTE gone #c data"));
    ledger.add(session.statement("50d", "EXECUTE r #c"));
    hosted_run run;
    run.id = "50a";
    run.text = "EXECUTE 7 #c  data ";
    run.customer = "alba";
    run.values = {{"owner", " v1 "}, {"empty", ""}};
    run.shape = "q1 PUT vp";
    run.shape_writes = true;
    change(run);
    replicated_log log;
    log.runs.push_back(run);
    return ledger.check(log, {{"key-a", {"alba"}}, {"key-b", {"bea"}}});
}

void expect_found(
    const std::string& rule, const std::function<void(hosted_run&)>& change)
{
    const auto found = differences(change);
    ASSERT_EQ(found.size(), 1U) << rule;
    EXPECT_TRUE(found.front().starts_with(rule)) << found.front();
}

void make_read(hosted_run& run, const std::string& text)
{
    run.id = "50b";
    run.text = text;
    run.shape.clear();
    run.shape_writes = false;
}

} // namespace

// Guards against a check that finds fault with what the protocol allows:
// another name of a prepared statement and a position before a read.
TEST(platform_ledger, allowed_changes_are_no_differences)
{
    using list = std::vector<std::string>;
    EXPECT_EQ(differences([](hosted_run&) {}), list{});
    EXPECT_EQ(
        differences([](hosted_run& run)
                    { make_read(run, "WAITLSN 3.12 FETCH #c"); }),
        list{});
    EXPECT_EQ(
        differences(
            [](hosted_run& run)
            {
                make_read(run, "WAITLSN 3.12 EXECUTE 7 #c");
                run.id = "50d";
                run.shape = "q1";
            }),
        list{});
}

// Guards against a check that overlooks a statement with another shape, text,
// value, customer or id than its client's.
TEST(platform_ledger, each_difference_is_found)
{
    expect_found("PINNED shape", [](hosted_run& run) { run.shape = "q1"; });
    expect_found(
        "PINNED shape", [](hosted_run& run) { run.shape_writes = false; });
    expect_found(
        "PINNED shape",
        [](hosted_run& run)
        {
            run.id = "50c";
            run.text = "EXECUTE 7 #c data";
            run.shape = "q1";
        });
    expect_found(
        "PINNED shape",
        [](hosted_run& run)
        {
            make_read(run, "FETCH #c");
            run.shape = "q1";
        });
    expect_found(
        "PINNED value", [](hosted_run& run) { run.values["owner"] = "v1"; });
    expect_found(
        "PINNED value", [](hosted_run& run) { run.values.erase("empty"); });
    expect_found(
        "PINNED value", [](hosted_run& run) { run.values["other"] = ""; });
    for (const std::string text :
         {"EXECUTE 7 #c data ", "EXECUTE 7 #c  data", "EXECUTE 7 x #c  data ",
          "EXECUTE  #c  data ", "EXECUTE 7", "PUT #c  data ",
          "WAITLSN 3.12 EXECUTE 7 #c  data "})
    {
        expect_found(
            "UNASKED text", [&text](hosted_run& run) { run.text = text; });
    }
    for (const std::string text :
         {"FETCH #c ", "FETCH #d", "WAITLSN 3 FETCH #c",
          "WAITLSN 3.1 WAITLSN 3.1 FETCH #c", "WAITLSN .1 FETCH #c",
          "WAITLSN 3.1 FETCH #c DATA"})
    {
        expect_found(
            "UNASKED text", [&text](hosted_run& run) { make_read(run, text); });
    }
    expect_found(
        "UNASKED customer", [](hosted_run& run) { run.customer = "bea"; });
    expect_found("UNASKED id", [](hosted_run& run) { run.id = "-"; });
    expect_found("UNASKED id", [](hosted_run& run) { run.id = "77"; });
}

// Guards against messages outside the protocol that no test looks at.
TEST(platform_ledger, violations_of_the_protocol_are_found)
{
    replicated_log log;
    log.violations.emplace_back("i-1: QUERY 1 NONSENSE");
    EXPECT_EQ(statement_ledger().check(log, {}).size(), 1U);
}

// Guards against a platform that ends without the check, in all tests that use
// one.
TEST(platform_ledger, each_platform_is_checked_when_it_ends)
{
    std::vector<std::string> found;
    auto& report = zinniahub::test::difference_report();
    const auto other = std::exchange(
        report, [&found](const std::string& text) { found.push_back(text); });
    {
        hosted_platform platform;
        const std::lock_guard lock(platform.log().mutex);
        platform.log().runs.push_back({"-", "PUT item own", "alba", "i-0"});
    }
    report = other;
    EXPECT_TRUE(other);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_TRUE(found.front().starts_with("UNASKED id")) << found.front();
}

// Guards against generated text that is not legal, that differs between runs,
// or that is tidy.
TEST(platform_ledger, generated_text_is_odd_but_legal)
{
    client_text text(7);
    client_text again(7);
    std::string all;
    std::size_t empty = 0;
    for (int round = 0; round < 2000; ++round)
    {
        const auto field = text.field();
        EXPECT_EQ(field, again.field());
        EXPECT_FALSE(field.empty());
        EXPECT_EQ(field.find(' '), std::string::npos);
        const auto last = text.text();
        EXPECT_EQ(last, again.text());
        EXPECT_FALSE(last.empty());
        const auto value = text.value();
        EXPECT_EQ(value, again.value());
        empty += value.empty() ? 1 : 0;
        all += fmt::format("{}|{}|{}|", field, last, value);
    }
    EXPECT_EQ(all.find_first_of("\r\n"), std::string::npos);
    EXPECT_GT(empty, 0U);
    for (const std::string& part :
         {std::string("| "), std::string(" |"), std::string("  "),
          std::string("\t"), std::string(1, '\0'), std::string("\""),
          std::string("\\"), std::string("\x80"), std::string("\xff"),
          std::string("EXECUTE "), std::string("WAITLSN"), std::string("QUERY"),
          std::string(1000, 'x')})
    {
        EXPECT_NE(all.find(part), std::string::npos)
            << zinniahub::test::printable(part);
    }
}

// Guards against odd text of one session that is refused, is changed on its way
// or reaches another session; the platform checks each run when it ends.
TEST(platform_ledger, odd_text_of_many_sessions_is_served_unchanged)
{
    hosted_platform platform;
    platform.configure(1, {{"alba", "key-a"}, {"bea", "key-b"}}, 20000);
    hosted_proxy proxy(platform, "n1");
    ASSERT_TRUE(proxy.wait_until_ready()) << proxy.log();
    for (const std::string key : {"key-a", "key-b"})
    {
        bool is_served = false;
        for (int attempt = 0; attempt < 100 && !is_served; ++attempt)
        {
            line_caller caller(proxy.address());
            is_served = caller.start("latest", key).ok() &&
                        caller.run("FETCH probe").ok();
            std::this_thread::sleep_for(50ms);
        }
        ASSERT_TRUE(is_served) << "no share of the rate";
    }
    const auto serve = [&proxy](std::uint64_t seed)
    {
        client_text text(seed);
        for (int session = 0; session < 10; ++session)
        {
            line_caller caller(proxy.address());
            const auto ask = [&caller, seed](const std::string& statement)
            {
                auto reply = caller.run(statement);
                EXPECT_EQ(reply.code, "")
                    << "seed " << seed << ": "
                    << zinniahub::test::printable(statement);
                return reply;
            };
            const std::string database =
                session % 2 == 0 ? "latest" : "session";
            EXPECT_TRUE(
                caller.start(database, seed % 2 == 0 ? "key-a" : "key-b").ok());
            for (int round = 0; round < 5; ++round)
            {
                const auto read = "r" + text.field();
                const auto write = "w" + text.field();
                const auto item = text.field();
                const auto data = text.text();
                ask("SET " + text.field() + " " + text.value());
                ask("PREPARE " + read + " FETCH " + text.text());
                ask("PREPARE " + write + " PUT " + text.text());
                ask(fmt::format("EXECUTE {} {} {}", write, item, data));
                ask(fmt::format("EXECUTE {} {}", read, item));
                EXPECT_EQ(ask("BEGIN").state, "T");
                ask("PUT " + item + " " + text.text());
                ask("SET " + text.field() + " " + text.value());
                ask(fmt::format("EXECUTE {} {} {}", write, item, text.text()));
                EXPECT_EQ(ask("COMMIT").state, "I");
                ask("DEALLOCATE " + write);
            }
        }
    };
    std::vector<std::thread> callers;
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        callers.emplace_back(serve, seed);
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    EXPECT_TRUE(proxy.child().is_running()) << proxy.log();
    EXPECT_GT(platform.runs_at("i-0"), 1000U);
}
