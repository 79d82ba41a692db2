#include "observability/printable.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace zinniahub
{

namespace
{

bool is_control(char value)
{
    const auto byte = static_cast<unsigned char>(value);
    return byte < 0x20 || byte == 0x7f;
}

void append_printable(std::string& out, char value)
{
    switch (value)
    {
    case '\n':
        out += "\\n";
        return;
    case '\r':
        out += "\\r";
        return;
    case '\t':
        out += "\\t";
        return;
    case '\\':
        out += "\\\\";
        return;
    default:
        break;
    }
    if (is_control(value))
    {
        fmt::format_to(
            std::back_inserter(out), "\\x{:02x}",
            static_cast<unsigned char>(value));
        return;
    }
    out += value;
}

bool ends_field(char value)
{
    return value == ' ' || value == '"' || value == '\\' || is_control(value);
}

} // namespace

std::string printable(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (const char value : text)
    {
        append_printable(out, value);
    }
    return out;
}

std::string quoted_text(std::string_view text)
{
    std::string out = "\"";
    for (const char value : text)
    {
        if (value == '"')
        {
            out += '\\';
        }
        append_printable(out, value);
    }
    out += '"';
    return out;
}

std::string field_value(std::string_view text)
{
    if (text.empty() || std::any_of(text.begin(), text.end(), ends_field))
    {
        return quoted_text(text);
    }
    return std::string(text);
}

} // namespace zinniahub
