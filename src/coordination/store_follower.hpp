#pragma once

#include "coordination/store.hpp"
#include "observability/event_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// @brief Keeps copies of the items below some prefixes up to date: lists each
/// prefix, then watches the whole store for changes, and lists again when the
/// store has compacted the history since the last revision.
///
/// One watch serves all prefixes, because each call to the store has a price
/// and hosts are many. Items of a prefix come in the order of their revisions,
/// never an older state after a newer one.
class store_follower
{
public:
    struct settings
    {
        /// Longest wait of one watch call. The loss of a watch call on the
        /// network may be noticed only after this time.
        duration watch_wait = std::chrono::milliseconds(1700);
        /// Pause after changes, so that further ones are batched.
        duration batch_delay = std::chrono::milliseconds(0);
    };

    using handler = std::function<void(const store_batch&)>;
    struct subscription
    {
        std::string prefix;
        /// All items, after a new listing.
        handler on_listed;
        /// Changes since the last batch.
        handler on_changed;
    };

    /// @param subscriptions listed in this order
    store_follower(
        boost::asio::io_context& io, store& source, settings values,
        std::vector<subscription> subscriptions, log::event_log& events);

    /// @brief Follows until the io_context ends.
    void start();

    /// @brief While prompt, the follower does not batch changes.
    void set_prompt(bool prompt);

    /// @brief Last time at which the copies were up to date; min() before the
    /// first listing.
    time_point synced_at() const
    {
        return synced_at_;
    }

private:
    struct followed_prefix
    {
        subscription source;
        /// Revision of the listing. The watch may return earlier changes.
        std::uint64_t listed_at = 0;
    };

    awaitable<void> follow();
    awaitable<bool> list_all();
    awaitable<bool> list(followed_prefix& target);
    awaitable<bool> watch();
    void deliver_changes(const store_batch& batch);
    /// Passes a batch on. An exception ends only this call.
    void deliver(
        std::string_view prefix, const handler& receiver,
        const store_batch& batch);
    awaitable<void> sleep(duration length);
    awaitable<void> wait_for_batch();
    void on_failure(std::string_view prefix, const error& failure);
    void on_success();

    boost::asio::io_context& io_;
    store& store_;
    settings settings_;
    std::vector<followed_prefix> prefixes_;
    log::event_log& events_;
    std::uint64_t revision_ = 0;
    time_point synced_at_ = time_point::min();
    unsigned failures_ = 0;
    /// The last watch returned changes.
    bool has_changes_ = false;
    bool prompt_ = false;
    /// Runs during the pause between two watch calls.
    boost::asio::steady_timer batch_timer_;
};

} // namespace zinniahub::coordination
