#pragma once

#include "pooling/messages.hpp"

#include <zinniahub/error.hpp>
#include <zinniahub/time.hpp>

// Boost 1.74 uses std::exchange in awaitable.hpp without its header.
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace zinniahub::pooling
{

template<typename T>
using awaitable = boost::asio::awaitable<T>;

/// @brief One connection to a member. At most one call is in progress.
///
/// A failed call leaves the connection unusable: `errc::connection_lost` if it
/// broke, `errc::reply_timeout` if the member did not reply. After
/// `errc::statement_too_large` and `errc::request_invalid` nothing was sent,
/// and the connection is as before.
class member_connection
{
public:
    virtual ~member_connection() = default;

    /// @brief Forwards a client's statement under its id.
    virtual awaitable<result<reply>>
    forward(forwarded_statement value, duration timeout) = 0;

    /// @brief Runs a command of the proxy itself.
    virtual awaitable<result<reply>>
    run(const command& value, duration timeout) = 0;

    /// @brief True until the connection broke or was closed.
    virtual bool is_open() const = 0;

    /// @brief Closes the connection; the member rolls back.
    virtual void close() = 0;
};

/// @brief Target of a connection attempt.
struct member_address
{
    std::string service;
    std::string address;
    /// The member refuses if it is another instance.
    std::string instance;
    /// Customer on whose behalf statements run.
    std::string customer;
};

/// @brief A connection attempt that the member or the network refused.
struct connect_failure
{
    enum class reason
    {
        /// Nothing listens at the address.
        refused,
        silent,
        lost,
        /// The member answered with `code`.
        rejected
    };
    reason cause = reason::lost;
    reply_code code = reply_code::none;
};

/// @brief Word for a failure: the member's code, or how the attempt ended.
std::string_view to_string(const connect_failure& failure);

using connect_result =
    tl::expected<std::unique_ptr<member_connection>, connect_failure>;

class member_connector
{
public:
    virtual ~member_connector() = default;
    virtual awaitable<connect_result>
    connect(const member_address& target, duration timeout) = 0;
};

/// @brief Counts the operations that members began to run.
class usage_sink
{
public:
    virtual ~usage_sink() = default;
    /// @param sent_at time before the statement was sent to the member
    virtual void
    on_operation(std::string_view customer, time_point sent_at) = 0;
};

/// @brief Whether a member began to run a statement, as far as its answer
/// shows. A statement without an answer counts as begun unless nothing was
/// sent.
bool has_begun_to_run(const result<reply>& answer);

/// @brief Connection to one client, as used by its session.
class client_stream
{
public:
    virtual ~client_stream() = default;

    /// @brief Waits for the next statement.
    /// @return `errc::connection_lost` when the client has disconnected,
    /// `errc::wait_timeout` after `timeout`, `errc::request_invalid` for input
    /// that is not a valid message, `errc::statement_too_large` for an oversize
    /// one, `errc::queue_full` for one that there is no memory for
    virtual awaitable<result<statement>> next(duration timeout) = 0;

    /// @brief Sends a complete reply.
    /// @return false if the client has disconnected
    virtual awaitable<bool> send(const reply& value) = 0;

    /// @brief Ends a wait in `next` with `errc::draining`; without a wait, the
    /// next call of `next` returns it.
    virtual void interrupt() = 0;

    virtual void close() = 0;
};

} // namespace zinniahub::pooling
