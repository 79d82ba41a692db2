#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <unordered_map>

namespace zinniahub
{

/// Lifetime of granted tokens, counted by the holder from before the demand
/// was sent and by the owner, twice, from the grant.
inline constexpr duration token_lifetime = std::chrono::milliseconds(400);

/// Time after expiry during which a holder still reports a token as settled.
/// A later report could be booked against newer tokens.
inline constexpr duration settle_grace = std::chrono::milliseconds(100);

/// @brief Rate and burst of a customer. A token is the right to run one
/// request.
struct rate_limit
{
    /// Tokens per second.
    double rate = 0;
    /// Most tokens that may be unspent.
    double burst = 0;
};

/// @brief Token bucket that starts empty.
class token_bucket
{
public:
    token_bucket(rate_limit limit, time_point now);

    /// @brief Takes tokens if there are enough.
    bool try_take(double tokens, time_point now);
    /// @brief Takes as many tokens as there are, at most `most`.
    double take_up_to(double most, time_point now);
    /// @brief Adds tokens, up to the burst. @return tokens that did not fit
    double put(double tokens, time_point now);
    /// @brief Changes the limit. Tokens above the new burst are dropped.
    void set_limit(rate_limit limit, time_point now);
    double level(time_point now);

private:
    void refill(time_point now);

    rate_limit limit_;
    double level_ = 0;
    time_point filled_at_;
};

/// @brief What a holder reports to and asks from the owner of a pool.
struct token_demand
{
    /// Granted tokens that were spent or have expired since the last demand.
    double settled = 0;
    /// Floor tokens given to the pool, and granted tokens returned unused; the
    /// latter are also in `settled`.
    double donated = 0;
    /// Tokens the holder would like to get.
    double wanted = 0;
    /// Granted tokens that the holder still has, or infinity if an answer may
    /// be on its way. With it the owner's count recovers from lost demands; a
    /// count by `settled` alone stays too high while tokens keep flowing.
    double held = std::numeric_limits<double>::infinity();
};

/// @brief Counts events in the recent past, in slots of 50 ms.
class sliding_window_counter
{
public:
    static constexpr duration slot_length = std::chrono::milliseconds(50);
    /// One more than the longest wait of a request for a token, 1 s.
    static constexpr std::size_t slot_count = 21;

    void add(time_point now);
    /// @brief Events in the current slot and the `count - 1` slots before it.
    double sum(std::size_t count, time_point now);

private:
    void advance(time_point now);

    std::array<std::uint32_t, slot_count> counts_{};
    std::int64_t current_ = 0;
};

/// @brief Tokens of one customer on one host.
///
/// Tokens come from the host's floor, a reserved part of the limit that needs
/// no other host, and from grants of the pool's owner, which expire. Not
/// thread-safe.
class token_holder
{
public:
    struct floor
    {
        rate_limit limit;
        /// The floor may be used in [active_from, valid_until).
        time_point active_from = never;
        time_point valid_until = never;
    };

    explicit token_holder(time_point now);

    /// @brief Sets the floor. A changed floor keeps the tokens that fit.
    void set_floor(const floor& value, time_point now);

    /// @brief Takes one token.
    bool try_take(time_point now);

    /// @brief Records that a request came. Call once per request, also if it
    /// then waits for a token.
    void note_request(time_point now);

    /// @brief Collects what to tell the owner. The tokens reported as settled
    /// or donated are gone from the holder. A demand that was not answered is
    /// repeated unchanged under its sequence; tokens of a demand that is given
    /// up are lost, never granted twice.
    /// @complexity linear in the grants held
    /// @param pool_reachable false if donations would be lost
    token_demand make_demand(time_point now, bool pool_reachable);

    /// @brief Adds granted tokens. Call once for every answered demand, also
    /// without tokens: the answer confirms the donation in the demand.
    /// @param expires_at `token_lifetime` counted from before the demand was
    /// first sent, which must be before the next `make_demand`
    void on_grant(double tokens, time_point expires_at, time_point now);

    /// @brief Tokens that can be taken now.
    double available(time_point now);

private:
    struct grant
    {
        double tokens;
        time_point expires_at;
    };
    struct donation
    {
        double tokens;
        time_point sent_at;
    };

    bool floor_active(time_point now) const;
    void update_floor(time_point now);
    void reserve_donations(time_point now);
    void drop_expired(time_point now);
    void take_granted(double tokens);
    double collect_settled(time_point now);
    double collect_held(time_point now);
    void confirm_answer(time_point sent_at);
    double return_surplus(double needed);
    double donate(double needed, time_point now);
    double floor_reserve() const;
    double backlog(time_point now);

    floor floor_;
    token_bucket floor_bucket_;
    // Ordered by expiry.
    std::deque<grant> grants_;
    double granted_ = 0;
    // Spent or expired tokens with the expiry of their grant.
    std::deque<grant> unreported_;
    // Donations that may not have reached the pool. They count against the
    // capacity of the floor, or tokens in flight would exceed the burst.
    std::deque<donation> donations_;
    double in_flight_ = 0;
    // Times of demands whose answer may still add usable tokens.
    std::deque<time_point> unanswered_;
    sliding_window_counter requested_;
    sliding_window_counter taken_;
};

/// @brief Pool of one customer at its owner host.
///
/// Invariant: pool level + outstanding grants <= burst of the pool, so grants
/// over any window stay within rate * window + burst. Outstanding grants count
/// until they are reported as settled or their lifetime has passed twice.
class token_pool
{
public:
    struct settings
    {
        /// Lifetime of granted tokens at the holder.
        duration lifetime = token_lifetime;
    };

    /// @param limit of the pool: the customer's limit less the held floors
    /// @param usable_from nothing is granted or refilled before this time, so
    /// that grants of an earlier owner have expired
    static result<token_pool> make(
        rate_limit limit, settings values, time_point usable_from,
        time_point now);

    /// @brief Changes the pool's limit, e.g. after a seat was taken or the
    /// customer's rate was changed.
    void set_limit(rate_limit limit, time_point now);

    /// @brief Settles, accepts donations and grants tokens.
    /// @param holder incarnation of the asking host
    /// @param sequence grows per holder; a sequence seen before returns the
    /// same grant without effect, so a repeated call is harmless. A sequence
    /// below the last one gets nothing.
    /// @return whole tokens
    /// @complexity amortised constant; linear in holders when grants expire
    double on_demand(
        std::uint64_t holder, std::uint64_t sequence,
        const token_demand& demand, time_point now);

    /// @brief Tokens granted and not known to be settled or expired.
    double outstanding(time_point now);
    double level(time_point now);

    /// @brief Ends granting and returns the level, to be passed to `take_over`
    /// of the successor. The successor's `usable_from` must be at least one
    /// lifetime later, so that grants of this owner have expired.
    double hand_over(time_point now);

    /// @brief Adds the tokens of a predecessor that left in a planned way. Call
    /// once.
    void take_over(double tokens, time_point now);

private:
    struct grant
    {
        double tokens;
        time_point granted_at;
        bool counted = true;
    };
    // Tokens are removed from the oldest grants first, in the order in which
    // the holder spends them.
    struct holder_state
    {
        std::uint64_t sequence = 0;
        double last_grant = 0;
        std::deque<grant> grants;
        time_point last_demand_at{};
    };

    token_pool(rate_limit limit, settings values, time_point usable_from);

    void advance(time_point now);
    void expire(time_point now);
    void remove_idle_holders(time_point now);
    void update_capacity(time_point now);
    double
    release(holder_state& from, const token_demand& demand, time_point now);
    double remove_granted(holder_state& from, double tokens);
    double grant_to(holder_state& to, double wanted, time_point now);

    settings settings_;
    rate_limit limit_;
    time_point usable_from_;
    token_bucket bucket_;
    std::unordered_map<std::uint64_t, holder_state> holders_;
    double outstanding_ = 0;
    // No grant changes its state before this time.
    time_point next_expiry_ = never;
    bool handed_over_ = false;
};

/// @brief How the limit of a customer is divided.
struct rate_division
{
    /// Floor of one held seat.
    rate_limit floor;
    /// What is left for the pool.
    rate_limit pool;
};

/// @brief Strategy that divides a limit between seats and pool.
class rate_strategy
{
public:
    virtual ~rate_strategy() = default;
    /// @param seats number of seats declared
    /// @param held number of seats with a valid lease
    virtual rate_division
    divide(rate_limit limit, std::uint32_t seats, std::uint32_t held) const = 0;
};

/// @brief Baseline: every seat has an equal part and there is no pool.
const rate_strategy& static_split_strategy();

/// @brief A quarter of the limit is divided among the seats, the rest and the
/// part of vacant seats is in the pool.
const rate_strategy& pooled_strategy();

} // namespace zinniahub
