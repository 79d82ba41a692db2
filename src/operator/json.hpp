#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinniahub::commands::json
{

/// @brief A JSON value; objects keep the order of their members.
using value = nlohmann::ordered_json;

/// @brief A string; bytes that are not valid UTF-8 are replaced in the output.
value string(std::string_view text);
value number(std::uint64_t number);
value number(double number);
value boolean(bool truth);
value array(const std::vector<value>& elements);
value strings(const std::vector<std::string>& elements);

/// @brief An object with its members in the given order.
value object(const std::vector<std::pair<std::string_view, value>>& members);

/// @brief The value on one line. Numbers that are not finite become null.
std::string to_text(const value& source);

} // namespace zinniahub::commands::json
