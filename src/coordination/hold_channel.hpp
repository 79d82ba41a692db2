#pragma once

#include "coordination/datagram_transport.hpp"
#include "coordination/host_registry.hpp"
#include "pooling/service_gateway.hpp"

#include <zinniahub/acknowledgement_hold.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// @brief Carries requests to hold acknowledgements from the holder of the
/// promotion duty to the hosts, and their answers back.
class hold_channel
{
public:
    using answer_handler =
        std::function<void(std::string_view service, const hold_answer&)>;

    virtual ~hold_channel() = default;
    /// @brief Names of all hosts, including this one.
    virtual std::vector<std::string> hosts() const = 0;
    /// @brief Sends a request without delivery guarantee.
    virtual void send(
        std::string_view service, const hold_request& request,
        const std::vector<std::string>& to) = 0;
    virtual void set_handler(answer_handler handler) = 0;
};

/// @brief Carries the requests in datagrams. The name of a host is its address.
class datagram_hold_channel : public hold_channel
{
public:
    /// Finds the gateway of a service; null if there is none.
    using gateway_lookup =
        std::function<pooling::service_gateway*(std::string_view)>;

    datagram_hold_channel(
        datagram_transport& network, const host_registry& hosts,
        gateway_lookup find_gateway, log::event_log& events);

    std::vector<std::string> hosts() const override;
    void send(
        std::string_view service, const hold_request& request,
        const std::vector<std::string>& to) override;
    void set_handler(answer_handler handler) override
    {
        handler_ = std::move(handler);
    }

    /// @brief Applies an item below `state_prefix`: the record of a replication
    /// group tells of an order also if the holder does not reach this host.
    void on_item(const stored_item& item);
    /// @brief Applies the records to services that have just become known.
    void on_services_changed();

private:
    void on_request(std::string_view from, std::string_view text);
    void on_answer(std::string_view from, std::string_view text);
    /// Applies a request to this host.
    /// @return none if the request is outdated or the service is unknown
    std::optional<hold_answer> apply(
        std::string_view service, std::string_view from,
        const hold_request& request);

    /// What the record of a replication group says of an order.
    struct recorded_order
    {
        std::string candidate;
        std::uint64_t term = 0;
    };

    void
    apply_record(std::string_view service, const recorded_order& record) const;

    datagram_transport& network_;
    const host_registry& hosts_;
    gateway_lookup find_gateway_;
    log::event_log& events_;
    time_point started_at_;
    /// By service.
    std::map<std::string, recorded_order, std::less<>> records_;
    answer_handler handler_ = [](std::string_view, const hold_answer&) {};
};

} // namespace zinniahub::coordination
