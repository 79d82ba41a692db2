#pragma once

#include <zinniahub/log_position.hpp>
#include <zinniahub/time.hpp>

#include <deque>
#include <optional>

namespace zinniahub
{

/// @brief Log positions of a group's primary at known times.
///
/// A position reported by the primary covers every commit acknowledged before
/// the command was sent. A read with bounded staleness may run on any member
/// that has reached such a position, if the command was sent within the bound.
class primary_position_history
{
public:
    /// Minimum interval between retained samples.
    static constexpr duration min_sample_interval =
        std::chrono::milliseconds(50);
    /// Age at which samples are discarded. Larger staleness bounds are not
    /// supported.
    static constexpr duration retention = std::chrono::seconds(10);

    /// @brief Records a position.
    /// @param sent_at time at which the command was sent whose reply confirms
    /// the position and that the member was the primary
    void add(time_point sent_at, log_position position)
    {
        if (!samples_.empty() && sent_at < samples_.back().sent_at)
        {
            return;
        }
        if (samples_.size() > 1 &&
            sent_at - samples_[samples_.size() - 2].sent_at <
                min_sample_interval)
        {
            samples_.back() = {sent_at, position};
        }
        else
        {
            samples_.push_back({sent_at, position});
        }
        while (samples_.front().sent_at < sent_at - retention)
        {
            samples_.pop_front();
        }
    }

    /// @brief Position that a member must have reached for a read that starts
    /// now.
    /// @param bound maximum staleness, minus a margin for the latency to the
    /// member
    /// @return the lowest sufficient position; none if no sample is recent
    /// enough
    /// @complexity linear in the number of samples
    std::optional<log_position>
    required_position(time_point now, duration bound) const
    {
        for (const auto& value : samples_)
        {
            if (value.sent_at >= now - bound)
            {
                return value.position;
            }
        }
        return std::nullopt;
    }

    /// @brief Lower bound on the replication lag of a log: the age of the first
    /// sample beyond its end; zero if there is none.
    /// @param position end of the log
    /// @complexity linear in the number of samples
    duration lag_of(log_position position, time_point now) const
    {
        for (const auto& value : samples_)
        {
            if (value.position > position)
            {
                return now - value.sent_at;
            }
        }
        return duration::zero();
    }

    /// @brief Earliest time at which the primary is known to have reached a
    /// position; `now` if the position is newer than all samples.
    /// @complexity linear in the number of samples
    time_point reached_at(log_position position, time_point now) const
    {
        for (const auto& value : samples_)
        {
            if (value.position >= position)
            {
                return value.sent_at;
            }
        }
        return now;
    }

    /// @brief Time of the newest sample; `time_point::min()` if there is none.
    time_point newest_sample_time() const
    {
        return samples_.empty() ? time_point::min() : samples_.back().sent_at;
    }

    /// @brief Position of the newest sample, if any.
    std::optional<log_position> newest_position() const
    {
        if (samples_.empty())
        {
            return std::nullopt;
        }
        return samples_.back().position;
    }

private:
    struct sample
    {
        time_point sent_at;
        log_position position;
    };

    std::deque<sample> samples_;
};

} // namespace zinniahub
