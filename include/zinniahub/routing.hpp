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

/// @brief What a host knows about one member of a database group.
struct member_view
{
    std::string name;
    std::string address;
    std::string failure_domain;
    /// False if the member is leaving or its failure domain is out of service.
    bool in_service = true;
    /// False if the status stream is broken or silent.
    bool reachable = false;
    member_role role = member_role::replica;
    std::uint64_t term = 0;
    log_position position;
    /// Linear share of normal load in [0, 1] while the member returns.
    double ramp_up_factor = 1.0;
    /// Requests of this host that wait for or use the member.
    std::uint32_t load = 0;
};

/// @brief What a host knows about one database group.
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
    /// Position the session has seen in the group.
    log_position min_position;
    /// Failure domain of this host; its members are preferred.
    std::string_view local_domain;
    /// Changes from request to request and spreads equal choices.
    std::uint64_t selection_seed = 0;
};

/// @brief Chooses the member for a request. Strategies hold no state.
class request_router
{
public:
    virtual ~request_router() = default;

    /// @brief Chooses a member for a read outside transactions.
    /// @return its index, or `errc::no_fresh_replica`, `errc::no_primary`
    /// @complexity linear in the number of members
    virtual result<std::size_t>
    choose_read(const group_view& group, const read_request& request) const = 0;

    /// @brief Chooses the primary for a write or a transaction.
    /// @param min_position position of the session
    /// @return its index, or `errc::no_primary` if there is none that is
    /// reachable, in service and in the group's term, or if the session has
    /// seen a later term
    result<std::size_t>
    choose_write(const group_view& group, log_position min_position = {}) const;
};

/// @brief Baseline: every read goes to the primary.
std::unique_ptr<request_router> make_primary_only_router();

/// @brief Reads go to the least loaded reachable replica that has reached the
/// session's position, those in the local failure domain first, and to the
/// primary if there is none.
std::unique_ptr<request_router> make_fresh_replica_router();

} // namespace zinniahub
