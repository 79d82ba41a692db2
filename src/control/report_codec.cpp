#include "control/report_codec.hpp"

namespace zinniahub::control
{

namespace
{

std::uint64_t to_ms(duration value)
{
    const auto count =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

} // namespace

host_report from_protocol(const v1::HostReport& message)
{
    host_report out;
    out.host = message.host();
    out.failure_domain = message.failure_domain();
    out.incarnation = message.incarnation();
    out.applied_revision = message.applied_revision();
    out.configuration_age =
        std::chrono::milliseconds(message.configuration_age_ms());
    out.report_age = std::chrono::milliseconds(message.report_age_ms());
    out.draining = message.draining();
    for (const auto& load : message.loads())
    {
        out.loads.push_back({load.resource(), load.open_requests()});
    }
    for (const auto& group : message.groups())
    {
        group_report item;
        item.group = group.group();
        item.term = group.term();
        item.primary = group.primary();
        item.writable = group.writable();
        item.unreachable.assign(
            group.unreachable().begin(), group.unreachable().end());
        out.groups.push_back(std::move(item));
    }
    return out;
}

void to_protocol(const host_report& report, v1::HostReport& message)
{
    message.set_host(report.host);
    message.set_failure_domain(report.failure_domain);
    message.set_incarnation(report.incarnation);
    message.set_applied_revision(report.applied_revision);
    message.set_configuration_age_ms(to_ms(report.configuration_age));
    message.set_report_age_ms(to_ms(report.report_age));
    message.set_draining(report.draining);
    for (const auto& load : report.loads)
    {
        auto* item = message.add_loads();
        item->set_resource(load.resource);
        item->set_open_requests(load.open_requests);
    }
    for (const auto& group : report.groups)
    {
        auto* item = message.add_groups();
        item->set_group(group.group);
        item->set_term(group.term);
        item->set_primary(group.primary);
        item->set_writable(group.writable);
        for (const auto& member : group.unreachable)
        {
            item->add_unreachable(member);
        }
    }
}

domain_report
from_protocol(const v1::DomainReport& message, time_point written_at)
{
    domain_report out;
    out.failure_domain = message.failure_domain();
    out.delegate = message.delegate();
    out.written_at = written_at;
    for (const auto& host : message.hosts())
    {
        out.hosts.push_back(from_protocol(host));
    }
    return out;
}

host_entry from_protocol(const v1::HostEntry& message)
{
    return {
        message.name(), message.failure_domain(), message.peer_address(),
        message.incarnation(), message.state() != v1::HOST_LIVE};
}

void to_protocol(const host_entry& entry, v1::HostEntry& message)
{
    message.set_name(entry.name);
    message.set_failure_domain(entry.failure_domain);
    message.set_peer_address(entry.peer_address);
    message.set_incarnation(entry.incarnation);
    message.set_state(entry.leaving ? v1::HOST_LEAVING : v1::HOST_LIVE);
}

} // namespace zinniahub::control
