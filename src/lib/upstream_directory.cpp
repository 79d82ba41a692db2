#include <zinniahub/upstream_directory.hpp>

#include <algorithm>

namespace zinniahub
{

void upstream_directory::on_registered(
    const upstream_record& record, time_point now)
{
    const bool is_new = !members_.contains(record.instance);
    auto& member = members_[record.instance];
    if (is_new || member.record.started_ms != record.started_ms)
    {
        member.known_since = now;
    }
    const bool was_primary =
        member.primary_since != time_point::min() && member.record.primary;
    member.record = record;
    member.missing_since = never;
    if (!record.primary)
    {
        member.primary_since = time_point::min();
    }
    else if (!was_primary)
    {
        member.primary_since = now;
    }
    update_stop_time(member, now);
}

void upstream_directory::on_removed(std::string_view instance, time_point now)
{
    const auto found = members_.find(instance);
    if (found != members_.end() && found->second.missing_since == never)
    {
        found->second.missing_since = now;
    }
}

void upstream_directory::on_listed(
    const std::vector<upstream_record>& records, time_point now)
{
    const bool is_first = members_.empty();
    std::set<std::string_view> listed;
    for (const auto& record : records)
    {
        listed.insert(record.instance);
        on_registered(record, now);
        if (is_first)
        {
            members_[record.instance].known_since = time_point::min();
        }
    }
    for (const auto& [instance, member] : members_)
    {
        if (!listed.contains(instance))
        {
            on_removed(instance, now);
        }
    }
}

void upstream_directory::on_domains_evacuated(
    const std::set<std::string>& domains, time_point now)
{
    evacuated_ = {domains.begin(), domains.end()};
    for (auto& [instance, member] : members_)
    {
        update_stop_time(member, now);
    }
}

void upstream_directory::update_stop_time(
    upstream_state& member, time_point now)
{
    const bool evacuated = evacuated_.contains(member.record.failure_domain);
    member.leaving = member.record.draining || evacuated;
    if (!member.leaving)
    {
        member.stop_at = never;
        return;
    }
    const auto limit =
        evacuated ? std::min(settings_.evacuation_limit, settings_.drain_limit)
                  : settings_.drain_limit;
    member.stop_at =
        std::min(member.stop_at, now + limit - settings_.propagation_delay);
}

void upstream_directory::on_tick(time_point now)
{
    std::erase_if(
        members_,
        [this, now](const auto& entry)
        {
            const auto since = entry.second.missing_since;
            return since != never && now - since > settings_.missing_retention;
        });
}

bool upstream_directory::is_registered(std::string_view instance) const
{
    const auto found = members_.find(instance);
    return found != members_.end() && found->second.missing_since == never;
}

bool upstream_directory::is_address_used(std::string_view address) const
{
    return std::any_of(
        members_.begin(), members_.end(),
        [address](const auto& entry)
        {
            return entry.second.missing_since == never &&
                   entry.second.record.address == address;
        });
}

bool upstream_directory::was_replaced(const upstream_state& member) const
{
    return member.missing_since != never &&
           is_address_used(member.record.address);
}

bool upstream_directory::accepts_new_operations(
    const upstream_state& member, time_point now) const
{
    return !member.leaving && accepts_open_operations(member, now);
}

bool upstream_directory::accepts_open_operations(
    const upstream_state& member, time_point now) const
{
    const bool known =
        member.missing_since == never ||
        now - member.missing_since < settings_.missing_grace_period;
    return known && now < member.stop_at;
}

} // namespace zinniahub
