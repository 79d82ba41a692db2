#pragma once

#include <zinniahub/membership.hpp>
#include <zinniahub/time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace zinniahub
{

/// @brief Chooses the sources from which a host gets the configuration.
///
/// A delegate watches the platform, and every other host asks its parent in
/// the relay tree. A host for which neither source works asks the platform and
/// other hosts, so that a partitioned host can use any source it can reach.
class relay_planner
{
public:
    struct settings
    {
        std::string host;
        std::string failure_domain;
        /// Interval between plans.
        duration sync_interval;
        std::size_t fan_out = relay_fan_out;
    };

    /// @brief Other input to a plan.
    struct view
    {
        bool is_delegate = false;
        /// Delegate of the failure domain; empty if unknown.
        std::string delegate;
        /// Time at which the platform last confirmed the configuration.
        time_point confirmed_at{};
    };

    struct plan
    {
        bool watch_platform = false;
        /// Hosts to ask, without duplicates.
        std::vector<std::string> hosts;
    };

    explicit relay_planner(settings values);

    /// @brief Plans one sync round. Call once per sync interval.
    /// Complexity: linear in the number of known hosts.
    plan next(const host_list& hosts, const view& seen, time_point now);

    /// @brief Records a reply from a host whose configuration is at least as
    /// new as the one of this host.
    /// @param sent_at time at which the request was sent
    /// @param configuration_age time since the platform confirmed the
    /// configuration of the responding host
    void on_current_reply(time_point sent_at, duration configuration_age);

private:
    std::string
    relay_source(std::span<const host_entry> live, const view& seen) const;
    duration staleness_limit() const;

    settings settings_;
    /// Time at which another host last confirmed this host's configuration.
    time_point peer_confirmed_at_{};
    std::uint64_t round_ = 0;
};

} // namespace zinniahub
