#pragma once

#include "coordination/datagram_transport.hpp"
#include "coordination/host_registry.hpp"
#include "pooling/service_gateway.hpp"

#include <zinniahub/sampler_choice.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// @brief Exchanges log positions of the primaries with other hosts, so that
/// few hosts sample each primary and bounded-staleness reads continue on hosts
/// that cannot reach it.
class peer_position_exchange : public pooling::position_exchange
{
public:
    /// Finds the gateway of a service; null if there is none.
    using gateway_lookup =
        std::function<pooling::service_gateway*(std::string_view)>;

    peer_position_exchange(
        datagram_transport& network, const host_registry& hosts,
        gateway_lookup find_gateway);

    bool request_position(const std::string& service) override;
    void on_position(const std::string& service) override;
    void on_sample_failed(const std::string& service) override;

private:
    /// A question of another host that waits for a sample.
    struct question
    {
        std::string from;
        std::uint64_t number = 0;
    };

    struct service_state
    {
        explicit service_state(std::string_view service)
            : choice(service)
        {
        }
        sampler_choice choice;
        std::vector<question> unanswered;
    };

    struct pending_request
    {
        std::string service;
        time_point asked_at{};
    };

    service_state& state_of(std::string_view service);
    void refresh_hosts();
    void on_request(std::string_view from, std::string_view text);
    void on_reply(std::string_view text);
    void answer(
        const question& asked, std::string_view service,
        const pooling::service_gateway& gateway, time_point now);

    datagram_transport& network_;
    const host_registry& hosts_;
    gateway_lookup find_gateway_;
    std::map<std::string, service_state, std::less<>> services_;
    /// Hosts that `services_` was given last.
    std::vector<std::string> known_peers_;
    /// Requests without a reply, by request id.
    std::map<std::uint64_t, pending_request> pending_requests_;
    std::uint64_t next_request_id_ = 0;
};

} // namespace zinniahub::coordination
