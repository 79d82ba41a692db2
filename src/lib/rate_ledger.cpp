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

/// Slots over which the recent load is counted: 50 to 100 ms, within which a
/// lent token arrives and is used.
constexpr std::size_t load_slots = 2;

/// Recent operations from which on tokens are requested ahead of demand. A
/// single operation does not announce another one.
constexpr double min_recent_load = 2;

} // namespace

std::uint32_t rate_shares::sum() const
{
    std::uint32_t total = 0;
    for (const auto& [host, ranges] : by_host)
    {
        total += ranges.size();
    }
    return total;
}

std::uint32_t rate_shares::share_of(std::string_view host) const
{
    return ranges_of(host).size();
}

const part_ranges& rate_shares::ranges_of(std::string_view host) const
{
    static const part_ranges none;
    const auto found = by_host.find(host);
    return found == by_host.end() ? none : found->second;
}

part_ranges rate_shares::free_ranges() const
{
    std::vector<part_range> owned;
    for (const auto& [host, parts] : by_host)
    {
        owned.insert(owned.end(), parts.ranges().begin(), parts.ranges().end());
    }
    return part_ranges(std::move(owned)).complement(total_parts);
}

bool rate_shares::is_valid() const
{
    const bool in_total = std::all_of(
        by_host.begin(), by_host.end(),
        [](const auto& entry)
        {
            const auto& ranges = entry.second.ranges();
            return ranges.empty() || ranges.back().end <= total_parts;
        });
    return in_total && sum() + free_ranges().size() == total_parts;
}

std::vector<std::string>
rate_shares::keepers_of(std::string_view customer) const
{
    std::vector<std::string> keepers;
    for (const auto& [host, ranges] : by_host)
    {
        if (count_portions(customer, ranges) > 0)
        {
            keepers.push_back(host);
        }
    }
    return keepers;
}

std::uint32_t share_planner::equal_share(std::size_t hosts)
{
    return static_cast<std::uint32_t>(
        2 * rate_shares::total_parts / (2 * hosts + 1));
}

std::optional<share_change> share_planner::remove_shares_without_ranges(
    const std::set<std::string>& hosts, const rate_shares& shares) const
{
    share_change change{shares, {}};
    // The process that used the own share has ended.
    change.shares.without_ranges.erase(settings_.host);
    for (const auto& host : shares.without_ranges)
    {
        if (!hosts.contains(host) &&
            change.removed_hosts.size() < settings_.max_removed_hosts)
        {
            change.removed_hosts.push_back(host);
            change.shares.without_ranges.erase(host);
        }
    }
    return change.shares == shares ? std::nullopt
                                   : std::optional(std::move(change));
}

void share_planner::update_ended_hosts(
    const std::set<std::string>& hosts, const rate_shares& shares,
    time_point now)
{
    // Within a longer gap a host may have been registered again.
    if (last_tick_at_ == time_point::min() ||
        now - last_tick_at_ >= settings_.removal_delay)
    {
        ended_since_.clear();
    }
    last_tick_at_ = now;
    std::erase_if(
        ended_since_,
        [&](const auto& entry)
        {
            return hosts.contains(entry.first) ||
                   !shares.by_host.contains(entry.first);
        });
    for (const auto& [host, ranges] : shares.by_host)
    {
        if (!hosts.contains(host))
        {
            ended_since_.try_emplace(host, now);
        }
    }
}

void share_planner::remove_ended_hosts(
    share_change& change, std::uint32_t needed, time_point now) const
{
    auto free = change.shares.free_ranges().size();
    for (const auto& [host, since] : ended_since_)
    {
        if (free >= needed ||
            change.removed_hosts.size() == settings_.max_removed_hosts)
        {
            return;
        }
        if (now - since < settings_.removal_delay)
        {
            continue;
        }
        free += change.shares.share_of(host);
        change.removed_hosts.push_back(host);
        change.shares.by_host.erase(host);
    }
}

share_change share_planner::assign_free_shares(
    const std::set<std::string>& hosts, const rate_shares& shares,
    bool only_self, time_point now) const
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
    remove_ended_hosts(change, needed, now);
    auto free = change.shares.free_ranges();
    for (const auto& host : hosts)
    {
        const auto held = change.shares.share_of(host);
        if ((only_self && host != settings_.host) ||
            held * share_tolerance >= target)
        {
            continue;
        }
        const auto added = free.take_first(target - held);
        if (added.size() > 0)
        {
            change.shares.by_host[host].add(added);
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
    update_ended_hosts(hosts, shares, now);
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
    if (!shares.without_ranges.empty())
    {
        return remove_shares_without_ranges(hosts, shares);
    }
    const bool is_first = settings_.host == *hosts.begin();
    const bool settled = now - hosts_changed_at_ >= settings_.settle_time;
    const bool self_assign_due =
        without_share_since_ &&
        now - *without_share_since_ >= settings_.self_assign_delay;
    if ((is_first && settled) || self_assign_due)
    {
        auto change = assign_free_shares(hosts, shares, !is_first, now);
        if (change.shares != shares)
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
        auto& own = change.shares.by_host[settings_.host];
        own = own.take_first(target);
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
    const double in_window =
        limit_.rate * factor * part * to_seconds(allowance_.window) + burst;
    const double refill_time =
        to_seconds(allowance_.window + lent_token_validity);
    return {(in_window - capacity) / refill_time, capacity};
}

void host_rate_limiter::update(time_point now)
{
    bucket_.set_limit(bucket_limit(), now);
}

void host_rate_limiter::drop_expired(time_point now)
{
    while (!lent_.empty() && lent_.front().expires_at <= now)
    {
        lent_.pop_front();
    }
    if (share_ > 0 && share_valid_until_ <= now)
    {
        share_ = 0;
        update(now);
    }
}

double host_rate_limiter::lent() const
{
    double total = 0;
    for (const auto& tokens : lent_)
    {
        total += tokens.count;
    }
    return total;
}

void host_rate_limiter::set_limit(rate_limit limit, time_point now)
{
    limit_ = limit;
    update(now);
}

void host_rate_limiter::set_share(
    std::uint32_t share, time_point now, time_point valid_until)
{
    // A share that has expired meanwhile may have been used by another host.
    drop_expired(now);
    share_valid_until_ = valid_until;
    share = valid_until > now ? share : 0;
    if (share != share_)
    {
        share_ = share;
        update(now);
    }
}

bool host_rate_limiter::try_take(time_point now)
{
    drop_expired(now);
    if (lent() + bucket_.level(now) < 1)
    {
        return false;
    }
    double missing = 1;
    while (missing > 0 && !lent_.empty())
    {
        auto& oldest = lent_.front();
        const double used = std::min(missing, oldest.count);
        missing -= used;
        oldest.count -= used;
        if (oldest.count <= 0)
        {
            lent_.pop_front();
        }
    }
    bucket_.take_up_to(missing, now);
    taken_.add(now);
    return true;
}

double host_rate_limiter::level(time_point now)
{
    drop_expired(now);
    return bucket_.level(now);
}

double host_rate_limiter::capacity() const
{
    return bucket_limit().burst;
}

duration host_rate_limiter::time_until_available(double tokens, time_point now)
{
    const double missing = tokens - level(now) - lent();
    const auto limit = bucket_limit();
    if (missing <= 0)
    {
        return duration::zero();
    }
    if (limit.rate <= 0 || tokens - lent() > limit.burst)
    {
        return duration::max();
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(missing / limit.rate));
}

double host_rate_limiter::wanted(time_point now, std::size_t waiting)
{
    const double held = level(now) + lent();
    const double recent = taken_.sum(load_slots, now);
    const double ahead = recent < min_recent_load ? 0 : recent;
    const double needed = static_cast<double>(waiting) + ahead;
    const bool is_low = held < 1 || held < ahead / 2;
    return is_low && needed > held ? std::ceil(needed - held) : 0;
}

double host_rate_limiter::give(double asked, time_point now)
{
    const double held = level(now);
    const double offered = std::max(held / 2, std::min(held, 1.0));
    return bucket_.take_up_to(std::floor(std::min(asked, offered)), now);
}

void host_rate_limiter::refund(time_point now)
{
    drop_expired(now);
    bucket_.put(1, now);
}

void host_rate_limiter::receive(
    double tokens, time_point now, time_point requested_at)
{
    const auto expires_at = requested_at + lent_token_validity;
    if (tokens <= 0 || expires_at <= now)
    {
        return;
    }
    const auto position = std::upper_bound(
        lent_.begin(), lent_.end(), expires_at,
        [](time_point time, const lent_tokens& entry)
        { return time < entry.expires_at; });
    lent_.insert(position, {tokens, expires_at});
}

} // namespace zinniahub
