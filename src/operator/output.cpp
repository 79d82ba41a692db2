#include "operator/output.hpp"

#include "observability/printable.hpp"
#include "operator/json.hpp"

#include <fmt/format.h>

#include <cstdio>

namespace zinniahub::commands
{

namespace
{

json::value to_json(const error& failure)
{
    const auto details = json::object(
        {{"code", json::number(
                      std::uint64_t{static_cast<std::uint32_t>(failure.code)})},
         {"name", json::string(to_string(failure.code))},
         {"detail", json::string(failure.detail)}});
    return json::object({{"error", details}});
}

} // namespace

result<output_format> parse_format(std::string_view text)
{
    if (text.empty() || text == "text")
        return output_format::text;
    if (text == "json")
        return output_format::json;
    return fail(
        errc::usage,
        fmt::format("--output: \"{}\", allowed: text, json", text));
}

void print_line(std::string_view line)
{
    fmt::print("{}\n", line);
    std::fflush(stdout);
}

exit_code report(const error& failure, output_format format)
{
    if (format == output_format::json)
    {
        print_line(json::to_text(to_json(failure)));
    }
    else
    {
        fmt::print(
            stderr, "zinniahub: error {} {}: {}\n",
            static_cast<std::uint32_t>(failure.code), to_string(failure.code),
            printable(failure.detail));
    }
    return exit_code_of(failure.code);
}

} // namespace zinniahub::commands
