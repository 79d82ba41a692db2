#pragma once

#include "zinniahub/v1/caller.pb.h"

#include <zinniahub/error.hpp>
#include <zinniahub/fair_queue.hpp>
#include <zinniahub/log_position.hpp>
#include <zinniahub/outcome.hpp>
#include <zinniahub/time.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace zinniahub::traffic
{

/// @brief Result of a request that ran.
struct answer
{
    std::vector<v1::Row> rows;
    /// Log position that contains the write, or at which the read ran.
    log_position position;
    std::string served_by;
    bool from_replica = false;
};

/// @brief A request to a database group. It does not hold the customer's key.
class request final
    : public boost::intrusive_ref_counter<request, boost::thread_safe_counter>,
      public queue_entry
{
public:
    using pointer = boost::intrusive_ptr<request>;

    v1::Operation operation = v1::OPERATION_STATEMENT;
    v1::Access access = v1::ACCESS_WRITE;
    bool idempotent = false;
    std::string text;
    std::string customer;
    std::uint32_t weight = 1;
    /// Lowest log position that the session may read from.
    log_position min_position;
    std::uint64_t routing_sequence = 0;
    std::uint32_t attempts = 0;
    /// The request is not sent before this time, to space out retries.
    time_point not_before{};
    /// Failure of an earlier attempt that may have run the request.
    std::optional<error> unknown_outcome_error;
    /// Called once, on the group's strand.
    std::function<void(result<answer>)> on_done;

    /// @brief True if running the request twice has the same effect as once.
    /// The end of a transaction cannot be repeated on another connection.
    bool is_repeatable() const
    {
        return (idempotent && operation == v1::OPERATION_STATEMENT) ||
               is_autocommit_read();
    }

    /// @brief True for a read outside transactions.
    bool is_autocommit_read() const
    {
        return operation == v1::OPERATION_STATEMENT &&
               access == v1::ACCESS_READ;
    }

    /// @brief Completes the request. If a retry was not run, an earlier attempt
    /// may still have run, so the failure of that attempt is reported instead.
    void complete(result<answer> outcome)
    {
        if (!outcome && unknown_outcome_error &&
            verdict_of(outcome.error().code) == verdict::not_run)
        {
            outcome = tl::make_unexpected(*unknown_outcome_error);
        }
        if (auto handler = std::exchange(on_done, nullptr))
        {
            handler(std::move(outcome));
        }
    }

    bool is_completed() const
    {
        return !on_done;
    }
};

} // namespace zinniahub::traffic
