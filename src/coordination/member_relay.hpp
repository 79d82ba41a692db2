#pragma once

#include "coordination/datagram_transport.hpp"
#include "coordination/host_registry.hpp"
#include "pooling/service_gateway.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief A command to a member that this host cannot reach.
struct relayed_command
{
    std::string service;
    std::string instance;
    /// `status` or `step_down`.
    pooling::command_kind kind = pooling::command_kind::status;
    /// Term of `step_down`.
    std::uint64_t term = 0;
};

/// @brief Has other hosts run commands on members that this host cannot reach.
class member_relay
{
public:
    /// @param asked_at time at which the other host was asked
    using status_handler = std::function<void(
        const relayed_command& command, const replication_status& status,
        time_point asked_at)>;

    virtual ~member_relay() = default;
    /// @brief Asks other hosts to run a command. Nothing is returned if none of
    /// them reaches the member; repeat the call.
    virtual void send(const relayed_command& value) = 0;
    /// @brief Sets the handler of the member's answers.
    virtual void set_handler(status_handler handler) = 0;
};

/// @brief Relays commands in datagrams. A call asks only a few hosts, the next
/// ones in turn, so that the load on the member does not grow with their
/// number.
class datagram_member_relay : public member_relay
{
public:
    /// Finds the gateway of a service; null if there is none.
    using gateway_lookup =
        std::function<pooling::service_gateway*(std::string_view)>;

    datagram_member_relay(
        boost::asio::io_context& io, datagram_transport& network,
        const host_registry& hosts, gateway_lookup find_gateway,
        log::event_log& events);

    void send(const relayed_command& value) override;
    void set_handler(status_handler handler) override
    {
        handler_ = std::move(handler);
    }

private:
    struct pending_command
    {
        relayed_command value;
        time_point asked_at{};
    };

    void on_request(std::string_view from, std::string_view text);
    void on_reply(std::string_view text);
    awaitable<void>
    run(std::string from, std::uint64_t number, relayed_command value);

    boost::asio::io_context& io_;
    datagram_transport& network_;
    const host_registry& hosts_;
    gateway_lookup find_gateway_;
    log::event_log& events_;
    status_handler handler_ = [](const relayed_command&,
                                 const replication_status&, time_point) {};
    /// Commands without an answer, by number.
    std::map<std::uint64_t, pending_command> pending_;
    std::uint64_t next_number_ = 0;
    /// Position in the list of hosts of the next one to ask.
    std::size_t next_host_ = 0;
    /// Members on which this host runs a command of another one.
    std::set<std::string, std::less<>> busy_;
};

} // namespace zinniahub::coordination
