#pragma once

#include "support/hosted_member.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

// Inline, so that programs that compile single sources of this folder need no
// further one.

namespace zinniahub::test
{

/// @brief Text as it can be printed: odd bytes as hexadecimal numbers, and cut
/// when it is long.
inline std::string printable(std::string_view text)
{
    constexpr std::size_t longest_printed = 100;
    std::string out;
    for (const char byte : text.substr(0, longest_printed))
    {
        const bool is_plain = byte >= ' ' && byte <= '~' && byte != '\\';
        out += is_plain
                   ? std::string(1, byte)
                   : fmt::format("\\x{:02x}", static_cast<unsigned char>(byte));
    }
    if (text.size() > longest_printed)
    {
        out += fmt::format("... ({} bytes)", text.size());
    }
    return out;
}

/// Session values by name.
using session_map = std::map<std::string, std::string>;

/// @brief What a client prepared under a name.
struct prepared_shape
{
    bool writes = false;
    std::string shape;
};

/// @brief A statement that a client sent, with what its session held then.
struct sent_statement
{
    std::string id;
    std::string text;
    std::string key;
    /// Values that were acknowledged to the session.
    std::shared_ptr<const session_map> values =
        std::make_shared<const session_map>();
    /// What the name of an `EXECUTE` stood for, if that was acknowledged.
    std::optional<prepared_shape> prepared;
};

/// @brief What was acknowledged to one session.
class session_record
{
public:
    void start(std::string key);
    /// @brief The statement as it is to be registered before it is sent.
    sent_statement statement(std::string id, std::string text) const;
    /// @brief Notes that a statement of the session succeeded.
    void acknowledge(std::string_view text);

private:
    std::string key_;
    /// Shared by the statements between two changes.
    std::shared_ptr<const session_map> values_ =
        std::make_shared<const session_map>();
    std::map<std::string, prepared_shape, std::less<>> prepared_;
};

/// Customers that a key has had.
using key_owners = std::map<std::string, std::set<std::string>>;

/// @brief The statements that clients sent, and the check that members ran
/// them as they were sent.
class statement_ledger
{
public:
    /// @brief The ledger of all `line_caller`s.
    static statement_ledger& of_process();

    void add(sent_statement statement);

    /// @brief Compares the runs of a log, whose lock is held, with what was
    /// sent. Only the name of a prepared statement and the position before a
    /// read may differ.
    /// @return a line for each difference: UNASKED for text, id or customer,
    /// PINNED for shape, kind or session values, VIOLATION for messages outside
    /// the protocol
    std::vector<std::string>
    check(const replicated_log& log, const key_owners& owners) const;

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::string, sent_statement> sent_;
};

namespace ledger_detail
{

/// Removes and returns the next field of `text`.
inline std::string_view take(std::string_view& text)
{
    const auto end = text.find(' ');
    const auto field = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{}
                                         : text.substr(end + 1);
    return field;
}

inline bool is_position(std::string_view text)
{
    const auto dot = text.find('.');
    constexpr std::string_view digits = "0123456789";
    return dot != std::string_view::npos && dot > 0 && dot + 1 < text.size() &&
           text.find_first_not_of(digits) == dot &&
           text.find_first_not_of(digits, dot + 1) == std::string_view::npos;
}

/// Whether a run may follow a position: the protocol allows it before reads.
inline bool is_read(const hosted_run& run, std::string_view text)
{
    return text.starts_with("FETCH ") ||
           (text.starts_with("EXECUTE ") && !run.shape_writes);
}

/// Whether a member ran the text that was sent.
inline bool is_same_text(const hosted_run& run, std::string_view sent)
{
    std::string_view ran = run.text;
    if (ran.starts_with("WAITLSN "))
    {
        auto rest = ran;
        take(rest);
        if (!is_position(take(rest)) || !is_read(run, rest))
        {
            return false;
        }
        ran = rest;
    }
    constexpr std::string_view execute = "EXECUTE ";
    if (!sent.starts_with(execute) || !ran.starts_with(execute))
    {
        return ran == sent;
    }
    // The name may differ, but it is one field.
    const auto ran_end = ran.find(' ', execute.size());
    const auto sent_end = sent.find(' ', execute.size());
    return ran_end != std::string_view::npos && ran_end > execute.size() &&
           sent_end != std::string_view::npos &&
           ran.substr(ran_end) == sent.substr(sent_end);
}

inline std::string describe(const session_map& values)
{
    std::string out;
    for (const auto& [name, value] : values)
    {
        out += fmt::format(" {}='{}'", printable(name), printable(value));
    }
    return out.empty() ? " none" : out;
}

inline std::string describe(const std::optional<prepared_shape>& prepared)
{
    return prepared ? fmt::format(
                          "{} '{}'", prepared->writes ? "PUT" : "FETCH",
                          printable(prepared->shape))
                    : "nothing";
}

} // namespace ledger_detail

inline void session_record::start(std::string key)
{
    key_ = std::move(key);
}

inline sent_statement
session_record::statement(std::string id, std::string text) const
{
    sent_statement out;
    out.id = std::move(id);
    out.text = std::move(text);
    out.key = key_;
    out.values = values_;
    std::string_view rest = out.text;
    if (ledger_detail::take(rest) == "EXECUTE")
    {
        const auto found = prepared_.find(ledger_detail::take(rest));
        if (found != prepared_.end())
        {
            out.prepared = found->second;
        }
    }
    return out;
}

inline void session_record::acknowledge(std::string_view text)
{
    const auto word = ledger_detail::take(text);
    if (word == "SET")
    {
        const std::string name(ledger_detail::take(text));
        auto changed = std::make_shared<session_map>(*values_);
        (*changed)[name] = text;
        values_ = std::move(changed);
    }
    else if (word == "PREPARE")
    {
        const std::string name(ledger_detail::take(text));
        const bool writes = ledger_detail::take(text) == "PUT";
        prepared_[name] = {writes, std::string(text)};
    }
    else if (word == "DEALLOCATE")
    {
        prepared_.erase(std::string(text));
    }
}

inline statement_ledger& statement_ledger::of_process()
{
    static statement_ledger ledger;
    return ledger;
}

inline void statement_ledger::add(sent_statement statement)
{
    const std::lock_guard lock(mutex_);
    auto id = statement.id;
    sent_.insert_or_assign(std::move(id), std::move(statement));
}

inline std::vector<std::string> statement_ledger::check(
    const replicated_log& log, const key_owners& owners) const
{
    std::vector<std::string> out;
    for (const auto& violation : log.violations)
    {
        out.push_back("VIOLATION " + printable(violation));
    }
    const std::lock_guard lock(mutex_);
    for (const auto& run : log.runs)
    {
        const auto add =
            [&out, &run](const std::string& rule, const std::string& expected)
        {
            out.push_back(fmt::format(
                "{} {} '{}' of {} at {} (shape {} '{}', values{}), sent: {}",
                rule, printable(run.id), printable(run.text),
                printable(run.customer), run.instance,
                run.shape_writes ? "PUT" : "FETCH", printable(run.shape),
                ledger_detail::describe(run.values), expected));
        };
        const auto found = sent_.find(run.id);
        if (found == sent_.end())
        {
            add("UNASKED id", "nothing");
            continue;
        }
        const auto& sent = found->second;
        if (!ledger_detail::is_same_text(run, sent.text))
        {
            add("UNASKED text", printable(sent.text));
        }
        const auto owner = owners.find(sent.key);
        if (owner == owners.end() || !owner->second.contains(run.customer))
        {
            add("UNASKED customer", sent.key);
        }
        const bool is_execute = sent.text.starts_with("EXECUTE ");
        const bool is_same_shape =
            is_execute ? sent.prepared && sent.prepared->shape == run.shape &&
                             sent.prepared->writes == run.shape_writes
                       : run.shape.empty() && !run.shape_writes;
        if (!is_same_shape)
        {
            add("PINNED shape", ledger_detail::describe(sent.prepared));
        }
        if (run.values != *sent.values)
        {
            add("PINNED value", ledger_detail::describe(*sent.values));
        }
    }
    return out;
}

} // namespace zinniahub::test
