#include "observability/metrics.hpp"
#include "pooling/messages.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <utility>

namespace
{

using zinniahub::errc;
using zinniahub::verdict;
using zinniahub::metrics::registry;
using zinniahub::pooling::reply_code;
using zinniahub::pooling::verdict_of;
using namespace std::chrono_literals;

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Guards against fast refusals that distort the latency of successful requests.
TEST(metrics, latencies_are_kept_by_outcome)
{
    registry numbers;
    auto& series = numbers.series_of("plant-lodz", "latest");
    series.record(verdict::done, errc{}, true, 300ms);
    series.record(verdict::not_run, errc::rate_exceeded, false, 2ms);
    series.record(verdict::not_run, errc::rate_exceeded, false, 2ms);
    const auto text = numbers.expose();
    const std::string labels = R"({customer="plant-lodz",class="latest")";
    EXPECT_TRUE(contains(
        text,
        "zinniahub_request_seconds_count" + labels + R"(,verdict="done"} 1)"))
        << text;
    EXPECT_TRUE(contains(
        text, "zinniahub_request_seconds_bucket" + labels +
                  R"(,verdict="done",le="0.25"} 0)"))
        << text;
    EXPECT_TRUE(contains(
        text, "zinniahub_request_seconds_bucket" + labels +
                  R"(,verdict="not_run",le="0.0025"} 2)"))
        << text;
    EXPECT_TRUE(
        contains(text, "zinniahub_replica_reads_total" + labels + "} 1"))
        << text;
    EXPECT_FALSE(contains(
        text,
        R"(_count{customer="plant-lodz",class="latest",verdict="unknown")"))
        << text;
}

// Guards against unbounded memory use by many statement classes.
TEST(metrics, further_classes_of_a_customer_count_as_other)
{
    registry numbers;
    for (int i = 0; i < 100; ++i)
    {
        numbers.series_of("plant-lodz", std::to_string(i))
            .record(verdict::done, errc{}, false, 1ms);
    }
    EXPECT_TRUE(contains(
        numbers.expose(),
        R"(zinniahub_requests_total{customer="plant-lodz",class="other",verdict="done"} 68)"));
}

// Guards against a label that ends early, and hides or forges other metrics.
TEST(metrics, labels_from_outside_are_escaped)
{
    EXPECT_EQ(zinniahub::metrics::escape_label("a\"b\\c\nd"), R"(a\"b\\c\nd)");
    registry numbers;
    numbers.series_of("plant", "x\"} 1\nforged 2")
        .record(verdict::done, errc{}, false, 1ms);
    const auto text = numbers.expose();
    EXPECT_FALSE(contains(text, "\nforged")) << text;
    EXPECT_TRUE(contains(text, R"(class="x\"} 1\nforged 2",verdict="done"} 1)"))
        << text;
}

// Guards against a request that may have run and is counted as not run.
TEST(metrics, verdicts_of_reply_codes)
{
    constexpr std::array<std::pair<reply_code, verdict>, 8> cases{{
        {reply_code::none, verdict::done},
        {reply_code::busy, verdict::not_run},
        {reply_code::aborted, verdict::not_run},
        {reply_code::too_many, verdict::not_run},
        {reply_code::unauthorized, verdict::not_run},
        {reply_code::failed, verdict::unknown},
        {reply_code::timeout, verdict::unknown},
        {reply_code::in_doubt, verdict::unknown},
    }};
    for (const auto& [code, expected] : cases)
    {
        EXPECT_EQ(verdict_of(code), expected) << to_string(code);
    }
}

} // namespace
