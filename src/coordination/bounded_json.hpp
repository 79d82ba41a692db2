#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace zinniahub::coordination
{

/// Depth beyond which a JSON text is rejected; no record comes near it.
inline constexpr std::size_t max_json_depth = 32;

/// @brief Parses a JSON text that another program wrote.
///
/// Rejects deep nesting before anything is allocated: the nodes of a text of
/// one megabyte would take up a large part of a host's memory, and copying them
/// recursively would overflow the stack.
/// @return a discarded value if the text is invalid or nested too deeply
/// @complexity linear in the size of the text
nlohmann::json parse_bounded_json(std::string_view text);

} // namespace zinniahub::coordination
