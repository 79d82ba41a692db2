#include "support/hosted_server.hpp"

#include <sys/socket.h>

namespace zinniahub::test
{

namespace asio = boost::asio;
using asio::ip::tcp;

hosted_server::hosted_server(
    std::function<void(socket&)> serve, unsigned short port)
    : serve_(std::move(serve))
    , port_(port)
{
    start();
}

hosted_server::~hosted_server()
{
    stop();
}

std::string hosted_server::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void hosted_server::start()
{
    if (running_)
    {
        return;
    }
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port_);
    acceptor_ = std::make_unique<tcp::acceptor>(io_, endpoint);
    port_ = acceptor_->local_endpoint().port();
    running_ = true;
    thread_ = std::thread([this] { accept(); });
}

void hosted_server::stop()
{
    if (!running_)
    {
        return;
    }
    running_ = false;
    ::shutdown(acceptor_->native_handle(), SHUT_RDWR);
    thread_.join();
    acceptor_.reset();
    reap(true);
}

void hosted_server::reap(bool all)
{
    std::list<std::unique_ptr<connection>> ended;
    {
        const std::lock_guard lock(mutex_);
        for (auto entry = connections_.begin(); entry != connections_.end();)
        {
            auto next = std::next(entry);
            if (all || (*entry)->ended)
            {
                ended.splice(ended.end(), connections_, entry);
            }
            entry = next;
        }
    }
    for (auto& entry : ended)
    {
        ::shutdown(entry->peer->native_handle(), SHUT_RDWR);
        entry->thread.join();
    }
}

void hosted_server::accept()
{
    while (running_)
    {
        boost::system::error_code failure;
        auto peer = std::make_unique<socket>(io_);
        acceptor_->accept(*peer, failure);
        if (failure || !running_)
        {
            continue;
        }
        reap(false);
        peer->set_option(tcp::no_delay(true), failure);
        auto entry = std::make_unique<connection>();
        auto& added = *entry;
        added.peer = std::move(peer);
        const std::lock_guard lock(mutex_);
        connections_.push_back(std::move(entry));
        added.thread = std::thread(
            [this, &added]
            {
                serve_(*added.peer);
                // The descriptor stays open until the thread is joined.
                ::shutdown(added.peer->native_handle(), SHUT_RDWR);
                added.ended = true;
            });
    }
}

} // namespace zinniahub::test
