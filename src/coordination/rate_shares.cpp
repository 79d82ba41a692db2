#include "coordination/rate_shares.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view rate_prefix = "zinniahub/rate/";
constexpr duration adjust_pause = std::chrono::milliseconds(250);

/// Hosts whose shares one change frees. The store takes 32 entries at most.
constexpr std::size_t max_dropped = 24;

std::optional<rate_shares> decode(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
    {
        return std::nullopt;
    }
    rate_shares shares;
    for (const auto& [host, share] : document.items())
    {
        if (!share.is_number_unsigned())
        {
            return std::nullopt;
        }
        shares.by_host[host] = share.get<std::uint32_t>();
    }
    return shares;
}

std::string encode(const rate_shares& shares)
{
    return nlohmann::json(shares.by_host).dump();
}

} // namespace

rate_shares_keeper::rate_shares_keeper(
    asio::io_context& io, store& target, const host_registry& hosts,
    std::string host, rate_allowance allowance, log::event_log& events)
    : io_(io)
    , store_(target)
    , hosts_(hosts)
    , host_(std::move(host))
    , allowance_(allowance)
    , events_(events)
{
}

void rate_shares_keeper::start()
{
    asio::co_spawn(io_, adjust(), asio::detached);
}

void rate_shares_keeper::on_configuration(
    const proxy_configuration& configuration)
{
    const auto now = clock::now();
    for (const auto& [name, customer] : configuration.customers)
    {
        const rate_limit limit{customer.rate_per_s, customer.burst};
        const auto found = customers_.find(name);
        if (found != customers_.end())
        {
            found->second.holder.set_limit(limit, now);
            continue;
        }
        customers_.emplace(
            name, customer_state{
                      rate_share_holder(
                          {.host = host_, .allowance = allowance_}, limit, now),
                      {},
                      0,
                      false});
        const auto early = unclaimed_.find(name);
        if (early != unclaimed_.end())
        {
            const auto item = std::move(early->second);
            unclaimed_.erase(early);
            on_item(item);
        }
    }
    std::erase_if(
        customers_, [&configuration](const auto& entry)
        { return !configuration.customers.contains(entry.first); });
}

void rate_shares_keeper::on_item(const stored_item& item)
{
    if (!item.key.starts_with(rate_prefix))
    {
        return;
    }
    const auto name = item.key.substr(rate_prefix.size());
    const auto found = customers_.find(name);
    if (found == customers_.end())
    {
        unclaimed_[name] = item;
        return;
    }
    auto& customer = found->second;
    if (item.revision < customer.revision)
    {
        return;
    }
    const auto shares =
        item.removed ? std::optional(rate_shares{}) : decode(item.value);
    if (!shares)
    {
        events_.write(
            "record_unreadable",
            {{"key", item.key}, {"revision", item.revision}});
        return;
    }
    customer.revision = item.removed ? 0 : item.revision;
    customer.shares = *shares;
    customer.holder.on_shares(*shares, hosts_.valid_until(), clock::now());
}

void rate_shares_keeper::on_lease()
{
    for (auto& [name, customer] : customers_)
    {
        customer.holder.on_lease(hosts_.valid_until());
    }
}

bool rate_shares_keeper::admit(std::string_view customer, time_point now)
{
    const auto found = customers_.find(customer);
    return found == customers_.end() || found->second.holder.try_take(now);
}

awaitable<void> rate_shares_keeper::adjust()
{
    asio::steady_timer timer(io_);
    while (true)
    {
        timer.expires_after(adjust_pause);
        co_await timer.async_wait(asio::use_awaitable);
        if (hosts_.lease_id() == 0)
        {
            continue;
        }
        const auto now = clock::now();
        const auto hosts = hosts_.hosts();
        if (!hosts.contains(host_))
        {
            continue;
        }
        for (auto& [name, customer] : customers_)
        {
            if (customer.writing)
            {
                continue;
            }
            auto proposal = customer.holder.propose(customer.shares, hosts, now);
            if (proposal)
            {
                customer.writing = true;
                asio::co_spawn(
                    io_, write(name, std::move(*proposal), customer.revision),
                    asio::detached);
            }
        }
    }
}

awaitable<void> rate_shares_keeper::write(
    std::string customer, rate_shares shares, std::uint64_t revision)
{
    const auto known = customers_.find(customer);
    if (known == customers_.end())
    {
        co_return;
    }
    std::vector<std::string> dropped;
    for (const auto& [host, share] : known->second.shares.by_host)
    {
        if (!shares.by_host.contains(host))
        {
            dropped.push_back(host);
        }
    }
    // A host beyond the limit of expectations keeps its share until later.
    while (dropped.size() > max_dropped)
    {
        shares.by_host[dropped.back()] = known->second.shares.of(dropped.back());
        dropped.pop_back();
    }
    const auto key = std::string(rate_prefix) + customer;
    store_transaction change;
    change.expect.push_back({key, revision});
    change.expect.push_back(
        {host_registry::key_of(host_), hosts_.revision_of(host_)});
    // The shares of a host are free only while it is not registered.
    for (const auto& host : dropped)
    {
        change.expect.push_back({host_registry::key_of(host), 0});
    }
    change.writes.push_back({key, encode(shares), 0});
    const auto written = co_await store_.commit(change);
    const auto found = customers_.find(customer);
    if (found == customers_.end())
    {
        co_return;
    }
    found->second.writing = false;
    if (!written)
    {
        co_return;
    }
    stored_item item{key, encode(shares), *written, 0, false};
    on_item(item);
    events_.write(
        "rate_share_changed",
        {{"customer", customer},
         {"share", shares.of(host_)},
         {"revision", *written}});
}

std::vector<rate_shares_keeper::customer_numbers>
rate_shares_keeper::numbers() const
{
    std::vector<customer_numbers> all;
    for (const auto& [name, customer] : customers_)
    {
        all.push_back(
            {name, customer.holder.share(), customer.holder.refused()});
    }
    return all;
}

} // namespace zinniahub::coordination
