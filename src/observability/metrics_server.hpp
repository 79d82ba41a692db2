#pragma once

#include "observability/metrics.hpp"

#include <zinniahub/error.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace zinniahub::metrics
{

/// @brief Serves the metrics of a registry over HTTP.
class metrics_server
{
public:
    /// @param address IPv4 address and port, for example "127.0.0.1:9100"
    /// @return `errc::settings_range` if the address cannot be bound
    static result<std::unique_ptr<metrics_server>> start(
        boost::asio::io_context& io, const std::string& address,
        const registry& metrics);

    metrics_server(
        boost::asio::ip::tcp::acceptor acceptor, const registry& metrics);

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    const registry& metrics_;
};

} // namespace zinniahub::metrics
