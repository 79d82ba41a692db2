#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace zinniahub::test
{

/// @brief TCP server on loopback with one thread for each connection.
class hosted_server
{
public:
    using socket = boost::asio::ip::tcp::socket;

    /// @param serve handles one connection and returns when it ended
    /// @param port 0 for any
    explicit hosted_server(
        std::function<void(socket&)> serve, unsigned short port = 0);
    ~hosted_server();
    hosted_server(const hosted_server&) = delete;
    hosted_server& operator=(const hosted_server&) = delete;

    /// @brief IP:port; stays the same after a restart.
    std::string address() const;

    /// @brief Closes all connections and refuses new ones.
    void stop();
    void start();
    bool is_running() const
    {
        return running_;
    }

private:
    struct connection
    {
        std::unique_ptr<socket> peer;
        std::thread thread;
        std::atomic<bool> ended{false};
    };

    void accept();
    void reap(bool all);

    std::function<void(socket&)> serve_;
    boost::asio::io_context io_;
    unsigned short port_ = 0;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::thread thread_;
    std::mutex mutex_;
    std::list<std::unique_ptr<connection>> connections_;
    std::atomic<bool> running_{false};
};

} // namespace zinniahub::test
