#include "coordination/member_relay.hpp"
#include "unit/absent_store.hpp"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

// Commands that other hosts run on members which this host cannot reach.

namespace
{

using namespace zinniahub;
using namespace zinniahub::coordination;

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

class relay : public testing::Test
{
protected:
    relay()
    {
        for (int host = 2; host <= 6; ++host)
        {
            hosts.on_item(
                {host_registry::registration_key(fmt::format("n{}", host)),
                 fmt::format("10.0.0.{}:7560", host), 1, 1, false});
        }
        relayed.set_handler([this](
                                const relayed_command& command,
                                const replication_status& status, time_point)
                            { answers.emplace_back(command, status); });
    }

    void receive(const std::string& word, const std::string& text)
    {
        network.handlers.at(word)("10.0.0.2:7560", text);
        io.poll();
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
    datagram_member_relay relayed{
        io, network, hosts,
        [](std::string_view) -> pooling::service_gateway* { return nullptr; },
        events};
    std::vector<std::pair<relayed_command, replication_status>> answers;
};

const relayed_command step_down{
    .service = "ledger",
    .instance = "i-1",
    .kind = pooling::command_kind::step_down,
    .term = 4};

} // namespace

// Guards against a member that gets a command from every host at once, and
// against hosts that are never asked.
TEST_F(relay, asks_a_few_hosts_in_turn)
{
    std::map<std::string, int> asked;
    relayed.send(step_down);
    EXPECT_EQ(network.sent.size(), 3U);
    EXPECT_EQ(network.sent.front().second, "member? 1 ledger i-1 step_down 4");
    relayed.send(step_down);
    for (const auto& [to, message] : network.sent)
    {
        ++asked[to];
    }
    EXPECT_EQ(asked.size(), 5U);
}

// Guards against an answer that is taken for that of another member.
TEST_F(relay, passes_an_answer_on_with_its_command)
{
    relayed.send(step_down);
    receive("member", "1 replica 3 3.1207 9 0");
    EXPECT_TRUE(answers.empty());
    receive("member", "1 replica 3 3 1207 4");
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].first.instance, "i-1");
    EXPECT_FALSE(answers[0].second.primary);
    EXPECT_EQ(answers[0].second.term, 3U);
    EXPECT_EQ(answers[0].second.received, (log_position{3, 1207}));
    EXPECT_EQ(answers[0].second.paused_term, 4U);
}

// Guards against a malformed datagram that ends the process, is answered, or is
// taken for the answer of a member.
TEST_F(relay, ignores_malformed_datagrams)
{
    relayed.send(step_down);
    network.sent.clear();
    const std::vector<std::string> texts{
        "",
        " ",
        "1",
        "x",
        "1 primary",
        "1 leader 1 1 1 0",
        "2 replica 3 3 1207 4",
        "1 replica 3 3 1207 18446744073709551616",
        "1 replica -3 3 1207 4",
        "1 ledger i-1 promote 4",
        "1 ledger i-1 step_down",
        "1 ledger",
        "1  i-1 status 0",
        "99999999999999999999 ledger i-1 status 0"};
    for (const auto& text : texts)
    {
        receive("member", text);
        receive("member?", text);
    }
    std::mt19937 random(7);
    for (int round = 0; round < 2000; ++round)
    {
        std::string text;
        for (auto length = random() % 40; length > 0; --length)
        {
            text += static_cast<char>(random() % 256);
        }
        receive("member", text);
        receive("member?", text);
    }
    EXPECT_TRUE(answers.empty());
    EXPECT_TRUE(network.sent.empty());
}
