#include "pooling/connection_lease.hpp"

#include "pooling/service_gateway.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace zinniahub::pooling
{

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

void connection_lease::forget_prepared(const prepared_statement& statement)
{
    connection_->values.on_statement_unknown(statement);
}

void connection_lease::on_call_finished(
    const result<reply>& answer, time_point sent_at)
{
    auto& pool = gateway_->pools_.of(instance_);
    pool.on_call_ended(sent_at);
    if (answer)
    {
        pool.on_answer(*answer, clock::now());
        gateway_->update_lag(pool, *answer);
    }
    else
    {
        pool.on_call_failed(clock::now());
    }
    if (held_)
    {
        gateway_->wake_waiters(instance_);
    }
}

awaitable<result<reply>> connection_lease::forward(
    std::string_view id, std::string_view text,
    std::optional<log_position> wait_for, duration timeout)
{
    const auto sent_at = clock::now();
    gateway_->pools_.of(instance_).on_call_sent(sent_at);
    auto answer =
        co_await connection_->link->forward(id, text, wait_for, timeout);
    if (answer)
    {
        gateway_->pools_.of(instance_).on_statement_answered(
            sent_at, clock::now(), latency_objective_, answer->code);
    }
    on_call_finished(answer, sent_at);
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

awaitable<result<void>> connection_lease::restore(
    const session_values& session, const prepared_statement* needed,
    duration timeout)
{
    const auto steps = connection_->values.plan(session, needed);
    if (steps.empty())
    {
        co_return result<void>{};
    }
    // A failed step leaves the connection in an unknown state, so it is closed.
    const auto check = [this](const result<reply>& answer)
    {
        if (answer && answer->ok())
        {
            return true;
        }
        connection_->link->close();
        return false;
    };
    if (steps.discard)
    {
        const auto answer =
            co_await run({.kind = command_kind::discard}, timeout);
        if (!check(answer))
        {
            co_return fail(errc::connection_lost, "discard");
        }
        connection_->values.on_discarded();
    }
    for (const auto& [name, value] : steps.set)
    {
        const auto answer = co_await run(
            {.kind = command_kind::set_value, .name = name, .argument = value},
            timeout);
        if (!check(answer))
        {
            co_return fail(errc::connection_lost, "set value");
        }
        connection_->values.on_set(name, value);
    }
    for (const auto& statement : steps.prepare)
    {
        const auto name = pooled_statement_name(statement);
        const auto answer = co_await run(
            {.kind = statement.writes ? command_kind::prepare_write
                                      : command_kind::prepare_read,
             .name = name,
             .argument = statement.shape},
            timeout);
        if (!check(answer))
        {
            co_return fail(errc::connection_lost, "prepare");
        }
        connection_->values.on_prepared(statement);
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
