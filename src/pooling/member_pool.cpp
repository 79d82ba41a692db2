#include "pooling/member_pool.hpp"

#include <algorithm>

namespace zinniahub::pooling
{

namespace
{

/// Time for which a failed member is not used; it doubles with each failure.
constexpr duration initial_suspect_duration = std::chrono::milliseconds(100);
constexpr duration max_suspect_duration = std::chrono::milliseconds(400);

/// Time for which no connection is opened after the member refused one because
/// it has too many; it doubles. Members drop dead connections after seconds.
constexpr duration initial_connect_backoff = std::chrono::milliseconds(20);
constexpr duration max_connect_backoff = std::chrono::milliseconds(160);

/// Age after which a measured lag is ignored and the member is tried again.
constexpr duration lag_validity = std::chrono::milliseconds(500);

/// Time for which a member that refused a write is not taken for the primary.
constexpr duration not_primary_pause = std::chrono::milliseconds(250);

} // namespace

member_pool::limits
member_pool::limits::of(std::uint32_t member_limit, std::size_t hosts)
{
    const auto count = static_cast<std::uint32_t>(hosts);
    return {std::max<std::uint32_t>(member_limit / count, 1), member_limit};
}

member_pool::availability
member_pool::availability_for(std::string_view customer, time_point now) const
{
    if (!has_capacity())
    {
        return availability::none;
    }
    const bool has_idle = std::any_of(
        idle_.begin(), idle_.end(),
        [customer](const pooled_connection_ptr& entry)
        { return entry->customer == customer; });
    if (has_idle)
    {
        return availability::idle;
    }
    const auto total = connection_count();
    const bool may_open = total < limits_.own_share ||
                          (idle_.empty() && total < limits_.member_limit);
    if (may_open && now >= connect_backoff_until_)
    {
        return availability::open;
    }
    return idle_.empty() ? availability::none : availability::replace;
}

pooled_connection_ptr
member_pool::take_idle(std::string_view customer, const session_values& session)
{
    auto best = idle_.end();
    for (auto entry = idle_.begin(); entry != idle_.end(); ++entry)
    {
        if ((*entry)->customer != customer)
        {
            continue;
        }
        best = entry;
        if ((*entry)->values.matches(session))
        {
            break;
        }
    }
    if (best == idle_.end())
    {
        return nullptr;
    }
    auto taken = std::move(*best);
    idle_.erase(best);
    ++in_use_;
    return taken;
}

pooled_connection_ptr member_pool::take_any_idle()
{
    if (idle_.empty())
    {
        return nullptr;
    }
    auto taken = std::move(idle_.front());
    idle_.pop_front();
    ++in_use_;
    return taken;
}

void member_pool::close_oldest_idle()
{
    if (!idle_.empty())
    {
        idle_.back()->link->close();
        idle_.pop_back();
    }
}

void member_pool::close_surplus(time_point now)
{
    while (!idle_.empty())
    {
        const auto limit = idle_.size() > max_idle_
                               ? idle_budget::surplus_idle_limit
                               : idle_budget::idle_limit;
        if (now - idle_.back()->idle_since <= limit)
        {
            return;
        }
        close_oldest_idle();
    }
}

void member_pool::close_all_idle()
{
    while (!idle_.empty())
    {
        close_oldest_idle();
    }
}

void member_pool::on_connected()
{
    --connecting_;
    connect_backoff_ = duration::zero();
    suspect_duration_ = duration::zero();
    suspect_until_ = time_point::min();
}

void member_pool::on_connect_failed(
    const connect_failure& failure, time_point now)
{
    --in_use_;
    --connecting_;
    if (failure.cause == connect_failure::reason::rejected &&
        (failure.code == reply_code::too_many ||
         failure.code == reply_code::busy))
    {
        connect_backoff_ = std::clamp<duration>(
            2 * connect_backoff_, initial_connect_backoff, max_connect_backoff);
        connect_backoff_until_ = now + connect_backoff_;
        if (failure.code == reply_code::too_many)
        {
            // Hosts with requests need the connections more.
            close_all_idle();
        }
        return;
    }
    if (!is_unreachable())
    {
        // Later attempts fail for the same reason.
        estimate_.on_silence();
    }
    mark_suspect(now);
}

void member_pool::on_read_answered(duration taken, reply_code code)
{
    switch (code)
    {
    case reply_code::none:
        estimate_.on_answer(taken);
        break;
    case reply_code::failed:
    case reply_code::timeout:
    case reply_code::busy:
        estimate_.on_failure();
        break;
    default:
        // The request or the member's state was the cause.
        break;
    }
}

void member_pool::mark_suspect(time_point now)
{
    suspect_duration_ = std::clamp<duration>(
        2 * suspect_duration_, initial_suspect_duration, max_suspect_duration);
    suspect_until_ = now + suspect_duration_;
}

void member_pool::return_connection(
    pooled_connection_ptr connection, time_point now)
{
    --in_use_;
    if (!connection->link->is_open())
    {
        return;
    }
    connection->idle_since = now;
    idle_.push_front(std::move(connection));
}

void member_pool::on_state_lost()
{
    for (const auto& connection : idle_)
    {
        connection->values.invalidate();
    }
}

void member_pool::on_call_failed(time_point now)
{
    estimate_.on_silence();
    mark_suspect(now);
    // Other connections to a failed member are probably unusable too.
    close_all_idle();
}

duration member_pool::lag(time_point now) const
{
    const bool known = lag_known_at_ != time_point::min() &&
                       now - lag_known_at_ <= lag_validity;
    return known ? lag_ : duration::zero();
}

void member_pool::on_statement_answered(
    time_point sent_at, time_point now, duration objective, reply_code code)
{
    if (code == reply_code::busy)
    {
        concurrency_.on_refused(sent_at, now);
    }
    else
    {
        concurrency_.on_answer(sent_at, now, objective, calls_.size() + 1);
    }
}

void member_pool::on_answer(const reply& value, time_point now)
{
    last_answer_at_ = now;
    suspect_duration_ = duration::zero();
    suspect_until_ = time_point::min();
    if (value.code == reply_code::read_only)
    {
        deny_primary(now);
    }
}

void member_pool::deny_primary(time_point now)
{
    not_primary_until_ = now + not_primary_pause;
}

} // namespace zinniahub::pooling
