#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Prepared statement of a session.
struct prepared_statement
{
    bool writes = false;
    std::string shape;

    friend bool
    operator==(const prepared_statement&, const prepared_statement&) = default;
};

/// @brief Session variables and prepared statements that a client has set.
struct session_values
{
    std::map<std::string, std::string, std::less<>> values;
    std::map<std::string, prepared_statement, std::less<>> prepared;
};

/// @brief Returns the name of a prepared statement on pooled connections. It
/// depends on the statement only, so sessions with equal statements share it
/// and names chosen by clients cannot collide.
std::string pooled_statement_name(const prepared_statement& statement);

/// @brief Commands that prepare a pooled connection for a statement of a
/// session.
struct restore_plan
{
    /// True if all values and prepared statements must be discarded first.
    bool discard = false;
    std::vector<std::pair<std::string, std::string>> set;
    std::vector<prepared_statement> prepare;

    bool empty() const
    {
        return !discard && set.empty() && prepare.empty();
    }
};

/// @brief Session state of a pooled connection. The connection must not be
/// reused after a failed command.
class connection_values
{
public:
    /// @brief Returns the commands that set exactly the session's values and
    /// prepare the next statement.
    /// @param needed prepared statement to execute next, or null
    /// @complexity linear in the number of values
    restore_plan
    plan(const session_values& session, const prepared_statement* needed) const;

    void on_discarded();
    void on_set(const std::string& name, const std::string& value);
    void on_prepared(const prepared_statement& statement);
    /// @brief Call it when the member rejected the statement as not prepared.
    void on_statement_unknown(const prepared_statement& statement);

    /// @brief Returns true if the values equal those of the session.
    bool matches(const session_values& session) const
    {
        return values_ == session.values;
    }

private:
    std::map<std::string, std::string, std::less<>> values_;
    std::map<std::string, prepared_statement, std::less<>> prepared_;
};

} // namespace zinniahub
