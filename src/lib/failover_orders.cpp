#include <zinniahub/failover_planner.hpp>

// Orders of the failover planner that may still take effect.

namespace zinniahub
{

void failover_planner::on_recorded_order(
    std::string_view instance, time_point now)
{
    ordered_ = instance;
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

bool failover_planner::order_may_have_taken_effect(time_point now) const
{
    if (ordered_.empty() || ordered_ == primary_)
    {
        return false;
    }
    if (order_is_pending(now))
    {
        return true;
    }
    const auto* primary = current_primary(now);
    const auto found = members_.find(ordered_);
    const bool primary_goes_on =
        primary != nullptr && primary->queried_at > order_pending_until_;
    if (order_pending_until_ == time_point::min() || primary_goes_on ||
        found == members_.end() || is_gone(found->second))
    {
        return false;
    }
    const auto& member = found->second;
    return !is_fresh(member, now) || member.status->primary ||
           member.queried_at <= order_pending_until_;
}

std::string_view failover_planner::pending_order(time_point now) const
{
    if (order_may_have_taken_effect(now) || order_is_pending(now))
    {
        return ordered_;
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

void failover_planner::clear_settled_order(time_point now)
{
    const auto found = members_.find(ordered_);
    const bool has_exited = found != members_.end() &&
                            has_shut_down(found->second) && !promotion_pending_;
    const bool has_settled =
        !order_is_pending(now) && !order_may_have_taken_effect(now);
    if (has_exited || has_settled)
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
        order_from_record_ = false;
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
