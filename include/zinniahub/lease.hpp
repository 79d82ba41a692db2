#pragma once

#include <zinniahub/time.hpp>

#include <algorithm>
#include <cstdint>

namespace zinniahub
{

/// @brief Tracks on the holder's side whether a lease is valid.
///
/// The validity period starts when the request is sent, because the grantor may
/// start the lease at any time after that, and is shortened by a margin. All
/// functions have constant complexity.
class lease_clock
{
public:
    /// Allows for clock drift and for pauses between check and use.
    static constexpr duration default_margin = std::chrono::milliseconds(200);

    explicit lease_clock(duration margin = default_margin)
        : margin_(margin)
    {
    }

    /// @brief Call before a grant or renewal request is sent.
    /// @return the time to pass to `on_granted` with the reply
    static time_point on_request_sent(time_point now)
    {
        return now;
    }

    /// @brief Records a granted lease or renewal. A late reply never shortens
    /// the validity period. A grant that does not overlap the previous validity
    /// period starts a new epoch, because another host may have held the lease
    /// in between.
    /// @param sent_at result of `on_request_sent` of the same request
    void on_granted(time_point sent_at, duration ttl)
    {
        const auto until = sent_at + ttl - margin_;
        if (sent_at < lost_at_ || until <= std::max(sent_at, valid_until_))
        {
            return;
        }
        if (epoch_ == 0 || sent_at >= valid_until_)
        {
            ++epoch_;
        }
        valid_until_ = until;
    }

    /// @brief Ends the validity after a release, or when the grantor reports
    /// that the lease does not exist. Late replies to earlier requests have no
    /// effect.
    void on_lost(time_point now)
    {
        lost_at_ = std::max(lost_at_, now);
        valid_until_ = std::min(valid_until_, now);
    }

    bool is_valid(time_point now) const
    {
        return now < valid_until_;
    }

    /// @brief End of the validity period; `time_point::min()` if no lease was
    /// granted.
    time_point valid_until() const
    {
        return valid_until_;
    }

    /// @brief Number of the current uninterrupted validity period, starting at
    /// 1; 0 before the first grant. State built up in an older epoch must not
    /// be used.
    std::uint64_t epoch() const
    {
        return epoch_;
    }

private:
    duration margin_;
    time_point valid_until_ = time_point::min();
    time_point lost_at_ = time_point::min();
    std::uint64_t epoch_ = 0;
};

} // namespace zinniahub
