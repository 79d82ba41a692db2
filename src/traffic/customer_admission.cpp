#include "traffic/customer_admission.hpp"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace zinniahub::traffic
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{10};

/// Limits the memory used and the work per tick when a customer sends far more
/// than its rate.
constexpr std::size_t max_waiting = 1024;

} // namespace

customer_admission::customer_admission(
    boost::asio::thread_pool& threads, std::string name, duration token_wait,
    metrics::registry& metrics)
    : timer_(threads)
    , name_(std::move(name))
    , token_wait_(token_wait)
    , granted_(metrics.counter_of(fmt::format(
          "zinniahub_tokens_granted_total{{customer=\"{}\"}}",
          metrics::escape_label(name_))))
    , refused_(metrics.counter_of(fmt::format(
          "zinniahub_rate_refusals_total{{customer=\"{}\"}}",
          metrics::escape_label(name_))))
    , holder_(clock::now())
{
}

void customer_admission::admit(time_point deadline, handler done)
{
    decision_list ended;
    {
        const std::scoped_lock lock(mutex_);
        const auto now = clock::now();
        holder_.note_request(now);
        if (waiting_.size() >= max_waiting)
        {
            refused_.fetch_add(1);
            ended.emplace_back(
                std::move(done), fail(errc::rate_exceeded, name_));
        }
        else
        {
            waiting_.push_back(
                {std::min(deadline, now + token_wait_), std::move(done)});
            decide_waiting(now, ended);
        }
        if (!waiting_.empty())
        {
            schedule_tick();
        }
    }
    call_handlers(ended);
}

/// Grants or refuses waiting requests in order of arrival. The caller of this
/// function holds the mutex.
void customer_admission::decide_waiting(time_point now, decision_list& ended)
{
    while (!waiting_.empty())
    {
        auto& first = waiting_.front();
        const bool expired = now >= first.expires_at;
        if (!expired && !holder_.try_take(now))
        {
            break;
        }
        (expired ? refused_ : granted_).fetch_add(1);
        ended.emplace_back(
            std::move(first.done),
            expired ? result<void>(fail(errc::rate_exceeded, name_))
                    : result<void>());
        waiting_.pop_front();
    }
}

void customer_admission::call_handlers(decision_list& ended)
{
    for (auto& [done, outcome] : ended)
    {
        done(std::move(outcome));
    }
}

void customer_admission::serve_waiting()
{
    decision_list ended;
    {
        const std::scoped_lock lock(mutex_);
        decide_waiting(clock::now(), ended);
        if (!waiting_.empty())
        {
            schedule_tick();
        }
    }
    call_handlers(ended);
}

/// Posts to the thread pool, because the control thread must not run requests.
void customer_admission::post_serve_waiting()
{
    {
        const std::scoped_lock lock(mutex_);
        if (waiting_.empty())
        {
            return;
        }
    }
    boost::asio::post(
        timer_.get_executor(),
        [self = shared_from_this()] { self->serve_waiting(); });
}

/// The caller of this function holds the mutex, which also guards the timer.
void customer_admission::schedule_tick()
{
    if (std::exchange(is_tick_scheduled_, true))
    {
        return;
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code)
        {
            {
                const std::scoped_lock lock(self->mutex_);
                self->is_tick_scheduled_ = false;
            }
            self->serve_waiting();
        });
}

void customer_admission::set_floor(token_holder::floor floor)
{
    {
        const std::scoped_lock lock(mutex_);
        holder_.set_floor(floor, clock::now());
    }
    post_serve_waiting();
}

std::pair<token_demand, time_point>
customer_admission::collect_demand(bool pool_reachable)
{
    const std::scoped_lock lock(mutex_);
    const auto now = clock::now();
    return {holder_.make_demand(now, pool_reachable), now};
}

void customer_admission::on_grant(double tokens, time_point expires_at)
{
    {
        const std::scoped_lock lock(mutex_);
        holder_.on_grant(tokens, expires_at, clock::now());
    }
    post_serve_waiting();
}

} // namespace zinniahub::traffic
