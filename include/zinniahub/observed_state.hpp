#pragma once

#include <zinniahub/configuration.hpp>
#include <zinniahub/membership.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// Reports older than this are dropped and count as missing. The limit
/// tolerates one lost refresh.
inline constexpr duration report_lifetime = std::chrono::seconds(10);

/// Interval at which a delegate rewrites an unchanged domain report, so that
/// readers can tell an unchanged report from a stopped delegate.
inline constexpr duration domain_report_refresh = std::chrono::seconds(5);

/// A host whose configuration was not confirmed for longer counts as lagging:
/// it may have missed the revocation of a key, which must take effect within
/// 5 s.
inline constexpr duration confirmation_lag_threshold = std::chrono::seconds(5);

/// A host whose configuration was not confirmed for this time rejects requests
/// that carry a key.
inline constexpr duration max_configuration_age = std::chrono::seconds(900);

/// @brief Open requests on a resource that is being drained.
struct resource_load
{
    /// Key of the resource below /zinniahub/config/.
    std::string resource;
    std::uint32_t open_requests = 0;
};

/// @brief State of a database group as observed by one host.
struct group_report
{
    std::string group;
    std::uint64_t term = 0;
    std::string primary;
    bool writable = false;
    /// Names of the members that the host cannot reach.
    std::vector<std::string> unreachable;
};

/// @brief Status report of a host.
struct host_report
{
    std::string host;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    /// Revision up to which the host has applied the configuration.
    std::uint64_t applied_revision = 0;
    /// Time between the last confirmation of that configuration by the
    /// platform and the creation of the report.
    duration configuration_age{};
    /// Age of the report when it was sent or stored.
    duration report_age{};
    std::vector<resource_load> loads;
    bool draining = false;
    std::vector<group_report> groups;
};

/// @brief Status reports of a failure domain, written by its delegate.
struct domain_report
{
    std::string failure_domain;
    std::string delegate;
    std::vector<host_report> hosts;
    /// Write time, converted to the reader's monotonic clock.
    time_point written_at{};
};

/// @brief Keeps the newest report of each host.
class report_aggregator
{
public:
    /// @brief Adds a report that was received directly or through a relay.
    /// @return false if the report has expired or is not newer than the known
    /// one
    bool on_report(host_report report, time_point now);

    /// @brief Returns the unexpired reports with their current age, sorted by
    /// host, and drops the expired ones.
    std::vector<host_report> reports(time_point now);

private:
    struct entry
    {
        host_report report;
        time_point reported_at;
    };

    std::map<std::string, entry, std::less<>> newest_reports_;
};

/// @brief Reasons why a host or failure domain lags behind the desired state.
enum class lag_kind
{
    /// The failure domain has no report or only an expired one.
    domain_silent,
    /// The host is live, but has no unexpired report.
    host_silent,
    revision_not_reached,
    configuration_unconfirmed,
    /// The host has open requests on a resource that is being drained.
    open_requests,
    /// The host observes no writable primary of the group.
    no_writable_primary,
    /// The primary is a member that is leaving or no longer declared.
    primary_on_leaving_member
};

/// @brief Returns the name of a lag kind, for example "host_silent".
std::string_view to_string(lag_kind value);

struct lagging_host
{
    /// Empty if the lag concerns the whole failure domain.
    std::string host;
    std::string failure_domain;
    lag_kind kind;
    /// Human-readable description.
    std::string reason;
};

/// @brief Desired and observed state of a resource.
struct resource_status
{
    /// Key of the resource below /zinniahub/config/.
    std::string key;
    std::string desired;
    std::string observed;
    bool converged = false;
    std::vector<lagging_host> lagging;
};

/// @brief Compares the desired configuration with the reports of the hosts.
/// @param desired records with their revisions, including known tombstones
/// @param live hosts that are expected to report
/// @return one status per record, in the order of the records
/// @complexity O(records * hosts)
std::vector<resource_status> compare(
    std::span<const resource_record> desired, std::span<const host_entry> live,
    std::span<const domain_report> reports, time_point now);

} // namespace zinniahub
