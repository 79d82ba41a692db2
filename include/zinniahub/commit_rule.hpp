#pragma once

#include <zinniahub/log_position.hpp>
#include <zinniahub/routing.hpp>

#include <cstddef>
#include <memory>

namespace zinniahub
{

/// @brief Decides when a committed write may be acknowledged to the caller.
class commit_rule
{
public:
    virtual ~commit_rule() = default;

    /// @brief True if the write at `position`, executed by the primary
    /// `primary` of term `position.term`, may be acknowledged.
    /// @param group latest status of each member received by this host
    /// @complexity linear in the number of members
    virtual bool is_satisfied(
        const group_view& group, std::size_t primary,
        log_position position) const = 0;

    /// @brief True if the write can no longer be confirmed, because too many
    /// members have moved to a later term without it. The outcome is then
    /// unknown.
    virtual bool
    is_lost(const group_view& group, log_position position) const = 0;
};

/// @brief Baseline rule: acknowledges as soon as the primary has committed.
std::unique_ptr<commit_rule> make_primary_ack_rule();

/// @brief Acknowledges when a majority of the members, including the primary,
/// holds the position as an entry of the write's term, even if they have been
/// fenced since. A promotion first raises the term on a majority and then
/// selects the most advanced log. The two majorities overlap, so every
/// acknowledged write is found.
std::unique_ptr<commit_rule> make_majority_ack_rule();

} // namespace zinniahub
