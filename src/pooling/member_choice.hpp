#pragma once

#include "pooling/pool_set.hpp"

#include <zinniahub/primary_position_history.hpp>
#include <zinniahub/upstream_directory.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::pooling
{

/// @brief Member that was last confirmed as the primary.
struct confirmed_primary
{
    std::string instance;
    time_point confirmed_at = time_point::min();
};

/// @brief What a host knows of the members of one service.
struct member_view
{
    const upstream_directory& directory;
    std::string_view service;
    const pool_set& pools;
    const confirmed_primary& primary;
    const primary_position_history& samples;
};

/// @brief Requirements of a read on its member.
struct read_requirements
{
    std::string_view customer;
    /// Position that the member's log has to reach.
    log_position position;
    /// Members on which earlier attempts of the read failed.
    std::span<const std::string> excluded;
    /// Differs from read to read, so that equal members are used in turn.
    std::uint64_t rotation = 0;
};

/// @brief Members that may be the primary, the most likely first: one that was
/// confirmed or registered last, then any other, in case the registrations are
/// out of date.
std::vector<const upstream_state*>
primary_candidates(const member_view& view, time_point now);

/// @brief True if the most likely primary is in a failure domain that this host
/// cannot reach; false if no member is known to be the primary.
bool is_primary_out_of_reach(const member_view& view, time_point now);

/// @brief Compares the members of a service that may run reads.
member_comparison compare_members(const member_view& view, time_point now);

/// @brief Members whose log probably reaches the position, in the order in
/// which a read should try them: one whose test is due, then those that are
/// usable, by the cost of a connection and by load, then slow and failing
/// ones, by the expected time to an answer.
std::vector<const upstream_state*> read_candidates(
    const member_view& view, const read_requirements& needs, time_point now);

} // namespace zinniahub::pooling
