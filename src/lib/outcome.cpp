#include <zinniahub/outcome.hpp>

namespace zinniahub
{

std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::done:
        return "done";
    case verdict::not_run:
        return "not_run";
    case verdict::unknown:
        return "unknown";
    }
    return "unknown";
}

verdict verdict_of(errc code)
{
    switch (code)
    {
    case errc::connection_lost:
    case errc::commit_unconfirmed:
    case errc::reply_mismatch:
    case errc::reply_timeout:
        return verdict::unknown;
    default:
        return verdict::not_run;
    }
}

bool is_transient(errc code)
{
    switch (code)
    {
    case errc::connection_limit_reached:
    case errc::no_primary:
    case errc::no_fresh_replica:
    case errc::wrong_term:
    case errc::member_behind:
    case errc::member_unreachable:
    case errc::member_quiesced:
    case errc::connection_lost:
    case errc::commit_unconfirmed:
    case errc::reply_mismatch:
        return true;
    default:
        return false;
    }
}

bool may_retry(errc code, bool idempotent)
{
    return is_transient(code) &&
           (verdict_of(code) == verdict::not_run || idempotent);
}

} // namespace zinniahub
