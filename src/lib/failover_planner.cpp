#include <zinniahub/failover_planner.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

/// A member without a status is asked at this multiple of the interval, so
/// that a silent member does not take the time of the others.
constexpr int silent_interval_factor = 2;

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

void failover_planner::reset()
{
    members_.clear();
    phase_ = phase::steady;
    primary_.clear();
    primary_term_ = 0;
    presumed_ = false;
    stalled_since_.reset();
    ordered_.clear();
    order_pending_ = false;
    confirmed_ = false;
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
        members_[member.instance].definition = member;
    }
    presume_primary();
}

// A host that takes the duty while the primary is out of reach has never seen
// its status.
void failover_planner::presume_primary()
{
    if (!primary_.empty() && !presumed_)
    {
        return;
    }
    primary_.clear();
    presumed_ = false;
    const member_state* found = nullptr;
    for (const auto& [instance, member] : members_)
    {
        if (member.definition.registered_primary)
        {
            if (found != nullptr)
            {
                return;
            }
            found = &member;
        }
    }
    // A member that answers says itself whether it is the primary.
    if (found != nullptr && !found->status)
    {
        primary_ = found->definition.instance;
        presumed_ = true;
    }
}

void failover_planner::on_status(
    std::string_view instance, const replication_status& status,
    time_point sent_at, time_point now)
{
    const auto found = members_.find(instance);
    if (found == members_.end() || sent_at < found->second.asked_at)
    {
        return;
    }
    auto& member = found->second;
    member.status = status;
    member.asked_at = sent_at;
    member.status_at = now;
    member.silent_since.reset();
    member.refused_since.reset();
    if (presumed_ && instance == primary_)
    {
        primary_.clear();
        presumed_ = false;
    }
    if (status.primary && status.term >= primary_term_)
    {
        primary_ = found->first;
        primary_term_ = status.term;
        presumed_ = false;
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
    if (!member.silent_since)
    {
        member.silent_since = now;
    }
    if (refused && !member.refused_since)
    {
        member.refused_since = now;
    }
}

void failover_planner::on_order_result(order_result result, time_point now)
{
    order_pending_ = false;
    if (phase_ == phase::restoring)
    {
        confirmed_ = result == order_result::accepted;
        next_order_ = now + settings_.urgent_interval;
        return;
    }
    if (result == order_result::refused)
    {
        // The member is not running; its status will say so.
        next_order_ = now + 2 * settings_.urgent_interval;
        return;
    }
    next_order_ = now + settings_.order_interval;
}

bool failover_planner::is_fresh(
    const member_state& member, time_point now) const
{
    return member.status && !member.silent_since &&
           now - member.asked_at <= settings_.status_validity;
}

bool failover_planner::has_ended(const member_state& member)
{
    return member.definition.ending && member.refused_since.has_value();
}

std::uint64_t failover_planner::newest_term() const
{
    std::uint64_t newest = primary_term_;
    for (const auto& [instance, member] : members_)
    {
        if (member.status)
        {
            newest = std::max(
                {newest, member.status->term, member.status->held_term});
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
        const bool is_primary = instance == primary_;
        const bool urgent = is_primary && member.silent_since;
        auto pause = urgent ? settings_.urgent_interval : interval;
        if (member.silent_since && !is_primary)
        {
            pause *= silent_interval_factor;
        }
        if (now >= member.next_query)
        {
            member.next_query = now + pause;
            steps.emplace_back(failover_action::query{instance});
        }
    }
}

bool failover_planner::primary_is_lost(time_point now) const
{
    const auto found = members_.find(primary_);
    if (found == members_.end())
    {
        // Nothing is known of a primary, or its registration is long gone:
        // every member has to say that it is none.
        return !members_.empty() &&
               std::all_of(
                   members_.begin(), members_.end(),
                   [this, now](const auto& entry)
                   {
                       return has_ended(entry.second) ||
                              (is_fresh(entry.second, now) &&
                               !entry.second.status->primary);
                   });
    }
    const auto& member = found->second;
    const bool others_deny = std::all_of(
        members_.begin(), members_.end(),
        [this, now](const auto& entry)
        {
            return entry.first == primary_ || has_ended(entry.second) ||
                   is_fresh(entry.second, now);
        });
    if (presumed_ && !others_deny)
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
    return member.silent_since &&
           now - *member.silent_since >= settings_.silence_limit;
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

bool failover_planner::needs_change(time_point now)
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

bool failover_planner::hold_others(
    std::vector<failover_step>& steps, const member_state& candidate,
    time_point now)
{
    const auto term = old_term_ + 1;
    bool all_held = true;
    for (auto& [instance, member] : members_)
    {
        if (instance == primary_ || &member == &candidate || has_ended(member))
        {
            continue;
        }
        const bool held =
            is_fresh(member, now) && member.status->held_term >= term;
        if (!held && now >= member.next_hold)
        {
            member.next_hold = now + settings_.urgent_interval;
            steps.emplace_back(failover_action::hold{instance, term});
        }
        all_held = all_held && held &&
                   member.status->received <= candidate.status->received;
    }
    return all_held;
}

void failover_planner::continue_change(
    std::vector<failover_step>& steps, time_point now)
{
    const auto* primary = current_primary(now);
    if (primary != nullptr && primary->status->term > old_term_)
    {
        stalled_since_.reset();
        phase_ = phase::steady;
        return;
    }
    const bool called_for = primary == nullptr || primary->definition.leaving ||
                            primary_is_stalled(*primary, now);
    if (!called_for && ordered_.empty())
    {
        phase_ = phase::restoring;
        confirmed_ = false;
        return;
    }
    const auto* candidate = choose_candidate(now);
    if (candidate == nullptr || order_pending_)
    {
        return;
    }
    const bool ready =
        sync_replicas_ == 0 || hold_others(steps, *candidate, now);
    if (ready && now >= next_order_)
    {
        order_pending_ = true;
        ordered_ = candidate->definition.instance;
        steps.emplace_back(failover_action::order{ordered_, false});
    }
}

void failover_planner::restore(
    std::vector<failover_step>& steps, time_point now)
{
    const auto* primary = current_primary(now);
    if (primary == nullptr || primary->definition.leaving)
    {
        phase_ = phase::steady;
        return;
    }
    if (!confirmed_)
    {
        if (!order_pending_ && now >= next_order_)
        {
            order_pending_ = true;
            steps.emplace_back(failover_action::order{primary_, true});
        }
        return;
    }
    bool any_held = false;
    for (auto& [instance, member] : members_)
    {
        if (instance == primary_ || !is_fresh(member, now) ||
            member.status->held_term <= primary_term_)
        {
            continue;
        }
        any_held = true;
        if (now >= member.next_hold)
        {
            member.next_hold = now + settings_.urgent_interval;
            steps.emplace_back(failover_action::release{instance});
        }
    }
    if (!any_held)
    {
        phase_ = phase::steady;
    }
}

std::vector<failover_step> failover_planner::on_tick(time_point now)
{
    std::vector<failover_step> steps;
    query_members(steps, now);
    if (phase_ == phase::steady)
    {
        const auto* primary = current_primary(now);
        const bool held_left =
            primary != nullptr &&
            std::any_of(
                members_.begin(), members_.end(),
                [this, now](const auto& entry)
                {
                    return entry.first != primary_ &&
                           is_fresh(entry.second, now) &&
                           entry.second.status->held_term > primary_term_;
                });
        if (needs_change(now))
        {
            phase_ = phase::changing;
            old_term_ = newest_term();
            ordered_.clear();
            next_order_ = now;
        }
        else if (held_left)
        {
            phase_ = phase::restoring;
            confirmed_ = false;
            next_order_ = now;
        }
    }
    if (phase_ == phase::changing)
    {
        continue_change(steps, now);
    }
    else if (phase_ == phase::restoring)
    {
        restore(steps, now);
    }
    return steps;
}

} // namespace zinniahub
