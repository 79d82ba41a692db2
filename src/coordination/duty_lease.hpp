#pragma once

#include "coordination/store.hpp"
#include "observability/event_log.hpp"

#include <zinniahub/lease.hpp>
#include <zinniahub/time.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief Key that the holder of the duty keeps under its lease.
inline constexpr std::string_view duty_key = "zinniahub/duty/promotion";

/// @brief Elects the one host that holds the duty of ordering promotions and
/// of reporting usage.
///
/// The holder keeps a key under a lease and stops as soon as the lease may
/// have expired. A fencing token is the revision of a write to that key, so
/// two hosts never have the same token.
class duty_lease
{
public:
    struct settings
    {
        std::string host;
        duration ttl = std::chrono::seconds(4);
        duration renew_interval = std::chrono::milliseconds(1000);
        /// Delay before another host claims a vacant duty, so that a restarted
        /// holder can claim it first.
        duration claim_delay = std::chrono::milliseconds(200);
        /// A host that gave the duty to another one does not take it back
        /// within this time; zero if it may.
        duration return_delay = duration::zero();
    };

    struct handlers
    {
        /// This host may claim the duty; it has what it needs for it.
        std::function<bool()> may_claim = [] { return true; };
        /// The duty was taken; called before anything else is done with it.
        std::function<void()> on_taken = [] {};
        /// Prepares the use of the duty; called after it was taken, and
        /// regularly while it is held.
        std::function<awaitable<void>()> prepare;
        std::function<void()> on_lost = [] {};
    };

    duty_lease(
        boost::asio::io_context& io, store& target, settings values,
        handlers callbacks, log::event_log& events);

    void start();
    /// @brief Applies an item below `state_prefix`.
    void on_item(const stored_item& item);
    /// @brief A new listing starts.
    void clear()
    {
        holder_.clear();
        revision_ = 0;
    }

    /// @brief An ineligible host, one that cannot reach most members, gives up
    /// the duty.
    void set_eligible(bool eligible)
    {
        eligible_ = eligible;
    }
    /// @brief Gives the duty up; the host is stopping.
    awaitable<void> stop();

    bool is_held(time_point now) const
    {
        return lease_id_ != 0 && lease_.is_valid(now);
    }
    /// @brief True until the loss of the duty was noticed.
    bool has_lease() const
    {
        return lease_id_ != 0;
    }
    /// @brief Number of the current uninterrupted period as the holder.
    std::uint64_t epoch() const
    {
        return lease_.epoch();
    }
    std::uint64_t lease() const
    {
        return lease_id_;
    }
    /// @brief Holder, as last read from the store; empty if there is none.
    const std::string& holder() const
    {
        return holder_;
    }
    /// @brief Revision of the holder's key, as last read from the store. A
    /// write of the holder expects it.
    std::uint64_t revision() const
    {
        return revision_;
    }
    /// @brief Revision under which the duty was taken.
    std::uint64_t taken_revision() const
    {
        return taken_revision_;
    }

    /// @brief Writes the holder's key again, which gives a new fencing token.
    awaitable<result<std::uint64_t>> renew_token();

private:
    awaitable<void> maintain();
    awaitable<void> acquire();
    awaitable<void> renew();
    /// Ends the lease at once, so that another host can acquire the duty.
    /// Repeats the call until it is answered or the lease has ended anyway.
    awaitable<void> release(std::string_view reason);
    awaitable<void> prepare();
    void on_lost(std::string_view reason);
    bool can_claim(time_point now) const;

    boost::asio::io_context& io_;
    store& store_;
    settings settings_;
    handlers handlers_;
    log::event_log& events_;
    lease_clock lease_;
    std::uint64_t lease_id_ = 0;
    std::uint64_t taken_revision_ = 0;
    std::string holder_;
    std::uint64_t revision_ = 0;
    time_point vacant_since_ = never;
    /// When this host last held the duty, or could have: an earlier process of
    /// this host may have held it until this one started.
    time_point last_held_at_;
    /// Another host has held the duty since then.
    bool held_elsewhere_ = false;
    bool leaving_ = false;
    bool eligible_ = true;
    /// When a renewal first got no answer. Renewals stop until the store
    /// answers again: they may arrive although answers are lost, and would
    /// keep the duty from a host that can use it.
    time_point renewal_failed_at_ = time_point::min();
};

} // namespace zinniahub::coordination
