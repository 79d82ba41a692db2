#include "coordination/rate_limiter.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view shares_key = "zinniahub/shares";
constexpr duration adjust_interval = std::chrono::milliseconds(200);

/// Longest time that a request waits for tokens from other hosts.
constexpr duration max_token_wait = std::chrono::milliseconds(30);

/// Time to wait for the reply of a host before the next one is tried.
constexpr duration token_reply_timeout = std::chrono::milliseconds(8);

/// Pause after all hosts replied without tokens.
constexpr duration exhausted_backoff = std::chrono::milliseconds(60);

/// Minimum time between token requests made ahead of demand.
constexpr duration request_interval = std::chrono::milliseconds(15);

/// Hosts tried before a request is refused.
constexpr std::size_t max_peers_asked = 6;

/// Upper bound of a valid count; no configured limit is as high.
constexpr double max_token_count = 1e9;

constexpr std::string_view request_word = "ask";
constexpr std::string_view reply_word = "give";

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

rate_limiter::rate_limiter(
    asio::io_context& io, store& target, datagram_transport& network,
    const host_registry& hosts, std::string host, rate_allowance allowance,
    log::event_log& events)
    : io_(io)
    , store_(target)
    , network_(network)
    , hosts_(hosts)
    , host_(std::move(host))
    , allowance_(allowance)
    , events_(events)
    , planner_({.host = host_})
{
    network_.set_handler(
        request_word, [this](std::string_view from, std::string_view text)
        { on_token_request(from, text); });
    network_.set_handler(
        reply_word, [this](std::string_view, std::string_view text)
        { on_token_reply(text); });
}

void rate_limiter::start()
{
    asio::co_spawn(io_, adjust_shares(), asio::detached);
}

void rate_limiter::on_configuration(const proxy_configuration& configuration)
{
    const auto now = clock::now();
    for (const auto& [name, customer] : configuration.customers)
    {
        const rate_limit limit{customer.rate_per_s, customer.burst};
        const auto found = customers_.find(name);
        if (found != customers_.end())
        {
            found->second.account.set_limit(limit, now);
            continue;
        }
        auto& added =
            customers_
                .emplace(
                    name,
                    customer_state{host_rate_limiter(allowance_, limit, now)})
                .first->second;
        added.counts.customer = name;
    }
    std::erase_if(
        customers_,
        [&configuration](const auto& entry)
        {
            return !configuration.customers.contains(entry.first) &&
                   entry.second.waiters.empty();
        });
    apply_share();
}

void rate_limiter::on_item(const stored_item& item)
{
    if (item.key != shares_key || item.revision < shares_revision_)
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
    shares_revision_ = item.removed ? 0 : item.revision;
    shares_ = *shares;
    apply_share();
}

void rate_limiter::on_registration_changed()
{
    apply_share();
}

void rate_limiter::apply_share()
{
    const auto now = clock::now();
    // Without a valid registration the share may have been reassigned.
    const auto share = hosts_.valid_until() > now
                           ? std::min(shares_.share_of(host_), share_ceiling_)
                           : 0;
    for (auto& [name, customer] : customers_)
    {
        customer.account.set_share(share, now);
    }
}

bool rate_limiter::try_admit(std::string_view customer)
{
    const auto found = customers_.find(customer);
    if (found == customers_.end())
    {
        return true;
    }
    auto& state = found->second;
    const auto now = clock::now();
    if (!state.account.try_take(now))
    {
        return false;
    }
    ++state.counts.granted;
    if (now - state.requested_at >= request_interval &&
        now >= state.exhausted_until && state.account.wanted(now) > 0)
    {
        request_tokens(found->first, state);
    }
    return true;
}

void rate_limiter::refund(std::string_view customer)
{
    const auto found = customers_.find(customer);
    if (found != customers_.end())
    {
        found->second.account.refund(clock::now());
    }
}

awaitable<bool> rate_limiter::admit(std::string customer, std::string request)
{
    if (try_admit(customer))
    {
        co_return true;
    }
    const auto until = clock::now() + max_token_wait;
    while (true)
    {
        const auto now = clock::now();
        const auto found = customers_.find(customer);
        if (found == customers_.end())
        {
            co_return true;
        }
        auto& state = found->second;
        const bool may_request = now >= state.exhausted_until;
        const auto refill = state.account.time_until_available(
            static_cast<double>(state.waiters.size() + 1), now);
        if (now >= until || (!may_request && refill > until - now))
        {
            ++state.counts.refused;
            log_refusal(request, state, refill, now);
            co_return false;
        }
        if (may_request && (now - state.requested_at >= token_reply_timeout ||
                            state.waiters.empty()))
        {
            request_tokens(customer, state);
        }
        waiter entry(io_);
        state.waiters.push_back(&entry);
        entry.timer.expires_after(std::clamp<duration>(
            refill, std::chrono::milliseconds(1), token_reply_timeout));
        boost::system::error_code ignored;
        co_await entry.timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        const auto again = customers_.find(customer);
        if (again != customers_.end())
        {
            again->second.waiters.remove(&entry);
        }
        if (try_admit(customer))
        {
            co_return true;
        }
    }
}

void rate_limiter::log_refusal(
    std::string_view request, customer_state& state, duration refill,
    time_point now)
{
    const auto ms = [](duration value) { return to_seconds(value) * 1000; };
    // A host without a share never refills.
    const double refill_ms = refill == duration::max() ? -1 : ms(refill);
    events_.write(
        "rate_refused",
        {{"id", request},
         {"customer", state.counts.customer},
         {"level", state.account.level(now)},
         {"capacity", state.account.capacity()},
         {"refill_ms", refill_ms},
         {"pause_ms",
          std::max(0.0, ms(std::max(state.exhausted_until, now) - now))},
         {"waiting", state.waiters.size()},
         {"peers", hosts_.peer_addresses().size()},
         {"share", shares_.share_of(host_)},
         {"shares_revision", shares_revision_},
         {"registered", hosts_.valid_until() > now}});
}

void rate_limiter::request_tokens(
    const std::string& customer, customer_state& state)
{
    const auto now = clock::now();
    const auto peers = hosts_.peer_addresses();
    const auto wanted = state.account.wanted(now);
    state.requested_at = now;
    if (peers.empty() || state.account.capacity() < 1)
    {
        state.exhausted_until = now + exhausted_backoff;
        return;
    }
    const auto& peer = peers[next_peer_++ % peers.size()];
    network_.send(
        peer, fmt::format("{} {} {:.3f}", request_word, customer, wanted));
}

rate_limiter::token_message rate_limiter::decode_message(std::string_view text)
{
    token_message message;
    const auto found = customers_.find(consume_word(text));
    message.state = found == customers_.end() ? nullptr : &found->second;
    std::from_chars(text.data(), text.data() + text.size(), message.count);
    // The comparison is also false for NaN.
    if (!(message.count > 0 && message.count < max_token_count))
    {
        message.count = 0;
    }
    return message;
}

void rate_limiter::on_token_request(
    std::string_view from, std::string_view text)
{
    const auto message = decode_message(text);
    if (message.state == nullptr)
    {
        return;
    }
    auto& state = *message.state;
    const auto given = state.account.give(message.count, clock::now());
    state.counts.given += given;
    network_.send(
        from,
        fmt::format("{} {} {:.3f}", reply_word, state.counts.customer, given));
}

void rate_limiter::on_token_reply(std::string_view text)
{
    const auto message = decode_message(text);
    if (message.state == nullptr)
    {
        return;
    }
    auto& state = *message.state;
    const auto count = message.count;
    const auto now = clock::now();
    if (count > 0)
    {
        state.empty_replies = 0;
        state.counts.received += count;
        state.account.receive(count, now);
    }
    else if (
        ++state.empty_replies >=
        std::min(max_peers_asked, hosts_.peer_addresses().size()))
    {
        state.empty_replies = 0;
        state.exhausted_until = now + exhausted_backoff;
    }
    for (auto* entry : state.waiters)
    {
        entry->timer.cancel();
    }
}

awaitable<void> rate_limiter::adjust_shares()
{
    asio::steady_timer timer(io_);
    while (true)
    {
        timer.expires_after(adjust_interval);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = clock::now();
        if (hosts_.valid_until() <= now)
        {
            apply_share();
            continue;
        }
        auto change = planner_.on_tick(hosts_.hosts(), shares_, now);
        if (change)
        {
            co_await write_shares(std::move(*change));
        }
    }
}

awaitable<void> rate_limiter::write_shares(share_change change)
{
    share_ceiling_ =
        std::min(shares_.share_of(host_), change.shares.share_of(host_));
    if (share_ceiling_ == 0)
    {
        share_ceiling_ = rate_shares::total_parts;
    }
    apply_share();
    store_transaction request;
    request.preconditions.push_back(
        {std::string(shares_key), shares_revision_});
    for (const auto& host : change.removed_hosts)
    {
        request.preconditions.push_back(
            {host_registry::registration_key(host), 0});
    }
    request.writes.push_back(
        {std::string(shares_key), encode(change.shares), 0});
    const auto written = co_await store_.commit(request);
    if (!written)
    {
        co_return;
    }
    share_ceiling_ = rate_shares::total_parts;
    on_item({std::string(shares_key), encode(change.shares), *written});
    events_.write(
        "rate_shares_changed", {{"hosts", change.shares.by_host.size()},
                                {"dropped", change.removed_hosts.size()},
                                {"own", change.shares.share_of(host_)},
                                {"revision", *written}});
}

std::vector<rate_limiter::customer_counters> rate_limiter::counters() const
{
    std::vector<customer_counters> all;
    for (const auto& [name, customer] : customers_)
    {
        all.push_back(customer.counts);
    }
    return all;
}

} // namespace zinniahub::coordination
