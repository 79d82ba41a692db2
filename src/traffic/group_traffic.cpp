#include "traffic/group_traffic.hpp"

#include "upstream/channel.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace zinniahub::traffic
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{10};
/// Without requests, ticks only close idle connections. A host serves many
/// groups, so idle groups must cost little.
constexpr std::chrono::milliseconds idle_tick_interval{100};
constexpr std::chrono::milliseconds retry_delay{10};

errc errc_of(v1::MemberCode code)
{
    switch (code)
    {
    case v1::MEMBER_WRONG_TERM:
    case v1::MEMBER_NOT_PRIMARY:
        return errc::wrong_term;
    case v1::MEMBER_BEHIND:
        return errc::member_behind;
    case v1::MEMBER_QUIESCED:
        return errc::member_quiesced;
    case v1::MEMBER_TOO_MANY_CONNECTIONS:
        return errc::connection_limit_reached;
    case v1::MEMBER_STATEMENT_ERROR:
        return errc::statement_rejected;
    case v1::MEMBER_ABORTED:
        return errc::transaction_aborted;
    default:
        return errc::reply_mismatch;
    }
}

/// A request that never reached the member put no load on it, so sending it
/// again does not count against the retry budget.
bool is_unsent(errc code)
{
    return code == errc::member_unreachable ||
           code == errc::connection_limit_reached;
}

std::string counter_name(std::string_view metric, std::string_view group)
{
    return fmt::format(
        "zinniahub_{}_total{{group=\"{}\"}}", metric,
        metrics::escape_label(group));
}

log_position position_of(const v1::MemberReply& reply)
{
    return {reply.position().term(), reply.position().index()};
}

bool is_usable_after(errc code)
{
    return code != errc::reply_mismatch &&
           code != errc::connection_limit_reached;
}

attempt_outcome delivery_of(result<v1::MemberReply> reply)
{
    if (!reply)
    {
        return {tl::make_unexpected(reply.error()), true};
    }
    if (reply->code() != v1::MEMBER_OK)
    {
        const auto code = errc_of(reply->code());
        return {fail(code, reply->detail()), !is_usable_after(code)};
    }
    answer outcome;
    outcome.rows.assign(
        std::make_move_iterator(reply->mutable_rows()->begin()),
        std::make_move_iterator(reply->mutable_rows()->end()));
    outcome.position = position_of(*reply);
    return {std::move(outcome), false};
}

} // namespace

group_traffic::group_traffic(
    boost::asio::thread_pool& threads, const traffic_policy& policy,
    metrics::registry& metrics, std::uint64_t uid, std::string name)
    : strand_(boost::asio::make_strand(threads))
    , timer_(strand_)
    , policy_(policy)
    , retries_(metrics.counter_of(counter_name("retries", name)))
    , mismatched_replies_(
          metrics.counter_of(counter_name("crossed_replies", name)))
    , shed_requests_(metrics.counter_of(counter_name("shed_requests", name)))
    , uid_(uid)
    , name_(std::move(name))
{
}

void group_traffic::start()
{
    boost::asio::post(
        strand_, [self = shared_from_this()] { self->schedule_tick(); });
}

void group_traffic::stop()
{
    boost::asio::post(
        strand_,
        [self = shared_from_this()]
        {
            self->stopped_ = true;
            self->requeue_waiting();
            for (auto& entry : std::exchange(self->deferred_, {}))
            {
                entry->complete(fail(errc::group_unknown, self->name_));
            }
            for (const auto& pool : self->pools_)
            {
                pool->close_idle();
            }
        });
}

void group_traffic::submit(request::pointer entry)
{
    boost::asio::post(
        strand_,
        [self = shared_from_this(), entry = std::move(entry)]
        {
            self->budget_.on_request(clock::now());
            self->route(entry);
        });
}

void group_traffic::begin(
    request::pointer entry, group_transactions::open_handler opened)
{
    boost::asio::post(
        strand_,
        [self = shared_from_this(), entry = std::move(entry),
         opened = std::move(opened)]
        {
            self->transactions_.add_open_handler(*entry, opened);
            // The handler is removed whenever the request completes.
            auto done = std::move(entry->on_done);
            entry->on_done = [self, &begin = *entry,
                              done = std::move(done)](result<answer> outcome)
            {
                self->transactions_.remove_open_handler(begin);
                done(std::move(outcome));
            };
            self->budget_.on_request(clock::now());
            self->route(entry);
        });
}

// Choice of a member and queueing

result<std::size_t> group_traffic::choose(const request& entry) const
{
    if (!entry.is_autocommit_read())
    {
        return policy_.router->choose_write(view_, entry.min_position);
    }
    read_request wanted;
    wanted.min_position = entry.min_position;
    wanted.selection_seed = entry.routing_sequence;
    wanted.local_domain = policy_.local_domain;
    return policy_.router->choose_read(view_, wanted);
}

void group_traffic::route(const request::pointer& entry)
{
    const auto now = clock::now();
    leave_idle_mode();
    if (stopped_)
    {
        entry->complete(fail(errc::group_unknown, name_));
        return;
    }
    if (now >= entry->deadline)
    {
        entry->complete(fail(errc::deadline_exceeded, "no member in time"));
        return;
    }
    entry->routing_sequence = ++last_routing_sequence_;
    for (std::size_t i = 0; i < pools_.size(); ++i)
    {
        view_.members[i].load = pools_[i]->load();
    }
    const auto chosen = choose(*entry);
    if (!chosen)
    {
        defer(entry);
        return;
    }
    auto& pool = *pools_[*chosen];
    auto shed = pool.push(entry);
    if (!shed)
    {
        shed_requests_.fetch_add(1);
        entry->complete(tl::make_unexpected(shed.error()));
        return;
    }
    if (*shed)
    {
        shed_requests_.fetch_add(1);
        (*shed)->complete(fail(errc::queue_full, "shed under overload"));
    }
    pool.process_queue(now);
}

void group_traffic::defer(request::pointer entry)
{
    if (deferred_.size() >= policy_.queue.max_total)
    {
        shed_requests_.fetch_add(1);
        entry->complete(fail(errc::queue_full, "no member can serve"));
        return;
    }
    deferred_.push_back(std::move(entry));
}

void group_traffic::retry_deferred(time_point now)
{
    std::vector<request::pointer> waiting;
    waiting.swap(deferred_);
    for (auto& entry : waiting)
    {
        if (entry->not_before > now && entry->deadline > now)
        {
            deferred_.push_back(std::move(entry));
        }
        else
        {
            route(entry);
        }
    }
}

void group_traffic::requeue_waiting()
{
    for (const auto& pool : pools_)
    {
        while (auto entry = pool->pop())
        {
            deferred_.push_back(std::move(entry));
        }
    }
}

// Sending and replies

void group_traffic::send(
    std::size_t member, request::pointer entry,
    upstream::member_connection::pointer connection)
{
    attempt sent;
    sent.entry = std::move(entry);
    sent.target = {
        pools_[member], std::move(connection), view_.members[member].name,
        view_.term};
    sent.replica = member != view_.primary;
    transmit(std::move(sent));
}

void group_traffic::transmit(attempt sent)
{
    auto& entry = *sent.entry;
    ++entry.attempts;
    v1::MemberRequest message;
    message.set_group_uid(uid_);
    message.set_operation(entry.operation);
    message.set_access(entry.access);
    message.set_text(entry.text);
    if (!sent.owner)
    {
        message.mutable_min_position()->set_term(entry.min_position.term);
        message.mutable_min_position()->set_index(entry.min_position.index);
    }
    if (sent.owner || !entry.is_autocommit_read())
    {
        message.set_term(sent.target.term);
    }
    in_flight_.push_back({sent.entry, sent.target.connection});
    auto connection = sent.target.connection;
    connection->send(
        std::move(message),
        [self = shared_from_this(),
         sent = std::move(sent)](result<v1::MemberReply> reply) mutable
        {
            boost::asio::post(
                self->strand_, [self, sent = std::move(sent),
                                reply = std::move(reply)]() mutable
                { self->on_reply(std::move(sent), std::move(reply)); });
        });
}

void group_traffic::on_reply(attempt sent, result<v1::MemberReply> reply)
{
    std::erase_if(
        in_flight_, [&](const in_flight& item)
        { return item.connection == sent.target.connection; });
    auto delivered = read_reply(sent, std::move(reply));
    if (sent.owner)
    {
        on_transaction_reply(sent, std::move(delivered));
    }
    else
    {
        on_reply_outside_transaction(sent, std::move(delivered));
    }
    sent.target.pool->process_queue(clock::now());
}

attempt_outcome
group_traffic::read_reply(const attempt& sent, result<v1::MemberReply> reply)
{
    auto delivered = delivery_of(std::move(reply));
    if (!delivered.is_broken)
    {
        if (delivered.outcome)
        {
            delivered.outcome->served_by = sent.target.member;
            delivered.outcome->from_replica = sent.replica;
        }
        return delivered;
    }
    const auto code = delivered.outcome.error().code;
    if (code == errc::reply_mismatch)
    {
        mismatched_replies_.fetch_add(1);
    }
    if (code == errc::connection_limit_reached)
    {
        sent.target.pool->on_refused(clock::now());
    }
    return delivered;
}

void group_traffic::on_reply_outside_transaction(
    const attempt& sent, attempt_outcome reply)
{
    auto& outcome = reply.outcome;
    if (outcome && sent.entry->operation == v1::OPERATION_BEGIN)
    {
        transactions_.on_begun(*sent.entry, sent.target, std::move(*outcome));
        return;
    }
    if (reply.is_broken)
    {
        sent.target.pool->discard(sent.target.connection);
    }
    else
    {
        sent.target.pool->release(sent.target.connection, clock::now());
    }
    if (!outcome)
    {
        retry_or_fail(sent.entry, outcome.error());
    }
    else if (sent.entry->access == v1::ACCESS_WRITE)
    {
        confirm({sent.entry, sent.target.member, std::move(*outcome)});
    }
    else
    {
        sent.entry->complete(std::move(*outcome));
    }
}

void group_traffic::on_transaction_reply(
    const attempt& sent, attempt_outcome reply)
{
    auto committed =
        transactions_.on_reply(*sent.owner, *sent.entry, std::move(reply));
    if (committed)
    {
        confirm({sent.entry, sent.target.member, std::move(*committed)});
    }
}

// Confirmation of writes and retries

void group_traffic::confirm(unconfirmed_write write)
{
    const auto position = write.outcome.position;
    const auto primary = index_of(write.primary);
    if (primary != no_member)
    {
        auto& member = view_.members[primary];
        if (member.term == position.term)
        {
            member.position = std::max(member.position, position);
        }
    }
    if (!try_confirm(write))
    {
        unconfirmed_.push_back(std::move(write));
    }
}

bool group_traffic::try_confirm(unconfirmed_write& write)
{
    const auto position = write.outcome.position;
    if (write.entry->is_completed())
    {
        return true;
    }
    if (policy_.commit->is_satisfied(view_, index_of(write.primary), position))
    {
        write.entry->complete(std::move(write.outcome));
        return true;
    }
    if (policy_.commit->is_lost(view_, position))
    {
        retry_or_fail(
            write.entry,
            {errc::commit_unconfirmed, "a majority left the write's term"});
        return true;
    }
    return false;
}

void group_traffic::confirm_writes()
{
    for (auto write = unconfirmed_.begin(); write != unconfirmed_.end();)
    {
        write =
            try_confirm(*write) ? unconfirmed_.erase(write) : std::next(write);
    }
}

void group_traffic::retry_or_fail(request::pointer entry, const error& failure)
{
    if (entry->is_completed())
    {
        return;
    }
    const auto now = clock::now();
    const bool in_time = now + retry_delay < entry->deadline;
    if (in_time && may_retry(failure.code, entry->is_repeatable()) &&
        (is_unsent(failure.code) || budget_.try_retry(now)))
    {
        retries_.fetch_add(1);
        if (verdict_of(failure.code) == verdict::unknown &&
            !entry->is_autocommit_read())
        {
            entry->unknown_outcome_error = failure;
        }
        entry->not_before = now + retry_delay;
        defer(std::move(entry));
        return;
    }
    entry->complete(tl::make_unexpected(failure));
}

// Transactions

void group_traffic::submit_in_transaction(
    transaction_pointer owner, request::pointer entry)
{
    boost::asio::post(
        strand_,
        [self = shared_from_this(), owner = std::move(owner),
         entry = std::move(entry)]
        {
            auto pinned = self->transactions_.reserve_connection(*owner);
            if (!pinned)
            {
                entry->complete(tl::make_unexpected(pinned.error()));
                return;
            }
            self->leave_idle_mode();
            attempt sent;
            sent.entry = entry;
            sent.target = std::move(*pinned);
            sent.owner = owner;
            self->transmit(std::move(sent));
        });
}

void group_traffic::roll_back(transaction_pointer owner)
{
    boost::asio::post(
        strand_, [self = shared_from_this(), owner = std::move(owner)]
        { self->transactions_.roll_back(*owner); });
}

// Views and statuses

std::size_t group_traffic::index_of(std::string_view member) const
{
    const auto found = std::find_if(
        view_.members.begin(), view_.members.end(),
        [&](const member_view& candidate) { return candidate.name == member; });
    return found == view_.members.end()
               ? no_member
               : static_cast<std::size_t>(found - view_.members.begin());
}

std::shared_ptr<member_pool> group_traffic::make_pool(const member_view& member)
{
    auto channel = upstream::make_channel(member.address);
    std::shared_ptr<v1::Member::Stub> stub = v1::Member::NewStub(channel);
    auto weak = weak_from_this();
    auto connect = [weak, stub](upstream::member_connection::open_handler done)
    {
        return upstream::member_connection::open(
            *stub,
            [weak, stub, done = std::move(done)](const result<void>& outcome)
            {
                if (auto self = weak.lock())
                {
                    boost::asio::post(
                        self->strand_,
                        [self, done, outcome] { done(outcome); });
                }
            });
    };
    auto transmit_on = [weak, name = member.name](
                           request::pointer entry,
                           upstream::member_connection::pointer connection)
    {
        auto self = weak.lock();
        const auto index = self ? self->index_of(name) : no_member;
        if (index != no_member)
        {
            self->send(index, std::move(entry), std::move(connection));
        }
    };
    auto pool = std::make_shared<member_pool>(
        policy_.queue, *policy_.connections, std::move(connect),
        std::move(transmit_on));
    pool->set_host_count(host_count_);
    return pool;
}

void group_traffic::on_view(group_view view)
{
    boost::asio::post(
        strand_,
        [self = shared_from_this(), view = std::move(view)]() mutable
        {
            self->requeue_waiting();
            auto old_view = std::exchange(self->view_, std::move(view));
            auto old_pools = std::exchange(self->pools_, {});
            for (const auto& member : self->view_.members)
            {
                std::shared_ptr<member_pool> pool;
                for (std::size_t i = 0; i < old_view.members.size(); ++i)
                {
                    const auto& old = old_view.members[i];
                    if (old.name == member.name &&
                        old.address == member.address)
                    {
                        pool = std::exchange(old_pools[i], nullptr);
                    }
                }
                self->pools_.push_back(pool ? pool : self->make_pool(member));
            }
            for (const auto& pool : old_pools)
            {
                if (pool)
                {
                    pool->close_idle();
                }
            }
            for (std::size_t i = 0; i < self->pools_.size(); ++i)
            {
                self->pools_[i]->set_in_service(
                    self->view_.members[i].in_service);
                const bool silent = !self->view_.members[i].reachable;
                const bool replaced = self->view_.primary != no_member &&
                                      i != self->view_.primary;
                if (silent && replaced)
                {
                    self->pools_[i]->close_idle();
                    self->pools_[i]->close_busy();
                }
            }
            self->confirm_writes();
            self->retry_deferred(clock::now());
        });
}

void group_traffic::on_status(std::string member, const member_status& status)
{
    boost::asio::post(
        strand_,
        [self = shared_from_this(), member = std::move(member), status]
        {
            const auto index = self->index_of(member);
            if (index == no_member)
            {
                return;
            }
            auto& known = self->view_.members[index];
            known.term = status.term;
            known.role = status.role;
            known.position = status.position;
            self->pools_[index]->set_usage(
                status.connections, status.connection_limit);
            self->confirm_writes();
        });
}

void group_traffic::set_host_count(std::uint32_t hosts)
{
    boost::asio::post(
        strand_,
        [self = shared_from_this(), hosts]
        {
            self->host_count_ = hosts;
            for (const auto& pool : self->pools_)
            {
                pool->set_host_count(hosts);
            }
        });
}

void group_traffic::collect_loads(
    std::function<void(std::vector<std::pair<std::string, std::uint32_t>>)>
        done)
{
    boost::asio::post(
        strand_,
        [self = shared_from_this(), done = std::move(done)]
        {
            std::vector<std::pair<std::string, std::uint32_t>> loads;
            for (std::size_t i = 0; i < self->pools_.size(); ++i)
            {
                loads.emplace_back(
                    self->view_.members[i].name, self->pools_[i]->load());
            }
            done(std::move(loads));
        });
}

// Time

void group_traffic::expire(time_point now)
{
    for (const auto& pool : pools_)
    {
        while (auto entry = pool->pop_expired(now))
        {
            entry->complete(fail(errc::deadline_exceeded, "waited in queue"));
        }
    }
    for (const auto& item : in_flight_)
    {
        if (now >= item.entry->deadline)
        {
            item.entry->complete(fail(errc::reply_timeout, "no reply in time"));
            item.connection->close();
        }
    }
    std::erase_if(
        unconfirmed_,
        [now](unconfirmed_write& write)
        {
            if (now < write.entry->deadline)
            {
                return false;
            }
            write.entry->complete(
                fail(errc::commit_unconfirmed, "no majority in time"));
            return true;
        });
}

void group_traffic::process_queues()
{
    const auto now = clock::now();
    for (const auto& pool : pools_)
    {
        pool->process_queue(now);
    }
}

void group_traffic::leave_idle_mode()
{
    if (idle_)
    {
        idle_ = false;
        schedule_tick();
    }
}

bool group_traffic::is_busy() const
{
    return !deferred_.empty() || !in_flight_.empty() || !unconfirmed_.empty() ||
           std::any_of(
               pools_.begin(), pools_.end(),
               [](const auto& pool) { return pool->waiting() > 0; });
}

void group_traffic::schedule_tick()
{
    timer_.expires_after(idle_ ? idle_tick_interval : tick_interval);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code failure)
        {
            if (!failure && self->needs_ticks())
            {
                self->tick();
                self->idle_ = !self->is_busy();
                self->schedule_tick();
            }
        });
}

bool group_traffic::needs_ticks() const
{
    // Requests still in progress when the group stops end at their deadline
    // at the latest, and deadlines are checked by ticks only.
    return !stopped_ || !in_flight_.empty() || !unconfirmed_.empty();
}

void group_traffic::tick()
{
    const auto now = clock::now();
    expire(now);
    retry_deferred(now);
    process_queues();
}

} // namespace zinniahub::traffic
