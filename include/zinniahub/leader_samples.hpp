#pragma once

#include <zinniahub/log_position.hpp>
#include <zinniahub/time.hpp>

#include <deque>
#include <optional>

namespace zinniahub
{

/// @brief Log positions that the primary of a group had at known times.
///
/// A position that a member reports while it is the primary covers every
/// commit acknowledged before the command was sent. A read with bounded
/// staleness may run on any member that has such a position, if the command
/// was sent within the bound.
class leader_samples
{
public:
    /// Distance of the samples that are kept.
    static constexpr duration spacing = std::chrono::milliseconds(50);
    /// Samples older than this serve no bound.
    static constexpr duration longest_bound = std::chrono::seconds(10);

    /// @brief Records a position.
    /// @param sent_at when the command was sent whose reply proves both the
    /// position and that the member was the primary
    void add(time_point sent_at, log_position position)
    {
        if (!samples_.empty() && sent_at < samples_.back().sent_at)
        {
            return;
        }
        if (samples_.size() > 1 &&
            sent_at - samples_[samples_.size() - 2].sent_at < spacing)
        {
            samples_.back() = {sent_at, position};
        }
        else
        {
            samples_.push_back({sent_at, position});
        }
        while (samples_.front().sent_at < sent_at - longest_bound)
        {
            samples_.pop_front();
        }
    }

    /// @brief Position that a member needs for a read that starts now.
    /// @param bound largest staleness, less a margin for the way to the member
    /// @return the lowest sufficient position; none if no sample is young
    /// enough
    /// @complexity linear in the samples kept
    std::optional<log_position> required(time_point now, duration bound) const
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

    /// @brief Shortest time by which a log can be behind the primary's: the age
    /// of the first sample beyond its end; zero if there is none.
    /// @param position end of the log
    /// @complexity linear in the samples kept
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

    /// @brief When the primary is first known to have had a position; `now` if
    /// it is newer than all samples.
    /// @complexity linear in the samples kept
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

    /// @brief When the newest sample was taken; `time_point::min()` if none.
    time_point newest() const
    {
        return samples_.empty() ? time_point::min() : samples_.back().sent_at;
    }

    /// @brief Newest position; none without samples.
    std::optional<log_position> position() const
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
