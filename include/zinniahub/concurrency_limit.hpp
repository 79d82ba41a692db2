#pragma once

#include <zinniahub/time.hpp>

#include <algorithm>
#include <cstddef>

namespace zinniahub
{

/// @brief Adaptive limit of the statements that one host runs concurrently on
/// one upstream.
///
/// An upstream queues statements beyond its slots in order of arrival. The
/// limit keeps that queue short, so that requests wait at the host instead.
/// There they are ordered by priority and customer, and unused connections
/// remain available to other customers. The limit increases additively, by
/// about one per `limit` fast replies, and decreases multiplicatively after a
/// slow reply. Hosts that share an upstream observe the same queue and
/// therefore converge to similar limits.
class concurrency_limit
{
public:
    struct settings
    {
        /// Fraction of a request's latency objective that the upstream may use.
        double upstream_fraction = 0.35;
        /// Factor applied to the limit after a slow reply.
        double backoff_factor = 0.75;
        /// Limit before the first reply.
        double initial_limit = 8;
        /// Upper bound of the limit.
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

    /// @brief Returns true if one more statement may be sent.
    /// @param active number of statements without a reply
    bool allows(std::size_t active) const
    {
        return static_cast<double>(active + 1) <= limit_;
    }

    /// @brief Records a reply.
    /// @param objective latency objective of the request
    /// @param active number of statements without a reply, including this one
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

    /// @brief Records that the upstream refused a statement because its queue
    /// is full.
    void on_refused(time_point sent_at, time_point now)
    {
        shrink(sent_at, now);
    }

    double value() const
    {
        return limit_;
    }

private:
    /// Ignores statements that were sent before the last decrease, because they
    /// say nothing about the current limit.
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
