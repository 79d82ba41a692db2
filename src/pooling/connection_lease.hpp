#pragma once

#include "pooling/member_pool.hpp"
#include "pooling/ports.hpp"

#include <zinniahub/session_values.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniahub::pooling
{

class service_gateway;

/// @brief Commands that gave pooled connections the state of a session.
struct restore_counts
{
    std::uint64_t discarded = 0;
    std::uint64_t values_set = 0;
    std::uint64_t statements_prepared = 0;
    /// A failed command closes the connection.
    std::uint64_t failed = 0;
};

/// @brief State of a session that a statement needs on its connection.
struct session_state
{
    const session_values& values;
    /// Prepared statement that is executed, or null.
    const prepared_statement* prepared = nullptr;
};

/// @brief A connection taken from a pool. Returns it when destroyed.
class connection_lease
{
public:
    connection_lease() = default;
    /// @param objective latency objective of the request
    connection_lease(
        service_gateway& gateway, std::string instance,
        pooled_connection_ptr connection, duration latency_objective);
    connection_lease(connection_lease&& other) noexcept;
    connection_lease& operator=(connection_lease&& other) noexcept;
    ~connection_lease();

    explicit operator bool() const
    {
        return connection_ != nullptr;
    }
    const std::string& instance() const
    {
        return instance_;
    }

    /// @brief Gives the connection the session's values and the prepared
    /// statement.
    /// @param limit for all commands together
    /// @return `errc::statement_rejected` if the member will always refuse one
    /// of them; `errc::connection_lost` after other failures, which close the
    /// connection
    awaitable<result<void>> restore(session_state session, duration limit);
    /// @brief Forwards a client's statement, COMMIT included. The state of its
    /// session must have been restored.
    /// @return as `member_connection::forward`; `errc::request_invalid` if the
    /// connection does not hold the state
    awaitable<result<reply>> forward(
        const statement& value, session_state session,
        std::optional<log_position> wait_for, duration timeout);
    awaitable<result<reply>> run(const command& value, duration timeout);

    /// @brief Keeps the connection for a transaction, between whose statements
    /// other requests use the member's slots.
    void hold_for_transaction()
    {
        held_ = true;
    }

    /// @brief Ends an open transaction and returns the connection.
    void roll_back();
    void close();
    void reset();

private:
    void on_call_finished(const result<reply>& answer, time_point sent_at);
    /// Runs one command of a restore.
    /// @param step name of the command for the log
    awaitable<result<void>> run_restore_step(
        const command& value, std::string_view step, time_point deadline);
    awaitable<result<void>>
    prepare(const pooled_statement& added, time_point deadline);

    service_gateway* gateway_ = nullptr;
    std::string instance_;
    pooled_connection_ptr connection_;
    duration latency_objective_{};
    bool held_ = false;
    /// State of the member's transaction after its last reply.
    transaction_state state_ = transaction_state::none;
};

} // namespace zinniahub::pooling
