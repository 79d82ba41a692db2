#include "coordination/host_registry.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view host_prefix = "zinniahub/host/";

} // namespace

host_registry::host_registry(
    asio::io_context& io, store& target, settings values,
    std::function<void()> on_changed, log::event_log& events)
    : io_(io)
    , store_(target)
    , settings_(std::move(values))
    , on_changed_(std::move(on_changed))
    , events_(events)
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
        registrations_[host] = {item.revision, item.value};
    }
    update_peer_addresses();
    if (host == settings_.host)
    {
        on_changed_();
    }
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

std::uint64_t host_registry::revision_of(std::string_view host) const
{
    const auto found = registrations_.find(host);
    return found == registrations_.end() ? 0 : found->second.revision;
}

awaitable<void> host_registry::maintain_registration()
{
    asio::steady_timer timer(io_);
    while (!leaving_)
    {
        // GCC 12 copies the result of a conditional co_await bit by bit.
        bool ok = false;
        if (lease_id_ == 0)
        {
            ok = co_await register_host();
        }
        else
        {
            ok = co_await renew_lease();
        }
        timer.expires_after(
            ok ? settings_.renew_interval : settings_.retry_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

awaitable<bool> host_registry::register_host()
{
    const auto sent_at = lease_clock::on_request_sent(clock::now());
    const auto lease = co_await store_.grant_lease(settings_.ttl);
    if (!lease)
    {
        log_failed_call("grant_lease", lease.error());
        co_return false;
    }
    store_transaction change;
    change.writes.push_back(
        {registration_key(settings_.host), settings_.address, lease->id});
    const auto written = co_await store_.commit(change);
    if (!written)
    {
        log_failed_call("write_registration", written.error());
        co_return false;
    }
    lease_id_ = lease->id;
    registration_revision_ = *written;
    lease_.on_granted(sent_at, lease->ttl);
    events_.write(
        "host_registered", {{"lease", lease_id_}, {"revision", *written}});
    on_changed_();
    co_return true;
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

awaitable<bool> host_registry::renew_lease()
{
    const auto sent_at = lease_clock::on_request_sent(clock::now());
    const auto ttl = co_await store_.renew_lease(lease_id_);
    if (ttl)
    {
        lease_.on_granted(sent_at, *ttl);
        logged_failure_.clear();
        on_changed_();
        co_return true;
    }
    log_failed_call("renew_lease", ttl.error());
    if (ttl.error().code == errc::lease_expired)
    {
        events_.write("host_registration_lost", {{"lease", lease_id_}});
        lease_.on_lost(clock::now());
        lease_id_ = 0;
        on_changed_();
    }
    co_return false;
}

awaitable<void> host_registry::deregister()
{
    leaving_ = true;
    if (lease_id_ != 0)
    {
        const auto lease = std::exchange(lease_id_, 0);
        lease_.on_lost(clock::now());
        co_await store_.revoke_lease(lease);
    }
}

} // namespace zinniahub::coordination
