#include "pooling/service_gateway.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace zinniahub::pooling
{

namespace asio = boost::asio;

namespace
{

/// Commands that take no slot are answered in a round trip.
constexpr duration command_timeout = std::chrono::milliseconds(500);

/// A member that does not answer for this long while a call is pending is
/// probed with a new connection; a single statement may take longer.
constexpr duration silence_limit = std::chrono::milliseconds(250);

/// Pause between attempts while no member is usable.
constexpr duration retry_pause = std::chrono::milliseconds(40);

/// Time after which waiting requests mean a lasting overload. New requests then
/// wait less, because waiting helps only in short bursts.
constexpr duration congestion_time = std::chrono::milliseconds(150);

// Reasons for which a request gets no connection.
/// The time limit of the request is over.
constexpr std::string_view waited = "waited";
constexpr std::string_view queue_too_long = "queue_too_long";
constexpr std::string_view queue_full = "queue_full";
constexpr std::string_view no_primary = "no_primary";
constexpr std::string_view no_fresh_replica = "no_fresh_replica";
/// The failure domain of this host is cut off.
constexpr std::string_view out_of_reach = "out_of_reach";

/// Time until new connections of clients are routed past an unready host: two
/// failed probes at one a second.
constexpr duration rerouting_time = std::chrono::seconds(2);

} // namespace

service_gateway::service_gateway(
    asio::io_context& io, member_connector& connector,
    const upstream_directory& directory, service_definition definition,
    position_exchange& positions, log::event_log& events,
    std::uint64_t first_rotation)
    : io_(io)
    , directory_(directory)
    , positions_(positions)
    , definition_(std::move(definition))
    , events_(events)
    , opener_(
          io, connector, pools_, events,
          [this](const std::string& instance, pooled_connection_ptr connection)
          { release_connection(instance, std::move(connection)); })
    , rotation_(first_rotation)
{
}

void service_gateway::set_definition(
    service_definition definition, const idle_budget& budget,
    std::string_view customer)
{
    if (last_customer_.empty())
    {
        last_customer_ = customer;
    }
    definition_ = std::move(definition);
    pools_.set_limits(member_pool::limits::of(
        definition_.max_connections, budget.host_count()));
    idle_share_ =
        budget.share_of(definition_.name, definition_.max_connections);
    update_idle_allowances();
}

void service_gateway::judge_members(time_point now)
{
    const auto comparison = compare_members(view(), now);
    for (auto& [instance, pool] : pools_.all())
    {
        const auto& estimate = pool.estimate();
        const auto judgement = comparison.judge(estimate);
        // One that does not answer now is not compared.
        if (pool.is_suspect(now) || !pool.set_judgement(judgement))
        {
            continue;
        }
        events_.write(
            "member_judged",
            {{"service", definition_.name},
             {"instance", instance},
             {"judgement", to_string(judgement)},
             {"service_ms",
              to_seconds(estimate.service_time().value_or(duration::zero())) *
                  1000},
             {"failure_rate", estimate.failure_rate()}});
    }
}

void service_gateway::update_idle_allowances()
{
    std::size_t index = 0;
    for (const auto& [instance, member] : directory_.members())
    {
        if (member.record.service != definition_.name)
        {
            continue;
        }
        const auto pool = pools_.all().find(instance);
        if (pool != pools_.all().end())
        {
            pool->second.set_max_idle(idle_share_.allowance(index));
        }
        ++index;
    }
}

member_view service_gateway::view() const
{
    return {directory_, definition_.name, pools_, primary_, samples_};
}

member_address service_gateway::address_of(
    const upstream_state& member, std::string_view customer) const
{
    return {
        definition_.name, member.record.address, member.record.instance,
        std::string(customer)};
}

const upstream_state*
service_gateway::find_member(std::string_view instance) const
{
    const auto found = directory_.members().find(instance);
    return found == directory_.members().end() ? nullptr : &found->second;
}

bool service_gateway::may_use_open_connection(
    std::string_view instance, time_point now) const
{
    const auto* member = find_member(instance);
    return member != nullptr &&
           directory_.accepts_open_operations(*member, now);
}

void service_gateway::update_lag(member_pool& pool, const reply& answer) const
{
    if (answer.position)
    {
        const auto now = clock::now();
        pool.set_position(
            *answer.position, samples_.lag_of(*answer.position, now), now);
    }
}

awaitable<result<connection_lease>>
service_gateway::acquire_primary(access_request& request)
{
    return acquire(request, purpose::primary, {});
}

awaitable<result<connection_lease>>
service_gateway::acquire_reader(access_request& request, log_position position)
{
    return acquire(request, purpose::read, position);
}

awaitable<result<connection_lease>> service_gateway::acquire_member(
    access_request& request, const std::optional<log_position>& position)
{
    return position ? acquire_reader(request, *position)
                    : acquire_primary(request);
}

awaitable<result<connection_lease>> service_gateway::acquire(
    access_request& request, purpose use, log_position position)
{
    last_customer_ = request.customer;
    std::optional<waiter> entry;
    while (true)
    {
        const auto now = clock::now();
        ++rotation_;
        auto members =
            use == purpose::primary
                ? primary_candidates(view(), now)
                : read_candidates(
                      view(),
                      {request.customer, position, request.excluded, rotation_},
                      now);
        const bool usable = !members.empty();
        if (use == purpose::primary && members.size() > 1)
        {
            members.resize(1);
        }
        if (queue_.must_yield(use, entry ? &*entry : nullptr))
        {
            members.clear();
        }
        for (const auto* member : members)
        {
            auto& pool = pools_.of(member->record.instance);
            const auto access = pool.availability_for(request.customer, now);
            if (access == member_pool::availability::none)
            {
                continue;
            }
            if (entry)
            {
                wake(queue_.on_taken(*entry, now));
            }
            else
            {
                queue_.on_taken_at_once(use, request.priority, now);
            }
            if (use == purpose::read)
            {
                pool.estimate().on_chosen(rotation_, now);
            }
            if (access == member_pool::availability::idle)
            {
                co_return connection_lease(
                    *this, member->record.instance,
                    pool.take_idle(request.customer, *request.session),
                    request.latency_objective);
            }
            if (access == member_pool::availability::replace)
            {
                pool.close_oldest_idle();
            }
            const std::string instance = member->record.instance;
            auto opened = co_await opener_.open(
                address_of(*member, request.customer), request.wait_until);
            if (opened != nullptr)
            {
                co_return connection_lease(
                    *this, instance, std::move(opened),
                    request.latency_objective);
            }
            break;
        }
        const auto looked_at = clock::now();
        const bool congested =
            is_congested(entry ? &*entry : nullptr, looked_at);
        const auto until =
            usable && !congested ? request.wait_until : request.wait_until_busy;
        std::string_view refused;
        if (!usable && use == purpose::primary)
        {
            primary_outage_.on_missing(looked_at);
            if (request.may_be_refused_early && !may_have_primary(until))
            {
                refused = no_primary;
            }
        }
        if (refused.empty())
        {
            refused = co_await wait_for_release(request, use, until, entry);
        }
        if (!refused.empty())
        {
            if (entry)
            {
                wake(queue_.leave(*entry));
            }
            const auto missing =
                use == purpose::primary ? no_primary : no_fresh_replica;
            request.refusal =
                make_refusal(request, use, usable ? refused : missing);
            co_return fail(
                usable ? errc::queue_full
                       : (use == purpose::primary ? errc::no_primary
                                                  : errc::no_fresh_replica));
        }
    }
}

bool service_gateway::is_congested(const waiter* entry, time_point now)
{
    const auto others =
        queue_.waiting() - (entry != nullptr && entry->is_waiting() ? 1 : 0);
    if (others == 0)
    {
        last_uncongested_at_ = now;
    }
    return now - last_uncongested_at_ > congestion_time;
}

bool service_gateway::may_have_primary(time_point until) const
{
    bool any_member = false;
    for (const auto& [instance, member] : directory_.members())
    {
        if (member.record.service != definition_.name)
        {
            continue;
        }
        any_member = true;
        const auto* pool = pools_.find(instance);
        if (pool == nullptr || pool->may_become_primary(until))
        {
            return true;
        }
    }
    return !any_member;
}

wait_refusal service_gateway::make_refusal(
    const access_request& request, purpose use, std::string_view reason)
{
    ++refused_[reason];
    const auto now = clock::now();
    const auto delay =
        reason == no_primary
            ? primary_outage_.remaining(now)
            : queue_.retry_delay(use, request.priority, request.customer, now);
    return {
        reason,
        queue_.expected_wait(use, request.priority, request.customer, now),
        spread_retry_delay(delay, request.request_id)};
}

wait_refusal
service_gateway::refuse_without_primary(std::string_view request_id)
{
    ++refused_[no_primary];
    const auto now = clock::now();
    primary_outage_.on_missing(now);
    return {
        no_primary, std::nullopt,
        spread_retry_delay(primary_outage_.remaining(now), request_id)};
}

wait_refusal service_gateway::refuse_out_of_reach(std::string_view request_id)
{
    ++refused_[out_of_reach];
    return {
        out_of_reach, std::nullopt,
        spread_retry_delay(rerouting_time, request_id)};
}

std::string_view service_gateway::join_queue(waiter& entry, time_point until)
{
    const auto verdict = queue_.join(entry, until, clock::now());
    wake(verdict.shed);
    switch (verdict.outcome)
    {
    case admission_queue::decision::too_long:
        return queue_too_long;
    case admission_queue::decision::full:
        return queue_full;
    case admission_queue::decision::admitted:
        break;
    }
    return {};
}

awaitable<std::string_view> service_gateway::wait_for_release(
    const access_request& request, purpose use, time_point until,
    std::optional<waiter>& entry)
{
    const auto now = clock::now();
    if (now >= until)
    {
        co_return waited;
    }
    if (!entry)
    {
        entry.emplace(io_, use, request);
        const auto refused =
            join_queue(*entry, request.may_be_refused_early ? until : never);
        if (!refused.empty())
        {
            co_return refused;
        }
    }
    else if (!entry->is_waiting())
    {
        // No connection could be opened.
        queue_.put_back(*entry);
    }
    else if (entry->is_granted())
    {
        wake(queue_.pass_on(*entry));
    }
    // Members recover and registrations change without a release.
    entry->timer.expires_after(std::min<duration>(until - now, retry_pause));
    boost::system::error_code ignored;
    co_await entry->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    co_return entry->is_waiting() ? std::string_view{} : queue_full;
}

void service_gateway::wake(admission_queue::ticket* entry)
{
    if (entry != nullptr)
    {
        static_cast<waiter*>(entry)->timer.cancel();
    }
}

void service_gateway::wake_waiters(std::string_view instance)
{
    wake(queue_.on_release(instance == primary_.instance));
}

void service_gateway::release_connection(
    const std::string& instance, pooled_connection_ptr connection)
{
    const auto now = clock::now();
    auto& pool = pools_.of(instance);
    pool.return_connection(std::move(connection), now);
    const auto* member = find_member(instance);
    if (member == nullptr || !directory_.accepts_new_operations(*member, now))
    {
        // Connections to the primary are kept until another member is primary.
        if (instance != primary_.instance || member == nullptr ||
            !directory_.accepts_open_operations(*member, now))
        {
            pool.close_all_idle();
        }
    }
    wake_waiters(instance);
}

awaitable<void> service_gateway::roll_back(connection_lease lease)
{
    const auto answer =
        co_await lease.run({.kind = command_kind::rollback}, command_timeout);
    if (!answer || answer->state != transaction_state::none)
    {
        lease.close();
    }
}

void service_gateway::probe_silent_members(time_point now)
{
    for (auto& [instance, pool] : pools_.all())
    {
        const auto* member = find_member(instance);
        const bool silent = now - pool.oldest_call_sent_at() > silence_limit &&
                            now - pool.last_answer_at() > silence_limit;
        const bool down = pool.is_unreachable() && !pool.is_suspect(now);
        if (member != nullptr && (silent || down) && !last_customer_.empty() &&
            directory_.accepts_open_operations(*member, now))
        {
            opener_.probe(address_of(*member, last_customer_));
        }
    }
}

bool service_gateway::is_out_of_reach(
    const access_request& request, std::optional<duration> max_staleness,
    time_point now)
{
    if (!directory_.is_cut_off())
    {
        return false;
    }
    const bool lacks_primary = is_primary_out_of_reach(view(), now);
    const auto position = max_staleness && !request.needs_primary
                              ? required_position(now, *max_staleness)
                              : std::nullopt;
    if (!position)
    {
        return lacks_primary;
    }
    return read_candidates(
               view(),
               {request.customer, *position, request.excluded, rotation_}, now)
        .empty();
}

void service_gateway::add_answer_times(
    std::map<std::string, time_point, std::less<>>& times) const
{
    for (const auto& [instance, member] : directory_.members())
    {
        if (member.record.service != definition_.name ||
            member.missing_since != never)
        {
            continue;
        }
        auto& newest =
            times.try_emplace(member.record.failure_domain, time_point::min())
                .first->second;
        const auto* pool = pools_.find(instance);
        if (pool != nullptr)
        {
            newest = std::max(newest, pool->last_contact_at());
        }
    }
}

std::size_t
service_gateway::try_members(std::string_view domain, std::size_t limit)
{
    std::vector<const upstream_state*> members;
    for (const auto& [instance, member] : directory_.members())
    {
        if (member.record.service == definition_.name &&
            member.record.failure_domain == domain &&
            member.missing_since == never && !last_customer_.empty())
        {
            members.push_back(&member);
        }
    }
    const auto count = std::min(limit, members.size());
    for (std::size_t number = 0; number < count; ++number)
    {
        const auto& member = *members[tries_++ % members.size()];
        opener_.probe(address_of(member, last_customer_));
    }
    return count;
}

service_gateway::member_counts service_gateway::count_members() const
{
    member_counts count;
    for (const auto& [instance, member] : directory_.members())
    {
        if (member.record.service != definition_.name ||
            member.missing_since != never)
        {
            continue;
        }
        ++count.members;
        const auto* pool = pools_.find(instance);
        count.unreachable += pool != nullptr && pool->is_unreachable() ? 1 : 0;
    }
    return count;
}

void service_gateway::on_tick()
{
    const auto now = clock::now();
    probe_silent_members(now);
    sample_if_requested(now);
    judge_members(now);
    update_idle_allowances();
    auto& pools = pools_.all();
    for (auto entry = pools.begin(); entry != pools.end();)
    {
        const auto* member = find_member(entry->first);
        auto& pool = entry->second;
        if (member == nullptr ||
            !directory_.accepts_open_operations(*member, now))
        {
            pool.close_all_idle();
        }
        else
        {
            pool.close_surplus(now);
        }
        entry = member == nullptr && pool.connection_count() == 0
                    ? pools.erase(entry)
                    : std::next(entry);
    }
}

std::vector<service_gateway::member_connections>
service_gateway::connection_counts() const
{
    std::vector<member_connections> all;
    for (const auto& [instance, pool] : pools_.all())
    {
        all.push_back(
            {instance, pool.in_use(), pool.connection_count(),
             pool.idle_count(), pool.max_idle(), pool.estimate().service_time(),
             pool.estimate().failure_rate(),
             pool.judgement() != member_judgement::usable});
    }
    return all;
}

} // namespace zinniahub::pooling
