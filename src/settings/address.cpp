#include "settings/address.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace zinniahub::settings
{

namespace
{

constexpr std::size_t max_name_length = 64;

bool is_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && port != 0;
}

/// The parser of Boost reads to the first NUL and takes any text as the zone of
/// an IPv6 address.
bool is_host_text(std::string_view text)
{
    const auto zone = text.find('%');
    const auto has_valid_zone =
        zone == std::string_view::npos || is_name(text.substr(zone + 1));
    return has_valid_zone && text.find('\0') == std::string_view::npos;
}

std::optional<boost::asio::ip::address> parse_host(std::string_view text)
{
    const bool bracketed =
        text.size() > 2 && text.front() == '[' && text.back() == ']';
    if (bracketed)
        text = text.substr(1, text.size() - 2);
    if (!is_host_text(text))
        return std::nullopt;
    boost::system::error_code failed;
    const auto parsed =
        boost::asio::ip::make_address(std::string(text), failed);
    if (failed || parsed.is_v6() != bracketed)
        return std::nullopt;
    return parsed;
}

std::optional<boost::asio::ip::address> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1)))
        return std::nullopt;
    return parse_host(text.substr(0, colon));
}

bool is_name_character(char value)
{
    return (value >= 'a' && value <= 'z') || (value >= 'A' && value <= 'Z') ||
           (value >= '0' && value <= '9') || value == '.' || value == '_' ||
           value == '-';
}

} // namespace

bool is_address(std::string_view text)
{
    return parse_address(text).has_value();
}

bool is_connectable_address(std::string_view text)
{
    const auto parsed = parse_address(text);
    return parsed && !parsed->is_unspecified();
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

} // namespace zinniahub::settings
