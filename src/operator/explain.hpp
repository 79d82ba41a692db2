#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace zinniahub::commands
{

/// @brief Collects the log lines of many processes that concern one request.
///
/// Besides the lines of the request, the latest state changes before it are
/// shown: configuration, primary of the service, duty and store of the host
/// that answered. Files may be rotated, truncated or interleaved.
class explanation
{
public:
    explicit explanation(std::string id)
        : id_(std::move(id))
    {
    }

    /// @brief Reads lines. Text before the first brace of a line is
    /// ignored; lines that cannot be decoded are counted.
    void read(std::istream& input);

    /// @brief True if a line names the request.
    bool found() const;

    /// @brief The selected events in chronological order, and the number of
    /// missing lines.
    std::string text() const;

private:
    struct line
    {
        std::int64_t at_ms = 0;
        std::string node;
        std::string event;
        std::string id;
        /// All other fields, as text.
        std::string fields;
        std::uint64_t dropped = 0;
    };

    std::vector<const line*> context_of(const line& request) const;

    std::string id_;
    std::vector<line> lines_;
    std::size_t unreadable_ = 0;
};

} // namespace zinniahub::commands
