#include "coordination/peer_position_exchange.hpp"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace zinniahub::coordination
{

namespace
{

constexpr std::string_view request_word = "position?";
constexpr std::string_view reply_word = "position";

/// Limit of requests that are tracked while they wait for a reply.
constexpr std::size_t max_pending_requests = 64;

/// Age of a position above which a question waits for the next sample.
constexpr duration max_reply_age = std::chrono::milliseconds(600);

/// An older position is of no use.
constexpr std::uint64_t max_age_us = 60'000'000;

/// Limit of questions of a service that wait for a sample.
constexpr std::size_t max_unanswered_questions = 1024;

} // namespace

peer_position_exchange::peer_position_exchange(
    datagram_transport& network, const host_registry& hosts,
    gateway_lookup find_gateway)
    : network_(network)
    , hosts_(hosts)
    , find_gateway_(std::move(find_gateway))
{
    network_.set_handler(
        request_word, [this](std::string_view from, std::string_view text)
        { on_request(from, text); });
    network_.set_handler(
        reply_word,
        [this](std::string_view, std::string_view text) { on_reply(text); });
}

peer_position_exchange::service_state&
peer_position_exchange::state_of(std::string_view service)
{
    refresh_hosts();
    const auto found = services_.find(service);
    if (found != services_.end())
    {
        return found->second;
    }
    auto& state =
        services_.try_emplace(std::string(service), service).first->second;
    state.choice.set_hosts(network_.address(), known_peers_);
    return state;
}

void peer_position_exchange::refresh_hosts()
{
    const auto& peers = hosts_.peer_addresses();
    if (peers == known_peers_)
    {
        return;
    }
    known_peers_ = peers;
    for (auto& [service, state] : services_)
    {
        state.choice.set_hosts(network_.address(), known_peers_);
    }
}

bool peer_position_exchange::request_position(const std::string& service)
{
    const auto now = clock::now();
    const auto decision = state_of(service).choice.next(now);
    if (decision.next == sampler_choice::action::ask)
    {
        const auto number = ++next_request_id_;
        pending_requests_[number] = {service, now};
        if (pending_requests_.size() > max_pending_requests)
        {
            pending_requests_.erase(pending_requests_.begin());
        }
        network_.send(
            decision.host,
            fmt::format("{} {} {}", request_word, service, number));
    }
    return decision.next != sampler_choice::action::sample;
}

void peer_position_exchange::on_sample_failed(const std::string& service)
{
    state_of(service).choice.on_sample_failed(clock::now());
}

void peer_position_exchange::on_request(
    std::string_view from, std::string_view text)
{
    const auto service = consume_word(text);
    const question asked{std::string(from), consume_number(text).value_or(0)};
    auto* gateway = find_gateway_(service);
    if (gateway == nullptr)
    {
        return;
    }
    const auto now = clock::now();
    gateway->on_position_requested(now);
    const auto newest = gateway->newest_position(now);
    if (newest && newest->second <= max_reply_age)
    {
        answer(asked, service, *gateway, now);
        return;
    }
    auto& unanswered = state_of(service).unanswered;
    if (unanswered.size() < max_unanswered_questions)
    {
        unanswered.push_back(asked);
    }
}

void peer_position_exchange::on_position(const std::string& service)
{
    const auto found = services_.find(service);
    auto* gateway = find_gateway_(service);
    if (found == services_.end() || gateway == nullptr)
    {
        return;
    }
    const auto now = clock::now();
    for (const auto& asked : std::exchange(found->second.unanswered, {}))
    {
        answer(asked, service, *gateway, now);
    }
}

void peer_position_exchange::answer(
    const question& asked, std::string_view service,
    const pooling::service_gateway& gateway, time_point now)
{
    const auto newest = gateway.newest_position(now);
    if (!newest)
    {
        return;
    }
    const auto age =
        std::chrono::duration_cast<std::chrono::microseconds>(newest->second);
    network_.send(
        asked.from, fmt::format(
                        "{} {} {} {} {} {} {}", reply_word, service,
                        asked.number, newest->first.term, newest->first.index,
                        age.count() + 1, gateway.proven_primary()));
}

void peer_position_exchange::on_reply(std::string_view text)
{
    const auto service = consume_word(text);
    const auto asked = pending_requests_.find(consume_number(text).value_or(0));
    if (asked == pending_requests_.end())
    {
        return;
    }
    const auto asked_at = asked->second.asked_at;
    state_of(asked->second.service).choice.on_reply();
    pending_requests_.erase(asked);
    const auto term = consume_number(text);
    const auto index = consume_number(text);
    const auto age_us = consume_number(text);
    auto* gateway = find_gateway_(service);
    // The position of an empty log is zero.
    if (gateway != nullptr && term && index && age_us && *age_us < max_age_us)
    {
        gateway->on_peer_position(
            asked_at, std::chrono::microseconds(*age_us), {*term, *index},
            consume_word(text));
    }
}

} // namespace zinniahub::coordination
