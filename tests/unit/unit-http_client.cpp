#include "platform/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>

// Responses that arrive in pieces over loopback TCP.

using namespace zinniahub;
using namespace zinniahub::platform;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// A client with a server that the test plays.
class http_exchange
{
public:
    http_exchange()
        : acceptor_(io_, {asio::ip::address_v4::loopback(), 0})
        , peer_(io_)
        , client_(io_, acceptor_.local_endpoint())
    {
    }

    void call(duration timeout)
    {
        asio::co_spawn(
            io_,
            [this, timeout]() -> awaitable<void>
            { answer_ = co_await client_.call(request_, timeout); },
            asio::detached);
        io_.poll();
        peer_ = acceptor_.accept();
    }

    /// Lets the client run for some time.
    void run_for(duration time)
    {
        io_.run_for(time);
        io_.restart();
    }

    void respond(std::string_view bytes)
    {
        asio::write(peer_, asio::buffer(bytes.data(), bytes.size()));
    }

    const std::optional<result<http_response>>& answer() const
    {
        return answer_;
    }

private:
    asio::io_context io_;
    tcp::acceptor acceptor_;
    tcp::socket peer_;
    http_client client_;
    http_request request_;
    std::optional<result<http_response>> answer_;
};

} // namespace

// Guards against a large response that is given up while it arrives: many hosts
// that read one at the same time would then begin again for ever.
TEST(http_client, response_may_outlast_the_timeout_while_it_arrives)
{
    http_exchange exchange;
    exchange.call(100ms);
    exchange.respond("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
    for (const char* part : {"a", "b", "c"})
    {
        exchange.run_for(60ms);
        exchange.respond(part);
    }
    exchange.run_for(60ms);
    EXPECT_FALSE(exchange.answer());
    exchange.respond("d");
    exchange.run_for(1s);
    ASSERT_TRUE(exchange.answer());
    ASSERT_TRUE(*exchange.answer());
    EXPECT_EQ((*exchange.answer())->body, "abcd");
}

// Guards against a call that waits for a server that does not answer.
TEST(http_client, call_ends_if_no_response_begins)
{
    http_exchange exchange;
    exchange.call(100ms);
    exchange.run_for(1s);
    ASSERT_TRUE(exchange.answer());
    ASSERT_FALSE(*exchange.answer());
    EXPECT_EQ(exchange.answer()->error().code, errc::reply_timeout);
}

// Guards against a call that waits for the rest of a response for ever.
TEST(http_client, call_ends_if_a_response_stops)
{
    http_exchange exchange;
    exchange.call(100ms);
    exchange.respond("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
    exchange.run_for(4s);
    ASSERT_TRUE(exchange.answer());
    ASSERT_FALSE(*exchange.answer());
    EXPECT_EQ(exchange.answer()->error().code, errc::reply_timeout);
}
