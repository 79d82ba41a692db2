#pragma once

#include "support/soak_schedule.hpp"

#include <cstdint>
#include <string>

namespace zinniahub::test
{

/// @brief Generator of odd but legal text of clients: blanks, words of the
/// protocol, quotes, control characters and bytes beyond ASCII; long now and
/// then. It holds no CR and no LF.
class client_text
{
public:
    explicit client_text(std::uint64_t seed)
        : numbers_(seed)
    {
    }

    /// @brief A name or an item: not empty, without blanks.
    std::string field();
    /// @brief A shape or data, the last field of a message: not empty; blanks
    /// may lead, trail and be double.
    std::string text();
    /// @brief A session value: as `text`, but may be empty.
    std::string value();

private:
    std::string piece();

    seeded_numbers numbers_;
};

} // namespace zinniahub::test
