#include <zinniahub/promotion.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

/// One retry covers a lost message. More retries could exceed the limit of 5 s
/// for a change of primary.
constexpr unsigned max_sends = 2;

} // namespace

void group_monitor::start_attempt(
    promotion_actions& actions, bool planned, time_point now)
{
    attempt_ = attempt{};
    attempt_->term = ++highest_term_;
    attempt_->planned = planned;
    attempt_->old_primary = view_.primary;
    attempt_->fences.resize(states_.size());
    send_fences(actions, now);
}

void group_monitor::send_fences(promotion_actions& actions, time_point now)
{
    attempt_->sent_at = now;
    ++attempt_->send_count;
    for (std::size_t index = 0; index < states_.size(); ++index)
    {
        if (attempt_->fences[index].state == fence_state::waiting)
        {
            actions.emplace_back(
                promotion_action::fence{index, attempt_->term});
        }
    }
}

void group_monitor::send_promote(promotion_actions& actions, time_point now)
{
    attempt_->sent_at = now;
    ++attempt_->send_count;
    actions.emplace_back(promotion_action::promote{
        attempt_->target, attempt_->term,
        attempt_->fences[attempt_->target].position});
}

void group_monitor::abandon_attempt(time_point now)
{
    attempt_.reset();
    earliest_attempt_ = now + rank_delay() + random_backoff();
}

promotion_actions group_monitor::on_fence_reply(
    std::size_t member, std::uint64_t term, bool accepted,
    const member_status& status, time_point now)
{
    if (!belongs_to_group(member, status))
    {
        return {};
    }
    update_status_from_reply(member, status);
    if (attempt_ && attempt_->term == term && attempt_->target == no_member)
    {
        attempt_->fences[member] = {
            accepted ? fence_state::accepted : fence_state::refused,
            status.position};
    }
    observe_term(status.term, now);
    return refresh({}, now);
}

promotion_actions group_monitor::on_promote_reply(
    std::size_t member, std::uint64_t term, bool accepted,
    const member_status& status, time_point now)
{
    if (!belongs_to_group(member, status))
    {
        return {};
    }
    update_status_from_reply(member, status);
    observe_term(status.term, now);
    const bool is_current =
        attempt_ && attempt_->term == term && attempt_->target == member;
    if (is_current && accepted)
    {
        attempt_.reset();
        primary_last_seen_ = now;
    }
    else if (is_current)
    {
        abandon_attempt(now);
    }
    return refresh({}, now);
}

promotion_actions
group_monitor::on_call_failed(std::size_t member, time_point now)
{
    promotion_actions actions;
    // The failed call may not have been the promotion, but promote calls are
    // idempotent.
    if (attempt_ && attempt_->target == member && member < states_.size())
    {
        if (attempt_->send_count < max_sends)
        {
            send_promote(actions, now);
        }
        else
        {
            abandon_attempt(now);
        }
    }
    return refresh(std::move(actions), now);
}

void group_monitor::continue_attempt(promotion_actions& actions, time_point now)
{
    if (view_.term >= attempt_->term)
    {
        // The new primary's status arrived before its reply or in place of it.
        attempt_.reset();
        return;
    }
    if (attempt_->target == no_member)
    {
        attempt_->target = choose_target(now);
        if (attempt_->target != no_member)
        {
            attempt_->send_count = 0;
            send_promote(actions, now);
            return;
        }
    }
    const bool timed_out = now - attempt_->sent_at >= settings_.call_timeout;
    if (cannot_reach_majority() ||
        (timed_out && attempt_->send_count >= max_sends))
    {
        abandon_attempt(now);
    }
    else if (timed_out && attempt_->target == no_member)
    {
        send_fences(actions, now);
    }
    else if (timed_out)
    {
        send_promote(actions, now);
    }
}

bool group_monitor::cannot_reach_majority() const
{
    if (attempt_->target != no_member)
    {
        return false;
    }
    // Give up early only if another candidate was accepted; a call to a
    // disconnected member may still succeed.
    bool refused = false;
    std::size_t possible = 0;
    for (std::size_t index = 0; index < states_.size(); ++index)
    {
        const auto state = attempt_->fences[index].state;
        refused = refused || state == fence_state::refused;
        possible +=
            state == fence_state::accepted ||
                    (state == fence_state::waiting && states_[index].connected)
                ? 1
                : 0;
    }
    return refused && possible < majority();
}

bool group_monitor::is_better_target(std::size_t member, std::size_t than) const
{
    if (than == no_member)
    {
        return true;
    }
    const auto& position = attempt_->fences[member].position;
    const auto& other = attempt_->fences[than].position;
    // Only the member with the greatest position is certain to hold every
    // acknowledged write, so being in service is only a tie-breaker.
    return position > other ||
           (position == other && definition_.members[member].in_service &&
            !definition_.members[than].in_service);
}

bool group_monitor::may_still_answer(std::size_t member, time_point now) const
{
    return attempt_->fences[member].state == fence_state::waiting &&
           is_reachable(member, now);
}

std::size_t group_monitor::choose_target(time_point now) const
{
    std::size_t fenced = 0;
    std::size_t best = no_member;
    bool may_improve = false;
    for (std::size_t index = 0; index < states_.size(); ++index)
    {
        if (index == attempt_->old_primary)
        {
            continue;
        }
        may_improve = may_improve || (may_still_answer(index, now) &&
                                      definition_.members[index].in_service);
        if (attempt_->fences[index].state == fence_state::accepted)
        {
            ++fenced;
            best = is_better_target(index, best) ? index : best;
        }
    }
    // A majority without the old primary holds every acknowledged write. A
    // failed primary is promoted again only if there is no such majority,
    // because the other members may be unable to reach it. In a planned change
    // the old primary is counted, so that unacknowledged writes are kept too.
    const auto old = attempt_->old_primary;
    const bool counts_old =
        old != no_member && (attempt_->planned || fenced < majority());
    if (counts_old && attempt_->fences[old].state == fence_state::accepted)
    {
        ++fenced;
        best = is_better_target(old, best) ? old : best;
    }
    if (fenced < majority())
    {
        return no_member;
    }
    const bool expects_better =
        (attempt_->planned && old != no_member && may_still_answer(old, now)) ||
        (may_improve && (best == old || !definition_.members[best].in_service));
    const bool waits =
        expects_better && now - attempt_->sent_at < settings_.call_timeout;
    return waits ? no_member : best;
}

} // namespace zinniahub
