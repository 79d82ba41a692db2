#include "standins/load_checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace zinniahub::load
{

namespace
{

constexpr std::size_t max_details = 20;

double seconds_of(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::uint64_t runs_of(const request_record& request, const group_rows& rows)
{
    const auto group = rows.find(request.group);
    if (group == rows.end())
        return 0;
    const auto row = group->second.find(
        effect_key(*request.kind, request.session, request.id));
    return row == group->second.end()
               ? 0
               : effect_count(*request.kind, row->second, request.id);
}

void add_violation(
    violations& found, std::uint64_t& counter, std::string_view kind,
    const request_record& request)
{
    ++counter;
    if (found.details.size() < max_details)
        found.details.push_back(fmt::format(
            "{}: {} {} in {}, outcome {} {}", kind, request.kind->name,
            request.id, request.group, to_string(request.outcome),
            static_cast<std::uint32_t>(request.code)));
}

void check_write(
    violations& found, const request_record& request, const group_rows& rows)
{
    const auto runs = runs_of(request, rows);
    if (request.outcome == verdict::done && runs == 0)
        add_violation(found, found.lost, "lost", request);
    if (request.outcome == verdict::not_run && runs > 0)
        add_violation(found, found.false_not_run, "false not_run", request);
    if (runs > 1)
        add_violation(found, found.doubled, "doubled", request);
}

/// Segment tree with addition to a prefix and a query for its maximum.
class prefix_maximum
{
public:
    explicit prefix_maximum(const std::vector<double>& values)
    {
        while (leaves_ < values.size())
            leaves_ *= 2;
        best_.assign(2 * leaves_, -std::numeric_limits<double>::infinity());
        added_.assign(2 * leaves_, 0);
        std::copy(
            values.begin(), values.end(),
            best_.begin() + static_cast<std::ptrdiff_t>(leaves_));
        for (auto node = leaves_ - 1; node >= 1; --node)
            best_[node] = std::max(best_[2 * node], best_[2 * node + 1]);
    }

    /// Adds one to the first `count` values.
    void add_to_prefix(std::size_t count)
    {
        add(1, 0, leaves_, count);
    }

    /// Maximum of the first `count` values.
    double maximum(std::size_t count) const
    {
        return maximum(1, 0, leaves_, count);
    }

private:
    void
    add(std::size_t node, std::size_t begin, std::size_t end, std::size_t count)
    {
        if (count <= begin)
            return;
        if (end <= count)
        {
            best_[node] += 1;
            added_[node] += 1;
            return;
        }
        const auto middle = begin + (end - begin) / 2;
        add(2 * node, begin, middle, count);
        add(2 * node + 1, middle, end, count);
        best_[node] =
            std::max(best_[2 * node], best_[2 * node + 1]) + added_[node];
    }

    double maximum(
        std::size_t node, std::size_t begin, std::size_t end,
        std::size_t count) const
    {
        if (count <= begin)
            return -std::numeric_limits<double>::infinity();
        if (end <= count)
            return best_[node];
        const auto middle = begin + (end - begin) / 2;
        return added_[node] + std::max(
                                  maximum(2 * node, begin, middle, count),
                                  maximum(2 * node + 1, middle, end, count));
    }

    std::size_t leaves_ = 1;
    std::vector<double> best_;
    std::vector<double> added_;
};

} // namespace

violations
check_history(std::span<const request_record> history, const group_rows& rows)
{
    violations found;
    for (const auto& request : history)
    {
        if (request.stale)
            add_violation(found, found.stale_session_reads, "stale", request);
        if (!request.kind->is_read())
            check_write(found, request, rows);
    }
    return found;
}

double
rate_excess(std::vector<admission> admitted, double rate_per_s, double burst)
{
    if (admitted.empty())
        return 0;
    std::sort(
        admitted.begin(), admitted.end(),
        [](const auto& left, const auto& right)
        { return left.replied < right.replied; });
    std::vector<time_point> starts;
    starts.reserve(admitted.size());
    for (const auto& entry : admitted)
        starts.push_back(entry.sent);
    std::sort(starts.begin(), starts.end());
    const auto origin = starts.front();
    std::vector<double> begin_terms;
    begin_terms.reserve(starts.size());
    for (const auto start : starts)
        begin_terms.push_back(rate_per_s * seconds_of(start - origin));
    // For a window [s, e], the excess is n(s, e) - rate * (e - s) - burst; the
    // tree holds n(s, e) + rate * s for every s as e advances.
    prefix_maximum windows(begin_terms);
    double greatest = 0;
    const auto count_until = [&](time_point when)
    {
        return static_cast<std::size_t>(
            std::upper_bound(starts.begin(), starts.end(), when) -
            starts.begin());
    };
    for (const auto& entry : admitted)
    {
        windows.add_to_prefix(count_until(entry.sent));
        greatest = std::max(
            greatest, windows.maximum(count_until(entry.replied)) -
                          rate_per_s * seconds_of(entry.replied - origin) -
                          burst);
    }
    return greatest;
}

} // namespace zinniahub::load
