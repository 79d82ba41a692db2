#pragma once

#include <string_view>

namespace zinniahub::commands
{

/// @brief True if the text is valid UTF-8. Messages hold no other text: the
/// receiver could not read the whole message.
bool is_utf8(std::string_view text);

} // namespace zinniahub::commands
