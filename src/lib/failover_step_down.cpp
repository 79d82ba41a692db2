#include <zinniahub/failover_planner.hpp>

#include <algorithm>

// When the failover planner tells a primary to step down.

namespace zinniahub
{

// The primary's position is that of an earlier status, because entries take
// some time to reach the candidate.
void failover_planner::update_deaf_candidate(
    const member_state& primary, const member_state* candidate, time_point now)
{
    const bool lags = candidate != nullptr &&
                      candidate->status->received < primary.earlier_received;
    if (!lags)
    {
        candidate_deaf_since_.reset();
    }
    else if (!candidate_deaf_since_)
    {
        candidate_deaf_since_ = now;
    }
}

bool failover_planner::candidate_is_deaf(time_point now) const
{
    return candidate_deaf_since_ &&
           now - *candidate_deaf_since_ >= settings_.behind_limit;
}

bool failover_planner::must_step_down_before_order(time_point now) const
{
    const bool leads_on = !settings_.tokens_checked && !candidate_deaf_since_ &&
                          now - failover_started_at_ >= settings_.order_delay;
    return order_unknown_ || leads_on || candidate_is_deaf(now);
}

// A replica that does not answer may have restarted, which ends its pause.
// While the others are paused the primary commits nothing without the
// candidate. It goes on leading if the candidate does not answer, because
// nobody else could lead if that member is lost.
bool failover_planner::must_step_down_after_order(
    const member_state* candidate, time_point now) const
{
    const bool all_paused = std::all_of(
        members_.begin(), members_.end(),
        [this, now](const auto& entry)
        {
            const auto& member = entry.second;
            return !is_other_replica(member, candidate_) ||
                   (is_fresh(member, now) && is_paused(member));
        });
    const bool receives_nothing =
        candidate != nullptr && (order_unknown_ || candidate_is_deaf(now));
    return !settings_.tokens_checked || !all_paused || receives_nothing;
}

bool failover_planner::order_may_follow(
    const member_state& candidate, time_point now) const
{
    if (!candidate_is_deaf(now))
    {
        return true;
    }
    return survey_.has_hosts() ? has_all_acknowledged(candidate, now)
                               : covers_ended_members(candidate);
}

bool failover_planner::failover_is_stuck(
    const member_state& candidate, time_point now) const
{
    return candidate_is_deaf(now) &&
           now - *candidate_deaf_since_ >= settings_.stall_limit &&
           !promotion_pending_ && !awaits_order(now) &&
           !order_may_follow(candidate, now);
}

// Nothing else may delay the promotion of a service without a primary.
bool failover_planner::delay_for_primary(
    std::vector<failover_step>& steps, const member_state& primary,
    const member_state* candidate, time_point now)
{
    update_deaf_candidate(primary, candidate, now);
    const bool after_order =
        awaits_order(now) && must_step_down_after_order(candidate, now);
    const bool before_order = candidate != nullptr &&
                              must_step_down_before_order(now) &&
                              !awaits_other_order(candidate_, now) &&
                              statuses_justify_order(*candidate, now) &&
                              order_may_follow(*candidate, now);
    if (after_order || before_order)
    {
        request_step_down(steps, false, now);
        return true;
    }
    if (candidate != nullptr && failover_is_stuck(*candidate, now))
    {
        start_restoring();
        return true;
    }
    return false;
}

void failover_planner::request_step_down(
    std::vector<failover_step>& steps, bool through_hosts, time_point now)
{
    if (now >= next_step_down_ && !may_be_promoted_again(primary_, now))
    {
        next_step_down_ = now + settings_.urgent_interval;
        steps.emplace_back(
            failover_action::step_down{primary_, pause_term_, through_hosts});
    }
}

bool failover_planner::awaits_step_down(time_point now)
{
    if (!primary_leads_elsewhere(now) || sync_replicas_ == 0)
    {
        return false;
    }
    step_down_awaited_since_ = step_down_awaited_since_.value_or(now);
    return now - *step_down_awaited_since_ < settings_.step_down_limit;
}

bool failover_planner::primary_has_stepped_down(time_point now) const
{
    const auto found = members_.find(primary_);
    const bool confirmed = found != members_.end() &&
                           is_fresh(found->second, now) &&
                           !found->second.status->primary;
    const bool relayed = relayed_instance_ == primary_ &&
                         relayed_at_ >= failover_started_at_ &&
                         !relayed_status_.primary;
    return confirmed || relayed;
}

bool failover_planner::primary_leads_elsewhere(time_point now) const
{
    return current_primary(now) == nullptr && !primary_has_stepped_down(now) &&
           !primary_.empty() && relayed_instance_ == primary_ &&
           relayed_status_.primary &&
           now - relayed_at_ <= settings_.status_validity;
}

} // namespace zinniahub
