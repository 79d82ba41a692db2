#include "platform/line_channel.hpp"
#include "platform/line_fields.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Lines that arrive in any pieces over loopback TCP.

using namespace zinniahub;
using namespace zinniahub::platform;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// Stands for a line that exceeds the limit.
const std::string too_long = "(too long)";
/// Stands for a read that was interrupted.
const std::string interrupted = "(interrupted)";

/// A channel with its peer. What was written is read before the next write.
class connection
{
public:
    connection()
    {
        tcp::acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
        peer_.connect(acceptor.local_endpoint());
        channel_ = std::make_unique<line_channel>(
            boost::beast::tcp_stream(acceptor.accept()));
        peer_.set_option(tcp::no_delay(true));
        peer_.non_blocking(true);
        asio::co_spawn(io_, read_all(), asio::detached);
        io_.poll();
    }

    void send(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            boost::system::error_code failure;
            const auto count = peer_.write_some(
                asio::buffer(bytes.data(), bytes.size()), failure);
            bytes.remove_prefix(failure ? 0 : count);
            io_.poll();
        }
    }

    void interrupt()
    {
        channel_->interrupt();
        io_.poll();
    }

    /// Ends the stream and returns what was read.
    std::vector<std::string> finish()
    {
        peer_.close();
        io_.run();
        return received_;
    }

private:
    awaitable<void> read_all()
    {
        while (true)
        {
            const auto line = co_await channel_->read(10s);
            if (line)
            {
                received_.emplace_back(*line);
                continue;
            }
            const auto code = line.error().code;
            if (code != errc::statement_too_large && code != errc::draining)
            {
                EXPECT_EQ(code, errc::connection_lost);
                co_return;
            }
            received_.push_back(
                code == errc::draining ? interrupted : too_long);
        }
    }

    asio::io_context io_;
    tcp::socket peer_{io_};
    std::unique_ptr<line_channel> channel_;
    std::vector<std::string> received_;
};

/// Names a line in a message of a test.
std::string shown(const std::string& line)
{
    return std::to_string(line.size()) + " bytes: " + line.substr(0, 40);
}

std::string difference(
    const std::vector<std::string>& received,
    const std::vector<std::string>& expected)
{
    for (std::size_t at = 0; at < std::max(received.size(), expected.size());
         ++at)
    {
        const auto got =
            at < received.size() ? shown(received[at]) : std::string("none");
        const auto wanted =
            at < expected.size() ? shown(expected[at]) : std::string("none");
        const bool is_same = at < received.size() && at < expected.size() &&
                             received[at] == expected[at];
        if (!is_same)
        {
            return fmt::format("line {} is {}, expected {}", at, got, wanted);
        }
    }
    return {};
}

/// A line of a length, with another byte at its start and end.
std::string line_of(std::size_t size)
{
    std::string line(size, 'x');
    if (size > 1)
    {
        line.front() = '<';
        line.back() = '>';
    }
    return line;
}

/// What a reader of the lines must get.
std::vector<std::string> expected_of(const std::vector<std::string>& lines)
{
    auto expected = lines;
    for (auto& line : expected)
    {
        if (line.size() > max_line_bytes)
        {
            line = too_long;
        }
    }
    return expected;
}

std::string joined(const std::vector<std::string>& lines)
{
    std::string stream;
    for (const auto& line : lines)
    {
        stream += line + "\r\n";
    }
    return stream;
}

} // namespace

// Guards against a line that is lost, cut or merged because its end or that of
// another one arrives in two pieces.
TEST(line_channel, any_chunk_borders_keep_the_lines)
{
    const auto lines = rc::gen::container<std::vector<std::string>>(
        rc::gen::elementOf(std::vector<std::string>{
            "", " ", "\r", "\n", "\n\r", "\r\r", "\n\n", "a\rb", "a\nb",
            "QUERY 7 FETCH a", "\r\xff", std::string(1, '\0'), line_of(4095),
            line_of(4096), line_of(20000)}));
    EXPECT_TRUE(rc::check(
        [&lines](const std::vector<std::uint16_t>& cuts)
        {
            const auto drawn = *lines;
            const auto stream = joined(drawn);
            connection peers;
            std::size_t at = 0;
            for (const auto cut : cuts)
            {
                const auto size = std::min<std::size_t>(
                    cut % 3 == 0 ? cut : cut % 7, stream.size() - at);
                peers.send(std::string_view(stream).substr(at, size));
                at += size;
            }
            peers.send(std::string_view(stream).substr(at));
            RC_ASSERT(difference(peers.finish(), drawn) == "");
        }));
}

// Guards against an end of a line that is missed at each possible border.
TEST(line_channel, every_border_of_two_chunks_keeps_the_lines)
{
    const std::vector<std::string> lines{"a\r", "", "\n\r", "QUERY 7 COMMIT"};
    const auto stream = joined(lines);
    for (std::size_t border = 0; border <= stream.size(); ++border)
    {
        connection peers;
        peers.send(std::string_view(stream).substr(0, border));
        peers.send(std::string_view(stream).substr(border));
        EXPECT_EQ(difference(peers.finish(), lines), "") << border;
    }
}

// Guards against a good line that is refused at the limit, a line beyond it
// that passes or is reported twice, and the loss of the line that follows.
TEST(line_channel, lines_at_the_limit)
{
    for (const auto size :
         {max_line_bytes - 1, max_line_bytes, max_line_bytes + 1,
          max_line_bytes + 2, max_line_bytes + 3, max_line_bytes + 4095,
          max_line_bytes + 4096, max_line_bytes + 4097, 3 * max_line_bytes})
    {
        const std::vector<std::string> lines{
            "first",       line_of(size),           "second", line_of(size),
            line_of(size), line_of(max_line_bytes), "",       "last"};
        const auto stream = joined(lines);
        // Border within the end of the second line.
        const auto end = std::string_view("first\r\n").size() + size;
        for (const auto border : {end - 1, end, end + 1, end + 2})
        {
            connection peers;
            peers.send(std::string_view(stream).substr(0, border));
            peers.send(std::string_view(stream).substr(border));
            EXPECT_EQ(difference(peers.finish(), expected_of(lines)), "")
                << size << " bytes, border " << border - end;
        }
    }
}

// Guards against a line beyond the limit whose bytes look like ends of lines
// where it is cut, so that its rest is read as a line.
TEST(line_channel, rest_of_a_long_line_is_no_line)
{
    for (const std::string filler : {"\r", "\n", "\n\rx", "\rQUERY 7 COMMIT\n"})
    {
        std::string line = "x";
        while (line.size() <= 2 * max_line_bytes)
        {
            line += filler;
        }
        const std::vector<std::string> lines{line + "x", "next"};
        for (const std::size_t chunk : {1023U, 4096U, 65536U})
        {
            const auto stream = joined(lines);
            connection peers;
            for (std::size_t at = 0; at < stream.size(); at += chunk)
            {
                peers.send(std::string_view(stream).substr(at, chunk));
            }
            EXPECT_EQ(difference(peers.finish(), expected_of(lines)), "")
                << chunk;
        }
    }
}

// Guards against a long line without an end that is kept in memory or passed
// on when the peer leaves.
TEST(line_channel, line_without_an_end_is_not_returned)
{
    connection peers;
    peers.send("a\r\nb");
    EXPECT_EQ(difference(peers.finish(), {"a"}), "");
    connection flooded;
    flooded.send("a\r\n" + line_of(4 * max_line_bytes) + "\r");
    EXPECT_EQ(difference(flooded.finish(), {"a", too_long}), "");
}

// Guards against bytes that are lost when a read is interrupted within a line.
TEST(line_channel, interrupted_read_loses_no_bytes)
{
    const auto good = line_of(max_line_bytes);
    connection peers;
    peers.send("first\r");
    peers.interrupt();
    peers.send("\n" + good);
    peers.interrupt();
    peers.send("\r");
    peers.interrupt();
    peers.send("\n" + line_of(2 * max_line_bytes));
    peers.interrupt();
    peers.send("\r");
    peers.interrupt();
    peers.send("\nlast\r\n");
    EXPECT_EQ(
        difference(
            peers.finish(), {interrupted, "first", interrupted, interrupted,
                             good, too_long, interrupted, interrupted, "last"}),
        "");
}
