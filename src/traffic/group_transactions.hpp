#pragma once

#include "traffic/member_pool.hpp"
#include "traffic/request.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace zinniahub::traffic
{

/// @brief A connection taken from a pool, and the member's state known at that
/// time.
struct pooled_connection
{
    std::shared_ptr<member_pool> pool;
    upstream::member_connection::pointer connection;
    std::string member;
    std::uint64_t term = 0;
};

/// @brief Outcome of a request that was sent, as reported by the member or its
/// connection.
struct attempt_outcome
{
    result<answer> outcome;
    /// True if the connection must not be used again.
    bool is_broken = false;
};

/// @brief An open transaction, pinned to one connection. Used on the group's
/// strand.
class transaction
{
public:
    bool is_open() const
    {
        return pinned_.connection != nullptr;
    }

private:
    friend class group_transactions;

    pooled_connection pinned_;
    bool wrote_ = false;
    bool busy_ = false;
};

using transaction_pointer = std::shared_ptr<transaction>;

/// @brief Opens, advances and ends the transactions of one database group.
///
/// It sends nothing itself: `group_traffic` sends the requests and passes the
/// replies on. Used on the group's strand.
class group_transactions
{
public:
    using open_handler = std::function<void(transaction_pointer)>;

    /// @brief Registers the handler for the transaction that a request opens.
    /// @param opened called before the request completes with success
    void add_open_handler(const request& begin, open_handler opened);

    /// @brief Removes the handler of a request that completed.
    void remove_open_handler(const request& begin);

    /// @brief Pins the connection on which a member opened a transaction, and
    /// completes the request. The connection is discarded if the request has
    /// already completed.
    void on_begun(request& begin, pooled_connection pinned, answer outcome);

    /// @brief Reserves a transaction for one request.
    /// @return the connection to send it on, or `errc::transaction_aborted` if
    /// the transaction has ended or another request is in progress
    result<pooled_connection> reserve_connection(transaction& owner);

    /// @brief Handles the reply to a request in a transaction and completes the
    /// request.
    /// @return the answer to a commit of writes, whose request is not complete
    /// until the commit rule is satisfied
    std::optional<answer>
    on_reply(transaction& owner, request& entry, attempt_outcome reply);

    /// @brief Rolls a transaction back by closing its connection.
    void roll_back(transaction& owner);

private:
    static void end(transaction& owner, bool is_reusable);

    /// Handlers of begin requests, by request.
    std::vector<std::pair<const request*, open_handler>> open_handlers_;
};

} // namespace zinniahub::traffic
