#pragma once

#include <zinniahub/failover_planner.hpp>
#include <zinniahub/log_position.hpp>
#include <zinniahub/outcome.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::pooling
{

/// @brief Type of a client's statement.
enum class statement_kind
{
    begin,
    /// Begins a transaction that only reads.
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare_read,
    prepare_write,
    execute,
    deallocate,
    /// The text is not a valid statement.
    invalid
};

/// @brief A statement as a client sent it.
struct statement
{
    statement_kind kind = statement_kind::invalid;
    /// Id of the request, chosen by the client.
    std::string id;
    /// Whole text, passed to members unchanged.
    std::string text;
    /// Name of a session value or prepared statement.
    std::string name;
    /// Value of a session value, shape of a prepared statement, or the
    /// arguments of an execution.
    std::string argument;
};

/// @brief A client's statement as it is sent to a member.
struct forwarded_statement
{
    const statement& sent;
    /// Name of the executed prepared statement on the connection, which
    /// replaces the client's; empty for other statements.
    std::string_view prepared_name = {};
    /// The member refuses the statement if its log lacks this position.
    std::optional<log_position> wait_for = std::nullopt;
};

/// @brief Commands that the proxy issues itself.
enum class command_kind
{
    begin,
    begin_read_only,
    rollback,
    set_value,
    prepare_read,
    prepare_write,
    discard,
    status,
    pause,
    resume,
    step_down
};

struct command
{
    command_kind kind;
    /// Name of a session value or prepared statement.
    std::string_view name = {};
    /// Session value or shape.
    std::string_view argument = {};
    /// Term of `pause` and `step_down`.
    std::uint64_t term = 0;
    /// The member refuses the command if its log lacks this position.
    std::optional<log_position> wait_for = std::nullopt;
};

/// @brief State of a session after a reply.
enum class transaction_state
{
    none,
    open,
    /// The transaction can only be ended.
    failed
};

/// @brief Why a statement was refused or failed.
enum class reply_code
{
    none,
    // The attempt had no effect.
    busy,
    aborted,
    behind,
    read_only,
    misrouted,
    too_many,
    // The statement has not run: the member does not know the prepared name.
    unknown_prepared,
    // The outcome may be unknown.
    failed,
    timeout,
    in_doubt,
    // The request is invalid.
    unauthorized,
    unknown_database,
    too_large,
    malformed
};

/// @brief Name of a code for logs and metrics, for example "in_doubt".
std::string_view to_string(reply_code code);

/// @brief What a client knows about the effect of a request after a code.
verdict verdict_of(reply_code code);

/// @brief Complete reply of a member to a statement or command.
struct reply
{
    std::vector<std::string> rows;
    /// The member's signature of a success.
    std::string signature;
    reply_code code = reply_code::none;
    /// Detail of an error.
    std::string text;
    transaction_state state = transaction_state::none;
    /// Position of the member's log.
    std::optional<log_position> position;
    /// Status of the member, in answers to status, pause, resume and
    /// step_down.
    std::optional<replication_status> status_row;

    bool ok() const
    {
        return code == reply_code::none;
    }
};

} // namespace zinniahub::pooling
