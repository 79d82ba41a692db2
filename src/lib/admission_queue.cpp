#include <zinniahub/admission_queue.hpp>

#include <algorithm>
#include <numeric>
#include <vector>

namespace zinniahub
{

namespace
{

/// Slots of `sliding_window_counter` that cover the time over which the rate is
/// measured.
constexpr std::size_t measured_slots = 20;
constexpr duration measured_time =
    measured_slots * sliding_window_counter::slot_length;

/// A stride is this number divided by the weight.
constexpr std::uint64_t stride_unit = 840;

/// Number of different delays for one base.
constexpr std::int64_t spread_steps = 512;

/// FNV-1a; the same on all hosts, so that a client that repeats a request
/// elsewhere is not told a different delay by chance.
std::uint64_t hash_of(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const auto letter : text)
    {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    }
    return hash;
}

} // namespace

duration spread_retry_delay(duration base, std::string_view request_id)
{
    const auto hash = hash_of(request_id);
    const auto step =
        static_cast<std::int64_t>((hash ^ (hash >> 32)) % spread_steps);
    return base + base / (2 * spread_steps) * step;
}

admission_queue::ticket::~ticket()
{
    if (owner_ != nullptr)
    {
        owner_->unlink(*this);
    }
}

admission_queue::~admission_queue()
{
    for (auto& state : lanes_)
    {
        for (auto& [priority, queue] : state.priorities)
        {
            while (auto* entry = queue.entries.pop())
            {
                static_cast<ticket&>(*entry).owner_ = nullptr;
            }
        }
    }
    while (!granted_.empty())
    {
        static_cast<ticket&>(granted_.front()).owner_ = nullptr;
        granted_.pop_front();
    }
}

std::uint32_t admission_queue::weight_of(std::uint32_t priority) const
{
    const auto& weights = settings_.priority_weights;
    return weights[std::min<std::size_t>(priority, weights.size() - 1)];
}

admission_queue::priority_queue&
admission_queue::queue_of(lane_state& state, std::uint32_t priority)
{
    auto& queue = state.priorities.try_emplace(priority, settings_.max_waiting)
                      .first->second;
    queue.part.stride = stride_unit / weight_of(priority);
    return queue;
}

admission_queue::ticket* admission_queue::make_room(const ticket& entry)
{
    const auto& own = at(entry.lane_).priorities;
    const auto found = own.find(entry.priority_);
    const auto own_size =
        found == own.end() ? 0 : found->second.entries.size_of(entry.customer_);
    for (auto& state : lanes_)
    {
        for (auto& [priority, queue] : state.priorities)
        {
            auto* shed = queue.entries.shed_longer_than(own_size + 1, 1);
            if (shed != nullptr)
            {
                auto& removed = static_cast<ticket&>(*shed);
                removed.owner_ = nullptr;
                --state.queued;
                uncount(removed);
                return &removed;
            }
        }
    }
    return nullptr;
}

void admission_queue::append(ticket& entry, time_point now)
{
    auto& state = at(entry.lane_);
    if (state.queued == 0)
    {
        state.part.used = std::max(state.part.used, lane_clock_);
    }
    auto& queue = queue_of(state, entry.priority_);
    if (queue.entries.size() == 0)
    {
        queue.part.used = std::max(queue.part.used, state.priority_clock);
    }
    begin_backlog(state.load, now);
    begin_backlog(queue.load, now);
    if (queue.entries.push(entry.customer_, 1, entry))
    {
        entry.owner_ = this;
        ++state.queued;
        count(entry);
    }
}

admission_queue::verdict
admission_queue::join(ticket& entry, time_point limit, time_point now)
{
    verdict result;
    result.expected_wait =
        expected_wait(entry.lane_, entry.priority_, entry.customer_, now);
    if (result.expected_wait &&
        to_seconds(*result.expected_wait) >
            settings_.refusal_factor * to_seconds(limit - now))
    {
        result.outcome = decision::too_long;
        return result;
    }
    if (waiting() >= settings_.max_waiting)
    {
        result.shed = make_room(entry);
        if (result.shed == nullptr)
        {
            result.outcome = decision::full;
            return result;
        }
    }
    append(entry, now);
    return result;
}

admission_queue::lane_state* admission_queue::next_lane(bool at_primary)
{
    auto& reads = at(lane::read);
    auto& writes = at(lane::primary);
    if (!at_primary || writes.queued == 0)
    {
        return reads.queued > 0 ? &reads : nullptr;
    }
    const bool reads_first =
        reads.queued > 0 && reads.part.used < writes.part.used;
    return reads_first ? &reads : &writes;
}

admission_queue::ticket* admission_queue::pop(bool at_primary)
{
    auto* state = next_lane(at_primary);
    if (state == nullptr)
    {
        return nullptr;
    }
    priority_queue* next = nullptr;
    for (auto& [priority, queue] : state->priorities)
    {
        if (queue.entries.size() > 0 &&
            (next == nullptr || queue.part.used < next->part.used))
        {
            next = &queue;
        }
    }
    auto& entry = static_cast<ticket&>(*next->entries.pop());
    --state->queued;
    state->priority_clock = next->part.used;
    next->part.used += next->part.stride;
    if (at_primary)
    {
        const auto index = static_cast<std::size_t>(entry.lane_);
        state->part.stride = stride_unit / settings_.lane_weights[index];
        lane_clock_ = state->part.used;
        state->part.used += state->part.stride;
    }
    entry.at_primary_ = at_primary;
    return &entry;
}

void admission_queue::restore(ticket& entry)
{
    auto& state = at(entry.lane_);
    auto& queue = queue_of(state, entry.priority_);
    queue.part.used -= std::min(queue.part.used, queue.part.stride);
    if (entry.at_primary_)
    {
        state.part.used -= std::min(state.part.used, state.part.stride);
    }
    queue.entries.restore(entry.customer_, 1, entry);
    ++state.queued;
}

admission_queue::ticket*
admission_queue::grant(std::uint64_t release, bool at_primary, unsigned offers)
{
    if (offers >= settings_.max_offers)
    {
        return nullptr;
    }
    std::vector<ticket*> tried;
    auto* next = pop(at_primary);
    while (next != nullptr && next->release_ == release)
    {
        tried.push_back(next);
        next = pop(at_primary);
    }
    for (auto entry = tried.rbegin(); entry != tried.rend(); ++entry)
    {
        restore(**entry);
    }
    if (next != nullptr)
    {
        next->granted_ = true;
        next->release_ = release;
        next->offers_ = offers;
        granted_.push_back(*next);
        granted_at_primary_ += at_primary ? 1 : 0;
    }
    return next;
}

admission_queue::ticket* admission_queue::on_release(bool at_primary)
{
    return grant(++release_, at_primary, 0);
}

void admission_queue::unlink(ticket& entry)
{
    auto& state = at(entry.lane_);
    if (entry.granted_)
    {
        granted_.erase(granted_.iterator_to(entry));
        granted_at_primary_ -= entry.at_primary_ ? 1 : 0;
        entry.granted_ = false;
    }
    else
    {
        queue_of(state, entry.priority_).entries.erase(entry);
        --state.queued;
    }
    uncount(entry);
    entry.owner_ = nullptr;
}

admission_queue::ticket* admission_queue::pass_on(ticket& entry)
{
    auto* next = leave(entry);
    put_back(entry);
    return next;
}

void admission_queue::put_back(ticket& entry)
{
    restore(entry);
    entry.owner_ = this;
    count(entry);
}

void admission_queue::count(const ticket& entry)
{
    auto& state = at(entry.lane_);
    ++state.load.waiting;
    ++queue_of(state, entry.priority_).load.waiting;
}

void admission_queue::uncount(const ticket& entry)
{
    auto& state = at(entry.lane_);
    --state.load.waiting;
    --queue_of(state, entry.priority_).load.waiting;
}

void admission_queue::begin_backlog(backlog& load, time_point now)
{
    if (load.waiting == 0)
    {
        load.busy_since = now;
    }
}

admission_queue::ticket* admission_queue::leave(ticket& entry)
{
    if (entry.owner_ == nullptr)
    {
        return nullptr;
    }
    const bool granted = entry.granted_;
    unlink(entry);
    return granted ? grant(entry.release_, entry.at_primary_, entry.offers_ + 1)
                   : nullptr;
}

admission_queue::ticket*
admission_queue::on_taken(ticket& entry, time_point now)
{
    if (entry.owner_ == nullptr)
    {
        return nullptr;
    }
    const bool granted = entry.granted_;
    unlink(entry);
    auto& state = at(entry.lane_);
    auto& queue = queue_of(state, entry.priority_);
    state.load.served.add(now);
    queue.load.served.add(now);
    if (!granted)
    {
        entry.at_primary_ = false;
        queue.part.used += queue.part.stride;
    }
    if (!granted || !yielded_ || !granted_.empty())
    {
        return nullptr;
    }
    // Those that yielded have not yet looked for other capacity.
    yielded_ = false;
    return grant(entry.release_, entry.at_primary_, entry.offers_ + 1);
}

void admission_queue::on_taken_at_once(
    lane where, std::uint32_t priority, time_point now)
{
    auto& state = at(where);
    if (state.load.waiting == 0)
    {
        return;
    }
    state.load.served.add(now);
    const auto own = state.priorities.find(priority);
    if (own != state.priorities.end())
    {
        own->second.load.served.add(now);
    }
}

bool admission_queue::must_yield(lane where, const ticket* entry)
{
    const auto before =
        where == lane::primary ? granted_at_primary_ : granted_.size();
    if (before == 0 || (entry != nullptr && entry->granted_))
    {
        return false;
    }
    yielded_ = true;
    return true;
}

std::optional<double>
admission_queue::rate_of(backlog& load, time_point now) const
{
    if (load.waiting == 0)
    {
        return std::nullopt;
    }
    const auto measured = std::min(measured_time, now - load.busy_since);
    const auto served = load.served.sum(measured_slots, now);
    if (measured < settings_.min_measured_time ||
        served < static_cast<double>(settings_.min_served))
    {
        return std::nullopt;
    }
    return served / to_seconds(measured);
}

std::size_t admission_queue::ahead_of(
    const lane_state& state, std::uint32_t priority,
    std::string_view customer) const
{
    const auto own = state.priorities.find(priority);
    const auto ahead = own == state.priorities.end()
                           ? 0
                           : own->second.entries.ahead_of(customer);
    auto total = ahead;
    for (const auto& [other, queue] : state.priorities)
    {
        if (other != priority)
        {
            total += std::min<std::size_t>(
                queue.entries.size(),
                (ahead + 1) * weight_of(other) / weight_of(priority));
        }
    }
    return total;
}

std::optional<duration> admission_queue::expected_wait(
    lane where, std::uint32_t priority, std::string_view customer,
    time_point now)
{
    auto& state = at(where);
    const auto own = state.priorities.find(priority);
    if (own != state.priorities.end())
    {
        // The rate of a priority that has been waiting for some time includes
        // what later requests of others take from it.
        const auto own_rate = rate_of(own->second.load, now);
        if (own_rate)
        {
            return from_seconds(
                static_cast<double>(own->second.entries.ahead_of(customer)) /
                *own_rate);
        }
    }
    const auto rate = rate_of(state.load, now);
    if (!rate)
    {
        return std::nullopt;
    }
    return from_seconds(
        static_cast<double>(ahead_of(state, priority, customer)) / *rate);
}

duration admission_queue::retry_delay(
    lane where, std::uint32_t priority, std::string_view customer,
    time_point now)
{
    const auto wait = expected_wait(where, priority, customer, now);
    return std::clamp(
        wait.value_or(settings_.default_retry_delay), settings_.min_retry_delay,
        settings_.max_retry_delay);
}

} // namespace zinniahub
