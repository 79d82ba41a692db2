#include "standins/load_statements.hpp"

#include <fmt/format.h>

#include <charconv>

namespace zinniahub::load
{

namespace
{

constexpr std::uint64_t shared_rows = 50;

constexpr statement_class classes[] = {
    {"booking", "booking", "booth", 1},
    {"take_log", "take", "", 0, true},
    {"order", "order", ""},
    {"fee", "fee", ""},
    {"browse", "", ""},
    {"part_booking", "slip", "stock", -1},
    {"stock_correction", "correction", "stock", 5},
    {"drawing", "", ""},
};

} // namespace

const statement_class* find_class(std::string_view name)
{
    for (const auto& known : classes)
        if (known.name == name)
            return &known;
    return nullptr;
}

std::string effect_key(
    const statement_class& kind, std::string_view session, std::string_view id)
{
    return fmt::format(
        "{}/{}", kind.effect_prefix, kind.appends ? session : id);
}

std::vector<std::string> statements_of(
    const statement_class& kind, std::string_view session, std::string_view id,
    std::uint64_t random)
{
    std::vector<std::string> texts;
    if (kind.is_transaction())
        texts.push_back(fmt::format(
            "add {}/{} {}", kind.shared_prefix, random % shared_rows,
            kind.shared_change));
    const auto key = effect_key(kind, session, id);
    // "add" increments a counter, so that a second run is visible in the data.
    texts.push_back(
        kind.appends ? fmt::format("append {} {},", key, id)
                     : fmt::format("add {} 1", key));
    return texts;
}

std::uint64_t effect_count(
    const statement_class& kind, std::string_view value, std::string_view id)
{
    std::uint64_t count = 0;
    if (!kind.appends)
    {
        std::from_chars(value.data(), value.data() + value.size(), count);
        return count;
    }
    while (!value.empty())
    {
        const auto end = std::min(value.find(','), value.size());
        count += value.substr(0, end) == id ? 1 : 0;
        value.remove_prefix(std::min(end + 1, value.size()));
    }
    return count;
}

} // namespace zinniahub::load
