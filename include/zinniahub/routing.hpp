#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/log_position.hpp>
#include <zinniahub/time.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

enum class member_role
{
    replica,
    primary
};

/// @brief State of a group member as known to this host.
struct member_view
{
    std::string name;
    std::string address;
    std::string failure_domain;
    /// False if the member is leaving or its failure domain is out of service.
    bool in_service = true;
    /// False if the status stream is disconnected or has timed out.
    bool reachable = false;
    member_role role = member_role::replica;
    std::uint64_t term = 0;
    log_position position;
    /// Fraction of the normal load in [0, 1] that the member may carry; grows
    /// linearly after the member has returned to service.
    double ramp_up_factor = 1.0;
    /// Number of this host's requests that are queued for or running on the
    /// member.
    std::uint32_t load = 0;
};

/// @brief State of a database group as known to this host.
struct group_view
{
    std::string name;
    std::uint64_t uid = 0;
    /// Highest term known to have a primary.
    std::uint64_t term = 0;
    /// Index of the primary of `term` in `members`, or `no_member`.
    std::size_t primary = static_cast<std::size_t>(-1);
    std::vector<member_view> members;
};

inline constexpr std::size_t no_member = static_cast<std::size_t>(-1);

struct read_request
{
    /// Position in the group's log that the read must reflect.
    log_position min_position;
    /// Failure domain of this host; members in it are preferred.
    std::string_view local_domain;
    /// Differs from request to request; breaks ties between equal members.
    std::uint64_t selection_seed = 0;
};

/// @brief Selects the member for a request. Implementations are stateless.
class request_router
{
public:
    virtual ~request_router() = default;

    /// @brief Selects a member for a read outside a transaction.
    /// @return its index, or `errc::no_fresh_replica`, `errc::no_primary`
    /// @complexity linear in the number of members
    virtual result<std::size_t>
    choose_read(const group_view& group, const read_request& request) const = 0;

    /// @brief Selects the primary for a write or a transaction.
    /// @param min_position last position observed by the session
    /// @return its index, or `errc::no_primary` if no primary is reachable, in
    /// service and in the group's term, or if the session has observed a later
    /// term
    result<std::size_t>
    choose_write(const group_view& group, log_position min_position = {}) const;
};

/// @brief Creates a router that sends every read to the primary, as a baseline
/// for comparisons.
std::unique_ptr<request_router> make_primary_only_router();

/// @brief Creates a router that sends reads to the least loaded reachable
/// replica that has reached the session's position. Replicas in the local
/// failure domain are preferred; the primary is used if no replica qualifies.
std::unique_ptr<request_router> make_fresh_replica_router();

} // namespace zinniahub
