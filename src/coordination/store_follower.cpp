#include "coordination/store_follower.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr duration initial_retry_delay = std::chrono::milliseconds(60);
constexpr duration max_retry_delay = std::chrono::milliseconds(480);

/// Exponential delay before a failed listing or watch is retried.
duration retry_delay(unsigned failures)
{
    const auto exponent = std::min(failures, 3U);
    return std::min(max_retry_delay, initial_retry_delay * (1 << exponent));
}

} // namespace

store_follower::store_follower(
    asio::io_context& io, store& source, settings values,
    std::vector<subscription> subscriptions, log::event_log& events)
    : io_(io)
    , store_(source)
    , settings_(values)
    , events_(events)
    , batch_timer_(io)
{
    for (auto& entry : subscriptions)
    {
        prefixes_.push_back({std::move(entry)});
    }
}

void store_follower::set_prompt(bool prompt)
{
    if (prompt && !prompt_)
    {
        batch_timer_.cancel();
    }
    prompt_ = prompt;
}

awaitable<void> store_follower::wait_for_batch()
{
    batch_timer_.expires_after(settings_.batch_delay);
    boost::system::error_code ignored;
    co_await batch_timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

void store_follower::start()
{
    asio::co_spawn(io_, follow(), asio::detached);
}

awaitable<void> store_follower::sleep(duration length)
{
    asio::steady_timer timer(io_, length);
    co_await timer.async_wait(asio::use_awaitable);
}

void store_follower::on_failure(std::string_view prefix, const error& failure)
{
    if (failures_++ == 0)
    {
        events_.write(
            "store_lost", {{"prefix", prefix},
                           {"error", to_string(failure.code)},
                           {"at", revision_}});
    }
}

void store_follower::on_success()
{
    if (failures_ > 0)
    {
        events_.write("store_regained", {{"failures", failures_}});
    }
    failures_ = 0;
}

void store_follower::deliver(
    std::string_view prefix, const handler& receiver, const store_batch& batch)
{
    try
    {
        receiver(batch);
    }
    catch (const std::exception& failure)
    {
        // Following must not end with one record that nobody expected.
        events_.write(
            "records_failed", {{"prefix", prefix},
                               {"revision", batch.revision},
                               {"detail", failure.what()}});
    }
}

awaitable<bool> store_follower::list_all()
{
    const auto asked_at = clock::now();
    for (auto& target : prefixes_)
    {
        const bool listed = co_await list(target);
        if (!listed)
        {
            co_return false;
        }
    }
    // Changes after the first listing are watched for.
    revision_ = prefixes_.front().listed_at;
    synced_at_ = std::max(synced_at_, asked_at);
    co_return true;
}

awaitable<bool> store_follower::list(followed_prefix& target)
{
    const auto batch = co_await store_.list(target.source.prefix);
    if (!batch)
    {
        on_failure(target.source.prefix, batch.error());
        co_return false;
    }
    on_success();
    target.listed_at = batch->revision;
    deliver(target.source.prefix, target.source.on_listed, *batch);
    co_return true;
}

awaitable<bool> store_follower::watch()
{
    const auto asked_at = clock::now();
    const auto batch =
        co_await store_.watch({}, revision_, settings_.watch_wait);
    has_changes_ = batch && !batch->items.empty();
    if (!batch)
    {
        if (batch.error().code == errc::not_found)
        {
            events_.write("history_lost", {{"at", revision_}});
            co_return false;
        }
        on_failure({}, batch.error());
        co_await sleep(retry_delay(failures_ - 1));
        co_return true;
    }
    on_success();
    synced_at_ = std::max(synced_at_, asked_at);
    revision_ = std::max(revision_, batch->revision);
    deliver_changes(*batch);
    co_return true;
}

void store_follower::deliver_changes(const store_batch& batch)
{
    for (const auto& target : prefixes_)
    {
        store_batch part{.items = {}, .revision = batch.revision};
        for (const auto& item : batch.items)
        {
            if (item.key.starts_with(target.source.prefix) &&
                item.revision > target.listed_at)
            {
                part.items.push_back(item);
            }
        }
        if (!part.items.empty())
        {
            deliver(target.source.prefix, target.source.on_changed, part);
        }
    }
}

awaitable<void> store_follower::follow()
{
    // GCC 12 generates wrong code for co_await in the condition of a loop.
    bool listed = false;
    while (true)
    {
        if (!listed)
        {
            listed = co_await list_all();
            if (!listed)
            {
                co_await sleep(retry_delay(failures_ - 1));
            }
            continue;
        }
        listed = co_await watch();
        if (listed && has_changes_ && !prompt_ &&
            settings_.batch_delay > duration::zero())
        {
            co_await wait_for_batch();
        }
    }
}

} // namespace zinniahub::coordination
