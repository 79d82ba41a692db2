#include "standins/load_session.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace zinniahub::load
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds request_deadline{5000};
constexpr milliseconds connect_timeout{200};
constexpr int max_attempts = 6;
/// Percentage of requests that go to another proxy than the previous one.
constexpr std::uint64_t roaming_percent = 20;
/// Percentage of reads of a row that the session itself wrote.
constexpr std::uint64_t own_read_percent = 60;
constexpr std::size_t max_own_writes = 8;
constexpr std::uint64_t read_rows = 50;

/// Returns 12 bits of the random number of a request. Each decision uses its
/// own part, so that the decisions are independent.
std::uint64_t bits(std::uint64_t random, unsigned part)
{
    return (random >> (part * 12)) & 0xfff;
}

/// Same rule as `zinniahub exec`: transient failures, and refusals that apply
/// to one host only.
bool may_try_elsewhere(const test::caller_reply& reply)
{
    const auto number = static_cast<std::uint32_t>(reply.code);
    return reply.is_refused() &&
           (is_transient(reply.code) || (number >= 401 && number <= 404));
}

test::caller_reply unreachable()
{
    test::caller_reply reply;
    reply.outcome = verdict::not_run;
    reply.code = errc::member_unreachable;
    return reply;
}

/// Result if the deadline passed while an earlier request of the session ran.
test::caller_reply given_up()
{
    test::caller_reply reply;
    reply.outcome = verdict::not_run;
    reply.code = errc::deadline_exceeded;
    return reply;
}

} // namespace

load_session::load_session(session_settings settings, const balancer& proxies)
    : settings_(std::move(settings))
    , proxies_(proxies)
    , thread_([this] { serve(); })
{
}

load_session::~load_session()
{
    finish();
}

void load_session::submit(scheduled_request arrival)
{
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(arrival);
    }
    queue_changed_.notify_one();
}

std::vector<request_record> load_session::finish()
{
    {
        const std::lock_guard lock(mutex_);
        finishing_ = true;
    }
    queue_changed_.notify_one();
    if (thread_.joinable())
        thread_.join();
    return std::move(history_);
}

void load_session::serve()
{
    std::unique_lock lock(mutex_);
    for (;;)
    {
        queue_changed_.wait(
            lock, [this] { return finishing_ || !queue_.empty(); });
        if (queue_.empty())
            return;
        const auto next = queue_.front();
        queue_.pop_front();
        lock.unlock();
        run(next);
        lock.lock();
    }
}

void load_session::run(const scheduled_request& arrival)
{
    current_ = {};
    current_.kind = arrival.kind;
    current_.customer = settings_.customer;
    current_.group =
        settings_.groups[bits(arrival.random, 0) % settings_.groups.size()];
    current_.session = settings_.name;
    current_.id = fmt::format("{}-{}", settings_.name, arrival.number);
    current_.intended = arrival.intended;
    current_.inside_rate = arrival.inside_rate;
    const auto deadline = arrival.intended + request_deadline;
    auto proxy = choose_proxy(arrival);
    current_.first_proxy = proxy;
    auto reply = clock::now() < deadline ? attempt(proxy, arrival, deadline)
                                         : given_up();
    for (int tries = 1; tries < max_attempts && may_try_elsewhere(reply) &&
                        clock::now() < deadline;
         ++tries)
    {
        proxy = proxies_.choose(proxy + 1);
        reply = attempt(proxy, arrival, deadline);
    }
    current_proxy_ = proxy;
    current_.finished = clock::now();
    current_.outcome = reply.outcome;
    current_.code = reply.code;
    current_.from_replica = reply.from_replica;
    remember_write(current_);
    history_.push_back(std::move(current_));
}

std::size_t load_session::choose_proxy(const scheduled_request& arrival)
{
    if (settings_.concentrated)
        return proxies_.choose(arrival.proxy_move_count + settings_.customer);
    if (settings_.fixed_proxy)
        return proxies_.choose(*settings_.fixed_proxy);
    const bool roams = bits(arrival.random, 1) % 100 < roaming_percent;
    if (roams || !has_proxy_ || !proxies_.is_serving(current_proxy_))
        current_proxy_ = proxies_.choose(bits(arrival.random, 2));
    has_proxy_ = true;
    return current_proxy_;
}

test::caller& load_session::caller_at(std::size_t proxy)
{
    auto& found = callers_[proxy];
    if (!found)
        found = std::make_unique<test::caller>(
            proxies_.address(proxy), settings_.key, settings_.groups.front());
    return *found;
}

test::caller_reply load_session::attempt(
    std::size_t proxy, const scheduled_request& arrival, time_point deadline)
{
    auto& to = caller_at(proxy);
    if (!to.wait_for_connection(connect_timeout))
        return unreachable();
    const auto left = std::chrono::ceil<milliseconds>(deadline - clock::now());
    to.set_deadline(std::max(left, milliseconds(1)));
    to.set_group(current_.group);
    return arrival.kind->is_read() ? attempt_read(to, arrival)
                                   : attempt_write(to, arrival);
}

test::caller_reply load_session::exchange(
    test::caller& to, v1::Operation operation, v1::Access access,
    const std::string& text)
{
    v1::Request request;
    request.set_operation(operation);
    request.set_access(access);
    request.set_text(text);
    request.set_statement_class(std::string(current_.kind->name));
    to.set_session_token(token_);
    std::this_thread::sleep_for(settings_.caller_delay);
    const auto sent = clock::now();
    auto reply = to.run(std::move(request));
    const bool takes_token = operation == v1::OPERATION_STATEMENT ||
                             operation == v1::OPERATION_BEGIN;
    if (takes_token && reply.answered && !reply.is_refused())
        current_.admitted.push_back({sent, clock::now()});
    std::this_thread::sleep_for(settings_.caller_delay);
    if (reply.is_done())
        token_ = to.session_token();
    return reply;
}

test::caller_reply
load_session::attempt_read(test::caller& to, const scheduled_request& arrival)
{
    const acknowledged_write* own = nullptr;
    if (!own_writes_.empty() &&
        bits(arrival.random, 3) % 100 < own_read_percent)
        own = &own_writes_[bits(arrival.random, 4) % own_writes_.size()];
    auto key = fmt::format("booth/{}", bits(arrival.random, 4) % read_rows);
    if (own != nullptr)
    {
        key = effect_key(*own->kind, settings_.name, own->id);
        current_.group = own->group;
        to.set_group(own->group);
    }
    auto reply =
        exchange(to, v1::OPERATION_STATEMENT, v1::ACCESS_READ, "get " + key);
    current_.stale = own != nullptr && reply.is_done() &&
                     effect_count(*own->kind, reply.value(), own->id) == 0;
    return reply;
}

test::caller_reply
load_session::attempt_write(test::caller& to, const scheduled_request& arrival)
{
    const auto texts = statements_of(
        *arrival.kind, settings_.name, current_.id, bits(arrival.random, 3));
    if (!arrival.kind->is_transaction())
        return exchange(
            to, v1::OPERATION_STATEMENT, v1::ACCESS_WRITE, texts.front());
    auto reply = exchange(to, v1::OPERATION_BEGIN, v1::ACCESS_WRITE, {});
    if (!reply.is_done())
        return reply;
    for (const auto& text : texts)
    {
        reply = exchange(to, v1::OPERATION_STATEMENT, v1::ACCESS_WRITE, text);
        if (!reply.is_done())
        {
            // Ends the transaction on the proxy without a commit.
            to.disconnect();
            return reply;
        }
    }
    reply = exchange(to, v1::OPERATION_COMMIT, v1::ACCESS_WRITE, {});
    if (!reply.is_done())
        to.disconnect();
    return reply;
}

void load_session::remember_write(const request_record& request)
{
    if (request.kind->is_read() || request.outcome != verdict::done)
        return;
    own_writes_.push_back({request.group, request.kind, request.id});
    if (own_writes_.size() > max_own_writes)
        own_writes_.pop_front();
}

} // namespace zinniahub::load
