#pragma once

#include "operator/resource.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::commands
{

/// @brief Revision a resource must have, 0 if it must not exist. If not set,
/// the revision read before the write is used.
using expected_revision = std::optional<std::uint64_t>;

/// @brief Result of a write. All functions below return `errc::conflict` if
/// another operator changed the resource in the meantime, and
/// `errc::platform_unavailable` if the outcome could not be determined.
struct apply_result
{
    stored_resource resource;
    /// False if the resource already had the declared state.
    bool changed = true;
};

struct group_declaration
{
    std::string name;
    /// Members as name=address@failure_domain.
    std::vector<std::string> members;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool open = false;
};

/// @brief Creates or replaces a group. An existing group keeps its uid, and a
/// member that is leaving stays so.
result<apply_result> apply_group(
    kv::platform_store& store, const group_declaration& declared,
    expected_revision expected);

struct customer_declaration
{
    std::string name;
    double rate = 0;
    double burst = 0;
    /// If not set, the current weight is kept; 1 for a new customer.
    std::optional<std::uint32_t> weight;
    /// If empty, the current groups are kept; all groups for a new customer.
    std::vector<std::string> groups;
    /// Removes the restriction to groups.
    bool all_groups = false;
};

/// @brief Creates or changes a customer. An existing customer keeps its keys.
result<apply_result> apply_customer(
    kv::platform_store& store, const customer_declaration& declared,
    expected_revision expected);

/// @brief Adds the digest of a key to a customer.
/// @return `errc::already_exists` if the id names another key or another
/// customer has the same key
result<apply_result> apply_key(
    kv::platform_store& store, std::string_view customer, std::string_view id,
    std::string_view key, expected_revision expected);

result<apply_result> apply_domain(
    kv::platform_store& store, std::string_view name, bool in_service,
    expected_revision expected);

/// @param member as GROUP/MEMBER
result<apply_result> apply_member(
    kv::platform_store& store, std::string_view member, bool leaving,
    expected_revision expected);

/// @brief Removes a resource. @return the revision of the removal, 0 if it is
/// not known because the reply was lost
result<std::uint64_t> withdraw_resource(
    kv::platform_store& store, const resource_kind& kind, std::string_view name,
    expected_revision expected);

/// @brief Removes the digest of a key from a customer.
result<apply_result> withdraw_key(
    kv::platform_store& store, std::string_view customer, std::string_view id,
    expected_revision expected);

/// @brief Makes a key of 32 random bytes in hexadecimal form.
result<std::string> generate_key();

} // namespace zinniahub::commands
