#include "coordination/bounded_json.hpp"

#include <algorithm>

namespace zinniahub::coordination
{

namespace
{

/// Largest number of brackets that are open at once, outside strings.
std::size_t depth_of(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        const char character = text[at];
        if (in_string && character == '\\')
        {
            ++at;
        }
        else if (character == '"')
        {
            in_string = !in_string;
        }
        else if (!in_string && (character == '[' || character == '{'))
        {
            ++depth;
            deepest = std::max(deepest, depth);
        }
        else if (!in_string && (character == ']' || character == '}'))
        {
            depth -= depth > 0 ? 1 : 0;
        }
    }
    return deepest;
}

} // namespace

nlohmann::json parse_bounded_json(std::string_view text)
{
    if (depth_of(text) > max_json_depth)
    {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace zinniahub::coordination
