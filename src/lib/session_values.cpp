#include <zinniahub/session_values.hpp>

#include <algorithm>

namespace zinniahub
{

std::string pooled_statement_name(const prepared_statement& statement)
{
    return (statement.writes ? "w_" : "r_") + statement.shape;
}

restore_plan connection_values::plan(
    const session_values& session, const prepared_statement* needed) const
{
    restore_plan steps;
    // A single value cannot be unset, so all are discarded.
    steps.discard = std::any_of(
        values_.begin(), values_.end(),
        [&session](const auto& entry)
        { return !session.values.contains(entry.first); });
    for (const auto& [name, value] : session.values)
    {
        const auto current = values_.find(name);
        if (steps.discard || current == values_.end() ||
            current->second != value)
        {
            steps.set.emplace_back(name, value);
        }
    }
    if (needed != nullptr &&
        (steps.discard || !prepared_.contains(pooled_statement_name(*needed))))
    {
        steps.prepare.push_back(*needed);
    }
    return steps;
}

void connection_values::on_discarded()
{
    values_.clear();
    prepared_.clear();
}

void connection_values::on_set(
    const std::string& name, const std::string& value)
{
    values_[name] = value;
}

void connection_values::on_prepared(const prepared_statement& statement)
{
    prepared_[pooled_statement_name(statement)] = statement;
}

void connection_values::on_statement_unknown(
    const prepared_statement& statement)
{
    prepared_.erase(pooled_statement_name(statement));
}

} // namespace zinniahub
