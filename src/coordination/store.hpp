#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/time.hpp>
#include <zinniahub/usage_counter.hpp>

// Boost 1.74 uses std::exchange in awaitable.hpp without its header.
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinniahub::coordination
{

template<typename T>
using awaitable = boost::asio::awaitable<T>;

struct stored_item
{
    std::string key;
    std::string value;
    /// Revision of the last change.
    std::uint64_t revision = 0;
    /// Lease that the item depends on, 0 if none.
    std::uint64_t lease = 0;
    /// The item was removed; only `key` and `revision` are set.
    bool removed = false;
};

/// @brief Items or events, and the store revision up to which they are
/// complete.
struct store_batch
{
    std::vector<stored_item> items;
    std::uint64_t revision = 0;
};

struct store_lease
{
    std::uint64_t id = 0;
    duration ttl{};
};

/// @brief Changes that the store applies atomically.
struct store_transaction
{
    struct precondition
    {
        std::string key;
        /// 0: the key does not exist.
        std::uint64_t revision = 0;
    };
    struct write
    {
        std::string key;
        std::string value;
        std::uint64_t lease = 0;
    };
    std::vector<precondition> preconditions;
    std::vector<write> writes;
    std::vector<std::string> removals;
};

/// @brief The key-value store that holds all persistent state.
///
/// Failures: `errc::platform_unavailable` if the store refused the call and did
/// nothing, `errc::platform_rate_limited`, `errc::connection_lost` or
/// `errc::reply_timeout` if a call may have been executed or may still be,
/// `errc::conflict` if a precondition does not hold, `errc::lease_expired` for
/// an unknown lease, `errc::not_found` if the history since a revision is gone.
class store
{
public:
    virtual ~store() = default;

    /// @brief All items below a prefix. Pages are not a snapshot; `revision` of
    /// the batch is that of the first page, so that a watch from it misses no
    /// change.
    virtual awaitable<result<store_batch>> list(std::string_view prefix) = 0;

    /// @brief Waits for changes after a revision, at most `wait`.
    virtual awaitable<result<store_batch>>
    watch(std::string_view prefix, std::uint64_t after, duration wait) = 0;

    /// @brief @return the revision of the change
    virtual awaitable<result<std::uint64_t>>
    commit(const store_transaction& transaction) = 0;

    virtual awaitable<result<store_lease>> grant_lease(duration ttl) = 0;
    /// @brief @return the lifetime from the arrival of the call
    virtual awaitable<result<duration>> renew_lease(std::uint64_t lease) = 0;
    virtual awaitable<result<void>> revoke_lease(std::uint64_t lease) = 0;

    /// @brief Last time at which the store answered anything; min() before.
    virtual time_point last_answer_at() const = 0;
};

/// @brief Orders promotions; see `failover_planner`.
class promotion_api
{
public:
    virtual ~promotion_api() = default;
    /// @return `errc::conflict` if the token is too low or the member is not
    /// running; see `store` for the other failures
    virtual awaitable<result<void>> promote(
        std::string_view service, std::string_view instance,
        std::string_view holder, std::uint64_t token) = 0;
};

/// @brief Reports how many operations members ran; see `usage_report_planner`.
class usage_api
{
public:
    virtual ~usage_api() = default;
    /// @return `errc::conflict` if a higher token was seen; see `store` for the
    /// other failures
    virtual awaitable<result<void>> report_usage(
        std::uint64_t window, const usage_counts& counts,
        std::string_view holder, std::uint64_t token) = 0;
};

} // namespace zinniahub::coordination
