#include "coordination/domain_heartbeats.hpp"
#include "unit/absent_store.hpp"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace zinniahub;
using namespace zinniahub::coordination;
using namespace std::chrono_literals;

/// Keeps what is sent.
class recorded_datagrams : public datagram_transport
{
public:
    void send(std::string_view to, std::string_view message) override
    {
        sent.emplace_back(to, message);
    }
    void set_handler(std::string_view word, handler receiver) override
    {
        handlers[std::string(word)] = std::move(receiver);
    }
    std::string address() const override
    {
        return "10.0.0.1:7560";
    }

    std::vector<std::pair<std::string, std::string>> sent;
    std::map<std::string, handler> handlers;
};

/// Host 1 of domain "east", which knows the registrations of hosts 2 to 6.
class heartbeats : public testing::Test
{
protected:
    heartbeats()
    {
        for (int host = 2; host <= 6; ++host)
        {
            hosts.on_item(
                {host_registry::registration_key(fmt::format("n{}", host)),
                 address_of(host), 1, 1, false});
        }
    }

    static std::string address_of(int host)
    {
        return fmt::format("10.0.0.{}:7560", host);
    }

    std::string metrics() const
    {
        metrics::registry registry;
        watched.write_metrics(registry);
        return registry.expose();
    }

    boost::asio::io_context io;
    tests::absent_store state;
    log::event_log events{{.descriptor = ::open("/dev/null", O_WRONLY)}};
    recorded_datagrams network;
    host_registry hosts{
        io,
        state,
        {.host = "n1", .address = "10.0.0.1:7560"},
        {[] {}, [] { return time_point::min(); }},
        events};
    domain_heartbeats watched{
        io,
        network,
        hosts,
        "east",
        {[] { return domain_heartbeats::answer_times{}; },
         [](std::string_view) {}, [] {}},
        events};
};

} // namespace

// Guards against datagrams from outside the fleet that are answered or
// believed.
TEST_F(heartbeats, strangers_and_malformed_messages_are_dropped)
{
    network.handlers.at("beat?")("10.0.0.9:7560", "west");
    network.handlers.at("beat?")(address_of(2), "");
    network.handlers.at("beat")(address_of(2), std::string(35, 'x'));
    network.handlers.at("beat")(address_of(2), "west \x01");
    EXPECT_TRUE(network.sent.empty());
    const auto text = metrics();
    EXPECT_NE(text.find("dropped{reason=\"malformed\"} 3"), std::string::npos);
    EXPECT_NE(
        text.find("dropped{reason=\"unregistered\"} 1"), std::string::npos);
    network.handlers.at("beat?")(address_of(2), "west");
    ASSERT_EQ(network.sent.size(), 1U);
    EXPECT_EQ(network.sent[0].first, address_of(2));
    EXPECT_EQ(network.sent[0].second, "beat east");
}

// Guards against heartbeats that are longer or more frequent than the traffic
// between domains allows, and against hosts that get none.
TEST_F(heartbeats, are_short_and_few)
{
    for (int host = 2; host <= 6; ++host)
    {
        const auto* const domain = host <= 3 ? "east" : "west";
        network.handlers.at("beat")(address_of(host), domain);
    }
    watched.start();
    io.run_for(1s);
    // Heartbeats, and questions because the others do not answer.
    EXPECT_LE(network.sent.size(), 30U + 15U);
    std::map<std::string, int> count;
    for (const auto& [to, message] : network.sent)
    {
        EXPECT_LE(message.size(), 40U);
        ++count[to];
    }
    EXPECT_GT(count[address_of(4)], 0);
    EXPECT_EQ(count.count(address_of(1)), 0U);
}
