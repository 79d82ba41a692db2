#include <zinniahub/part_ranges.hpp>
#include <zinniahub/rate_ledger.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

/// 64-bit FNV-1a: the same on every architecture and in every build.
std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037U;
    for (const char character : text)
    {
        hash ^= static_cast<unsigned char>(character);
        hash *= 1099511628211U;
    }
    return hash;
}

} // namespace

part_ranges::part_ranges(std::vector<part_range> ranges)
{
    std::sort(
        ranges.begin(), ranges.end(),
        [](const part_range& left, const part_range& right)
        { return left.begin < right.begin; });
    for (const auto& range : ranges)
    {
        if (range.begin >= range.end)
        {
            continue;
        }
        if (!ranges_.empty() && range.begin <= ranges_.back().end)
        {
            ranges_.back().end = std::max(ranges_.back().end, range.end);
            continue;
        }
        ranges_.push_back(range);
    }
}

std::uint32_t part_ranges::size() const
{
    std::uint32_t total = 0;
    for (const auto& range : ranges_)
    {
        total += range.end - range.begin;
    }
    return total;
}

bool part_ranges::contains(std::uint32_t part) const
{
    return std::any_of(
        ranges_.begin(), ranges_.end(),
        [part](const part_range& range)
        { return range.begin <= part && part < range.end; });
}

void part_ranges::add(const part_ranges& other)
{
    auto all = ranges_;
    all.insert(all.end(), other.ranges_.begin(), other.ranges_.end());
    *this = part_ranges(std::move(all));
}

part_ranges part_ranges::complement(std::uint32_t total) const
{
    part_ranges free;
    std::uint32_t begin = 0;
    for (const auto& range : ranges_)
    {
        if (begin < range.begin)
        {
            free.ranges_.push_back({begin, std::min(range.begin, total)});
        }
        begin = std::max(begin, range.end);
    }
    if (begin < total)
    {
        free.ranges_.push_back({begin, total});
    }
    return free;
}

part_ranges part_ranges::take_first(std::uint32_t count)
{
    part_ranges taken;
    std::vector<part_range> rest;
    for (const auto& range : ranges_)
    {
        const auto used = std::min(count, range.end - range.begin);
        count -= used;
        if (used > 0)
        {
            taken.ranges_.push_back({range.begin, range.begin + used});
        }
        if (range.begin + used < range.end)
        {
            rest.push_back({range.begin + used, range.end});
        }
    }
    ranges_ = std::move(rest);
    return taken;
}

part_ranges intersection(
    const part_ranges& left, const part_ranges& right, std::uint32_t total)
{
    auto outside = left.complement(total);
    outside.add(right.complement(total));
    return outside.complement(total);
}

std::uint32_t part_of_portion(std::string_view customer, std::uint32_t portion)
{
    constexpr auto total = rate_shares::total_parts;
    const auto offset = static_cast<std::uint32_t>(
        stable_hash(customer) % std::uint64_t{total});
    return (offset + portion * total / portions_per_limit) % total;
}

std::uint32_t
count_portions(std::string_view customer, const part_ranges& parts)
{
    std::uint32_t count = 0;
    for (std::uint32_t portion = 0; portion < portions_per_limit; ++portion)
    {
        count += parts.contains(part_of_portion(customer, portion)) ? 1 : 0;
    }
    return count;
}

} // namespace zinniahub
