#include "pooling/service_gateway.hpp"

#include <zinniahub/sampler_choice.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

// What a service gateway knows of the primary: samples of its position, and
// proofs that it leads.

namespace zinniahub::pooling
{

namespace asio = boost::asio;

namespace
{

/// Commands that take no slot are answered in a round trip.
constexpr duration command_timeout = std::chrono::milliseconds(500);

/// Part of the staleness bound reserved for sending a read to the member.
constexpr duration staleness_margin = std::chrono::milliseconds(200);

/// Age of the newest sample at which another one is taken.
constexpr duration sample_interval = std::chrono::milliseconds(300);

/// Time after a question of another host for which the primary is sampled.
constexpr duration sampling_period = std::chrono::seconds(2);

/// Time for which an acknowledged commit waits for a new proof that its member
/// leads.
constexpr duration commit_proof_limit = std::chrono::milliseconds(500);

/// Interval between questions whether a replica has received a commit.
constexpr duration hold_poll_interval = std::chrono::milliseconds(20);

/// Age of a registration from which the holder of the promotion duty knows the
/// member and has paused it if needed.
constexpr duration newcomer_delay = std::chrono::seconds(3);

} // namespace

std::optional<log_position>
service_gateway::required_position(time_point now, duration max_staleness)
{
    if (needs_sample(now))
    {
        refresh_position();
    }
    return samples_.required_position(now, max_staleness - staleness_margin);
}

awaitable<std::optional<log_position>>
service_gateway::wait_for_position(duration max_staleness, time_point until)
{
    while (true)
    {
        const auto now = clock::now();
        const auto required = required_position(now, max_staleness);
        if (required || now >= until)
        {
            co_return required;
        }
        co_await wait_for_sample(until);
    }
}

awaitable<void> service_gateway::wait_for_sample(time_point until)
{
    asio::steady_timer timer(io_);
    timer.expires_after(std::min<duration>(
        until - clock::now(), sampler_choice::reply_timeout));
    position_waiters_.push_back(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    position_waiters_.remove(&timer);
}

awaitable<bool> service_gateway::wait_for_primary_proof(time_point until)
{
    return wait_for_proof({}, until);
}

awaitable<bool> service_gateway::still_leads(std::string instance)
{
    return wait_for_proof(
        std::move(instance), clock::now() + commit_proof_limit);
}

awaitable<bool>
service_gateway::wait_for_proof(std::string instance, time_point until)
{
    while (true)
    {
        const auto now = clock::now();
        const auto& wanted = instance.empty() ? proof_.instance() : instance;
        const bool proven = is_proven_primary(wanted, now);
        if (proof_required_ && needs_sample(now))
        {
            refresh_position();
        }
        if (proven || now >= until)
        {
            co_return proven;
        }
        co_await wait_for_sample(until);
    }
}

void service_gateway::on_new_position()
{
    positions_.on_position(definition_.name);
    for (auto* timer : position_waiters_)
    {
        timer->cancel();
    }
}

void service_gateway::on_peer_position(
    time_point asked_at, duration age, log_position position,
    std::string_view instance)
{
    ++positions_received_;
    // The other host answered after it was asked, so the position is at most
    // this old.
    const auto known_at = asked_at - age;
    if (proof_required_)
    {
        if (instance.empty())
        {
            return;
        }
        proof_.add(instance, known_at);
        if (proof_.instance() == instance)
        {
            set_primary(instance, known_at);
        }
    }
    samples_.add(known_at, position);
    on_new_position();
}

std::optional<std::pair<log_position, duration>>
service_gateway::newest_position(time_point now) const
{
    const auto position = samples_.newest_position();
    if (!position || (proof_required_ && proof_.instance().empty()))
    {
        return std::nullopt;
    }
    const auto known_at =
        proof_required_
            ? std::min(samples_.newest_sample_time(), proof_.asked_at())
            : samples_.newest_sample_time();
    return std::pair(*position, now - known_at);
}

void service_gateway::on_primary_confirmed(
    std::string_view instance, time_point sent_at,
    std::optional<log_position> position)
{
    if (!is_proven_primary(instance, sent_at))
    {
        return;
    }
    if (position)
    {
        samples_.add(sent_at, *position);
        on_new_position();
    }
    set_primary(instance, sent_at);
}

void service_gateway::set_primary(std::string_view instance, time_point sent_at)
{
    if (instance != primary_.instance)
    {
        events_.write(
            "primary_changed", {{"service", definition_.name},
                                {"from", primary_.instance},
                                {"to", instance}});
        primary_.instance = instance;
        led_term_ = 0;
    }
    primary_.confirmed_at = std::max(primary_.confirmed_at, sent_at);
    primary_outage_.on_present(clock::now());
}

bool service_gateway::needs_sample(time_point now) const
{
    const bool needs_proof =
        proof_required_ && now - primary_proof::refresh_age > proof_.asked_at();
    return needs_proof || now - sample_interval > samples_.newest_sample_time();
}

void service_gateway::sample_if_requested(time_point now)
{
    if (samples_.newest_sample_time() == time_point::min())
    {
        // The first reads need a position.
        refresh_position();
    }
    if (now - sampling_period < position_requested_at_ && needs_sample(now))
    {
        start_sampling();
    }
}

void service_gateway::on_position_requested(time_point now)
{
    position_requested_at_ = now;
    if (needs_sample(now))
    {
        start_sampling();
    }
}

void service_gateway::refresh_position()
{
    if (!sampling_ && !positions_.request_position(definition_.name))
    {
        start_sampling();
    }
}

void service_gateway::start_sampling()
{
    if (!sampling_ && !last_customer_.empty())
    {
        sampling_ = true;
        asio::co_spawn(io_, sample(), asio::detached);
    }
}

awaitable<connection_lease> service_gateway::acquire_for_sample()
{
    const auto members = primary_candidates(view(), clock::now());
    if (!members.empty())
    {
        const auto& instance = members.front()->record.instance;
        auto idle = pools_.of(instance).take_any_idle();
        if (idle != nullptr)
        {
            co_return connection_lease(
                *this, instance, std::move(idle), duration{});
        }
    }
    const std::string customer = last_customer_;
    const session_values session;
    access_request request;
    request.customer = customer;
    request.session = &session;
    request.wait_until = clock::now() + sample_interval;
    request.wait_until_busy = request.wait_until;
    request.may_be_refused_early = false;
    auto lease = co_await acquire_primary(request);
    if (!lease)
    {
        co_return connection_lease{};
    }
    co_return std::move(*lease);
}

awaitable<void> service_gateway::sample()
{
    auto lease = co_await acquire_for_sample();
    if (lease)
    {
        ++samples_taken_;
        const auto sent_at = clock::now();
        const std::string instance = lease.instance();
        const auto answer =
            co_await lease.run({.kind = command_kind::begin}, command_timeout);
        if (answer && answer->ok())
        {
            lease.roll_back();
            if (proof_required_ && answer->position)
            {
                co_await prove_primary(instance, sent_at, *answer->position);
            }
            on_primary_confirmed(instance, sent_at, answer->position);
        }
    }
    sampling_ = false;
    if (needs_sample(clock::now()))
    {
        // The primary is unreachable or has no spare connection.
        positions_.on_sample_failed(definition_.name);
    }
}

awaitable<connection_lease>
service_gateway::acquire_for_command(std::string instance)
{
    auto& pool = pools_.of(instance);
    auto connection = pool.take_any_idle();
    const auto* member = find_member(instance);
    const auto now = clock::now();
    if (connection == nullptr && member != nullptr &&
        pool.availability_for(last_customer_, now) !=
            member_pool::availability::none)
    {
        connection = co_await opener_.open(
            address_of(*member, last_customer_), now + sample_interval);
    }
    if (connection == nullptr)
    {
        co_return connection_lease{};
    }
    co_return connection_lease(
        *this, std::move(instance), std::move(connection), duration{});
}

awaitable<std::optional<replication_status>>
service_gateway::control_member(std::string instance, command value)
{
    auto lease = co_await acquire_for_command(std::move(instance));
    if (!lease)
    {
        co_return std::nullopt;
    }
    const auto answer = co_await lease.run(value, command_timeout);
    if (!answer)
    {
        lease.close();
        co_return std::nullopt;
    }
    co_return answer->status_row;
}

std::vector<std::string> service_gateway::replicas_for_proof(
    std::string_view primary, time_point now) const
{
    std::vector<std::string> replicas;
    for (const auto& [instance, member] : directory_.members())
    {
        const auto* pool = pools_.find(instance);
        if (member.record.service == definition_.name && instance != primary &&
            member.missing_since == never &&
            !directory_.is_out_of_reach(member) &&
            now - newcomer_delay > member.known_since &&
            (pool == nullptr || !pool->is_suspect(now)))
        {
            replicas.push_back(instance);
        }
    }
    if (!replicas.empty())
    {
        std::rotate(
            replicas.begin(),
            replicas.begin() +
                static_cast<std::ptrdiff_t>(samples_taken_ % replicas.size()),
            replicas.end());
    }
    return replicas;
}

awaitable<bool>
service_gateway::leads_in_term(std::string instance, std::uint64_t term)
{
    if (instance == primary_.instance && led_term_ == term)
    {
        co_return true;
    }
    const auto status =
        co_await control_member(instance, {.kind = command_kind::status});
    if (status && status->primary && status->term < term)
    {
        events_.write(
            "primary_refuted", {{"service", definition_.name},
                                {"instance", instance},
                                {"term", status->term},
                                {"replica_term", term}});
        pools_.of(instance).deny_primary(clock::now());
        proof_.on_refuted(instance);
    }
    const bool leads = status && status->primary && status->term == term;
    if (leads)
    {
        set_primary(instance, primary_.confirmed_at);
        led_term_ = term;
    }
    co_return leads;
}

awaitable<void> service_gateway::prove_primary(
    std::string instance, time_point sent_at, log_position position)
{
    std::uint64_t newest_term = 0;
    std::uint64_t confirmed_term = 0;
    for (const auto& replica : replicas_for_proof(instance, sent_at))
    {
        const auto status =
            co_await control_member(replica, {.kind = command_kind::status});
        if (!status)
        {
            continue;
        }
        newest_term = std::max(newest_term, status->term);
        if (!status->primary && status->paused_term <= status->term)
        {
            confirmed_term = std::max(confirmed_term, status->term);
        }
        if (confirmed_term > 0 && proof_.is_renewable(instance, clock::now()))
        {
            break;
        }
    }
    if (newest_term == 0)
    {
        co_return;
    }
    bool leads = position.term == newest_term;
    if (!leads)
    {
        leads = co_await leads_in_term(instance, newest_term);
    }
    if (leads && confirmed_term == newest_term)
    {
        proof_.add(instance, sent_at);
    }
}

awaitable<bool>
service_gateway::has_received(std::string instance, log_position position)
{
    const auto status =
        co_await control_member(std::move(instance), {command_kind::status});
    // The log of a member that leads a later term may lack the commit.
    co_return status && status->received.term == position.term &&
        status->received >= position;
}

awaitable<bool> service_gateway::may_pass_on(
    std::string instance, log_position position, time_point until)
{
    asio::steady_timer timer(io_);
    auto required = hold_.required_member(instance, position, clock::now());
    while (required)
    {
        if (required->empty() || clock::now() >= until)
        {
            co_return false;
        }
        const bool received = co_await has_received(*required, position);
        const auto asked = std::move(required);
        required = hold_.required_member(instance, position, clock::now());
        if (received && required == asked)
        {
            break;
        }
        if (required)
        {
            timer.expires_after(hold_poll_interval);
            co_await timer.async_wait(asio::use_awaitable);
            required = hold_.required_member(instance, position, clock::now());
        }
    }
    hold_.on_passed_on(position);
    co_return true;
}

} // namespace zinniahub::pooling
