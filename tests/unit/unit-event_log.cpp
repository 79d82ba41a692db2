#include "observability/event_log.hpp"

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>
#include <vector>

namespace
{

using zinniahub::log::event_log;

/// @brief A pipe; a test may leave its output unread.
class event_pipe : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(::pipe(ends_.data()), 0);
        ASSERT_EQ(::fcntl(ends_[0], F_SETFL, O_NONBLOCK), 0);
    }

    void TearDown() override
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    event_log::settings settings(std::uint32_t lines) const
    {
        return {
            .descriptor = ends_[1],
            .node = "node-1",
            .lines_per_second = lines,
            .burst = lines};
    }

    std::vector<nlohmann::json> read_lines()
    {
        std::array<char, 4096> buffer{};
        ssize_t count = 0;
        while ((count = ::read(ends_[0], buffer.data(), buffer.size())) > 0)
        {
            unread_.append(buffer.data(), static_cast<std::size_t>(count));
        }
        std::vector<nlohmann::json> lines;
        std::size_t end = 0;
        while ((end = unread_.find('\n')) != std::string::npos)
        {
            const auto line = unread_.substr(0, end);
            unread_.erase(0, end + 1);
            lines.push_back(nlohmann::json::parse(line, nullptr, false));
            if (!lines.back().is_object())
            {
                ADD_FAILURE() << line;
                lines.back() = nlohmann::json::object();
            }
        }
        return lines;
    }

private:
    std::array<int, 2> ends_{};
    /// Start of a line that has not been received completely.
    std::string unread_;
};

// Guards against lines that are not valid JSON.
TEST_F(event_pipe, writes_one_object_per_line)
{
    auto values = settings(10);
    values.node = "node \"1\"";
    event_log events(values);
    events.write(
        "sample", {{"id", "a\"b\n\xFF"}, {"attempts", 3U}, {"late", true}});
    const auto lines = read_lines();
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0]["event"], "sample");
    EXPECT_EQ(lines[0]["node"], "node \"1\"");
    EXPECT_EQ(lines[0]["id"], "a\"b\n\xEF\xBF\xBD");
    EXPECT_EQ(lines[0]["attempts"], 3);
    EXPECT_EQ(lines[0]["late"], true);
}

// Guards against a frequent kind of event that fills the log or hides others.
TEST_F(event_pipe, bounds_each_kind_and_counts_dropped_lines)
{
    event_log events(settings(5));
    for (int i = 0; i < 50; ++i)
    {
        events.write("frequent", {{"number", i}});
    }
    events.write("rare", {});
    EXPECT_EQ(read_lines().size(), 6U);
    EXPECT_EQ(events.dropped(), 45U);
}

// Guards against a frequent cause of an event that hides a rare one.
TEST_F(event_pipe, bounds_each_cause_of_an_event_separately)
{
    event_log events(settings(5));
    for (int i = 0; i < 50; ++i)
    {
        events.write("reply_failed", "key_invalid", {{"number", i}});
    }
    events.write("reply_failed", "reply_timeout", {{"id", "rare"}});
    const auto lines = read_lines();
    ASSERT_EQ(lines.size(), 6U);
    EXPECT_EQ(lines.back()["event"], "reply_failed");
    EXPECT_EQ(lines.back()["id"], "rare");
}

// Guards against a stalled reader that blocks the proxy or makes its memory
// grow, and against lines that are dropped without a report.
TEST_F(event_pipe, stalled_reader_does_not_block_the_writer)
{
    constexpr int written = 20'000;
    event_log events(settings(1'000'000));
    const std::string text(100, 'x');
    const auto started = zinniahub::clock::now();
    for (int i = 0; i < written; ++i)
    {
        events.write("frequent", {{"text", text}});
    }
    EXPECT_LT(zinniahub::clock::now() - started, std::chrono::seconds(10));
    EXPECT_GT(events.dropped(), 0U);

    // All buffered lines arrive complete, and the next line of the kind reports
    // the number of dropped lines.
    std::uint64_t received = 0;
    std::map<std::string, std::uint64_t> reported;
    const auto count_lines = [&]
    {
        for (const auto& line : read_lines())
        {
            received += line.value("event", "") == "frequent" ? 1 : 0;
            if (line.value("event", "") == "log_dropped")
            {
                reported[line["kind"]] += line["lines"].get<std::uint64_t>();
            }
        }
    };
    for (int round = 0; round < 20; ++round)
    {
        count_lines();
        events.write("other", {});
    }
    events.write("frequent", {{"text", text}});
    count_lines();
    EXPECT_EQ(received + reported["frequent"], written + 1U);
    EXPECT_EQ(reported["frequent"] + reported["other"], events.dropped());
}

} // namespace
