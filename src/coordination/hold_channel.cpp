#include "coordination/hold_channel.hpp"

#include "coordination/replication_group_codec.hpp"

#include <fmt/format.h>

#include <optional>

namespace zinniahub::coordination
{

namespace
{

constexpr std::string_view request_word = "hold?";
constexpr std::string_view answer_word = "hold";

/// Stands for an empty candidate.
constexpr std::string_view no_candidate = "-";

/// No process runs for longer.
constexpr std::uint64_t max_uptime_ms = 1'000'000'000'000;

std::optional<hold_request> decode_request(std::string_view text)
{
    const auto duty = consume_number(text);
    const auto number = consume_number(text);
    const auto term = consume_number(text);
    const auto candidate = consume_word(text);
    if (!duty || !number || !term || candidate.empty())
    {
        return std::nullopt;
    }
    return hold_request{
        .duty = *duty,
        .number = *number,
        .term = *term,
        .candidate =
            candidate == no_candidate ? std::string() : std::string(candidate)};
}

std::optional<hold_answer>
decode_answer(std::string_view from, std::string_view text)
{
    const auto duty = consume_number(text);
    const auto number = consume_number(text);
    const auto term = consume_number(text);
    const auto index = consume_number(text);
    const auto uptime_ms = consume_number(text);
    if (!duty || !number || !term || !index || !uptime_ms ||
        *uptime_ms > max_uptime_ms)
    {
        return std::nullopt;
    }
    return hold_answer{
        .host = std::string(from),
        .duty = *duty,
        .number = *number,
        .acknowledged = {*term, *index},
        .uptime = std::chrono::milliseconds(*uptime_ms)};
}

} // namespace

datagram_hold_channel::datagram_hold_channel(
    datagram_transport& network, const host_registry& hosts,
    gateway_lookup find_gateway, log::event_log& events)
    : network_(network)
    , hosts_(hosts)
    , find_gateway_(std::move(find_gateway))
    , events_(events)
    , started_at_(clock::now())
{
    network_.set_handler(
        request_word, [this](std::string_view from, std::string_view text)
        { on_request(from, text); });
    network_.set_handler(
        answer_word, [this](std::string_view from, std::string_view text)
        { on_answer(from, text); });
}

std::vector<std::string> datagram_hold_channel::hosts() const
{
    auto hosts = hosts_.peer_addresses();
    hosts.push_back(network_.address());
    return hosts;
}

void datagram_hold_channel::send(
    std::string_view service, const hold_request& request,
    const std::vector<std::string>& to)
{
    const auto message = fmt::format(
        "{} {} {} {} {} {}", request_word, service, request.duty,
        request.number, request.term,
        request.candidate.empty() ? no_candidate
                                  : std::string_view(request.candidate));
    const auto own = network_.address();
    for (const auto& host : to)
    {
        if (host != own)
        {
            network_.send(host, message);
        }
        else if (const auto answer = apply(service, own, request))
        {
            handler_(service, *answer);
        }
    }
}

std::optional<hold_answer> datagram_hold_channel::apply(
    std::string_view service, std::string_view from,
    const hold_request& request)
{
    auto* gateway = find_gateway_(service);
    const auto now = clock::now();
    if (gateway == nullptr)
    {
        return std::nullopt;
    }
    auto& hold = gateway->hold();
    const auto before = hold.requested_candidate();
    if (!hold.on_request(request, now))
    {
        return std::nullopt;
    }
    if (before != request.candidate)
    {
        events_.write(
            "acknowledgement_hold",
            {{"service", service},
             {"candidate", request.candidate},
             {"term", request.term},
             {"acknowledged", to_string(hold.acknowledged())},
             {"from", from}});
    }
    return hold_answer{
        .host = network_.address(),
        .duty = request.duty,
        .number = request.number,
        .acknowledged = hold.acknowledged(),
        .uptime = now - started_at_};
}

void datagram_hold_channel::on_request(
    std::string_view from, std::string_view text)
{
    const auto service = consume_word(text);
    const auto request = decode_request(text);
    if (!request)
    {
        return;
    }
    const auto answer = apply(service, from, *request);
    if (!answer)
    {
        return;
    }
    network_.send(
        from, fmt::format(
                  "{} {} {} {} {} {} {}", answer_word, service, answer->duty,
                  answer->number, answer->acknowledged.term,
                  answer->acknowledged.index,
                  answer->uptime / std::chrono::milliseconds(1)));
}

void datagram_hold_channel::on_answer(
    std::string_view from, std::string_view text)
{
    const auto service = consume_word(text);
    if (const auto answer = decode_answer(from, text))
    {
        handler_(service, *answer);
    }
}

void datagram_hold_channel::on_item(const stored_item& item)
{
    if (item.removed || !item.key.starts_with(replication_prefix))
    {
        return;
    }
    const auto group = decode_replication_group(item.value);
    if (!group)
    {
        return;
    }
    const auto service =
        std::string_view(item.key).substr(replication_prefix.size());
    const recorded_order record{group->ordered, group->term};
    records_.insert_or_assign(std::string(service), record);
    apply_record(service, record);
}

void datagram_hold_channel::on_services_changed()
{
    for (const auto& [service, record] : records_)
    {
        apply_record(service, record);
    }
}

void datagram_hold_channel::apply_record(
    std::string_view service, const recorded_order& record) const
{
    auto* gateway = find_gateway_(service);
    if (gateway != nullptr)
    {
        gateway->hold().on_record(record.candidate, record.term, clock::now());
    }
}

} // namespace zinniahub::coordination
