#include <zinniahub/failover_planner.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

/// Unresponsive replicas are queried at this multiple of the interval, so that
/// they do not delay the queries to other members.
constexpr int unresponsive_interval_factor = 2;

} // namespace

std::string_view failover_planner::state() const
{
    switch (phase_)
    {
    case phase::steady:
        return "steady";
    case phase::changing:
        return "changing";
    case phase::restoring:
        return "restoring";
    }
    return "unknown";
}

void failover_planner::on_promotion_result(
    promotion_result result, time_point now)
{
    promotion_pending_ = false;
    if (result == promotion_result::refused)
    {
        // The member is not running; the next status query will show it.
        next_promotion_ = now + 2 * settings_.urgent_interval;
        return;
    }
    const bool unknown = result == promotion_result::unknown;
    order_unknown_ = order_unknown_ || unknown;
    const auto limit =
        unknown ? settings_.late_order_limit : settings_.promotion_limit;
    order_pending_until_ = std::max(order_pending_until_, now + limit);
    next_promotion_ = now + settings_.promotion_retry_interval;
    if (unknown)
    {
        order_arrives_until_ = now + settings_.arrival_limit;
    }
    auto& unsettled = unsettled_orders_[ordered_];
    unsettled = std::max(
        unsettled, unknown ? order_arrives_until_ : order_pending_until_);
}

void failover_planner::query_members(
    std::vector<failover_step>& steps, time_point now)
{
    const auto interval = phase_ == phase::steady ? settings_.query_interval
                                                  : settings_.urgent_interval;
    for (auto& [instance, member] : members_)
    {
        if (member.definition.replaced)
        {
            continue;
        }
        const bool is_primary = instance == primary_;
        const bool urgent = is_primary && member.unresponsive_since;
        auto delay = urgent ? settings_.urgent_interval : interval;
        if (member.unresponsive_since && !is_primary)
        {
            delay *= unresponsive_interval_factor;
        }
        if (now >= member.next_query)
        {
            member.next_query = now + delay;
            steps.emplace_back(failover_action::query{instance});
            if (urgent)
            {
                steps.emplace_back(failover_action::query{instance, true});
            }
        }
    }
}

bool failover_planner::no_member_is_primary(time_point now) const
{
    return !members_.empty() &&
           std::all_of(
               members_.begin(), members_.end(),
               [this, now](const auto& entry)
               {
                   const auto& member = entry.second;
                   const bool presumed_lost = primary_from_record_ &&
                                              entry.first == primary_ &&
                                              !is_fresh(member, now);
                   return presumed_lost || is_gone(member) ||
                          (is_fresh(member, now) && !member.status->primary);
               });
}

void failover_planner::update_incomplete_group(time_point now)
{
    if (!no_member_is_primary(now))
    {
        without_primary_since_.reset();
    }
    else if (!without_primary_since_)
    {
        without_primary_since_ = now;
    }
}

bool failover_planner::primary_is_lost(time_point now) const
{
    const bool group_is_known =
        group_complete_ ||
        (without_primary_since_ &&
         now - *without_primary_since_ >= settings_.incomplete_group_delay);
    const auto found = members_.find(primary_);
    if (found == members_.end() || found->second.definition.replaced)
    {
        // No primary is known, or it has exited: the primary is lost only if
        // every member reports that it is not the primary.
        return group_is_known && no_member_is_primary(now);
    }
    const auto& member = found->second;
    if (primary_from_record_ && !(group_is_known && no_member_is_primary(now)))
    {
        return false;
    }
    if (member.refused_since &&
        now - *member.refused_since >= settings_.refusal_limit)
    {
        return true;
    }
    if (is_fresh(member, now))
    {
        return !member.status->primary;
    }
    return member.unresponsive_since &&
           now - *member.unresponsive_since >= settings_.unresponsive_limit;
}

bool failover_planner::primary_is_stalled(
    const member_state& primary, time_point now)
{
    if (sync_replicas_ == 0)
    {
        return false;
    }
    bool any = false;
    log_position farthest;
    for (const auto& [instance, member] : members_)
    {
        if (&member != &primary && is_fresh(member, now))
        {
            any = true;
            farthest = std::max(farthest, member.status->received);
        }
    }
    if (!any || farthest >= primary.status->received)
    {
        stalled_since_.reset();
        return false;
    }
    if (!stalled_since_)
    {
        stalled_since_ = now;
    }
    return now - *stalled_since_ >= settings_.stall_limit;
}

bool failover_planner::needs_failover(time_point now)
{
    const auto* primary = current_primary(now);
    if (primary == nullptr)
    {
        reason_ = "primary_lost";
        return primary_is_lost(now);
    }
    // A candidate that is paused would not receive the commits that are
    // acknowledged until the order takes effect.
    const bool stalled = primary_is_stalled(*primary, now);
    reason_ =
        primary->definition.leaving ? "primary_leaving" : "replication_stalled";
    const auto* candidate = choose_candidate(now);
    return (primary->definition.leaving || stalled) && candidate != nullptr &&
           !is_paused(*candidate) && covers_ended_members(*candidate);
}

bool failover_planner::is_other_replica(
    const member_state& member, std::string_view candidate) const
{
    const auto& instance = member.definition.instance;
    return instance != primary_ && instance != candidate && !is_gone(member);
}

void failover_planner::pause_other_replicas(
    std::vector<failover_step>& steps, time_point now)
{
    // A member refuses a pause in a term that it knows.
    pause_term_ = std::max(pause_term_, newest_term() + 1);
    const auto term = pause_term_;
    const std::string_view exempt =
        must_pause_candidate(now) ? std::string_view{} : candidate_;
    for (auto& [instance, member] : members_)
    {
        const bool paused =
            is_fresh(member, now) && member.status->paused_term >= term;
        if (is_other_replica(member, exempt) && !paused &&
            now >= member.next_replication_request)
        {
            member.next_replication_request = now + settings_.urgent_interval;
            steps.emplace_back(
                failover_action::pause_replication{instance, term});
        }
    }
}

bool failover_planner::is_recent(
    const member_state& member, time_point now) const
{
    return is_fresh(member, now) &&
           now - member.queried_at <= settings_.order_status_age;
}

bool failover_planner::other_replicas_are_paused(time_point now) const
{
    return std::all_of(
        members_.begin(), members_.end(),
        [this, now](const auto& entry)
        {
            const auto& member = entry.second;
            return !is_other_replica(member, candidate_) ||
                   is_dispensable(member, now) ||
                   (is_fresh(member, now) &&
                    member.status->paused_term >= pause_term_);
        });
}

bool failover_planner::statuses_justify_order(
    const member_state& candidate, time_point now) const
{
    const bool recent = std::all_of(
        members_.begin(), members_.end(),
        [this, now](const auto& entry)
        {
            const auto& member = entry.second;
            return !is_other_replica(member, candidate_) ||
                   is_dispensable(member, now) || is_recent(member, now);
        });
    return recent && is_recent(candidate, now) &&
           other_replicas_are_paused(now);
}

bool failover_planner::is_order_justified(
    std::string_view instance, time_point now) const
{
    const auto* candidate = find_candidate(now);
    if (phase_ != phase::changing || candidate == nullptr ||
        candidate_ != instance || !primary_proof_has_expired(now) ||
        awaits_other_order(instance, now))
    {
        return false;
    }
    if (sync_replicas_ == 0)
    {
        return true;
    }
    const bool has_everything = statuses_justify_order(*candidate, now) &&
                                !a_paused_replica_is_ahead(*candidate) &&
                                has_acknowledged_commits(*candidate, now);
    return has_everything ||
           (is_recent(*candidate, now) && may_be_reinstated(*candidate, now));
}

void failover_planner::start_failover(time_point now)
{
    phase_ = phase::changing;
    previous_term_ = newest_term();
    pause_term_ = std::max(previous_term_, newest_paused_term()) + 1;
    failover_started_at_ = now;
    candidate_.clear();
    candidate_behind_since_.reset();
    candidate_deaf_since_.reset();
    reinstatable_since_.reset();
    order_unknown_ = false;
    all_paused_since_.reset();
    step_down_awaited_since_.reset();
    next_promotion_ = now;
}

// It is not known whether the member of the order receives, nor whether the
// order was accepted.
void failover_planner::resume_failover(time_point now)
{
    start_failover(now);
    candidate_ = ordered_;
    order_unknown_ = true;
}

void failover_planner::start_restoring()
{
    phase_ = phase::restoring;
    candidate_.clear();
}

void failover_planner::on_new_primary(time_point now)
{
    if (awaits_order(now) && ordered_ != primary_)
    {
        // This primary was promoted by an order of another host. The pending
        // order takes effect too, and its member may lack the primary's
        // commits.
        resume_failover(now);
        return;
    }
    on_order_executed();
    stalled_since_.reset();
    // The promotion releases only pauses with terms up to its own.
    start_restoring();
}

void failover_planner::order_candidate(std::vector<failover_step>& steps)
{
    if (ordered_ != candidate_)
    {
        clear_order();
        ordered_ = candidate_;
    }
    promotion_pending_ = true;
    steps.emplace_back(failover_action::order_promotion{candidate_});
}

void failover_planner::continue_failover(
    std::vector<failover_step>& steps, time_point now)
{
    const auto* primary = current_primary(now);
    if (primary != nullptr && primary->status->term > previous_term_)
    {
        on_new_primary(now);
        if (phase_ != phase::changing)
        {
            return;
        }
    }
    const bool still_needed = primary == nullptr ||
                              primary->definition.leaving ||
                              primary_is_stalled(*primary, now);
    update_former_primary(now);
    const auto* candidate = update_candidate(primary != nullptr, now);
    const bool abandoned = !still_needed && !awaits_order(now);
    const bool no_candidate = primary != nullptr && candidate_.empty();
    if (abandoned || no_candidate)
    {
        start_restoring();
        return;
    }
    if (candidate_.empty())
    {
        return;
    }
    const bool pause = sync_replicas_ > 0 || !settings_.tokens_checked;
    if (pause)
    {
        pause_other_replicas(steps, now);
    }
    update_all_paused(candidate, now);
    if (pause && primary != nullptr &&
        delay_for_primary(steps, *primary, candidate, now))
    {
        return;
    }
    if (pause && awaits_order(now) && primary_leads_elsewhere(now))
    {
        request_step_down(steps, true, now);
    }
    if (candidate == nullptr)
    {
        return;
    }
    const bool early = primary != nullptr && sync_replicas_ > 0 &&
                       now - failover_started_at_ < settings_.order_delay;
    if (promotion_pending_ || early || now < next_promotion_ ||
        !is_order_justified(candidate_, now))
    {
        return;
    }
    if (awaits_step_down(now))
    {
        request_step_down(steps, true, now);
        return;
    }
    order_candidate(steps);
}

void failover_planner::resume_replicas(
    std::vector<failover_step>& steps, time_point now)
{
    if (current_primary(now) == nullptr)
    {
        phase_ = phase::steady;
        return;
    }
    if (awaits_other_order(primary_, now))
    {
        return;
    }
    bool any_paused = false;
    for (auto& [instance, member] : members_)
    {
        if (instance == primary_ || !is_fresh(member, now) ||
            !is_paused(member))
        {
            continue;
        }
        any_paused = true;
        if (now >= member.next_replication_request)
        {
            member.next_replication_request = now + settings_.urgent_interval;
            steps.emplace_back(failover_action::resume_replication{instance});
        }
    }
    if (!any_paused)
    {
        stalled_since_.reset();
        phase_ = phase::steady;
    }
}

std::vector<failover_step> failover_planner::on_tick(time_point now)
{
    std::vector<failover_step> steps;
    query_members(steps, now);
    update_ended_members(now);
    update_incomplete_group(now);
    clear_order_of_exited_member();
    update_unsettled_orders(now);
    if (!settings_.tokens_checked)
    {
        demote_replaced_primaries(steps, now);
    }
    if (phase_ == phase::steady && order_from_record_)
    {
        complete_recorded_order(now);
    }
    else if (phase_ == phase::steady)
    {
        if (needs_failover(now))
        {
            start_failover(now);
        }
        else if (
            current_primary(now) != nullptr && replicas_are_paused(now) &&
            all_have_answered())
        {
            start_restoring();
        }
    }
    if (phase_ == phase::changing)
    {
        continue_failover(steps, now);
    }
    else if (phase_ == phase::restoring)
    {
        resume_replicas(steps, now);
    }
    update_hold(steps, now);
    return steps;
}

} // namespace zinniahub
