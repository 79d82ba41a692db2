#include <zinniahub/usage_collection.hpp>

#include <algorithm>

namespace zinniahub
{

void usage_collection::merge(const usage_part& part, std::uint64_t present)
{
    if (part.window <= closed_through_)
    {
        drop(usage_drop::window_fixed, part.counts.size());
        return;
    }
    if (part.window > present + 1 || part.window + max_usage_windows < present)
    {
        drop(usage_drop::window_out_of_range, part.counts.size());
        return;
    }
    auto& origins = windows_[part.window];
    if (!origins.contains(part.origin) && origins.size() >= max_hosts)
    {
        drop(usage_drop::limit_reached, part.counts.size());
        return;
    }
    auto& entry = origins[part.origin];
    for (const auto& [customer, count] : part.counts)
    {
        merge_count(entry, customer, count);
    }
    if (part.final_total)
    {
        entry.final_total =
            std::max(entry.final_total.value_or(0), *part.final_total);
    }
}

void usage_collection::merge_count(
    usage_entry& entry, const std::string& customer, std::uint64_t count)
{
    if (count > max_count)
    {
        drop(usage_drop::count_too_high);
        return;
    }
    const auto found = entry.counts.find(customer);
    if (found == entry.counts.end())
    {
        if (entry.counts.size() >= max_usage_customers || cells_ >= max_cells)
        {
            drop(usage_drop::limit_reached);
            return;
        }
        entry.counts.emplace(customer, count);
        entry.total += count;
        ++cells_;
    }
    else if (count > found->second)
    {
        entry.total += count - found->second;
        found->second = count;
    }
}

void usage_collection::erase_first()
{
    for (const auto& [origin, entry] : windows_.begin()->second)
    {
        cells_ -= entry.counts.size();
    }
    windows_.erase(windows_.begin());
}

void usage_collection::close_through(std::uint64_t window)
{
    closed_through_ = std::max(closed_through_, window);
    while (!windows_.empty() && windows_.begin()->first <= closed_through_)
    {
        erase_first();
    }
}

void usage_collection::on_tick(std::uint64_t present)
{
    while (!windows_.empty() &&
           windows_.begin()->first + max_usage_windows < present)
    {
        erase_first();
    }
}

std::map<std::string_view, bool> usage_collection::host_states(
    std::uint64_t window, const std::set<std::string>& registered) const
{
    std::map<std::string_view, bool> states;
    for (const auto& host : registered)
    {
        states[host] = false;
    }
    const auto found = windows_.find(window);
    if (found != windows_.end())
    {
        // In the order of the origins, the last process of a host comes last.
        for (const auto& [origin, entry] : found->second)
        {
            states[origin.host] = entry.is_complete();
        }
    }
    return states;
}

bool usage_collection::is_complete(
    std::uint64_t window, const std::set<std::string>& registered) const
{
    const auto states = host_states(window, registered);
    return std::all_of(
        states.begin(), states.end(),
        [](const auto& entry) { return entry.second; });
}

usage_sum usage_collection::sum(
    std::uint64_t window, const std::set<std::string>& registered,
    const customer_filter& is_known)
{
    usage_sum result;
    const auto states = host_states(window, registered);
    result.hosts = states.size();
    result.missing = static_cast<std::size_t>(std::count_if(
        states.begin(), states.end(),
        [](const auto& entry) { return !entry.second; }));
    const auto found = windows_.find(window);
    if (found == windows_.end())
    {
        return result;
    }
    for (const auto& [origin, entry] : found->second)
    {
        for (const auto& [customer, count] : entry.counts)
        {
            const bool is_full = result.counts.size() >= max_usage_customers &&
                                 !result.counts.contains(customer);
            if (!is_known(customer) || is_full)
            {
                drop(
                    is_full ? usage_drop::limit_reached
                            : usage_drop::customer_unknown);
                continue;
            }
            result.counts[customer] += count;
            result.total += count;
        }
    }
    return result;
}

} // namespace zinniahub
