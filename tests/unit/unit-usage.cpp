#include "coordination/usage_message.hpp"
#include "coordination/usage_record_codec.hpp"
#include "platform/settings_file.hpp"
#include "pooling/ports.hpp"

#include <zinniahub/fleet_time.hpp>
#include <zinniahub/usage_counter.hpp>
#include <zinniahub/usage_outbox.hpp>
#include <zinniahub/usage_report_planner.hpp>

#include <gtest/gtest.h>

#include <set>
#include <string>

using namespace zinniahub;
using namespace zinniahub::coordination;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};
constexpr duration day = std::chrono::hours(500'000);

pooling::reply reply_with(pooling::reply_code code)
{
    return {.code = code};
}

} // namespace

// Guards against windows that move when the time of day of one host jumps.
TEST(fleet_time, ignores_jumps_of_a_minority)
{
    fleet_time time;
    time.on_report("a", day, start);
    time.on_report("b", day, start);
    time.update(day + 7s, start);
    EXPECT_EQ(time.at(start + 1s), day + 1s);
    time.on_report("a", day + 1s - 9s, start + 1s);
    time.update(day + 1s, start + 1s);
    EXPECT_EQ(time.at(start + 1s), day + 1s);
}

// Guards against reports of hosts that ended long ago.
TEST(fleet_time, forgets_old_reports)
{
    fleet_time time;
    time.on_report("a", day + 5s, start);
    time.on_report("b", day + 5s, start);
    time.update(day + 11s, start + 11s);
    EXPECT_EQ(time.hosts(), 1U);
    EXPECT_EQ(time.at(start), day);
}

// Guards against operations that are added to a window after its report, and
// against memory that grows while nothing is reported.
TEST(usage_counter, is_bounded)
{
    usage_counter counter{usage_windows(5s)};
    counter.count("alba", 10s);
    EXPECT_EQ(counter.windows().at(2).at("alba"), 1U);
    counter.close_through(2);
    EXPECT_FALSE(counter.count("alba", 14s));
    for (int number = 0; number < 2000; ++number)
    {
        counter.count(std::to_string(number), 15s);
        counter.on_tick(15s + 5s * number);
    }
    EXPECT_EQ(counter.windows().size(), max_usage_windows);
}

// Guards against operations that are charged although no member ran them, or
// not charged although one may have.
TEST(usage_counting, follows_the_reply)
{
    using pooling::has_begun_to_run;
    using pooling::reply_code;
    for (const auto code :
         {reply_code::none, reply_code::failed, reply_code::timeout})
    {
        EXPECT_TRUE(has_begun_to_run(reply_with(code)));
    }
    for (const auto code :
         {reply_code::busy, reply_code::unknown_prepared, reply_code::behind,
          reply_code::read_only})
    {
        EXPECT_FALSE(has_begun_to_run(reply_with(code)));
    }
    EXPECT_TRUE(has_begun_to_run(fail(errc::reply_timeout)));
    EXPECT_TRUE(has_begun_to_run(fail(errc::connection_lost)));
    EXPECT_FALSE(has_begun_to_run(fail(errc::statement_too_large)));
}

// Guards against datagrams that are truncated because they are too long, and
// against customers that are lost between two of them.
TEST(usage_message, splits_many_customers)
{
    usage_message sent{
        .time_of_day = day,
        .fixed_through = 7,
        .part = {.origin = {"n1", 42}, .window = 8, .final_total = 3}};
    for (int number = 0; number < 200; ++number)
    {
        sent.part.counts["customer" + std::to_string(number)] = 9'999'999;
    }
    usage_counts received;
    for (const auto& text : encode_usage("usage", sent))
    {
        EXPECT_LE(text.size(), max_usage_message_bytes);
        const auto message =
            decode_usage(std::string_view(text).substr(sizeof "usage"));
        ASSERT_TRUE(message);
        EXPECT_EQ(message->part.origin, sent.part.origin);
        EXPECT_EQ(message->part.final_total, 3U);
        received.insert(
            message->part.counts.begin(), message->part.counts.end());
    }
    EXPECT_EQ(received, sent.part.counts);
}

// Guards against malformed datagrams that are acted on.
TEST(usage_message, rejects_malformed_text)
{
    for (const auto* text :
         {"", "1", "1 2 n 3 4", "1 2 n 3 4 x", "1 2 n 3 4 5 alba",
          "1 2 n 3 4 5 alba x", "1 2  3 4 5 alba 1", "-1 2 n 3 4 5",
          "99999999999999999 2 n 3 4 5", "1 2 n 3 4 - alba 1  2"})
    {
        EXPECT_FALSE(decode_usage(text)) << text;
    }
    EXPECT_FALSE(decode_usage_acknowledgement("1 n 2 3"));
}

// Guards against a record that the next holder cannot read, and against a
// damaged one from which it would report.
TEST(usage_record, is_read_back_or_rejected)
{
    const usage_record record{
        .settled_through = 4, .fixed = {{5, {{"alba", 3}}}, {6, {}}}};
    const auto text = encode_usage_record(record);
    EXPECT_EQ(decode_usage_record(text).value(), record);
    for (const auto* damaged :
         {"", "[]", R"({"settled_through":4})",
          R"({"settled_through":4,"fixed":[{"window":7,"counts":{}}]})",
          R"({"settled_through":4,"fixed":[{"window":5,"counts":{"a":-1}}]})"})
    {
        EXPECT_FALSE(decode_usage_record(damaged)) << damaged;
    }
}

namespace
{

class planner : public testing::Test
{
protected:
    static constexpr duration window = 5s;

    planner()
    {
        value.on_duty_taken(start);
    }

    std::vector<usage_step> tick(duration time_of_day, duration after)
    {
        return value.on_tick(
            {.collection = collection,
             .registered = registered,
             .is_known = is_known,
             .token = token,
             .now = start + after,
             .time_of_day = time_of_day,
             .first_window = 99});
    }

    std::set<std::string> registered{"n0"};
    usage_collection::customer_filter is_known = [](std::string_view customer)
    { return customer != "unknown"; };
    usage_collection collection;
    std::uint64_t token = 12;
    usage_report_planner value{{.windows = usage_windows(window)}};
};

} // namespace

// Guards against a report that begins before the record of its sum, against one
// for a window that has not ended, and against counts of unknown customers.
TEST_F(planner, records_the_sum_before_it_is_sent)
{
    collection.merge({{"n0", 1}, 100, {{"alba", 2}, {"unknown", 1}}, 3}, 100);
    ASSERT_EQ(tick(505s, 0s).size(), 1U);
    value.on_record_read(std::nullopt, 0);
    EXPECT_TRUE(tick(504s, 3s).empty());
    EXPECT_TRUE(tick(505s + 1400ms, 4s).empty());
    auto steps = tick(505s + 1500ms, 4s);
    ASSERT_EQ(steps.size(), 1U);
    const auto write = std::get<usage_action::write_record>(steps.front());
    EXPECT_EQ(write.record.settled_through, 99U);
    EXPECT_EQ(
        write.record.fixed, (std::vector<usage_report>{{100, {{"alba", 2}}}}));
    EXPECT_TRUE(tick(507s, 5s).empty());
    value.on_written(write.record, 20);
    steps = tick(507s, 5s);
    ASSERT_EQ(steps.size(), 1U);
    const auto send = std::get<usage_action::send_report>(steps.front());
    EXPECT_EQ(send.report, write.record.fixed.front());
}

// Guards against a sum that lacks the counts of dead hosts, because the backup
// had no time to send them to a new holder.
TEST_F(planner, waits_for_the_backup_after_it_takes_the_duty)
{
    collection.merge({{"n0", 1}, 100, {{"alba", 2}}, 2}, 100);
    tick(510s, 0s);
    value.on_record_read(std::nullopt, 0);
    EXPECT_TRUE(tick(511s, 1900ms).empty());
    EXPECT_EQ(tick(512s, 2s).size(), 1U);
}

// Guards against counts of dead hosts that stay with the backup, and against
// final counts that are not repeated after a loss.
TEST(usage_outbox, repeats_final_counts_and_forwards)
{
    usage_collection collection;
    collection.merge({{"n0", 1}, 100, {{"alba", 2}}, 2}, 100);
    collection.merge({{"dead", 1}, 100, {{"alba", 3}}, {}}, 100);
    usage_outbox outbox({.host = "n0"});
    outbox.set_targets({"holder"});
    const auto all = [](const usage_origin&) { return true; };
    const auto none = [](const usage_origin&) { return false; };
    EXPECT_EQ(outbox.due("holder", collection, 9, start, none).size(), 1U);
    EXPECT_EQ(outbox.due("holder", collection, 9, start, all).size(), 1U);
    EXPECT_EQ(outbox.due("holder", collection, 9, start, all).size(), 0U);
    EXPECT_EQ(outbox.due("holder", collection, 9, start + 1s, all).size(), 2U);
    outbox.on_acknowledged("holder", 100, {"n0", 1}, 2);
    EXPECT_EQ(outbox.due("holder", collection, 9, start + 2s, none).size(), 0U);
}

// Guards against a call with a token that was refused before.
TEST_F(planner, waits_for_a_new_token_after_a_refusal)
{
    tick(505s, 0s);
    value.on_record_read(
        usage_record{.settled_through = 99, .fixed = {{100, {}}}}, 5);
    ASSERT_EQ(tick(506s, 2s).size(), 1U);
    value.on_answer(100, usage_answer::token_refused, token, start + 2s);
    EXPECT_TRUE(value.needs_token(token));
    EXPECT_TRUE(tick(506s, 3s).empty());
    ++token;
    EXPECT_EQ(tick(506s, 3s).size(), 1U);
}

// Guards against a second, different report of a window that the unreadable
// record may have held.
TEST_F(planner, skips_what_an_unreadable_record_may_hold)
{
    tick(505s, 0s);
    value.on_record_unreadable(5);
    value.on_fixed_elsewhere(103);
    EXPECT_TRUE(tick(516s, 3s).empty());
    const auto steps = tick(531s, 18s);
    ASSERT_EQ(steps.size(), 1U);
    const auto& write = std::get<usage_action::write_record>(steps.front());
    EXPECT_EQ(write.record.settled_through, 103U);
    EXPECT_EQ(write.revision, 5U);
    EXPECT_EQ(write.skip_reason, "record_unreadable");
}

namespace
{

platform::process_settings settings_with(const std::string& bounds_and_tasks)
{
    return platform::parse_settings(
               R"(node_name = "n0"
listen_addrs = { frontend = "127.0.0.1:1", ready = "127.0.0.1:2" }
platform = { address = "127.0.0.1:3" }
cloud_api.address = "127.0.0.1:4"
)" + bounds_and_tasks)
        .value();
}

} // namespace

// Guards against reports, and their cost, where the platform asks for none.
TEST(usage_settings, are_off_without_word_or_window)
{
    const std::string bounds = "bounds = { report_window_s = 5 }\n";
    const std::string tasks =
        "cloud_api.assigned_tasks = [\"promotion\", \"usage_reporting\"]\n";
    EXPECT_TRUE(settings_with(bounds + tasks).usage_enabled);
    EXPECT_FALSE(settings_with(bounds).usage_enabled);
    EXPECT_FALSE(settings_with(tasks).usage_enabled);
    EXPECT_FALSE(
        settings_with(bounds + "cloud_api.assigned_tasks = [\"promotion\"]\n")
            .usage_enabled);
}
