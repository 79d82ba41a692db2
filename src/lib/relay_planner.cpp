#include <zinniahub/relay_planner.hpp>

#include <algorithm>
#include <utility>

namespace zinniahub
{

namespace
{

/// Number of sync intervals without a confirmation after which a host asks
/// other sources.
constexpr int max_missed_syncs = 4;

/// Adds one of the candidates, a different one each round.
void add_candidate(
    std::vector<std::string>& chosen, std::vector<host_entry> candidates,
    std::string_view self, std::uint64_t round)
{
    std::erase_if(
        candidates, [self](const auto& host) { return host.name == self; });
    if (candidates.empty())
    {
        return;
    }
    const auto& name = candidates[round % candidates.size()].name;
    if (std::find(chosen.begin(), chosen.end(), name) == chosen.end())
    {
        chosen.push_back(name);
    }
}

} // namespace

relay_planner::relay_planner(settings values)
    : settings_(std::move(values))
{
}

duration relay_planner::staleness_limit() const
{
    return settings_.sync_interval * max_missed_syncs;
}

std::string relay_planner::relay_source(
    std::span<const host_entry> live, const view& seen) const
{
    if (seen.is_delegate)
    {
        return {};
    }
    const auto tree = relay_tree::of_domain(
        live, settings_.failure_domain, settings_.fan_out);
    if (const auto* parent = tree.parent_of(settings_.host))
    {
        return *parent;
    }
    // The root of the tree asks the delegate, unless it is the delegate
    // itself.
    return seen.delegate == settings_.host ? std::string() : seen.delegate;
}

relay_planner::plan
relay_planner::next(const host_list& hosts, const view& seen, time_point now)
{
    ++round_;
    auto live = hosts.live(now);
    plan chosen;
    if (auto parent = relay_source(live, seen); !parent.empty())
    {
        chosen.hosts.push_back(std::move(parent));
    }
    chosen.watch_platform =
        chosen.hosts.empty() || now - peer_confirmed_at_ >= staleness_limit();
    const auto add = [&](std::vector<host_entry> candidates) {
        add_candidate(
            chosen.hosts, std::move(candidates), settings_.host, round_);
    };
    // Any host may have a newer configuration, even one of the same failure
    // domain: possibly only this host cannot reach the platform.
    if (now - seen.confirmed_at > staleness_limit())
    {
        add(std::move(live));
    }
    // Detects the end of a network partition.
    add(hosts.unresponsive(now));
    // A host that lost the platform before it received a host list knows no
    // other host, so the delegate contacts every host of its failure domain.
    if (seen.is_delegate)
    {
        add(hosts.never_reported(settings_.failure_domain, now));
    }
    return chosen;
}

void relay_planner::on_current_reply(
    time_point sent_at, duration configuration_age)
{
    if (configuration_age < staleness_limit())
    {
        peer_confirmed_at_ = std::max(peer_confirmed_at_, sent_at);
    }
}

} // namespace zinniahub
