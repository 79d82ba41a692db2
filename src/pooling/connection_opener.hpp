#pragma once

#include "observability/event_log.hpp"
#include "pooling/pool_set.hpp"
#include "pooling/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace zinniahub::pooling
{

/// @brief Opens connections to the members of one service and counts them in
/// the members' pools.
class connection_opener
{
public:
    /// Receives a connection that its requester no longer waits for.
    using unclaimed_handler =
        std::function<void(const std::string& instance, pooled_connection_ptr)>;

    connection_opener(
        boost::asio::io_context& io, member_connector& connector,
        pool_set& pools, log::event_log& events,
        unclaimed_handler on_unclaimed);

    /// @brief Opens a connection.
    /// @param until time at which the wait ends; the attempt continues
    /// @return null if no connection is open by then
    awaitable<pooled_connection_ptr>
    open(member_address target, time_point until);

    /// @brief Probes an unresponsive member with a new connection, one at a
    /// time.
    void probe(member_address target);

    /// @brief Attempts, also those that failed.
    std::uint64_t opened() const
    {
        return opened_;
    }
    /// @brief Failed attempts by the word for the failure.
    const std::map<std::string_view, std::uint64_t>& failures() const
    {
        return failures_;
    }

private:
    /// A connection attempt that a request waits for.
    struct attempt
    {
        explicit attempt(boost::asio::io_context& io)
            : timer(io)
        {
        }
        boost::asio::steady_timer timer;
        pooled_connection_ptr connection;
        /// The request no longer waits.
        bool abandoned = false;
    };

    awaitable<pooled_connection_ptr>
    connect(const member_address& target, duration limit);
    awaitable<void>
    connect_for(std::shared_ptr<attempt> waiting, member_address target);
    awaitable<void> run_probe(member_address target);

    boost::asio::io_context& io_;
    member_connector& connector_;
    pool_set& pools_;
    log::event_log& events_;
    unclaimed_handler on_unclaimed_;
    std::set<std::string> probing_;
    std::uint64_t opened_ = 0;
    std::map<std::string_view, std::uint64_t> failures_;
};

} // namespace zinniahub::pooling
