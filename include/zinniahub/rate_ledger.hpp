#pragma once

#include <zinniahub/rate_share.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Shares of one customer's limit by host, in thousandths. The sum is
/// at most `whole`.
struct rate_shares
{
    static constexpr std::uint32_t whole = 1000;

    std::map<std::string, std::uint32_t, std::less<>> by_host;

    std::uint32_t sum() const;
    std::uint32_t of(std::string_view host) const;
};

/// @brief Limits of a customer that all hosts together keep in every window:
/// rate * window + burst.
struct rate_allowance
{
    /// Part by which the limit may be exceeded.
    double overage = 0;
    /// Operations per window beyond that.
    double tolerance = 0;
};

/// @brief This host's share of one customer's limit.
///
/// The shares of all hosts are kept in one record that is written by
/// compare-and-swap. A host lowers its share before it writes the lower value
/// and uses a higher share only after the write is confirmed, so the shares in
/// use never add up to more than the whole, whatever is lost or late. Tokens
/// above a lowered share are dropped and a raised share starts without tokens,
/// so that every window of all hosts together stays within the limit. A host
/// that starts again has an empty bucket, which covers what it had spent
/// before.
class rate_share_holder
{
public:
    struct settings
    {
        std::string host;
        rate_allowance allowance;
        /// Time between two changes of the share.
        duration adjust_interval = std::chrono::seconds(1);
        /// Share wanted, as a multiple of the host's part of the demand.
        double headroom = 1.5;
    };

    rate_share_holder(settings values, rate_limit limit, time_point now);

    /// @brief Changes the customer's limit.
    void set_limit(rate_limit limit, time_point now);

    /// @brief Takes the right to run one operation.
    bool try_take(time_point now);

    /// @brief Applies the shares as the store has them.
    /// @param lease_valid_until end of this host's registration as the host
    /// may assume it; after that its share may belong to others
    void on_shares(
        const rate_shares& shares, time_point lease_valid_until,
        time_point now);

    /// @brief The registration was renewed.
    void on_lease(time_point valid_until)
    {
        valid_until_ = valid_until;
    }

    /// @brief Decides whether to write other shares.
    ///
    /// A lower own share is in force at once.
    /// @param shares latest shares known
    /// @param hosts registered hosts; shares of others are free
    /// @return the shares to write by compare-and-swap
    /// @complexity linear in hosts
    std::optional<rate_shares> propose(
        const rate_shares& shares, const std::set<std::string>& hosts,
        time_point now);

    /// @brief Share in use, in thousandths.
    std::uint32_t share() const
    {
        return share_;
    }

    std::uint64_t refused() const
    {
        return refused_;
    }

private:
    void use_share(std::uint32_t share, time_point now);
    rate_limit limit_of(std::uint32_t share) const;
    std::uint32_t wanted_share(std::size_t hosts) const;
    void measure(time_point now);

    settings settings_;
    rate_limit limit_;
    token_bucket bucket_;
    std::uint32_t share_ = 0;
    time_point valid_until_ = time_point::min();
    time_point adjusted_at_;
    time_point measured_at_;
    std::uint32_t asked_ = 0;
    /// Operations per second asked for, smoothed.
    double demand_ = 0;
    std::uint64_t refused_ = 0;
    bool denied_ = false;
};

} // namespace zinniahub
