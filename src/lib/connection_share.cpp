#include <zinniahub/connection_share.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

/// Idle time after which a connection above the floor is closed.
constexpr duration idle_timeout = std::chrono::milliseconds(500);
/// Time without new connections after a refused one. The member's status
/// arrives every 200 ms; an earlier attempt would use the same outdated count.
constexpr duration refusal_backoff = std::chrono::milliseconds(200);

std::uint32_t floor_connections(const connection_usage& usage)
{
    return std::max(1U, usage.limit / std::max(1U, usage.hosts));
}

std::uint32_t saturating_sub(std::uint32_t left, std::uint32_t right)
{
    return left > right ? left - right : 0;
}

bool refused_recently(const connection_usage& usage, time_point now)
{
    return usage.refused_at != time_point{} &&
           now - usage.refused_at < refusal_backoff;
}

/// Number of connections that the waiting requests need in addition to the idle
/// ones.
std::uint32_t missing_connections(const connection_usage& usage)
{
    return saturating_sub(usage.waiting_own, usage.idle_own);
}

std::uint32_t connections_above_floor(const connection_usage& usage)
{
    return saturating_sub(usage.open_own, floor_connections(usage));
}

class fixed_split_strategy final : public connection_strategy
{
public:
    std::uint32_t
    to_open(const connection_usage& usage, time_point now) const override
    {
        if (refused_recently(usage, now))
        {
            return 0;
        }
        return std::min(
            missing_connections(usage),
            saturating_sub(floor_connections(usage), usage.open_own));
    }

    std::uint32_t
    to_close(const connection_usage& usage, time_point) const override
    {
        // The floor shrinks when hosts join.
        return std::min(usage.idle_own, connections_above_floor(usage));
    }
};

class shared_strategy final : public connection_strategy
{
public:
    std::uint32_t
    to_open(const connection_usage& usage, time_point now) const override
    {
        if (refused_recently(usage, now))
        {
            return 0;
        }
        // The status may not include connections that this host is opening.
        const auto total = std::max(usage.open_total, usage.open_own);
        const auto below_floor =
            saturating_sub(floor_connections(usage), usage.open_own);
        const auto free = saturating_sub(usage.limit, total);
        return std::min(
            missing_connections(usage), std::max(below_floor, free));
    }

    std::uint32_t
    to_close(const connection_usage& usage, time_point now) const override
    {
        const auto surplus =
            std::min(usage.idle_own, connections_above_floor(usage));
        if (surplus == 0 || usage.waiting_own > 0)
        {
            return 0;
        }
        const bool full = usage.limit > 0 && usage.open_total >= usage.limit;
        const bool idle_long =
            usage.idle_since != never && now - usage.idle_since >= idle_timeout;
        return full || idle_long ? surplus : 0;
    }
};

} // namespace

std::unique_ptr<connection_strategy> make_fixed_split_strategy()
{
    return std::make_unique<fixed_split_strategy>();
}

std::unique_ptr<connection_strategy> make_shared_strategy()
{
    return std::make_unique<shared_strategy>();
}

} // namespace zinniahub
