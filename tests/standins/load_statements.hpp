#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::load
{

/// @brief A class of statements of the reference workloads.
struct statement_class
{
    std::string_view name;
    /// Prefix of the row that shows how often the request ran; empty for reads.
    std::string_view effect_prefix;
    /// Prefix of a shared row that the same transaction changes; empty for a
    /// request of one statement.
    std::string_view shared_prefix;
    int shared_change = 0;
    /// True if the ids of all requests of a session are collected in one row.
    bool appends = false;

    bool is_read() const
    {
        return effect_prefix.empty();
    }
    bool is_transaction() const
    {
        return !shared_prefix.empty();
    }
    /// @brief Rate tokens that one run takes: BEGIN and each statement.
    int tokens() const
    {
        return is_transaction() ? 3 : 1;
    }
};

/// @brief Class with the given name; nullptr if there is none.
const statement_class* find_class(std::string_view name);

/// @brief Row that shows the effect of a request.
std::string effect_key(
    const statement_class& kind, std::string_view session, std::string_view id);

/// @brief Statements of a request, in order.
std::vector<std::string> statements_of(
    const statement_class& kind, std::string_view session, std::string_view id,
    std::uint64_t random);

/// @brief How often the request `id` ran according to the value of its row.
std::uint64_t effect_count(
    const statement_class& kind, std::string_view value, std::string_view id);

} // namespace zinniahub::load
