#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::tests
{

/// @brief Decodes the escapes \r, \n, \\ and \xHH of a line of the corpus.
inline std::string unescape(std::string_view text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] != '\\' || at + 1 == text.size())
        {
            out += text[at];
            continue;
        }
        const char code = text[++at];
        if (code == 'x' && at + 2 < text.size())
        {
            out += static_cast<char>(
                std::stoi(std::string(text.substr(at + 1, 2)), nullptr, 16));
            at += 2;
        }
        else
        {
            out += code == 'r' ? '\r' : code == 'n' ? '\n' : code;
        }
    }
    return out;
}

/// @brief Reads a file of the corpus: one case a line, with escapes; lines that
/// start with # are comments. Empty if the file is missing.
inline std::vector<std::string> read_corpus(const std::string& name)
{
    std::ifstream file(ZINNIAHUB_SOURCE_DIR "/tests/corpus/" + name);
    std::vector<std::string> cases;
    for (std::string line; std::getline(file, line);)
    {
        if (!line.starts_with('#'))
        {
            cases.push_back(unescape(line));
        }
    }
    return cases;
}

/// @brief One change of a case. The numbers select by remainder, so that each
/// value is valid.
struct edit
{
    std::uint8_t action = 0;
    std::uint16_t at = 0;
    std::uint16_t length = 0;
    std::uint16_t piece = 0;
};

inline std::ostream& operator<<(std::ostream& out, const edit& value)
{
    return out << "edit{" << int{value.action} << ", " << value.at << ", "
               << value.length << ", " << value.piece << "}";
}

/// @brief Pieces that change how a text is read: separators, ends of a line,
/// words of the protocols, numbers at their limits.
inline const std::vector<std::string>& odd_pieces()
{
    using namespace std::string_literals;
    static const std::vector<std::string> pieces{
        " ",
        "  ",
        "\r",
        "\n",
        "\r\n",
        "\n\r",
        "\0"s,
        "\t",
        "\x0b",
        "\x80",
        "\xff",
        "\xc2\xa0",
        "\xe2\x80\xa8",
        "-",
        "QUERY ",
        "QUERY - ",
        "STARTUP ",
        "TERMINATE",
        " WAITLSN 1.1 ",
        " EXECUTE ",
        " PREPARE s FETCH ",
        " SET ",
        " BEGIN",
        " COMMIT",
        "\r\nQUERY - STEPDOWN 9\r\n",
        "\nQUERY 7 PUT a b\n",
        "DATAROW ",
        "\r\nCOMPLETE x\r\nREADY I 1.1\r\n",
        "\nERROR BUSY\nREADY I -\n",
        "READY ",
        "18446744073709551615",
        "18446744073709551616",
        "1e999",
        "null",
        "\"",
        "\\",
        "{}",
        "[[",
        "]",
        ","};
    return pieces;
}

/// @brief Applies an edit: insert, overwrite, cut, repeat, splice with another
/// case, change of a bit.
inline void apply(
    const edit& change, const std::vector<std::string>& cases,
    std::string& text)
{
    const auto at = change.at % (text.size() + 1);
    const auto length = std::size_t{change.length} % 16;
    const auto& piece = odd_pieces()[change.piece % odd_pieces().size()];
    switch (change.action % 7)
    {
    case 0:
    case 1:
        text.insert(at, piece);
        break;
    case 2:
        text.replace(at, length, piece);
        break;
    case 3:
        text.erase(at, length);
        break;
    case 4:
        text.insert(at, text.substr(at, length));
        break;
    case 5:
    {
        const auto& other = cases[change.piece % cases.size()];
        text = text.substr(0, at) +
               other.substr(change.length % (other.size() + 1));
        break;
    }
    case 6:
        if (at < text.size())
        {
            text[at] = static_cast<char>(text[at] ^ (1 << (length % 8)));
        }
        break;
    }
}

/// @brief Generates cases of the corpus with a few changes, and at times bytes
/// without any form.
inline rc::Gen<std::string> mutated(const std::vector<std::string>& cases)
{
    const auto any = [](auto value)
    {
        return rc::gen::resize(
            rc::kNominalSize, rc::gen::arbitrary<decltype(value)>());
    };
    const auto edits =
        rc::gen::container<std::vector<edit>>(rc::gen::build<edit>(
            rc::gen::set(&edit::action, any(std::uint8_t{})),
            rc::gen::set(&edit::at, any(std::uint16_t{})),
            rc::gen::set(&edit::length, any(std::uint16_t{})),
            rc::gen::set(&edit::piece, any(std::uint16_t{}))));
    auto grown = rc::gen::map(
        rc::gen::pair(
            rc::gen::elementOf(cases),
            rc::gen::resize(rc::kNominalSize / 12, edits)),
        [cases](const std::pair<std::string, std::vector<edit>>& drawn)
        {
            auto text = drawn.first;
            for (const auto& change : drawn.second)
            {
                apply(change, cases, text);
            }
            return text;
        });
    return rc::gen::weightedOneOf<std::string>(
        {{15, std::move(grown)}, {1, rc::gen::arbitrary<std::string>()}});
}

} // namespace zinniahub::tests
