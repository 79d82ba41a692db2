#include "coordination/rate_limiter.hpp"

#include "coordination/bounded_json.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
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

/// Time for which a host that did not answer is not asked.
constexpr duration unresponsive_pause = std::chrono::seconds(2);

/// Pause after the keepers replied without tokens.
constexpr duration exhausted_backoff = std::chrono::milliseconds(60);

/// Time after which another host probably has a token to lend again.
constexpr duration lent_token_delay = std::chrono::milliseconds(200);

/// Shortest time after which a refused operation should be repeated.
constexpr duration min_retry_delay = std::chrono::milliseconds(5);

/// Minimum time between token requests made ahead of demand.
constexpr duration request_interval = std::chrono::milliseconds(15);

/// Keepers without tokens before a request is refused.
constexpr std::size_t max_empty_replies = 6;

/// Upper bound of a valid count; no configured limit is as high.
constexpr double max_token_count = 1e9;

constexpr std::string_view request_word = "ask";
constexpr std::string_view reply_word = "give";

bool is_part(const nlohmann::json& value)
{
    return value.is_number_unsigned() &&
           value.get<std::uint64_t>() <=
               std::numeric_limits<std::uint32_t>::max();
}

std::optional<part_ranges> decode_ranges(const nlohmann::json& list)
{
    std::vector<part_range> ranges;
    for (const auto& item : list)
    {
        const bool is_range = item.is_array() && item.size() == 2 &&
                              is_part(item[0]) && is_part(item[1]);
        if (!is_range)
        {
            return std::nullopt;
        }
        ranges.push_back(
            {item[0].get<std::uint32_t>(), item[1].get<std::uint32_t>()});
    }
    return part_ranges(std::move(ranges));
}

std::optional<rate_shares> decode(std::string_view text)
{
    const auto document = parse_bounded_json(text);
    if (!document.is_object())
    {
        return std::nullopt;
    }
    rate_shares shares;
    for (const auto& [host, value] : document.items())
    {
        if (value.is_number_unsigned())
        {
            shares.without_ranges.insert(host);
            continue;
        }
        const auto ranges =
            value.is_array() ? decode_ranges(value) : std::nullopt;
        if (!ranges)
        {
            return std::nullopt;
        }
        shares.by_host[host] = *ranges;
    }
    return shares.is_valid() ? std::optional(std::move(shares)) : std::nullopt;
}

std::string encode(const rate_shares& shares)
{
    nlohmann::json document = nlohmann::json::object();
    for (const auto& [host, parts] : shares.by_host)
    {
        auto list = nlohmann::json::array();
        for (const auto& range : parts.ranges())
        {
            list.push_back({range.begin, range.end});
        }
        document[host] = std::move(list);
    }
    for (const auto& host : shares.without_ranges)
    {
        document[host] = 1U;
    }
    return document.dump();
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
    , first_request_id_(
          static_cast<std::uint64_t>(clock::now().time_since_epoch().count()))
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
                    name, customer_state(
                              host_rate_limiter(allowance_, limit, now),
                              first_request_id_))
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
    if (item.revision > replaced_revision_)
    {
        parts_being_written_.reset();
    }
    apply_share();
}

void rate_limiter::on_registration_changed()
{
    apply_share();
}

part_ranges rate_limiter::usable_parts() const
{
    const auto& owned = shares_.ranges_of(host_);
    return parts_being_written_
               ? intersection(
                     owned, *parts_being_written_, rate_shares::total_parts)
               : owned;
}

std::uint32_t rate_limiter::usable_share() const
{
    return hosts_.valid_until() > clock::now() ? usable_parts().size() : 0;
}

void rate_limiter::apply_share()
{
    applied_valid_until_ = hosts_.valid_until();
    for (auto& [name, customer] : customers_)
    {
        apply_share(name, customer);
    }
}

void rate_limiter::apply_share(std::string_view name, customer_state& state)
{
    const auto portions = count_portions(name, usable_parts());
    // Without a valid registration the parts may have been reassigned.
    state.account.set_share(
        portions * rate_shares::total_parts / portions_per_limit, clock::now(),
        hosts_.valid_until());
}

void rate_limiter::update_keepers(customer_state& state) const
{
    if (state.keepers_revision == shares_revision_)
    {
        return;
    }
    state.keepers_revision = shares_revision_;
    state.keepers = shares_.keepers_of(state.counts.customer);
    std::erase(state.keepers, host_);
    // Hosts start at different keepers, so that the load is spread.
    state.next_keeper = std::hash<std::string>{}(host_);
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
    if (!state.waiters.empty() || !state.account.try_take(now))
    {
        return false;
    }
    ++state.counts.granted;
    if (now - state.requested_at >= request_interval &&
        now >= state.exhausted_until && state.account.wanted(now, 0) > 0)
    {
        request_tokens(state, now);
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

awaitable<pooling::admission_result>
rate_limiter::admit(std::string customer, std::string request)
{
    if (try_admit(customer))
    {
        co_return pooling::admission_result{};
    }
    waiter entry(io_);
    customers_.find(customer)->second.waiters.push_back(&entry);
    wait_result outcome;
    const bool admitted = co_await wait_for_token(customer, entry, outcome);
    if (admitted)
    {
        co_return pooling::admission_result{};
    }
    // A customer with waiting requests is not removed.
    auto& state = customers_.find(customer)->second;
    state.waiters.remove(&entry);
    ++state.counts.refused;
    const auto now = clock::now();
    log_refusal(request, state, outcome, now);
    co_return pooling::admission_result{
        false, time_until_token(state, outcome, now)};
}

duration rate_limiter::time_until_token(
    const customer_state& state, const wait_result& outcome, time_point now)
{
    // The other hosts had no tokens, or did not answer in time.
    const auto lent = std::max<duration>(
        std::max(state.exhausted_until, now) - now, lent_token_delay);
    return std::clamp<duration>(outcome.refill, min_retry_delay, lent);
}

awaitable<bool> rate_limiter::wait_for_token(
    const std::string& customer, waiter& entry, wait_result& outcome)
{
    auto& state = customers_.find(customer)->second;
    const auto until = clock::now() + max_token_wait;
    // The customer may be removed once the request has its token.
    while (!entry.has_token)
    {
        const auto now = clock::now();
        const auto position =
            std::find(state.waiters.begin(), state.waiters.end(), &entry);
        const auto needed = std::distance(state.waiters.begin(), position) + 1;
        outcome.refill = state.account.time_until_available(
            static_cast<double>(needed), now);
        const bool may_request = now >= state.exhausted_until;
        if (now >= until || (!may_request && outcome.refill > until - now))
        {
            co_return false;
        }
        const auto waiting = static_cast<double>(state.waiters.size());
        const auto expected =
            state.requests.count_since(token_reply_timeout, now);
        if (may_request && expected < waiting && request_tokens(state, now))
        {
            ++outcome.asked;
        }
        entry.timer.expires_after(std::clamp<duration>(
            outcome.refill, std::chrono::milliseconds(1), token_reply_timeout));
        boost::system::error_code ignored;
        co_await entry.timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        if (!entry.has_token)
        {
            serve_waiters(state, clock::now());
        }
    }
    co_return true;
}

void rate_limiter::serve_waiters(customer_state& state, time_point now)
{
    while (!state.waiters.empty() && state.account.try_take(now))
    {
        auto* first = state.waiters.front();
        state.waiters.pop_front();
        first->has_token = true;
        first->timer.cancel();
        ++state.counts.granted;
    }
}

void rate_limiter::log_refusal(
    std::string_view request, customer_state& state, const wait_result& outcome,
    time_point now)
{
    const auto ms = [](duration value) { return to_seconds(value) * 1000; };
    // A host without a share never refills.
    const double refill_ms =
        outcome.refill == duration::max() ? -1 : ms(outcome.refill);
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
         {"asked", outcome.asked},
         {"open", state.requests.size()},
         {"empty", state.empty_replies},
         {"keepers", state.keepers.size()},
         {"peers", hosts_.peer_addresses().size()},
         {"share", state.account.share()},
         {"shares_revision", shares_revision_},
         {"registered", hosts_.valid_until() > now}});
}

std::string rate_limiter::next_keeper(customer_state& state, time_point now)
{
    update_keepers(state);
    std::erase_if(
        unresponsive_until_,
        [now](const auto& entry) { return entry.second <= now; });
    for (std::size_t tried = 0; tried < state.keepers.size(); ++tried)
    {
        const auto& keeper =
            state.keepers[state.next_keeper++ % state.keepers.size()];
        const bool answers = !unresponsive_until_.contains(keeper);
        if (answers && !hosts_.address_of(keeper).empty())
        {
            return keeper;
        }
    }
    return {};
}

bool rate_limiter::request_tokens(customer_state& state, time_point now)
{
    for (const auto& keeper : state.requests.drop_unanswered(now))
    {
        unresponsive_until_[keeper] = now + unresponsive_pause;
    }
    const auto wanted = state.account.wanted(now, state.waiters.size()) -
                        state.requests.count_since(token_reply_timeout, now);
    state.requested_at = now;
    if (wanted <= 0)
    {
        return false;
    }
    auto keeper = next_keeper(state, now);
    if (keeper.empty())
    {
        state.exhausted_until = now + exhausted_backoff;
        return false;
    }
    const auto address = hosts_.address_of(keeper);
    const auto id = state.requests.add(std::move(keeper), wanted, now);
    network_.send(
        address, fmt::format(
                     "{} {} {:.0f} {}", request_word, state.counts.customer,
                     wanted, id));
    return true;
}

rate_limiter::token_message rate_limiter::decode_message(std::string_view text)
{
    token_message message;
    const auto found = customers_.find(consume_word(text));
    message.state = found == customers_.end() ? nullptr : &found->second;
    const auto count = consume_word(text);
    std::from_chars(count.data(), count.data() + count.size(), message.count);
    std::from_chars(text.data(), text.data() + text.size(), message.id);
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
        from, fmt::format(
                  "{} {} {:.0f} {}", reply_word, state.counts.customer, given,
                  message.id));
}

void rate_limiter::on_token_reply(std::string_view text)
{
    const auto message = decode_message(text);
    if (message.state == nullptr)
    {
        return;
    }
    auto& state = *message.state;
    const auto now = clock::now();
    const auto answer = state.requests.on_reply(message.id, message.count);
    if (!answer)
    {
        return;
    }
    const auto count = answer->count;
    unresponsive_until_.erase(answer->keeper);
    if (count > 0)
    {
        state.empty_replies = 0;
        state.counts.received += count;
        state.account.receive(count, now, answer->requested_at);
    }
    else if (
        ++state.empty_replies >=
        std::min(max_empty_replies, state.keepers.size()))
    {
        state.empty_replies = 0;
        state.exhausted_until = now + exhausted_backoff;
    }
    serve_waiters(state, now);
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
        if (hosts_.valid_until() != applied_valid_until_)
        {
            apply_share();
        }
        if (hosts_.valid_until() <= now || !hosts_.is_current(now))
        {
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
    const auto& own = change.shares.ranges_of(host_);
    // An earlier change may have been executed without an answer.
    parts_being_written_ =
        parts_being_written_
            ? intersection(own, *parts_being_written_, rate_shares::total_parts)
            : own;
    replaced_revision_ = shares_revision_;
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
