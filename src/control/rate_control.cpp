#include "control/rate_control.hpp"

#include "observability/log.hpp"

#include <utility>

namespace zinniahub::control
{

namespace
{

/// FNV-1a, because all hosts have to agree on the shard of a customer.
std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char symbol : text)
    {
        hash ^= static_cast<unsigned char>(symbol);
        hash *= 1099511628211ULL;
    }
    return hash;
}

constexpr rate_owner::settings owner_settings{};

} // namespace

namespace
{

bool is_empty(const token_demand& demand)
{
    return demand.settled <= 0 && demand.donated <= 0 && demand.wanted <= 0;
}

} // namespace

struct rate_control::batch
{
    v1::TokensRequest request;
    /// When each customer's demand was collected. The lifetime of the grant
    /// counts from then.
    collection_times collected_at;
};

rate_control::rate_control(
    const rate_strategy& strategy, ownership& owners, peer_directory& peers,
    settings values)
    : strategy_(strategy)
    , owners_(owners)
    , peers_(peers)
    , settings_(std::move(values))
{
}

std::uint32_t rate_control::shard_of(std::string_view customer) const
{
    return static_cast<std::uint32_t>(stable_hash(customer) % settings_.shards);
}

void rate_control::set_customers(
    const desired_state& desired, admissions customers)
{
    limits_.clear();
    for (const auto& [name, customer] : desired.customers)
    {
        limits_[name] = {customer.rate, customer.burst};
    }
    customers_ = std::move(customers);
    std::erase_if(
        pools_,
        [this](const auto& item) { return !limits_.contains(item.first); });
    std::erase_if(
        floors_,
        [this](const auto& item) { return !customers_.contains(item.first); });
    update_floors();
}

void rate_control::update_floors()
{
    const auto [active_from, valid_until] = owners_.seat_period();
    for (const auto& [name, admission] : customers_)
    {
        const auto limit = limits_.find(name);
        if (limit == limits_.end())
        {
            continue;
        }
        rate_holder::floor floor;
        floor.limit =
            strategy_
                .divide(limit->second, settings_.seats, owners_.held_seats())
                .floor;
        floor.active_from = active_from;
        floor.valid_until = valid_until;
        auto& known = floors_[name];
        const bool same = known.limit.rate == floor.limit.rate &&
                          known.limit.burst == floor.limit.burst &&
                          known.active_from == floor.active_from &&
                          known.valid_until == floor.valid_until;
        if (!same)
        {
            known = floor;
            admission->set_floor(floor);
        }
    }
}

void rate_control::drop_lost_pools(time_point now)
{
    std::erase_if(
        pools_, [&](const auto& item)
        { return !owners_.owns_shard(shard_of(item.first), now); });
}

rate_owner* rate_control::pool_of(const std::string& customer, time_point now)
{
    const auto limit = limits_.find(customer);
    const auto shard = shard_of(customer);
    if (limit == limits_.end() || !owners_.owns_shard(shard, now))
    {
        return nullptr;
    }
    const auto share =
        strategy_.divide(limit->second, settings_.seats, owners_.held_seats())
            .pool;
    if (share.rate <= 0)
    {
        return nullptr;
    }
    auto& entry = pools_[customer];
    if (!entry.owner)
    {
        // Tokens of an earlier pool, of this host or of another one, expire
        // within their lifetime.
        auto made = rate_owner::make(
            share, owner_settings, now + owner_settings.lifetime, now);
        if (!made)
        {
            pools_.erase(customer);
            return nullptr;
        }
        entry.owner = std::make_unique<rate_owner>(std::move(*made));
        entry.limit = share;
    }
    if (entry.limit.rate != share.rate || entry.limit.burst != share.burst)
    {
        entry.limit = share;
        entry.owner->set_limit(share, now);
    }
    return entry.owner.get();
}

v1::TokensReply
rate_control::on_demand(const v1::TokensRequest& request, time_point now)
{
    v1::TokensReply reply;
    reply.set_owner(true);
    for (const auto& demand : request.demands())
    {
        auto* owner = pool_of(demand.customer(), now);
        if (owner == nullptr)
        {
            reply.set_owner(false);
            continue;
        }
        const auto granted = owner->on_demand(
            request.incarnation(), request.sequence(),
            {demand.settled(), demand.donated(), demand.wanted(),
             demand.held()},
            now);
        auto* grant = reply.add_grants();
        grant->set_customer(demand.customer());
        grant->set_granted(granted);
    }
    return reply;
}

void rate_control::tick(time_point now)
{
    drop_lost_pools(now);
    for (const auto& [customer, limit] : limits_)
    {
        // Pools exist before the first demand, so that it is not delayed.
        pool_of(customer, now);
    }
    update_floors();
    collect();
}

void rate_control::collect()
{
    std::map<std::string, batch> by_owner;
    for (const auto& [name, admission] : customers_)
    {
        const auto* owner = owners_.owner_of_shard(shard_of(name));
        const auto [demand, collected_at] =
            admission->collect_demand(owner != nullptr);
        if (is_empty(demand))
        {
            // Nothing is sent, so no answer is on its way.
            grant(name, 0, collected_at);
        }
        else if (owner != nullptr && !owner->peer_address.empty())
        {
            peers_.set_address(owner->host, owner->peer_address);
            add_demand(by_owner[owner->host], name, demand, collected_at);
        }
    }
    for (auto& [host, item] : by_owner)
    {
        send(host, std::move(item));
    }
}

void rate_control::add_demand(
    batch& to, const std::string& customer, const token_demand& demand,
    time_point collected_at)
{
    auto* item = to.request.add_demands();
    item->set_customer(customer);
    item->set_settled(demand.settled);
    item->set_donated(demand.donated);
    item->set_wanted(demand.wanted);
    item->set_held(demand.held);
    to.collected_at[customer] = collected_at;
}

void rate_control::send(const std::string& owner, batch item)
{
    auto& request = item.request;
    request.set_host(settings_.host);
    request.set_incarnation(settings_.incarnation);
    request.set_sequence(++sequence_);
    if (owner == settings_.host)
    {
        on_granted(on_demand(request, clock::now()), item.collected_at);
        return;
    }
    peers_.tokens(
        owner, std::move(request), settings_.call_timeout,
        [this, collected_at = std::move(item.collected_at)](
            const result<v1::TokensReply>& reply)
        {
            if (reply)
            {
                on_granted(*reply, collected_at);
            }
        });
}

void rate_control::on_granted(
    const v1::TokensReply& reply, const collection_times& collected_at)
{
    for (const auto& granted : reply.grants())
    {
        const auto collected = collected_at.find(granted.customer());
        if (collected != collected_at.end())
        {
            // An answer without tokens confirms the donation.
            grant(granted.customer(), granted.granted(), collected->second);
        }
    }
}

void rate_control::grant(
    const std::string& customer, double tokens, time_point collected_at)
{
    const auto found = customers_.find(customer);
    if (found != customers_.end())
    {
        found->second->on_grant(tokens, collected_at + token_lifetime);
    }
}

} // namespace zinniahub::control
