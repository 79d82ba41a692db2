#include <zinniahub/session_values.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

/// Names on a pooled connection, in the order of their use.
constexpr std::string_view statement_names =
    "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
static_assert(statement_names.size() == connection_values::max_statements);

std::size_t entry_bytes(std::string_view name, std::string_view content)
{
    return session_values::entry_overhead_bytes + name.size() + content.size();
}

} // namespace

bool session_budget::charge(std::size_t added, std::size_t released)
{
    const auto needed = used_ - released + added;
    if (added > released && needed > limit_)
    {
        return false;
    }
    used_ = needed;
    return true;
}

session_values::~session_values()
{
    if (shared_ != nullptr)
    {
        shared_->charge(0, bytes_);
    }
}

result<void> session_values::charge(std::size_t added, std::size_t released)
{
    if (bytes_ - released + added > max_bytes)
    {
        return fail(
            errc::value_too_large,
            "the values and prepared statements of the session are too large");
    }
    if (shared_ != nullptr && !shared_->charge(added, released))
    {
        return fail(
            errc::value_too_large, "the sessions of the host are too large");
    }
    bytes_ = bytes_ - released + added;
    return {};
}

result<void> session_values::set(std::string_view name, std::string_view value)
{
    const auto found = values_.find(name);
    if (found == values_.end() && values_.size() >= max_values)
    {
        return fail(errc::value_too_large, "the session has too many values");
    }
    const auto released =
        found == values_.end() ? 0 : entry_bytes(name, found->second);
    auto charged = charge(entry_bytes(name, value), released);
    if (charged)
    {
        values_.insert_or_assign(std::string(name), std::string(value));
    }
    return charged;
}

result<void>
session_values::prepare(std::string_view name, prepared_statement statement)
{
    const auto found = prepared_.find(name);
    const auto released =
        found == prepared_.end() ? 0 : entry_bytes(name, found->second.shape);
    auto charged = charge(entry_bytes(name, statement.shape), released);
    if (charged)
    {
        prepared_.insert_or_assign(std::string(name), std::move(statement));
    }
    return charged;
}

void session_values::deallocate(std::string_view name)
{
    const auto found = prepared_.find(name);
    if (found != prepared_.end())
    {
        charge(0, entry_bytes(name, found->second.shape));
        prepared_.erase(found);
    }
}

const prepared_statement*
session_values::find_prepared(std::string_view name) const
{
    const auto found = prepared_.find(name);
    return found == prepared_.end() ? nullptr : &found->second;
}

restore_plan connection_values::plan(
    const session_values& session, const prepared_statement* needed) const
{
    const auto& wanted = session.values();
    const bool is_missing = needed != nullptr && !prepared_.contains(*needed);
    restore_plan steps;
    // A single value cannot be unset, so all are discarded.
    steps.discard = is_stale_ || (is_missing && !can_hold(*needed)) ||
                    std::any_of(
                        values_.begin(), values_.end(),
                        [&wanted](const auto& entry)
                        { return !wanted.contains(entry.first); });
    for (const auto& [name, value] : wanted)
    {
        const auto current = values_.find(name);
        if (steps.discard || current == values_.end() ||
            current->second != value)
        {
            steps.set.emplace_back(name, value);
        }
    }
    if (needed != nullptr && (steps.discard || is_missing))
    {
        // Statements are only removed all at once.
        const auto held = steps.discard ? 0 : prepared_.size();
        steps.prepare = pooled_statement{
            std::string(statement_names.substr(held, 1)), *needed};
    }
    return steps;
}

bool connection_values::can_hold(const prepared_statement& statement) const
{
    return prepared_.empty() ||
           (prepared_.size() < max_statements &&
            shape_bytes_ + statement.shape.size() <= max_shape_bytes);
}

void connection_values::on_discarded()
{
    values_.clear();
    prepared_.clear();
    shape_bytes_ = 0;
    is_stale_ = false;
}

void connection_values::on_set(std::string_view name, std::string_view value)
{
    values_.insert_or_assign(std::string(name), std::string(value));
}

void connection_values::on_prepared(const pooled_statement& added)
{
    if (prepared_.emplace(added.statement, added.name).second)
    {
        shape_bytes_ += added.statement.shape.size();
    }
}

std::string_view
connection_values::name_of(const prepared_statement& statement) const
{
    const auto found = prepared_.find(statement);
    return found == prepared_.end() ? std::string_view{} : found->second;
}

} // namespace zinniahub
