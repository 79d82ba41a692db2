#include <zinniahub/failover_planner.hpp>

#include <algorithm>

// Orders of the failover planner that may still take effect.

namespace zinniahub
{

void failover_planner::on_recorded_order(
    std::string_view instance, time_point now)
{
    ordered_ = instance;
    unsettled_orders_[ordered_] = now + settings_.arrival_limit;
    order_pending_until_ = now + settings_.late_order_limit;
    order_from_record_ = true;
    order_arrives_until_ = now + settings_.arrival_limit;
}

bool failover_planner::order_is_pending(time_point now) const
{
    if (ordered_.empty())
    {
        return false;
    }
    const auto found = members_.find(ordered_);
    const bool may_arrive = found != members_.end() &&
                            is_fresh(found->second, now) &&
                            now < order_arrives_until_;
    return promotion_pending_ || now < order_pending_until_ || may_arrive;
}

bool failover_planner::awaits_order(time_point now) const
{
    return order_is_pending(now) && !order_took_effect_;
}

bool failover_planner::awaits_other_order(
    std::string_view instance, time_point now) const
{
    return order_is_pending(now) && ordered_ != instance;
}

bool failover_planner::has_no_later_entries(
    const member_state& member, time_point limit, time_point now) const
{
    return is_fresh(member, now) && member.queried_at > limit &&
           !member.status->primary &&
           member.status->received.term <= primary_term_;
}

// If the member of the order is gone, another one may have received its
// commits.
bool failover_planner::order_has_settled(
    std::string_view instance, time_point limit, time_point now) const
{
    const auto* primary = current_primary(now);
    const bool primary_answers =
        primary != nullptr && primary->queried_at > limit;
    if (instance == primary_ || primary_answers)
    {
        return true;
    }
    const auto found = members_.find(instance);
    if (found != members_.end() && !is_gone(found->second))
    {
        return has_no_later_entries(found->second, limit, now);
    }
    return std::all_of(
        members_.begin(), members_.end(),
        [this, limit, now](const auto& entry)
        {
            return entry.first == primary_ || is_gone(entry.second) ||
                   has_no_later_entries(entry.second, limit, now);
        });
}

void failover_planner::update_unsettled_orders(time_point now)
{
    std::erase_if(
        unsettled_orders_, [this, now](const auto& entry)
        { return order_has_settled(entry.first, entry.second, now); });
}

std::string_view failover_planner::pending_order(time_point now) const
{
    if (order_is_pending(now))
    {
        return ordered_;
    }
    if (!unsettled_orders_.empty() && current_primary(now) == nullptr)
    {
        return unsettled_orders_.begin()->first;
    }
    return may_be_promoted_again(primary_, now) ? std::string_view{primary_}
                                                : std::string_view{};
}

void failover_planner::clear_order()
{
    ordered_.clear();
    order_pending_until_ = time_point::min();
    order_arrives_until_ = time_point::min();
    order_took_effect_ = false;
    order_from_record_ = false;
}

// An order that names the present primary changes nothing. A repetition without
// a reply may be carried out after the member has stepped down or, if tokens
// are not checked, after the promotion of another one.
void failover_planner::on_order_executed()
{
    if (!order_unknown_)
    {
        clear_order();
        return;
    }
    if (settings_.tokens_checked)
    {
        repeatable_orders_[ordered_] = order_arrives_until_;
        clear_order();
        return;
    }
    order_took_effect_ = true;
    order_from_record_ = false;
}

bool failover_planner::may_be_promoted_again(
    std::string_view instance, time_point now) const
{
    const auto found = repeatable_orders_.find(instance);
    return found != repeatable_orders_.end() && now < found->second;
}

void failover_planner::clear_order_of_exited_member()
{
    const auto found = members_.find(ordered_);
    if (found != members_.end() && has_shut_down(found->second) &&
        !promotion_pending_)
    {
        clear_order();
    }
}

void failover_planner::complete_recorded_order(time_point now)
{
    const auto* primary = current_primary(now);
    if (primary != nullptr && primary->definition.instance == ordered_)
    {
        order_unknown_ = true;
        on_order_executed();
        return;
    }
    if (!order_is_pending(now))
    {
        clear_order();
        return;
    }
    if (!all_have_answered() || (primary == nullptr && !primary_is_lost(now)))
    {
        return;
    }
    order_from_record_ = false;
    reason_ = "inherited";
    resume_failover(now);
}

} // namespace zinniahub
