#pragma once

#include "kv/platform_client.hpp"
#include "operator/command_line.hpp"
#include "operator/output.hpp"

#include <memory>
#include <string>
#include <vector>

namespace zinniahub::commands
{

/// @brief Options of all commands that call the platform.
struct store_options
{
    std::string platform;
    std::string output;

    /// @brief Appends these options to the options of a command.
    std::vector<option> append_to(std::vector<option> command_options);
};

/// @brief Connects to the platform named on the command line.
/// @return `errc::usage` if the address is missing or malformed
result<std::unique_ptr<kv::platform_store>>
open_store(const store_options& options);

/// @brief Allowed number of positional arguments.
struct argument_count
{
    std::size_t min;
    std::size_t max;
};

result<parsed_arguments> parse_with_count(
    std::span<const std::string> arguments, std::string_view synopsis,
    std::span<const option> options, argument_count count);

/// @brief Parsed arguments of a command that is to be run.
struct command_input
{
    std::vector<std::string> positional;
    output_format format;
};

/// @brief Parses the arguments of a command and reports a failure.
/// @param output argument of --output, to which one of the options refers
/// @return the exit code if the command ends here: after a failure, --help or
/// --version
tl::expected<command_input, exit_code> read_input(
    std::span<const std::string> arguments, std::string_view synopsis,
    std::span<const option> options, argument_count count,
    const std::string& output);

/// @brief Reads a file, or standard input for "-". One line end at the end of
/// the content is removed.
result<std::string> read_text(const std::string& path);

} // namespace zinniahub::commands
