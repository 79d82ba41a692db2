#include "coordination/position_keeper.hpp"

#include <fmt/format.h>

#include <charconv>
#include <vector>

namespace zinniahub::coordination
{

namespace
{

constexpr std::string_view word_question = "position?";
constexpr std::string_view word_answer = "position";

/// Questions without an answer that are remembered.
constexpr std::size_t max_asked = 64;

/// Hosts asked at a time.
constexpr std::size_t hosts_asked = 2;

std::uint64_t take_number(std::string_view& text)
{
    std::uint64_t value = 0;
    const auto word = take_word(text);
    std::from_chars(word.data(), word.data() + word.size(), value);
    return value;
}

} // namespace

position_keeper::position_keeper(
    datagrams& network, const host_registry& hosts, finder gateways)
    : network_(network)
    , hosts_(hosts)
    , gateways_(std::move(gateways))
{
    network_.on_message(
        word_question, [this](std::string_view from, std::string_view text)
        { on_question(from, text); });
    network_.on_message(
        word_answer,
        [this](std::string_view, std::string_view text) { on_answer(text); });
}

void position_keeper::ask_position(const std::string& service)
{
    const auto& peers = hosts_.peers();
    const auto now = clock::now();
    for (std::size_t count = 0; count < hosts_asked && !peers.empty(); ++count)
    {
        const auto number = ++next_number_;
        asked_[number] = now;
        if (asked_.size() > max_asked)
        {
            asked_.erase(asked_.begin());
        }
        network_.send(
            peers[next_peer_++ % peers.size()],
            fmt::format("{} {} {}", word_question, service, number));
    }
}

void position_keeper::on_question(std::string_view from, std::string_view text)
{
    const auto service = take_word(text);
    const auto number = take_number(text);
    auto* gateway = gateways_(service);
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
                  "{} {} {} {} {} {}", word_answer, service, number,
                  newest->first.term, newest->first.index, age.count() + 1));
}

void position_keeper::on_answer(std::string_view text)
{
    const auto service = take_word(text);
    const auto asked = asked_.find(take_number(text));
    if (asked == asked_.end())
    {
        return;
    }
    const auto asked_at = asked->second;
    asked_.erase(asked);
    log_position position;
    position.term = take_number(text);
    position.index = take_number(text);
    const std::chrono::microseconds age(take_number(text));
    auto* gateway = gateways_(service);
    if (gateway != nullptr && position.term > 0 && age.count() > 0)
    {
        gateway->on_position_learnt(asked_at, age, position);
    }
}

} // namespace zinniahub::coordination
