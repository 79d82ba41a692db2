#include "support/hosted_member.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace zinniahub::test
{

namespace asio = boost::asio;

namespace
{

/// Name under which the holder of the promotion duty connects.
constexpr const char* control_customer = "zinniahub";

std::string take(std::string& text)
{
    const auto end = text.find(' ');
    auto word = text.substr(0, end);
    text = end == std::string::npos ? std::string{} : text.substr(end + 1);
    return word;
}

std::string position_text(log_position position)
{
    return fmt::format("{}.{}", position.term, position.index);
}

log_position parse(const std::string& text)
{
    const auto dot = text.find('.');
    return {
        std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1))};
}

} // namespace

void replicated_log::replicate_locked()
{
    const auto primary = primary_locked();
    if (primary.empty())
    {
        return;
    }
    const auto& source = members[primary];
    for (auto& [name, member] : members)
    {
        if (name != primary && !member.primary && member.running &&
            member.paused_term == 0 && !member.deaf && source.running)
        {
            const bool is_prefix =
                member.rows.size() <= source.rows.size() &&
                (member.rows.empty() ||
                 member.rows.back().position ==
                     source.rows[member.rows.size() - 1].position);
            if (!is_prefix)
            {
                member.rows.clear();
            }
            member.rows.insert(
                member.rows.end(),
                source.rows.begin() +
                    static_cast<std::ptrdiff_t>(member.rows.size()),
                source.rows.end());
            member.received = source.received;
            member.term = source.term;
        }
    }
    changed.notify_all();
}

bool replicated_log::is_received_locked(
    const std::string& instance, log_position position) const
{
    const auto term = members.at(instance).term;
    return std::any_of(
        members.begin(), members.end(),
        [&](const auto& entry)
        {
            return entry.first != instance && entry.second.running &&
                   entry.second.term == term &&
                   entry.second.received >= position;
        });
}

std::string replicated_log::primary_locked() const
{
    std::string newest;
    std::uint64_t term = 0;
    for (const auto& [name, member] : members)
    {
        if (member.primary && member.term >= term)
        {
            newest = name;
            term = member.term;
        }
    }
    return newest;
}

hosted_member::hosted_member(
    std::string service, std::string instance, unsigned max_connections,
    std::shared_ptr<replicated_log> log, unsigned short port)
    : service_(std::move(service))
    , instance_(std::move(instance))
    , max_connections_(max_connections)
    , shared_(std::move(log))
    , server_([this](hosted_server::socket& peer) { serve(peer); }, port)
{
    const std::lock_guard lock(shared_->mutex);
    shared_->members[instance_];
}

void hosted_member::crash()
{
    {
        const std::lock_guard lock(shared_->mutex);
        log_locked().running = false;
    }
    server_.stop();
}

void hosted_member::restart()
{
    {
        const std::lock_guard lock(shared_->mutex);
        log_locked().running = true;
        log_locked().paused_term = 0;
        shared_->replicate_locked();
    }
    server_.start();
}

std::string hosted_member::ready(const connection& session)
{
    return fmt::format(
        "READY {} {}\r\n", session.state, position_text(log_locked().received));
}

std::string hosted_member::refuse(connection& session, const std::string& code)
{
    if (session.state == 'T')
    {
        session.state = 'E';
        session.pending.clear();
    }
    return fmt::format("ERROR {} {}\r\n", code, instance_) + ready(session);
}

std::string hosted_member::greet(const std::string& line, connection& session)
{
    auto rest = line;
    const auto word = take(rest);
    const auto service = take(rest);
    session.customer = take(rest);
    const std::lock_guard lock(shared_->mutex);
    if (word != "STARTUP" || service != service_ ||
        (!rest.empty() && rest != instance_))
    {
        return fmt::format("ERROR MISROUTED {}\r\n", instance_);
    }
    if (open_ > max_connections_)
    {
        return fmt::format("ERROR TOOMANY {}\r\n", instance_);
    }
    return ready(session);
}

std::string hosted_member::begin(connection& session, bool read_only)
{
    if (!read_only && !log_locked().primary)
    {
        return refuse(session, "READONLY");
    }
    session.state = 'T';
    session.read_only = read_only;
    session.plain_transaction = !read_only;
    return "COMPLETE -\r\n" + ready(session);
}

/// Appends the rows of a commit to the log.
void hosted_member::append(connection& session)
{
    auto& log = log_locked();
    for (auto& row : session.pending)
    {
        log.received = {log.term, log.received.index + 1};
        row.position = log.received;
        log.rows.push_back(row);
        session.committed = log.received;
        session.committed_term = log.term;
        session.committed_data.push_back(row.data);
    }
    session.pending.clear();
}

/// Waits until a replica has received the commit of a session.
/// @return false if the member ended, lost the lead, or the caller left
bool hosted_member::await_replica(
    connection& session, hosted_server::socket& peer)
{
    const auto position = *session.committed;
    session.committed.reset();
    const auto data = std::exchange(session.committed_data, {});
    std::unique_lock lock(shared_->mutex);
    while (true)
    {
        const auto& log = log_locked();
        if (!log.running || !server_.is_running() || !log.primary ||
            log.term != session.committed_term)
        {
            return false;
        }
        if (shared_->is_received_locked(instance_, position))
        {
            auto& acknowledged = shared_->acknowledged;
            acknowledged.insert(acknowledged.end(), data.begin(), data.end());
            return true;
        }
        char byte = 0;
        if (::recv(peer.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
            0)
        {
            return false;
        }
        shared_->changed.wait_for(lock, std::chrono::milliseconds(20));
    }
}

std::string hosted_member::commit(connection& session, const std::string& id)
{
    if (session.state != 'T')
    {
        return refuse(session, "MALFORMED");
    }
    auto& log = log_locked();
    if (!session.pending.empty() && !log.primary)
    {
        session.state = 'I';
        session.pending.clear();
        return fmt::format("ERROR READONLY {}\r\n", instance_) + ready(session);
    }
    append(session);
    shared_->runs.push_back(
        {id,
         "COMMIT",
         session.customer,
         instance_,
         session.values,
         {},
         false,
         true,
         log.primary,
         true,
         log.received});
    shared_->replicate_locked();
    session.state = 'I';
    return fmt::format("COMPLETE sig-{}\r\n", id) + ready(session);
}

std::string hosted_member::data(
    connection& session, const std::string& id, const std::string& text,
    bool is_write, const std::string& item, const std::string& value,
    const std::string& shape)
{
    auto& log = log_locked();
    const bool needs_primary =
        is_write || (session.state == 'T' && session.plain_transaction);
    if (needs_primary && !log.primary)
    {
        return refuse(session, "READONLY");
    }
    hosted_run run{
        id,
        text,
        session.customer,
        instance_,
        session.values,
        shape,
        !shape.empty() && is_write,
        session.state == 'T',
        log.primary,
        false,
        log.received};
    std::string rows;
    if (is_write)
    {
        session.pending.push_back({item, value, {}});
        if (session.state == 'I')
        {
            append(session);
            run.committed = true;
            run.position = log.received;
            shared_->replicate_locked();
        }
    }
    else
    {
        for (auto row = log.rows.rbegin(); row != log.rows.rend(); ++row)
        {
            if (row->item == item)
            {
                rows = fmt::format("DATAROW {}\r\n", row->data);
                break;
            }
        }
    }
    shared_->runs.push_back(run);
    return rows + fmt::format("COMPLETE sig-{}\r\n", id) + ready(session);
}

std::string hosted_member::control(const std::string& word, std::uint64_t term)
{
    auto& log = log_locked();
    if (word == "PAUSE" && !log.primary && term > log.term)
    {
        log.paused_term = term;
    }
    else if (word == "RESUME")
    {
        log.paused_term = 0;
        shared_->replicate_locked();
    }
    else if (word == "STEPDOWN" && log.primary && term > log.term)
    {
        log.primary = false;
    }
    return fmt::format(
        "DATAROW {} {} {} {} 0 0 {}\r\nCOMPLETE -\r\n",
        log.primary ? "primary" : "replica", log.term,
        position_text(log.received), log.paused_term, open_.load());
}

std::string hosted_member::answer(const std::string& line, connection& session)
{
    auto text = line;
    if (take(text) != "QUERY")
    {
        const std::lock_guard lock(shared_->mutex);
        return violation(session, line);
    }
    const auto id = take(text);
    const auto whole = text;
    auto rest = text;
    auto word = take(rest);
    const std::lock_guard lock(shared_->mutex);
    if (word == "WAITLSN")
    {
        const auto position = parse(take(rest));
        if (log_locked().received < position)
        {
            return refuse(session, "LAGGING");
        }
        word = take(rest);
    }
    if (session.state_epoch != state_epoch_)
    {
        session.state_epoch = state_epoch_;
        session.values.clear();
        session.prepared.clear();
    }
    if (const auto code = take_refusal(word); !code.empty())
    {
        return refuse(session, code);
    }
    if (word == "BEGIN")
    {
        return begin(session, rest == "FETCH");
    }
    if (word == "COMMIT")
    {
        return commit(session, id);
    }
    if (word == "ROLLBACK")
    {
        session.state = 'I';
        session.pending.clear();
        return "COMPLETE -\r\n" + ready(session);
    }
    if (session.state == 'E')
    {
        return refuse(session, "MALFORMED");
    }
    if (word == "SET")
    {
        const auto name = take(rest);
        session.values[name] = rest;
        return "COMPLETE -\r\n" + ready(session);
    }
    if (word == "PREPARE")
    {
        return prepare(session, rest);
    }
    if (word == "DEALLOCATE")
    {
        session.prepared.erase(rest);
        return "COMPLETE -\r\n" + ready(session);
    }
    if (word == "DISCARD")
    {
        session.values.clear();
        session.prepared.clear();
        return "COMPLETE -\r\n" + ready(session);
    }
    if (word == "FETCH" || word == "PUT")
    {
        const auto item = take(rest);
        return data(session, id, whole, word == "PUT", item, rest);
    }
    if (word == "EXECUTE")
    {
        const auto found = session.prepared.find(take(rest));
        if (found == session.prepared.end())
        {
            return refuse(session, "NOSTMT");
        }
        const auto item = take(rest);
        return data(
            session, id, whole, found->second.first, item, rest,
            found->second.second);
    }
    const bool is_control = word == "STATUS" || word == "PAUSE" ||
                            word == "RESUME" || word == "STEPDOWN";
    if (!is_control)
    {
        return violation(session, line);
    }
    return control(word, rest.empty() ? 0 : std::stoull(rest)) + ready(session);
}

void hosted_member::refuse_statements(
    const std::string& word, const std::string& code, unsigned passed,
    unsigned count)
{
    const std::lock_guard lock(shared_->mutex);
    refusals_[word] = {code, passed, count};
}

std::string hosted_member::take_refusal(const std::string& word)
{
    const auto found = refusals_.find(word);
    if (found == refusals_.end())
    {
        return {};
    }
    auto& [code, passed, count] = found->second;
    if (passed > 0)
    {
        --passed;
        return {};
    }
    if (count == 0)
    {
        return {};
    }
    --count;
    return code;
}

std::string hosted_member::prepare(connection& session, std::string fields)
{
    const auto whole = fields;
    const auto name = take(fields);
    const auto verb = take(fields);
    if (name.empty() || fields.empty() || (verb != "FETCH" && verb != "PUT"))
    {
        return violation(session, "PREPARE " + whole);
    }
    session.prepared[name] = {verb == "PUT", fields};
    return "COMPLETE -\r\n" + ready(session);
}

/// Refuses a message that a correct proxy does not send.
std::string
hosted_member::violation(connection& session, const std::string& line)
{
    shared_->violations.push_back(instance_ + ": " + line.substr(0, 120));
    return refuse(session, "MALFORMED");
}

std::optional<std::string>
hosted_member::next_line(hosted_server::socket& peer, std::string& buffer) const
{
    while (true)
    {
        const auto end = buffer.find(lenient_lines_ ? "\n" : "\r\n");
        if (end != std::string::npos)
        {
            auto line = buffer.substr(0, end);
            buffer.erase(0, buffer.find('\n', end) + 1);
            if (line.ends_with('\r') && lenient_lines_)
            {
                line.pop_back();
            }
            if (line.size() <= max_hosted_line)
            {
                return line;
            }
        }
        if (buffer.size() > max_hosted_line + 2)
        {
            const std::lock_guard lock(shared_->mutex);
            shared_->violations.push_back(instance_ + ": message too long");
            return std::nullopt;
        }
        std::array<char, 16384> chunk{};
        boost::system::error_code failure;
        const auto count = peer.read_some(asio::buffer(chunk), failure);
        if (failure)
        {
            return std::nullopt;
        }
        buffer.append(chunk.data(), count);
    }
}

void hosted_member::serve(hosted_server::socket& peer)
{
    ++open_;
    ++opened_;
    connection session;
    std::string buffer;
    bool greeted = false;
    while (true)
    {
        boost::system::error_code failure;
        const auto message = next_line(peer, buffer);
        if (!message)
        {
            break;
        }
        const auto& line = *message;
        const bool is_control =
            session.customer == control_customer ||
            (!greeted && line.find(control_customer) != std::string::npos);
        if (silent_ || (control_ignored_ && is_control))
        {
            continue;
        }
        const bool is_data = line.find(" FETCH ") != std::string::npos ||
                             line.find(" PUT ") != std::string::npos ||
                             line.find(" EXECUTE ") != std::string::npos;
        if (is_data && work_ms_ > 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(work_ms_));
        }
        const auto bytes =
            greeted ? answer(line, session) : greet(line, session);
        const bool system = line.starts_with("QUERY - ");
        if (greeted && lose_answers_ && !system)
        {
            session.committed.reset();
            session.committed_data.clear();
            continue;
        }
        greeted = true;
        if (session.committed && !await_replica(session, peer))
        {
            break;
        }
        asio::write(peer, asio::buffer(bytes), failure);
        if (failure || bytes.starts_with("ERROR MISROUTED") ||
            bytes.starts_with("ERROR TOOMANY"))
        {
            break;
        }
    }
    --open_;
}

} // namespace zinniahub::test
