#include <zinniahub/rate_ledger.hpp>

#include <algorithm>
#include <cmath>

namespace zinniahub
{

namespace
{

/// Fraction of a host's burst and tolerance that becomes the capacity of its
/// bucket. The rest is added to the rate: a higher rate with a lower capacity
/// keeps the same limit in each window and serves a steady load better.
constexpr double capacity_fraction = 0.3;

/// Minimum capacity of a bucket in tokens, if the burst allows it.
constexpr double min_capacity = 2;

/// Shares within this factor of the equal share are not changed.
constexpr double share_tolerance = 1.1;

/// A host requests tokens when it holds no more than this fraction of its
/// capacity.
constexpr double request_threshold = 0.3;

/// Minimum number of tokens that a host transfers; fewer are not worth a
/// message.
constexpr double min_transfer = 0.2;

} // namespace

std::uint32_t rate_shares::sum() const
{
    std::uint32_t total = 0;
    for (const auto& [host, share] : by_host)
    {
        total += share;
    }
    return total;
}

std::uint32_t rate_shares::share_of(std::string_view host) const
{
    const auto found = by_host.find(host);
    return found == by_host.end() ? 0 : found->second;
}

std::uint32_t share_planner::equal_share(std::size_t hosts)
{
    return static_cast<std::uint32_t>(
        2 * rate_shares::total_parts / (2 * hosts + 1));
}

share_change share_planner::assign_free_shares(
    const std::set<std::string>& hosts, const rate_shares& shares,
    bool only_self) const
{
    share_change change{shares, {}};
    const auto target = equal_share(hosts.size());
    std::uint32_t needed = 0;
    for (const auto& host : hosts)
    {
        const auto held = shares.share_of(host);
        const bool filled = only_self && host != settings_.host;
        needed += filled || held >= target ? 0 : target - held;
    }
    auto free = rate_shares::total_parts -
                std::min(rate_shares::total_parts, shares.sum());
    for (const auto& [host, share] : shares.by_host)
    {
        if (free >= needed ||
            change.removed_hosts.size() == settings_.max_removed_hosts)
        {
            break;
        }
        if (!hosts.contains(host))
        {
            change.removed_hosts.push_back(host);
            change.shares.by_host.erase(host);
            free += share;
        }
    }
    for (const auto& host : hosts)
    {
        const auto held = change.shares.share_of(host);
        if ((only_self && host != settings_.host) ||
            held * share_tolerance >= target)
        {
            continue;
        }
        const auto added = std::min(free, target - held);
        free -= added;
        if (added > 0)
        {
            change.shares.by_host[host] = held + added;
        }
    }
    return change;
}

std::optional<share_change> share_planner::on_tick(
    const std::set<std::string>& hosts, const rate_shares& shares,
    time_point now)
{
    if (hosts != hosts_)
    {
        hosts_ = hosts;
        hosts_changed_at_ = now;
    }
    const auto held = shares.share_of(settings_.host);
    if (held > 0)
    {
        without_share_since_.reset();
    }
    else if (!without_share_since_)
    {
        without_share_since_ = now;
    }
    if (!hosts.contains(settings_.host))
    {
        return std::nullopt;
    }
    const bool is_first = settings_.host == *hosts.begin();
    const bool settled = now - hosts_changed_at_ >= settings_.settle_time;
    const bool self_assign_due =
        without_share_since_ &&
        now - *without_share_since_ >= settings_.self_assign_delay;
    if ((is_first && settled) || self_assign_due)
    {
        auto change = assign_free_shares(hosts, shares, !is_first);
        if (change.shares.by_host != shares.by_host)
        {
            return change;
        }
    }
    // Lower the own share if other hosts have too little.
    const auto target = equal_share(hosts.size());
    const auto free = rate_shares::total_parts -
                      std::min(rate_shares::total_parts, shares.sum());
    const bool others_lack = std::any_of(
        hosts.begin(), hosts.end(),
        [&](const std::string& host)
        { return shares.share_of(host) < target / 2; });
    if (settled && others_lack && free < target &&
        held > target * share_tolerance)
    {
        share_change change{shares, {}};
        change.shares.by_host[settings_.host] = target;
        return change;
    }
    return std::nullopt;
}

host_rate_limiter::host_rate_limiter(
    rate_allowance allowance, rate_limit limit, time_point now)
    : allowance_(allowance)
    , limit_(limit)
    , bucket_({0, 0}, now)
{
}

rate_limit host_rate_limiter::bucket_limit() const
{
    const double part = static_cast<double>(share_) / rate_shares::total_parts;
    const double factor = 1 + allowance_.overage;
    const double burst = (limit_.burst * factor + allowance_.tolerance) * part;
    const double capacity =
        std::min(burst, std::max(min_capacity, capacity_fraction * burst));
    const double extra_rate =
        (burst - capacity) / to_seconds(allowance_.window);
    return {limit_.rate * factor * part + extra_rate, capacity};
}

void host_rate_limiter::update(time_point now)
{
    bucket_.set_limit(bucket_limit(), now);
}

void host_rate_limiter::set_limit(rate_limit limit, time_point now)
{
    limit_ = limit;
    update(now);
}

void host_rate_limiter::set_share(std::uint32_t share, time_point now)
{
    if (share != share_)
    {
        share_ = share;
        update(now);
    }
}

bool host_rate_limiter::try_take(time_point now)
{
    return bucket_.try_take(1, now);
}

double host_rate_limiter::level(time_point now)
{
    return bucket_.level(now);
}

double host_rate_limiter::capacity() const
{
    return bucket_limit().burst;
}

duration host_rate_limiter::time_until_available(double tokens, time_point now)
{
    const auto limit = bucket_limit();
    const double missing = tokens - level(now);
    if (missing <= 0)
    {
        return duration::zero();
    }
    if (limit.rate <= 0 || tokens > limit.burst)
    {
        return duration::max();
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(missing / limit.rate));
}

double host_rate_limiter::wanted(time_point now)
{
    const double held = level(now);
    return held < 1 || held <= request_threshold * capacity()
               ? capacity() - held
               : 0;
}

double host_rate_limiter::give(double asked, time_point now)
{
    const double held = level(now);
    const double offered = std::max(held / 2, std::min(held, 1.0));
    if (offered < min_transfer)
    {
        return 0;
    }
    return bucket_.take_up_to(std::min(asked, offered), now);
}

void host_rate_limiter::receive(double tokens, time_point now)
{
    bucket_.put(tokens, now);
}

} // namespace zinniahub
