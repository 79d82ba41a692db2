#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief A prepared statement of a session.
struct prepared_statement
{
    bool writes = false;
    std::string shape;

    friend bool
    operator==(const prepared_statement&, const prepared_statement&) = default;
};

/// @brief Values and prepared statements that a client has set in its session.
struct session_values
{
    std::map<std::string, std::string, std::less<>> values;
    std::map<std::string, prepared_statement, std::less<>> prepared;
};

/// @brief Name under which pooled connections hold a prepared statement. It
/// depends on the statement only, so sessions with equal statements share it
/// and names that clients choose cannot collide.
std::string pooled_statement_name(const prepared_statement& statement);

/// @brief What has to be done on a pooled connection before a session's
/// statement may run on it.
struct restore_plan
{
    /// Drop all values and prepared statements first.
    bool discard = false;
    std::vector<std::pair<std::string, std::string>> set;
    std::vector<prepared_statement> prepare;

    bool empty() const
    {
        return !discard && set.empty() && prepare.empty();
    }
};

/// @brief What a pooled connection holds. After a failed command the
/// connection must not be used again.
class connection_values
{
public:
    /// @brief Steps that give the connection exactly the session's values and
    /// the prepared statement that runs next.
    /// @param needed prepared statement to be run, or null
    /// @complexity linear in the number of values
    restore_plan
    plan(const session_values& session, const prepared_statement* needed) const;

    void on_discarded();
    void on_set(const std::string& name, const std::string& value);
    void on_prepared(const prepared_statement& statement);
    /// @brief The member reported that it does not know the statement.
    void on_statement_unknown(const prepared_statement& statement);

    /// @brief True if the values equal the session's.
    bool matches(const session_values& session) const
    {
        return values_ == session.values;
    }

private:
    std::map<std::string, std::string, std::less<>> values_;
    std::map<std::string, prepared_statement, std::less<>> prepared_;
};

} // namespace zinniahub
