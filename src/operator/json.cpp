#include "operator/json.hpp"

#include <cmath>

namespace zinniahub::commands::json
{

value string(std::string_view text)
{
    return value(text);
}

value number(std::uint64_t number)
{
    return value(number);
}

value number(double number)
{
    // Above 2^53, a double cannot represent every integer exactly.
    constexpr double largest_exact = 9007199254740992.0;
    // Integers are written without a fraction.
    return std::trunc(number) == number && std::abs(number) < largest_exact
               ? value(static_cast<std::int64_t>(number))
               : value(number);
}

value boolean(bool truth)
{
    return value(truth);
}

value array(const std::vector<value>& elements)
{
    return value(elements);
}

value strings(const std::vector<std::string>& elements)
{
    return value(elements);
}

value object(const std::vector<std::pair<std::string_view, value>>& members)
{
    auto result = value::object();
    for (const auto& [name, member] : members)
    {
        result[std::string(name)] = member;
    }
    return result;
}

std::string to_text(const value& source)
{
    return source.dump(-1, ' ', false, value::error_handler_t::replace);
}

} // namespace zinniahub::commands::json
