#include "control/rate_control.hpp"

#include "observability/log.hpp"

#include <utility>

namespace zinniahub::control
{

namespace
{

/// FNV-1a: all hosts have to compute the same shard for a customer.
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

constexpr token_pool::settings owner_settings{};

} // namespace

namespace
{

bool is_empty(const token_demand& demand)
{
    return demand.settled <= 0 && demand.donated <= 0 && demand.wanted <= 0;
}

} // namespace

struct rate_control::demand_batch
{
    v1::TokensRequest request;
    /// When each customer's demand was collected. The lifetime of the granted
    /// tokens starts at that time.
    collection_times collected_at;
};

rate_control::rate_control(
    const rate_strategy& strategy, ownership& owners, peer_client& peers,
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
        published_floors_,
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
        token_holder::floor floor;
        floor.limit =
            strategy_
                .divide(limit->second, settings_.seats, owners_.held_seats())
                .floor;
        floor.active_from = active_from;
        floor.valid_until = valid_until;
        auto& known = published_floors_[name];
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

void rate_control::remove_unowned_pools(time_point now)
{
    std::erase_if(
        pools_, [&](const auto& item)
        { return !owners_.owns_shard(shard_of(item.first), now); });
}

token_pool*
rate_control::find_or_create_pool(const std::string& customer, time_point now)
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
        // The new pool grants only after the tokens of an earlier pool, on this
        // host or another one, have expired.
        auto created = token_pool::make(
            share, owner_settings, now + owner_settings.lifetime, now);
        if (!created)
        {
            pools_.erase(customer);
            return nullptr;
        }
        entry.owner = std::make_unique<token_pool>(std::move(*created));
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
        auto* owner = find_or_create_pool(demand.customer(), now);
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
    remove_unowned_pools(now);
    for (const auto& [customer, limit] : limits_)
    {
        // Pools are created in advance so that the first demand is not delayed.
        find_or_create_pool(customer, now);
    }
    update_floors();
    collect();
}

void rate_control::collect()
{
    std::map<std::string, demand_batch> by_owner;
    for (const auto& [name, admission] : customers_)
    {
        const auto* owner = owners_.owner_of_shard(shard_of(name));
        const auto [demand, collected_at] =
            admission->collect_demand(owner != nullptr);
        if (is_empty(demand))
        {
            // No request is sent, so no reply will follow.
            grant(name, 0, collected_at);
        }
        else if (owner != nullptr && !owner->peer_address.empty())
        {
            peers_.set_address(owner->host, owner->peer_address);
            add_demand(by_owner[owner->host], name, demand, collected_at);
        }
    }
    for (auto& [host, batch] : by_owner)
    {
        send(host, std::move(batch));
    }
}

void rate_control::add_demand(
    demand_batch& batch, const std::string& customer,
    const token_demand& demand, time_point collected_at)
{
    auto* item = batch.request.add_demands();
    item->set_customer(customer);
    item->set_settled(demand.settled);
    item->set_donated(demand.donated);
    item->set_wanted(demand.wanted);
    item->set_held(demand.held);
    batch.collected_at[customer] = collected_at;
}

void rate_control::send(const std::string& owner, demand_batch batch)
{
    auto& request = batch.request;
    request.set_host(settings_.host);
    request.set_incarnation(settings_.incarnation);
    request.set_sequence(++last_sequence_);
    if (owner == settings_.host)
    {
        on_tokens_reply(on_demand(request, clock::now()), batch.collected_at);
        return;
    }
    peers_.tokens(
        owner, std::move(request), settings_.call_timeout,
        [this, collected_at = std::move(batch.collected_at)](
            const result<v1::TokensReply>& reply)
        {
            if (reply)
            {
                on_tokens_reply(*reply, collected_at);
            }
        });
}

void rate_control::on_tokens_reply(
    const v1::TokensReply& reply, const collection_times& collected_at)
{
    for (const auto& granted : reply.grants())
    {
        const auto collected = collected_at.find(granted.customer());
        if (collected != collected_at.end())
        {
            // A reply without tokens still confirms the donation.
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
