#include <zinniahub/membership.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace zinniahub
{

namespace
{

bool within(std::optional<time_point> at, duration limit, time_point now)
{
    return at && now - *at < limit;
}

/// 64-bit FNV-1a. `std::hash` may differ between builds, and hosts of different
/// builds must compute the same order.
std::uint64_t hash_name(std::string_view name)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char character : name)
    {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3U;
    }
    return hash;
}

/// Finalizer of SplitMix64. FNV-1a alone distributes similar names unevenly.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// Sorts by descending score, then by name.
using rank_key = std::pair<std::uint64_t, std::string_view>;

rank_key rank_key_of(std::uint64_t id, std::string_view host)
{
    return {~mix(mix(id) ^ hash_name(host)), host};
}

} // namespace

/// Inserts or updates the entry of a host. Returns null if a higher incarnation
/// of the host is known.
host_list::state* host_list::update_entry(const host_entry& entry)
{
    auto& host = hosts_[entry.name];
    if (entry.incarnation < host.entry.incarnation)
    {
        return nullptr;
    }
    if (entry.incarnation > host.entry.incarnation || host.entry.name.empty())
    {
        host = state{entry, {}, {}, {}};
        snapshot_changed_ = true;
    }
    // A leaving host stays leaving until it restarts.
    snapshot_changed_ |= entry.leaving && !host.entry.leaving;
    host.entry.leaving |= entry.leaving;
    return &host;
}

void host_list::on_listed(std::span<const host_entry> entries, time_point now)
{
    for (const auto& entry : entries)
    {
        if (auto* host = update_entry(entry))
        {
            snapshot_changed_ |= !is_live(*host, now);
            host->listed_at = now;
        }
    }
    last_list_at_ = now;
    erase_expired(now);
}

void host_list::on_reported(const host_entry& entry, time_point now)
{
    if (auto* host = update_entry(entry))
    {
        snapshot_changed_ |= !is_live(*host, now);
        host->report_received_at = now;
        host->call_failed_since.reset();
    }
}

void host_list::on_unresponsive(std::string_view name, time_point now)
{
    const auto found = hosts_.find(name);
    if (found != hosts_.end() && !found->second.call_failed_since)
    {
        found->second.call_failed_since = now;
        snapshot_until_ = std::min(snapshot_until_, live_until(found->second));
    }
}

bool host_list::is_listed(const state& host, time_point now)
{
    return within(host.listed_at, listing_lifetime, now);
}

template<typename Predicate>
std::vector<host_entry> host_list::select(Predicate matches) const
{
    std::vector<host_entry> found;
    for (const auto& [name, host] : hosts_)
    {
        if (matches(host))
        {
            found.push_back(host.entry);
        }
    }
    return found;
}

/// Time at which the host stops being live unless it is reported or listed
/// again. A host never becomes live merely through the passage of time.
time_point host_list::live_until(const state& host)
{
    auto until = time_point::min();
    if (host.listed_at)
    {
        until = *host.listed_at + listing_lifetime;
        if (host.call_failed_since)
        {
            until = std::min(
                until,
                host.report_received_at.value_or(*host.call_failed_since) +
                    host_report_lifetime);
        }
    }
    return host.report_received_at
               ? std::max(
                     until, *host.report_received_at + host_report_lifetime)
               : until;
}

bool host_list::is_live(const state& host, time_point now)
{
    return now < live_until(host);
}

std::vector<host_entry> host_list::live(time_point now) const
{
    return select([&](const state& host) { return is_live(host, now); });
}

live_hosts host_list::live_snapshot(time_point now)
{
    if (!snapshot_changed_ && now < snapshot_until_)
    {
        return snapshot_;
    }
    bool changed = std::exchange(snapshot_changed_, false);
    std::size_t count = 0;
    snapshot_until_ = never;
    for (const auto& [name, host] : hosts_)
    {
        if (is_live(host, now))
        {
            ++count;
            snapshot_until_ = std::min(snapshot_until_, live_until(host));
        }
    }
    // Without an event, hosts can only stop being live, so a changed count
    // detects every change.
    if (changed || count != snapshot_->size())
    {
        snapshot_ = std::make_shared<const std::vector<host_entry>>(live(now));
    }
    return snapshot_;
}

std::vector<host_entry> host_list::unresponsive(time_point now) const
{
    const bool list_is_current = within(last_list_at_, listing_lifetime, now);
    return select(
        [&](const state& host) {
            return !is_live(host, now) &&
                   (!list_is_current || is_listed(host, now));
        });
}

std::vector<host_entry>
host_list::never_reported(std::string_view failure_domain, time_point now) const
{
    return select(
        [&](const state& host)
        {
            return !host.report_received_at && is_live(host, now) &&
                   host.entry.failure_domain == failure_domain;
        });
}

void host_list::erase_expired(time_point now)
{
    std::erase_if(
        hosts_,
        [now](const auto& item)
        {
            const auto& host = item.second;
            return !within(host.listed_at, host_retention, now) &&
                   !within(host.report_received_at, host_retention, now);
        });
}

relay_tree::relay_tree(
    std::vector<std::string> sorted_hosts, std::size_t fan_out)
    : hosts_(std::move(sorted_hosts))
    , fan_out_(std::max<std::size_t>(fan_out, 1))
{
}

relay_tree relay_tree::of_domain(
    std::span<const host_entry> live, std::string_view failure_domain,
    std::size_t fan_out)
{
    std::vector<std::string> names;
    for (const auto& host : live)
    {
        if (host.failure_domain == failure_domain && !host.leaving)
        {
            names.push_back(host.name);
        }
    }
    return relay_tree(std::move(names), fan_out);
}

std::optional<std::size_t> relay_tree::rank_of(std::string_view host) const
{
    const auto found = std::lower_bound(hosts_.begin(), hosts_.end(), host);
    if (found == hosts_.end() || *found != host)
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - hosts_.begin());
}

const std::string* relay_tree::parent_of(std::string_view host) const
{
    const auto rank = rank_of(host);
    return rank.value_or(0) == 0 ? nullptr : &hosts_[(*rank - 1) / fan_out_];
}

std::span<const std::string>
relay_tree::children_of(std::string_view host) const
{
    const auto rank = rank_of(host);
    if (!rank)
    {
        return {};
    }
    const auto first = std::min(*rank * fan_out_ + 1, hosts_.size());
    const auto count = std::min(fan_out_, hosts_.size() - first);
    return std::span(hosts_).subspan(first, count);
}

const std::string* relay_tree::delegate_candidate() const
{
    return hosts_.empty() ? nullptr : &hosts_.front();
}

std::uint64_t stable_id(std::string_view name)
{
    return mix(hash_name(name));
}

std::vector<std::size_t>
rendezvous_order(std::uint64_t id, std::span<const std::string> hosts)
{
    std::vector<rank_key> keys;
    keys.reserve(hosts.size());
    for (const auto& host : hosts)
    {
        keys.push_back(rank_key_of(id, host));
    }
    std::vector<std::size_t> order(hosts.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(
        order.begin(), order.end(),
        [&](std::size_t left, std::size_t right)
        { return keys[left] < keys[right]; });
    return order;
}

std::uint32_t rank_of(
    std::uint64_t id, std::span<const std::string> hosts, std::string_view host)
{
    const auto own = rank_key_of(id, host);
    return static_cast<std::uint32_t>(std::count_if(
        hosts.begin(), hosts.end(),
        [&](const std::string& other)
        { return rank_key_of(id, other) < own; }));
}

} // namespace zinniahub
