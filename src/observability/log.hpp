#pragma once

#include <fmt/format.h>

#include <string_view>
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

template<typename... Args>
void info(
    std::string_view event, fmt::format_string<Args...> fields, Args&&... args)
{
    write(level::info, event, fmt::format(fields, std::forward<Args>(args)...));
}

template<typename... Args>
void warning(
    std::string_view event, fmt::format_string<Args...> fields, Args&&... args)
{
    write(
        level::warning, event,
        fmt::format(fields, std::forward<Args>(args)...));
}

template<typename... Args>
void failure(
    std::string_view event, fmt::format_string<Args...> fields, Args&&... args)
{
    write(
        level::failure, event,
        fmt::format(fields, std::forward<Args>(args)...));
}

} // namespace zinniahub::log
