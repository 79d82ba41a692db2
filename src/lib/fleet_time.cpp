#include <zinniahub/fleet_time.hpp>

#include <algorithm>
#include <vector>

namespace zinniahub
{

void fleet_time::on_report(
    std::string_view host, duration time_of_day, time_point received_at)
{
    auto found = reports_.find(host);
    if (found == reports_.end())
    {
        if (reports_.size() + 1 >= max_hosts)
        {
            return;
        }
        found = reports_.emplace(std::string(host), report{}).first;
    }
    found->second = {time_of_day - received_at.time_since_epoch(), received_at};
}

void fleet_time::update(duration own_time_of_day, time_point now)
{
    std::erase_if(
        reports_, [now](const auto& entry)
        { return now - entry.second.received_at > report_lifetime; });
    std::vector<duration> offsets{own_time_of_day - now.time_since_epoch()};
    for (const auto& [host, entry] : reports_)
    {
        offsets.push_back(entry.offset);
    }
    // A delayed report is too low, so the upper of two middle values is taken.
    const auto middle =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    offset_ = *middle;
}

} // namespace zinniahub
