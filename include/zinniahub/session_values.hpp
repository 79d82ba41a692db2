#pragma once

#include <zinniahub/error.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinniahub
{

/// @brief Prepared statement of a session.
struct prepared_statement
{
    bool writes = false;
    std::string shape;

    friend auto
    operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

/// @brief Bytes that the state of all sessions of a host may take.
class session_budget
{
public:
    explicit session_budget(std::size_t limit)
        : limit_(limit)
    {
    }

    /// @brief Sets another limit; what is held already stays.
    void set_limit(std::size_t limit)
    {
        limit_ = limit;
    }

    /// @brief Takes `added` bytes in place of `released` ones.
    /// @return false, with nothing taken, if the limit would be exceeded
    bool charge(std::size_t added, std::size_t released);

    std::size_t used() const
    {
        return used_;
    }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

/// @brief Session variables and prepared statements that a client has set.
class session_values
{
public:
    using value_map = std::map<std::string, std::string, std::less<>>;

    /// Limit on the names, values and shapes of a session together, in bytes.
    static constexpr std::size_t max_bytes = std::size_t{4} << 20;
    /// Added to the bytes of each entry for its place in memory.
    static constexpr std::size_t entry_overhead_bytes = 128;
    /// Limit on the number of session variables: each costs a round trip when a
    /// connection is given the state of the session.
    static constexpr std::size_t max_values = 256;

    /// @param shared budget of the host, which outlives the session, or null
    explicit session_values(session_budget* shared = nullptr)
        : shared_(shared)
    {
    }
    ~session_values();
    session_values(const session_values&) = delete;
    session_values& operator=(const session_values&) = delete;

    /// @brief Sets a session variable.
    /// @return `errc::value_too_large`, with nothing changed, if the session
    /// would exceed `max_bytes` or `max_values`, or the host its budget
    result<void> set(std::string_view name, std::string_view value);

    /// @brief Adds or replaces a prepared statement.
    /// @return as `set`
    result<void> prepare(std::string_view name, prepared_statement statement);

    /// @brief Removes a prepared statement if there is one.
    void deallocate(std::string_view name);

    /// @brief Returns a prepared statement, or null if there is none. It stays
    /// valid until the next change of prepared statements.
    const prepared_statement* find_prepared(std::string_view name) const;

    const value_map& values() const
    {
        return values_;
    }

    /// @brief Bytes that count towards `max_bytes`.
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    /// Takes `added` bytes in place of `released` ones.
    result<void> charge(std::size_t added, std::size_t released);

    value_map values_;
    std::map<std::string, prepared_statement, std::less<>> prepared_;
    std::size_t bytes_ = 0;
    session_budget* shared_;
};

/// @brief Prepared statement and its name on a pooled connection.
struct pooled_statement
{
    std::string name;
    prepared_statement statement;
};

/// @brief Commands that prepare a pooled connection for a statement of a
/// session.
struct restore_plan
{
    /// True if all values and prepared statements must be discarded first.
    bool discard = false;
    std::vector<std::pair<std::string, std::string>> set;
    std::optional<pooled_statement> prepare;

    bool empty() const
    {
        return !discard && set.empty() && !prepare;
    }
};

/// @brief Session state of a pooled connection. The connection must not be
/// reused after a failed command.
///
/// A prepared statement has a name of one letter or digit that belongs to the
/// connection. No text of a client is part of it, so two statements never share
/// a name, and a message with this name is not longer than the client's.
class connection_values
{
public:
    /// Letters and digits of ASCII.
    static constexpr std::size_t max_statements = 62;
    /// Limit on the shapes that a connection holds, in bytes; a single shape
    /// may be longer.
    static constexpr std::size_t max_shape_bytes = std::size_t{256} << 10;

    /// @brief Returns the commands that set exactly the session's values and
    /// prepare the next statement. A connection that cannot hold one more
    /// statement is discarded first.
    /// @param needed prepared statement to execute next, or null
    /// @complexity linear in the number of values
    restore_plan
    plan(const session_values& session, const prepared_statement* needed) const;

    void on_discarded();
    void on_set(std::string_view name, std::string_view value);
    void on_prepared(const pooled_statement& added);
    /// @brief Relies on nothing that the connection held. Call it when the
    /// member rejected a statement as not prepared: it has lost the state.
    void invalidate()
    {
        is_stale_ = true;
    }

    /// @brief Name under which a statement is prepared; empty if it is not.
    std::string_view name_of(const prepared_statement& statement) const;

    /// @brief Returns true if nothing has to be restored before a statement.
    /// @param needed as for `plan`
    bool
    holds(const session_values& session, const prepared_statement* needed) const
    {
        return matches(session) &&
               (needed == nullptr || prepared_.contains(*needed));
    }

    /// @brief Returns true if the values equal those of the session.
    bool matches(const session_values& session) const
    {
        return !is_stale_ && values_ == session.values();
    }

private:
    bool can_hold(const prepared_statement& statement) const;

    session_values::value_map values_;
    /// Names of the prepared statements.
    std::map<prepared_statement, std::string> prepared_;
    std::size_t shape_bytes_ = 0;
    /// True if the member may not hold what is recorded here.
    bool is_stale_ = false;
};

} // namespace zinniahub
