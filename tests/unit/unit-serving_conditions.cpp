#include "coordination/serving_conditions.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <unistd.h>

namespace
{

using namespace std::chrono_literals;
using zinniahub::time_point;
using zinniahub::coordination::missing_conditions;
using zinniahub::coordination::serving_conditions;
using zinniahub::coordination::serving_monitor;

/// Lines that were written to a pipe.
class written_lines
{
public:
    written_lines()
    {
        EXPECT_EQ(::pipe(descriptors_), 0);
    }
    ~written_lines()
    {
        ::close(descriptors_[0]);
        ::close(descriptors_[1]);
    }
    written_lines(const written_lines&) = delete;
    written_lines& operator=(const written_lines&) = delete;

    int descriptor() const
    {
        return descriptors_[1];
    }
    std::string read() const
    {
        std::string text(4096, '\0');
        const auto size = ::read(descriptors_[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

private:
    int descriptors_[2] = {-1, -1};
};

} // namespace

// Guards against a host that does not serve without saying what it lacks.
TEST(serving_conditions, names_what_is_missing)
{
    EXPECT_EQ(
        missing_conditions({}),
        "configuration,members,registration,rate_share");
    EXPECT_EQ(
        missing_conditions({.configuration = true, .members = true}),
        "registration,rate_share");
    EXPECT_EQ(missing_conditions({true, true, true, true}), "");
}

// Guards against a line for each tick, and against a metric that differs from
// the last line.
TEST(serving_conditions, logs_changes_only)
{
    written_lines lines;
    zinniahub::log::event_log events(
        {.descriptor = lines.descriptor(), .node = "n1"});
    serving_monitor monitor(events);
    const time_point start{1h};
    monitor.update({.configuration = true, .members = true}, start);
    monitor.update({.configuration = true, .members = true}, start + 1s);
    monitor.update({true, true, true, true}, start + 2s);

    const auto text = lines.read();
    EXPECT_NE(
        text.find("\"serving\":false,\"missing\":\"registration,rate_share\""),
        std::string::npos)
        << text;
    EXPECT_NE(
        text.find("\"serving\":true,\"missing\":\"\",\"after_ms\":2000"),
        std::string::npos)
        << text;
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 2) << text;

    zinniahub::metrics::registry metrics;
    monitor.write_metrics(metrics);
    EXPECT_NE(
        metrics.expose().find(
            "zinniahub_serving_condition{condition=\"registration\"} 1"),
        std::string::npos);
}
