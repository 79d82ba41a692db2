#include "control/ownership.hpp"

#include "kv/keys.hpp"
#include "observability/log.hpp"

#include <utility>
#include <variant>

namespace zinniahub::control
{

namespace
{

/// True for keys whose records hosts relay to each other. Seats determine how
/// many hosts share a rate and are read only from the platform.
bool is_relayed(std::string_view key)
{
    return key.starts_with(kv::rate_prefix) ||
           key.starts_with(kv::delegate_prefix);
}

key_owner from_protocol(const v1::Ownership& owner)
{
    return {owner.host(), owner.incarnation(), owner.peer_address()};
}

v1::Ownership to_protocol(const key_owner& owner)
{
    v1::Ownership out;
    out.set_host(owner.host);
    out.set_incarnation(owner.incarnation);
    out.set_peer_address(owner.peer_address);
    return out;
}

owner_planner::table_snapshot from_protocol(const v1::RangeReply& reply)
{
    owner_planner::table_snapshot out;
    out.revision = reply.store_revision();
    for (const auto& entry : reply.entries())
    {
        v1::Ownership owner;
        if (owner.ParseFromString(entry.value()))
        {
            out.table[entry.key()] = {
                from_protocol(owner), entry.lease(), entry.revision()};
        }
    }
    return out;
}

template<typename Reply>
result<void> outcome_of(const result<Reply>& reply)
{
    return reply ? result<void>() : tl::make_unexpected(reply.error());
}

} // namespace

ownership::ownership(kv::async_platform_client& platform, settings values)
    : platform_(platform)
    , call_timeout_(values.call_timeout)
    , planner_(std::move(values.planner))
{
}

void ownership::tick(live_hosts live, time_point now)
{
    perform(planner_.on_tick(std::move(live), now));
}

void ownership::release()
{
    perform(planner_.release());
}

// Calls to the platform

void ownership::perform(const owner_actions& actions)
{
    for (const auto& action : actions)
    {
        std::visit([this](const auto& call) { start(call); }, action);
    }
}

void ownership::start(const read_owners&)
{
    v1::RangeRequest request;
    request.set_prefix(std::string(kv::owner_prefix));
    platform_.range(
        request, call_timeout_,
        [this](const result<v1::RangeReply>& reply)
        {
            perform(planner_.on_owners_read(
                reply.map([](const v1::RangeReply& table)
                          { return from_protocol(table); }),
                clock::now()));
        });
}

void ownership::start(const grant_lease& action)
{
    v1::GrantLeaseRequest request;
    request.set_ttl_ms(static_cast<std::uint32_t>(action.ttl.count()));
    platform_.grant_lease(
        request, call_timeout_,
        [this,
         purpose = action.purpose](const result<v1::GrantLeaseReply>& reply)
        {
            perform(planner_.on_lease_granted(
                purpose,
                reply.map([](const v1::GrantLeaseReply& granted)
                          { return std::uint64_t{granted.lease()}; }),
                clock::now()));
        });
}

void ownership::start(const renew_lease& action)
{
    v1::KeepAliveRequest request;
    request.set_lease(action.lease);
    platform_.keep_alive(
        request, call_timeout_,
        [this, action](const result<v1::KeepAliveReply>& reply)
        {
            if (!reply && is_lease_missing(reply.error()))
            {
                log::warning("lease_lost", "lease={}", action.lease);
            }
            perform(planner_.on_lease_renewed(
                action.purpose, outcome_of(reply), clock::now()));
        });
}

void ownership::start(const revoke_lease& action)
{
    v1::RevokeLeaseRequest request;
    request.set_lease(action.lease);
    platform_.revoke_lease(
        request, call_timeout_, [](const result<v1::RevokeLeaseReply>&) {});
}

void ownership::start(const claim_key& action)
{
    v1::PutRequest request;
    request.set_key(action.key);
    request.set_value(to_protocol(action.owner).SerializeAsString());
    request.set_lease(action.lease);
    platform_.put(
        request, call_timeout_,
        [this, action](const result<v1::PutReply>& reply)
        {
            if (reply)
            {
                log::info(
                    action.purpose == lease_purpose::seat ? "seat" : "owner",
                    "key={} lease={}", action.key, action.lease);
            }
            planner_.on_claimed(
                action,
                reply.map([](const v1::PutReply& written)
                          { return std::uint64_t{written.revision()}; }),
                clock::now());
        });
}

void ownership::start(const remove_key& action)
{
    log::info(
        "owner_given_up", "key={} revision={}", action.key, action.revision);
    v1::DeleteRequest request;
    request.set_key(action.key);
    request.set_expected_revision(action.revision);
    platform_.remove(
        request, call_timeout_,
        [this, action](const result<v1::DeleteReply>& reply)
        { planner_.on_removed(action, outcome_of(reply)); });
}

// Queries

const key_owner* ownership::owner_of_shard(std::uint32_t shard) const
{
    const auto* found = planner_.find(planner_.shard_key(shard));
    return found == nullptr ? nullptr : &found->owner;
}

bool ownership::owns_shard(std::uint32_t shard, time_point now) const
{
    return planner_.owns(planner_.shard_key(shard), now);
}

bool ownership::is_delegate(time_point now) const
{
    return planner_.owns(planner_.delegate_key(), now);
}

std::string ownership::delegate_of(std::string_view failure_domain) const
{
    const auto* found =
        planner_.find(kv::key_of(kv::delegate_prefix, failure_domain));
    return found == nullptr ? std::string() : found->owner.host;
}

std::uint32_t ownership::held_seats() const
{
    return planner_.held_seats();
}

std::pair<time_point, time_point> ownership::seat_period() const
{
    return planner_.seat_period();
}

// Exchange of the owner table with peers

bool ownership::is_table_stale(time_point now) const
{
    return now - planner_.table_read_at() > owner_planner::owner_ttl;
}

google::protobuf::RepeatedPtrField<v1::OwnerRecord>
ownership::known_owners(time_point now) const
{
    google::protobuf::RepeatedPtrField<v1::OwnerRecord> known;
    if (is_table_stale(now))
    {
        return known;
    }
    for (const auto& [key, item] : planner_.table())
    {
        if (is_relayed(key))
        {
            auto& owner = *known.Add();
            owner.set_key(key);
            owner.set_revision(item.revision);
            *owner.mutable_owner() = to_protocol(item.owner);
            owner.set_lease(item.lease);
        }
    }
    return known;
}

void ownership::on_owners_received(
    const google::protobuf::RepeatedPtrField<v1::OwnerRecord>& owners)
{
    for (const auto& received : owners)
    {
        if (is_relayed(received.key()))
        {
            planner_.on_owner_received(
                received.key(), {from_protocol(received.owner()),
                                 received.lease(), received.revision()});
        }
    }
}

} // namespace zinniahub::control
