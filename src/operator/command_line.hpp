#pragma once

#include <zinniahub/error.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinniahub::commands
{

/// @brief One long option of a command.
struct option
{
    using target = std::variant<
        bool*, std::string*, std::vector<std::string>*,
        std::optional<std::uint64_t>*, std::optional<double>*>;

    const char* name;
    target value;
    const char* help;
    /// Name of the argument in the help; nullptr for a flag.
    const char* argument = nullptr;
};

/// @brief Result of parsing the arguments of a command.
struct parsed_arguments
{
    /// True if the help or the version was printed and the command must not
    /// run.
    bool finished = false;
    std::vector<std::string> positional;
};

/// @brief Parses options and positional arguments. Every command has --help
/// and --version.
/// @param arguments of the command, without the name of the program
/// @param synopsis usage line without options, for example "get KIND NAME"
/// @return `errc::usage` for an unknown option, a missing or a bad argument
result<parsed_arguments> parse_arguments(
    std::span<const std::string> arguments, std::string_view synopsis,
    std::span<const option> options);

} // namespace zinniahub::commands
