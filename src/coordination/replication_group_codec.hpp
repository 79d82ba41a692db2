#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/replication_group.hpp>

#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief Prefix of the records of replication groups, one per service.
inline constexpr std::string_view replication_prefix = "zinniahub/replication/";

std::string encode_replication_group(const replication_group& group);

/// @return `errc::resource_invalid` if a field is missing or has the wrong
/// type, or if the primary is not a member
result<replication_group> decode_replication_group(std::string_view text);

} // namespace zinniahub::coordination
