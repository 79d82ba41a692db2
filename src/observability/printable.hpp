#pragma once

#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Text as a part of an output line: control characters and backslashes
/// are escaped, so that it ends neither the line nor a column. All other bytes
/// are unchanged.
std::string printable(std::string_view text);

/// @brief Text in double quotes, as `printable` and with escaped quotes.
std::string quoted_text(std::string_view text);

/// @brief Text as the value of a key=value field. It is quoted if it is empty
/// or holds a blank, a quote, a backslash or a control character.
std::string field_value(std::string_view text);

} // namespace zinniahub
