#pragma once

#include "observability/event_log.hpp"
#include "observability/metrics.hpp"
#include "pooling/ports.hpp"
#include "pooling/service_gateway.hpp"

#include <zinniahub/proxy_configuration.hpp>
#include <zinniahub/upstream_directory.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/intrusive/list.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace zinniahub::pooling
{

/// @brief Interface through which the front ends sessions in a planned stop.
class managed_session
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~managed_session() = default;
    /// @brief True between two operations.
    virtual bool is_idle() const = 0;
    /// @brief True in a transaction, between two statements.
    virtual bool is_idle_in_transaction() const = 0;
    /// @brief Ends the wait for the next statement.
    virtual void interrupt() = 0;
};

/// @brief Decides whether a customer may run another operation.
class admission
{
public:
    virtual ~admission() = default;
    /// @brief Takes a token for one operation, if this host has one.
    virtual bool try_admit(std::string_view customer) = 0;
    /// @brief As `try_admit`, but requests tokens from other hosts for some
    /// milliseconds before it refuses.
    /// @param request id of the request, for the log line of a refusal
    virtual awaitable<bool>
    admit(std::string customer, std::string request) = 0;
    /// @brief Returns the token of an operation that was not sent to a member.
    virtual void put_back(std::string_view customer) = 0;
};

/// @brief What all sessions of a host share: the configuration in force, the
/// gateways to the services, and the planned stop.
class front
{
public:
    front(
        boost::asio::io_context& io, member_connector& connector,
        const upstream_directory& directory, admission& rates,
        position_exchange& positions, log::event_log& events,
        metrics::registry& numbers);
    ~front();

    /// @brief Puts a configuration in force. Older versions have no effect.
    void on_configuration(configuration_ptr configuration);
    /// @brief Number of hosts that share the members' connections.
    void on_hosts(std::size_t hosts);

    /// @brief Serves a client until it leaves.
    void serve(
        std::shared_ptr<client_stream> stream, const route& where,
        std::string customer, std::string key);

    /// @brief Closes sessions without an open operation or transaction, now
    /// and as they become idle. Open transactions continue.
    void close_idle_sessions();
    /// @brief Serves sessions again after `close_idle_sessions`.
    void keep_sessions()
    {
        closing_ = false;
    }
    /// @brief Counts the members of all services, and the unreachable ones.
    service_gateway::reach member_reachability() const;
    /// @brief Ends open transactions with their next statement.
    void end_transactions();
    std::size_t sessions() const
    {
        return sessions_.size();
    }

    /// @brief Call every 100 ms.
    void on_tick();

    const configuration_ptr& configuration() const
    {
        return configuration_;
    }
    /// @brief Customer that a key identifies on a route; empty if it may not
    /// use the route.
    std::string customer_of(const route& where, std::string_view key) const;
    service_gateway& gateway(const std::string& service);
    const std::map<std::string, std::unique_ptr<service_gateway>, std::less<>>&
    gateways() const
    {
        return gateways_;
    }

    boost::asio::io_context& io()
    {
        return io_;
    }
    admission& rates()
    {
        return rates_;
    }
    log::event_log& events()
    {
        return events_;
    }
    metrics::registry& numbers()
    {
        return numbers_;
    }
    bool is_closing() const
    {
        return closing_;
    }
    bool ends_transactions() const
    {
        return ending_transactions_;
    }

private:
    using session_list = boost::intrusive::list<
        managed_session, boost::intrusive::constant_time_size<false>>;

    boost::asio::io_context& io_;
    member_connector& connector_;
    const upstream_directory& directory_;
    admission& rates_;
    position_exchange& positions_;
    log::event_log& events_;
    metrics::registry& numbers_;
    configuration_ptr configuration_;
    std::size_t hosts_ = 1;
    std::map<std::string, std::unique_ptr<service_gateway>, std::less<>>
        gateways_;
    session_list sessions_;
    bool closing_ = false;
    bool ending_transactions_ = false;
};

} // namespace zinniahub::pooling
