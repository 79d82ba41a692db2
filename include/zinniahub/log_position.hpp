#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace zinniahub
{

/// @brief Position in the log of a database group, ordered by term, then index.
///
/// Every promotion appends an entry in its new term after all acknowledged
/// entries, so a log whose last position is at or past `p` contains the
/// acknowledged entry at `p`, also when the terms differ.
struct log_position
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

/// @brief Text of a position for logs, for example "3.1207".
inline std::string to_string(log_position position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.index);
}

} // namespace zinniahub
