#pragma once

#include "coordination/datagram_transport.hpp"
#include "coordination/host_registry.hpp"
#include "pooling/service_gateway.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief Exchanges log positions of the primaries with other hosts, so that
/// bounded-staleness reads continue on hosts that cannot reach the primary.
class peer_position_exchange : public pooling::position_exchange
{
public:
    /// Finds the gateway of a service; null if there is none.
    using gateway_lookup =
        std::function<pooling::service_gateway*(std::string_view)>;

    peer_position_exchange(
        datagram_transport& network, const host_registry& hosts,
        gateway_lookup find_gateway);

    void request_position(const std::string& service) override;

private:
    void on_request(std::string_view from, std::string_view text);
    void on_reply(std::string_view text);

    datagram_transport& network_;
    const host_registry& hosts_;
    gateway_lookup find_gateway_;
    /// Send times of the pending requests, by request id.
    std::map<std::uint64_t, time_point> pending_requests_;
    std::uint64_t next_request_id_ = 0;
    std::size_t next_peer_ = 0;
};

} // namespace zinniahub::coordination
