#include "pooling/service_gateway.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <tuple>

namespace zinniahub::pooling
{

namespace asio = boost::asio;

namespace
{

/// A member in the same region that does not answer a connection attempt in
/// this time is down or cut off.
constexpr duration connect_timeout = std::chrono::milliseconds(400);

/// Commands that take no slot are answered in a round trip.
constexpr duration command_timeout = std::chrono::milliseconds(500);

/// Part of the staleness bound left for the way of a read to the member.
constexpr duration staleness_margin = std::chrono::milliseconds(200);

/// Age of the newest sample at which another one is taken.
constexpr duration sample_interval = std::chrono::milliseconds(300);

/// A member that answers nothing for this long while a call waits is probed by
/// a new connection; statements alone may take longer.
constexpr duration silence_limit = std::chrono::milliseconds(250);
constexpr duration probe_timeout = std::chrono::milliseconds(250);

/// Pause between attempts while no member is usable.
constexpr duration retry_pause = std::chrono::milliseconds(40);

/// Time after which waiting requests mean a lasting overload. New requests then
/// wait less, because waiting helps in short bursts only.
constexpr duration congestion_time = std::chrono::milliseconds(150);

constexpr auto max_waiting = std::size_t{2048};

} // namespace

connection_lease::connection_lease(
    service_gateway& gateway, std::string instance, pooled_ptr connection)
    : gateway_(&gateway)
    , instance_(std::move(instance))
    , connection_(std::move(connection))
{
}

connection_lease::connection_lease(connection_lease&& other) noexcept
    : gateway_(other.gateway_)
    , instance_(std::move(other.instance_))
    , connection_(std::move(other.connection_))
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
        gateway_->give_back(instance_, std::move(connection_));
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

void connection_lease::forget(const prepared_statement& statement)
{
    connection_->values.on_unknown(statement);
}

void connection_lease::note(const result<reply>& answer, time_point sent_at)
{
    auto& pool = gateway_->pool_of(instance_);
    pool.on_call_ended(sent_at);
    if (answer)
    {
        pool.on_answer(*answer, clock::now());
        gateway_->note_lag(pool, *answer);
    }
    else
    {
        pool.on_call_failed(clock::now());
    }
}

awaitable<result<reply>> connection_lease::forward(
    std::string_view id, std::string_view text,
    std::optional<log_position> wait_for, duration timeout)
{
    const auto sent_at = clock::now();
    gateway_->pool_of(instance_).on_call(sent_at);
    auto answer =
        co_await connection_->link->forward(id, text, wait_for, timeout);
    note(answer, sent_at);
    co_return answer;
}

awaitable<result<reply>>
connection_lease::run(const command& value, duration timeout)
{
    const auto sent_at = clock::now();
    gateway_->pool_of(instance_).on_call(sent_at);
    auto answer = co_await connection_->link->run(value, timeout);
    note(answer, sent_at);
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
    // A failed step leaves unknown values behind, so the connection is closed.
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
        const auto name = shared_name(statement);
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
    asio::co_spawn(
        gateway.io_, gateway.roll_back(std::move(*this)), asio::detached);
}

service_gateway::service_gateway(
    asio::io_context& io, member_connector& connector,
    const upstream_directory& directory, service_definition definition,
    position_exchange& positions, log::event_log& events)
    : io_(io)
    , connector_(connector)
    , directory_(directory)
    , positions_(positions)
    , definition_(std::move(definition))
    , events_(events)
{
}

void service_gateway::set_definition(
    service_definition definition, std::size_t hosts, std::string_view customer)
{
    if (last_customer_.empty())
    {
        last_customer_ = customer;
    }
    definition_ = std::move(definition);
    hosts_ = std::max<std::size_t>(hosts, 1);
    for (auto& [instance, pool] : pools_)
    {
        pool.set_limits(pool_limits());
    }
}

member_pool::limits service_gateway::pool_limits() const
{
    const auto limit = definition_.max_connections;
    const auto share = limit / static_cast<std::uint32_t>(hosts_);
    return {
        std::max<std::uint32_t>(share, 1),
        std::max<std::uint32_t>(share / 2, 1), limit};
}

member_pool& service_gateway::pool_of(const std::string& instance)
{
    const auto found = pools_.find(instance);
    if (found != pools_.end())
    {
        return found->second;
    }
    auto& pool = pools_[instance];
    pool.set_limits(pool_limits());
    return pool;
}

const upstream_state*
service_gateway::member_of(std::string_view instance) const
{
    const auto found = directory_.members().find(instance);
    return found == directory_.members().end() ? nullptr : &found->second;
}

bool service_gateway::may_use_open(
    std::string_view instance, time_point now) const
{
    const auto* member = member_of(instance);
    return member != nullptr && directory_.accepts_open(*member, now);
}

std::vector<const upstream_state*>
service_gateway::primary_candidates(time_point now) const
{
    // Order: proved primary, registered primaries by the time they became it,
    // then any member, in case the registrations are out of date.
    std::vector<std::pair<std::tuple<int, time_point>, const upstream_state*>>
        ranked;
    for (const auto& [instance, member] : directory_.members())
    {
        if (member.record.service != definition_.name ||
            !directory_.accepts_open(member, now))
        {
            continue;
        }
        const auto pool = pools_.find(instance);
        const bool denied =
            pool != pools_.end() && pool->second.denied_primary(now);
        const bool suspect =
            pool != pools_.end() && pool->second.is_suspect(now);
        if (denied || suspect)
        {
            continue;
        }
        const bool registered = member.primary_since != time_point::min();
        int rank = 0;
        if (instance == primary_ && primary_proved_at_ > member.primary_since)
        {
            rank = 3;
        }
        else if (registered)
        {
            rank = member.primary_since > primary_proved_at_ ? 4 : 2;
        }
        ranked.push_back({{rank, member.primary_since}, &member});
    }
    std::sort(
        ranked.begin(), ranked.end(),
        [](const auto& left, const auto& right)
        { return left.first > right.first; });
    std::vector<const upstream_state*> members;
    members.reserve(ranked.size());
    for (const auto& [rank, member] : ranked)
    {
        members.push_back(member);
    }
    return members;
}

void service_gateway::note_lag(member_pool& pool, const reply& answer) const
{
    if (answer.position)
    {
        const auto now = clock::now();
        pool.set_position(
            *answer.position, samples_.lag_of(*answer.position, now), now);
    }
}

std::vector<const upstream_state*> service_gateway::read_candidates(
    const access_request& request, log_position position, time_point now) const
{
    struct candidate
    {
        std::tuple<int, std::uint32_t, std::uint64_t> cost;
        const upstream_state* member;
    };
    std::vector<candidate> ranked;
    std::uint64_t turn = ticket_;
    const auto reached_at = samples_.reached_at(position, now);
    for (const auto& [instance, member] : directory_.members())
    {
        const auto excluded =
            std::find(
                request.excluded.begin(), request.excluded.end(), instance) !=
            request.excluded.end();
        if (member.record.service != definition_.name || excluded ||
            !directory_.accepts_new(member, now))
        {
            continue;
        }
        ++turn;
        const auto found = pools_.find(instance);
        if (found == pools_.end())
        {
            ranked.push_back({{1, 0, turn % 3}, &member});
            continue;
        }
        const auto& pool = found->second;
        const bool primary = instance == primary_;
        const bool behind =
            pool.position() < position && pool.lag(now) > now - reached_at;
        if (pool.is_suspect(now) || (!primary && behind))
        {
            continue;
        }
        const auto access = pool.availability_for(request.customer, now);
        ranked.push_back(
            {{static_cast<int>(access), 2 * pool.in_use() + (primary ? 1U : 0U),
              turn % 3},
             &member});
    }
    std::sort(
        ranked.begin(), ranked.end(),
        [](const candidate& left, const candidate& right)
        { return left.cost < right.cost; });
    std::vector<const upstream_state*> members;
    members.reserve(ranked.size());
    for (const auto& entry : ranked)
    {
        members.push_back(entry.member);
    }
    return members;
}

awaitable<result<connection_lease>>
service_gateway::take_primary(access_request& request)
{
    return take(request, purpose::primary, {});
}

awaitable<result<connection_lease>>
service_gateway::take_reader(access_request& request, log_position position)
{
    return take(request, purpose::read, position);
}

awaitable<result<connection_lease>> service_gateway::take_member(
    access_request& request, const std::optional<log_position>& position)
{
    return position ? take_reader(request, *position) : take_primary(request);
}

awaitable<result<connection_lease>> service_gateway::take(
    access_request& request, purpose use, log_position position)
{
    last_customer_ = request.customer;
    while (true)
    {
        const auto now = clock::now();
        ++ticket_;
        auto members = use == purpose::primary
                           ? primary_candidates(now)
                           : read_candidates(request, position, now);
        const bool usable = !members.empty();
        if (use == purpose::primary && members.size() > 1)
        {
            members.resize(1);
        }
        for (const auto* member : members)
        {
            auto& pool = pool_of(member->record.instance);
            const auto access = pool.availability_for(request.customer, now);
            if (access == member_pool::availability::none)
            {
                continue;
            }
            if (access == member_pool::availability::idle)
            {
                co_return connection_lease(
                    *this, member->record.instance,
                    pool.take_idle(request.customer, *request.session));
            }
            if (access == member_pool::availability::replace)
            {
                pool.close_oldest_idle();
            }
            auto lease = co_await open_connection(*member, request);
            if (lease)
            {
                co_return std::move(*lease);
            }
            break;
        }
        const auto until = usable && !is_congested(clock::now())
                               ? request.wait_until
                               : request.wait_until_busy;
        if (!co_await wait_for_release(request, use, until))
        {
            co_return fail(
                usable ? errc::queue_full
                       : (use == purpose::primary ? errc::no_primary
                                                  : errc::no_fresh_replica));
        }
    }
}

awaitable<result<connection_lease>> service_gateway::open_connection(
    const upstream_state& member, const access_request& request)
{
    const auto& record = member.record;
    member_address target{
        definition_.name, record.address, record.instance,
        std::string(request.customer)};
    // The request may give up before the member answers.
    auto attempt = std::make_shared<opening>(io_);
    attempt->timer.expires_after(
        std::max(request.wait_until - clock::now(), duration::zero()));
    pool_of(record.instance).on_opening();
    ++opened_;
    asio::co_spawn(io_, connect(std::move(target), attempt), asio::detached);
    boost::system::error_code ignored;
    co_await attempt->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    if (attempt->lease)
    {
        co_return std::move(attempt->lease);
    }
    attempt->abandoned = !attempt->ended;
    co_return fail(errc::member_unreachable);
}

awaitable<void> service_gateway::connect(
    member_address target, std::shared_ptr<opening> attempt)
{
    auto link = co_await connector_.connect(target, connect_timeout);
    auto& pool = pool_of(target.instance);
    attempt->ended = true;
    if (!link)
    {
        pool.on_open_failed(link.error(), clock::now());
        events_.write(
            "member_connect_failed",
            {{"service", definition_.name},
             {"instance", target.instance},
             {"reason", static_cast<int>(link.error().why)},
             {"code", to_string(link.error().code)}});
        attempt->timer.cancel();
        co_return;
    }
    pool.on_opened();
    auto connection = std::make_unique<pooled_connection>();
    connection->link = std::move(*link);
    connection->customer = std::move(target.customer);
    connection_lease lease(*this, target.instance, std::move(connection));
    if (!attempt->abandoned)
    {
        attempt->lease = std::move(lease);
        attempt->timer.cancel();
    }
}

bool service_gateway::is_congested(time_point now) const
{
    return waiting() > 0 && now - uncongested_at_ > congestion_time;
}

awaitable<bool> service_gateway::wait_for_release(
    const access_request& request, purpose use, time_point until)
{
    const auto now = clock::now();
    if (now >= until)
    {
        co_return false;
    }
    if (waiting() == 0)
    {
        uncongested_at_ = now;
    }
    auto& queues = use == purpose::primary ? primary_waiters_ : read_waiters_;
    auto& queue = queues[request.priority];
    if (queue == nullptr)
    {
        queue = std::make_unique<fair_queue>(
            fair_queue::settings{max_waiting, max_waiting});
    }
    waiter entry(io_);
    entry.deadline = until;
    if (!queue->push(request.customer, 1, entry))
    {
        co_return false;
    }
    // Members recover and registrations change without a release.
    entry.timer.expires_after(std::min<duration>(until - now, retry_pause));
    boost::system::error_code ignored;
    co_await entry.timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    if (!entry.woken)
    {
        queue->erase(entry);
    }
    co_return true;
}

void service_gateway::wake(queue_map& queues)
{
    for (auto& [priority, queue] : queues)
    {
        auto* entry = queue->pop();
        if (entry != nullptr)
        {
            auto& woken = static_cast<waiter&>(*entry);
            woken.woken = true;
            woken.timer.cancel();
            return;
        }
    }
}

void service_gateway::give_back(
    const std::string& instance, pooled_ptr connection)
{
    const auto now = clock::now();
    auto& pool = pool_of(instance);
    pool.put_back(std::move(connection), now);
    const auto* member = member_of(instance);
    if (member == nullptr || !directory_.accepts_new(*member, now))
    {
        // The primary stays in use until another one leads.
        if (instance != primary_ || member == nullptr ||
            !directory_.accepts_open(*member, now))
        {
            pool.close_all_idle();
        }
    }
    if (instance == primary_)
    {
        wake(primary_waiters_);
    }
    wake(read_waiters_);
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

std::optional<log_position>
service_gateway::required_position(time_point now, duration max_staleness)
{
    if (now - sample_interval > samples_.newest())
    {
        start_sampling();
    }
    return samples_.required(now, max_staleness - staleness_margin);
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
        asio::steady_timer timer(io_);
        timer.expires_after(until - now);
        position_waiters_.push_back(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        position_waiters_.remove(&timer);
    }
}

void service_gateway::wake_position_waiters()
{
    for (auto* timer : position_waiters_)
    {
        timer->cancel();
    }
}

void service_gateway::on_position_learnt(
    time_point asked_at, duration age, log_position position)
{
    // The other host answered after it was asked, so the position is at most
    // this old.
    samples_.add(asked_at - age, position);
    wake_position_waiters();
}

std::optional<std::pair<log_position, duration>>
service_gateway::newest_position(time_point now) const
{
    const auto position = samples_.position();
    if (!position)
    {
        return std::nullopt;
    }
    return std::pair(*position, now - samples_.newest());
}

void service_gateway::on_primary_proved(
    std::string_view instance, time_point sent_at,
    std::optional<log_position> position)
{
    if (position)
    {
        samples_.add(sent_at, *position);
        wake_position_waiters();
    }
    if (instance != primary_)
    {
        events_.write(
            "primary_changed", {{"service", definition_.name},
                                {"from", primary_},
                                {"to", instance}});
        primary_ = instance;
    }
    primary_proved_at_ = std::max(primary_proved_at_, sent_at);
}

void service_gateway::start_sampling()
{
    if (!sampling_ && !last_customer_.empty())
    {
        sampling_ = true;
        asio::co_spawn(io_, sample(), asio::detached);
    }
}

awaitable<connection_lease> service_gateway::take_for_sample()
{
    const auto members = primary_candidates(clock::now());
    if (!members.empty())
    {
        const auto& instance = members.front()->record.instance;
        auto idle = pool_of(instance).take_any_idle();
        if (idle != nullptr)
        {
            co_return connection_lease(*this, instance, std::move(idle));
        }
    }
    const std::string customer = last_customer_;
    const session_values session;
    access_request request;
    request.customer = customer;
    request.session = &session;
    request.wait_until = clock::now() + sample_interval;
    request.wait_until_busy = request.wait_until;
    auto lease = co_await take_primary(request);
    if (!lease)
    {
        co_return connection_lease{};
    }
    co_return std::move(*lease);
}

awaitable<void> service_gateway::sample()
{
    auto lease = co_await take_for_sample();
    if (lease)
    {
        const auto sent_at = clock::now();
        const auto answer =
            co_await lease.run({.kind = command_kind::begin}, command_timeout);
        if (answer && answer->ok())
        {
            on_primary_proved(lease.instance(), sent_at, answer->position);
            lease.roll_back();
        }
    }
    sampling_ = false;
    if (clock::now() - sample_interval > samples_.newest())
    {
        // The primary is out of reach or has no connection to spare.
        positions_.ask_position(definition_.name);
        if (!position_waiters_.empty())
        {
            start_sampling();
        }
    }
}

void service_gateway::probe_silent_members(time_point now)
{
    for (auto& [instance, pool] : pools_)
    {
        const auto* member = member_of(instance);
        const bool silent = now - pool.waiting_since() > silence_limit &&
                            now - pool.answered_at() > silence_limit;
        const bool down = pool.is_unreachable() && !pool.is_suspect(now);
        if (member != nullptr && (silent || down) && !last_customer_.empty() &&
            directory_.accepts_open(*member, now) &&
            probing_.insert(instance).second)
        {
            asio::co_spawn(
                io_,
                probe(
                    {definition_.name, member->record.address, instance,
                     last_customer_}),
                asio::detached);
        }
    }
}

awaitable<void> service_gateway::probe(member_address target)
{
    pool_of(target.instance).on_opening();
    ++opened_;
    auto link = co_await connector_.connect(target, probe_timeout);
    auto& pool = pool_of(target.instance);
    probing_.erase(target.instance);
    if (!link)
    {
        pool.on_open_failed(link.error(), clock::now());
        co_return;
    }
    pool.on_opened();
    auto connection = std::make_unique<pooled_connection>();
    connection->link = std::move(*link);
    connection->customer = std::move(target.customer);
    connection_lease lease(*this, target.instance, std::move(connection));
}

service_gateway::reach service_gateway::members_in_reach() const
{
    reach count;
    for (const auto& [instance, member] : directory_.members())
    {
        if (member.record.service != definition_.name ||
            member.missing_since != never)
        {
            continue;
        }
        ++count.members;
        const auto pool = pools_.find(instance);
        count.unreachable +=
            pool != pools_.end() && pool->second.is_unreachable() ? 1 : 0;
    }
    return count;
}

void service_gateway::on_tick()
{
    const auto now = clock::now();
    probe_silent_members(now);
    if (samples_.newest() == time_point::min())
    {
        // The first reads need a position.
        start_sampling();
    }
    for (auto entry = pools_.begin(); entry != pools_.end();)
    {
        const auto* member = member_of(entry->first);
        auto& pool = entry->second;
        if (member == nullptr || !directory_.accepts_open(*member, now))
        {
            pool.close_all_idle();
        }
        else
        {
            pool.close_surplus(now);
        }
        entry = member == nullptr && pool.open() == 0 ? pools_.erase(entry)
                                                      : std::next(entry);
    }
}

std::vector<service_gateway::member_numbers> service_gateway::numbers() const
{
    std::vector<member_numbers> all;
    for (const auto& [instance, pool] : pools_)
    {
        all.push_back({instance, pool.in_use(), pool.open()});
    }
    return all;
}

std::size_t service_gateway::waiting() const
{
    std::size_t total = 0;
    for (const auto* queues : {&primary_waiters_, &read_waiters_})
    {
        for (const auto& [priority, queue] : *queues)
        {
            total += queue->size();
        }
    }
    return total;
}

} // namespace zinniahub::pooling
