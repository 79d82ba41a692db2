#include "pooling/client_session.hpp"

#include <algorithm>

// Transactions of a client session.

namespace zinniahub::pooling
{

namespace
{

/// Beginning a transaction takes no slot, so it is answered in a round trip.
constexpr duration begin_timeout = std::chrono::milliseconds(500);

} // namespace

reply client_session::begin(const statement& value)
{
    if (state_ != transaction_state::none)
    {
        return refuse(reply_code::malformed, "a transaction is open");
    }
    // The member is chosen at the first statement, because the client may pause
    // before it.
    state_ = transaction_state::open;
    read_only_ = value.kind == statement_kind::begin_read_only;
    transaction_wrote_ = false;
    transaction_counted_ = false;
    return {.signature = "-"};
}

awaitable<reply> client_session::end_transaction(const statement& value)
{
    const bool failed = state_ == transaction_state::failed;
    if (state_ == transaction_state::none)
    {
        co_return refuse(reply_code::malformed, "no transaction is open");
    }
    if (value.kind == statement_kind::rollback || failed)
    {
        roll_back_transaction();
        state_ = transaction_state::none;
        if (value.kind == statement_kind::rollback)
        {
            co_return reply{.signature = "-"};
        }
        co_return refuse(reply_code::aborted, "the transaction has failed");
    }
    auto answer = co_await run_in_transaction(value);
    if (connection_ && answer.state == transaction_state::none)
    {
        connection_.reset();
    }
    roll_back_transaction();
    state_ = transaction_state::none;
    co_return answer;
}

awaitable<std::optional<reply>>
client_session::open_transaction(const statement& value)
{
    auto refusal = co_await check_admission(value);
    if (refusal)
    {
        co_return refusal;
    }
    auto request = make_request(value);
    const bool on_primary = !read_only_ || !may_use_replica();
    while (trace_.attempts < max_attempts)
    {
        ++trace_.attempts;
        if (auto refused = check_reach(request, !on_primary))
        {
            co_return refused;
        }
        auto failure = co_await begin_on_member(value, request, on_primary);
        if (failure || connection_)
        {
            co_return failure;
        }
    }
    co_return refuse_after_attempts(value);
}

awaitable<std::optional<reply>> client_session::begin_on_member(
    const statement& value, access_request& request, bool on_primary)
{
    auto& gateway = manager_.gateway(route_->service);
    std::optional<log_position> required;
    if (on_primary)
    {
        if (!co_await gateway.wait_for_primary_proof(request.wait_until_busy))
        {
            co_return refuse_without_proof(value);
        }
    }
    else
    {
        required = co_await gateway.wait_for_position(
            route_->max_staleness, request.wait_until_busy);
        if (!required)
        {
            co_return refuse_without_position(value);
        }
        required = with_own_commits(*required);
    }
    auto lease = co_await gateway.acquire_member(request, required);
    if (!lease)
    {
        trace_.failure_code = lease.error().code;
        co_return refuse_unsent(
            lease.error().code, "no member is available", request.refusal);
    }
    trace_.instance = lease->instance();
    trace_.connected = clock::now();
    const auto sent_at = clock::now();
    if (!gateway.may_use_open_connection(lease->instance(), sent_at) ||
        (on_primary && !gateway.is_proven_primary(lease->instance(), sent_at)))
    {
        co_return std::nullopt;
    }
    const auto begun = co_await lease->run(
        {.kind =
             on_primary ? command_kind::begin : command_kind::begin_read_only,
         .wait_for = required},
        begin_timeout);
    if (!begun)
    {
        lease->close();
        request.excluded.push_back(trace_.instance);
        co_return std::nullopt;
    }
    if (!begun->ok())
    {
        trace_.member_code = begun->code;
        request.excluded.push_back(trace_.instance);
        co_return std::nullopt;
    }
    if (on_primary)
    {
        gateway.on_primary_confirmed(trace_.instance, sent_at, begun->position);
    }
    connection_ = std::move(*lease);
    connection_.hold_for_transaction();
    co_return std::nullopt;
}

awaitable<reply> client_session::run_in_transaction(const statement& value)
{
    if (!connection_)
    {
        auto refusal = co_await open_transaction(value);
        if (refusal)
        {
            state_ = transaction_state::failed;
            co_return std::move(*refusal);
        }
    }
    if (manager_.customer_for_key(*route_, key_) != customer_)
    {
        co_return end_unauthorized_transaction();
    }
    auto& gateway = manager_.gateway(route_->service);
    trace_.instance = connection_.instance();
    if (!gateway.may_use_open_connection(
            connection_.instance(), clock::now()) ||
        manager_.is_ending_transactions())
    {
        trace_.failure_code = errc::draining;
        co_return on_transaction_failure(error{errc::draining, {}}, false);
    }
    const bool is_commit = value.kind == statement_kind::commit;
    const session_state session{values_, find_prepared(value)};
    const auto restored =
        co_await connection_.restore(session, route_->statement_timeout);
    if (!restored)
    {
        co_return on_transaction_failure(restored.error(), false);
    }
    const auto sent_at = clock::now();
    const auto answer = co_await connection_.forward(
        value, session, std::nullopt, route_->statement_timeout);
    if (!transaction_counted_)
    {
        transaction_counted_ = manager_.count_usage(answer, customer_, sent_at);
    }
    if (!answer)
    {
        co_return on_transaction_failure(answer.error(), is_commit);
    }
    if (answer->code == reply_code::unknown_prepared)
    {
        // The client was told that the statement is prepared.
        state_ = transaction_state::failed;
        co_return refuse(
            reply_code::aborted, "the member lost the session state");
    }
    if (answer->ok() && !read_only_ && !is_commit)
    {
        gateway.on_primary_confirmed(
            trace_.instance, sent_at, answer->position);
    }
    if (answer->ok() && is_commit && transaction_wrote_)
    {
        connection_.reset();
        if (!co_await confirm_commit(trace_.instance, *answer))
        {
            co_return doubt_commit();
        }
    }
    transaction_wrote_ = transaction_wrote_ || (!is_commit && writes(value));
    if (!is_commit && answer->state != transaction_state::open)
    {
        state_ = transaction_state::failed;
    }
    co_return *answer;
}

reply client_session::end_unauthorized_transaction()
{
    trace_.failure_code = errc::key_invalid;
    roll_back_transaction();
    state_ = transaction_state::failed;
    return refuse(
        reply_code::unauthorized,
        "the key was withdrawn, the transaction is rolled back");
}

reply client_session::on_transaction_failure(
    const error& failure, bool was_commit)
{
    trace_.failure_code = failure.code;
    connection_.close();
    state_ = transaction_state::failed;
    if (was_commit && transaction_wrote_)
    {
        return refuse(
            failure.code == errc::reply_timeout ? reply_code::timeout
                                                : reply_code::in_doubt,
            "no answer to the commit");
    }
    if (failure.code == errc::statement_rejected)
    {
        return refuse(reply_code::malformed, failure.detail);
    }
    // A member rolls back when the connection ends before the commit.
    return refuse(reply_code::aborted, "the transaction was rolled back");
}

void client_session::roll_back_transaction()
{
    if (connection_)
    {
        connection_.roll_back();
    }
}

} // namespace zinniahub::pooling
