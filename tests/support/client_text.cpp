#include "support/client_text.hpp"

#include <fmt/format.h>

#include <iterator>

namespace zinniahub::test
{

namespace
{

/// Text that a careless reader may take for a part of a message, or a careless
/// writer for a part of a log line or a label.
constexpr const char* odd_words[] = {
    "FETCH",      "PUT",   "QUERY",    "EXECUTE", "WAITLSN", "STATUS",
    "PREPARE",    "SET",   "COMMIT",   "BEGIN",   "DISCARD", "STARTUP",
    "DEALLOCATE", "READY", "COMPLETE", "DATAROW", "ERROR",   "-",
    "1.1",        "\"",    "'",        "\\",      "\\n",     "\t",
    "%20",        "{}",    "/",        "a=\"b\"", "#c",      "s1"};

} // namespace

std::string client_text::piece()
{
    const auto kind = numbers_.between(1, 100);
    if (kind <= 40)
    {
        return odd_words[numbers_.between(0, std::size(odd_words) - 1)];
    }
    if (kind <= 70)
    {
        return fmt::format("q{}", numbers_.between(0, 30));
    }
    if (kind <= 80)
    {
        return {'\0', static_cast<char>(numbers_.between(1, 8)), '\x7f'};
    }
    if (kind <= 99)
    {
        std::string out;
        for (auto left = numbers_.between(1, 6); left > 0; --left)
        {
            out += static_cast<char>(numbers_.between(0x80, 0xff));
        }
        return out;
    }
    return std::string(numbers_.between(1000, 20000), 'x');
}

std::string client_text::field()
{
    std::string out;
    for (auto left = numbers_.between(1, 2); left > 0; --left)
    {
        out += piece();
    }
    return out;
}

std::string client_text::text()
{
    std::string out(numbers_.chance(15) ? numbers_.between(1, 2) : 0, ' ');
    for (auto left = numbers_.between(1, 4); left > 0; --left)
    {
        out += piece();
        if (left > 1)
        {
            out.append(numbers_.chance(25) ? 2 : 1, ' ');
        }
    }
    out.append(numbers_.chance(15) ? numbers_.between(1, 2) : 0, ' ');
    return out;
}

std::string client_text::value()
{
    return numbers_.chance(15) ? std::string{} : text();
}

} // namespace zinniahub::test
