#pragma once

#include <chrono>
#include <ctime>

namespace zinniahub
{

/// @brief Monotonic clock for all timeouts, ages and leases. Unlike
/// `std::chrono::steady_clock`, it includes the time during which the machine
/// was suspended, so that leases, views and time windows keep aging. Wall
/// clocks are never compared.
struct clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        std::timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(
            std::chrono::seconds(value.tv_sec) +
            std::chrono::nanoseconds(value.tv_nsec));
    }
};

using time_point = clock::time_point;

/// @brief Difference of two time points, in nanoseconds.
using duration = clock::duration;

/// @brief Time point that is never reached.
inline constexpr time_point never = time_point::max();

/// @brief Converts a duration to seconds.
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Largest number of seconds that `from_seconds` converts, about 30 years.
/// Sums of it and a time point do not overflow.
inline constexpr double max_seconds = 1e9;

/// @brief Converts seconds to a duration. Numbers beyond `max_seconds` in
/// either direction are cut; a value that is not a number is zero.
constexpr duration from_seconds(double seconds)
{
    if (seconds != seconds)
    {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        seconds < -max_seconds  ? -max_seconds
        : seconds > max_seconds ? max_seconds
                                : seconds));
}

} // namespace zinniahub
