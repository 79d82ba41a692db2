#pragma once

#include <zinniahub/usage_collection.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// @brief Counts that a host sends to a collector.
struct usage_message
{
    /// Time of day of the sender.
    duration time_of_day{};
    /// The sums of the windows up to this one are fixed, as the sender knows.
    std::uint64_t fixed_through = 0;
    usage_part part;
};

/// @brief A collector has received final counts.
struct usage_acknowledgement
{
    duration time_of_day{};
    std::uint64_t window = 0;
    usage_origin origin;
    std::uint64_t total = 0;
};

/// Largest message, including its first word.
inline constexpr std::size_t max_usage_message_bytes = 512;

/// @brief Whether a name can be sent: neither empty nor too long, without
/// blanks and control characters.
bool is_usage_name(std::string_view name);

/// @brief Encodes counts as few messages of at most `max_usage_message_bytes`.
/// Customers whose names cannot be sent are left out.
/// @param word first word of each message
std::vector<std::string>
encode_usage(std::string_view word, const usage_message& value);

/// @brief Decodes a message without its first word; none if it is malformed.
std::optional<usage_message> decode_usage(std::string_view text);

std::string encode_usage_acknowledgement(
    std::string_view word, const usage_acknowledgement& value);
std::optional<usage_acknowledgement>
decode_usage_acknowledgement(std::string_view text);

/// @brief Decodes a time of day in milliseconds.
std::optional<duration> consume_time_of_day(std::string_view& text);

/// @brief Milliseconds since the start of 1970.
std::int64_t to_unix_ms(duration time_of_day);

} // namespace zinniahub::coordination
