#include <zinniahub/rate_ledger.hpp>

#include <algorithm>
#include <cmath>

namespace zinniahub
{

namespace
{

/// Interval over which the demand is measured.
constexpr duration measure_interval = std::chrono::milliseconds(500);

/// Weight of the newest measurement.
constexpr double demand_weight = 0.5;

/// A share is lowered only if it exceeds the wanted share by this factor, so
/// that shares rest while the demand varies little.
constexpr double surplus_factor = 2.0;

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

std::uint32_t rate_shares::of(std::string_view host) const
{
    const auto found = by_host.find(host);
    return found == by_host.end() ? 0 : found->second;
}

rate_share_holder::rate_share_holder(
    settings values, rate_limit limit, time_point now)
    : settings_(std::move(values))
    , limit_(limit)
    , bucket_({0, 0}, now)
    // Hosts that start together are all registered before the first claim.
    , adjusted_at_(now)
    , measured_at_(now)
{
}

rate_limit rate_share_holder::limit_of(std::uint32_t share) const
{
    const double part = static_cast<double>(share) / rate_shares::whole;
    const double overage = 1 + settings_.allowance.overage;
    return {
        limit_.rate * overage * part,
        (limit_.burst * overage + settings_.allowance.tolerance) * part};
}

void rate_share_holder::use_share(std::uint32_t share, time_point now)
{
    share_ = share;
    bucket_.set_limit(limit_of(share), now);
}

void rate_share_holder::set_limit(rate_limit limit, time_point now)
{
    limit_ = limit;
    use_share(share_, now);
}

bool rate_share_holder::try_take(time_point now)
{
    measure(now);
    ++asked_;
    if (now < valid_until_ && bucket_.try_take(1, now))
    {
        return true;
    }
    ++refused_;
    denied_ = true;
    return false;
}

void rate_share_holder::on_shares(
    const rate_shares& shares, time_point lease_valid_until, time_point now)
{
    valid_until_ = lease_valid_until;
    const auto share = shares.of(settings_.host);
    if (share != share_)
    {
        use_share(share, now);
    }
}

void rate_share_holder::measure(time_point now)
{
    const auto elapsed = now - measured_at_;
    if (elapsed < measure_interval)
    {
        return;
    }
    const double rate = asked_ / to_seconds(elapsed);
    demand_ += demand_weight * (rate - demand_);
    asked_ = 0;
    measured_at_ = now;
}

std::uint32_t rate_share_holder::wanted_share(std::size_t hosts) const
{
    const double equal =
        static_cast<double>(rate_shares::whole) / static_cast<double>(hosts);
    if (limit_.rate <= 0)
    {
        return static_cast<std::uint32_t>(equal);
    }
    const double needed =
        demand_ * settings_.headroom / limit_.rate * rate_shares::whole;
    // A quarter of an equal share stays, so that a first request is served.
    return static_cast<std::uint32_t>(
        std::min<double>(std::max(needed, equal / 4), rate_shares::whole));
}

std::optional<rate_shares> rate_share_holder::propose(
    const rate_shares& shares, const std::set<std::string>& hosts,
    time_point now)
{
    measure(now);
    if (now - adjusted_at_ < settings_.adjust_interval || hosts.empty())
    {
        return std::nullopt;
    }
    rate_shares next = shares;
    std::erase_if(
        next.by_host, [&](const auto& entry)
        { return !hosts.contains(entry.first); });
    const auto held = next.of(settings_.host);
    const auto free = rate_shares::whole - std::min(
                                               rate_shares::whole, next.sum());
    const auto equal =
        static_cast<std::uint32_t>(rate_shares::whole / hosts.size());
    const auto wanted = wanted_share(hosts.size());
    const bool others_wait =
        free == 0 && std::any_of(
                         hosts.begin(), hosts.end(),
                         [&](const std::string& host)
                         { return next.of(host) < equal / 4; });
    std::uint32_t share = held;
    if (held == 0)
    {
        share = std::min(free, std::max(wanted, equal));
    }
    else if (others_wait && held > equal)
    {
        share = std::max(equal, held - held / 10);
    }
    else if (wanted > held && denied_)
    {
        share = held + std::min(free, wanted - held);
    }
    else if (held > equal / 2 && held > surplus_factor * wanted)
    {
        // Half of the surplus stays: the demand may come back.
        share = std::max<std::uint32_t>((held + wanted) / 2, 1);
    }
    denied_ = false;
    if (share == held)
    {
        return std::nullopt;
    }
    adjusted_at_ = now;
    if (share < share_)
    {
        use_share(share, now);
    }
    next.by_host[settings_.host] = share;
    return next;
}

} // namespace zinniahub
