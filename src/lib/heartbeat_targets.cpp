#include <zinniahub/heartbeat_targets.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace zinniahub
{

namespace
{

/// A host that does not answer, because it has ended, is asked more rarely.
constexpr duration initial_ask_interval = std::chrono::seconds(1);
constexpr duration max_ask_interval = std::chrono::seconds(8);

/// Hosts of `others` that the host at `place` of `count` hosts sends to.
std::vector<std::string> partners(
    std::size_t place, std::size_t count,
    const std::vector<std::string>& others)
{
    std::vector<std::string> found;
    for (auto next = place; next < others.size(); next += count)
    {
        found.push_back(others[next]);
    }
    if (found.empty() && !others.empty())
    {
        found.push_back(others[place % others.size()]);
    }
    return found;
}

} // namespace

heartbeat_targets::heartbeat_targets(std::string address, std::string domain)
    : address_(std::move(address))
    , domain_(std::move(domain))
{
}

void heartbeat_targets::set_hosts(const std::vector<std::string>& addresses)
{
    const std::set<std::string_view> listed(addresses.begin(), addresses.end());
    std::erase_if(
        hosts_,
        [&](const auto& entry) { return !listed.contains(entry.first); });
    for (const auto& address : addresses)
    {
        hosts_.try_emplace(address);
    }
    is_plan_current_ = false;
}

bool heartbeat_targets::on_domain(
    std::string_view address, std::string_view domain)
{
    const auto found = hosts_.find(address);
    if (found == hosts_.end() || found->second.domain == domain)
    {
        return false;
    }
    found->second.domain = domain;
    is_plan_current_ = false;
    return true;
}

domain_watch::host_counts heartbeat_targets::host_counts() const
{
    domain_watch::host_counts counts{{domain_, 1}};
    for (const auto& [address, host] : hosts_)
    {
        if (!host.domain.empty())
        {
            ++counts[host.domain];
        }
    }
    return counts;
}

void heartbeat_targets::update_plan()
{
    if (std::exchange(is_plan_current_, true))
    {
        return;
    }
    by_domain_.clear();
    by_domain_[domain_].push_back(address_);
    for (const auto& [address, host] : hosts_)
    {
        if (!host.domain.empty())
        {
            by_domain_[host.domain].push_back(address);
        }
    }
    auto& own = by_domain_[domain_];
    std::sort(own.begin(), own.end());
    const auto place = static_cast<std::size_t>(
        std::find(own.begin(), own.end(), address_) - own.begin());
    inside_ = own.size() > 1 ? own[(place + 1) % own.size()] : std::string{};
    // One host of each domain after the other, so that none waits for long.
    std::vector<std::pair<std::size_t, std::string>> ranked;
    for (const auto& [name, members] : by_domain_)
    {
        if (name == domain_)
        {
            continue;
        }
        std::size_t round = 0;
        for (auto& address : partners(place, own.size(), members))
        {
            ranked.emplace_back(round++, std::move(address));
        }
    }
    std::stable_sort(
        ranked.begin(), ranked.end(),
        [](const auto& left, const auto& right)
        { return left.first < right.first; });
    outside_.clear();
    for (auto& [round, address] : ranked)
    {
        outside_.push_back(std::move(address));
    }
}

std::vector<std::string> heartbeat_targets::next_heartbeats()
{
    update_plan();
    std::vector<std::string> targets;
    // Without another domain there is nothing to watch.
    if (outside_.empty())
    {
        return targets;
    }
    for (std::size_t count = std::min(max_outside, outside_.size()); count > 0;
         --count)
    {
        targets.push_back(outside_[next_outside_++ % outside_.size()]);
    }
    if (!inside_.empty())
    {
        targets.push_back(inside_);
    }
    return targets;
}

std::vector<std::string> heartbeat_targets::next_unknown(time_point now)
{
    std::vector<std::string> targets;
    // Hosts begin behind their own places, so that none is asked by all.
    auto entry = hosts_.upper_bound(address_);
    for (auto left = hosts_.size(); left > 0 && targets.size() < max_outside;
         --left)
    {
        if (entry == hosts_.end())
        {
            entry = hosts_.begin();
        }
        auto& [address, host] = *entry++;
        if (host.domain.empty() && now >= host.ask_at)
        {
            host.ask_interval = std::clamp<duration>(
                2 * host.ask_interval, initial_ask_interval, max_ask_interval);
            host.ask_at = now + host.ask_interval;
            targets.push_back(address);
        }
    }
    return targets;
}

std::vector<std::string>
heartbeat_targets::next_in_domain(std::string_view domain, std::size_t limit)
{
    update_plan();
    std::vector<std::string> targets;
    const auto found = by_domain_.find(domain);
    if (found == by_domain_.end())
    {
        return targets;
    }
    const auto& hosts = found->second;
    for (auto left = std::min(limit, hosts.size()); left > 0; --left)
    {
        const auto& address = hosts[next_asked_++ % hosts.size()];
        if (address != address_)
        {
            targets.push_back(address);
        }
    }
    return targets;
}

} // namespace zinniahub
