#pragma once

#include "coordination/store.hpp"
#include "observability/event_log.hpp"

#include <zinniahub/lease.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// Prefix of all keys that the hosts write to the store.
inline constexpr std::string_view state_prefix = "zinniahub/";

/// @brief Registers this host under a lease and tracks the other hosts.
///
/// A host's shares of the rate limits depend on its registration: when it
/// ends, they are redistributed to other hosts.
class host_registry
{
public:
    struct settings
    {
        std::string host;
        /// Address at which the host receives datagrams.
        std::string address;
        /// Long enough to outlast an outage of the store.
        duration ttl = std::chrono::seconds(30);
        duration renew_interval = std::chrono::seconds(5);
        duration retry_interval = std::chrono::milliseconds(250);
    };

    host_registry(
        boost::asio::io_context& io, store& target, settings values,
        std::function<void()> on_changed, log::event_log& events);

    void start();

    /// @brief Applies an item below `state_prefix`.
    void on_item(const stored_item& item);
    /// @brief Drops all known registrations before a new listing is applied.
    void clear()
    {
        registrations_.clear();
        peer_addresses_.clear();
    }

    /// @brief Registered hosts.
    std::set<std::string> hosts() const;
    /// @brief Addresses of the other hosts.
    const std::vector<std::string>& peer_addresses() const
    {
        return peer_addresses_;
    }
    /// @brief Address of a registered host; empty if it is not registered.
    std::string address_of(std::string_view host) const;
    /// @brief Revision of a host's registration, 0 if there is none.
    std::uint64_t revision_of(std::string_view host) const;

    /// @brief Time until which the registration is known to be valid; min()
    /// until the host has read its own registration back from the store, and
    /// with it every earlier change.
    time_point valid_until() const
    {
        return revision_of(settings_.host) >= registration_revision_ &&
                       lease_id_ != 0
                   ? lease_.valid_until()
                   : time_point::min();
    }
    std::uint64_t lease_id() const
    {
        return lease_id_;
    }

    /// @brief Ends the registration; the host is stopping.
    awaitable<void> deregister();

    static std::string registration_key(std::string_view host);

private:
    awaitable<void> maintain_registration();
    awaitable<bool> register_host();
    awaitable<bool> renew_lease();
    void update_peer_addresses();
    /// Logs a failed call unless the one before failed in the same way.
    void log_failed_call(std::string_view call, const error& failure);

    boost::asio::io_context& io_;
    store& store_;
    settings settings_;
    std::function<void()> on_changed_;
    log::event_log& events_;
    lease_clock lease_;
    std::uint64_t lease_id_ = 0;
    /// Revision of the registration.
    std::uint64_t registration_revision_ = 0;
    bool leaving_ = false;
    struct registration
    {
        std::uint64_t revision = 0;
        std::string address;
    };
    std::map<std::string, registration, std::less<>> registrations_;
    std::vector<std::string> peer_addresses_;
    /// Last logged failure of a call; empty after a success.
    std::string logged_failure_;
};

} // namespace zinniahub::coordination
