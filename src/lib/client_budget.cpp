#include <zinniahub/client_budget.hpp>

#include <algorithm>
#include <tuple>

namespace zinniahub
{

namespace
{

constexpr std::size_t mib = std::size_t{1} << 20;

/// Parts of the memory of the machine, in percent. The rest is for the process
/// without clients, members, configuration and the allocator.
constexpr std::size_t message_percent = 25;
constexpr std::size_t session_percent = 20;
constexpr std::size_t connection_percent = 35;

/// Memory of a session at rest with its floor, an upper bound of what
/// docs/CAPACITY.md gives.
constexpr std::size_t connection_bytes = 12 * std::size_t{1024};

/// Descriptors for files, members, other hosts and the store.
constexpr std::size_t reserved_descriptors = 200;

/// Load balancers and operators use a few connections each.
constexpr std::size_t probe_connections = 32;

/// A host uses about four connections; further ones find another host.
constexpr std::size_t host_connections = 64;

/// Sessions that may come to one host at once after failures elsewhere. All may
/// connect before the first of them is read.
constexpr std::size_t sessions_at_once = 4000;

/// Descriptors that remain for clients on any machine.
constexpr std::size_t min_client_connections = 16;

std::size_t index_of(client_budget::port where)
{
    return static_cast<std::size_t>(where);
}

} // namespace

client_budget::limits client_budget::limits::of(
    std::size_t memory_mb, std::size_t max_file_descriptors)
{
    const auto percent = memory_mb * mib / 100;
    const auto descriptors =
        std::max(max_file_descriptors, reserved_descriptors) -
        reserved_descriptors;
    const auto clients = std::max(
        min_client_connections,
        std::min(descriptors, connection_percent * percent / connection_bytes));
    limits result;
    result.message_bytes = message_percent * percent;
    result.session_bytes = session_percent * percent;
    result.ports[index_of(port::clients)] = {
        clients, std::min(clients, std::max(sessions_at_once, clients / 2))};
    result.ports[index_of(port::probes)] = {
        probe_connections, probe_connections};
    result.ports[index_of(port::hosts)] = {host_connections, host_connections};
    return result;
}

client_budget::decision client_budget::open(account& entry, port where)
{
    const auto index = index_of(where);
    const auto& limit = limits_.ports[index];
    decision result;
    if (connections_[index] >= limit.connections ||
        waiting_counts_[index] >= limit.waiting)
    {
        if (waiting_[index].empty())
        {
            return result;
        }
        auto& oldest = waiting_[index].front();
        remove(oldest);
        result.close.push_back(&oldest);
    }
    entry.port_ = where;
    entry.has_port_ = true;
    entry.activity_ = activity::starting;
    entry.is_open_ = true;
    ++connections_[index];
    set_waiting(entry);
    result.granted = true;
    return result;
}

void client_budget::open(account& entry)
{
    entry.activity_ = activity::running;
    entry.is_open_ = true;
}

void client_budget::remove(account& entry)
{
    if (!entry.is_open_)
    {
        return;
    }
    used_ -= entry.above_floor();
    entry.bytes_ = 0;
    entry.holder_hook_.unlink();
    if (entry.has_port_)
    {
        set_started(entry);
        --connections_[index_of(entry.port_)];
    }
    entry.is_open_ = false;
}

client_budget::decision client_budget::resize(account& entry, std::size_t bytes)
{
    decision result;
    if (!entry.is_open_)
    {
        return result;
    }
    const auto before = entry.above_floor();
    const auto after = bytes > floor_bytes ? bytes - floor_bytes : 0;
    if (after > limits_.message_bytes)
    {
        return result;
    }
    while (after > before && used_ - before + after > limits_.message_bytes)
    {
        auto* const chosen = choose();
        if (chosen == nullptr || chosen == &entry)
        {
            return result;
        }
        remove(*chosen);
        result.close.push_back(chosen);
    }
    used_ = used_ - before + after;
    entry.bytes_ = bytes;
    if (after == 0)
    {
        entry.holder_hook_.unlink();
    }
    else if (!entry.holder_hook_.is_linked())
    {
        holders_.push_back(entry);
    }
    result.granted = true;
    return result;
}

void client_budget::set_activity(account& entry, activity value)
{
    if (value == activity::sending && entry.activity_ != value)
    {
        entry.send_number_ = ++next_send_;
    }
    entry.activity_ = value;
}

void client_budget::set_waiting(account& entry)
{
    if (!entry.is_open_ || !entry.has_port_)
    {
        return;
    }
    set_started(entry);
    const auto index = index_of(entry.port_);
    waiting_[index].push_back(entry);
    ++waiting_counts_[index];
}

void client_budget::set_started(account& entry)
{
    if (entry.waiting_hook_.is_linked())
    {
        entry.waiting_hook_.unlink();
        --waiting_counts_[index_of(entry.port_)];
    }
}

bool client_budget::closes_before(const account& left, const account& right)
{
    const auto key = [](const account& entry)
    {
        // A larger message first, or the reply that was begun first.
        const auto order = entry.activity_ == activity::sending
                               ? entry.send_number_
                               : ~std::uint64_t{entry.bytes_};
        return std::tuple(entry.in_transaction_, entry.activity_, order);
    };
    return key(left) < key(right);
}

client_budget::account* client_budget::choose()
{
    account* first = nullptr;
    for (auto& entry : holders_)
    {
        if (entry.activity_ != activity::running &&
            (first == nullptr || closes_before(entry, *first)))
        {
            first = &entry;
        }
    }
    return first;
}

} // namespace zinniahub
