#include "traffic/group_transactions.hpp"

#include <algorithm>

namespace zinniahub::traffic
{

namespace
{

/// The only failure that leaves a transaction open is a rejected statement.
bool stays_open(v1::Operation operation, const result<answer>& outcome)
{
    return operation == v1::OPERATION_STATEMENT &&
           (outcome || outcome.error().code == errc::statement_rejected);
}

error failure_of(v1::Operation operation, const attempt_outcome& reply)
{
    const auto& failure = reply.outcome.error();
    // Only a commit can have an unknown outcome: writes that are not committed
    // are not kept.
    const bool open_outcome =
        reply.is_broken && operation == v1::OPERATION_COMMIT;
    if (open_outcome || stays_open(operation, reply.outcome))
    {
        return failure;
    }
    return {errc::transaction_aborted, failure.detail};
}

} // namespace

// Begin

void group_transactions::add_open_handler(
    const request& begin, open_handler opened)
{
    open_handlers_.emplace_back(&begin, std::move(opened));
}

void group_transactions::remove_open_handler(const request& begin)
{
    std::erase_if(
        open_handlers_, [&](const auto& item) { return item.first == &begin; });
}

void group_transactions::on_begun(
    request& begin, pooled_connection pinned, answer outcome)
{
    const auto handler = std::find_if(
        open_handlers_.begin(), open_handlers_.end(),
        [&](const auto& item) { return item.first == &begin; });
    if (handler == open_handlers_.end())
    {
        // The request has already ended at its deadline, so the transaction has
        // no owner.
        pinned.pool->discard(pinned.connection);
        return;
    }
    auto opened = std::make_shared<transaction>();
    opened->pinned_ = std::move(pinned);
    handler->second(std::move(opened));
    begin.complete(std::move(outcome));
}

// Requests in a transaction

result<pooled_connection>
group_transactions::reserve_connection(transaction& owner)
{
    if (!owner.is_open() || owner.busy_)
    {
        return fail(errc::transaction_aborted);
    }
    owner.busy_ = true;
    return owner.pinned_;
}

std::optional<answer> group_transactions::on_reply(
    transaction& owner, request& entry, attempt_outcome reply)
{
    owner.busy_ = false;
    auto& outcome = reply.outcome;
    if (!stays_open(entry.operation, outcome))
    {
        end(owner, outcome.has_value());
    }
    if (!outcome)
    {
        entry.complete(tl::make_unexpected(failure_of(entry.operation, reply)));
        return std::nullopt;
    }
    if (entry.operation == v1::OPERATION_COMMIT && owner.wrote_)
    {
        return std::move(*outcome);
    }
    if (entry.operation == v1::OPERATION_STATEMENT)
    {
        owner.wrote_ |= entry.access == v1::ACCESS_WRITE;
    }
    entry.complete(std::move(*outcome));
    return std::nullopt;
}

// End

void group_transactions::roll_back(transaction& owner)
{
    if (!owner.is_open())
    {
        return;
    }
    if (owner.busy_)
    {
        // The pending reply fails and drops the connection.
        owner.pinned_.connection->close();
        return;
    }
    end(owner, false);
    owner.pinned_.pool->process_queue(clock::now());
}

void group_transactions::end(transaction& owner, bool is_reusable)
{
    auto& pinned = owner.pinned_;
    const auto connection = std::exchange(pinned.connection, nullptr);
    if (is_reusable)
    {
        pinned.pool->release(connection, clock::now());
    }
    else
    {
        pinned.pool->discard(connection);
    }
}

} // namespace zinniahub::traffic
