#pragma once

#include "operator/exit_code.hpp"

#include <string_view>

namespace zinniahub::commands
{

enum class output_format
{
    text,
    json
};

/// @brief Reads the argument of --output; empty means text.
result<output_format> parse_format(std::string_view text);

/// @brief Prints a line to standard output.
void print_line(std::string_view line);

/// @brief Prints a failure: as a line to standard error, or as a JSON object
/// to standard output.
/// @return the exit code of the failure
exit_code report(const error& failure, output_format format);

} // namespace zinniahub::commands
