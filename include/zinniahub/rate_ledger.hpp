#pragma once

#include <zinniahub/part_ranges.hpp>
#include <zinniahub/rate_share.hpp>
#include <zinniahub/registration_planner.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Parts of the rate limits that each host owns. The ranges of different
/// hosts are disjoint. A host keeps the portions of each customer's limit that
/// lie within its ranges.
struct rate_shares
{
    static constexpr std::uint32_t total_parts = 10000;

    std::map<std::string, part_ranges, std::less<>> by_host;
    /// Hosts that hold a number of parts without ranges, as written by earlier
    /// versions. No ranges are assigned until there are none.
    std::set<std::string, std::less<>> without_ranges;

    friend bool operator==(const rate_shares&, const rate_shares&) = default;

    std::uint32_t sum() const;
    /// @brief Number of parts of a host.
    std::uint32_t share_of(std::string_view host) const;
    const part_ranges& ranges_of(std::string_view host) const;
    part_ranges free_ranges() const;
    /// @brief True if the ranges are within `total_parts` and disjoint.
    bool is_valid() const;
    /// @brief Hosts that keep a portion of a customer's limit.
    std::vector<std::string> keepers_of(std::string_view customer) const;
};

/// @brief A change of the shares, to be written with compare-and-swap.
struct share_change
{
    rate_shares shares;
    /// Hosts whose shares are removed. None of them may be registered when the
    /// change is written.
    std::vector<std::string> removed_hosts;
};

/// @brief Decides how the shares of the hosts change.
///
/// Registered hosts get equal shares. Half a share is left unassigned for a
/// host that joins, because a share is removed only from a host whose
/// registration ended a while ago: until then that host may still rely on its
/// last read of the registration. Only a host itself lowers its share. It stops
/// using the difference before it writes the lower share, and uses a higher
/// share only after that was written, so no part is in use by two hosts.
class share_planner
{
public:
    struct settings
    {
        std::string host;
        /// Time without a change of the registered hosts before shares are
        /// assigned. Hosts that start together register within this time.
        duration settle_time = std::chrono::milliseconds(700);
        /// Time after which a host without a share assigns one to itself.
        duration self_assign_delay = std::chrono::milliseconds(1500);
        /// Time from reading that a registration has ended until the share of
        /// the host is removed.
        duration removal_delay =
            registration_read_validity + std::chrono::seconds(1);
        /// Maximum number of hosts that one change removes.
        std::size_t max_removed_hosts = 24;
    };

    explicit share_planner(settings values)
        : settings_(std::move(values))
    {
    }

    /// @brief Returns the next change of the shares, if any.
    /// @param hosts registered hosts, including this one
    /// @complexity linear in hosts
    std::optional<share_change> on_tick(
        const std::set<std::string>& hosts, const rate_shares& shares,
        time_point now);

private:
    static std::uint32_t equal_share(std::size_t hosts);
    share_change assign_free_shares(
        const std::set<std::string>& hosts, const rate_shares& shares,
        bool only_self, time_point now) const;
    std::optional<share_change> remove_shares_without_ranges(
        const std::set<std::string>& hosts, const rate_shares& shares) const;
    void update_ended_hosts(
        const std::set<std::string>& hosts, const rate_shares& shares,
        time_point now);
    void remove_ended_hosts(
        share_change& change, std::uint32_t needed, time_point now) const;

    settings settings_;
    std::set<std::string> hosts_;
    time_point hosts_changed_at_ = time_point::min();
    /// Hosts that hold a share without a registration, and since when.
    std::map<std::string, time_point, std::less<>> ended_since_;
    time_point last_tick_at_ = time_point::min();
    std::optional<time_point> without_share_since_;
};

/// @brief Tolerance of the rate limits. In every window, all hosts together
/// admit at most (rate * window + burst) * (1 + overage) + tolerance operations
/// of a customer.
struct rate_allowance
{
    double overage = 0;
    /// Number of operations.
    double tolerance = 0;
    duration window = std::chrono::seconds(5);
};

/// Time for which a lent token may be used. It is counted from before the
/// request for it was sent and covers a round trip between the hosts.
inline constexpr duration lent_token_validity = std::chrono::milliseconds(200);

/// @brief Enforces this host's part of one customer's limit with a token bucket
/// that starts empty and never holds more than its capacity.
///
/// Hosts lend tokens to one another, also to hosts without a part. A lent token
/// expires `lent_token_validity` after it was requested and is not lent again.
/// Every operation of a window of length w thus takes a token that left a
/// bucket at most w + `lent_token_validity` before the end of the window. The
/// refill of the buckets is lowered so that even the tokens of this longer
/// window stay within the limit. Tokens lost in transit are never spent. A
/// restarted host begins with an empty bucket, which accounts for the tokens it
/// spent before the restart.
class host_rate_limiter
{
public:
    host_rate_limiter(
        rate_allowance allowance, rate_limit limit, time_point now);

    void set_limit(rate_limit limit, time_point now);
    /// @param share in parts of `rate_shares::total_parts`
    /// @param valid_until time from which the share may belong to another host
    void set_share(
        std::uint32_t share, time_point now, time_point valid_until = never);

    /// @brief Takes a token, a lent one if there is any.
    bool try_take(time_point now);

    /// @brief Number of tokens to request from another host, 0 if none are
    /// needed: one for each waiting operation, and as many as the recent load
    /// uses within a round trip.
    double wanted(time_point now, std::size_t waiting = 1);
    /// @brief Removes whole tokens for another host: at most half of those
    /// held, or the last one.
    /// @return tokens removed
    double give(double asked, time_point now);
    /// @brief Returns the token of an operation that was not sent to a member.
    void refund(time_point now);
    /// @brief Adds tokens that another host lent.
    /// @param requested_at time before the request for the tokens was sent
    void receive(double tokens, time_point now, time_point requested_at);
    void receive(double tokens, time_point now)
    {
        receive(tokens, now, now);
    }

    /// @brief Number of tokens in the bucket.
    double level(time_point now);
    double capacity() const;
    std::uint32_t share() const
    {
        return share_;
    }
    /// @brief Time until this host holds the given number of tokens without
    /// tokens from other hosts; `duration::max()` if it never will.
    duration time_until_available(double tokens, time_point now);

private:
    struct lent_tokens
    {
        double count;
        time_point expires_at;
    };

    void update(time_point now);
    void drop_expired(time_point now);
    double lent() const;
    rate_limit bucket_limit() const;

    rate_allowance allowance_;
    rate_limit limit_;
    std::uint32_t share_ = 0;
    time_point share_valid_until_ = never;
    token_bucket bucket_;
    std::deque<lent_tokens> lent_;
    sliding_window_counter taken_;
};

} // namespace zinniahub
