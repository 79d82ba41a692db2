#include "operator/store_options.hpp"

#include "operator/utf8.hpp"
#include "settings/address.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

namespace zinniahub::commands
{

namespace
{

/// Longer than the timeout of the daemon, so that commands tolerate a slow
/// platform.
constexpr std::chrono::milliseconds call_timeout{2000};

std::string read_all(std::istream& stream)
{
    return {
        std::istreambuf_iterator<char>(stream),
        std::istreambuf_iterator<char>()};
}

void remove_line_end(std::string& text)
{
    if (!text.empty() && text.back() == '\n')
        text.pop_back();
    if (!text.empty() && text.back() == '\r')
        text.pop_back();
}

} // namespace

std::vector<option>
store_options::append_to(std::vector<option> command_options)
{
    command_options.push_back(
        {"platform", &platform, "address of the platform service", "IP:PORT"});
    command_options.push_back(
        {"output", &output, "output format", "text|json"});
    return command_options;
}

result<std::unique_ptr<kv::platform_store>>
open_store(const store_options& options)
{
    if (!settings::is_connectable_address(options.platform))
    {
        return fail(
            errc::usage,
            fmt::format(
                "--platform: \"{}\", needed: IP:port", options.platform));
    }
    return kv::blocking_platform_client::make(options.platform, call_timeout);
}

result<parsed_arguments> parse_with_count(
    std::span<const std::string> arguments, std::string_view synopsis,
    std::span<const option> options, argument_count count)
{
    auto parsed = parse_arguments(arguments, synopsis, options);
    if (!parsed || parsed->finished)
        return parsed;
    const auto given = parsed->positional.size();
    if (given < count.min || given > count.max)
    {
        return fail(
            errc::usage,
            fmt::format(
                "{} arguments given, usage: zinniahub {}", given, synopsis));
    }
    if (!std::all_of(
            parsed->positional.begin(), parsed->positional.end(), is_utf8))
    {
        return fail(errc::usage, "an argument is not UTF-8");
    }
    return parsed;
}

tl::expected<command_input, exit_code> read_input(
    std::span<const std::string> arguments, std::string_view synopsis,
    std::span<const option> options, argument_count count,
    const std::string& output)
{
    auto parsed = parse_with_count(arguments, synopsis, options, count);
    const auto format = parse_format(output);
    if (!format)
    {
        return tl::make_unexpected(report(format.error(), output_format::text));
    }
    if (!parsed)
        return tl::make_unexpected(report(parsed.error(), *format));
    if (parsed->finished)
        return tl::make_unexpected(exit_code::ok);
    return command_input{std::move(parsed->positional), *format};
}

result<std::string> read_text(const std::string& path)
{
    std::ifstream file;
    if (path != "-")
        file.open(path, std::ios::binary);
    std::istream& stream = path == "-" ? std::cin : file;
    if (!stream)
        return fail(errc::usage, fmt::format("cannot read {}", path));
    auto text = read_all(stream);
    if (stream.bad())
        return fail(errc::usage, fmt::format("cannot read {}", path));
    remove_line_end(text);
    return text;
}

} // namespace zinniahub::commands
