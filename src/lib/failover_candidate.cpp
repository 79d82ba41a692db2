#include <zinniahub/failover_planner.hpp>

#include <algorithm>
#include <tuple>

// Choice of the member that the failover planner wants to promote.

namespace zinniahub
{

// Members that have every commit which clients have seen acknowledged come
// first. Replicas that receive come before paused ones while the primary
// responds, and a former primary comes last.
const failover_planner::member_state*
failover_planner::choose_candidate(time_point now) const
{
    const bool primary_responds = current_primary(now) != nullptr;
    const auto rank = [this, primary_responds, now](const member_state& member)
    {
        return std::tuple(
            has_passed_on_commits(member, now),
            !member.definition.leaving || may_lead_while_leaving(member, now),
            member.definition.instance != primary_,
            !primary_responds || !is_paused(member), member.status->received,
            !is_paused(member));
    };
    const member_state* best = nullptr;
    for (const auto& [instance, member] : members_)
    {
        if (!is_fresh(member, now) || has_shut_down(member) ||
            member.status->primary ||
            (member.definition.leaving && !may_lead_while_leaving(member, now)))
        {
            continue;
        }
        if (best == nullptr || rank(member) > rank(*best))
        {
            best = &member;
        }
    }
    return best;
}

const failover_planner::member_state*
failover_planner::find_candidate(time_point now) const
{
    const auto found = members_.find(candidate_);
    return found != members_.end() && is_fresh(found->second, now)
               ? &found->second
               : nullptr;
}

// One lost reply does not make a candidate unfit.
bool failover_planner::candidate_is_unfit(time_point now) const
{
    const auto found = members_.find(candidate_);
    if (found == members_.end())
    {
        return true;
    }
    const auto& member = found->second;
    const bool silent =
        member.unresponsive_since &&
        now - *member.unresponsive_since >= settings_.unresponsive_limit;
    return silent || member.refused_since ||
           (member.definition.leaving && !may_lead_while_leaving(member, now) &&
            !may_be_reinstated(member, now)) ||
           has_shut_down(member) || (member.status && member.status->primary);
}

bool failover_planner::a_paused_replica_is_ahead(
    const member_state& candidate) const
{
    return std::any_of(
        members_.begin(), members_.end(),
        [this, &candidate](const auto& entry)
        {
            const auto& member = entry.second;
            return is_other_replica(member, candidate.definition.instance) &&
                   is_paused(member) &&
                   member.status->received > candidate.status->received;
        });
}

// It has the commits of earlier terms since its promotion, and acknowledged
// those of its own term itself.
bool failover_planner::may_be_reinstated(
    const member_state& member, time_point now) const
{
    const bool has_led =
        member.definition.instance == primary_ && !primary_from_record_;
    if (!has_led || !is_fresh(member, now) || member.status->primary ||
        awaits_other_order(primary_, now) || !unsettled_orders_.empty())
    {
        return false;
    }
    const auto received = member.status->received;
    const bool has_kept_its_log = primary_positions_.empty() ||
                                  received >= primary_positions_.back().second;
    const bool is_farthest = std::all_of(
        members_.begin(), members_.end(),
        [received](const auto& entry)
        {
            const auto& other = entry.second;
            return !other.status || other.status->received <= received;
        });
    return has_kept_its_log && is_farthest &&
           received >= survey_.acknowledged();
}

void failover_planner::update_former_primary(time_point now)
{
    const auto former = members_.find(primary_);
    if (former == members_.end() || !may_be_reinstated(former->second, now))
    {
        reinstatable_since_.reset();
        return;
    }
    reinstatable_since_ = reinstatable_since_.value_or(now);
}

bool failover_planner::must_reinstate_primary(time_point now) const
{
    return reinstatable_since_ && candidate_ != primary_ &&
           now - *reinstatable_since_ >= settings_.reinstatement_delay &&
           !promotion_pending_ && !is_order_justified(candidate_, now);
}

const failover_planner::member_state*
failover_planner::update_candidate(bool primary_responds, time_point now)
{
    const auto* candidate = find_candidate(now);
    const bool behind =
        candidate != nullptr && (a_paused_replica_is_ahead(*candidate) ||
                                 lacks_passed_on_commits(*candidate, now));
    if (!behind)
    {
        candidate_behind_since_.reset();
    }
    else if (!candidate_behind_since_)
    {
        candidate_behind_since_ = now;
    }
    if (awaits_order(now))
    {
        candidate_ = ordered_;
        return find_candidate(now);
    }
    const bool stays_behind =
        behind && !primary_responds &&
        now - *candidate_behind_since_ >= settings_.behind_limit;
    const bool reinstate = must_reinstate_primary(now);
    if (!stays_behind && !reinstate && !candidate_is_unfit(now))
    {
        return candidate;
    }
    candidate =
        reinstate ? &members_.find(primary_)->second : choose_candidate(now);
    if (candidate != nullptr && primary_responds && is_paused(*candidate))
    {
        candidate = nullptr;
    }
    candidate_ =
        candidate == nullptr ? std::string{} : candidate->definition.instance;
    candidate_behind_since_.reset();
    candidate_deaf_since_.reset();
    return candidate;
}

} // namespace zinniahub
