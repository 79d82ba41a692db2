#include "traffic/member_pool.hpp"

#include <algorithm>

namespace zinniahub::traffic
{

namespace
{

constexpr std::chrono::milliseconds reopen_delay{20};

request::pointer adopt(queue_entry* entry)
{
    // push() detached the reference; this takes it over from the queue.
    return {static_cast<request*>(entry), false};
}

} // namespace

member_pool::member_pool(
    fair_queue::settings queue, const connection_strategy& strategy,
    connector connect, sender send)
    : queue_(queue)
    , strategy_(strategy)
    , connect_(std::move(connect))
    , send_(std::move(send))
{
    usage_.limit = 1;
}

result<request::pointer> member_pool::push(request::pointer entry)
{
    auto shed = queue_.push(entry->customer, entry->weight, *entry);
    if (!shed)
    {
        return tl::make_unexpected(shed.error());
    }
    entry.detach();
    return *shed == nullptr ? request::pointer{} : adopt(*shed);
}

request::pointer member_pool::pop()
{
    auto* entry = queue_.pop();
    return entry == nullptr ? request::pointer{} : adopt(entry);
}

request::pointer member_pool::pop_expired(time_point now)
{
    auto* entry = queue_.pop_expired(now);
    return entry == nullptr ? request::pointer{} : adopt(entry);
}

void member_pool::release(
    upstream::member_connection::pointer connection, time_point now)
{
    std::erase(busy_, connection);
    if (!connection->is_broken())
    {
        idle_.push_back({std::move(connection), now});
    }
}

void member_pool::discard(
    const upstream::member_connection::pointer& connection)
{
    std::erase(busy_, connection);
    connection->close();
}

void member_pool::set_usage(std::uint32_t open_total, std::uint32_t limit)
{
    usage_.open_total = open_total;
    usage_.limit = limit;
}

void member_pool::set_host_count(std::uint32_t hosts)
{
    usage_.hosts = std::max(1U, hosts);
}

std::uint32_t member_pool::load() const
{
    return in_use() + static_cast<std::uint32_t>(queue_.size());
}

void member_pool::update_usage()
{
    usage_.idle_own = static_cast<std::uint32_t>(idle_.size());
    usage_.open_own = in_use() + usage_.idle_own +
                      static_cast<std::uint32_t>(opening_.size());
    usage_.waiting_own = static_cast<std::uint32_t>(queue_.size());
    usage_.idle_since = idle_.empty() ? never : idle_.front().since;
}

void member_pool::process_queue(time_point now)
{
    now_ = now;
    std::erase_if(
        idle_, [](const idle_connection& idle)
        { return idle.connection->is_broken(); });
    serve_waiting();
    if (!in_service_)
    {
        close_idle();
    }
    update_usage();
    if (now >= retry_open_at_)
    {
        const auto wanted = strategy_.to_open(usage_, now);
        // One connection per waiting request is enough.
        const auto useful = std::min<std::size_t>(
            wanted, queue_.size() - std::min(queue_.size(), opening_.size()));
        for (std::size_t i = 0; i < useful; ++i)
        {
            open_connection();
        }
    }
    update_usage();
    close_longest_idle(strategy_.to_close(usage_, now));
    update_usage();
}

void member_pool::serve_waiting()
{
    while (!idle_.empty())
    {
        auto entry = pop();
        if (!entry)
        {
            return;
        }
        auto connection = std::move(idle_.back().connection);
        idle_.pop_back();
        busy_.push_back(connection);
        send_(std::move(entry), std::move(connection));
    }
}

void member_pool::open_connection()
{
    // Shared with the handler, which needs the connection that connect_
    // returns.
    auto slot = std::make_shared<upstream::member_connection::pointer>();
    *slot =
        connect_([self = shared_from_this(), slot](const result<void>& outcome)
                 { self->on_opened(*slot, outcome); });
    opening_.push_back(*slot);
}

void member_pool::on_opened(
    const upstream::member_connection::pointer& connection,
    const result<void>& outcome)
{
    std::erase(opening_, connection);
    if (outcome)
    {
        idle_.push_back({connection, now_});
    }
    else
    {
        retry_open_at_ = now_ + reopen_delay;
        if (outcome.error().code == errc::connection_limit_reached)
        {
            usage_.refused_at = now_;
        }
    }
    serve_waiting();
    update_usage();
}

void member_pool::close_longest_idle(std::uint32_t count)
{
    for (; count > 0 && !idle_.empty(); --count)
    {
        idle_.front().connection->close();
        idle_.pop_front();
    }
}

void member_pool::close_busy()
{
    for (const auto& connection : busy_)
    {
        connection->close();
    }
}

void member_pool::close_idle()
{
    close_longest_idle(static_cast<std::uint32_t>(idle_.size()));
}

} // namespace zinniahub::traffic
