#pragma once

#include <zinniahub/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace zinniahub
{

/// Operations of each customer.
using usage_counts = std::map<std::string, std::uint64_t, std::less<>>;

/// Windows that are kept while they are not reported.
inline constexpr std::uint64_t max_usage_windows = 24;

/// Customers of one window.
inline constexpr std::size_t max_usage_customers = 1024;

/// Time after the end of a window by which each statement of the window has
/// been answered or given up.
inline constexpr duration usage_settle_time = std::chrono::milliseconds(1500);

/// @brief Windows of equal length, counted from the start of 1970.
class usage_windows
{
public:
    explicit usage_windows(duration length)
        : length_(length)
    {
    }

    /// @brief Number of the window that contains a time of day.
    std::uint64_t at(duration time_of_day) const
    {
        return time_of_day <= duration::zero()
                   ? 0
                   : static_cast<std::uint64_t>(time_of_day / length_);
    }
    /// @brief Time since the end of a window; negative before it.
    duration age(std::uint64_t window, duration time_of_day) const
    {
        return time_of_day - length_ * static_cast<std::int64_t>(window + 1);
    }

private:
    duration length_;
};

/// @brief Counts the operations of this host by window and customer.
///
/// Load: thousands of operations per second of up to 1,024 customers, while
/// reports may be held up by an outage of the store.
class usage_counter
{
public:
    explicit usage_counter(usage_windows windows)
        : windows_(windows)
    {
    }

    /// @brief Counts one operation.
    /// @param sent_at time of day at which its statement was sent
    /// @return false if the operation was not counted: its window is closed, or
    /// there are too many customers or windows
    bool count(std::string_view customer, duration sent_at);

    /// @brief Opens the present window, so that it is known also if it has no
    /// operation. The oldest window is dropped if there are too many.
    void on_tick(duration time_of_day);

    /// @brief The windows up to this one are reported.
    void close_through(std::uint64_t window);

    const std::map<std::uint64_t, usage_counts>& windows() const
    {
        return counts_;
    }

private:
    usage_windows windows_;
    std::map<std::uint64_t, usage_counts> counts_;
    std::uint64_t closed_through_ = 0;
};

} // namespace zinniahub
