#include "pooling/member_choice.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace zinniahub::pooling
{

namespace
{

using ranked_cost = std::tuple<int, std::uint32_t, std::uint64_t>;

/// Members with their costs, cheapest first.
template<typename Cost>
std::vector<const upstream_state*>
in_order(std::vector<std::pair<Cost, const upstream_state*>> ranked)
{
    std::sort(
        ranked.begin(), ranked.end(),
        [](const auto& left, const auto& right)
        { return left.first < right.first; });
    std::vector<const upstream_state*> members;
    members.reserve(ranked.size());
    for (const auto& [cost, member] : ranked)
    {
        members.push_back(member);
    }
    return members;
}

/// Age of a primary registration, used as a cost: the newest is the cheapest.
duration age_of(time_point since, time_point now)
{
    return since == time_point::min() ? duration::max() : now - since;
}

int primary_rank(const member_view& view, const upstream_state& member)
{
    const bool registered = member.primary_since != time_point::min();
    if (registered && member.primary_since > view.primary.confirmed_at)
    {
        return 0;
    }
    if (member.record.instance == view.primary.instance &&
        view.primary.confirmed_at > member.primary_since)
    {
        return 1;
    }
    return registered ? 2 : 3;
}

/// Access to a member, where replacing a connection that is hardly used costs
/// no more than opening one.
member_pool::availability
access_of(const member_pool& pool, std::string_view customer, time_point now)
{
    const auto access = pool.availability_for(customer, now);
    return access == member_pool::availability::replace &&
                   pool.has_replaceable(now)
               ? member_pool::availability::open
               : access;
}

std::tuple<int, duration> primary_cost(
    const member_view& view, const upstream_state& member, time_point now)
{
    return {primary_rank(view, member), age_of(member.primary_since, now)};
}

bool is_excluded(const read_requirements& needs, const std::string& instance)
{
    return std::find(needs.excluded.begin(), needs.excluded.end(), instance) !=
           needs.excluded.end();
}

} // namespace

std::vector<const upstream_state*>
primary_candidates(const member_view& view, time_point now)
{
    std::vector<std::pair<std::tuple<int, duration>, const upstream_state*>>
        ranked;
    for (const auto& [instance, member] : view.directory.members())
    {
        const auto* pool = view.pools.find(instance);
        const bool avoided = view.directory.is_out_of_reach(member) ||
                             (pool != nullptr && (pool->denied_primary(now) ||
                                                  pool->is_suspect(now)));
        if (member.record.service == view.service && !avoided &&
            view.directory.accepts_open_operations(member, now))
        {
            ranked.push_back({primary_cost(view, member, now), &member});
        }
    }
    return in_order(std::move(ranked));
}

bool is_primary_out_of_reach(const member_view& view, time_point now)
{
    const upstream_state* likely = nullptr;
    for (const auto& [instance, member] : view.directory.members())
    {
        const bool is_known = instance == view.primary.instance ||
                              member.primary_since != time_point::min();
        if (member.record.service == view.service && is_known &&
            view.directory.accepts_open_operations(member, now) &&
            (likely == nullptr || primary_cost(view, member, now) <
                                      primary_cost(view, *likely, now)))
        {
            likely = &member;
        }
    }
    return likely != nullptr && view.directory.is_out_of_reach(*likely);
}

std::vector<const upstream_state*> read_candidates(
    const member_view& view, const read_requirements& needs, time_point now)
{
    std::vector<std::pair<ranked_cost, const upstream_state*>> ranked;
    auto rotation = needs.rotation;
    const auto reached_at = view.samples.reached_at(needs.position, now);
    for (const auto& [instance, member] : view.directory.members())
    {
        if (member.record.service != view.service ||
            is_excluded(needs, instance) ||
            view.directory.is_out_of_reach(member) ||
            !view.directory.accepts_new_operations(member, now))
        {
            continue;
        }
        ++rotation;
        const auto* pool = view.pools.find(instance);
        if (pool == nullptr)
        {
            ranked.push_back({{1, 0, rotation % 3}, &member});
            continue;
        }
        const bool primary = instance == view.primary.instance;
        const bool behind = pool->position() < needs.position &&
                            pool->lag(now) > now - reached_at;
        if (pool->is_suspect(now) || (!primary && behind))
        {
            continue;
        }
        ranked.push_back(
            {{static_cast<int>(access_of(*pool, needs.customer, now)),
              2 * pool->in_use() + (primary ? 1U : 0U), rotation % 3},
             &member});
    }
    return in_order(std::move(ranked));
}

} // namespace zinniahub::pooling
