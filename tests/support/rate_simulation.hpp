#pragma once

#include <zinniahub/rate_share.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <random>
#include <vector>

namespace zinniahub::tests
{

/// @brief Measures the maximum excess of taken tokens over
/// rate * window + burst in all windows that start and end with a taken token.
class excess_meter
{
public:
    explicit excess_meter(rate_limit limit, time_point now = {})
        : limit_(limit)
        , refilled_at_(now)
        , old_burst_until_(now)
    {
    }

    /// @brief Changes the limit. The old burst still bounds windows that start
    /// within `overlap`, because tokens of the old limit may still be held.
    void set_limit(rate_limit limit, time_point now, duration overlap)
    {
        refill(now);
        old_burst_ = std::max(limit_.burst, burst(now));
        old_burst_until_ = now + overlap;
        limit_ = limit;
    }

    void on_taken(time_point now)
    {
        refill(now);
        lowest_ = std::min(lowest_, taken_ - refilled_ + burst(now));
        taken_ += 1;
        excess_ = std::max(excess_, taken_ - refilled_ - lowest_);
    }

    /// @brief Maximum excess; at most 0 if the limit was kept.
    double excess() const
    {
        return excess_;
    }

    /// @brief Burst that applies to windows that start at `now`.
    double burst(time_point now) const
    {
        return now < old_burst_until_ ? std::max(old_burst_, limit_.burst)
                                      : limit_.burst;
    }

private:
    void refill(time_point now)
    {
        refilled_ += limit_.rate * to_seconds(now - refilled_at_);
        refilled_at_ = now;
    }

    rate_limit limit_;
    time_point refilled_at_;
    double refilled_ = 0;
    double old_burst_ = 0;
    time_point old_burst_until_;
    double taken_ = 0;
    double lowest_ = std::numeric_limits<double>::max();
    double excess_ = std::numeric_limits<double>::lowest();
};

/// @brief Simulates one customer on eight hosts with one token pool.
class rate_simulation
{
public:
    static constexpr std::uint32_t hosts = 8;

    struct settings
    {
        rate_limit limit{1000, 500};
        /// Arrival rate as a fraction of the limit.
        double load = 0.95;
        /// Returns the host that receives a request, given the request's number
        /// and arrival time.
        std::function<std::uint32_t(std::uint64_t, time_point)> target;
        /// Time at which host 0 fails.
        time_point host_fails_at = never;
        /// Time at which the pool's owner fails.
        time_point owner_fails_at = never;
        duration length = std::chrono::seconds(30);
        std::uint32_t seed = 1;
    };

    struct outcome
    {
        /// Requests that a single token bucket with the same limit admits.
        std::uint64_t within_limit = 0;
        /// Requests among them that the hosts refused.
        std::uint64_t wrongly_refused = 0;
        std::uint64_t taken = 0;
        double excess = 0;

        double wrongful_refusal_ratio() const
        {
            return static_cast<double>(wrongly_refused) /
                   static_cast<double>(
                       std::max<std::uint64_t>(1, within_limit));
        }
    };

    rate_simulation(const rate_strategy& strategy, settings values)
        : settings_(std::move(values))
        , division_(strategy.divide(settings_.limit, hosts, hosts))
        , pool_(make_pool(time_point{}, time_point{}))
        , reference_(settings_.limit, time_point{})
        , meter_(settings_.limit)
        , random_(settings_.seed)
        , holders_(hosts, token_holder(time_point{}))
        , waiting_(hosts)
    {
        for (auto& holder : holders_)
        {
            holder.set_floor(
                {division_.floor, time_point{}, never}, time_point{});
        }
    }

    outcome run()
    {
        const auto end = time_point{} + settings_.length;
        for (time_point now{}; now < end; now += step)
        {
            deliver(now);
            arrive(now);
            for (std::uint32_t host = 0; host < hosts; ++host)
            {
                if (alive(host, now))
                {
                    serve(host, now);
                    send_demand(host, now);
                }
            }
        }
        outcome_.excess = meter_.excess();
        return outcome_;
    }

private:
    static constexpr duration step = std::chrono::milliseconds(1);
    static constexpr duration delay = std::chrono::milliseconds(1);
    static constexpr duration demand_interval = std::chrono::milliseconds(50);
    static constexpr duration max_wait = std::chrono::milliseconds(300);
    /// Sum of the owner's lease and one token lifetime.
    static constexpr duration owner_failover_time =
        std::chrono::milliseconds(2400);
    /// Excluded from the measurement, because the first pool starts empty.
    static constexpr duration warm_up = std::chrono::seconds(3);

    struct request
    {
        time_point arrived_at;
        bool within_limit;
    };
    struct message
    {
        time_point at;
        std::uint32_t host;
        std::uint64_t sequence;
        time_point sent_at;
        token_demand demand;
        double granted;
        bool is_reply;
    };

    token_pool make_pool(time_point usable_from, time_point now) const
    {
        return token_pool::make(division_.pool, {}, usable_from, now).value();
    }

    bool alive(std::uint32_t host, time_point now) const
    {
        return host != 0 || now < settings_.host_fails_at;
    }

    bool owner_alive(time_point now) const
    {
        return now < settings_.owner_fails_at ||
               now >= settings_.owner_fails_at + owner_failover_time;
    }

    void arrive(time_point now)
    {
        std::poisson_distribution<int> arrivals(
            settings_.load * settings_.limit.rate * to_seconds(step));
        for (int count = arrivals(random_); count > 0; --count)
        {
            auto host = settings_.target(request_number_, now) % hosts;
            host = alive(host, now) ? host : 1 + request_number_ % (hosts - 1);
            ++request_number_;
            const bool within_limit = reference_.try_take(1, now);
            const bool counted = within_limit && now >= time_point{} + warm_up;
            outcome_.within_limit += counted ? 1 : 0;
            holders_[host].note_request(now);
            waiting_[host].push_back({now, counted});
        }
    }

    void serve(std::uint32_t host, time_point now)
    {
        auto& queue = waiting_[host];
        while (!queue.empty())
        {
            if (now - queue.front().arrived_at > max_wait)
            {
                outcome_.wrongly_refused += queue.front().within_limit ? 1 : 0;
                queue.pop_front();
                continue;
            }
            if (!holders_[host].try_take(now))
            {
                return;
            }
            meter_.on_taken(now);
            ++outcome_.taken;
            queue.pop_front();
        }
    }

    void send_demand(std::uint32_t host, time_point now)
    {
        const auto offset = host * std::chrono::milliseconds(6);
        if ((now.time_since_epoch() - offset) % demand_interval !=
            duration::zero())
        {
            return;
        }
        const auto demand = holders_[host].make_demand(now, owner_alive(now));
        messages_.push_back(
            {now + delay, host, ++sequence_, now, demand, 0, false});
    }

    void deliver(time_point now)
    {
        if (now == settings_.owner_fails_at)
        {
            pool_ = make_pool(now + owner_failover_time, now);
        }
        while (!messages_.empty() && messages_.front().at <= now)
        {
            auto received = messages_.front();
            messages_.pop_front();
            if (received.is_reply)
            {
                holders_[received.host].on_grant(
                    received.granted, received.sent_at + token_lifetime, now);
            }
            else if (owner_alive(now))
            {
                received.granted = pool_.on_demand(
                    received.host, received.sequence, received.demand, now);
                received.at = now + delay;
                received.is_reply = true;
                messages_.push_back(received);
            }
        }
    }

    settings settings_;
    rate_division division_;
    token_pool pool_;
    token_bucket reference_;
    excess_meter meter_;
    std::mt19937 random_;
    std::vector<token_holder> holders_;
    std::vector<std::deque<request>> waiting_;
    std::deque<message> messages_;
    std::uint64_t sequence_ = 0;
    std::uint64_t request_number_ = 0;
    outcome outcome_;
};

/// @brief All requests go to host 3.
inline std::uint32_t one_host(std::uint64_t, time_point)
{
    return 3;
}

/// @brief All requests go to one host, which changes every 2 s.
inline std::uint32_t moving_host(std::uint64_t, time_point now)
{
    return static_cast<std::uint32_t>(
        now.time_since_epoch() / std::chrono::seconds(2));
}

/// @brief Requests are distributed over all hosts.
inline std::uint32_t all_hosts(std::uint64_t number, time_point)
{
    return static_cast<std::uint32_t>(number);
}

/// @brief Simulates eight customers whose pools are on eight different hosts
/// while host 0 fails: every customer loses a token holder and one customer
/// loses its pool.
inline rate_simulation::outcome
run_host_failure(const rate_strategy& strategy, std::uint32_t seed)
{
    rate_simulation::outcome total;
    total.excess = std::numeric_limits<double>::lowest();
    for (std::uint32_t customer = 0; customer < rate_simulation::hosts;
         ++customer)
    {
        rate_simulation::settings values;
        values.target = all_hosts;
        values.seed = seed + customer;
        values.host_fails_at = time_point{} + std::chrono::seconds(10);
        values.owner_fails_at = customer == 0 ? values.host_fails_at : never;
        const auto part = rate_simulation(strategy, values).run();
        total.within_limit += part.within_limit;
        total.wrongly_refused += part.wrongly_refused;
        total.taken += part.taken;
        total.excess = std::max(total.excess, part.excess);
    }
    return total;
}

} // namespace zinniahub::tests
