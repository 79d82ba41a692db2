#include "support/soak_run.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

// Overlapping faults drawn from a seed, with proxy processes, callers that keep
// their sessions open, and the stand-ins of the users' platform. A run by hand:
//
//   SOAK_SEEDS=100-149 SOAK_LENGTH_S=20 SOAK_PROXIES=4
//     build/integration-platform_soak --gtest_filter=platform_soak.by_hand
//
// prints a line for each seed, and the schedule of each run that broke a rule;
// with SOAK_LOGS=1 also the logs of its proxies. SOAK_UNCHECKED=1 plays a
// platform that does not check fencing tokens.
// Seeds with remainder 1 of 4 draw planned faults only, 2 those of members, 3
// those of the store, 0 all.

using namespace std::chrono_literals;
using zinniahub::test::soak_report;
using zinniahub::test::soak_run;
using zinniahub::test::soak_schedule;
using zinniahub::test::soak_settings;

namespace
{

unsigned long number_from(const char* name, unsigned long other)
{
    const char* value = std::getenv(name);
    return value == nullptr ? other : std::stoul(value);
}

std::string describe(const soak_settings& settings, const soak_report& report)
{
    return fmt::format(
        "seed {} ({}), {} s, {} proxies: {} requests, {} answered with "
        "success, {} commits acknowledged, {} promotions, recovery {} ms, {} "
        "findings\n",
        settings.seed, to_string(zinniahub::test::profile_of(settings.seed)),
        settings.length.count() / 1000, settings.proxies, report.requests,
        report.answered, report.acknowledged, report.promotions,
        report.recovery.count(), report.findings.size());
}

/// Runs a seed; a run that broke a rule is a failure.
void soak(const soak_settings& settings)
{
    soak_run run(settings);
    const auto report = run.run();
    fmt::print("{}", describe(settings, report));
    std::fflush(stdout);
    // A run without load shows nothing.
    EXPECT_GT(report.acknowledged, 100U);
    if (report.findings.empty())
    {
        return;
    }
    std::string text;
    for (const auto& finding : report.findings)
    {
        text += "  " + finding + "\n";
    }
    text += "schedule (times from 2 s after the start of the callers):\n";
    for (const auto& event :
         soak_schedule(settings.seed, settings.length, settings.proxies))
    {
        text += "  " + zinniahub::test::to_string(event) + "\n";
    }
    if (number_from("SOAK_LOGS", 0) == 1)
    {
        for (unsigned proxy = 0; proxy < settings.proxies; ++proxy)
        {
            text += fmt::format("log of proxy {}:\n{}", proxy, run.log(proxy));
        }
    }
    ADD_FAILURE() << "seed " << settings.seed << "\n" << text;
}

} // namespace

// Guards against a schedule that differs between machines or runs.
TEST(platform_soak, schedule_depends_on_the_seed_only)
{
    std::string text;
    for (const auto& event : soak_schedule(7, 20s, 4))
    {
        text += zinniahub::test::to_string(event) + "\n";
    }
    std::uint64_t digest = 14695981039346656037U;
    for (const char byte : text)
    {
        digest = (digest ^ static_cast<unsigned char>(byte)) * 1099511628211U;
    }
    EXPECT_EQ(digest, 2700653014683025444U) << text;
    EXPECT_NE(
        zinniahub::test::to_string(soak_schedule(8, 20s, 4).front()),
        zinniahub::test::to_string(soak_schedule(7, 20s, 4).front()));
}

// Guards against checks that overlook a broken rule.
TEST(platform_soak, checks_see_broken_rules)
{
    using zinniahub::test::soak_write;
    zinniahub::test::replicated_log log;
    auto& primary = log.members["i-1"];
    primary.primary = true;
    primary.rows = {
        {"a", "kept", {1, 1}},
        {"a", "twice", {1, 2}},
        {"a", "twice", {1, 3}},
        {"a", "refused", {1, 4}}};
    const auto now = std::chrono::steady_clock::now();
    std::vector<soak_write> writes;
    for (const auto* data : {"kept", "lost", "refused"})
    {
        soak_write write;
        write.data = data;
        write.result = write.data == "refused"
                           ? soak_write::outcome::refused
                           : soak_write::outcome::acknowledged;
        write.acknowledged = now - 1s;
        writes.push_back(write);
    }
    zinniahub::test::soak_request read;
    read.id = "50a";
    read.text = "FETCH a";
    read.key = "key-a";
    read.database = "latest";
    read.reply.signature = "sig-other";
    read.sent = now;
    read.ended = now;
    zinniahub::test::statement_ledger ledger;
    zinniahub::test::session_record session;
    session.start("key-a");
    session.acknowledge("SET owner v1");
    ledger.add(session.statement("50a", "FETCH a"));
    log.runs.push_back({"50a", "FETCH a", "bea", "i-1"});
    log.violations.emplace_back("i-1: not of the protocol");
    auto unanswered = read;
    unanswered.id = "50b";
    unanswered.reply.unanswered = true;
    auto refused = read;
    refused.id = "50c";
    refused.reply.code = "NOSTMT";
    zinniahub::test::soak_history history;
    history.promotions.push_back({"i-1", now, {"lost"}});
    const auto found =
        check_soak(history, {read, unanswered, refused}, writes, ledger, log);
    for (const auto* rule :
         {"LOST", "TWICE", "REFUSED", "MIXED", "UNASKED", "PINNED", "VIOLATION",
          "ILLEGAL", "STALE", "UNANSWERED"})
    {
        EXPECT_EQ(
            std::count_if(
                found.begin(), found.end(),
                [rule](const std::string& finding)
                { return finding.starts_with(std::string(rule) + " "); }),
            1)
            << rule;
    }
}

// The first seeds of three of the four kinds of schedule.

// Guards against requests cut by planned stops, settings, configurations and
// replacements of members.
TEST(platform_soak, planned_work_keeps_the_rules)
{
    soak({.seed = 1});
}

// Guards against broken rules around outages of the store.
TEST(platform_soak, outages_of_the_store_keep_the_rules)
{
    soak({.seed = 3});
}

// Guards against broken rules under all faults together.
TEST(platform_soak, mixed_faults_keep_the_rules)
{
    soak({.seed = 4});
}

// Guards against broken rules on a platform that does not check fencing tokens
// and on which a replaced primary goes on leading.
TEST(platform_soak, unchecked_tokens_keep_the_rules)
{
    soak({.seed = 2, .tokens_checked = false});
    soak({.seed = 4, .tokens_checked = false});
}

// Guards against a promotion by a new process that sees one stalled replica
// only, while the registrations of the primary and of the other one return.
TEST(platform_soak, restarts_while_registrations_return_lose_nothing)
{
    soak({.seed = 119});
}

// Guards against a stalled replica that is promoted while the successor of a
// replaced one, which has not registered yet, acknowledges commits.
TEST(platform_soak, stalled_replica_is_not_promoted_over_a_new_successor)
{
    using zinniahub::test::line_caller;
    std::size_t lost = 0;
    zinniahub::test::hosted_platform platform;
    platform.on_promoted(
        [&lost](
            const std::string& instance,
            const zinniahub::test::replicated_log& log)
        {
            const auto& rows = log.members.at(instance).rows;
            for (const auto& data : log.acknowledged)
            {
                const bool is_held = std::any_of(
                    rows.begin(), rows.end(),
                    [&data](const auto& row) { return row.data == data; });
                lost += is_held ? 0 : 1;
            }
        });
    platform.configure(1, {{"alba", "key-a"}});
    zinniahub::test::hosted_proxy proxy(platform, "n1");
    ASSERT_TRUE(proxy.wait_until_ready());
    std::atomic<bool> is_done{false};
    std::thread writer(
        [&proxy, &is_done]
        {
            for (unsigned number = 0; !is_done; ++number)
            {
                line_caller caller(proxy.address(), 3s);
                caller.start("latest", "key-a");
                caller.run(fmt::format("PUT item value{}", number));
                std::this_thread::sleep_for(5ms);
            }
        });
    platform.register_member(2, true);
    std::this_thread::sleep_for(3s);
    platform.set_receiving(1, false);
    platform.retire(2);
    std::this_thread::sleep_for(400ms);
    const auto successor = platform.start_successor(2);
    std::this_thread::sleep_for(900ms);
    platform.register_member(successor);
    std::this_thread::sleep_for(2s);
    is_done = true;
    writer.join();
    const std::lock_guard lock(platform.log().mutex);
    EXPECT_GT(platform.log().acknowledged.size(), 50U);
    EXPECT_EQ(lost, 0U) << proxy.log();
}

// Runs the seeds of the environment; without SOAK_SEEDS there is nothing to do.
TEST(platform_soak, by_hand)
{
    const char* seeds = std::getenv("SOAK_SEEDS");
    if (seeds == nullptr)
    {
        GTEST_SKIP() << "SOAK_SEEDS is not set";
    }
    const std::string range(seeds);
    const auto dash = range.find('-');
    const auto first = std::stoull(range.substr(0, dash));
    const auto last =
        dash == std::string::npos ? first : std::stoull(range.substr(dash + 1));
    for (auto seed = first; seed <= last; ++seed)
    {
        soak_settings settings;
        settings.seed = seed;
        settings.length =
            std::chrono::seconds(number_from("SOAK_LENGTH_S", 20));
        settings.proxies =
            static_cast<unsigned>(number_from("SOAK_PROXIES", 4));
        settings.callers = 8 + settings.proxies / 4;
        settings.tokens_checked = number_from("SOAK_UNCHECKED", 0) == 0;
        soak(settings);
    }
}
