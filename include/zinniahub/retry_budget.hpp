#pragma once

#include <zinniahub/time.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace zinniahub
{

/// @brief Limits retries to a fraction of the requests of the last second, so
/// that retries do not multiply the load on failing members. A minimum allows
/// hosts with few requests to retry. All functions have constant complexity.
class retry_budget
{
public:
    struct settings
    {
        /// Retries per request.
        double fraction = 0.2;
        /// Retries per second that are always allowed.
        double min_per_second = 10;
    };

    retry_budget()
        : retry_budget(settings{})
    {
    }

    explicit retry_budget(settings values)
        : settings_(values)
    {
    }

    /// @brief Records a request. Not to be called for retries.
    void on_request(time_point now)
    {
        advance(now);
        slot_at(current_).requests += 1;
        requests_ += 1;
    }

    /// @brief Takes one retry from the budget.
    /// @return false if the budget is exhausted
    bool try_retry(time_point now)
    {
        advance(now);
        const auto allowed = std::max(
            settings_.fraction * static_cast<double>(requests_),
            settings_.min_per_second);
        if (static_cast<double>(retries_) + 1 > allowed)
        {
            return false;
        }
        slot_at(current_).retries += 1;
        retries_ += 1;
        return true;
    }

private:
    static constexpr std::size_t slots = 10;
    static constexpr duration slot_length = std::chrono::milliseconds(100);

    struct slot
    {
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    slot& slot_at(std::int64_t index)
    {
        return slots_[static_cast<std::size_t>(index) % slots];
    }

    // Removes counts that are older than one second.
    void advance(time_point now)
    {
        const std::int64_t index = now.time_since_epoch() / slot_length;
        const auto oldest = index - static_cast<std::int64_t>(slots);
        current_ = std::max(current_, oldest);
        if (current_ == oldest)
        {
            slots_.fill({});
            requests_ = 0;
            retries_ = 0;
        }
        while (current_ < index)
        {
            ++current_;
            auto& reused = slot_at(current_);
            requests_ -= reused.requests;
            retries_ -= reused.retries;
            reused = {};
        }
    }

    settings settings_;
    std::array<slot, slots> slots_{};
    std::int64_t current_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t retries_ = 0;
};

} // namespace zinniahub
