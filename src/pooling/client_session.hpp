#pragma once

#include "pooling/ports.hpp"
#include "pooling/reply_recorder.hpp"
#include "pooling/session_manager.hpp"

#include <zinniahub/session_values.hpp>

#include <memory>
#include <optional>
#include <string>

namespace zinniahub::pooling
{

/// @brief Session of one client.
///
/// Values and prepared statements are kept here and restored on whichever
/// pooled connection runs the next statement. A transaction keeps one
/// connection from its first statement to its end.
class client_session : public managed_session
{
public:
    client_session(
        session_manager& owner, std::shared_ptr<client_stream> stream,
        std::string database, std::string customer, std::string key);

    /// @brief Serves the client until it disconnects.
    awaitable<void> run();

    bool is_idle() const override
    {
        return !busy_ && state_ == transaction_state::none;
    }
    bool is_idle_in_transaction() const override
    {
        return !busy_ && state_ != transaction_state::none;
    }
    void interrupt() override
    {
        stream_->interrupt();
    }

private:
    /// Attempts of one operation at different members.
    static constexpr unsigned max_attempts = 4;

    awaitable<bool> serve_next();
    /// Answers a message that is not a statement; the session goes on.
    /// @return false if the client has disconnected
    awaitable<bool> refuse_message(const error& why);
    awaitable<reply> handle(const statement& value);
    /// Reply to a change of the session's values.
    reply acknowledge(const result<void>& change);
    reply set_session_value(const statement& value);
    reply prepare(const statement& value);
    reply deallocate(const statement& value);
    reply begin(const statement& value);
    awaitable<reply> end_transaction(const statement& value);
    awaitable<reply> run_data_statement(const statement& value);

    /// Checks the configuration in force, the key and the rate.
    awaitable<std::optional<reply>> check_admission(const statement& value);
    awaitable<reply> run_autocommit(const statement& value);
    bool may_use_replica() const;
    /// Adds the session's own commits to a position, where the route needs it.
    log_position with_own_commits(log_position position) const;
    awaitable<std::optional<reply>>
    read_on_member(const statement& value, access_request& request);
    awaitable<std::optional<reply>>
    run_on_primary(const statement& value, access_request& request);
    awaitable<reply> run_in_transaction(const statement& value);
    awaitable<std::optional<reply>> open_transaction(const statement& value);
    awaitable<std::optional<reply>> begin_on_member(
        const statement& value, access_request& request, bool on_primary);
    /// Rolls back a transaction whose key is no longer in force.
    reply end_unauthorized_transaction();
    reply on_transaction_failure(const error& failure, bool was_commit);
    void roll_back_transaction();

    access_request make_request(const statement& value) const;
    /// Refuses a request that needs a member which cannot be reached because
    /// the failure domain of this host is cut off.
    /// @param on_replica a replica may run the request
    std::optional<reply>
    check_reach(const access_request& request, bool on_replica);
    const prepared_statement* find_prepared(const statement& value) const;
    bool writes(const statement& value) const;
    /// Decides whether a commit that the member acknowledged may be reported as
    /// a success.
    awaitable<bool> confirm_commit(std::string instance, const reply& answer);
    reply refuse(reply_code code, std::string text);
    /// Refuses an operation that was not sent to a member.
    /// @param why the text says when the operation should be repeated
    reply refuse_unsent(
        errc failure_code, std::string_view text, const wait_refusal& why);
    /// Refuses an operation whose session state a member will always reject;
    /// none after other failures, which another attempt may avoid.
    std::optional<reply> refuse_rejected(const error& failure);
    /// Refuses an operation that no member accepted in several attempts.
    reply refuse_after_attempts(const statement& value);
    /// Refuses an operation because no member is proven to be the primary.
    reply refuse_without_proof(const statement& value);
    /// Refuses a read because the position of the primary is not known.
    reply refuse_without_position(const statement& value);
    /// Reply to a commit that a replaced primary may have acknowledged, or that
    /// the member to be promoted may lack.
    reply doubt_commit();
    void record_reply(const statement& value, const reply& answer);

    session_manager& manager_;
    std::shared_ptr<client_stream> stream_;
    std::string database_;
    std::string customer_;
    std::string key_;
    session_values values_;
    bool busy_ = false;

    transaction_state state_ = transaction_state::none;
    bool read_only_ = false;
    bool transaction_wrote_ = false;
    /// A statement of the open transaction has run.
    bool transaction_counted_ = false;
    connection_lease connection_;
    /// Route of the open transaction or of the running operation.
    std::optional<route> route_;
    /// Latest position of the session's commits.
    log_position committed_position_;
    operation_trace trace_;
};

} // namespace zinniahub::pooling
