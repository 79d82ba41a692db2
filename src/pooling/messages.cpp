#include "pooling/messages.hpp"

#include "pooling/ports.hpp"

namespace zinniahub::pooling
{

std::string_view to_string(reply_code code)
{
    switch (code)
    {
    case reply_code::none:
        return "ok";
    case reply_code::busy:
        return "busy";
    case reply_code::aborted:
        return "aborted";
    case reply_code::behind:
        return "behind";
    case reply_code::read_only:
        return "read_only";
    case reply_code::misrouted:
        return "misrouted";
    case reply_code::too_many:
        return "too_many";
    case reply_code::unknown_prepared:
        return "unknown_prepared";
    case reply_code::failed:
        return "failed";
    case reply_code::timeout:
        return "timeout";
    case reply_code::in_doubt:
        return "in_doubt";
    case reply_code::unauthorized:
        return "unauthorized";
    case reply_code::unknown_database:
        return "unknown_database";
    case reply_code::too_large:
        return "too_large";
    case reply_code::malformed:
        return "malformed";
    }
    return "unknown";
}

std::string_view to_string(const connect_failure& failure)
{
    switch (failure.cause)
    {
    case connect_failure::reason::refused:
        return "refused";
    case connect_failure::reason::silent:
        return "silent";
    case connect_failure::reason::rejected:
        return to_string(failure.code);
    case connect_failure::reason::lost:
        break;
    }
    return "lost";
}

verdict verdict_of(reply_code code)
{
    switch (code)
    {
    case reply_code::none:
        return verdict::done;
    case reply_code::failed:
    case reply_code::timeout:
    case reply_code::in_doubt:
        return verdict::unknown;
    default:
        return verdict::not_run;
    }
}

} // namespace zinniahub::pooling
