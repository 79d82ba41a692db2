#pragma once

#include <string_view>

namespace zinniahub::settings
{

/// @brief True if `text` has the form IP:port or [IPv6]:port with a port in
/// 1..65535.
bool is_address(std::string_view text);

/// @brief True for an address that other processes can connect to: not the
/// unspecified address 0.0.0.0 or [::].
bool is_connectable_address(std::string_view text);

/// @brief True for 1 to 64 letters, digits, '.', '_' and '-'. Names are parts
/// of keys in the platform and of log lines.
bool is_name(std::string_view text);

} // namespace zinniahub::settings
