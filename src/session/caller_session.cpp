#include "session/caller_session.hpp"

#include <algorithm>
#include <utility>

namespace zinniahub::session
{

namespace
{

/// Customer of requests that come without a key to a group open to all.
constexpr std::string_view anonymous_customer = "anonymous";

v1::Verdict to_protocol(verdict value)
{
    switch (value)
    {
    case verdict::done:
        return v1::VERDICT_DONE;
    case verdict::not_run:
        return v1::VERDICT_NOT_RUN;
    case verdict::unknown:
        break;
    }
    return v1::VERDICT_UNKNOWN;
}

/// Status of a stream that ends without running its unanswered requests. gRPC
/// itself never produces this code, see caller.proto.
grpc::Status draining_status()
{
    return {grpc::StatusCode::ABORTED, "draining"};
}

} // namespace

caller_session::caller_session(
    serve::proxy_state& state,
    const settings::host_settings::limits_section& limits,
    metrics::registry& metrics, session_registry& sessions)
    : state_(state)
    , limits_(limits)
    , metrics_(metrics)
    , sessions_(sessions)
{
    // gRPC holds a reference until OnDone.
    intrusive_ptr_add_ref(this);
    if (!sessions_.add(*this))
    {
        const std::lock_guard lock(mutex_);
        is_ending_ = true;
    }
    read_next();
}

// Stream

void caller_session::end()
{
    {
        const std::lock_guard lock(mutex_);
        is_ending_ = true;
        if (!is_reading_ || is_finished_)
        {
            return;
        }
        is_finished_ = true;
    }
    close_transaction();
    Finish(draining_status());
}

void caller_session::read_next()
{
    {
        // Held during StartRead, because no read may start after Finish.
        const std::lock_guard lock(mutex_);
        if (!is_ending_)
        {
            is_reading_ = true;
            StartRead(&request_);
            return;
        }
        if (is_finished_)
        {
            return;
        }
        is_finished_ = true;
    }
    close_transaction();
    Finish(draining_status());
}

void caller_session::finish_stream()
{
    {
        const std::lock_guard lock(mutex_);
        is_finished_ = true;
    }
    close_transaction();
    Finish(grpc::Status::OK);
}

void caller_session::OnReadDone(bool ok)
{
    {
        const std::lock_guard lock(mutex_);
        if (is_finished_)
        {
            // A request that arrives after the session has finished is not run.
            return;
        }
        is_reading_ = false;
    }
    if (!ok)
    {
        finish_stream();
        return;
    }
    handle_request();
}

void caller_session::OnWriteDone(bool ok)
{
    // Not earlier, because a planned stop also waits for replies that are being
    // sent.
    state_.open_requests.fetch_sub(1);
    if (!ok)
    {
        finish_stream();
        return;
    }
    request_.Clear();
    read_next();
}

void caller_session::OnDone()
{
    sessions_.remove(*this);
    intrusive_ptr_release(this);
}

// Checks

void caller_session::handle_request()
{
    received_at_ = clock::now();
    state_.open_requests.fetch_add(1);
    const auto wanted =
        request_.deadline_ms() == 0
            ? limits_.default_deadline
            : std::min(
                  std::chrono::milliseconds(request_.deadline_ms()),
                  limits_.max_deadline);
    deadline_ = std::min(
        received_at_ + wanted,
        time_point(clock::duration(state_.latest_deadline.load())));
    auto accepted = check_request();
    // The key is only needed for the check and is not kept.
    request_.clear_key();
    if (!accepted)
    {
        reply_failure(accepted.error());
        return;
    }
    accepted_ = std::move(*accepted);
    admit();
}

bool caller_session::is_in_transaction() const
{
    return transaction_ != nullptr;
}

bool caller_session::needs_rate_token() const
{
    // Commit and rollback need no token, so that a customer over its rate can
    // still release the connection of its transaction.
    return request_.operation() != v1::OPERATION_COMMIT &&
           request_.operation() != v1::OPERATION_ROLLBACK;
}

result<void>
caller_session::check_host(const serve::traffic_snapshot* snapshot) const
{
    if (!is_in_transaction())
    {
        if (state_.refuses_new_requests.load())
        {
            return fail(errc::draining);
        }
        if (state_.domain_out_of_service.load())
        {
            return fail(errc::failure_domain_out);
        }
    }
    if (snapshot == nullptr)
    {
        return fail(errc::configuration_missing);
    }
    return {};
}

result<caller_session::accepted_request> caller_session::check_request()
{
    const auto snapshot = state_.snapshot.load();
    if (auto ready = check_host(snapshot.get()); !ready)
    {
        return tl::make_unexpected(ready.error());
    }
    if (request_.text().size() > limits_.max_statement_bytes)
    {
        return fail(errc::statement_too_large);
    }
    const auto* group = snapshot->desired->group(request_.group());
    const auto traffic = snapshot->groups.find(request_.group());
    if (group == nullptr || traffic == snapshot->groups.end())
    {
        return fail(errc::group_unknown, request_.group());
    }
    auto customer = check_customer(*snapshot, *group);
    if (!customer)
    {
        close_transaction();
        return tl::make_unexpected(customer.error());
    }
    if (auto valid = check_transaction(); !valid)
    {
        return tl::make_unexpected(valid.error());
    }
    auto token = snapshot->codec->open(request_.session_token());
    if (!token)
    {
        return tl::make_unexpected(token.error());
    }
    accepted_request accepted;
    accepted.admission = snapshot->customers.find(*customer)->second;
    accepted.weight = snapshot->desired->customer(*customer)->weight;
    accepted.customer = std::move(*customer);
    accepted.group = traffic->second;
    accepted.codec = snapshot->codec;
    accepted.token = std::move(*token);
    if (is_in_transaction() && (accepted.group != transaction_group_ ||
                                accepted.customer != transaction_customer_))
    {
        return fail(
            errc::request_invalid,
            "the transaction belongs to another group or customer");
    }
    return accepted;
}

result<std::string> caller_session::check_customer(
    const serve::traffic_snapshot& snapshot, const group_resource& group) const
{
    const bool is_open = request_.key().empty() && group.open_to_all;
    if (request_.key().empty() && !is_open)
    {
        return fail(errc::key_missing);
    }
    if (!state_.is_configuration_valid(clock::now()))
    {
        return fail(errc::configuration_expired);
    }
    std::string name(anonymous_customer);
    if (!is_open)
    {
        const auto* owner = snapshot.desired->keys.customer_of(request_.key());
        if (owner == nullptr)
        {
            return fail(errc::key_invalid);
        }
        name = *owner;
    }
    const auto* customer = snapshot.desired->customer(name);
    if (customer == nullptr || !snapshot.customers.contains(name))
    {
        return fail(errc::key_invalid, "no customer " + name);
    }
    const auto& allowed = customer->groups;
    if (!is_open && !allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), group.name) == allowed.end())
    {
        return fail(errc::group_not_allowed, group.name);
    }
    return name;
}

result<void> caller_session::check_transaction() const
{
    switch (request_.operation())
    {
    case v1::OPERATION_STATEMENT:
        return {};
    case v1::OPERATION_BEGIN:
        if (is_in_transaction())
        {
            return fail(errc::transaction_already_open);
        }
        return {};
    case v1::OPERATION_COMMIT:
    case v1::OPERATION_ROLLBACK:
        if (!is_in_transaction())
        {
            return fail(errc::transaction_not_open);
        }
        return {};
    default:
        return fail(errc::request_invalid, "operation");
    }
}

// Execution

void caller_session::admit()
{
    if (!needs_rate_token())
    {
        submit();
        return;
    }
    accepted_.admission->admit(
        deadline_,
        [self = self_pointer(this)](result<void> admitted)
        {
            if (admitted)
            {
                self->submit();
            }
            else
            {
                self->reply_failure(admitted.error());
            }
        });
}

traffic::request::pointer caller_session::make_request()
{
    traffic::request::pointer entry(new traffic::request);
    entry->operation = request_.operation();
    entry->access = request_.access();
    entry->idempotent = request_.idempotent();
    entry->text = std::move(*request_.mutable_text());
    entry->customer = accepted_.customer;
    entry->weight = accepted_.weight;
    entry->deadline = deadline_;
    entry->min_position = accepted_.token.position_of(accepted_.group->uid());
    entry->on_done =
        [self = self_pointer(this)](result<traffic::answer> outcome)
    { self->reply_outcome(std::move(outcome)); };
    return entry;
}

void caller_session::submit()
{
    auto entry = make_request();
    if (is_in_transaction())
    {
        transaction_group_->submit_in_transaction(
            transaction_, std::move(entry));
    }
    else if (request_.operation() == v1::OPERATION_BEGIN)
    {
        accepted_.group->begin(
            std::move(entry),
            [self = self_pointer(this)](traffic::transaction_pointer opened)
            { self->on_transaction_open(std::move(opened)); });
    }
    else
    {
        accepted_.group->submit(std::move(entry));
    }
}

void caller_session::on_transaction_open(traffic::transaction_pointer opened)
{
    transaction_ = std::move(opened);
    transaction_group_ = accepted_.group;
    transaction_customer_ = accepted_.customer;
    state_.open_transactions.fetch_add(1);
}

void caller_session::close_transaction()
{
    if (transaction_)
    {
        transaction_group_->roll_back(std::move(transaction_));
        transaction_ = nullptr;
        transaction_group_ = nullptr;
        state_.open_transactions.fetch_sub(1);
    }
}

// Replies

void caller_session::reply_outcome(result<traffic::answer> outcome)
{
    const bool ends_transaction =
        request_.operation() == v1::OPERATION_COMMIT ||
        request_.operation() == v1::OPERATION_ROLLBACK;
    if (is_in_transaction() && (ends_transaction || !transaction_->is_open()))
    {
        close_transaction();
    }
    if (!outcome)
    {
        reply_failure(outcome.error());
        return;
    }
    accepted_.token.advance(accepted_.group->uid(), outcome->position);
    reply_.Clear();
    reply_.set_verdict(v1::VERDICT_DONE);
    reply_.set_served_by(outcome->served_by);
    reply_.set_from_replica(outcome->from_replica);
    reply_.mutable_rows()->Assign(
        std::make_move_iterator(outcome->rows.begin()),
        std::make_move_iterator(outcome->rows.end()));
    reply_.set_session_token(accepted_.codec->seal(accepted_.token));
    metrics_.series_of(accepted_.customer, request_.statement_class())
        .record(
            verdict::done, errc{}, outcome->from_replica,
            clock::now() - received_at_);
    write_reply();
}

void caller_session::reply_failure(const error& failure)
{
    const auto outcome = verdict_of(failure.code);
    reply_.Clear();
    reply_.set_verdict(to_protocol(outcome));
    reply_.set_error_code(static_cast<std::uint32_t>(failure.code));
    reply_.set_error_detail(failure.detail);
    reply_.set_session_token(request_.session_token());
    metrics_.series_of(accepted_.customer, request_.statement_class())
        .record(outcome, failure.code, false, clock::now() - received_at_);
    write_reply();
}

void caller_session::write_reply()
{
    reply_.set_id(request_.id());
    accepted_ = {};
    StartWrite(&reply_);
}

} // namespace zinniahub::session
