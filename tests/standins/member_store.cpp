#include "standins/member_store.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <iterator>
#include <utility>

namespace zinniahub::standin
{

namespace
{

constexpr int max_batch_entries = 500;
/// Keeps answers well below the 4 MiB message limit of gRPC.
constexpr std::size_t max_batch_bytes = 1 << 20;

constexpr std::pair<std::string_view, statement::kind> verbs[] = {
    {"put", statement::kind::put},       {"add", statement::kind::add},
    {"append", statement::kind::append}, {"insert", statement::kind::insert},
    {"del", statement::kind::del},       {"get", statement::kind::get},
    {"scan", statement::kind::scan},
};

std::string_view take_word(std::string_view& text)
{
    const auto end = std::min(text.find(' '), text.size());
    const auto word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

log_position from_message(const v1::Position& message)
{
    return {message.term(), message.index()};
}

void to_message(const log_position& position, v1::Position* message)
{
    message->set_term(position.term);
    message->set_index(position.index);
}

/// The values of log entries begin with '=' for a value; "-" is a deletion.
std::string encode_value(const std::optional<std::string>& value)
{
    return value ? "=" + *value : "-";
}

std::optional<std::string> decode_value(const std::string& text)
{
    if (text.empty() || text.front() != '=')
        return std::nullopt;
    return text.substr(1);
}

void refuse(v1::MemberReply& reply, v1::MemberCode code, std::string detail)
{
    reply.set_code(code);
    reply.set_detail(std::move(detail));
}

void add_row(v1::MemberReply& reply, std::string key, std::string value)
{
    auto* row = reply.add_rows();
    row->set_key(std::move(key));
    row->set_value(std::move(value));
}

bool is_full(const v1::FetchLogReply& reply)
{
    return reply.entries_size() >= max_batch_entries ||
           reply.ByteSizeLong() >= max_batch_bytes;
}

} // namespace

std::optional<statement> parse_statement(std::string_view text)
{
    const auto verb = take_word(text);
    const auto* known = std::find_if(
        std::begin(verbs), std::end(verbs),
        [&](const auto& entry) { return entry.first == verb; });
    if (known == std::end(verbs))
        return std::nullopt;
    statement parsed{known->second, std::string(take_word(text)), {}};
    parsed.value = text;
    if (parsed.key.empty() && parsed.verb != statement::kind::scan)
        return std::nullopt;
    if (parsed.verb == statement::kind::add && !parse_integer(parsed.value))
        return std::nullopt;
    return parsed;
}

member_store::member_store(member_settings settings, time_point now)
    : settings_(std::move(settings))
    , incomplete_(settings_.rejoin)
    , primary_last_contact_(now)
{
    if (settings_.rejoin)
        return;
    term_ = 1;
    primary_ = settings_.primary;
    primary_address_ = settings_.primary_address;
    if (primary_ == settings_.name)
        role_ = v1::ROLE_PRIMARY;
}

v1::MemberReply member_store::execute(
    member_session& session, const v1::MemberRequest& request, time_point now)
{
    using handler = void (member_store::*)(
        member_session&, const v1::MemberRequest&, v1::MemberReply&);
    static constexpr std::array<handler, 4> handlers = {
        &member_store::run_statement, &member_store::begin,
        &member_store::commit, &member_store::rollback};
    v1::MemberReply reply;
    reply.set_id(request.id());
    const auto operation = static_cast<std::size_t>(request.operation());
    if (operation >= handlers.size())
        refuse(reply, v1::MEMBER_STATEMENT_ERROR, "unknown operation");
    else if (is_current(session, request, reply, now))
        (this->*handlers[operation])(session, request, reply);
    // An aborted transaction stays open until COMMIT or ROLLBACK, so that its
    // later statements do not run on their own.
    if (request.operation() == v1::OPERATION_COMMIT)
        close(session);
    to_message(position(), reply.mutable_position());
    return reply;
}

void member_store::close(member_session& session)
{
    if (session.open && session.open->abort_count == abort_count_)
        --open_transactions_;
    session.open.reset();
}

bool member_store::is_current(
    const member_session& session, const v1::MemberRequest& request,
    v1::MemberReply& reply, time_point now) const
{
    const bool needs_primary = session.open
                                   ? !session.open->read_only
                                   : request.access() == v1::ACCESS_WRITE;
    const bool is_read_without_term =
        request.term() == 0 &&
        (request.access() == v1::ACCESS_READ || !needs_primary);
    if (request.operation() == v1::OPERATION_ROLLBACK)
        return true;
    if (request.group_uid() != settings_.group_uid)
        refuse(reply, v1::MEMBER_WRONG_TERM, "other database group");
    else if (session.open && is_aborted(*session.open))
        refuse(reply, v1::MEMBER_ABORTED, "transaction aborted");
    else if (request.term() != term_ && !is_read_without_term)
        refuse(reply, v1::MEMBER_WRONG_TERM, "term " + std::to_string(term_));
    else if (needs_primary && !is_primary())
        refuse(reply, v1::MEMBER_NOT_PRIMARY, "primary " + primary_);
    else if (needs_primary && !session.open && is_quiesced(now))
        refuse(reply, v1::MEMBER_QUIESCED, {});
    else if (
        request.access() == v1::ACCESS_READ &&
        position() < from_message(request.min_position()))
        refuse(reply, v1::MEMBER_BEHIND, {});
    return reply.code() == v1::MEMBER_OK;
}

void member_store::begin(
    member_session& session, const v1::MemberRequest& request,
    v1::MemberReply& reply)
{
    if (session.open)
        return refuse(
            reply, v1::MEMBER_STATEMENT_ERROR, "transaction already open");
    session.open.emplace();
    session.open->read_only = request.access() == v1::ACCESS_READ;
    session.open->abort_count = abort_count_;
    ++open_transactions_;
}

void member_store::commit(
    member_session& session, const v1::MemberRequest&, v1::MemberReply& reply)
{
    if (!session.open)
        return refuse(reply, v1::MEMBER_STATEMENT_ERROR, "no transaction");
    writes_type writes;
    if (!reads_are_current(*session.open) ||
        !evaluate_all(*session.open, writes))
        return refuse(reply, v1::MEMBER_ABORTED, "conflict");
    if (!session.open->writes.empty())
        append(writes);
}

void member_store::rollback(
    member_session& session, const v1::MemberRequest&, v1::MemberReply& reply)
{
    if (!session.open)
        return refuse(reply, v1::MEMBER_STATEMENT_ERROR, "no transaction");
    close(session);
}

void member_store::run_statement(
    member_session& session, const v1::MemberRequest& request,
    v1::MemberReply& reply)
{
    auto* open = session.open ? &*session.open : nullptr;
    const auto wanted = parse_statement(request.text());
    if (!wanted)
        return refuse(reply, v1::MEMBER_STATEMENT_ERROR, "syntax");
    if (wanted->is_read())
        return read(open, *wanted, reply);
    if (request.access() == v1::ACCESS_READ || (open && open->read_only))
        return refuse(
            reply, v1::MEMBER_STATEMENT_ERROR, "write with read access");
    if (open)
        return buffer_write(*open, *wanted, reply);
    write(*wanted, reply);
}

void member_store::read(
    transaction* open, const statement& wanted, v1::MemberReply& reply) const
{
    const bool is_scan = wanted.verb == statement::kind::scan;
    writes_type found;
    if (is_scan)
        for (auto& [key, value] : rows(wanted.key))
            found.emplace(key, std::move(value));
    if (open)
    {
        writes_type own;
        if (!evaluate_all(*open, own))
        {
            open->failed = true;
            return refuse(reply, v1::MEMBER_ABORTED, "conflict");
        }
        if (is_scan)
            open->prefixes_read.emplace(wanted.key, prefix_version(wanted.key));
        else
            open->rows_read.emplace(wanted.key, row_version(wanted.key));
        for (auto& [key, value] : own)
            if (is_scan && key.starts_with(wanted.key))
                found[key] = std::move(value);
        if (!is_scan)
            found[wanted.key] = value(wanted.key, own);
    }
    else if (!is_scan)
        found[wanted.key] = value(wanted.key, {});
    for (auto& [key, value] : found)
        if (value)
            add_row(reply, key, std::move(*value));
}

void member_store::write(const statement& wanted, v1::MemberReply& reply)
{
    writes_type writes;
    std::string detail;
    if (!evaluate(wanted, writes, detail))
        return refuse(reply, v1::MEMBER_STATEMENT_ERROR, std::move(detail));
    append(writes);
    if (wanted.verb == statement::kind::add)
        add_row(reply, wanted.key, *writes[wanted.key]);
}

void member_store::buffer_write(
    transaction& open, const statement& wanted, v1::MemberReply& reply) const
{
    writes_type writes;
    std::string detail;
    if (!evaluate_all(open, writes))
    {
        open.failed = true;
        return refuse(reply, v1::MEMBER_ABORTED, "conflict");
    }
    if (!evaluate(wanted, writes, detail))
    {
        // The error reveals the state of the row, so it counts as a read.
        open.rows_read.emplace(wanted.key, row_version(wanted.key));
        return refuse(reply, v1::MEMBER_STATEMENT_ERROR, std::move(detail));
    }
    open.writes.push_back(wanted);
}

bool member_store::is_aborted(const transaction& open) const
{
    return open.failed || open.abort_count != abort_count_;
}

bool member_store::reads_are_current(const transaction& open) const
{
    return std::all_of(
               open.rows_read.begin(), open.rows_read.end(),
               [&](const auto& read)
               { return row_version(read.first) == read.second; }) &&
           std::all_of(
               open.prefixes_read.begin(), open.prefixes_read.end(),
               [&](const auto& read)
               { return prefix_version(read.first) == read.second; });
}

std::uint64_t member_store::row_version(const std::string& key) const
{
    const auto found = cells_.find(key);
    return found == cells_.end() ? 0 : found->second.version;
}

std::uint64_t member_store::prefix_version(std::string_view prefix) const
{
    std::uint64_t newest = 0;
    for (auto at = cells_.lower_bound(prefix);
         at != cells_.end() && at->first.starts_with(prefix); ++at)
        newest = std::max(newest, at->second.version);
    return newest;
}

member_store::value_type
member_store::value(const std::string& key, const writes_type& writes) const
{
    const auto written = writes.find(key);
    if (written != writes.end())
        return written->second;
    const auto found = cells_.find(key);
    return found == cells_.end() ? std::nullopt : found->second.value;
}

bool member_store::evaluate(
    const statement& wanted, writes_type& writes, std::string& detail) const
{
    const auto current = value(wanted.key, writes);
    auto& next = writes[wanted.key];
    next = current;
    switch (wanted.verb)
    {
    case statement::kind::put:
        next = wanted.value;
        return true;
    case statement::kind::append:
        next = current.value_or("") + wanted.value;
        return true;
    case statement::kind::del:
        next.reset();
        return true;
    case statement::kind::insert:
        detail = "row exists";
        next = wanted.value;
        return !current;
    case statement::kind::add:
    {
        const auto number = parse_integer(current.value_or("0"));
        std::int64_t sum = 0;
        detail = "not a number or out of range";
        if (!number ||
            __builtin_add_overflow(*number, *parse_integer(wanted.value), &sum))
            return false;
        next = std::to_string(sum);
        return true;
    }
    default:
        return false;
    }
}

bool member_store::evaluate_all(
    const transaction& open, writes_type& writes) const
{
    std::string detail;
    return std::all_of(
        open.writes.begin(), open.writes.end(),
        [&](const statement& write)
        { return evaluate(write, writes, detail); });
}

void member_store::append(const writes_type& writes)
{
    v1::LogEntry entry;
    to_message({term_, log_.size() + 1}, entry.mutable_position());
    for (const auto& [key, value] : writes)
    {
        auto* row = entry.add_writes();
        row->set_key(key);
        row->set_value(encode_value(value));
    }
    apply(std::move(entry));
}

void member_store::apply(v1::LogEntry entry)
{
    record added;
    for (const auto& row : entry.writes())
    {
        auto& current = cells_[row.key()];
        added.replaced.emplace_back(row.key(), std::move(current));
        current = {decode_value(row.value()), entry.position().index()};
    }
    added.entry = std::move(entry);
    log_.push_back(std::move(added));
}

void member_store::drop_last_received()
{
    if (!delayed_entries_.empty())
        return delayed_entries_.pop_back();
    if (log_.empty())
        return;
    for (auto& [key, replaced] : log_.back().replaced)
        cells_[key] = std::move(replaced);
    log_.pop_back();
    // Open transactions may have read the dropped entry and are aborted.
    ++abort_count_;
    open_transactions_ = 0;
}

void member_store::end_role()
{
    if (!is_primary())
        return;
    role_ = v1::ROLE_REPLICA;
    quiesced_until_ = time_point::min();
    ++abort_count_;
    open_transactions_ = 0;
}

void member_store::change_primary(
    const std::string& name, const std::string& address)
{
    if (primary_ != name)
    {
        delayed_entries_.clear();
        reached_end_ = false;
    }
    primary_ = name;
    primary_address_ = address;
}

bool member_store::fence(const v1::FenceRequest& request)
{
    if (request.group_uid() != settings_.group_uid ||
        request.candidate() == 0 || incomplete_ || request.term() < term_)
        return false;
    // A repeated call has no effect, also after a later Promote or Follow.
    if (request.term() == term_)
        return request.candidate() == candidate_;
    end_role();
    term_ = request.term();
    candidate_ = request.candidate();
    fenced_ = true;
    change_primary({}, {});
    return true;
}

bool member_store::promote(const v1::PromoteRequest& request)
{
    const auto expected = from_message(request.expected_position());
    if (request.group_uid() != settings_.group_uid || request.term() != term_ ||
        candidate_ == 0 || request.candidate() != candidate_)
        return false;
    if (is_primary())
        return expected == promoted_at_;
    if (!fenced_ || expected != position())
        return false;
    promoted_at_ = position();
    fenced_ = false;
    role_ = v1::ROLE_PRIMARY;
    change_primary(settings_.name, {});
    append({});
    return true;
}

bool member_store::follow(const v1::FollowRequest& request)
{
    if (request.group_uid() != settings_.group_uid || request.term() < term_)
        return false;
    const bool same_term = request.term() == term_;
    if (request.primary() == settings_.name || (same_term && is_primary()))
        return same_term && is_primary() && request.primary() == settings_.name;
    end_role();
    if (!same_term)
    {
        term_ = request.term();
        candidate_ = 0;
        change_primary({}, {});
    }
    fenced_ = false;
    change_primary(request.primary(), request.primary_address());
    return true;
}

bool member_store::quiesce(const v1::QuiesceRequest& request, time_point now)
{
    if (request.group_uid() != settings_.group_uid || request.term() != term_ ||
        !is_primary())
        return false;
    quiesced_until_ = now + std::chrono::milliseconds(request.duration_ms());
    return true;
}

bool member_store::is_quiesced(time_point now) const
{
    return is_primary() && now < quiesced_until_;
}

std::optional<v1::FetchLogReply>
member_store::serve_log(const v1::FetchLogRequest& request)
{
    if (request.group_uid() != settings_.group_uid)
        return std::nullopt;
    if (request.term() > term_ && is_primary())
    {
        end_role();
        change_primary({}, {});
    }
    if (!is_primary())
        return std::nullopt;
    v1::FetchLogReply reply;
    reply.set_term(term_);
    const auto last = from_message(request.last());
    reply.set_matches(
        last.index == 0 ||
        (last.index <= log_.size() &&
         from_message(log_[last.index - 1].entry.position()) == last));
    std::size_t bytes = 0;
    for (auto at = last.index;
         reply.matches() && at < log_.size() &&
         reply.entries_size() < max_batch_entries && bytes < max_batch_bytes;
         ++at)
    {
        *reply.add_entries() = log_[at].entry;
        bytes += log_[at].entry.ByteSizeLong();
    }
    return reply;
}

std::optional<v1::FetchLogRequest> member_store::log_request() const
{
    if (is_primary() || fenced_ || primary_address_.empty())
        return std::nullopt;
    v1::FetchLogRequest request;
    request.set_group_uid(settings_.group_uid);
    request.set_term(term_);
    request.set_replica(settings_.name);
    to_message(received(), request.mutable_last());
    return request;
}

void member_store::receive_log(
    const v1::FetchLogRequest& request, const v1::FetchLogReply& reply,
    time_point now, time_point due)
{
    if (is_primary() || fenced_ || request.term() != term_ ||
        reply.term() < term_ || from_message(request.last()) != received())
        return;
    if (reply.term() > term_)
    {
        term_ = reply.term();
        candidate_ = 0;
    }
    primary_last_contact_ = now;
    if (!reply.matches())
        return drop_last_received();
    for (const auto& entry : reply.entries())
        delayed_entries_.push_back({entry, due});
    reached_end_ = !is_full(reply);
    mark_complete_if_caught_up();
}

bool member_store::apply_due(time_point now)
{
    bool applied = false;
    for (; !delayed_entries_.empty() && delayed_entries_.front().due <= now;
         delayed_entries_.pop_front())
    {
        apply(std::move(delayed_entries_.front().entry));
        applied = true;
    }
    mark_complete_if_caught_up();
    return applied;
}

void member_store::mark_complete_if_caught_up()
{
    if (reached_end_ && delayed_entries_.empty())
        incomplete_ = false;
}

time_point member_store::next_due() const
{
    return delayed_entries_.empty() ? never : delayed_entries_.front().due;
}

v1::MemberStatus member_store::status(time_point now) const
{
    v1::MemberStatus status;
    status.set_group_uid(settings_.group_uid);
    status.set_name(settings_.name);
    status.set_role(role_);
    status.set_term(term_);
    status.set_primary(primary_);
    to_message(position(), status.mutable_position());
    if (!is_primary())
        status.set_primary_silent_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - primary_last_contact_)
                .count());
    status.set_open_transactions(open_transactions_);
    status.set_connection_limit(settings_.connection_limit);
    status.set_quiesced(is_quiesced(now));
    return status;
}

log_position member_store::position() const
{
    return log_.empty() ? log_position{}
                        : from_message(log_.back().entry.position());
}

log_position member_store::received() const
{
    return delayed_entries_.empty()
               ? position()
               : from_message(delayed_entries_.back().entry.position());
}

std::vector<std::pair<std::string, std::string>>
member_store::rows(std::string_view prefix) const
{
    std::vector<std::pair<std::string, std::string>> found;
    for (auto at = cells_.lower_bound(prefix);
         at != cells_.end() && at->first.starts_with(prefix); ++at)
        if (at->second.value)
            found.emplace_back(at->first, *at->second.value);
    return found;
}

} // namespace zinniahub::standin
