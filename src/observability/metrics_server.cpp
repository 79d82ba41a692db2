#include "observability/metrics_server.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>

namespace zinniahub::metrics
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::seconds request_timeout{5};

/// Answers one request and closes the connection.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    http_exchange(asio::ip::tcp::socket socket, const registry& metrics)
        : stream_(std::move(socket))
        , metrics_(metrics)
    {
    }

    void run()
    {
        stream_.expires_after(request_timeout);
        http::async_read(
            stream_, buffer_, request_,
            [self = shared_from_this()](beast::error_code failure, std::size_t)
            {
                if (!failure)
                {
                    self->respond();
                }
            });
    }

private:
    void respond()
    {
        response_.version(request_.version());
        response_.keep_alive(false);
        response_.set(http::field::content_type, "text/plain; version=0.0.4");
        if (request_.target() == "/metrics")
        {
            response_.body() = metrics_.expose();
        }
        else
        {
            response_.result(http::status::not_found);
        }
        response_.prepare_payload();
        http::async_write(
            stream_, response_,
            [self = shared_from_this()](beast::error_code, std::size_t)
            {
                beast::error_code ignored;
                self->stream_.socket().shutdown(
                    asio::ip::tcp::socket::shutdown_send, ignored);
            });
    }

    beast::tcp_stream stream_;
    const registry& metrics_;
    beast::flat_buffer buffer_;
    http::request<http::empty_body> request_;
    http::response<http::string_body> response_;
};

} // namespace

metrics_server::metrics_server(
    asio::ip::tcp::acceptor acceptor, const registry& metrics)
    : acceptor_(std::move(acceptor))
    , metrics_(metrics)
{
}

result<std::unique_ptr<metrics_server>> metrics_server::start(
    asio::io_context& io, const std::string& address, const registry& metrics)
{
    const auto colon = address.rfind(':');
    beast::error_code failure;
    const auto ip = asio::ip::make_address(address.substr(0, colon), failure);
    if (failure || colon == std::string::npos)
    {
        return fail(errc::settings_range, "metrics address " + address);
    }
    const auto port =
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    asio::ip::tcp::acceptor acceptor(io);
    const asio::ip::tcp::endpoint endpoint(ip, port);
    acceptor.open(endpoint.protocol(), failure);
    if (!failure)
    {
        acceptor.set_option(asio::socket_base::reuse_address(true), failure);
        acceptor.bind(endpoint, failure);
    }
    if (!failure)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure)
    {
        return fail(errc::settings_range, address + ": " + failure.message());
    }
    auto server =
        std::make_unique<metrics_server>(std::move(acceptor), metrics);
    server->accept();
    return server;
}

void metrics_server::accept()
{
    acceptor_.async_accept(
        [this](beast::error_code failure, asio::ip::tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (!failure)
            {
                std::make_shared<http_exchange>(std::move(socket), metrics_)
                    ->run();
            }
            accept();
        });
}

} // namespace zinniahub::metrics
