#include "pooling/member_choice.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace zinniahub::pooling
{

namespace
{

/// Order in which members are tried, whatever their connections cost.
enum class group
{
    test_due,
    usable,
    avoided
};

using ranked_cost =
    std::tuple<group, duration, int, std::uint32_t, std::uint64_t>;
using ranked_members =
    std::vector<std::pair<ranked_cost, const upstream_state*>>;

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

/// A member that may run a read.
struct candidate
{
    const upstream_state* member = nullptr;
    /// Null if this host has not used the member.
    const member_pool* pool = nullptr;
    member_pool::availability access = member_pool::availability::open;
    std::uint32_t load = 0;
    std::uint64_t rotation = 0;
};

duration
expected_time(const member_comparison& comparison, const candidate& value)
{
    const bool idle = value.access == member_pool::availability::idle;
    return value.pool == nullptr ? comparison.expected_time(nullptr, 0, 1)
                                 : comparison.expected_time(
                                       &value.pool->estimate(),
                                       value.pool->in_use(), idle ? 0 : 1);
}

member_judgement
judge(const member_comparison& comparison, const candidate& value)
{
    return value.pool == nullptr ? member_judgement::usable
                                 : comparison.judge(value.pool->estimate());
}

/// Shortest expected time of the usable members with free capacity.
duration best_time(
    const member_comparison& comparison, const std::vector<candidate>& eligible)
{
    auto best = duration::max();
    for (const auto& value : eligible)
    {
        if (value.access != member_pool::availability::none &&
            judge(comparison, value) == member_judgement::usable)
        {
            best = std::min(best, expected_time(comparison, value));
        }
    }
    return best;
}

/// What a read compares its candidates by.
struct ranking
{
    member_comparison comparison;
    /// See `best_time`.
    duration best = duration::max();
};

/// Group of a candidate, and its place in the group of avoided members.
std::pair<group, duration> place_of(
    const candidate& value, const ranking& by, const read_requirements& needs,
    time_point now)
{
    const auto judgement = judge(by.comparison, value);
    if (judgement == member_judgement::usable)
    {
        return {group::usable, duration::zero()};
    }
    // A request that has failed before should not test a member.
    if (needs.excluded.empty() &&
        by.comparison.is_test_due(
            value.pool->estimate(), value.pool->in_use(), needs.rotation, now))
    {
        return {group::test_due, duration::zero()};
    }
    const auto expected = expected_time(by.comparison, value);
    if (judgement == member_judgement::slow && expected <= by.best)
    {
        return {group::usable, duration::zero()};
    }
    return {group::avoided, expected};
}

ranked_members rank(
    const std::vector<candidate>& eligible, const read_requirements& needs,
    time_point now)
{
    ranking by;
    for (const auto& value : eligible)
    {
        by.comparison.add(
            value.pool == nullptr ? nullptr : &value.pool->estimate());
    }
    by.best = best_time(by.comparison, eligible);
    ranked_members ranked;
    for (const auto& value : eligible)
    {
        const auto [place, time] = place_of(value, by, needs, now);
        ranked.push_back(
            {{place, time, static_cast<int>(value.access), value.load,
              value.rotation},
             value.member});
    }
    return ranked;
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

member_comparison compare_members(const member_view& view, time_point now)
{
    member_comparison comparison;
    for (const auto& [instance, member] : view.directory.members())
    {
        const auto* pool = view.pools.find(instance);
        if (pool != nullptr && member.record.service == view.service &&
            view.directory.accepts_new_operations(member, now) &&
            !pool->is_suspect(now))
        {
            comparison.add(&pool->estimate());
        }
    }
    return comparison;
}

std::vector<const upstream_state*> read_candidates(
    const member_view& view, const read_requirements& needs, time_point now)
{
    std::vector<candidate> eligible;
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
            eligible.push_back(
                {&member, nullptr, member_pool::availability::open, 0,
                 rotation % 3});
            continue;
        }
        const bool primary = instance == view.primary.instance;
        const bool behind = pool->position() < needs.position &&
                            pool->lag(now) > now - reached_at;
        if (pool->is_suspect(now) || (!primary && behind))
        {
            continue;
        }
        eligible.push_back(
            {&member, pool, access_of(*pool, needs.customer, now),
             2 * pool->in_use() + (primary ? 1U : 0U), rotation % 3});
    }
    return in_order(rank(eligible, needs, now));
}

} // namespace zinniahub::pooling
