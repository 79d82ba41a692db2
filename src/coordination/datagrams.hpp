#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief Unreliable messages between the hosts.
class datagrams
{
public:
    using handler =
        std::function<void(std::string_view from, std::string_view message)>;

    virtual ~datagrams() = default;
    /// @brief Sends a message; it may be lost.
    /// @param to address of the other host
    virtual void send(std::string_view to, std::string_view message) = 0;
    /// @brief Passes messages that begin with a word, without it, to a handler.
    virtual void on_message(std::string_view word, handler receiver) = 0;
    /// @brief Address under which other hosts reach this one.
    virtual std::string address() const = 0;
};

/// @brief Takes the first word of a message; the rest stays in `text`.
inline std::string_view take_word(std::string_view& text)
{
    const auto end = text.find(' ');
    const auto word = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{}
                                         : text.substr(end + 1);
    return word;
}

} // namespace zinniahub::coordination
