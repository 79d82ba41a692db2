#pragma once

#include "observability/metrics.hpp"
#include "traffic/request.hpp"
#include "upstream/member_connection.hpp"

#include <zinniahub/connection_share.hpp>
#include <zinniahub/fair_queue.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinniahub::traffic
{

/// @brief Connections of this host to one member and the requests that wait
/// for one. Used on the group's strand.
class member_pool : public std::enable_shared_from_this<member_pool>
{
public:
    /// Opens a connection; the handler is posted to the group's strand.
    using connector = std::function<upstream::member_connection::pointer(
        upstream::member_connection::open_handler)>;
    /// Sends a request on a connection that is reserved for it.
    using sender = std::function<void(
        request::pointer, upstream::member_connection::pointer)>;

    member_pool(
        fair_queue::settings queue, const connection_strategy& strategy,
        connector connect, sender send);

    /// @brief Queues a request.
    /// @return the request that was shed to make room, if any, or
    /// `errc::queue_full`
    result<request::pointer> push(request::pointer entry);

    /// @brief Removes the next waiting request from the queue.
    request::pointer pop();
    request::pointer pop_expired(time_point now);

    /// @brief Returns a connection after a request or transaction. Broken
    /// connections are dropped.
    void
    release(upstream::member_connection::pointer connection, time_point now);

    /// @brief Drops a connection that must not be used again.
    void discard(const upstream::member_connection::pointer& connection);

    /// @brief Records that the member refused a connection because of its
    /// limit.
    void on_refused(time_point now)
    {
        usage_.refused_at = now;
    }

    /// @brief Updates the usage reported by the member, and the number of
    /// hosts.
    void set_usage(std::uint32_t open_total, std::uint32_t limit);
    void set_host_count(std::uint32_t hosts);

    /// @brief Serves waiting requests and opens or closes connections.
    void process_queue(time_point now);

    /// @brief Closes idle connections.
    void close_idle();
    /// @brief Sets whether the member gets new work. Without it, connections
    /// are closed as soon as they are idle.
    void set_in_service(bool in_service)
    {
        in_service_ = in_service;
    }
    /// @brief Closes connections with a request in progress, whose outcome
    /// becomes unknown, e.g. when the member no longer answers.
    void close_busy();

    std::size_t waiting() const
    {
        return queue_.size();
    }

    std::uint32_t load() const;
    /// @brief Connections in use by requests or transactions.
    std::uint32_t in_use() const
    {
        return static_cast<std::uint32_t>(busy_.size());
    }
    std::uint32_t open() const
    {
        return usage_.open_own;
    }

private:
    struct idle_connection
    {
        upstream::member_connection::pointer connection;
        time_point since;
    };

    void serve_waiting();
    void open_connection();
    void on_opened(
        const upstream::member_connection::pointer& connection,
        const result<void>& outcome);
    void close_longest_idle(std::uint32_t count);
    void update_usage();

    fair_queue queue_;
    const connection_strategy& strategy_;
    connector connect_;
    sender send_;
    /// Most recently used at the back, so that surplus connections stay idle
    /// long enough to be closed.
    std::deque<idle_connection> idle_;
    std::vector<upstream::member_connection::pointer> opening_;
    std::vector<upstream::member_connection::pointer> busy_;
    connection_usage usage_;
    bool in_service_ = true;
    time_point now_{};
    /// No connection is opened before this time, set by a failed attempt.
    time_point retry_open_at_{};
};

} // namespace zinniahub::traffic
