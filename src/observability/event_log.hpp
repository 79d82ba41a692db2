#pragma once

#include <zinniahub/time.hpp>

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace zinniahub::log
{

/// @brief One field of an event.
struct field
{
    using value_type = std::variant<
        std::string_view, std::int64_t, std::uint64_t, double, bool>;

    template<typename T>
    field(std::string_view field_name, const T& field_value)
        : name(field_name)
        , value(convert(field_value))
    {
    }

    std::string_view name;
    value_type value;

private:
    template<typename T>
    static value_type convert(const T& source)
    {
        if constexpr (std::is_same_v<T, bool>)
        {
            return source;
        }
        else if constexpr (std::is_floating_point_v<T>)
        {
            return static_cast<double>(source);
        }
        else if constexpr (std::is_unsigned_v<T>)
        {
            return static_cast<std::uint64_t>(source);
        }
        else if constexpr (std::is_integral_v<T>)
        {
            return static_cast<std::int64_t>(source);
        }
        else
        {
            return std::string_view(source);
        }
    }
};

/// @brief Writes events as JSON lines to a non-blocking descriptor.
///
/// Each kind of event, and each cause within a kind, has a budget of lines per
/// second, so that a frequent cause does not hide a rare one. Lines beyond the
/// budget, and lines that exceed the write buffer, are dropped, counted and
/// reported by a "log_dropped" line before the next line of that budget.
class event_log
{
public:
    struct settings
    {
        /// Open descriptor; it is made non-blocking.
        int descriptor = 1;
        std::string node;
        /// Lines per second of one budget.
        std::uint32_t lines_per_second = 20;
        /// Largest number of lines of one budget in a burst.
        std::uint32_t burst = 60;
    };

    explicit event_log(settings values);

    /// @brief Writes one event.
    /// @param kind literal that names the event, for example "store_lost"
    void write(std::string_view kind, std::initializer_list<field> fields);

    /// @brief Writes one event that uses the budget of its cause.
    /// @param cause name from a small set, for example an error's name
    void write(
        std::string_view kind, std::string_view cause,
        std::initializer_list<field> fields);

    /// @brief Number of lines dropped since the start.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    struct line_budget
    {
        double available = 0;
        time_point refilled_at{};
        std::uint64_t dropped = 0;
    };

    bool consume_line(std::string_view budget_name, time_point now);
    void report_dropped(std::string_view kind, line_budget& budget);
    void
    append_line(std::string_view kind, std::initializer_list<field> fields);
    void flush();

    settings settings_;
    std::map<std::string, line_budget, std::less<>> budgets_;
    std::uint64_t dropped_ = 0;
    /// Bytes not yet written to the descriptor.
    std::string pending_;
};

} // namespace zinniahub::log
