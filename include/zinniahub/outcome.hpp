#pragma once

#include <zinniahub/error.hpp>

#include <string_view>

namespace zinniahub
{

/// @brief Known outcome of a request.
enum class verdict
{
    /// The request was executed and its effect persists.
    done,
    /// The request had no effect and will never have one.
    not_run,
    /// The request may or may not have taken effect.
    unknown
};

std::string_view to_string(verdict value);

/// @brief Returns the outcome that an error code implies. It is unknown for
/// codes 5xx; all others are raised before the request reaches an upstream, or
/// by an upstream that explicitly rejected it.
verdict verdict_of(errc code);

/// @brief Returns true if a retry may succeed within the same deadline, for
/// example after a failover.
bool is_transient(errc code);

/// @brief Returns true if a request that failed with `code` may be retried.
/// @param idempotent the caller declared the request idempotent
bool may_retry(errc code, bool idempotent);

} // namespace zinniahub
