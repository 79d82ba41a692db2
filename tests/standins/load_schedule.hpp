#pragma once

#include "standins/load_scenario.hpp"
#include "standins/load_session.hpp"

#include <cstdint>
#include <random>
#include <vector>

namespace zinniahub::load
{

/// @brief A time span in which a customer sends more than usual.
struct flood
{
    std::size_t customer = 0;
    duration begin{0};
    duration end{0};
};

/// @brief Open-loop arrivals of all customers, reproducible by seed.
class arrival_schedule
{
public:
    struct arrival
    {
        std::size_t customer = 0;
        std::size_t session = 0;
        /// Offset from the start; the caller sets `request.intended` from it.
        duration offset{0};
        scheduled_request request;
    };

    arrival_schedule(
        const deployment& environment, std::vector<flood> floods,
        std::uint64_t seed);

    /// @brief The next arrival in order of time.
    arrival next();

private:
    struct stream
    {
        std::mt19937_64 random;
        duration next_at{0};
        /// Tokens in a bucket with the rate and burst of the customer; tells
        /// whether a request is within the rate.
        double tokens = 0;
        duration filled_at{0};
    };

    void advance(std::size_t customer);
    bool take_tokens(std::size_t customer, const statement_class& kind);
    const statement_class* choose_class(std::size_t customer);

    const deployment& environment_;
    const std::vector<flood> floods_;
    std::vector<stream> streams_;
    std::uint64_t count_ = 0;
};

} // namespace zinniahub::load
