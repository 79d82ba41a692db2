#pragma once

#include <zinniahub/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Detects that this host cannot reach most members, so that other hosts
/// can serve callers better.
///
/// A failed primary or a single failed service does not count as isolation,
/// because other hosts could not reach it either.
class isolation_detector
{
public:
    struct settings
    {
        /// The host is isolated if more than this fraction of the members is
        /// unreachable.
        double unreachable_fraction = 0.5;
        /// Time for which the members must be unreachable.
        duration isolation_delay = std::chrono::milliseconds(300);
        /// Time for which enough members must be reachable again.
        duration recovery_delay = std::chrono::milliseconds(500);
    };

    explicit isolation_detector(settings values)
        : settings_(values)
    {
    }

    /// @param members number of registered members
    /// @param unreachable number of members without a recent reply
    void on_tick(std::size_t members, std::size_t unreachable, time_point now)
    {
        const bool lost =
            static_cast<double>(unreachable) >
            settings_.unreachable_fraction * static_cast<double>(members);
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
            lost ? settings_.isolation_delay : settings_.recovery_delay;
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
    /// @brief Time of the last state change.
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
