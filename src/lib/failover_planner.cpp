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

failover_summary failover_planner::summary(time_point now) const
{
    failover_summary result;
    result.known = members_.size();
    const auto* candidate = choose_candidate(now);
    if (candidate != nullptr)
    {
        result.candidate = candidate->definition.instance;
        result.candidate_position = candidate->status->received;
    }
    for (const auto& [instance, member] : members_)
    {
        if (!is_fresh(member, now))
        {
            continue;
        }
        ++result.answered;
        result.oldest_status =
            std::max(result.oldest_status, now - member.queried_at);
        if (member.status->paused_term > primary_term_)
        {
            ++result.paused;
            result.farthest_paused =
                std::max(result.farthest_paused, member.status->received);
        }
    }
    return result;
}

void failover_planner::reset()
{
    members_.clear();
    phase_ = phase::steady;
    primary_.clear();
    primary_term_ = 0;
    primary_from_record_ = false;
    group_complete_ = false;
    without_primary_since_.reset();
    stalled_since_.reset();
    promotion_target_.clear();
    promotion_pending_ = false;
    primary_confirmed_ = false;
}

void failover_planner::on_record(
    std::string_view primary, std::uint64_t term, bool complete)
{
    group_complete_ = complete;
    primary_ = primary;
    primary_term_ = term;
    primary_from_record_ = true;
}

void failover_planner::on_members(
    const std::vector<replication_member>& members, std::uint32_t sync_replicas)
{
    sync_replicas_ = sync_replicas;
    std::erase_if(
        members_,
        [&members](const auto& entry)
        {
            return std::none_of(
                members.begin(), members.end(),
                [&entry](const auto& member)
                { return member.instance == entry.first; });
        });
    for (const auto& member : members)
    {
        if (!members_.contains(member.instance))
        {
            without_primary_since_.reset();
        }
        members_[member.instance].definition = member;
    }
}

void failover_planner::on_status(
    std::string_view instance, const replication_status& status,
    time_point sent_at, time_point now)
{
    const auto found = members_.find(instance);
    if (found == members_.end() || sent_at < found->second.queried_at)
    {
        return;
    }
    auto& member = found->second;
    member.status = status;
    member.queried_at = sent_at;
    member.status_at = now;
    member.unresponsive_since.reset();
    member.refused_since.reset();
    if (primary_from_record_ && instance == primary_)
    {
        primary_.clear();
        primary_from_record_ = false;
    }
    if (status.primary && status.term >= primary_term_)
    {
        primary_ = found->first;
        primary_term_ = status.term;
        primary_from_record_ = false;
    }
}

void failover_planner::on_no_status(
    std::string_view instance, bool refused, time_point now)
{
    const auto found = members_.find(instance);
    if (found == members_.end())
    {
        return;
    }
    auto& member = found->second;
    if (!member.unresponsive_since)
    {
        member.unresponsive_since = now;
    }
    if (refused && !member.refused_since)
    {
        member.refused_since = now;
    }
}

void failover_planner::on_promotion_result(
    promotion_result result, time_point now)
{
    promotion_pending_ = false;
    if (phase_ == phase::restoring)
    {
        primary_confirmed_ = result == promotion_result::accepted;
        next_promotion_ = now + settings_.urgent_interval;
        return;
    }
    if (result == promotion_result::refused)
    {
        // The member is not running; the next status query will show it.
        next_promotion_ = now + 2 * settings_.urgent_interval;
        return;
    }
    next_promotion_ = now + settings_.promotion_retry_interval;
}

bool failover_planner::is_fresh(
    const member_state& member, time_point now) const
{
    return member.status && !member.unresponsive_since &&
           now - member.queried_at <= settings_.status_validity;
}

bool failover_planner::has_shut_down(const member_state& member)
{
    return member.definition.replaced ||
           (member.definition.shutdown_announced &&
            member.refused_since.has_value());
}

void failover_planner::update_ended_members(time_point now)
{
    const auto* primary = current_primary(now);
    for (auto& [instance, member] : members_)
    {
        if (!has_shut_down(member))
        {
            member.ended_at.reset();
            member.needed_position.reset();
            continue;
        }
        if (!member.ended_at)
        {
            member.ended_at = now;
            member.ended_in_term = newest_term();
        }
        if (!member.needed_position && primary != nullptr &&
            primary->queried_at > *member.ended_at)
        {
            member.needed_position = primary->status->received;
        }
    }
}

std::vector<std::string> failover_planner::retired_members() const
{
    log_position farthest;
    for (const auto& [instance, member] : members_)
    {
        if (instance != primary_ && member.status && !has_shut_down(member))
        {
            farthest = std::max(farthest, member.status->received);
        }
    }
    std::vector<std::string> retired;
    for (const auto& [instance, member] : members_)
    {
        const bool later_term = member.ended_at && !primary_from_record_ &&
                                primary_term_ > member.ended_in_term;
        const bool covered =
            member.needed_position && farthest >= *member.needed_position;
        if (instance != primary_ && (later_term || covered))
        {
            retired.push_back(instance);
        }
    }
    return retired;
}

std::uint64_t failover_planner::newest_term() const
{
    std::uint64_t newest = primary_term_;
    for (const auto& [instance, member] : members_)
    {
        if (member.status)
        {
            newest = std::max(
                {newest, member.status->term, member.status->paused_term});
        }
    }
    return newest;
}

const failover_planner::member_state*
failover_planner::current_primary(time_point now) const
{
    const auto found = members_.find(primary_);
    if (found == members_.end() || !is_fresh(found->second, now) ||
        !found->second.status->primary ||
        found->second.status->term < primary_term_)
    {
        return nullptr;
    }
    return &found->second;
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
                   return presumed_lost || has_shut_down(member) ||
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
    if (primary->definition.leaving)
    {
        reason_ = "primary_leaving";
        return choose_candidate(now) != nullptr;
    }
    reason_ = "replication_stalled";
    return primary_is_stalled(*primary, now);
}

const failover_planner::member_state*
failover_planner::choose_candidate(time_point now) const
{
    const member_state* best = nullptr;
    for (const auto& [instance, member] : members_)
    {
        if (instance == primary_ || !is_fresh(member, now) ||
            member.definition.leaving || member.status->primary)
        {
            continue;
        }
        if (best == nullptr || member.status->received > best->status->received)
        {
            best = &member;
        }
    }
    return best;
}

bool failover_planner::pause_other_replicas(
    std::vector<failover_step>& steps, const member_state& candidate,
    time_point now)
{
    const auto term = previous_term_ + 1;
    bool all_paused = true;
    for (auto& [instance, member] : members_)
    {
        if (instance == primary_ || &member == &candidate ||
            has_shut_down(member))
        {
            continue;
        }
        const bool paused =
            is_fresh(member, now) && member.status->paused_term >= term;
        if (!paused && now >= member.next_replication_request)
        {
            member.next_replication_request = now + settings_.urgent_interval;
            steps.emplace_back(
                failover_action::pause_replication{instance, term});
        }
        all_paused = all_paused && paused &&
                     member.status->received <= candidate.status->received;
    }
    return all_paused;
}

void failover_planner::continue_failover(
    std::vector<failover_step>& steps, time_point now)
{
    const auto* primary = current_primary(now);
    if (primary != nullptr && primary->status->term > previous_term_)
    {
        stalled_since_.reset();
        phase_ = phase::steady;
        return;
    }
    const bool still_needed = primary == nullptr ||
                              primary->definition.leaving ||
                              primary_is_stalled(*primary, now);
    if (!still_needed && promotion_target_.empty())
    {
        phase_ = phase::restoring;
        primary_confirmed_ = false;
        return;
    }
    const auto* candidate = choose_candidate(now);
    if (candidate == nullptr || promotion_pending_)
    {
        return;
    }
    const bool ready =
        sync_replicas_ == 0 || pause_other_replicas(steps, *candidate, now);
    if (ready && now >= next_promotion_)
    {
        promotion_pending_ = true;
        promotion_target_ = candidate->definition.instance;
        steps.emplace_back(
            failover_action::order_promotion{promotion_target_, false});
    }
}

void failover_planner::resume_replicas(
    std::vector<failover_step>& steps, time_point now)
{
    const auto* primary = current_primary(now);
    if (primary == nullptr || primary->definition.leaving)
    {
        phase_ = phase::steady;
        return;
    }
    if (!primary_confirmed_)
    {
        if (!promotion_pending_ && now >= next_promotion_)
        {
            promotion_pending_ = true;
            steps.emplace_back(
                failover_action::order_promotion{primary_, true});
        }
        return;
    }
    bool any_paused = false;
    for (auto& [instance, member] : members_)
    {
        if (instance == primary_ || !is_fresh(member, now) ||
            member.status->paused_term <= primary_term_)
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
        phase_ = phase::steady;
    }
}

std::vector<failover_step> failover_planner::on_tick(time_point now)
{
    std::vector<failover_step> steps;
    query_members(steps, now);
    update_ended_members(now);
    update_incomplete_group(now);
    if (phase_ == phase::steady)
    {
        const auto* primary = current_primary(now);
        const bool replicas_paused =
            primary != nullptr &&
            std::any_of(
                members_.begin(), members_.end(),
                [this, now](const auto& entry)
                {
                    return entry.first != primary_ &&
                           is_fresh(entry.second, now) &&
                           entry.second.status->paused_term > primary_term_;
                });
        if (needs_failover(now))
        {
            phase_ = phase::changing;
            previous_term_ = newest_term();
            promotion_target_.clear();
            next_promotion_ = now;
        }
        else if (replicas_paused)
        {
            phase_ = phase::restoring;
            primary_confirmed_ = false;
            next_promotion_ = now;
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
    return steps;
}

} // namespace zinniahub
