#include <zinniahub/error.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace zinniahub
{

namespace
{

using entry = std::pair<errc, std::string_view>;

constexpr std::array names{
    entry{errc::key_missing, "key_missing"},
    entry{errc::key_invalid, "key_invalid"},
    entry{errc::group_unknown, "group_unknown"},
    entry{errc::group_not_allowed, "group_not_allowed"},
    entry{errc::session_token_invalid, "session_token_invalid"},
    entry{errc::statement_too_large, "statement_too_large"},
    entry{errc::request_invalid, "request_invalid"},
    entry{errc::statement_rejected, "statement_rejected"},
    entry{errc::transaction_not_open, "transaction_not_open"},
    entry{errc::transaction_already_open, "transaction_already_open"},
    entry{errc::transaction_aborted, "transaction_aborted"},
    entry{errc::rate_exceeded, "rate_exceeded"},
    entry{errc::queue_full, "queue_full"},
    entry{errc::deadline_exceeded, "deadline_exceeded"},
    entry{errc::connection_limit_reached, "connection_limit_reached"},
    entry{errc::retry_budget_exhausted, "retry_budget_exhausted"},
    entry{errc::no_primary, "no_primary"},
    entry{errc::no_fresh_replica, "no_fresh_replica"},
    entry{errc::wrong_term, "wrong_term"},
    entry{errc::member_behind, "member_behind"},
    entry{errc::member_unreachable, "member_unreachable"},
    entry{errc::member_quiesced, "member_quiesced"},
    entry{errc::draining, "draining"},
    entry{errc::failure_domain_out, "failure_domain_out"},
    entry{errc::configuration_expired, "configuration_expired"},
    entry{errc::configuration_missing, "configuration_missing"},
    entry{errc::connection_lost, "connection_lost"},
    entry{errc::commit_unconfirmed, "commit_unconfirmed"},
    entry{errc::reply_mismatch, "reply_mismatch"},
    entry{errc::reply_timeout, "reply_timeout"},
    entry{errc::platform_unavailable, "platform_unavailable"},
    entry{errc::conflict, "conflict"},
    entry{errc::not_found, "not_found"},
    entry{errc::already_exists, "already_exists"},
    entry{errc::lease_expired, "lease_expired"},
    entry{errc::platform_rate_limited, "platform_rate_limited"},
    entry{errc::value_too_large, "value_too_large"},
    entry{errc::resource_invalid, "resource_invalid"},
    entry{errc::wait_timeout, "wait_timeout"},
    entry{errc::settings_unreadable, "settings_unreadable"},
    entry{errc::settings_syntax, "settings_syntax"},
    entry{errc::settings_unknown_key, "settings_unknown_key"},
    entry{errc::settings_type, "settings_type"},
    entry{errc::settings_range, "settings_range"},
    entry{errc::settings_duplicate, "settings_duplicate"},
    entry{errc::settings_missing, "settings_missing"},
    entry{errc::usage, "usage"},
};

} // namespace

std::string_view to_string(errc code)
{
    const auto* found = std::find_if(
        names.begin(), names.end(),
        [code](const entry& candidate) { return candidate.first == code; });
    return found == names.end() ? "unnumbered" : found->second;
}

} // namespace zinniahub
