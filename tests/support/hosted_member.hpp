#pragma once

#include "support/hosted_server.hpp"

#include <zinniahub/log_position.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace zinniahub::test
{

struct hosted_row
{
    std::string item;
    std::string data;
    log_position position;
};

/// @brief Longest message of the line protocol, without its terminator.
inline constexpr std::size_t max_hosted_line = std::size_t{1} << 20;

/// @brief A statement that a member ran.
struct hosted_run
{
    std::string id;
    std::string text;
    std::string customer;
    std::string instance;
    /// Session values of the connection.
    std::map<std::string, std::string> values;
    /// Shape of an executed prepared statement.
    std::string shape;
    /// Whether the executed prepared statement writes.
    bool shape_writes = false;
    bool in_transaction = false;
    bool as_primary = false;
    bool committed = false;
    log_position position;
    std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now();
};

/// @brief State shared by the members of a service: roles, logs and the
/// statements that they ran.
struct replicated_log
{
    struct member_log
    {
        bool primary = false;
        std::uint64_t term = 1;
        std::uint64_t paused_term = 0;
        std::vector<hosted_row> rows;
        log_position received;
        bool running = true;
        /// Receives nothing although it is not held.
        bool deaf = false;
    };

    std::mutex mutex;
    /// Notified when a replica may have received entries.
    std::condition_variable changed;
    std::map<std::string, member_log> members;
    std::vector<hosted_run> runs;
    /// Messages that were not part of the protocol or longer than its limit,
    /// with the reason.
    std::vector<std::string> violations;
    /// Data of the rows whose commit a replica has received.
    std::vector<std::string> acknowledged;

    /// @brief Copies the primary's log to the replicas that receive.
    void replicate_locked();
    /// @brief The primary of the newest term; empty if there is none.
    std::string primary_locked() const;
    /// @brief Whether a replica other than `instance`, in the same term, has
    /// received `position`.
    bool is_received_locked(
        const std::string& instance, log_position position) const;
};

/// @brief Stand-in for a member that speaks the line protocol.
class hosted_member
{
public:
    /// @param port 0 for any
    hosted_member(
        std::string service, std::string instance, unsigned max_connections,
        std::shared_ptr<replicated_log> log, unsigned short port = 0);

    const std::string& instance() const
    {
        return instance_;
    }
    std::string address() const
    {
        return server_.address();
    }

    /// @brief Simulates the end of the process: connections are closed and new
    /// ones are refused. The log is kept.
    void crash();
    void restart();

    /// @brief Statements run, but get no reply.
    void lose_answers(bool value)
    {
        lose_answers_ = value;
    }
    /// @brief The member reads requests and ignores them.
    void set_silent(bool value)
    {
        silent_ = value;
    }
    /// @brief The member ignores the connections of the holder of the
    /// promotion duty, as if only that host was cut off from it.
    void ignore_control(bool value)
    {
        control_ignored_ = value;
    }
    /// @brief Refuses statements that begin with a word, after letting some
    /// pass.
    /// @param passed statements with this word that still run
    /// @param count statements that are refused then
    void refuse_statements(
        const std::string& word, const std::string& code, unsigned passed,
        unsigned count);
    /// @brief Drops the session values and prepared statements of all
    /// connections, without a word to their clients.
    void drop_session_state()
    {
        ++state_epoch_;
    }
    /// @brief The member ends a message at a bare LF too, as lenient
    /// implementations of line protocols do.
    void end_lines_at_lf(bool value)
    {
        lenient_lines_ = value;
    }
    /// @brief Time that each data statement takes.
    void set_work(std::chrono::milliseconds value)
    {
        work_ms_ = value.count();
    }
    unsigned opened() const
    {
        return opened_;
    }

private:
    struct connection
    {
        std::string customer;
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<bool, std::string>> prepared;
        char state = 'I';
        bool read_only = false;
        std::vector<hosted_row> pending;
        bool plain_transaction = false;
        /// Commit whose acknowledgement waits for a replica.
        std::optional<log_position> committed;
        std::uint64_t committed_term = 0;
        std::vector<std::string> committed_data;
        /// Value of `state_epoch_` when the state was last valid.
        unsigned state_epoch = 0;
    };
    struct refusal
    {
        std::string code;
        unsigned passed = 0;
        unsigned count = 0;
    };

    void serve(hosted_server::socket& peer);
    /// Reads the next message; none when the connection has ended or the
    /// message is too long.
    std::optional<std::string>
    next_line(hosted_server::socket& peer, std::string& buffer) const;
    std::string greet(const std::string& line, connection& session);
    std::string answer(const std::string& line, connection& session);
    /// Code of the refusal that the test asked for; empty if there is none.
    std::string take_refusal(const std::string& word);
    std::string prepare(connection& session, std::string fields);
    std::string violation(connection& session, const std::string& line);
    std::string data(
        connection& session, const std::string& id, const std::string& text,
        bool is_write, const std::string& item, const std::string& value,
        const std::string& shape = {});
    std::string begin(connection& session, bool read_only);
    std::string commit(connection& session, const std::string& id);
    void append(connection& session);
    bool await_replica(connection& session, hosted_server::socket& peer);
    std::string control(const std::string& word, std::uint64_t term);
    std::string ready(const connection& session);
    std::string refuse(connection& session, const std::string& code);
    replicated_log::member_log& log_locked()
    {
        return shared_->members[instance_];
    }

    std::string service_;
    std::string instance_;
    unsigned max_connections_;
    std::shared_ptr<replicated_log> shared_;
    std::atomic<bool> lose_answers_{false};
    std::atomic<bool> silent_{false};
    std::atomic<bool> control_ignored_{false};
    std::atomic<bool> lenient_lines_{false};
    std::atomic<unsigned> state_epoch_{0};
    /// By word; guarded by the mutex of the log.
    std::map<std::string, refusal> refusals_;
    std::atomic<std::int64_t> work_ms_{0};
    std::atomic<unsigned> open_{0};
    std::atomic<unsigned> opened_{0};
    /// Declared last, because its threads use the members above.
    hosted_server server_;
};

} // namespace zinniahub::test
