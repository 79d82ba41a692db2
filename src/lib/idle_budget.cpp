#include <zinniahub/idle_budget.hpp>
#include <zinniahub/membership.hpp>

#include <algorithm>

namespace zinniahub
{

idle_share::idle_share(
    std::uint32_t member_limit, std::size_t hosts,
    std::optional<std::size_t> rank)
    : half_(member_limit / 2)
    , hosts_(std::max<std::size_t>(hosts, 1))
    , rank_(rank)
{
}

std::uint32_t idle_share::allowance(std::size_t index) const
{
    const auto each = half_ / hosts_;
    const auto remainder = half_ % hosts_;
    // The hosts of the remainder follow one another in the order of the hosts,
    // and those of the next member come after them.
    const auto first = index % hosts_ * remainder % hosts_;
    const bool takes_one =
        rank_ && (*rank_ % hosts_ + hosts_ - first) % hosts_ < remainder;
    return static_cast<std::uint32_t>(each + (takes_one ? 1 : 0));
}

bool idle_budget::set_hosts(std::string own, std::vector<std::string> hosts)
{
    if (own == own_ && hosts == hosts_)
    {
        return false;
    }
    own_ = std::move(own);
    hosts_ = std::move(hosts);
    return true;
}

std::size_t idle_budget::host_count() const
{
    return std::max<std::size_t>(hosts_.size(), 1);
}

bool idle_budget::is_registered() const
{
    return std::find(hosts_.begin(), hosts_.end(), own_) != hosts_.end();
}

idle_share idle_budget::share_of(
    std::string_view service, std::uint32_t member_limit) const
{
    std::optional<std::size_t> rank;
    if (hosts_.empty())
    {
        rank = 0;
    }
    else if (is_registered())
    {
        rank = rank_of(stable_id(service), hosts_, own_);
    }
    return {member_limit, host_count(), rank};
}

} // namespace zinniahub
