#include "coordination/usage_message.hpp"

#include "coordination/datagram_transport.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace zinniahub::coordination
{

namespace
{

/// Stands for counts that are not final.
constexpr std::string_view no_total = "-";

constexpr std::size_t max_name_bytes = 128;

/// Year 2100; keeps sums of times far from an overflow.
constexpr std::uint64_t max_unix_ms = 4'102'444'800'000;

std::string encode_header(std::string_view word, const usage_message& value)
{
    const auto& part = value.part;
    return fmt::format(
        "{} {} {} {} {} {} {}", word, to_unix_ms(value.time_of_day),
        value.fixed_through, part.origin.host, part.origin.incarnation,
        part.window,
        part.final_total ? std::to_string(*part.final_total)
                         : std::string(no_total));
}

std::optional<usage_origin> consume_origin(std::string_view& text)
{
    const auto host = consume_word(text);
    const auto incarnation = consume_number(text);
    if (!is_usage_name(host) || !incarnation)
    {
        return std::nullopt;
    }
    return usage_origin{std::string(host), *incarnation};
}

/// @return false if the counts are malformed
bool decode_counts(std::string_view text, usage_counts& counts)
{
    while (!text.empty())
    {
        const auto customer = consume_word(text);
        const auto count = consume_number(text);
        if (!is_usage_name(customer) || !count)
        {
            return false;
        }
        counts[std::string(customer)] = *count;
    }
    return true;
}

} // namespace

std::int64_t to_unix_ms(duration time_of_day)
{
    return time_of_day / std::chrono::milliseconds(1);
}

bool is_usage_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_bytes &&
           std::none_of(
               name.begin(), name.end(),
               [](char character)
               { return static_cast<unsigned char>(character) <= ' '; });
}

std::optional<duration> consume_time_of_day(std::string_view& text)
{
    const auto ms = consume_number(text);
    if (!ms || *ms > max_unix_ms)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*ms);
}

std::vector<std::string>
encode_usage(std::string_view word, const usage_message& value)
{
    const auto header = encode_header(word, value);
    std::vector<std::string> messages{header};
    for (const auto& [customer, count] : value.part.counts)
    {
        if (!is_usage_name(customer))
        {
            continue;
        }
        const auto entry = fmt::format(" {} {}", customer, count);
        if (messages.back().size() + entry.size() > max_usage_message_bytes)
        {
            messages.push_back(header);
        }
        messages.back() += entry;
    }
    return messages;
}

std::optional<usage_message> decode_usage(std::string_view text)
{
    usage_message value;
    const auto time_of_day = consume_time_of_day(text);
    const auto fixed_through = consume_number(text);
    auto origin = consume_origin(text);
    const auto window = consume_number(text);
    auto total_text = consume_word(text);
    if (!time_of_day || !fixed_through || !origin || !window)
    {
        return std::nullopt;
    }
    if (total_text != no_total)
    {
        value.part.final_total = consume_number(total_text);
        if (!value.part.final_total)
        {
            return std::nullopt;
        }
    }
    value.time_of_day = *time_of_day;
    value.fixed_through = *fixed_through;
    value.part.origin = std::move(*origin);
    value.part.window = *window;
    return decode_counts(text, value.part.counts) ? std::optional(value)
                                                  : std::nullopt;
}

std::string encode_usage_acknowledgement(
    std::string_view word, const usage_acknowledgement& value)
{
    return fmt::format(
        "{} {} {} {} {} {}", word, to_unix_ms(value.time_of_day),
        value.origin.host, value.origin.incarnation, value.window, value.total);
}

std::optional<usage_acknowledgement>
decode_usage_acknowledgement(std::string_view text)
{
    const auto time_of_day = consume_time_of_day(text);
    auto origin = consume_origin(text);
    const auto window = consume_number(text);
    const auto total = consume_number(text);
    if (!time_of_day || !origin || !window || !total)
    {
        return std::nullopt;
    }
    return usage_acknowledgement{
        *time_of_day, *window, std::move(*origin), *total};
}

} // namespace zinniahub::coordination
