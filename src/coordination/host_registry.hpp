#pragma once

#include "coordination/store.hpp"
#include "observability/event_log.hpp"

#include <zinniahub/registration_planner.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

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
    };

    struct handlers
    {
        /// This host's registration, or its validity, has changed.
        std::function<void()> on_changed;
        /// @return time before the last successful read of the registrations
        std::function<time_point()> read_at;
    };

    host_registry(
        boost::asio::io_context& io, store& target, settings values,
        handlers callbacks, log::event_log& events);

    void start();

    /// @brief Applies an item below `state_prefix`.
    void on_item(const stored_item& item);
    /// @brief Drops all known registrations before a new listing is applied.
    void clear()
    {
        registrations_.clear();
        peer_addresses_.clear();
    }
    /// @brief All items of a listing or of a batch of changes were applied.
    void on_batch_applied();

    /// @brief Registered hosts.
    std::set<std::string> hosts() const;
    /// @brief Addresses of the other hosts.
    const std::vector<std::string>& peer_addresses() const
    {
        return peer_addresses_;
    }
    /// @brief Address of a registered host; empty if it is not registered.
    std::string address_of(std::string_view host) const;
    /// @brief Time until which the rate shares of this host belong to it; min()
    /// until the host has read its own registration back from the store, and
    /// with it every earlier change.
    time_point valid_until() const
    {
        return planner_.valid_until(handlers_.read_at());
    }

    /// @brief The registrations were read recently enough to decide which of
    /// them have ended.
    bool is_current(time_point now) const
    {
        const auto read_at = handlers_.read_at();
        return read_at != time_point::min() &&
               now - read_at < registration_read_validity;
    }

    /// @brief Ends the registration; the host is stopping.
    awaitable<void> deregister();

    static std::string registration_key(std::string_view host);

private:
    awaitable<void> maintain_registration();
    awaitable<void> perform(registration_planner::action action);
    awaitable<void> grant_lease();
    awaitable<void> renew_lease(std::uint64_t lease);
    awaitable<void>
    write_registration(std::uint64_t lease, std::uint64_t expected_revision);
    void on_lease_ended(std::uint64_t lease);
    /// Lets the planner decide again.
    void wake();
    void update_peer_addresses();
    /// Logs a failed call unless the one before failed in the same way.
    void log_failed_call(std::string_view call, const error& failure);

    boost::asio::io_context& io_;
    store& store_;
    settings settings_;
    handlers handlers_;
    log::event_log& events_;
    registration_planner planner_;
    boost::asio::steady_timer timer_;
    bool leaving_ = false;
    /// The registration was written, as of the last batch.
    bool was_written_ = false;
    std::map<std::string, host_registration, std::less<>> registrations_;
    std::vector<std::string> peer_addresses_;
    /// Last logged failure of a call; empty after a success.
    std::string logged_failure_;
};

} // namespace zinniahub::coordination
