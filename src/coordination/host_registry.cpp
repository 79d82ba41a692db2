#include "coordination/host_registry.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view host_prefix = "zinniahub/host/";

/// Longest time between two looks at the planner.
constexpr duration max_tick_interval = std::chrono::seconds(1);

} // namespace

host_registry::host_registry(
    asio::io_context& io, store& target, settings values, handlers callbacks,
    log::event_log& events)
    : io_(io)
    , store_(target)
    , settings_(std::move(values))
    , handlers_(std::move(callbacks))
    , events_(events)
    , planner_({.address = settings_.address})
    , timer_(io)
{
}

std::string host_registry::registration_key(std::string_view host)
{
    return std::string(host_prefix) + std::string(host);
}

void host_registry::start()
{
    asio::co_spawn(io_, maintain_registration(), asio::detached);
}

void host_registry::on_item(const stored_item& item)
{
    if (!item.key.starts_with(host_prefix))
    {
        return;
    }
    const auto host = item.key.substr(host_prefix.size());
    if (item.removed)
    {
        registrations_.erase(host);
    }
    else
    {
        registrations_[host] = {item.value, item.revision, item.lease};
    }
    update_peer_addresses();
}

void host_registry::on_batch_applied()
{
    const auto own = registrations_.find(settings_.host);
    planner_.on_registration_read(
        own == registrations_.end() ? std::nullopt
                                    : std::optional(own->second));
    const bool is_written = planner_.is_written();
    if (std::exchange(was_written_, is_written) != is_written)
    {
        if (is_written)
        {
            events_.write(
                "host_registered", {{"lease", planner_.lease()},
                                    {"revision", own->second.revision}});
        }
        handlers_.on_changed();
    }
    wake();
}

void host_registry::update_peer_addresses()
{
    peer_addresses_.clear();
    for (const auto& [host, entry] : registrations_)
    {
        if (host != settings_.host)
        {
            peer_addresses_.push_back(entry.address);
        }
    }
}

std::set<std::string> host_registry::hosts() const
{
    std::set<std::string> names;
    for (const auto& [host, entry] : registrations_)
    {
        names.insert(host);
    }
    return names;
}

std::string host_registry::address_of(std::string_view host) const
{
    const auto found = registrations_.find(host);
    return found == registrations_.end() ? std::string{}
                                         : found->second.address;
}

void host_registry::wake()
{
    timer_.cancel();
}

awaitable<void> host_registry::maintain_registration()
{
    while (!leaving_)
    {
        const auto now = clock::now();
        for (const auto& action : planner_.on_tick(now))
        {
            asio::co_spawn(io_, perform(action), asio::detached);
        }
        const auto next =
            std::clamp(planner_.next_tick_at(), now, now + max_tick_interval);
        timer_.expires_after(next - now);
        boost::system::error_code ignored;
        co_await timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

awaitable<void> host_registry::perform(registration_planner::action action)
{
    switch (action.kind)
    {
    case registration_planner::action_kind::grant_lease:
        co_await grant_lease();
        break;
    case registration_planner::action_kind::renew_lease:
        co_await renew_lease(action.lease);
        break;
    case registration_planner::action_kind::write_registration:
        co_await write_registration(action.lease, action.expected_revision);
        break;
    }
    wake();
}

awaitable<void> host_registry::grant_lease()
{
    const auto sent_at = lease_clock::on_request_sent(clock::now());
    const auto lease = co_await store_.grant_lease(settings_.ttl);
    if (!lease)
    {
        log_failed_call("grant_lease", lease.error());
        co_return;
    }
    logged_failure_.clear();
    planner_.on_lease_granted(lease->id, sent_at, lease->ttl);
}

awaitable<void> host_registry::write_registration(
    std::uint64_t lease, std::uint64_t expected_revision)
{
    store_transaction change;
    change.preconditions.push_back(
        {registration_key(settings_.host), expected_revision});
    change.writes.push_back(
        {registration_key(settings_.host), settings_.address, lease});
    const auto written = co_await store_.commit(change);
    if (written || written.error().code == errc::conflict)
    {
        logged_failure_.clear();
        planner_.on_write_answered(clock::now());
        co_return;
    }
    log_failed_call("write_registration", written.error());
    if (written.error().code == errc::lease_expired)
    {
        on_lease_ended(lease);
    }
}

awaitable<void> host_registry::renew_lease(std::uint64_t lease)
{
    const auto sent_at = lease_clock::on_request_sent(clock::now());
    const auto ttl = co_await store_.renew_lease(lease);
    if (ttl)
    {
        logged_failure_.clear();
        planner_.on_lease_renewed(lease, sent_at, *ttl);
        handlers_.on_changed();
        co_return;
    }
    log_failed_call("renew_lease", ttl.error());
    if (ttl.error().code == errc::lease_expired)
    {
        on_lease_ended(lease);
    }
}

void host_registry::on_lease_ended(std::uint64_t lease)
{
    if (lease != planner_.lease())
    {
        return;
    }
    events_.write("host_registration_lost", {{"lease", lease}});
    planner_.on_lease_ended(lease, clock::now());
    was_written_ = false;
    handlers_.on_changed();
}

void host_registry::log_failed_call(std::string_view call, const error& failure)
{
    auto text = fmt::format("{} {}", call, to_string(failure.code));
    if (text == logged_failure_)
    {
        return;
    }
    logged_failure_ = std::move(text);
    events_.write(
        "registration_call_failed",
        {{"call", call}, {"error", to_string(failure.code)}});
}

awaitable<void> host_registry::deregister()
{
    leaving_ = true;
    wake();
    const auto own = registrations_.find(settings_.host);
    if (own == registrations_.end())
    {
        co_return;
    }
    // The lease is left to end: revoked late, it would end the registration of
    // the next process of this host, which takes the lease over.
    store_transaction change;
    change.preconditions.push_back(
        {registration_key(settings_.host), own->second.revision});
    change.removals.push_back(registration_key(settings_.host));
    co_await store_.commit(change);
}

} // namespace zinniahub::coordination
