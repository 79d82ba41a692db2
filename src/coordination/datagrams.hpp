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
    virtual void on_message(handler receiver) = 0;
    /// @brief Address under which other hosts reach this one.
    virtual std::string address() const = 0;
};

} // namespace zinniahub::coordination
