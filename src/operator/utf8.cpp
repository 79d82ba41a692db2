#include "operator/utf8.hpp"

#include <nlohmann/json.hpp>

namespace zinniahub::commands
{

bool is_utf8(std::string_view text)
{
    // The strict writer of the library checks the encoding.
    try
    {
        static_cast<void>(nlohmann::json(text).dump());
    }
    catch (const nlohmann::json::type_error&)
    {
        return false;
    }
    return true;
}

} // namespace zinniahub::commands
