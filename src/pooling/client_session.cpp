#include "pooling/client_session.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace zinniahub::pooling
{

namespace
{

/// Sessions may be idle for long; a dead client is noticed by keep-alive.
constexpr duration idle_session_limit = std::chrono::hours(1);

/// Commands that take no slot are answered in a round trip.
constexpr duration command_timeout = std::chrono::milliseconds(500);

/// Part of the latency objective for which a request waits for a connection
/// while members are usable. The rest is for the statement itself.
constexpr double wait_fraction = 0.7;

/// The same while no member is usable or many requests wait. A refusal that
/// comes later leaves the client too little time to try another host.
constexpr double wait_fraction_busy = 0.22;

/// Part of the limit of a commit that is reserved for the last answer about it
/// and the reply.
constexpr duration confirmation_reserve = std::chrono::milliseconds(100);

/// Time after which a request that several members did not accept should be
/// repeated; by then a failed member is tried again.
constexpr duration attempts_retry_delay = std::chrono::milliseconds(200);

duration fraction_of(duration whole, double part)
{
    return std::chrono::duration_cast<duration>(whole * part);
}

/// Adds to the text of a refusal when the request should be repeated.
std::string with_retry(std::string_view text, duration retry_after)
{
    return fmt::format(
        "{}, retry after {} ms", text,
        std::chrono::ceil<std::chrono::milliseconds>(retry_after).count());
}

reply_code refusal_code(errc code)
{
    switch (code)
    {
    case errc::rate_exceeded:
        return reply_code::too_many;
    case errc::key_invalid:
        return reply_code::unauthorized;
    case errc::group_unknown:
        return reply_code::unknown_database;
    default:
        return reply_code::busy;
    }
}

} // namespace

client_session::client_session(
    session_manager& owner, std::shared_ptr<client_stream> stream,
    std::string database, std::string customer, std::string key)
    : manager_(owner)
    , stream_(std::move(stream))
    , database_(std::move(database))
    , customer_(std::move(customer))
    , key_(std::move(key))
    , values_(&manager_.session_memory())
{
}

awaitable<void> client_session::run()
{
    bool serving = true;
    while (serving)
    {
        serving = co_await serve_next();
    }
    roll_back_transaction();
    stream_->close();
}

awaitable<bool> client_session::serve_next()
{
    const bool in_transaction = state_ != transaction_state::none;
    if (!in_transaction && manager_.is_closing())
    {
        co_return false;
    }
    const auto limit = in_transaction
                           ? manager_.configuration()->transaction_idle_limit
                           : idle_session_limit;
    auto next = co_await stream_->next(limit);
    if (!next)
    {
        const auto code = next.error().code;
        if (code == errc::draining)
        {
            const bool ends =
                in_transaction && manager_.is_ending_transactions();
            co_return in_transaction && !ends;
        }
        if (code == errc::statement_too_large ||
            code == errc::request_invalid || code == errc::queue_full)
        {
            co_return co_await refuse_message(next.error());
        }
        co_return false;
    }
    busy_ = true;
    trace_ = {.started = clock::now()};
    auto answer = co_await handle(*next);
    answer.state = state_;
    record_reply(*next, answer);
    const bool sent = co_await stream_->send(answer);
    busy_ = false;
    co_return sent;
}

awaitable<bool> client_session::refuse_message(const error& why)
{
    trace_ = {.started = clock::now(), .failure_code = why.code};
    auto refusal = refuse(
        why.code == errc::statement_too_large ? reply_code::too_large
        : why.code == errc::queue_full        ? reply_code::busy
                                              : reply_code::malformed,
        why.detail);
    refusal.state = state_;
    record_reply({}, refusal);
    co_return co_await stream_->send(refusal);
}

awaitable<reply> client_session::handle(const statement& value)
{
    if (state_ == transaction_state::failed &&
        value.kind != statement_kind::rollback &&
        value.kind != statement_kind::commit)
    {
        co_return refuse(reply_code::malformed, "the transaction has failed");
    }
    switch (value.kind)
    {
    case statement_kind::set_value:
        co_return set_session_value(value);
    case statement_kind::prepare_read:
    case statement_kind::prepare_write:
        co_return prepare(value);
    case statement_kind::deallocate:
        co_return deallocate(value);
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        co_return begin(value);
    case statement_kind::commit:
    case statement_kind::rollback:
        co_return co_await end_transaction(value);
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
        co_return co_await run_data_statement(value);
    case statement_kind::invalid:
        break;
    }
    co_return refuse(reply_code::malformed, "unknown statement");
}

reply client_session::acknowledge(const result<void>& change)
{
    return change ? reply{.signature = "-"}
                  : refuse(reply_code::too_large, change.error().detail);
}

reply client_session::set_session_value(const statement& value)
{
    return acknowledge(values_.set(value.name, value.argument));
}

reply client_session::prepare(const statement& value)
{
    return acknowledge(values_.prepare(
        value.name,
        {value.kind == statement_kind::prepare_write, value.argument}));
}

reply client_session::deallocate(const statement& value)
{
    values_.deallocate(value.name);
    return {.signature = "-"};
}

awaitable<reply> client_session::run_data_statement(const statement& value)
{
    if (value.kind == statement_kind::execute &&
        find_prepared(value) == nullptr)
    {
        co_return refuse(
            reply_code::unknown_prepared, "no such prepared statement");
    }
    if (state_ == transaction_state::none)
    {
        co_return co_await run_autocommit(value);
    }
    auto answer = co_await run_in_transaction(value);
    if (!answer.ok() && state_ != transaction_state::open)
    {
        roll_back_transaction();
    }
    co_return answer;
}

awaitable<std::optional<reply>>
client_session::check_admission(const statement& value)
{
    const auto& configuration = *manager_.configuration();
    const auto found = configuration.routes.find(database_);
    if (found == configuration.routes.end())
    {
        trace_.failure_code = errc::group_unknown;
        co_return refuse(reply_code::unknown_database, "no such database");
    }
    route_ = found->second;
    customer_ = manager_.customer_for_key(*route_, key_);
    if (customer_.empty())
    {
        trace_.failure_code = errc::key_invalid;
        co_return refuse(reply_code::unauthorized, "unknown key");
    }
    const auto verdict =
        co_await manager_.admission_control().admit(customer_, value.id);
    if (!verdict.admitted)
    {
        trace_.failure_code = errc::rate_exceeded;
        trace_.refusal = {
            "rate", std::nullopt,
            spread_retry_delay(verdict.retry_after, value.id)};
        co_return refuse(
            reply_code::too_many,
            with_retry("rate exceeded", trace_.refusal.retry_after));
    }
    co_return std::nullopt;
}

access_request client_session::make_request(const statement& value) const
{
    access_request request;
    request.request_id = value.id;
    request.customer = customer_;
    request.session = &values_;
    request.priority = route_->priority;
    request.latency_objective = route_->target_latency;
    request.wait_until =
        trace_.started + fraction_of(route_->target_latency, wait_fraction);
    request.wait_until_busy =
        trace_.started +
        fraction_of(route_->target_latency, wait_fraction_busy);
    return request;
}

awaitable<reply> client_session::run_autocommit(const statement& value)
{
    auto refusal = co_await check_admission(value);
    if (refusal)
    {
        co_return std::move(*refusal);
    }
    auto request = make_request(value);
    const bool is_read = !writes(value);
    while (trace_.attempts < max_attempts)
    {
        ++trace_.attempts;
        auto answer = check_reach(request, is_read && may_use_replica());
        if (answer)
        {
            co_return std::move(*answer);
        }
        if (is_read && may_use_replica() && !request.needs_primary)
        {
            answer = co_await read_on_member(value, request);
        }
        else
        {
            answer = co_await run_on_primary(value, request);
        }
        if (answer)
        {
            co_return std::move(*answer);
        }
        // Each attempt that a member runs counts towards the rate.
        if (std::exchange(trace_.may_have_run, false))
        {
            const auto verdict = co_await manager_.admission_control().admit(
                customer_, value.id);
            if (!verdict.admitted)
            {
                trace_.failure_code = errc::rate_exceeded;
                break;
            }
        }
    }
    if (trace_.failure_code == errc::request_invalid)
    {
        trace_.failure_code = errc::retry_budget_exhausted;
    }
    co_return refuse_after_attempts(value);
}

std::optional<reply>
client_session::check_reach(const access_request& request, bool on_replica)
{
    const auto max_staleness =
        on_replica ? std::optional(route_->max_staleness) : std::nullopt;
    if (!manager_.gateway(route_->service)
             .is_out_of_reach(request, max_staleness, clock::now()))
    {
        return std::nullopt;
    }
    trace_.failure_code = errc::member_unreachable;
    return refuse_unsent(
        errc::member_unreachable,
        "the failure domain of this host is cut off from the others",
        manager_.gateway(route_->service)
            .refuse_out_of_reach(request.request_id));
}

bool client_session::may_use_replica() const
{
    return route_->consistency != read_consistency::latest;
}

log_position client_session::with_own_commits(log_position position) const
{
    return route_->consistency == read_consistency::read_your_writes
               ? std::max(position, committed_position_)
               : position;
}

awaitable<std::optional<reply>>
client_session::read_on_member(const statement& value, access_request& request)
{
    auto& gateway = manager_.gateway(route_->service);
    auto required = co_await gateway.wait_for_position(
        route_->max_staleness, request.wait_until_busy);
    if (!required)
    {
        co_return refuse_without_position(value);
    }
    auto lease =
        co_await gateway.acquire_reader(request, with_own_commits(*required));
    if (!lease)
    {
        trace_.failure_code = lease.error().code;
        co_return refuse_unsent(
            lease.error().code, "no member is available", request.refusal);
    }
    trace_.instance = lease->instance();
    trace_.on_replica = !gateway.is_primary(trace_.instance);
    trace_.connected = clock::now();
    const session_state session{values_, find_prepared(value)};
    const auto restored =
        co_await lease->restore(session, route_->statement_timeout);
    if (!restored)
    {
        request.excluded.push_back(lease->instance());
        co_return refuse_rejected(restored.error());
    }
    // The position is taken again after the wait.
    required = gateway.required_position(clock::now(), route_->max_staleness);
    if (!required ||
        !gateway.may_use_open_connection(lease->instance(), clock::now()))
    {
        co_return std::nullopt;
    }
    const auto sent_at = clock::now();
    const auto answer = co_await lease->forward(
        value, session, with_own_commits(*required), route_->statement_timeout);
    manager_.count_usage(answer, customer_, sent_at);
    if (!answer && answer.error().code == errc::statement_too_large)
    {
        // The primary runs it without a position.
        request.needs_primary = true;
        co_return std::nullopt;
    }
    if (!answer)
    {
        lease->close();
        trace_.failure_code = answer.error().code;
        trace_.may_have_run = true;
        request.excluded.push_back(trace_.instance);
        co_return std::nullopt;
    }
    trace_.member_code = answer->code;
    switch (answer->code)
    {
    case reply_code::unknown_prepared:
        co_return std::nullopt;
    case reply_code::behind:
    case reply_code::busy:
        request.excluded.push_back(trace_.instance);
        co_return std::nullopt;
    default:
        co_return *answer;
    }
}

awaitable<std::optional<reply>>
client_session::run_on_primary(const statement& value, access_request& request)
{
    auto& gateway = manager_.gateway(route_->service);
    if (!co_await gateway.wait_for_primary_proof(request.wait_until_busy))
    {
        co_return refuse_without_proof(value);
    }
    auto lease = co_await gateway.acquire_primary(request);
    if (!lease)
    {
        trace_.failure_code = lease.error().code;
        co_return refuse_unsent(
            lease.error().code, "the primary is not available",
            request.refusal);
    }
    trace_.instance = lease->instance();
    trace_.connected = clock::now();
    const session_state session{values_, find_prepared(value)};
    const auto restored =
        co_await lease->restore(session, route_->statement_timeout);
    if (!restored)
    {
        co_return refuse_rejected(restored.error());
    }
    const auto checked_at = clock::now();
    if (!gateway.may_use_open_connection(lease->instance(), checked_at) ||
        !gateway.is_proven_primary(lease->instance(), checked_at))
    {
        co_return std::nullopt;
    }
    const bool is_write = writes(value);
    if (!is_write)
    {
        // Only the primary begins a transaction that may write, so the read
        // cannot run on a member that was replaced.
        const auto begun =
            co_await lease->run({.kind = command_kind::begin}, command_timeout);
        if (!begun || !begun->ok())
        {
            trace_.member_code = begun ? begun->code : reply_code::timeout;
            if (!begun)
            {
                lease->close();
            }
            co_return std::nullopt;
        }
    }
    const auto sent_at = clock::now();
    const auto answer = co_await lease->forward(
        value, session, std::nullopt, route_->statement_timeout);
    manager_.count_usage(answer, customer_, sent_at);
    if (!answer)
    {
        lease->close();
        trace_.failure_code = answer.error().code;
        trace_.may_have_run = true;
        if (!is_write)
        {
            co_return std::nullopt;
        }
        co_return refuse(
            answer.error().code == errc::reply_timeout ? reply_code::timeout
                                                       : reply_code::in_doubt,
            "the member did not reply");
    }
    trace_.member_code = answer->code;
    if (answer->ok())
    {
        gateway.on_primary_confirmed(
            lease->instance(), sent_at, answer->position);
    }
    if (is_write && answer->ok())
    {
        lease->reset();
        if (!co_await confirm_commit(trace_.instance, *answer))
        {
            co_return doubt_commit();
        }
    }
    if (!is_write)
    {
        lease->roll_back();
    }
    if (answer->code == reply_code::read_only ||
        answer->code == reply_code::unknown_prepared)
    {
        co_return std::nullopt;
    }
    co_return *answer;
}

bool client_session::writes(const statement& value) const
{
    if (value.kind == statement_kind::execute)
    {
        const auto* prepared = find_prepared(value);
        return prepared != nullptr && prepared->writes;
    }
    return value.kind == statement_kind::write;
}

const prepared_statement*
client_session::find_prepared(const statement& value) const
{
    if (value.kind != statement_kind::execute)
    {
        return nullptr;
    }
    return values_.find_prepared(value.name);
}

awaitable<bool>
client_session::confirm_commit(std::string instance, const reply& answer)
{
    trace_.committed = answer.position;
    auto& gateway = manager_.gateway(route_->service);
    if (!co_await gateway.still_leads(instance))
    {
        co_return false;
    }
    if (!answer.position)
    {
        co_return true;
    }
    const auto until =
        trace_.started + route_->statement_timeout - confirmation_reserve;
    if (!co_await gateway.may_pass_on(
            std::move(instance), *answer.position, until))
    {
        co_return false;
    }
    committed_position_ = std::max(committed_position_, *answer.position);
    co_return true;
}

reply client_session::refuse_unsent(
    errc failure_code, std::string_view text, const wait_refusal& why)
{
    trace_.refusal = why;
    if (trace_.attempts == 1)
    {
        manager_.admission_control().refund(customer_);
    }
    return refuse(
        refusal_code(failure_code), with_retry(text, why.retry_after));
}

std::optional<reply> client_session::refuse_rejected(const error& failure)
{
    trace_.failure_code = failure.code;
    if (failure.code != errc::statement_rejected)
    {
        return std::nullopt;
    }
    return refuse(reply_code::malformed, failure.detail);
}

reply client_session::refuse_after_attempts(const statement& value)
{
    trace_.refusal = {
        "attempts", std::nullopt,
        spread_retry_delay(attempts_retry_delay, value.id)};
    return refuse(
        reply_code::busy,
        with_retry(
            "no member accepted the request", trace_.refusal.retry_after));
}

reply client_session::refuse_without_proof(const statement& value)
{
    trace_.failure_code = errc::no_primary;
    return refuse_unsent(
        errc::no_primary, "no replica confirms the primary",
        manager_.gateway(route_->service).refuse_without_primary(value.id));
}

reply client_session::refuse_without_position(const statement& value)
{
    trace_.failure_code = errc::no_primary;
    return refuse_unsent(
        errc::no_primary, "the position of the primary is not known",
        manager_.gateway(route_->service).refuse_without_primary(value.id));
}

reply client_session::doubt_commit()
{
    trace_.failure_code = errc::no_primary;
    return refuse(
        reply_code::in_doubt, "the member may have been replaced before");
}

reply client_session::refuse(reply_code code, std::string text)
{
    return {.code = code, .text = std::move(text)};
}

void client_session::record_reply(const statement& value, const reply& answer)
{
    const auto& configuration = manager_.configuration();
    manager_.replies().record(
        value, answer, trace_,
        {database_, customer_, route_,
         configuration ? configuration->version : 0});
}

} // namespace zinniahub::pooling
