#include "coordination/relay_offers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <charconv>
#include <functional>
#include <utility>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr duration offer_interval = std::chrono::milliseconds(200);

constexpr std::string_view offer_word = "relay";

} // namespace

relay_offers::relay_offers(
    asio::io_context& io, datagram_transport& network,
    const host_registry& hosts, std::string_view host,
    store_path_selector& paths)
    : io_(io)
    , network_(network)
    , hosts_(hosts)
    , paths_(paths)
    // Hosts begin with different ones, so that the offers are spread.
    , next_peer_(std::hash<std::string_view>{}(host))
{
    network_.set_handler(
        offer_word, [this](std::string_view from, std::string_view text)
        { on_offer(from, text); });
}

void relay_offers::start(std::uint16_t port)
{
    port_ = port;
    asio::co_spawn(io_, send_offers(), asio::detached);
}

awaitable<void> relay_offers::send_offers()
{
    asio::steady_timer timer(io_);
    while (!stopped_)
    {
        timer.expires_after(offer_interval);
        co_await timer.async_wait(asio::use_awaitable);
        const auto& peers = hosts_.peer_addresses();
        if (peers.empty() || !paths_.can_offer(clock::now()))
        {
            continue;
        }
        network_.send(
            peers[next_peer_++ % peers.size()],
            fmt::format("{} {}", offer_word, port_));
    }
}

void relay_offers::on_offer(std::string_view from, std::string_view text)
{
    std::uint16_t port = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), port);
    const bool is_port =
        parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    if (is_port && port != 0)
    {
        const auto ip = from.substr(0, from.rfind(':'));
        paths_.on_offer(fmt::format("{}:{}", ip, port), clock::now());
    }
}

} // namespace zinniahub::coordination
