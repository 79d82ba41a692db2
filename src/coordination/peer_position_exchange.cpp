#include "coordination/peer_position_exchange.hpp"

#include <fmt/format.h>

#include <charconv>
#include <vector>

namespace zinniahub::coordination
{

namespace
{

constexpr std::string_view request_word = "position?";
constexpr std::string_view reply_word = "position";

/// Limit of requests that are tracked while they wait for a reply.
constexpr std::size_t max_pending_requests = 64;

/// Hosts that get each request.
constexpr std::size_t peers_per_request = 2;

std::uint64_t consume_number(std::string_view& text)
{
    std::uint64_t value = 0;
    const auto word = consume_word(text);
    std::from_chars(word.data(), word.data() + word.size(), value);
    return value;
}

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

void peer_position_exchange::request_position(const std::string& service)
{
    const auto& peers = hosts_.peer_addresses();
    const auto now = clock::now();
    for (std::size_t count = 0; count < peers_per_request && !peers.empty();
         ++count)
    {
        const auto number = ++next_request_id_;
        pending_requests_[number] = now;
        if (pending_requests_.size() > max_pending_requests)
        {
            pending_requests_.erase(pending_requests_.begin());
        }
        network_.send(
            peers[next_peer_++ % peers.size()],
            fmt::format("{} {} {}", request_word, service, number));
    }
}

void peer_position_exchange::on_request(
    std::string_view from, std::string_view text)
{
    const auto service = consume_word(text);
    const auto number = consume_number(text);
    auto* gateway = find_gateway_(service);
    if (gateway == nullptr)
    {
        return;
    }
    const auto newest = gateway->newest_position(clock::now());
    if (!newest)
    {
        return;
    }
    const auto age =
        std::chrono::duration_cast<std::chrono::microseconds>(newest->second);
    network_.send(
        from, fmt::format(
                  "{} {} {} {} {} {}", reply_word, service, number,
                  newest->first.term, newest->first.index, age.count() + 1));
}

void peer_position_exchange::on_reply(std::string_view text)
{
    const auto service = consume_word(text);
    const auto asked = pending_requests_.find(consume_number(text));
    if (asked == pending_requests_.end())
    {
        return;
    }
    const auto asked_at = asked->second;
    pending_requests_.erase(asked);
    log_position position;
    position.term = consume_number(text);
    position.index = consume_number(text);
    const std::chrono::microseconds age(consume_number(text));
    auto* gateway = find_gateway_(service);
    if (gateway != nullptr && position.term > 0 && age.count() > 0)
    {
        gateway->on_peer_position(asked_at, age, position);
    }
}

} // namespace zinniahub::coordination
