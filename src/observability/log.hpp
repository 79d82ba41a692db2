#pragma once

#include "observability/printable.hpp"

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace zinniahub::log
{

enum class level
{
    info,
    warning,
    failure
};

/// @brief Writes one line to standard error: time, level, event, fields.
/// @param event name of the event, in snake_case
/// @param fields key=value pairs separated by spaces
void write(level severity, std::string_view event, std::string_view fields);

/// @brief Type of a logged argument: text becomes the value of one field, so
/// that it cannot end the field or the line.
template<typename T>
using logged = std::conditional_t<
    std::is_convertible_v<T, std::string_view>, std::string, T>;

template<typename T>
logged<T> to_logged(T&& value)
{
    if constexpr (std::is_convertible_v<T, std::string_view>)
    {
        return field_value(value);
    }
    else
    {
        return std::forward<T>(value);
    }
}

template<typename... Args>
void info(
    std::string_view event, fmt::format_string<logged<Args>...> fields,
    Args&&... args)
{
    write(
        level::info, event,
        fmt::format(fields, to_logged(std::forward<Args>(args))...));
}

template<typename... Args>
void warning(
    std::string_view event, fmt::format_string<logged<Args>...> fields,
    Args&&... args)
{
    write(
        level::warning, event,
        fmt::format(fields, to_logged(std::forward<Args>(args))...));
}

template<typename... Args>
void failure(
    std::string_view event, fmt::format_string<logged<Args>...> fields,
    Args&&... args)
{
    write(
        level::failure, event,
        fmt::format(fields, to_logged(std::forward<Args>(args))...));
}

} // namespace zinniahub::log
