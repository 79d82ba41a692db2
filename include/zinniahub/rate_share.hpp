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

/// Lifetime of granted tokens. The holder counts it from before it sent the
/// demand. The pool keeps a grant outstanding for twice this time after the
/// grant.
inline constexpr duration token_lifetime = std::chrono::milliseconds(400);

/// Time after expiry during which a holder still reports a token as settled.
/// The pool could count a later report against newer grants.
inline constexpr duration settle_grace = std::chrono::milliseconds(100);

/// @brief Rate limit of a customer. One token admits one request.
struct rate_limit
{
    /// Tokens per second.
    double rate = 0;
    /// Maximum number of unspent tokens.
    double burst = 0;
};

/// @brief Token bucket that starts empty.
class token_bucket
{
public:
    token_bucket(rate_limit limit, time_point now);

    /// @brief Takes tokens if there are enough.
    bool try_take(double tokens, time_point now);
    /// @brief Takes the available tokens, at most `most`.
    /// @return tokens taken
    double take_up_to(double most, time_point now);
    /// @brief Adds tokens up to the burst.
    /// @return tokens that exceeded the burst
    double put(double tokens, time_point now);
    /// @brief Changes the limit. Tokens above the new burst are discarded.
    void set_limit(rate_limit limit, time_point now);
    double level(time_point now);

private:
    void refill(time_point now);

    rate_limit limit_;
    double level_ = 0;
    time_point filled_at_;
};

/// @brief Message from a token holder to the owner of the token pool.
struct token_demand
{
    /// Granted tokens that were spent or expired since the previous demand.
    double settled = 0;
    /// Floor tokens transferred to the pool plus granted tokens returned
    /// unused. The latter are also included in `settled`.
    double donated = 0;
    /// Tokens the holder requests.
    double wanted = 0;
    /// Granted tokens that the holder still has, or infinity while a reply may
    /// be in transit. It lets the pool correct its count of outstanding tokens
    /// after lost demands; a count based on `settled` alone stays too high as
    /// long as tokens are granted continuously.
    double held = std::numeric_limits<double>::infinity();
};

/// @brief Counts events over a sliding window, in slots of 50 ms.
class sliding_window_counter
{
public:
    static constexpr duration slot_length = std::chrono::milliseconds(50);
    /// Covers 1 s, the maximum time a request waits for a token, plus one slot.
    static constexpr std::size_t slot_count = 21;

    void add(time_point now);
    /// @brief Number of events in the current slot and the `count - 1` slots
    /// before it.
    double sum(std::size_t count, time_point now);

private:
    void advance(time_point now);

    std::array<std::uint32_t, slot_count> counts_{};
    std::int64_t current_ = 0;
};

/// @brief Tokens of one customer that one host may spend.
///
/// Tokens come from two sources: the host's floor, a reserved part of the limit
/// that is refilled without contacting another host, and grants from the token
/// pool, which expire. Not thread-safe.
class token_holder
{
public:
    struct floor
    {
        rate_limit limit;
        /// The floor is usable in [active_from, valid_until).
        time_point active_from = never;
        time_point valid_until = never;
    };

    explicit token_holder(time_point now);

    /// @brief Sets the floor. Tokens within the new burst are kept.
    void set_floor(const floor& value, time_point now);

    /// @brief Takes one token.
    bool try_take(time_point now);

    /// @brief Records an incoming request. Call once per request, even if it
    /// then waits for a token.
    void note_request(time_point now);

    /// @brief Builds the next demand for the pool owner and removes the tokens
    /// it reports as settled or donated from the holder. The caller resends an
    /// unanswered demand unchanged with the same sequence number. Tokens of an
    /// abandoned demand are lost, but never granted twice.
    /// @complexity linear in the number of grants held
    /// @param pool_reachable if false, nothing is donated, because it would be
    /// lost
    token_demand make_demand(time_point now, bool pool_reachable);

    /// @brief Adds granted tokens. Call exactly once for every answered demand,
    /// even if no tokens were granted: the reply also confirms the donation in
    /// the demand.
    /// @param expires_at `token_lifetime` counted from before the demand was
    /// first sent, which must be before the next `make_demand`
    void on_grant(double tokens, time_point expires_at, time_point now);

    /// @brief Number of tokens that can be taken now.
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
    // Spent or expired tokens not yet reported, with the expiry of their grant.
    std::deque<grant> unreported_;
    // Donations that may not have reached the pool. They reduce the capacity of
    // the floor; otherwise refill would replace tokens in flight and the total
    // would exceed the burst.
    std::deque<donation> donations_;
    double in_flight_ = 0;
    // Send times of demands whose reply may still add usable tokens.
    std::deque<time_point> unanswered_;
    sliding_window_counter requested_;
    sliding_window_counter taken_;
};

/// @brief Shared token pool of one customer, kept by the pool's owner host.
///
/// Invariant: pool level + outstanding grants <= burst of the pool, so that the
/// grants in any window stay within rate * window + burst. A grant is
/// outstanding until it is reported as settled or twice its lifetime has
/// passed.
class token_pool
{
public:
    struct settings
    {
        /// Lifetime of granted tokens at the holder.
        duration lifetime = token_lifetime;
    };

    /// @param limit limit of the pool: the customer's limit minus the floors in
    /// use
    /// @param usable_from time before which nothing is granted or refilled, so
    /// that the grants of the previous owner have expired
    static result<token_pool> make(
        rate_limit limit, settings values, time_point usable_from,
        time_point now);

    /// @brief Changes the pool's limit, for example after a host acquired a
    /// seat or the customer's rate changed.
    void set_limit(rate_limit limit, time_point now);

    /// @brief Processes a demand: settles tokens, accepts donations and grants
    /// tokens.
    /// @param holder incarnation of the requesting host
    /// @param sequence increases per holder. Repeating the last sequence
    /// returns the same grant and changes nothing, so retries are safe. A lower
    /// sequence is granted nothing.
    /// @return granted tokens, a whole number
    /// @complexity amortised constant; linear in holders when grants expire
    double on_demand(
        std::uint64_t holder, std::uint64_t sequence,
        const token_demand& demand, time_point now);

    /// @brief Granted tokens that are not known to be settled or expired.
    double outstanding(time_point now);
    double level(time_point now);

    /// @brief Stops granting and empties the pool for a planned change of
    /// owner.
    ///
    /// The successor's `usable_from` must be at least one lifetime later, so
    /// that the grants of this pool have expired.
    /// @return remaining tokens, to be passed to `take_over` of the successor
    double hand_over(time_point now);

    /// @brief Adds the tokens that the predecessor's `hand_over` returned. Call
    /// once.
    void take_over(double tokens, time_point now);

private:
    struct grant
    {
        double tokens;
        time_point granted_at;
        bool counted = true;
    };
    // Tokens are removed from the oldest grants first, which is the order in
    // which the holder spends them.
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
    // Earliest time at which `expire` has to update a grant.
    time_point next_expiry_ = never;
    bool handed_over_ = false;
};

/// @brief Division of a customer's limit between floors and pool.
struct rate_division
{
    /// Floor of one held seat.
    rate_limit floor;
    /// Remainder, for the pool.
    rate_limit pool;
};

/// @brief Strategy that divides a limit between the floors of hosts and the
/// shared pool. A seat is a numbered lease that entitles one host to a floor.
class rate_strategy
{
public:
    virtual ~rate_strategy() = default;
    /// @param seats number of configured seats
    /// @param held number of seats with a valid lease
    virtual rate_division
    divide(rate_limit limit, std::uint32_t seats, std::uint32_t held) const = 0;
};

/// @brief Baseline: the limit is divided equally among the seats, without a
/// pool.
const rate_strategy& static_split_strategy();

/// @brief A quarter of the limit is divided equally among the seats. The rest,
/// including the part of vacant seats, goes to the pool.
const rate_strategy& pooled_strategy();

} // namespace zinniahub
