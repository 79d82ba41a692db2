#include <zinniahub/registration_planner.hpp>

#include <algorithm>
#include <utility>

namespace zinniahub
{

void registration_planner::on_registration_read(
    std::optional<host_registration> found)
{
    if (!std::exchange(has_read_, true) && found)
    {
        predecessor_revision_ = found->revision;
    }
    if (registration_ != found)
    {
        registration_ = std::move(found);
        // A write that failed because of the difference may be repeated.
        next_write_at_ = time_point::min();
    }
}

bool registration_planner::is_written() const
{
    return lease_ != 0 && registration_ && registration_->lease == lease_ &&
           registration_->revision > predecessor_revision_ &&
           registration_->address == settings_.address;
}

time_point registration_planner::valid_until(time_point read_at) const
{
    if (!is_written())
    {
        return time_point::min();
    }
    const auto read_valid_until = read_at == time_point::min()
                                      ? read_at
                                      : read_at + registration_read_validity;
    return std::max(validity_.valid_until(), read_valid_until);
}

time_point registration_planner::renewal_due_at() const
{
    return renewed_at_ == time_point::min()
               ? next_lease_call_at_
               : std::max(
                     next_lease_call_at_,
                     renewed_at_ + settings_.renew_interval);
}

std::vector<registration_planner::action>
registration_planner::on_tick(time_point now)
{
    std::vector<action> actions;
    if (!has_read_)
    {
        return actions;
    }
    if (lease_ == 0 && registration_ && registration_->lease != ended_lease_)
    {
        lease_ = registration_->lease;
    }
    if (lease_ == 0)
    {
        if (now >= next_lease_call_at_)
        {
            next_lease_call_at_ = now + settings_.retry_interval;
            actions.push_back({action_kind::grant_lease, 0, 0});
        }
        return actions;
    }
    if (now >= renewal_due_at())
    {
        next_lease_call_at_ = now + settings_.renew_retry_interval;
        actions.push_back({action_kind::renew_lease, lease_, 0});
    }
    if (!is_written() && now >= next_write_at_)
    {
        next_write_at_ = now + settings_.retry_interval;
        actions.push_back(
            {action_kind::write_registration, lease_,
             registration_ ? registration_->revision : 0});
    }
    return actions;
}

time_point registration_planner::next_tick_at() const
{
    if (!has_read_)
    {
        return never;
    }
    if (lease_ == 0)
    {
        return next_lease_call_at_;
    }
    return is_written() ? renewal_due_at()
                        : std::min(renewal_due_at(), next_write_at_);
}

void registration_planner::on_lease_granted(
    std::uint64_t lease, time_point sent_at, duration ttl)
{
    // The lease of another answer than the first one is left to end.
    if (lease_ != 0)
    {
        return;
    }
    lease_ = lease;
    renewed_at_ = sent_at;
    next_lease_call_at_ = time_point::min();
    validity_.on_granted(sent_at, ttl);
    next_write_at_ = time_point::min();
}

void registration_planner::on_lease_renewed(
    std::uint64_t lease, time_point sent_at, duration ttl)
{
    if (lease != lease_)
    {
        return;
    }
    renewed_at_ = std::max(renewed_at_, sent_at);
    validity_.on_granted(sent_at, ttl);
}

void registration_planner::on_write_answered(time_point now)
{
    next_write_at_ = now + settings_.read_back_limit;
}

void registration_planner::on_lease_ended(std::uint64_t lease, time_point now)
{
    if (lease != lease_)
    {
        return;
    }
    ended_lease_ = lease;
    lease_ = 0;
    renewed_at_ = time_point::min();
    validity_.on_lost(now);
    next_lease_call_at_ = time_point::min();
}

} // namespace zinniahub
