#pragma once

#include <zinniahub/time.hpp>

#include <algorithm>

namespace zinniahub
{

/// @brief Estimates how long a resource that is missing, for example the
/// primary of a service, will be missing from now on.
///
/// Handles outages of similar length, such as planned and unplanned changes of
/// the primary: the estimate follows the lengths of earlier outages.
class outage_estimate
{
public:
    struct settings
    {
        /// Assumed length of the first outage.
        duration first_length = std::chrono::seconds(3);
        duration min_length = std::chrono::milliseconds(100);
        duration max_length = std::chrono::seconds(10);
        /// Part of the length of an outage that still remains when it lasts
        /// longer than estimated.
        double overdue_part = 0.25;
        /// Shorter outages, such as one lost connection, say nothing about the
        /// length of others.
        duration min_counted = std::chrono::milliseconds(250);
        /// A longer gap without a report ends an outage: nothing is known of
        /// the resource in between.
        duration max_gap = std::chrono::seconds(1);
    };

    outage_estimate()
        : outage_estimate(settings{})
    {
    }
    explicit outage_estimate(settings values)
        : settings_(values)
        , length_(values.first_length)
    {
    }

    /// @brief The resource is missing.
    void on_missing(time_point now)
    {
        if (missing_since_ == never || is_stale(now))
        {
            missing_since_ = now;
        }
        last_missing_at_ = now;
    }

    /// @brief The resource is there.
    void on_present(time_point now)
    {
        if (missing_since_ == never)
        {
            return;
        }
        if (!is_stale(now) && now - missing_since_ >= settings_.min_counted)
        {
            // The mean of the last outage and the estimate before it.
            length_ = bounded((length_ + (now - missing_since_)) / 2);
        }
        missing_since_ = never;
    }

    /// @brief Time until the resource is expected; zero if it is there.
    duration remaining(time_point now) const
    {
        if (missing_since_ == never || is_stale(now))
        {
            return duration::zero();
        }
        const auto elapsed = now - missing_since_;
        const auto overdue =
            from_seconds(to_seconds(elapsed) * settings_.overdue_part);
        return bounded(std::max(length_ - elapsed, overdue));
    }

private:
    bool is_stale(time_point now) const
    {
        return now - last_missing_at_ > settings_.max_gap;
    }
    duration bounded(duration value) const
    {
        return std::clamp(value, settings_.min_length, settings_.max_length);
    }

    settings settings_;
    duration length_;
    time_point missing_since_ = never;
    time_point last_missing_at_{};
};

} // namespace zinniahub
