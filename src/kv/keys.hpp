#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniahub::kv
{

/// Prefix of declared resources.
inline constexpr std::string_view configuration_prefix = "/zinniahub/config/";
inline constexpr std::string_view group_prefix = "/zinniahub/config/group/";
inline constexpr std::string_view customer_prefix =
    "/zinniahub/config/customer/";
inline constexpr std::string_view domain_prefix = "/zinniahub/config/domain/";

/// Owners of rate pools, seats and delegates, attached to leases.
inline constexpr std::string_view owner_prefix = "/zinniahub/owner/";
inline constexpr std::string_view rate_prefix = "/zinniahub/owner/rate/";
inline constexpr std::string_view seat_prefix = "/zinniahub/owner/seat/";
inline constexpr std::string_view delegate_prefix =
    "/zinniahub/owner/delegate/";

/// Reports of delegates, one per failure domain.
inline constexpr std::string_view observed_prefix = "/zinniahub/observed/";

/// Secret that seals the session tokens, shared by all hosts.
inline constexpr std::string_view token_secret_key = "/zinniahub/secret/token";

/// Counter from which group uids are allocated.
inline constexpr std::string_view uid_counter_key = "/zinniahub/next-group-uid";

inline std::string key_of(std::string_view prefix, std::string_view name)
{
    return std::string(prefix).append(name);
}

inline std::string key_of(std::string_view prefix, std::uint64_t number)
{
    return std::string(prefix).append(std::to_string(number));
}

/// @brief Name of a record below a prefix. Keys from the platform and from
/// other hosts may be any text.
/// @return nullopt if `key` does not begin with `prefix` or ends with it
inline std::optional<std::string_view>
name_below(std::string_view prefix, std::string_view key)
{
    if (!key.starts_with(prefix) || key.size() == prefix.size())
    {
        return std::nullopt;
    }
    return key.substr(prefix.size());
}

} // namespace zinniahub::kv
