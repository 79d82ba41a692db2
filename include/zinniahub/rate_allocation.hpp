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

/// @brief Shares of all customers' limits by host. The sum is at most `whole`.
struct rate_shares
{
    static constexpr std::uint32_t total_parts = 10000;

    std::map<std::string, std::uint32_t, std::less<>> by_host;

    std::uint32_t sum() const;
    std::uint32_t share_of(std::string_view host) const;
};

/// @brief A change of the shares, to be written by compare-and-swap.
struct share_change
{
    rate_shares shares;
    /// Hosts whose shares are taken away; they must not be registered when the
    /// change is written.
    std::vector<std::string> removed_hosts;
};

/// @brief Decides how the shares of the hosts change.
///
/// Registered hosts get equal shares. Half a share is left free for a host that
/// comes, because a share is taken away only from a host whose registration
/// has ended. Only a host itself lowers its share, before it writes the lower
/// one, and uses a higher share only after it was written, so the shares in use
/// never exceed the whole.
class share_planner
{
public:
    struct settings
    {
        std::string host;
        /// Hosts that start together register within this time.
        duration settle_time = std::chrono::milliseconds(700);
        /// Time after which a host without a share adds itself.
        duration self_assign_delay = std::chrono::milliseconds(1500);
        /// Most shares that one change takes away.
        std::size_t max_removed_hosts = 24;
    };

    explicit share_planner(settings values)
        : settings_(std::move(values))
    {
    }

    /// @brief Next change, if any.
    /// @param hosts registered hosts, with this one
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

/// @brief Limits of a customer that all hosts together keep in every window:
/// (rate * window + burst) * (1 + overage) + tolerance.
struct rate_allowance
{
    double overage = 0;
    /// Operations.
    double tolerance = 0;
    duration window = std::chrono::seconds(5);
};

/// @brief This host's part of one customer's limit: a token bucket that starts
/// empty and never holds more than its capacity.
///
/// Hosts give tokens to one another. The receiver takes no more than fit, so
/// all buckets together never hold more than the customer's burst, and every
/// window of all hosts together stays within the limit. Tokens that are lost
/// on the way are never spent. The bucket of a host that starts again is
/// empty, which covers what it had spent before.
class host_rate_limiter
{
public:
    host_rate_limiter(
        rate_allowance allowance, rate_limit limit, time_point now);

    void set_limit(rate_limit limit, time_point now);
    /// @param share in parts of `rate_shares::whole`
    void set_share(std::uint32_t share, time_point now);

    bool try_take(time_point now);

    /// @brief Tokens to ask another host for, 0 if none are needed.
    double wanted(time_point now);
    /// @brief Takes tokens out for another host: at most half of those held, or
    /// the last one. Parts of a token are given too, so that what several hosts
    /// hold of a small limit serves a request.
    double give(double asked, time_point now);
    /// @brief Puts a token back whose operation has not been sent to a member.
    void refund(time_point now)
    {
        bucket_.put(1, now);
    }
    /// @brief Adds tokens from another host. Those that do not fit are dropped.
    void receive(double tokens, time_point now);

    double level(time_point now);
    double capacity() const;
    /// @brief Time until this host holds some tokens without the help of
    /// others; `duration::max()` if it never does.
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
