#include <zinniahub/failover_planner.hpp>

#include <algorithm>

// What the failover planner knows of the commits that clients have seen
// acknowledged.

namespace zinniahub
{

namespace
{

/// Covers some seconds of a failover.
constexpr std::size_t max_primary_positions = 100;

} // namespace

void failover_planner::update_hold(
    std::vector<failover_step>& steps, time_point now)
{
    const bool early = current_primary(now) != nullptr && !awaits_order(now) &&
                       now - failover_started_at_ <
                           settings_.order_delay - settings_.hold_lead;
    const bool changing = phase_ == phase::changing;
    const std::string_view candidate = changing ? candidate_ : ordered_;
    if (!changing && !awaits_order(now))
    {
        survey_.release(newest_term(), now);
    }
    else if (!candidate.empty() && sync_replicas_ > 0 && !early)
    {
        survey_.hold(candidate, newest_term(), now);
    }
    auto hosts = survey_.due_hosts(now);
    if (!hosts.empty())
    {
        steps.emplace_back(failover_action::hold_acknowledgements{
            survey_.request(), std::move(hosts)});
    }
}

duration failover_planner::record_delay(time_point now) const
{
    return sync_replicas_ == 0 || survey_.all_promised(now)
               ? duration{}
               : settings_.record_propagation;
}

// The old primary has all commits, so it is worth waiting for while it answers
// now and then.
bool failover_planner::may_wait_for_commits(time_point now) const
{
    const auto primary = members_.find(primary_);
    const auto last_answer =
        primary == members_.end()
            ? failover_started_at_
            : std::max(failover_started_at_, primary->second.queried_at);
    return phase_ == phase::changing &&
           now - last_answer < settings_.missing_commits_limit &&
           now - failover_started_at_ < settings_.total_wait_limit;
}

bool failover_planner::has_passed_on_commits(
    const member_state& member, time_point now) const
{
    return !may_wait_for_commits(now) ||
           (member.status && member.status->received >= survey_.acknowledged());
}

bool failover_planner::lacks_passed_on_commits(
    const member_state& candidate, time_point now) const
{
    return !has_passed_on_commits(candidate, now) &&
           std::any_of(
               members_.begin(), members_.end(),
               [this, now](const auto& entry)
               {
                   const auto& member = entry.second;
                   return is_fresh(member, now) && !has_shut_down(member) &&
                          !member.definition.leaving &&
                          has_passed_on_commits(member, now);
               });
}

void failover_planner::add_primary_position(
    time_point asked_at, log_position position)
{
    primary_positions_.emplace_back(asked_at, position);
    if (primary_positions_.size() > max_primary_positions)
    {
        primary_positions_.pop_front();
    }
}

// What the primary had acknowledged when it reported a position that the
// candidate has, the candidate has too. The hosts know what they passed on
// since.
bool failover_planner::has_all_acknowledged(
    const member_state& candidate, time_point now) const
{
    const auto last = std::find_if(
        primary_positions_.rbegin(), primary_positions_.rend(),
        [&candidate](const auto& entry)
        { return entry.second <= candidate.status->received; });
    return last != primary_positions_.rend() &&
           survey_.is_holding_for(candidate.definition.instance) &&
           survey_.is_complete_since(last->first, now) &&
           candidate.status->received >= survey_.acknowledged();
}

// Whatever such a member lets the primary acknowledge, the hosts hold until the
// candidate has received it.
bool failover_planner::is_dispensable(
    const member_state& member, time_point now) const
{
    const auto* candidate = find_candidate(now);
    return candidate != nullptr && member.unresponsive_since &&
           now - *member.unresponsive_since >= settings_.unresponsive_limit &&
           has_all_acknowledged(*candidate, now);
}

bool failover_planner::may_lead_while_leaving(
    const member_state& member, time_point now) const
{
    return current_primary(now) == nullptr && member.status &&
           has_passed_on_commits(member, now) &&
           std::none_of(
               members_.begin(), members_.end(),
               [this, &member, now](const auto& entry)
               {
                   const auto& other = entry.second;
                   return is_fresh(other, now) && !has_shut_down(other) &&
                          !other.definition.leaving &&
                          other.status->received >= member.status->received;
               });
}

bool failover_planner::covers_unknown_commits(
    const member_state& candidate) const
{
    const auto primary = members_.find(primary_);
    const bool has_primary = primary != members_.end() &&
                             &primary->second != &candidate &&
                             !has_shut_down(primary->second);
    // Without an entry of the primary's term, the candidate may have received
    // nothing for long.
    const bool behind_primary =
        has_primary &&
        (candidate.status->received.term < primary_term_ ||
         (primary->second.status &&
          primary->second.status->received > candidate.status->received));
    const bool knows_last_commits = std::all_of(
        members_.begin(), members_.end(),
        [this](const auto& entry)
        {
            const auto& member = entry.second;
            return entry.first == primary_ || !member.ended_at ||
                   ended_in_earlier_term(member) ||
                   member.needed_position_is_final;
        });
    return !behind_primary && knows_last_commits;
}

time_point failover_planner::commits_missing_since() const
{
    const auto primary = members_.find(primary_);
    const bool silent =
        primary != members_.end() && primary->second.unresponsive_since;
    return silent
               ? std::min(
                     failover_started_at_, *primary->second.unresponsive_since)
               : failover_started_at_;
}

bool failover_planner::former_primary_is_ahead(
    const member_state& candidate, time_point now) const
{
    const auto primary = members_.find(primary_);
    return current_primary(now) == nullptr && may_wait_for_commits(now) &&
           primary != members_.end() && primary->second.status &&
           !has_shut_down(primary->second) &&
           primary->second.status->received > candidate.status->received;
}

bool failover_planner::has_remaining_commits(
    const member_state& candidate, time_point now) const
{
    return std::all_of(
        members_.begin(), members_.end(),
        [this, &candidate, now](const auto& entry)
        {
            const auto& member = entry.second;
            return is_gone(member) ||
                   (is_fresh(member, now) &&
                    member.status->received <= candidate.status->received);
        });
}

bool failover_planner::has_acknowledged_commits(
    const member_state& candidate, time_point now) const
{
    if (!survey_.has_hosts())
    {
        return covers_ended_members(candidate);
    }
    if (!survey_.is_holding_for(candidate.definition.instance))
    {
        return false;
    }
    if (!survey_.all_promised(now) &&
        now - survey_.since() < settings_.promise_limit)
    {
        return false;
    }
    if (!has_passed_on_commits(candidate, now))
    {
        return false;
    }
    if (has_all_acknowledged(candidate, now))
    {
        return true;
    }
    if (now - commits_missing_since() < settings_.missing_commits_limit)
    {
        return covers_ended_members(candidate) &&
               covers_unknown_commits(candidate);
    }
    return !former_primary_is_ahead(candidate, now) &&
           (covers_ended_members(candidate) ||
            has_remaining_commits(candidate, now));
}

} // namespace zinniahub
