#pragma once

#include "zinniahub/v1/member.pb.h"

#include <zinniahub/log_position.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinniahub::standin
{

/// @brief A parsed text statement.
struct statement
{
    enum class kind
    {
        put,
        add,
        append,
        insert,
        del,
        get,
        scan
    };

    kind verb;
    std::string key;
    std::string value;

    bool is_read() const
    {
        return verb == kind::get || verb == kind::scan;
    }
};

/// @brief Parses a statement; nullopt if it is malformed.
std::optional<statement> parse_statement(std::string_view text);

/// @brief The open transaction of one connection.
///
/// Writes are buffered and evaluated again at commit, so that concurrent `add`
/// statements do not conflict. A commit is refused if a row or range that the
/// transaction read has changed since.
struct transaction
{
    bool read_only = false;
    /// True if a buffered write no longer applies.
    bool failed = false;
    /// Abort count of the member at BEGIN; the transaction is aborted if the
    /// count of the member differs from it.
    std::uint64_t abort_count = 0;
    std::vector<statement> writes;
    /// Versions of the rows and of the prefixes that were read.
    std::map<std::string, std::uint64_t> rows_read;
    std::map<std::string, std::uint64_t> prefixes_read;
};

/// @brief State of one connection to a member.
struct member_session
{
    std::optional<transaction> open;
};

/// @brief Settings that do not change while a member runs.
struct member_settings
{
    std::string name;
    std::uint64_t group_uid = 0;
    /// Primary of term 1 and its address; unused with `rejoin`.
    std::string primary;
    std::string primary_address;
    std::uint32_t connection_limit = 0;
    /// The member has lost its log and waits for Follow.
    bool rejoin = false;
};

/// @brief Rows, log, term and role of a database member, without I/O.
///
/// Not thread-safe. Callers pass the current time where it matters.
class member_store
{
public:
    member_store(member_settings settings, time_point now);

    /// @name Connections
    /// @{

    /// @brief Runs one request of a connection.
    v1::MemberReply execute(
        member_session& session, const v1::MemberRequest& request,
        time_point now);

    /// @brief Aborts the open transaction of a connection that has ended.
    void close(member_session& session);
    /// @}

    /// @name Terms; each returns whether the call was accepted
    /// @{
    bool fence(const v1::FenceRequest& request);
    bool promote(const v1::PromoteRequest& request);
    bool follow(const v1::FollowRequest& request);
    bool quiesce(const v1::QuiesceRequest& request, time_point now);
    /// @}

    /// @name Replication
    /// @{

    /// @brief Entries after `request.last()`, for a replica. A request of a
    /// higher term ends the primary role. nullopt if this member is not
    /// primary.
    std::optional<v1::FetchLogReply>
    serve_log(const v1::FetchLogRequest& request);

    /// @brief The next request to the primary; nullopt unless this member
    /// replicates.
    std::optional<v1::FetchLogRequest> log_request() const;

    /// @brief Address of the primary that this member replicates from.
    const std::string& primary_address() const
    {
        return primary_address_;
    }

    /// @brief Processes the reply of the primary to a request made by
    /// `log_request`. The entries are applied from `due` on.
    void receive_log(
        const v1::FetchLogRequest& request, const v1::FetchLogReply& reply,
        time_point now, time_point due);

    /// @brief Applies the entries that are due.
    /// @return whether any entry was applied
    bool apply_due(time_point now);

    /// @brief Time at which the next delayed entry is due.
    time_point next_due() const;
    /// @}

    /// @name Observation
    /// @{
    v1::MemberStatus status(time_point now) const;
    log_position position() const;
    bool is_primary() const
    {
        return role_ == v1::ROLE_PRIMARY;
    }
    std::uint64_t term() const
    {
        return term_;
    }

    /// @brief Rows whose key starts with `prefix`, in key order.
    std::vector<std::pair<std::string, std::string>>
    rows(std::string_view prefix) const;
    /// @}

private:
    using value_type = std::optional<std::string>;

    /// A row, or a deleted row if it has no value. The version is the index of
    /// the log entry that wrote it.
    struct cell
    {
        value_type value;
        std::uint64_t version = 0;
    };

    /// A log entry with the cells it replaced, for truncation.
    struct record
    {
        v1::LogEntry entry;
        std::vector<std::pair<std::string, cell>> replaced;
    };

    struct delayed_entry
    {
        v1::LogEntry entry;
        time_point due;
    };

    using writes_type = std::map<std::string, value_type>;

    bool is_current(
        const member_session& session, const v1::MemberRequest& request,
        v1::MemberReply& reply, time_point now) const;
    void begin(
        member_session& session, const v1::MemberRequest& request,
        v1::MemberReply& reply);
    void commit(
        member_session& session, const v1::MemberRequest& request,
        v1::MemberReply& reply);
    void rollback(
        member_session& session, const v1::MemberRequest& request,
        v1::MemberReply& reply);
    void run_statement(
        member_session& session, const v1::MemberRequest& request,
        v1::MemberReply& reply);
    void read(
        transaction* open, const statement& wanted,
        v1::MemberReply& reply) const;
    void write(const statement& wanted, v1::MemberReply& reply);
    void buffer_write(
        transaction& open, const statement& wanted,
        v1::MemberReply& reply) const;
    bool is_aborted(const transaction& open) const;
    bool reads_are_current(const transaction& open) const;
    std::uint64_t row_version(const std::string& key) const;
    std::uint64_t prefix_version(std::string_view prefix) const;
    value_type value(const std::string& key, const writes_type& writes) const;
    bool evaluate(
        const statement& wanted, writes_type& writes,
        std::string& detail) const;
    bool evaluate_all(const transaction& open, writes_type& writes) const;
    void append(const writes_type& writes);
    void apply(v1::LogEntry entry);
    void drop_last_received();
    void end_role();
    void change_primary(const std::string& name, const std::string& address);
    bool is_quiesced(time_point now) const;
    void mark_complete_if_caught_up();
    log_position received() const;

    member_settings settings_;
    std::map<std::string, cell, std::less<>> cells_;
    std::vector<record> log_;
    std::deque<delayed_entry> delayed_entries_;

    std::uint64_t term_ = 0;
    v1::MemberRole role_ = v1::ROLE_REPLICA;
    std::string primary_;
    std::string primary_address_;
    /// Candidate that fenced this member in its term, 0 if none did.
    std::uint64_t candidate_ = 0;
    bool fenced_ = false;
    /// True until a member that lost its log has a complete copy again. It
    /// takes no part in promotions, because it may lack acknowledged writes.
    bool incomplete_ = false;
    /// True if the delayed entries reach the end of the primary's log.
    bool reached_end_ = false;
    /// Position at the promotion; used to accept a repeated Promote.
    log_position promoted_at_;
    time_point quiesced_until_ = time_point::min();
    time_point primary_last_contact_;
    std::uint64_t abort_count_ = 0;
    std::uint32_t open_transactions_ = 0;
};

} // namespace zinniahub::standin
