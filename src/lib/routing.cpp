#include <zinniahub/routing.hpp>

#include <algorithm>
#include <optional>
#include <tuple>

namespace zinniahub
{

namespace
{

/// One step of SplitMix64; maps consecutive values to uniformly distributed
/// ones.
std::uint64_t splitmix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

bool is_fresh_replica(
    const group_view& group, std::size_t index, log_position min_position)
{
    const auto& member = group.members[index];
    return index != group.primary && member.role == member_role::replica &&
           member.in_service && member.reachable &&
           member.position >= min_position;
}

/// Admits a returning member to the fraction `ramp_up_factor` of the reads.
bool is_admitted_during_ramp_up(const member_view& member, std::uint64_t hash)
{
    constexpr double scale = 1.0 / 18446744073709551616.0; // 2^-64
    return member.ramp_up_factor >= 1.0 ||
           static_cast<double>(splitmix64(hash)) * scale <
               member.ramp_up_factor;
}

/// Load relative to the fraction of the normal load that the member may carry.
double relative_load(const member_view& member)
{
    constexpr double min_ramp_up_factor = 0.001;
    return member.load /
           std::clamp(member.ramp_up_factor, min_ramp_up_factor, 1.0);
}

std::optional<std::size_t> choose_replica(
    const group_view& group, const read_request& request, bool apply_ramp_up)
{
    using cost = std::tuple<bool, double, std::uint64_t>;
    std::optional<std::size_t> best;
    cost best_cost;
    for (std::size_t index = 0; index < group.members.size(); ++index)
    {
        const auto& member = group.members[index];
        const auto hash =
            splitmix64(splitmix64(request.selection_seed) + index);
        if (!is_fresh_replica(group, index, request.min_position) ||
            (apply_ramp_up && !is_admitted_during_ramp_up(member, hash)))
        {
            continue;
        }
        const cost candidate_cost{
            member.failure_domain != request.local_domain,
            relative_load(member), hash};
        if (!best || candidate_cost < best_cost)
        {
            best = index;
            best_cost = candidate_cost;
        }
    }
    return best;
}

class primary_only_router final : public request_router
{
public:
    result<std::size_t> choose_read(
        const group_view& group, const read_request& request) const override
    {
        return choose_write(group, request.min_position);
    }
};

class fresh_replica_router final : public request_router
{
public:
    result<std::size_t> choose_read(
        const group_view& group, const read_request& request) const override
    {
        if (const auto replica = choose_replica(group, request, true))
        {
            return *replica;
        }
        if (const auto primary = choose_write(group, request.min_position))
        {
            return *primary;
        }
        // Without a primary, a read on a replica that is still ramping up is
        // better than an error.
        if (const auto replica = choose_replica(group, request, false))
        {
            return *replica;
        }
        return fail(
            errc::no_fresh_replica,
            "no member in service has reached the session's position");
    }
};

} // namespace

result<std::size_t> request_router::choose_write(
    const group_view& group, log_position min_position) const
{
    // Only the term is checked here. The primary checks the index, because the
    // position known to this host is always slightly stale under load.
    if (min_position.term > group.term)
    {
        return fail(
            errc::no_primary,
            "the session has observed a later term than this host");
    }
    if (group.primary >= group.members.size())
    {
        return fail(errc::no_primary, "the group has no known primary");
    }
    const auto& primary = group.members[group.primary];
    if (!primary.reachable || !primary.in_service ||
        primary.role != member_role::primary || primary.term != group.term)
    {
        return fail(
            errc::no_primary,
            "the primary is unreachable, out of service or in another term");
    }
    return group.primary;
}

std::unique_ptr<request_router> make_primary_only_router()
{
    return std::make_unique<primary_only_router>();
}

std::unique_ptr<request_router> make_fresh_replica_router()
{
    return std::make_unique<fresh_replica_router>();
}

} // namespace zinniahub
