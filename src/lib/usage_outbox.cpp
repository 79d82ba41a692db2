#include <zinniahub/usage_outbox.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

/// Each host adds this to the interval of a large fleet.
constexpr duration interval_per_host = std::chrono::milliseconds(8);

constexpr duration min_interval = std::chrono::milliseconds(500);
constexpr duration max_interval = std::chrono::seconds(2);

} // namespace

void usage_outbox::set_host_count(std::size_t hosts)
{
    const auto count = static_cast<std::int64_t>(
        std::min<std::size_t>(hosts, usage_collection::max_hosts));
    settings_.interval =
        std::clamp(interval_per_host * count, min_interval, max_interval);
}

void usage_outbox::set_targets(const std::vector<std::string>& hosts)
{
    std::erase_if(
        targets_,
        [&hosts](const auto& entry) {
            return std::find(hosts.begin(), hosts.end(), entry.first) ==
                   hosts.end();
        });
    for (const auto& host : hosts)
    {
        targets_.try_emplace(host);
    }
}

bool usage_outbox::take(
    const std::string& target, const key& what, const usage_entry& entry,
    bool is_own, time_point now)
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
    {
        return false;
    }
    const auto [at, is_new] = found->second.try_emplace(what);
    auto& sent = at->second;
    const bool is_changed = is_new || sent.total != entry.total ||
                            sent.is_final != entry.is_complete();
    if (is_changed)
    {
        sent.repeats = 0;
        sent.is_acknowledged = false;
    }
    const unsigned limit = entry.is_complete() ? settings_.max_repeats
                           : is_own            ? 1
                                               : settings_.max_forwards;
    if (now < sent.next || sent.is_acknowledged || sent.repeats >= limit)
    {
        return false;
    }
    sent.total = entry.total;
    sent.is_final = entry.is_complete();
    ++sent.repeats;
    sent.next = now + settings_.interval;
    return true;
}

void usage_outbox::on_acknowledged(
    std::string_view target, std::uint64_t window, const usage_origin& origin,
    std::uint64_t total)
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
    {
        return;
    }
    const auto sent = found->second.find({window, origin});
    if (sent != found->second.end() && sent->second.is_final &&
        total >= sent->second.total)
    {
        sent->second.is_acknowledged = true;
    }
}

void usage_outbox::close_through(std::uint64_t window)
{
    for (auto& [target, deliveries] : targets_)
    {
        std::erase_if(
            deliveries, [window](const auto& entry)
            { return entry.first.first <= window; });
    }
}

} // namespace zinniahub
