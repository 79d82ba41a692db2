#include "pooling/connection_opener.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace zinniahub::pooling
{

namespace asio = boost::asio;

namespace
{

/// A member in the same region that does not answer a connection attempt
/// within this time is down or unreachable.
constexpr duration connect_timeout = std::chrono::milliseconds(400);
constexpr duration probe_timeout = std::chrono::milliseconds(250);

} // namespace

connection_opener::connection_opener(
    asio::io_context& io, member_connector& connector, pool_set& pools,
    log::event_log& events, unclaimed_handler on_unclaimed)
    : io_(io)
    , connector_(connector)
    , pools_(pools)
    , events_(events)
    , on_unclaimed_(std::move(on_unclaimed))
{
}

awaitable<pooled_connection_ptr>
connection_opener::connect(const member_address& target, duration limit)
{
    pools_.of(target.instance).on_connecting();
    const auto number = ++opened_;
    const auto started = clock::now();
    auto link = co_await connector_.connect(target, limit);
    auto& pool = pools_.of(target.instance);
    if (link || link.error().cause == connect_failure::reason::rejected)
    {
        pool.on_contact(clock::now());
    }
    if (!link)
    {
        pool.on_connect_failed(link.error(), clock::now());
        ++failures_[to_string(link.error())];
        events_.write(
            "member_connect_failed",
            {{"service", target.service},
             {"instance", target.instance},
             {"reason", static_cast<int>(link.error().cause)},
             {"code", to_string(link.error().code)}});
        co_return nullptr;
    }
    pool.on_connected();
    pool.estimate().on_set_up(clock::now() - started);
    auto connection = std::make_unique<pooled_connection>();
    connection->link = std::move(*link);
    connection->customer = target.customer;
    connection->number = number;
    co_return connection;
}

awaitable<pooled_connection_ptr>
connection_opener::open(member_address target, time_point until)
{
    auto waiting = std::make_shared<attempt>(io_);
    waiting->timer.expires_after(
        std::max(until - clock::now(), duration::zero()));
    asio::co_spawn(
        io_, connect_for(waiting, std::move(target)), asio::detached);
    boost::system::error_code ignored;
    co_await waiting->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    waiting->abandoned = true;
    co_return std::move(waiting->connection);
}

awaitable<void> connection_opener::connect_for(
    std::shared_ptr<attempt> waiting, member_address target)
{
    auto connection = co_await connect(target, connect_timeout);
    if (waiting->abandoned && connection != nullptr)
    {
        on_unclaimed_(target.instance, std::move(connection));
        co_return;
    }
    waiting->connection = std::move(connection);
    waiting->timer.cancel();
}

void connection_opener::probe(member_address target)
{
    if (probing_.insert(target.instance).second)
    {
        asio::co_spawn(io_, run_probe(std::move(target)), asio::detached);
    }
}

awaitable<void> connection_opener::run_probe(member_address target)
{
    auto connection = co_await connect(target, probe_timeout);
    probing_.erase(target.instance);
    if (connection != nullptr)
    {
        on_unclaimed_(target.instance, std::move(connection));
    }
}

} // namespace zinniahub::pooling
