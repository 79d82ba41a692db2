#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/outcome.hpp>

namespace zinniahub::commands
{

/// @brief Exit codes of the binary; see docs/exit-codes.md.
enum class exit_code
{
    ok = 0,
    internal_failure = 1,
    usage = 2,
    invalid_settings = 3,
    conflict = 4,
    not_found = 5,
    wait_timeout = 6,
    platform_unavailable = 7,
    request_not_run = 8,
    request_unknown = 9,
    invalid_resource = 10
};

/// @brief Exit code of a command that failed with `code`.
exit_code exit_code_of(errc code);

/// @brief Exit code of `exec` for the outcome of its last request.
exit_code exit_code_of(verdict value);

} // namespace zinniahub::commands
