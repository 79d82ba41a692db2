#include "operator/watch.hpp"

#include "control/report_codec.hpp"
#include "control/resource_codec.hpp"
#include "kv/keys.hpp"
#include "observability/printable.hpp"
#include "operator/json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string_view>

namespace zinniahub::commands
{

namespace
{

/// @brief Converts the time of a report to the monotonic clock of the reader.
/// The wall clocks of reader and writer may differ; a report with a time in the
/// future is treated as written now.
time_point written_at(
    const v1::DomainReport& report, const fleet_view& fleet, time_point now)
{
    const auto written = report.written_at_ms();
    const auto age = fleet.now_ms > written ? fleet.now_ms - written : 0;
    return now - std::chrono::milliseconds(age);
}

std::vector<domain_report> reports_of(const fleet_view& fleet, time_point now)
{
    std::vector<domain_report> reports;
    for (const auto& report : fleet.reports)
    {
        reports.push_back(
            control::from_protocol(report, written_at(report, fleet, now)));
    }
    return reports;
}

std::vector<host_entry> hosts_of(const fleet_view& fleet)
{
    std::vector<host_entry> hosts;
    for (const auto& host : fleet.hosts)
    {
        if (host.state() != v1::HOST_GONE)
            hosts.push_back(control::from_protocol(host));
    }
    return hosts;
}

/// @brief Record for the comparison; a resource that cannot be read counts as
/// deleted.
resource_record
record_of(const stored_resource& stored, std::uint64_t min_revision)
{
    resource_record record;
    record.key = fmt::format("{}/{}", stored.kind.name, stored.name);
    record.revision = std::max(stored.revision, min_revision);
    if (auto value = control::from_protocol(stored.value))
        record.value = std::move(*value);
    return record;
}

json::value to_json_value(const lagging_host& value)
{
    return json::object(
        {{"failure_domain", json::string(value.failure_domain)},
         {"host", json::string(value.host)},
         {"kind", json::string(std::string(to_string(value.kind)))},
         {"reason", json::string(value.reason)}});
}

std::string describe_location(const lagging_host& value)
{
    if (!value.host.empty())
        return fmt::format("host {}/{}", value.failure_domain, value.host);
    if (!value.failure_domain.empty())
        return fmt::format("failure domain {}", value.failure_domain);
    return "all hosts";
}

} // namespace

std::vector<watched_resource> compare(
    std::span<const stored_resource> declared, const fleet_view& fleet,
    std::uint64_t min_revision)
{
    const auto now = clock::now();
    std::vector<resource_record> records;
    for (const auto& stored : declared)
        records.push_back(record_of(stored, min_revision));
    auto statuses = zinniahub::compare(
        records, hosts_of(fleet), reports_of(fleet, now), now);
    std::vector<watched_resource> watched;
    for (std::size_t i = 0; i < declared.size(); ++i)
        watched.push_back({declared[i], std::move(statuses[i])});
    return watched;
}

result<fleet_view> read_fleet(kv::platform_store& store, std::uint64_t now_ms)
{
    const auto hosts = store.list_hosts();
    if (!hosts)
        return tl::make_unexpected(hosts.error());
    v1::RangeRequest request;
    request.set_prefix(std::string(kv::observed_prefix));
    const auto reports = store.range(request);
    if (!reports)
        return tl::make_unexpected(reports.error());
    fleet_view fleet;
    fleet.now_ms = now_ms;
    fleet.hosts.assign(hosts->hosts().begin(), hosts->hosts().end());
    for (const auto& entry : reports->entries())
    {
        v1::DomainReport report;
        // A report that cannot be decoded is treated as missing.
        if (report.ParseFromString(entry.value()))
            fleet.reports.push_back(std::move(report));
    }
    return fleet;
}

std::string to_json(const watched_resource& watched)
{
    const auto& status = watched.status;
    std::vector<json::value> lagging;
    for (const auto& entry : status.lagging)
        lagging.push_back(to_json_value(entry));
    return json::to_text(json::object(
        {{"resource", to_json(watched.declared)},
         {"converged", json::boolean(status.converged)},
         {"observed", json::string(status.observed)},
         {"lagging", json::array(lagging)}}));
}

std::string to_text(const watched_resource& watched)
{
    const auto& status = watched.status;
    auto text = fmt::format(
        "{} {}\n  observed: {}", status.converged ? "converged" : "pending",
        to_text(watched.declared), printable(status.observed));
    for (const auto& entry : status.lagging)
    {
        fmt::format_to(
            std::back_inserter(text), "\n  lagging: {}: {}",
            printable(describe_location(entry)), printable(entry.reason));
    }
    return text;
}

} // namespace zinniahub::commands
