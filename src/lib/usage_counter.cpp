#include <zinniahub/usage_counter.hpp>

#include <algorithm>

namespace zinniahub
{

bool usage_counter::count(std::string_view customer, duration sent_at)
{
    const auto window = windows_.at(sent_at);
    if (window <= closed_through_)
    {
        return false;
    }
    auto& counts = counts_[window];
    const auto found = counts.find(customer);
    if (found != counts.end())
    {
        ++found->second;
        return true;
    }
    if (counts.size() >= max_usage_customers)
    {
        return false;
    }
    counts.emplace(std::string(customer), 1);
    return true;
}

void usage_counter::on_tick(duration time_of_day)
{
    const auto window = windows_.at(time_of_day);
    if (window > closed_through_)
    {
        counts_.try_emplace(window);
    }
    while (counts_.size() > max_usage_windows)
    {
        counts_.erase(counts_.begin());
    }
}

void usage_counter::close_through(std::uint64_t window)
{
    closed_through_ = std::max(closed_through_, window);
    counts_.erase(counts_.begin(), counts_.upper_bound(closed_through_));
}

} // namespace zinniahub
