#pragma once

#include <zinniahub/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Decides whether this host is cut off from most members, so that
/// clients are served better by other hosts.
///
/// A primary that is down, or one service that fails, does not count: the
/// other hosts would serve its clients no better.
class reach_monitor
{
public:
    struct settings
    {
        /// Part of the members that has to be out of reach.
        double lost_part = 0.5;
        /// Time for which it has to be so.
        duration lost_time = std::chrono::milliseconds(300);
        /// Time for which most members have to be in reach again.
        duration regained_time = std::chrono::milliseconds(500);
    };

    explicit reach_monitor(settings values)
        : settings_(values)
    {
    }

    /// @param members registered members
    /// @param unreachable those that did not answer lately
    void on_tick(std::size_t members, std::size_t unreachable, time_point now)
    {
        const bool lost = static_cast<double>(unreachable) >
                          settings_.lost_part * static_cast<double>(members);
        if (lost == isolated_)
        {
            changing_since_.reset();
            return;
        }
        if (!changing_since_)
        {
            changing_since_ = now;
        }
        const auto needed =
            lost ? settings_.lost_time : settings_.regained_time;
        if (now - *changing_since_ >= needed)
        {
            isolated_ = lost;
            since_ = now;
            changing_since_.reset();
        }
    }

    bool is_isolated() const
    {
        return isolated_;
    }
    /// @brief When the state was entered.
    time_point since() const
    {
        return since_;
    }

private:
    settings settings_;
    bool isolated_ = false;
    time_point since_ = time_point::min();
    std::optional<time_point> changing_since_;
};

} // namespace zinniahub
