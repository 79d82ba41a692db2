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

/// Reports older than this are dropped and count as missing. It allows for one
/// lost refresh.
inline constexpr duration report_lifetime = std::chrono::seconds(10);

/// A delegate writes an unchanged domain report again after this time, so that
/// an unchanged report differs from a delegate that stopped.
inline constexpr duration domain_report_refresh = std::chrono::seconds(5);

/// A host whose configuration was not confirmed for this time lags: it may have
/// missed the withdrawal of a key, which has to stop working within 5 s.
inline constexpr duration confirmation_lag_threshold = std::chrono::seconds(5);

/// A host whose configuration was not confirmed for this time refuses keyed
/// requests.
inline constexpr duration max_configuration_age = std::chrono::seconds(900);

/// @brief Work in progress on a resource that is being taken out of use.
struct resource_load
{
    /// Key of the resource below /zinniahub/config/.
    std::string resource;
    std::uint32_t open_requests = 0;
};

/// @brief A database group as one host sees it.
struct group_report
{
    std::string group;
    std::uint64_t term = 0;
    std::string primary;
    bool writable = false;
    /// Members the host cannot reach.
    std::vector<std::string> unreachable;
};

/// @brief What a host reports about itself.
struct host_report
{
    std::string host;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    /// Revision up to which the host has applied the configuration.
    std::uint64_t applied_revision = 0;
    /// Time since the platform last confirmed that configuration, counted at
    /// the time of the report.
    duration configuration_age{};
    /// Age of the report when it was sent or written.
    duration report_age{};
    std::vector<resource_load> loads;
    bool draining = false;
    std::vector<group_report> groups;
};

/// @brief Summary of a failure domain, written by its delegate.
struct domain_report
{
    std::string failure_domain;
    std::string delegate;
    std::vector<host_report> hosts;
    /// Time of writing on the reader's monotonic clock.
    time_point written_at{};
};

/// @brief Collects the newest report of every host.
class report_aggregator
{
public:
    /// @brief Takes a report, directly or through a relay.
    /// @return false if the report is older than 10 s or than the known one
    bool on_report(host_report report, time_point now);

    /// @brief Reports that are at most 10 s old, sorted by host, with their
    /// present age. Older ones are dropped.
    std::vector<host_report> reports(time_point now);

private:
    struct entry
    {
        host_report report;
        time_point reported_at;
    };

    std::map<std::string, entry, std::less<>> newest_reports_;
};

/// @brief Kinds of lag.
enum class lag_kind
{
    /// The failure domain has no report, or an old one.
    domain_silent,
    /// The host is live, but has no report.
    host_silent,
    revision_not_reached,
    configuration_unconfirmed,
    /// Requests are open on a resource that is taken out of use.
    open_requests,
    /// The host sees no writable primary of the group.
    no_writable_primary,
    /// The primary is a member that is to get no new work.
    primary_on_leaving_member
};

/// @brief Name of a kind, for example "host_silent".
std::string_view to_string(lag_kind value);

struct lagging_host
{
    /// Empty if the whole failure domain lags.
    std::string host;
    std::string failure_domain;
    lag_kind kind;
    /// Description for people.
    std::string reason;
};

/// @brief Desired and observed state of one resource.
struct resource_status
{
    /// Key of the resource below /zinniahub/config/.
    std::string key;
    std::string desired;
    std::string observed;
    bool converged = false;
    std::vector<lagging_host> lagging;
};

/// @brief Compares what is declared with what the hosts report.
/// @param desired records with their revisions, with deletions if known
/// @param live hosts that are expected to report
/// @return one status per record, in the order of the records
/// Complexity: O(records * hosts).
std::vector<resource_status> compare(
    std::span<const resource_record> desired, std::span<const host_entry> live,
    std::span<const domain_report> reports, time_point now);

} // namespace zinniahub
