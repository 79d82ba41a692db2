#pragma once

#include <zinniahub/usage_counter.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief One process of a host.
struct usage_origin
{
    std::string host;
    /// Start time of the process; differs between processes of one host.
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const usage_origin&, const usage_origin&) = default;
};

/// @brief Cumulative counts of one process and window, or a part of them.
struct usage_part
{
    usage_origin origin;
    std::uint64_t window = 0;
    usage_counts counts;
    /// Sum of all counts of the process in the window, if these are final.
    std::optional<std::uint64_t> final_total;
};

/// @brief What is known of one process and window.
struct usage_entry
{
    usage_counts counts;
    std::uint64_t total = 0;
    std::optional<std::uint64_t> final_total;

    /// @brief All counts of the process have arrived.
    bool is_complete() const
    {
        return final_total && total >= *final_total;
    }
};

/// @brief Counts of all hosts in one window.
struct usage_sum
{
    usage_counts counts;
    std::uint64_t total = 0;
    std::size_t hosts = 0;
    /// Hosts whose counts are not complete.
    std::size_t missing = 0;
};

/// @brief Why counts were dropped.
enum class usage_drop
{
    /// The sum of the window is fixed.
    window_fixed,
    /// The window is too far back or ahead.
    window_out_of_range,
    count_too_high,
    customer_unknown,
    /// There are too many hosts, customers or counts.
    limit_reached
};

inline constexpr std::size_t usage_drop_kinds = 5;

/// @brief Collects the counts of all hosts by window.
///
/// Load: up to 2,048 hosts whose messages are lost, duplicated, delayed or
/// forwarded by another host. Counts of a process never decrease, so the
/// highest one that arrived is the latest.
class usage_collection
{
public:
    using entries = std::map<usage_origin, usage_entry>;
    using customer_filter = std::function<bool(std::string_view customer)>;

    static constexpr std::size_t max_hosts = 2048;
    /// Higher counts are malformed.
    static constexpr std::uint64_t max_count = 10'000'000;
    /// Bounds the memory for the counts of all windows to about 25 MB.
    static constexpr std::size_t max_cells = std::size_t{1} << 18;

    /// @brief Takes counts over.
    /// @param present number of the present window
    void merge(const usage_part& part, std::uint64_t present);

    /// @brief The sums of the windows up to this one are fixed.
    void close_through(std::uint64_t window);
    std::uint64_t closed_through() const
    {
        return closed_through_;
    }
    /// @brief Drops windows that are too far back.
    void on_tick(std::uint64_t present);

    /// @brief True if the counts of all registered hosts, and of all others
    /// that have sent any, are complete. Of each host, the last process counts.
    bool is_complete(
        std::uint64_t window, const std::set<std::string>& registered) const;
    /// @param is_known customers; counts of others are left out and counted as
    /// dropped
    usage_sum
    sum(std::uint64_t window, const std::set<std::string>& registered,
        const customer_filter& is_known);

    const std::map<std::uint64_t, entries>& windows() const
    {
        return windows_;
    }
    /// @brief Number of counts dropped for a reason.
    std::uint64_t dropped(usage_drop why) const
    {
        return dropped_.at(static_cast<std::size_t>(why));
    }

private:
    void drop(usage_drop why, std::uint64_t count = 1)
    {
        dropped_.at(static_cast<std::size_t>(why)) += count;
    }
    void merge_count(
        usage_entry& entry, const std::string& customer, std::uint64_t count);
    void erase_first();
    /// Complete state of each host in a window.
    std::map<std::string_view, bool> host_states(
        std::uint64_t window, const std::set<std::string>& registered) const;

    std::map<std::uint64_t, entries> windows_;
    std::uint64_t closed_through_ = 0;
    std::size_t cells_ = 0;
    std::array<std::uint64_t, usage_drop_kinds> dropped_{};
};

} // namespace zinniahub
