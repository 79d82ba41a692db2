#include "coordination/promotion_coordinator.hpp"
#include "coordination/replication_group_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

// Replication groups of the promotion coordinator: their records in the store
// and the members that the planner knows.

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr duration record_retry_interval = std::chrono::milliseconds(500);

/// Interval at which an order checks whether an earlier write of the record has
/// ended.
constexpr duration record_poll_interval = std::chrono::milliseconds(5);

} // namespace

// Reads the records after the holder's key was written: no earlier holder can
// change them any more.
awaitable<void> promotion_coordinator::load_groups()
{
    if (groups_loaded_)
    {
        co_return;
    }
    const auto epoch = duty_.epoch();
    const auto records = co_await store_.list(replication_prefix);
    if (!records || epoch != duty_.epoch() || !duty_.has_lease())
    {
        co_return;
    }
    for (const auto& item : records->items)
    {
        load_group(item);
    }
    groups_loaded_ = true;
}

void promotion_coordinator::load_group(const stored_item& item)
{
    const auto name = item.key.substr(replication_prefix.size());
    auto& service = state_of(name);
    auto group = decode_replication_group(item.value);
    if (!group)
    {
        events_.write(
            "record_unreadable", {{"key", item.key},
                                  {"revision", item.revision},
                                  {"detail", group.error().detail}});
        service.group.on_unreadable(item.revision);
        return;
    }
    events_.write(
        "replication_group_loaded", {{"service", name},
                                     {"members", group->members.size()},
                                     {"primary", group->primary},
                                     {"term", group->term},
                                     {"complete", group->complete},
                                     {"ordered", group->ordered},
                                     {"revision", item.revision}});
    service.planner.on_record(group->primary, group->term, group->complete);
    if (!group->ordered.empty())
    {
        service.planner.on_recorded_order(group->ordered, clock::now());
    }
    service.group.on_loaded(std::move(*group), item.revision, clock::now());
}

awaitable<void> promotion_coordinator::record_group(std::string service)
{
    const auto epoch = duty_.epoch();
    const auto key = std::string(replication_prefix) + service;
    const auto group = state_of(service).group.group();
    store_transaction change;
    change.preconditions.push_back({std::string(duty_key), duty_.revision()});
    change.preconditions.push_back({key, state_of(service).group.revision()});
    const auto value = encode_replication_group(group);
    change.writes.push_back({key, value, 0});
    auto written = co_await store_.commit(change);
    std::optional<std::uint64_t> reread;
    if (!written && written.error().code != errc::platform_unavailable)
    {
        const auto records = co_await store_.list(key);
        if (records)
        {
            reread = 0;
            for (const auto& item : records->items)
            {
                reread = item.key == key ? item.revision : *reread;
                if (item.key == key && item.value == value)
                {
                    // The write took effect, and only its reply was lost.
                    written = item.revision;
                }
            }
        }
    }
    const auto found = services_.find(service);
    if (epoch != duty_.epoch() || found == services_.end())
    {
        co_return;
    }
    auto& state = found->second;
    state.recording = false;
    state.next_record = clock::now() + record_retry_interval;
    if (written)
    {
        state.group.on_recorded(group, *written);
        events_.write(
            "replication_group_recorded", {{"service", service},
                                           {"members", group.members.size()},
                                           {"primary", group.primary},
                                           {"term", group.term},
                                           {"complete", group.complete},
                                           {"ordered", group.ordered},
                                           {"revision", *written}});
    }
    else if (reread)
    {
        state.group.on_reread(*reread);
    }
}

awaitable<bool>
promotion_coordinator::record_order(std::string service, std::string instance)
{
    const auto epoch = duty_.epoch();
    co_await wait_for_record(service);
    if (epoch != duty_.epoch())
    {
        co_return false;
    }
    auto& state = state_of(service);
    state.group.on_order_pending(instance);
    if (!state.group.is_order_recorded(instance))
    {
        state.recording = true;
        co_await record_group(service);
    }
    const auto found = services_.find(service);
    co_return epoch == duty_.epoch() && found != services_.end() &&
        found->second.group.is_order_recorded(instance);
}

awaitable<void>
promotion_coordinator::wait_for_record(const std::string& service)
{
    const auto epoch = duty_.epoch();
    asio::steady_timer timer(io_);
    while (epoch == duty_.epoch() && state_of(service).recording)
    {
        timer.expires_after(record_poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void promotion_coordinator::update_group(
    const service_definition& definition, service_state& service,
    time_point now)
{
    for (const auto& [instance, member] : directory_.members())
    {
        const auto& record = member.record;
        if (record.service == definition.name && member.missing_since == never)
        {
            service.group.on_registered(
                instance,
                {.address = record.address,
                 .failure_domain = record.failure_domain,
                 .started_ms = record.started_ms,
                 .draining = record.draining},
                now);
        }
    }
    service.group.on_primary(
        service.planner.known_primary(), service.planner.known_term());
    for (const auto& instance : service.planner.retired_members())
    {
        service.group.on_retired(instance);
    }
    service.group.on_order_pending(service.planner.pending_order(now));
    service.group.on_tick(now);
    if (service.group.needs_record() && !service.recording &&
        now >= service.next_record)
    {
        service.recording = true;
        asio::co_spawn(io_, record_group(definition.name), asio::detached);
    }
}

std::vector<replication_member>
promotion_coordinator::planner_members(const replication_group& group) const
{
    std::vector<replication_member> members;
    for (const auto& [instance, member] : group.members)
    {
        const bool registered = directory_.is_registered(instance);
        members.push_back(
            {.instance = instance,
             .leaving = member.draining ||
                        directory_.is_evacuated(member.failure_domain),
             .shutdown_announced = member.draining && !registered,
             .replaced =
                 !registered && directory_.is_address_used(member.address),
             .registered = registered});
    }
    return members;
}

} // namespace zinniahub::coordination
