#include "observability/log.hpp"

#include <fmt/chrono.h>

#include <chrono>
#include <cstdio>

namespace zinniahub::log
{

namespace
{

std::string_view name_of(level severity)
{
    switch (severity)
    {
    case level::info:
        return "info";
    case level::warning:
        return "warning";
    case level::failure:
        return "error";
    }
    return "error";
}

} // namespace

void write(level severity, std::string_view event, std::string_view fields)
{
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch())
            .count() %
        1000;
    // One call per line, so that lines of different threads do not interleave.
    const auto line = fmt::format(
        "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}{}{}\n",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds,
        name_of(severity), event, fields.empty() ? "" : " ", fields);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace zinniahub::log
