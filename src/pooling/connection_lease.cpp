#include "pooling/connection_lease.hpp"

#include "pooling/service_gateway.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace zinniahub::pooling
{

namespace
{

/// Clients choose shapes, which may be as long as a message.
constexpr std::size_t max_logged_bytes = 80;

/// A command without a slot is answered in a round trip.
constexpr duration restore_step_timeout = std::chrono::milliseconds(500);

/// True if a call failed before anything was sent.
bool is_encoding_failure(errc code)
{
    return code == errc::statement_too_large || code == errc::request_invalid;
}

/// True if a member would refuse the same command again.
bool is_permanent_rejection(reply_code code)
{
    return code == reply_code::malformed || code == reply_code::too_large;
}

bool only_reads(const statement& value, const session_state& session)
{
    return value.kind == statement_kind::read ||
           (value.kind == statement_kind::execute &&
            session.prepared != nullptr && !session.prepared->writes);
}

} // namespace

connection_lease::connection_lease(
    service_gateway& gateway, std::string instance,
    pooled_connection_ptr connection, duration latency_objective)
    : gateway_(&gateway)
    , instance_(std::move(instance))
    , connection_(std::move(connection))
    , latency_objective_(latency_objective)
{
}

connection_lease::connection_lease(connection_lease&& other) noexcept
    : gateway_(other.gateway_)
    , instance_(std::move(other.instance_))
    , connection_(std::move(other.connection_))
    , latency_objective_(other.latency_objective_)
    , held_(other.held_)
    , state_(other.state_)
{
}

connection_lease& connection_lease::operator=(connection_lease&& other) noexcept
{
    if (this != &other)
    {
        reset();
        gateway_ = other.gateway_;
        instance_ = std::move(other.instance_);
        connection_ = std::move(other.connection_);
        latency_objective_ = other.latency_objective_;
        held_ = other.held_;
        state_ = other.state_;
    }
    return *this;
}

connection_lease::~connection_lease()
{
    reset();
}

void connection_lease::reset()
{
    if (connection_ != nullptr)
    {
        if (state_ != transaction_state::none)
        {
            // The member rolls back; the next session must not be inside this
            // transaction.
            connection_->link->close();
        }
        gateway_->release_connection(instance_, std::move(connection_));
    }
}

void connection_lease::close()
{
    if (connection_ != nullptr)
    {
        connection_->link->close();
        reset();
    }
}

void connection_lease::on_call_finished(
    const result<reply>& answer, time_point sent_at)
{
    auto& pool = gateway_->pools_.of(instance_);
    pool.on_call_ended(sent_at);
    if (answer)
    {
        state_ = answer->state;
        pool.on_answer(*answer, clock::now());
        gateway_->update_lag(pool, *answer);
    }
    else if (!is_encoding_failure(answer.error().code))
    {
        pool.on_call_failed(clock::now());
    }
    if (held_)
    {
        gateway_->wake_waiters(instance_);
    }
}

awaitable<result<reply>> connection_lease::forward(
    const statement& value, session_state session,
    std::optional<log_position> wait_for, duration timeout)
{
    const auto& on_connection = connection_->values;
    if (!on_connection.holds(session.values, session.prepared))
    {
        co_return fail(
            errc::request_invalid, "the session state was not restored");
    }
    const auto name = session.prepared == nullptr
                          ? std::string_view{}
                          : on_connection.name_of(*session.prepared);
    const auto sent_at = clock::now();
    gateway_->pools_.of(instance_).on_call_sent(sent_at);
    auto answer =
        co_await connection_->link->forward({value, name, wait_for}, timeout);
    if (answer)
    {
        const auto now = clock::now();
        auto& pool = gateway_->pools_.of(instance_);
        pool.on_statement_answered(
            sent_at, now, latency_objective_, answer->code);
        if (!held_ && only_reads(value, session))
        {
            pool.on_read_answered(now - sent_at, answer->code);
        }
    }
    on_call_finished(answer, sent_at);
    if (answer && answer->code == reply_code::unknown_prepared)
    {
        connection_->values.invalidate();
        gateway_->pools_.of(instance_).on_state_lost();
    }
    co_return answer;
}

awaitable<result<reply>>
connection_lease::run(const command& value, duration timeout)
{
    const auto sent_at = clock::now();
    gateway_->pools_.of(instance_).on_call_sent(sent_at);
    auto answer = co_await connection_->link->run(value, timeout);
    on_call_finished(answer, sent_at);
    co_return answer;
}

awaitable<result<void>> connection_lease::run_restore_step(
    const command& value, std::string_view step, time_point deadline)
{
    const auto state_before = state_;
    const auto timeout =
        std::min<duration>(restore_step_timeout, deadline - clock::now());
    const auto answer = co_await run(value, timeout);
    if (answer && answer->ok())
    {
        co_return result<void>{};
    }
    ++gateway_->restores_.failed;
    gateway_->events_.write(
        "restore_failed", {{"instance", instance_},
                           {"customer", connection_->customer},
                           {"connection", connection_->number},
                           {"step", step},
                           {"code", answer ? to_string(answer->code)
                                           : to_string(answer.error().code)}});
    // A member rejects everything inside a failed transaction.
    const bool is_rejected = answer
                                 ? is_permanent_rejection(answer->code) &&
                                       state_before != transaction_state::failed
                                 : is_encoding_failure(answer.error().code);
    if (is_rejected)
    {
        connection_->values.invalidate();
        co_return fail(
            errc::statement_rejected, fmt::format("{} was rejected", step));
    }
    connection_->link->close();
    co_return fail(errc::connection_lost, fmt::format("{} failed", step));
}

awaitable<result<void>>
connection_lease::prepare(const pooled_statement& added, time_point deadline)
{
    const auto& [name, statement] = added;
    const auto done = co_await run_restore_step(
        {.kind = statement.writes ? command_kind::prepare_write
                                  : command_kind::prepare_read,
         .name = name,
         .argument = statement.shape},
        "prepare", deadline);
    if (!done)
    {
        co_return done;
    }
    ++gateway_->restores_.statements_prepared;
    gateway_->events_.write(
        "statement_prepared",
        {{"instance", instance_},
         {"customer", connection_->customer},
         {"connection", connection_->number},
         {"name", name},
         {"writes", statement.writes},
         {"shape",
          std::string_view(statement.shape).substr(0, max_logged_bytes)}});
    connection_->values.on_prepared(added);
    co_return done;
}

awaitable<result<void>>
connection_lease::restore(session_state session, duration limit)
{
    const auto deadline = clock::now() + limit;
    const auto steps =
        connection_->values.plan(session.values, session.prepared);
    if (steps.discard)
    {
        const auto done = co_await run_restore_step(
            {.kind = command_kind::discard}, "discard", deadline);
        if (!done)
        {
            co_return done;
        }
        ++gateway_->restores_.discarded;
        connection_->values.on_discarded();
    }
    for (const auto& [name, value] : steps.set)
    {
        const auto done = co_await run_restore_step(
            {.kind = command_kind::set_value, .name = name, .argument = value},
            "set_value", deadline);
        if (!done)
        {
            co_return done;
        }
        ++gateway_->restores_.values_set;
        connection_->values.on_set(name, value);
    }
    if (steps.prepare)
    {
        co_return co_await prepare(*steps.prepare, deadline);
    }
    co_return result<void>{};
}

void connection_lease::roll_back()
{
    if (connection_ == nullptr)
    {
        return;
    }
    auto& gateway = *gateway_;
    boost::asio::co_spawn(
        gateway.io_, gateway.roll_back(std::move(*this)),
        boost::asio::detached);
}

} // namespace zinniahub::pooling
