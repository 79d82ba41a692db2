#include "coordination/duty_lease.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(100);

/// Pause between calls to end the lease of a duty that was given up. The lease
/// keeps other hosts from the duty until it ends.
constexpr duration release_retry_pause = std::chrono::milliseconds(250);

} // namespace

duty_lease::duty_lease(
    asio::io_context& io, store& target, settings values, handlers callbacks,
    log::event_log& events)
    : io_(io)
    , store_(target)
    , settings_(std::move(values))
    , handlers_(std::move(callbacks))
    , events_(events)
    , last_held_at_(clock::now())
{
}

void duty_lease::start()
{
    asio::co_spawn(io_, maintain(), asio::detached);
}

void duty_lease::on_item(const stored_item& item)
{
    if (item.key != duty_key || item.revision < revision_)
    {
        return;
    }
    revision_ = item.removed ? 0 : item.revision;
    holder_ = item.removed ? std::string{} : item.value;
    vacant_since_ = item.removed ? clock::now() : never;
    held_elsewhere_ =
        held_elsewhere_ || (!item.removed && holder_ != settings_.host);
    if (lease_id_ != 0 && holder_ != settings_.host)
    {
        on_lost("another_holder");
    }
}

bool duty_lease::can_claim(time_point now) const
{
    if (holder_ == settings_.host)
    {
        // The key was written by an earlier process of this host, which has
        // ended.
        return true;
    }
    const bool is_vacant =
        holder_.empty() && (vacant_since_ == never ||
                            now - vacant_since_ >= settings_.claim_delay);
    const bool is_return =
        held_elsewhere_ && now - last_held_at_ < settings_.return_delay;
    return is_vacant && !is_return;
}

awaitable<void> duty_lease::maintain()
{
    asio::steady_timer timer(io_);
    auto next_renewal = time_point::min();
    while (!leaving_)
    {
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = clock::now();
        if (lease_id_ != 0 && !lease_.is_valid(now))
        {
            on_lost("lease_ended");
        }
        if (!handlers_.may_claim() || leaving_)
        {
            continue;
        }
        if (!eligible_)
        {
            if (lease_id_ != 0)
            {
                co_await release("members_lost");
            }
            continue;
        }
        if (lease_id_ != 0)
        {
            co_await prepare();
            if (now >= next_renewal &&
                store_.last_answer_at() >= renewal_failed_at_)
            {
                next_renewal = now + settings_.renew_interval;
                co_await renew();
            }
            continue;
        }
        if (can_claim(now))
        {
            co_await acquire();
            next_renewal = clock::now() + settings_.renew_interval;
        }
    }
}

awaitable<void> duty_lease::acquire()
{
    // Another host may acquire the duty while the lease is granted.
    const auto vacant_at = revision_;
    const auto sent_at = lease_clock::on_request_sent(clock::now());
    const auto lease = co_await store_.grant_lease(settings_.ttl);
    if (!lease)
    {
        co_return;
    }
    store_transaction change;
    change.preconditions.push_back({std::string(duty_key), vacant_at});
    change.writes.push_back({std::string(duty_key), settings_.host, lease->id});
    const auto written = co_await store_.commit(change);
    if (!written)
    {
        co_await store_.revoke_lease(lease->id);
        co_return;
    }
    lease_id_ = lease->id;
    lease_.on_granted(sent_at, lease->ttl);
    revision_ = *written;
    taken_revision_ = *written;
    holder_ = settings_.host;
    held_elsewhere_ = false;
    handlers_.on_taken();
    co_await prepare();
}

awaitable<void> duty_lease::prepare()
{
    if (handlers_.prepare)
    {
        co_await handlers_.prepare();
    }
}

awaitable<void> duty_lease::renew()
{
    const auto sent_at = lease_clock::on_request_sent(clock::now());
    const auto lease = lease_id_;
    const auto ttl = co_await store_.renew_lease(lease);
    if (lease != lease_id_)
    {
        co_return;
    }
    renewal_failed_at_ = ttl ? time_point::min() : clock::now();
    if (!ttl)
    {
        events_.write(
            "duty_renewal_failed", {{"error", to_string(ttl.error().code)},
                                    {"detail", ttl.error().detail}});
    }
    if (ttl)
    {
        lease_.on_granted(sent_at, *ttl);
    }
    else if (ttl.error().code == errc::lease_expired)
    {
        on_lost("lease_unknown");
    }
}

awaitable<result<std::uint64_t>> duty_lease::renew_token()
{
    store_transaction change;
    change.preconditions.push_back({std::string(duty_key), revision_});
    change.writes.push_back({std::string(duty_key), settings_.host, lease_id_});
    const auto epoch = lease_.epoch();
    const auto written = co_await store_.commit(change);
    if (written && epoch == lease_.epoch() && lease_id_ != 0)
    {
        revision_ = std::max(revision_, *written);
    }
    co_return written;
}

void duty_lease::on_lost(std::string_view reason)
{
    events_.write("duty_lost", {{"why", reason}, {"revision", revision_}});
    last_held_at_ = clock::now();
    lease_.on_lost(last_held_at_);
    lease_id_ = 0;
    handlers_.on_lost();
}

awaitable<void> duty_lease::stop()
{
    leaving_ = true;
    if (lease_id_ != 0)
    {
        co_await release("stopping");
    }
}

awaitable<void> duty_lease::release(std::string_view reason)
{
    const auto lease = lease_id_;
    on_lost(reason);
    const auto ends_at = clock::now() + settings_.ttl;
    asio::steady_timer timer(io_);
    auto ended = co_await store_.revoke_lease(lease);
    while (!ended && ended.error().code != errc::lease_expired &&
           clock::now() < ends_at)
    {
        timer.expires_after(release_retry_pause);
        co_await timer.async_wait(asio::use_awaitable);
        ended = co_await store_.revoke_lease(lease);
    }
}

} // namespace zinniahub::coordination
