#include <zinniahub/promotion.hpp>

#include <algorithm>
#include <chrono>

namespace zinniahub
{

namespace
{

/// A promotion takes only a few round trips, so with this delay the next rank
/// rarely interferes.
constexpr duration delay_per_rank = std::chrono::milliseconds(300);
constexpr std::uint32_t max_delayed_rank = 3;

constexpr duration follow_interval = std::chrono::milliseconds(500);
constexpr duration quiesce_interval = std::chrono::seconds(1);

} // namespace

duration group_monitor::rank_delay() const
{
    return delay_per_rank * std::min(settings_.rank, max_delayed_rank);
}

duration group_monitor::random_backoff()
{
    // One step of splitmix64.
    random_state_ += 0x9e3779b97f4a7c15;
    auto value = random_state_;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    value ^= value >> 31;
    const auto limit =
        static_cast<std::uint64_t>(settings_.max_backoff.count());
    return duration(static_cast<duration::rep>(value % (limit + 1)));
}

bool group_monitor::has_lost_primary(std::size_t member, time_point now) const
{
    if (!has_recent_status(member, now))
    {
        return false;
    }
    const auto& status = *states_[member].status;
    if (status.term != view_.term)
    {
        // Members in another term do not replicate from the primary.
        return true;
    }
    const auto named = reported_primary(member, status);
    return named != member &&
           (named == no_member ||
            status.primary_silent >= settings_.suspicion_timeout);
}

bool group_monitor::primary_has_failed(time_point now)
{
    std::size_t without_primary = 0;
    for (std::size_t index = 0; index < states_.size(); ++index)
    {
        without_primary += has_lost_primary(index, now) ? 1 : 0;
    }
    if (without_primary < majority())
    {
        majority_lost_primary_since_.reset();
        return false;
    }
    majority_lost_primary_since_ = majority_lost_primary_since_.value_or(now);
    // A primary that this host can reach but a majority of the members cannot
    // gets no write acknowledged. The second condition gives the members time
    // to follow a new primary.
    return now - primary_last_seen_ >= settings_.suspicion_timeout ||
           now - *majority_lost_primary_since_ >= settings_.suspicion_timeout;
}

void group_monitor::decide(promotion_actions& actions, time_point now)
{
    const bool failed = primary_has_failed(now);
    if (attempt_)
    {
        continue_attempt(actions, now);
        return;
    }
    if (!failed)
    {
        primary_failed_since_.reset();
        consider_planned_change(actions, now);
        return;
    }
    planned_change_.reset();
    primary_failed_since_ = primary_failed_since_.value_or(now);
    if (now >= earliest_attempt_ &&
        now - *primary_failed_since_ >= rank_delay())
    {
        start_attempt(actions, false, now);
    }
}

bool group_monitor::has_successor(log_position position, time_point now) const
{
    for (std::size_t index = 0; index < states_.size(); ++index)
    {
        if (index != view_.primary && definition_.members[index].in_service &&
            has_recent_status(index, now) &&
            states_[index].status->position >= position)
        {
            return true;
        }
    }
    return false;
}

bool group_monitor::is_ready_for_change(time_point now) const
{
    const auto& status = *states_[view_.primary].status;
    return has_recent_status(view_.primary, now) && status.quiesced &&
           status.open_transactions == 0 && has_successor(status.position, now);
}

void group_monitor::consider_planned_change(
    promotion_actions& actions, time_point now)
{
    if (view_.primary == no_member ||
        definition_.members[view_.primary].in_service ||
        !has_successor(log_position{}, now))
    {
        planned_change_.reset();
        return;
    }
    if (!planned_change_)
    {
        planned_change_ = planned_change{};
        planned_change_->noticed_at = now;
    }
    if (now < earliest_attempt_ ||
        now - planned_change_->noticed_at < rank_delay())
    {
        return;
    }
    quiesce_primary(actions, now);
    if (!is_ready_for_change(now))
    {
        planned_change_->ready_since.reset();
    }
    else if (!planned_change_->ready_since)
    {
        planned_change_->ready_since = now;
    }
    // Hosts of a higher rank also wait here, so that rank 0 fences first.
    const bool ready = planned_change_->ready_since &&
                       now - *planned_change_->ready_since >= rank_delay();
    if (ready ||
        now - *planned_change_->started_at >= settings_.quiesce_timeout)
    {
        planned_change_.reset();
        start_attempt(actions, true, now);
    }
}

void group_monitor::quiesce_primary(promotion_actions& actions, time_point now)
{
    if (planned_change_->started_at &&
        now - planned_change_->last_quiesce < quiesce_interval)
    {
        return;
    }
    planned_change_->started_at = planned_change_->started_at.value_or(now);
    planned_change_->last_quiesce = now;
    actions.emplace_back(promotion_action::quiesce{
        view_.primary, view_.term, settings_.quiesce_timeout});
}

void group_monitor::send_follows(promotion_actions& actions, time_point now)
{
    if (attempt_ || known_primary_ == no_member)
    {
        return;
    }
    for (std::size_t index = 0; index < states_.size(); ++index)
    {
        auto& state = states_[index];
        if (index == known_primary_ || !has_recent_status(index, now) ||
            (state.last_follow && now - *state.last_follow < follow_interval))
        {
            continue;
        }
        const auto& status = *state.status;
        if (status.term < view_.term ||
            (status.term == view_.term &&
             reported_primary(index, status) != known_primary_))
        {
            state.last_follow = now;
            actions.emplace_back(
                promotion_action::follow{index, view_.term, known_primary_});
        }
    }
}

} // namespace zinniahub
