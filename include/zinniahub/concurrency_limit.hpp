#pragma once

#include <zinniahub/time.hpp>

#include <algorithm>
#include <cstddef>

namespace zinniahub
{

/// @brief Number of statements that one host runs at a time on one upstream.
///
/// An upstream queues statements beyond its slots, in the order in which they
/// arrive. The limit keeps that queue short, so that requests wait at the host,
/// where they are ordered by priority and customer, and where connections that
/// are not in use stay free for other customers. It grows by one in a round of
/// quick answers and shrinks after a slow one. Several hosts that share an
/// upstream see the same queue and so reach similar limits.
class concurrency_limit
{
public:
    struct settings
    {
        /// Part of a request's latency objective that the upstream may take.
        double upstream_fraction = 0.35;
        /// Factor of the limit after a slow answer.
        double backoff_factor = 0.75;
        /// Limit of a host that has seen no answer yet.
        double initial_limit = 8;
        /// Limit that is never exceeded.
        double max_limit = 64;
    };

    concurrency_limit()
        : concurrency_limit(settings{})
    {
    }
    explicit concurrency_limit(settings values)
        : settings_(values)
        , limit_(values.initial_limit)
    {
    }

    /// @brief True if one more statement may be sent.
    /// @param active statements without an answer
    bool allows(std::size_t active) const
    {
        return static_cast<double>(active + 1) <= limit_;
    }

    /// @brief Records an answer.
    /// @param objective latency objective of the request
    /// @param active statements without an answer, this one included
    void on_answer(
        time_point sent_at, time_point now, duration objective,
        std::size_t active)
    {
        if (to_seconds(now - sent_at) >
            settings_.upstream_fraction * to_seconds(objective))
        {
            shrink(sent_at, now);
        }
        else if (static_cast<double>(active + 1) > limit_)
        {
            limit_ = std::min(settings_.max_limit, limit_ + 1 / limit_);
        }
    }

    /// @brief Records that the upstream refused a statement because too many
    /// wait there.
    void on_refused(time_point sent_at, time_point now)
    {
        shrink(sent_at, now);
    }

    double value() const
    {
        return limit_;
    }

private:
    /// Statements that were sent before the limit shrank say nothing about the
    /// new limit.
    void shrink(time_point sent_at, time_point now)
    {
        if (sent_at >= shrunk_at_)
        {
            limit_ = std::max(1.0, limit_ * settings_.backoff_factor);
            shrunk_at_ = now;
        }
    }

    settings settings_;
    double limit_;
    time_point shrunk_at_ = time_point::min();
};

} // namespace zinniahub
