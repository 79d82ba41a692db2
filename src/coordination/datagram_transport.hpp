#pragma once

#include <charconv>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief Unreliable messaging between the hosts.
class datagram_transport
{
public:
    using handler =
        std::function<void(std::string_view from, std::string_view message)>;

    virtual ~datagram_transport() = default;
    /// @brief Sends a message without delivery guarantee.
    /// @param to address of the other host
    virtual void send(std::string_view to, std::string_view message) = 0;
    /// @brief Sets the handler for messages whose first word is `word`; it gets
    /// the rest of the message.
    virtual void set_handler(std::string_view word, handler receiver) = 0;
    /// @brief Address under which other hosts reach this one.
    virtual std::string address() const = 0;
};

/// @brief Removes the first word from `text` and returns it.
inline std::string_view consume_word(std::string_view& text)
{
    const auto end = text.find(' ');
    const auto word = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{}
                                         : text.substr(end + 1);
    return word;
}

/// @brief Removes the first word from `text` and returns it as a number; none
/// if it is not a decimal number that fits.
inline std::optional<std::uint64_t> consume_number(std::string_view& text)
{
    std::uint64_t value = 0;
    const auto word = consume_word(text);
    const auto* const end = word.data() + word.size();
    const auto parsed = std::from_chars(word.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(value)
                                                         : std::nullopt;
}

} // namespace zinniahub::coordination
