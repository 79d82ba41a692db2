#pragma once

#include <zinniahub/rate_share.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Share of every customer's limit that each host may use, in parts of
/// `total_parts`. The sum is at most `total_parts`.
struct rate_shares
{
    static constexpr std::uint32_t total_parts = 10000;

    std::map<std::string, std::uint32_t, std::less<>> by_host;

    std::uint32_t sum() const;
    std::uint32_t share_of(std::string_view host) const;
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
/// registration has ended. Only a host itself lowers its share. It stops using
/// the difference before it writes the lower share, and uses a higher share
/// only after that was written, so the shares in use never exceed the total.
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
        bool only_self) const;

    settings settings_;
    std::set<std::string> hosts_;
    time_point hosts_changed_at_ = time_point::min();
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

/// @brief Enforces this host's part of one customer's limit with a token bucket
/// that starts empty and never holds more than its capacity.
///
/// Hosts transfer tokens to one another. The receiver accepts no more than its
/// capacity allows, so all buckets together never hold more than the customer's
/// burst, and all hosts together stay within the limit in every window. Tokens
/// lost in transit are never spent. A restarted host begins with an empty
/// bucket, which accounts for the tokens it spent before the restart.
class host_rate_limiter
{
public:
    host_rate_limiter(
        rate_allowance allowance, rate_limit limit, time_point now);

    void set_limit(rate_limit limit, time_point now);
    /// @param share in parts of `rate_shares::total_parts`
    void set_share(std::uint32_t share, time_point now);

    bool try_take(time_point now);

    /// @brief Number of tokens to request from another host, 0 if none are
    /// needed.
    double wanted(time_point now);
    /// @brief Removes tokens for another host: at most half of those held, or
    /// the last one. Fractions of a token are transferred too, so that
    /// fractions held by several hosts add up to a usable token when the limit
    /// is small.
    /// @return tokens removed
    double give(double asked, time_point now);
    /// @brief Returns the token of an operation that was not sent to a member.
    void refund(time_point now)
    {
        bucket_.put(1, now);
    }
    /// @brief Adds tokens from another host. Tokens above the capacity are
    /// discarded.
    void receive(double tokens, time_point now);

    double level(time_point now);
    double capacity() const;
    /// @brief Time until this host holds the given number of tokens without
    /// tokens from other hosts; `duration::max()` if it never will.
    duration time_until_available(double tokens, time_point now);

private:
    void update(time_point now);
    rate_limit bucket_limit() const;

    rate_allowance allowance_;
    rate_limit limit_;
    std::uint32_t share_ = 0;
    token_bucket bucket_;
};

} // namespace zinniahub
