#pragma once

#include <zinniahub/time.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Time of day that the hosts agree on.
///
/// Load: the time of day of a host may jump by seconds and back, while that of
/// most hosts is right. The result is the median over this host and the hosts
/// that it has heard from recently, so jumps on a minority have no effect.
class fleet_time
{
public:
    /// Age up to which the report of a host counts.
    static constexpr duration report_lifetime = std::chrono::seconds(10);
    /// Reports beyond this number of hosts are ignored.
    static constexpr std::size_t max_hosts = 2048;

    /// @brief Another host has reported its time of day.
    /// @param time_of_day time since the start of 1970
    void on_report(
        std::string_view host, duration time_of_day, time_point received_at);

    /// @brief Takes this host's own time of day and computes the median again.
    /// Complexity: linear in the number of hosts.
    void update(duration own_time_of_day, time_point now);

    /// @brief Time of day at a point in time, as of the last `update`.
    duration at(time_point when) const
    {
        return when.time_since_epoch() + offset_;
    }

    /// @brief Hosts whose reports were used, this one included.
    std::size_t hosts() const
    {
        return reports_.size() + 1;
    }

private:
    struct report
    {
        /// Time of day minus `clock`.
        duration offset{};
        time_point received_at;
    };

    std::map<std::string, report, std::less<>> reports_;
    duration offset_{};
};

} // namespace zinniahub
