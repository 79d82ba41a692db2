#include <zinniahub/failover_planner.hpp>

#include <algorithm>

// Rules of the failover planner for platforms that do not check fencing tokens:
// a replaced primary may go on leading.

namespace zinniahub
{

bool failover_planner::must_pause_candidate(time_point now) const
{
    const auto primary = members_.find(primary_);
    if (settings_.tokens_checked || primary == members_.end())
    {
        return false;
    }
    return !primary_has_stepped_down(now) && !has_shut_down(primary->second) &&
           current_primary(now) == nullptr;
}

void failover_planner::update_all_paused(
    const member_state* candidate, time_point now)
{
    const bool all_paused =
        candidate != nullptr &&
        std::all_of(
            members_.begin(), members_.end(),
            [this, now](const auto& entry)
            {
                const auto& member = entry.second;
                return !is_other_replica(member, {}) ||
                       (is_fresh(member, now) &&
                        member.status->paused_term >= pause_term_);
            });
    if (!all_paused)
    {
        all_paused_since_.reset();
    }
    else if (!all_paused_since_)
    {
        all_paused_since_ = now;
    }
}

bool failover_planner::primary_proof_has_expired(time_point now) const
{
    if (settings_.tokens_checked)
    {
        return true;
    }
    if (current_primary(now) != nullptr)
    {
        return false;
    }
    if (!must_pause_candidate(now))
    {
        return true;
    }
    if (!all_paused_since_)
    {
        return false;
    }
    // A process that has ended since before the pause has not led since, even
    // if it restarts with its log.
    const auto& primary = members_.find(primary_)->second;
    const bool has_ended =
        primary.refused_since && primary.last_refused_at > *all_paused_since_;
    const auto proven_before =
        has_ended ? *primary.refused_since : *all_paused_since_;
    return now - proven_before >= primary_proof::validity;
}

void failover_planner::demote_replaced_primaries(
    std::vector<failover_step>& steps, time_point now)
{
    for (auto& [instance, member] : members_)
    {
        const bool replaced = is_fresh(member, now) && member.status->primary &&
                              member.status->term < primary_term_;
        if (replaced && now >= member.next_replication_request)
        {
            member.next_replication_request = now + settings_.urgent_interval;
            steps.emplace_back(
                failover_action::step_down{instance, primary_term_});
        }
    }
}

} // namespace zinniahub
