#pragma once

#include "kv/platform_client.hpp"
#include "operator/json.hpp"
#include "zinniahub/v1/configuration.pb.h"

#include <zinniahub/error.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::commands
{

/// @brief Kind of resource that is stored as a separate record.
struct resource_kind
{
    std::string_view name;
    /// Prefix of its keys in the platform.
    std::string_view prefix;
};

/// @brief The kinds group, customer and domain.
std::span<const resource_kind> resource_kinds();

/// @return the kind, or `errc::usage`
result<resource_kind> kind_of(std::string_view name);

/// @brief A resource as the platform stores it.
struct stored_resource
{
    resource_kind kind;
    std::string name;
    /// 0 if the resource does not exist.
    std::uint64_t revision = 0;
    v1::Resource value;
};

/// @brief Reads a resource.
/// @return `errc::not_found` if there is none, `errc::resource_invalid` if the
/// stored record is damaged, or the platform's failure
result<stored_resource> read_resource(
    kv::platform_store& store, const resource_kind& kind,
    std::string_view name);

/// @brief Reads all resources of a kind, in the order of their names.
result<std::vector<stored_resource>>
list_resources(kv::platform_store& store, const resource_kind& kind);

/// @brief Checks a resource before it is written, by the rules that the hosts
/// apply when they read it.
/// @return `errc::resource_invalid` with the first error
result<void> validate(const v1::Resource& value);

/// @brief Formats a resource as JSON. Keys are shown by id and digest.
json::value to_json(const stored_resource& resource);

/// @brief Formats a resource as one line.
std::string to_text(const stored_resource& resource);

/// @brief Formats the declared state without kind, name and revision.
std::string describe(const v1::Resource& value);

/// @brief Lower-case hexadecimal form.
std::string to_hex(std::string_view bytes);

} // namespace zinniahub::commands
