#pragma once

#include "coordination/datagram_transport.hpp"
#include "coordination/host_registry.hpp"

#include <zinniahub/store_path_selector.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief Exchanges offers to forward calls to the store.
///
/// A host that reaches the store sends an offer to one registered host after
/// the other, at a constant rate. The hosts that need it cannot ask: after a
/// restart they know no other host.
class relay_offers
{
public:
    relay_offers(
        boost::asio::io_context& io, datagram_transport& network,
        const host_registry& hosts, std::string_view host,
        store_path_selector& paths);

    /// @brief Starts to send offers.
    /// @param port TCP port on which this host forwards calls
    void start(std::uint16_t port);
    void stop()
    {
        stopped_ = true;
    }

private:
    awaitable<void> send_offers();
    void on_offer(std::string_view from, std::string_view text);

    boost::asio::io_context& io_;
    datagram_transport& network_;
    const host_registry& hosts_;
    store_path_selector& paths_;
    std::uint16_t port_ = 0;
    std::size_t next_peer_;
    bool stopped_ = false;
};

} // namespace zinniahub::coordination
