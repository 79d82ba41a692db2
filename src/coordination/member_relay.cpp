#include "coordination/member_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view request_word = "member?";
constexpr std::string_view reply_word = "member";
constexpr std::string_view status_word = "status";
constexpr std::string_view step_down_word = "step_down";
constexpr std::string_view primary_word = "primary";
constexpr std::string_view replica_word = "replica";

/// Number of hosts that each call asks.
constexpr std::size_t hosts_per_call = 3;

/// Limit of commands that are tracked while they wait for an answer.
constexpr std::size_t max_pending_commands = 64;

std::optional<relayed_command> decode_command(std::string_view text)
{
    relayed_command value;
    value.service = consume_word(text);
    value.instance = consume_word(text);
    const auto word = consume_word(text);
    const auto term = consume_number(text);
    if (value.service.empty() || value.instance.empty() || !term ||
        (word != status_word && word != step_down_word))
    {
        return std::nullopt;
    }
    value.kind = word == status_word ? pooling::command_kind::status
                                     : pooling::command_kind::step_down;
    value.term = *term;
    return value;
}

std::optional<replication_status> decode_status(std::string_view text)
{
    const auto role = consume_word(text);
    const auto term = consume_number(text);
    const auto received_term = consume_number(text);
    const auto received_index = consume_number(text);
    const auto paused_term = consume_number(text);
    if ((role != primary_word && role != replica_word) || !term ||
        !received_term || !received_index || !paused_term)
    {
        return std::nullopt;
    }
    return replication_status{
        .primary = role == primary_word,
        .term = *term,
        .received = {*received_term, *received_index},
        .paused_term = *paused_term};
}

} // namespace

datagram_member_relay::datagram_member_relay(
    asio::io_context& io, datagram_transport& network,
    const host_registry& hosts, gateway_lookup find_gateway,
    log::event_log& events)
    : io_(io)
    , network_(network)
    , hosts_(hosts)
    , find_gateway_(std::move(find_gateway))
    , events_(events)
{
    network_.set_handler(
        request_word, [this](std::string_view from, std::string_view text)
        { on_request(from, text); });
    network_.set_handler(
        reply_word,
        [this](std::string_view, std::string_view text) { on_reply(text); });
}

void datagram_member_relay::send(const relayed_command& value)
{
    const auto& peers = hosts_.peer_addresses();
    const auto number = ++next_number_;
    pending_[number] = {value, clock::now()};
    if (pending_.size() > max_pending_commands)
    {
        pending_.erase(pending_.begin());
    }
    const auto word = value.kind == pooling::command_kind::step_down
                          ? step_down_word
                          : status_word;
    const auto message = fmt::format(
        "{} {} {} {} {} {}", request_word, number, value.service,
        value.instance, word, value.term);
    for (std::size_t count = 0; count < std::min(hosts_per_call, peers.size());
         ++count)
    {
        network_.send(peers[next_host_++ % peers.size()], message);
    }
}

void datagram_member_relay::on_request(
    std::string_view from, std::string_view text)
{
    const auto number = consume_number(text);
    auto value = decode_command(text);
    if (!number || !value || busy_.contains(value->instance))
    {
        return;
    }
    asio::co_spawn(
        io_, run(std::string(from), *number, std::move(*value)),
        asio::detached);
}

awaitable<void> datagram_member_relay::run(
    std::string from, std::uint64_t number, relayed_command value)
{
    auto* gateway = find_gateway_(value.service);
    if (gateway == nullptr)
    {
        co_return;
    }
    busy_.insert(value.instance);
    const auto status = co_await gateway->control_member(
        value.instance, {.kind = value.kind, .term = value.term});
    busy_.erase(value.instance);
    if (value.kind == pooling::command_kind::step_down)
    {
        events_.write(
            "step_down_relayed", {{"service", value.service},
                                  {"instance", value.instance},
                                  {"term", value.term},
                                  {"from", from},
                                  {"answered", status.has_value()},
                                  {"primary", status && status->primary}});
    }
    if (!status)
    {
        co_return;
    }
    network_.send(
        from, fmt::format(
                  "{} {} {} {} {} {} {}", reply_word, number,
                  status->primary ? primary_word : replica_word, status->term,
                  status->received.term, status->received.index,
                  status->paused_term));
}

void datagram_member_relay::on_reply(std::string_view text)
{
    const auto found = pending_.find(consume_number(text).value_or(0));
    const auto status = decode_status(text);
    if (found == pending_.end() || !status)
    {
        return;
    }
    handler_(found->second.value, *status, found->second.asked_at);
}

} // namespace zinniahub::coordination
