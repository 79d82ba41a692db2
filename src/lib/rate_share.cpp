#include <zinniahub/rate_share.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniahub
{

namespace
{

/// Fraction of a limit that is reserved for the floors of all seats.
constexpr double floor_fraction = 0.25;
/// Slots over which the recent demand is measured: 100 to 150 ms.
constexpr std::size_t demand_window_slots = 3;
/// Time for which an unconfirmed donation reduces the capacity of the floor.
/// The sender must have cancelled a demand that is not delivered by then.
constexpr duration donation_timeout = std::chrono::seconds(10);
/// The reply to an older demand adds no usable tokens, even if the demand was
/// sent up to one lifetime after `make_demand` built it.
constexpr duration answer_timeout = 2 * token_lifetime;
/// Time without a demand after which the state of a holder is removed. It must
/// be far above any delivery delay: without the last sequence number, the pool
/// cannot recognise a repeated demand.
constexpr duration holder_idle_limit = std::chrono::minutes(15);
/// A holder returns granted tokens above `surplus_factor` * need +
/// `surplus_margin`. With lower values, the random variation of a steady load
/// would move tokens back and forth.
constexpr double surplus_factor = 1.5;
constexpr double surplus_margin = 2;

} // namespace

token_bucket::token_bucket(rate_limit limit, time_point now)
    : limit_(limit)
    , filled_at_(now)
{
}

bool token_bucket::try_take(double tokens, time_point now)
{
    refill(now);
    if (level_ < tokens)
    {
        return false;
    }
    level_ -= tokens;
    return true;
}

double token_bucket::take_up_to(double most, time_point now)
{
    refill(now);
    const double taken = std::clamp(most, 0.0, level_);
    level_ -= taken;
    return taken;
}

double token_bucket::put(double tokens, time_point now)
{
    refill(now);
    const double added =
        std::clamp(tokens, 0.0, std::max(0.0, limit_.burst - level_));
    level_ += added;
    return tokens - added;
}

void token_bucket::set_limit(rate_limit limit, time_point now)
{
    refill(now);
    limit_ = limit;
    level_ = std::min(level_, limit_.burst);
}

double token_bucket::level(time_point now)
{
    refill(now);
    return level_;
}

void token_bucket::refill(time_point now)
{
    if (now <= filled_at_)
    {
        return;
    }
    const double added = limit_.rate * to_seconds(now - filled_at_);
    level_ = std::min(limit_.burst, level_ + added);
    filled_at_ = now;
}

void sliding_window_counter::add(time_point now)
{
    advance(now);
    ++counts_[static_cast<std::size_t>(current_) % slot_count];
}

double sliding_window_counter::sum(std::size_t count, time_point now)
{
    advance(now);
    double total = 0;
    for (std::size_t i = 0; i < std::min(count, slot_count); ++i)
    {
        total += counts_
            [(static_cast<std::size_t>(current_) + slot_count - i) %
             slot_count];
    }
    return total;
}

void sliding_window_counter::advance(time_point now)
{
    const std::int64_t index = now.time_since_epoch() / slot_length;
    if (index - current_ >= static_cast<std::int64_t>(slot_count))
    {
        counts_.fill(0);
        current_ = index;
    }
    while (current_ < index)
    {
        ++current_;
        counts_[static_cast<std::size_t>(current_) % slot_count] = 0;
    }
}

token_holder::token_holder(time_point now)
    : floor_bucket_({}, now)
{
}

bool token_holder::floor_active(time_point now) const
{
    return now >= floor_.active_from && now < floor_.valid_until;
}

void token_holder::set_floor(const floor& value, time_point now)
{
    update_floor(now);
    floor_ = value;
    update_floor(now);
}

void token_holder::update_floor(time_point now)
{
    if (!floor_active(now))
    {
        floor_bucket_ = token_bucket({}, now);
        return;
    }
    reserve_donations(now);
}

void token_holder::reserve_donations(time_point now)
{
    while (!donations_.empty() &&
           now - donations_.front().sent_at >= donation_timeout)
    {
        in_flight_ -= donations_.front().tokens;
        donations_.pop_front();
    }
    if (donations_.empty())
    {
        in_flight_ = 0;
    }
    const double capacity = std::max(0.0, floor_.limit.burst - in_flight_);
    floor_bucket_.set_limit({floor_.limit.rate, capacity}, now);
}

bool token_holder::try_take(time_point now)
{
    if (available(now) < 1)
    {
        return false;
    }
    // Granted tokens expire, so they are spent before the floor.
    const double granted = std::min(1.0, granted_);
    if (granted < 1 && !floor_bucket_.try_take(1 - granted, now))
    {
        return false;
    }
    take_granted(granted);
    taken_.add(now);
    return true;
}

void token_holder::take_granted(double tokens)
{
    while (tokens > 0 && !grants_.empty())
    {
        auto& first = grants_.front();
        const double taken = std::min(tokens, first.tokens);
        first.tokens -= taken;
        granted_ -= taken;
        tokens -= taken;
        if (!unreported_.empty() &&
            unreported_.back().expires_at == first.expires_at)
        {
            unreported_.back().tokens += taken;
        }
        else
        {
            unreported_.push_back({taken, first.expires_at});
        }
        if (first.tokens <= 0)
        {
            grants_.pop_front();
        }
    }
    if (grants_.empty())
    {
        granted_ = 0;
    }
}

void token_holder::drop_expired(time_point now)
{
    while (!grants_.empty() && now >= grants_.front().expires_at)
    {
        take_granted(grants_.front().tokens);
    }
}

void token_holder::note_request(time_point now)
{
    requested_.add(now);
}

double token_holder::backlog(time_point now)
{
    // Requests wait for at most 1 s, which the counters cover.
    return std::max(
        0.0, requested_.sum(sliding_window_counter::slot_count, now) -
                 taken_.sum(sliding_window_counter::slot_count, now));
}

token_demand token_holder::make_demand(time_point now, bool pool_reachable)
{
    drop_expired(now);
    update_floor(now);
    const double needed =
        requested_.sum(demand_window_slots, now) + backlog(now);
    token_demand demand;
    if (pool_reachable)
    {
        demand.donated = return_surplus(needed) + donate(needed, now);
    }
    demand.settled = collect_settled(now);
    demand.held = collect_held(now);
    demand.wanted = std::max(0.0, std::ceil(needed - available(now)));
    if (demand.wanted > 0)
    {
        unanswered_.push_back(now);
    }
    return demand;
}

double token_holder::collect_settled(time_point now)
{
    double settled = 0;
    for (const auto& part : unreported_)
    {
        if (now <= part.expires_at + settle_grace)
        {
            settled += part.tokens;
        }
    }
    unreported_.clear();
    return settled;
}

double token_holder::collect_held(time_point now)
{
    while (!unanswered_.empty() && now - unanswered_.front() >= answer_timeout)
    {
        unanswered_.pop_front();
    }
    return unanswered_.empty() ? granted_
                               : std::numeric_limits<double>::infinity();
}

void token_holder::confirm_answer(time_point sent_at)
{
    // The reply belongs to the last demand built no later than `sent_at`.
    const auto after =
        std::upper_bound(unanswered_.begin(), unanswered_.end(), sent_at);
    if (after != unanswered_.begin())
    {
        unanswered_.erase(after - 1);
    }
    while (!donations_.empty() && donations_.front().sent_at <= sent_at)
    {
        in_flight_ -= donations_.front().tokens;
        donations_.pop_front();
    }
}

double token_holder::return_surplus(double needed)
{
    if (granted_ <= surplus_factor * needed + surplus_margin)
    {
        return 0;
    }
    const double surplus = std::floor(granted_ - needed);
    take_granted(surplus);
    return surplus;
}

double token_holder::floor_reserve() const
{
    // Half of the floor is kept, so that sudden requests are served without
    // delay. A floor below one token cannot serve a request and is donated
    // completely.
    const double burst = floor_.limit.burst;
    return burst < 1 ? 0 : std::max(1.0, burst / 2);
}

double token_holder::donate(double needed, time_point now)
{
    const double kept = std::max(floor_reserve(), needed);
    const double room = floor_.limit.burst - floor_reserve() - in_flight_;
    const double spare =
        std::min(floor_bucket_.level(now) - kept, std::max(0.0, room));
    if (spare <= 0)
    {
        return 0;
    }
    const double donated = floor_bucket_.take_up_to(spare, now);
    donations_.push_back({donated, now});
    in_flight_ += donated;
    reserve_donations(now);
    return donated;
}

void token_holder::on_grant(
    double tokens, time_point expires_at, time_point now)
{
    confirm_answer(expires_at - token_lifetime);
    if (tokens > 0)
    {
        const auto place = std::upper_bound(
            grants_.begin(), grants_.end(), expires_at,
            [](time_point value, const grant& other)
            { return value < other.expires_at; });
        grants_.insert(place, {tokens, expires_at});
        granted_ += tokens;
    }
    drop_expired(now);
    update_floor(now);
}

double token_holder::available(time_point now)
{
    drop_expired(now);
    update_floor(now);
    return granted_ + floor_bucket_.level(now);
}

token_pool::token_pool(
    rate_limit limit, settings values, time_point usable_from)
    : settings_(values)
    , limit_(limit)
    , usable_from_(usable_from)
    , bucket_(limit, usable_from)
{
}

result<token_pool> token_pool::make(
    rate_limit limit, settings values, time_point usable_from, time_point now)
{
    if (!(limit.rate >= 0) || !(limit.burst >= 0))
    {
        return fail(errc::resource_invalid, "rate or burst is negative");
    }
    if (values.lifetime <= duration::zero())
    {
        return fail(errc::settings_range, "token lifetime is not positive");
    }
    return token_pool(limit, values, std::max(usable_from, now));
}

void token_pool::set_limit(rate_limit limit, time_point now)
{
    advance(now);
    limit_ = limit;
    update_capacity(now);
}

void token_pool::update_capacity(time_point now)
{
    const double capacity = std::max(0.0, limit_.burst - outstanding_);
    bucket_.set_limit({limit_.rate, capacity}, now);
}

void token_pool::advance(time_point now)
{
    // Refill first: the elapsed time counts with the capacity valid until now.
    bucket_.level(now);
    if (now >= next_expiry_)
    {
        expire(now);
        update_capacity(now);
    }
}

void token_pool::expire(time_point now)
{
    next_expiry_ = never;
    for (auto& [holder, entry] : holders_)
    {
        auto& grants = entry.grants;
        for (auto& part : grants)
        {
            if (part.counted && now >= part.granted_at + 2 * settings_.lifetime)
            {
                part.counted = false;
                outstanding_ -= part.tokens;
            }
        }
        // An expired grant is kept while a report about it may arrive;
        // otherwise the report would be counted against newer grants. Reports
        // delayed by more than a lifetime are harmless: all tokens granted in
        // reply to that demand and earlier ones have expired at the holder.
        const auto kept = 2 * settings_.lifetime + settle_grace;
        while (!grants.empty() && now >= grants.front().granted_at + kept)
        {
            grants.pop_front();
        }
        for (const auto& part : grants)
        {
            const auto step = part.counted ? 2 * settings_.lifetime : kept;
            next_expiry_ = std::min(next_expiry_, part.granted_at + step);
        }
    }
    remove_idle_holders(now);
}

void token_pool::remove_idle_holders(time_point now)
{
    std::erase_if(
        holders_,
        [now](const auto& item)
        {
            return item.second.grants.empty() &&
                   now - item.second.last_demand_at >= holder_idle_limit;
        });
}

double token_pool::release(
    holder_state& from, const token_demand& demand, time_point now)
{
    if (std::isfinite(demand.held) && demand.held >= 0)
    {
        double known = 0;
        for (const auto& part : from.grants)
        {
            known += part.tokens;
        }
        return remove_granted(from, known - demand.held);
    }
    // Reports in this period may concern grants of the previous owner.
    if (now < usable_from_ + settings_.lifetime + settle_grace)
    {
        return 0;
    }
    return remove_granted(from, demand.settled);
}

double token_pool::remove_granted(holder_state& from, double tokens)
{
    double released = 0;
    while (tokens > 0 && !from.grants.empty())
    {
        auto& first = from.grants.front();
        const double part = std::min(tokens, first.tokens);
        first.tokens -= part;
        tokens -= part;
        if (first.counted)
        {
            outstanding_ -= part;
            released += part;
        }
        if (first.tokens <= 0)
        {
            from.grants.pop_front();
        }
    }
    return released;
}

double token_pool::on_demand(
    std::uint64_t holder, std::uint64_t sequence, const token_demand& demand,
    time_point now)
{
    advance(now);
    auto [found, inserted] = holders_.try_emplace(holder);
    auto& entry = found->second;
    if (!inserted && sequence <= entry.sequence)
    {
        return sequence == entry.sequence ? entry.last_grant : 0;
    }
    // Non-finite numbers from the network must not corrupt the level.
    if (!std::isfinite(demand.settled) || !std::isfinite(demand.donated) ||
        !std::isfinite(demand.wanted))
    {
        return 0;
    }
    entry.sequence = sequence;
    entry.last_demand_at = now;
    const double released = release(entry, demand, now);
    update_capacity(now);
    // Returned tokens are both settled and donated. Those that were no longer
    // outstanding have already been replaced by refill.
    const double unmatched = std::max(0.0, demand.settled - released);
    bucket_.put(std::max(0.0, demand.donated - unmatched), now);
    entry.last_grant = grant_to(entry, demand.wanted, now);
    return entry.last_grant;
}

double token_pool::grant_to(holder_state& to, double wanted, time_point now)
{
    if (now < usable_from_ || handed_over_)
    {
        return 0;
    }
    // A holder cannot spend a fraction of a token, so only whole tokens are
    // granted.
    const double whole = std::floor(std::min(wanted, bucket_.level(now)));
    const double granted = bucket_.take_up_to(whole, now);
    if (granted <= 0)
    {
        return 0;
    }
    to.grants.push_back({granted, now});
    outstanding_ += granted;
    next_expiry_ = std::min(next_expiry_, now + 2 * settings_.lifetime);
    update_capacity(now);
    return granted;
}

double token_pool::outstanding(time_point now)
{
    advance(now);
    return outstanding_;
}

double token_pool::level(time_point now)
{
    advance(now);
    return bucket_.level(now);
}

double token_pool::hand_over(time_point now)
{
    advance(now);
    handed_over_ = true;
    return bucket_.take_up_to(bucket_.level(now), now);
}

void token_pool::take_over(double tokens, time_point now)
{
    advance(now);
    bucket_.put(tokens, now);
}

namespace
{

rate_limit scaled(rate_limit limit, double factor)
{
    return {limit.rate * factor, limit.burst * factor};
}

class static_split final : public rate_strategy
{
public:
    rate_division
    divide(rate_limit limit, std::uint32_t seats, std::uint32_t) const override
    {
        return {scaled(limit, 1.0 / std::max(1U, seats)), {}};
    }
};

class pooled final : public rate_strategy
{
public:
    rate_division divide(
        rate_limit limit, std::uint32_t seats,
        std::uint32_t held) const override
    {
        const double part = floor_fraction / std::max(1U, seats);
        const auto floors = std::min(held, std::max(1U, seats));
        return {scaled(limit, part), scaled(limit, 1 - part * floors)};
    }
};

} // namespace

const rate_strategy& static_split_strategy()
{
    static const static_split strategy;
    return strategy;
}

const rate_strategy& pooled_strategy()
{
    static const pooled strategy;
    return strategy;
}

} // namespace zinniahub
