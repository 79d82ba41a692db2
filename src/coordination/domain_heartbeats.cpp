#include "coordination/domain_heartbeats.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr duration heartbeat_interval = std::chrono::milliseconds(100);

/// Shortest sleep, so that a busy process does not spin.
constexpr duration min_sleep = std::chrono::milliseconds(5);

constexpr std::string_view heartbeat_word = "beat";
constexpr std::string_view question_word = "beat?";

/// Traffic between domains has a cost: a heartbeat has at most 40 bytes.
constexpr std::size_t max_domain_bytes = 40 - question_word.size() - 1;

/// Hosts that are asked when other domains are silent, over all of them.
constexpr std::size_t max_asked_outside = 8;
/// Hosts of the own domain that are asked at the same time.
constexpr std::size_t max_asked_inside = 2;

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

domain_heartbeats::domain_heartbeats(
    asio::io_context& io, datagram_transport& network,
    const host_registry& hosts, std::string_view domain, handlers callbacks,
    log::event_log& events)
    : io_(io)
    , network_(network)
    , hosts_(hosts)
    , domain_(domain)
    , handlers_(std::move(callbacks))
    , events_(events)
    , watch_({.domain = domain_})
    , targets_(network.address(), domain_)
{
    network_.set_handler(
        heartbeat_word, [this](std::string_view from, std::string_view text)
        { accept(from, text); });
    network_.set_handler(
        question_word,
        [this](std::string_view from, std::string_view text)
        {
            if (accept(from, text))
            {
                send(heartbeat_word, {std::string(from)});
            }
        });
}

bool domain_heartbeats::is_valid_domain(std::string_view domain)
{
    return !domain.empty() && domain.size() <= max_domain_bytes &&
           std::all_of(
               domain.begin(), domain.end(),
               [](char value) { return value > ' ' && value < '\x7f'; });
}

void domain_heartbeats::start()
{
    asio::co_spawn(io_, run(), asio::detached);
}

awaitable<void> domain_heartbeats::run()
{
    asio::steady_timer timer(io_);
    while (true)
    {
        const auto now = clock::now();
        update_hosts();
        if (now >= next_heartbeat_)
        {
            next_heartbeat_ = now + heartbeat_interval;
            send_heartbeats(now);
        }
        for (const auto& [domain, answered_at] : handlers_.member_answers())
        {
            watch_.on_members(domain, answered_at, now);
        }
        for (const auto& value : watch_.on_tick(now))
        {
            perform(value);
        }
        report_changes();
        const auto next = std::min(next_heartbeat_, watch_.next_check(now));
        timer.expires_after(std::max(next - clock::now(), min_sleep));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void domain_heartbeats::update_hosts()
{
    const auto& peers = hosts_.peer_addresses();
    if (peers != known_peers_)
    {
        known_peers_ = peers;
        targets_.set_hosts(known_peers_);
        watch_.set_hosts(targets_.host_counts());
    }
}

void domain_heartbeats::send_heartbeats(time_point now)
{
    const auto unknown = targets_.next_unknown(now);
    send(question_word, unknown);
    auto receivers = targets_.next_heartbeats();
    receivers.resize(
        receivers.size() - std::min(unknown.size(), receivers.size()));
    send(heartbeat_word, receivers);
}

void domain_heartbeats::perform(const domain_watch::action& value)
{
    if (value.kind == domain_watch::action_kind::try_members)
    {
        handlers_.try_members(value.domain);
        return;
    }
    ++inquiries_;
    const auto others =
        std::max<std::size_t>(targets_.host_counts().size(), 2) - 1;
    const auto limit = std::max<std::size_t>(max_asked_outside / others, 1);
    send(question_word, targets_.next_in_domain(value.domain, limit));
    // Their answers show that the silence is not that of this host alone.
    send(question_word, targets_.next_in_domain(domain_, max_asked_inside));
}

void domain_heartbeats::send(
    std::string_view word, const std::vector<std::string>& targets)
{
    const auto message = fmt::format("{} {}", word, domain_);
    for (const auto& address : targets)
    {
        ++sent_;
        network_.send(address, message);
    }
}

bool domain_heartbeats::accept(std::string_view from, std::string_view domain)
{
    const bool is_valid = is_valid_domain(domain);
    update_hosts();
    if (!is_valid || !targets_.is_registered(from))
    {
        ++(is_valid ? dropped_unregistered_ : dropped_malformed_);
        events_.write(
            "heartbeat_dropped",
            {{"from", from},
             {"reason", is_valid ? "unregistered" : "malformed"}});
        return false;
    }
    ++received_;
    if (targets_.on_domain(from, domain))
    {
        watch_.set_hosts(targets_.host_counts());
    }
    watch_.on_host_heard(domain, clock::now());
    return true;
}

void domain_heartbeats::report_changes()
{
    const bool cut_off = watch_.is_cut_off();
    auto unreachable = watch_.unreachable_domains();
    auto avoided = watch_.domains_to_avoid();
    if (cut_off == was_cut_off_ && unreachable == unreachable_ &&
        avoided == avoided_)
    {
        return;
    }
    for (const auto& domain : unreachable)
    {
        if (!contains(unreachable_, domain))
        {
            events_.write("domain_unreachable", {{"failure_domain", domain}});
        }
    }
    for (const auto& domain : unreachable_)
    {
        if (!contains(unreachable, domain))
        {
            events_.write(
                "domain_regained",
                {{"failure_domain", domain}, {"own", false}});
        }
    }
    if (cut_off != was_cut_off_)
    {
        events_.write(
            cut_off ? "domain_cut_off" : "domain_regained",
            {{"failure_domain", domain_}, {"own", true}});
    }
    was_cut_off_ = cut_off;
    unreachable_ = std::move(unreachable);
    avoided_ = std::move(avoided);
    handlers_.on_changed();
}

void domain_heartbeats::write_metrics(metrics::registry& registry) const
{
    const auto gauge = [&registry](const std::string& name, auto value)
    { registry.set_gauge(name, static_cast<double>(value)); };
    gauge("zinniahub_domain_cut_off", was_cut_off_ ? 1 : 0);
    gauge("zinniahub_domains_unreachable", unreachable_.size());
    gauge("zinniahub_heartbeats_sent", sent_);
    gauge("zinniahub_heartbeats_received", received_);
    gauge("zinniahub_heartbeat_inquiries", inquiries_);
    gauge(
        "zinniahub_heartbeats_dropped{reason=\"malformed\"}",
        dropped_malformed_);
    gauge(
        "zinniahub_heartbeats_dropped{reason=\"unregistered\"}",
        dropped_unregistered_);
}

} // namespace zinniahub::coordination
