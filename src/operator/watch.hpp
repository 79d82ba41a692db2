#pragma once

#include "operator/resource.hpp"
#include "zinniahub/v1/peer.pb.h"
#include "zinniahub/v1/platform.pb.h"

#include <zinniahub/observed_state.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace zinniahub::commands
{

/// @brief Host list and host reports read from the platform.
struct fleet_view
{
    std::vector<v1::HostEntry> hosts;
    std::vector<v1::DomainReport> reports;
    /// Wall clock of the reader, in milliseconds since the epoch.
    std::uint64_t now_ms = 0;
};

/// @brief A resource with its desired and observed state.
struct watched_resource
{
    stored_resource declared;
    resource_status status;
};

/// @brief Compares resources with what the hosts report.
/// @param declared all resources: members and failure domains that are out
/// of service affect the status of the others
/// @param min_revision hosts must also have applied this revision
/// @complexity see zinniahub::compare
std::vector<watched_resource> compare(
    std::span<const stored_resource> declared, const fleet_view& fleet,
    std::uint64_t min_revision = 0);

/// @brief Reads the host list and the reports of the failure domains.
result<fleet_view> read_fleet(kv::platform_store& store, std::uint64_t now_ms);

std::string to_json(const watched_resource& watched);

/// @brief Formats a status as two lines and one more for each lag.
std::string to_text(const watched_resource& watched);

} // namespace zinniahub::commands
