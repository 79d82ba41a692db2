#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Range [begin, end) of the parts of the rate limits.
struct part_range
{
    std::uint32_t begin = 0;
    std::uint32_t end = 0;

    friend bool operator==(const part_range&, const part_range&) = default;
};

/// @brief Sorted, disjoint and non-empty ranges of parts.
class part_ranges
{
public:
    part_ranges() = default;
    /// @brief Builds the set from ranges in any order; overlaps are merged.
    part_ranges(std::vector<part_range> ranges);

    const std::vector<part_range>& ranges() const
    {
        return ranges_;
    }
    /// @brief Number of parts.
    std::uint32_t size() const;
    bool contains(std::uint32_t part) const;
    void add(const part_ranges& other);
    /// @brief Parts of [0, total) that are not in the set.
    part_ranges complement(std::uint32_t total) const;
    /// @brief Removes the first `count` parts, or all if there are fewer.
    /// @return the removed parts
    part_ranges take_first(std::uint32_t count);

    friend bool operator==(const part_ranges&, const part_ranges&) = default;

private:
    std::vector<part_range> ranges_;
};

/// @brief Parts of [0, total) that are in both sets.
part_ranges intersection(
    const part_ranges& left, const part_ranges& right, std::uint32_t total);

/// Number of equal portions into which each customer's limit is divided. Each
/// portion must hold a whole token of a small limit, and the loss of one host
/// must not cost a customer much of its limit. The number is the same for all
/// customers and never changes at run time: hosts that differ in it would
/// disagree about the owner of a portion.
inline constexpr std::uint32_t portions_per_limit = 24;

/// @brief Part at which a portion of a customer's limit lies. The owner of the
/// part keeps the portion. The parts of a customer are evenly spaced, at an
/// offset that differs between customers.
/// @param portion less than `portions_per_limit`
std::uint32_t part_of_portion(std::string_view customer, std::uint32_t portion);

/// @brief Number of portions of a customer's limit that lie within the parts.
std::uint32_t
count_portions(std::string_view customer, const part_ranges& parts);

} // namespace zinniahub
