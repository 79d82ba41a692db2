#include "operator/exit_code.hpp"

namespace zinniahub::commands
{

exit_code exit_code_of(errc code)
{
    switch (code)
    {
    case errc::usage:
        return exit_code::usage;
    case errc::settings_unreadable:
    case errc::settings_syntax:
    case errc::settings_unknown_key:
    case errc::settings_type:
    case errc::settings_range:
    case errc::settings_duplicate:
    case errc::settings_missing:
        return exit_code::invalid_settings;
    case errc::conflict:
    case errc::already_exists:
        return exit_code::conflict;
    case errc::not_found:
        return exit_code::not_found;
    case errc::wait_timeout:
        return exit_code::wait_timeout;
    case errc::platform_unavailable:
    case errc::platform_rate_limited:
        return exit_code::platform_unavailable;
    case errc::resource_invalid:
    case errc::value_too_large:
        return exit_code::invalid_resource;
    default:
        return exit_code::internal_failure;
    }
}

exit_code exit_code_of(verdict value)
{
    switch (value)
    {
    case verdict::done:
        return exit_code::ok;
    case verdict::not_run:
        return exit_code::request_not_run;
    case verdict::unknown:
        break;
    }
    return exit_code::request_unknown;
}

} // namespace zinniahub::commands
