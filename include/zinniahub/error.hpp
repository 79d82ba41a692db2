#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Error codes. The numbers are part of the protocol and never change;
/// see docs/errors.md.
enum class errc : std::uint32_t
{
    // Invalid request.
    key_missing = 101,
    key_invalid = 102,
    group_unknown = 103,
    group_not_allowed = 104,
    session_token_invalid = 105,
    statement_too_large = 106,
    request_invalid = 107,
    statement_rejected = 108,
    transaction_not_open = 109,
    transaction_already_open = 110,
    transaction_aborted = 111,

    // Limits.
    rate_exceeded = 201,
    queue_full = 202,
    deadline_exceeded = 203,
    connection_limit_reached = 204,
    retry_budget_exhausted = 205,

    // Routing.
    no_primary = 301,
    no_fresh_replica = 302,
    wrong_term = 303,
    member_behind = 304,
    member_unreachable = 305,
    member_quiesced = 306,

    // Host state.
    draining = 401,
    failure_domain_out = 402,
    configuration_expired = 403,
    configuration_missing = 404,

    // Unknown outcome: the request may have been executed.
    connection_lost = 501,
    commit_unconfirmed = 502,
    reply_mismatch = 503,
    reply_timeout = 504,

    // Platform and configuration.
    platform_unavailable = 601,
    conflict = 602,
    not_found = 603,
    already_exists = 604,
    lease_expired = 605,
    platform_rate_limited = 606,
    value_too_large = 607,
    resource_invalid = 608,
    wait_timeout = 609,

    // Settings file and command line.
    settings_unreadable = 701,
    settings_syntax = 702,
    settings_unknown_key = 703,
    settings_type = 704,
    settings_range = 705,
    settings_duplicate = 706,
    settings_missing = 707,
    usage = 708
};

/// @brief Returns the name of an error code, for example "rate_exceeded".
std::string_view to_string(errc code);

/// @brief Error code with a description.
struct error
{
    errc code;
    /// Human-readable detail. Programs must rely on `code` only.
    std::string detail;
};

template<typename T>
using result = tl::expected<T, error>;

/// @brief Creates the error value of a `result`.
inline tl::unexpected<error> fail(errc code, std::string detail = {})
{
    return tl::make_unexpected(error{code, std::move(detail)});
}

} // namespace zinniahub
