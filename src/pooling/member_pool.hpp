#pragma once

#include "pooling/ports.hpp"

#include <zinniahub/concurrency_limit.hpp>
#include <zinniahub/idle_budget.hpp>
#include <zinniahub/member_estimate.hpp>
#include <zinniahub/session_values.hpp>

#include <algorithm>
#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace zinniahub::pooling
{

/// @brief A connection that is shared by sessions, one transaction at a time.
struct pooled_connection
{
    std::unique_ptr<member_connection> link;
    connection_values values;
    std::string customer;
    /// Number of the connection on this host, for logs.
    std::uint64_t number = 0;
    time_point idle_since{};
};

using pooled_connection_ptr = std::unique_ptr<pooled_connection>;

/// @brief Connections of this host to one member, and what the host has seen
/// of it.
///
/// A member knows each connection's customer, so a connection serves the
/// sessions of one customer only.
class member_pool
{
public:
    struct limits
    {
        /// Connections that this host may always open.
        std::uint32_t own_share = 1;
        /// Connections that the member accepts from all hosts.
        std::uint32_t member_limit = 1;

        /// @brief Limits of one of `hosts` hosts.
        static limits of(std::uint32_t member_limit, std::size_t hosts);
    };

    /// @brief How a connection can be obtained.
    enum class availability
    {
        /// An idle connection of the customer.
        idle,
        /// A connection may be opened.
        open,
        /// An idle connection of another customer has to be closed first.
        replace,
        none
    };

    void set_limits(limits values)
    {
        limits_ = values;
    }
    /// @brief Sets the number of idle connections that are kept, see
    /// `idle_share::allowance`.
    void set_max_idle(std::uint32_t value)
    {
        max_idle_ = value;
    }
    std::uint32_t max_idle() const
    {
        return max_idle_;
    }
    std::size_t idle_count() const
    {
        return idle_.size();
    }

    availability
    availability_for(std::string_view customer, time_point now) const;

    /// @brief Takes an idle connection, one that holds the session's values if
    /// there is one.
    pooled_connection_ptr
    take_idle(std::string_view customer, const session_values& session);

    /// @brief Takes an idle connection of any customer, for a command of the
    /// proxy itself.
    pooled_connection_ptr take_any_idle();

    /// @brief Closes the connection that has been idle longest.
    void close_oldest_idle();

    /// @brief Closes connections that were idle for too long, and those beyond
    /// `max_idle` after a short time; the ones used last are kept.
    void close_surplus(time_point now);
    /// @brief True if the connection that was idle longest is hardly used, so
    /// that a request of another customer may replace it.
    bool has_replaceable(time_point now) const
    {
        return !idle_.empty() &&
               now - idle_.back()->idle_since > idle_budget::replaceable_after;
    }
    void close_all_idle();

    /// @brief A connection is being opened.
    void on_connecting()
    {
        ++in_use_;
        ++connecting_;
    }
    void on_connect_failed(const connect_failure& failure, time_point now);
    void on_connected();

    /// @brief Returns a connection to the pool; a broken one is closed.
    void return_connection(pooled_connection_ptr connection, time_point now);

    /// @brief The member dropped the session state of a connection; idle ones
    /// are not relied on either.
    void on_state_lost();

    /// @brief A call on a connection failed.
    void on_call_failed(time_point now);
    /// @brief The member answered.
    void on_answer(const reply& value, time_point now);

    /// @brief True while the member is not used because it failed. When that
    /// time is over, one connection attempt tests it.
    bool is_suspect(time_point now) const
    {
        return now < suspect_until_ ||
               (suspect_duration_ > duration::zero() && connecting_ > 0);
    }
    /// @brief True while the member has failed and not answered since.
    bool is_unreachable() const
    {
        return suspect_duration_ > duration::zero();
    }
    /// @brief When the member's oldest call without an answer was sent.
    time_point oldest_call_sent_at() const
    {
        return calls_.empty() ? never : *calls_.begin();
    }
    time_point last_answer_at() const
    {
        return last_answer_at_;
    }
    /// @brief The member answered a connection attempt.
    void on_contact(time_point now)
    {
        contact_at_ = now;
    }
    /// @brief Last answer to a call or to a connection attempt.
    time_point last_contact_at() const
    {
        return std::max(contact_at_, last_answer_at_);
    }
    void on_call_sent(time_point sent_at)
    {
        calls_.insert(sent_at);
    }
    void on_call_ended(time_point sent_at)
    {
        calls_.erase(calls_.find(sent_at));
    }
    /// @brief A client's statement was answered.
    void on_statement_answered(
        time_point sent_at, time_point now, duration objective,
        reply_code code);
    /// @brief A read that was sent outside of a transaction was answered.
    void on_read_answered(duration taken, reply_code code);
    /// @brief Expected time to an answer of the member.
    const member_estimate& estimate() const
    {
        return estimate_;
    }
    member_estimate& estimate()
    {
        return estimate_;
    }
    /// @brief Records how the member compares with the others.
    /// @return false if that is as before
    bool set_judgement(member_judgement value)
    {
        return std::exchange(judgement_, value) != value;
    }
    member_judgement judgement() const
    {
        return judgement_;
    }
    /// @brief True if one more statement may be sent to the member.
    bool has_capacity() const
    {
        return concurrency_.allows(calls_.size() + connecting_);
    }
    /// @brief How far the member's log is behind the primary's, from its last
    /// answer; zero if that is too old to tell.
    duration lag(time_point now) const;
    /// @brief Last position that the member reported.
    log_position position() const
    {
        return position_;
    }
    void set_position(log_position value, duration lag, time_point now)
    {
        position_ = value;
        lag_ = lag;
        lag_known_at_ = now;
    }
    /// @brief True after the member said that it is not the primary.
    bool denied_primary(time_point now) const
    {
        return now < not_primary_until_;
    }

    /// @brief False if the member is certainly not used as the primary before
    /// `until`: it denied to be the primary, or it failed and no call or
    /// connection attempt is in progress that may show otherwise.
    bool may_become_primary(time_point until) const
    {
        const bool failed =
            until < suspect_until_ && calls_.empty() && connecting_ == 0;
        return !failed && !denied_primary(until);
    }

    /// @brief A replica knows a later term than this member leads in.
    void deny_primary(time_point now);

    std::uint32_t in_use() const
    {
        return in_use_;
    }
    std::size_t connection_count() const
    {
        return idle_.size() + in_use_;
    }

private:
    void mark_suspect(time_point now);

    /// When the calls in progress were sent.
    std::multiset<time_point> calls_;
    concurrency_limit concurrency_;
    member_estimate estimate_;
    member_judgement judgement_ = member_judgement::usable;
    time_point last_answer_at_ = time_point::min();
    time_point contact_at_ = time_point::min();

    limits limits_;
    std::uint32_t max_idle_ = 0;
    std::list<pooled_connection_ptr> idle_;
    /// Connections in use and being opened.
    std::uint32_t in_use_ = 0;
    std::uint32_t connecting_ = 0;
    /// No connection is opened before this time, because the member reported
    /// too many.
    time_point connect_backoff_until_ = time_point::min();
    duration connect_backoff_{};
    time_point suspect_until_ = time_point::min();
    duration suspect_duration_{};
    log_position position_;
    duration lag_{};
    time_point lag_known_at_ = time_point::min();
    time_point not_primary_until_ = time_point::min();
};

} // namespace zinniahub::pooling
