#include "coordination/bounded_json.hpp"
#include "coordination/datagram_transport.hpp"
#include "coordination/hold_channel.hpp"
#include "coordination/host_registry.hpp"
#include "coordination/member_relay.hpp"
#include "coordination/peer_position_exchange.hpp"
#include "coordination/rate_limiter.hpp"
#include "coordination/relay_offers.hpp"
#include "coordination/replication_group_codec.hpp"
#include "platform/http_store.hpp"
#include "platform/line_codec.hpp"
#include "platform/line_server.hpp"
#include "platform/records.hpp"
#include "unit/absent_store.hpp"
#include "unit/fuzz_corpus.hpp"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fcntl.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Mutated records and pages of the store, and messages between hosts.

using namespace zinniahub;
using namespace zinniahub::coordination;
using namespace zinniahub::platform;

namespace
{

/// Texts that a case of a random test holds.
constexpr std::size_t texts_per_case = 50;

/// True for a name that is one field of a message, as a member reads it.
bool is_name(std::string_view text)
{
    return !text.empty() &&
           text.find_first_of(" \r\n") == std::string_view::npos;
}

/// Returns what is wrong with the record of a member; empty if nothing is.
std::string fault_of_member_record(const std::string& text)
{
    const auto member = decode_member("i-1", text);
    if (!member)
    {
        return {};
    }
    const auto endpoint = parse_endpoint(member->address);
    if (!is_name(member->service) || !endpoint || endpoint->port() == 0)
    {
        return "a member has no service or no address";
    }
    if (member->slots < 1 || member->slots > 1000000)
    {
        return "a capacity is out of range";
    }
    return encode_startup(member->service, "alba", member->instance) ==
                   "STARTUP " + member->service + " alba i-1\r\n"
               ? ""
               : "a member cannot be connected to";
}

std::string fault_of_configuration(const std::string& text)
{
    const auto decoded = decode_configuration(text);
    if (!decoded)
    {
        return {};
    }
    for (const auto& [database, value] : decoded->routes)
    {
        if (!is_name(database) || !is_name(value.service) ||
            database != value.database)
        {
            return "a route has no name or service";
        }
    }
    for (const auto& [name, value] : decoded->services)
    {
        if (!is_name(name) || value.name != name)
        {
            return "a service has no name";
        }
    }
    for (const auto& [name, value] : decoded->customers)
    {
        if (!is_name(name) || value.name != name || !(value.rate_per_s >= 0) ||
            !(value.burst >= 0) || value.rate_per_s > 1e9 || value.burst > 1e9)
        {
            return "a customer has no name or no limit";
        }
    }
    return {};
}

/// Returns what is wrong with a page, compared with its JSON text.
std::string fault_of_page(const std::string& text)
{
    const auto page = decode_page(text, "items");
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!page)
    {
        return {};
    }
    if (!document.is_object() || document["at"] != page->batch.revision)
    {
        return "a page of another revision";
    }
    const auto& items = document["items"];
    std::size_t next = 0;
    for (const auto& item : page->batch.items)
    {
        const auto is_source = [&item](const nlohmann::json& entry)
        {
            return entry.is_object() && entry.contains("key") &&
                   entry["key"] == item.key && entry.contains("revision") &&
                   entry["revision"] == item.revision;
        };
        while (next < items.size() && !is_source(items[next]))
        {
            ++next;
        }
        if (next++ == items.size())
        {
            return "an item that the page does not hold";
        }
        if (decode_base64(encode_base64(item.value)) != item.value)
        {
            return "a value that cannot be written back";
        }
    }
    return {};
}

std::string fault_of_record(const std::string& text)
{
    for (const auto& fault :
         {fault_of_member_record(text), fault_of_configuration(text),
          fault_of_page(text)})
    {
        if (!fault.empty())
        {
            return fault;
        }
    }
    const auto group = decode_replication_group(text);
    if (group)
    {
        const auto again =
            decode_replication_group(encode_replication_group(*group));
        if (!again || encode_replication_group(*again) !=
                          encode_replication_group(*group))
        {
            return "a group that cannot be written back";
        }
    }
    return {};
}

/// Gives messages to the receivers as the UDP port does.
class local_datagrams : public datagram_transport
{
public:
    void send(std::string_view, std::string_view message) override
    {
        sent.emplace_back(message);
    }
    void set_handler(std::string_view word, handler receiver) override
    {
        handlers[std::string(word)] = std::move(receiver);
    }
    std::string address() const override
    {
        return "10.0.0.1:7560";
    }
    void receive(std::string_view message)
    {
        const auto found = handlers.find(consume_word(message));
        if (found != handlers.end())
        {
            found->second("10.0.0.2:7560", message);
        }
    }

    std::vector<std::string> sent;
    std::map<std::string, handler, std::less<>> handlers;
};

/// One descriptor for all hosts, because none of them closes it.
int null_device()
{
    static const int descriptor = ::open("/dev/null", O_WRONLY);
    return descriptor;
}

/// All receivers of a host, with requests that wait for replies.
class host
{
public:
    host()
    {
        hosts_.on_item(
            {host_registry::registration_key("n2"), "10.0.0.2:7560", 1, 1,
             false});
        relay_.set_handler(
            [this](
                const relayed_command& command, const replication_status&,
                time_point)
            {
                if (command.service != "ledger" || command.instance != "i-1")
                {
                    fault = "the answer to another command";
                }
            });
        relay_.send(
            {.service = "ledger",
             .instance = "i-1",
             .kind = pooling::command_kind::step_down,
             .term = 4});
        proxy_configuration configuration;
        configuration.customers["alba"] = {"alba", 5, 5};
        rates_.on_configuration(configuration);
    }

    void receive(const std::string& message)
    {
        network_.receive(message);
        io_.poll();
        io_.restart();
        for (const auto& text : std::exchange(network_.sent, {}))
        {
            // Nothing but tokens can be sent: this host reaches no member.
            if (!text.starts_with("give alba ") &&
                !text.starts_with("ask alba ") &&
                !text.starts_with("member? 1 ledger i-1 step_down 4"))
            {
                fault = "sent: " + text;
            }
        }
    }

    std::string fault;

private:
    boost::asio::io_context io_;
    tests::absent_store store_;
    log::event_log events_{{.descriptor = null_device()}};
    local_datagrams network_;
    host_registry hosts_{
        io_,
        store_,
        {.host = "n1", .address = "10.0.0.1:7560"},
        {[] {}, [] { return time_point::min(); }},
        events_};
    store_path_selector paths_;
    peer_position_exchange positions_{
        network_, hosts_,
        [](std::string_view) -> pooling::service_gateway* { return nullptr; }};
    datagram_member_relay relay_{
        io_, network_, hosts_,
        [](std::string_view) -> pooling::service_gateway* { return nullptr; },
        events_};
    datagram_hold_channel holds_{
        network_, hosts_,
        [](std::string_view) -> pooling::service_gateway* { return nullptr; },
        events_};
    relay_offers offers_{io_, network_, hosts_, "n1", paths_};
    rate_limiter rates_{io_, store_, network_, hosts_, "n1", {}, events_};
};

} // namespace

// Guards against a corpus that is not found, and against known records that end
// the process or leave values that cannot be used.
TEST(record_fuzz, cases_of_records_are_usable_or_refused)
{
    const auto cases = tests::read_corpus("records.txt");
    ASSERT_GE(cases.size(), 15U);
    for (const auto& text : cases)
    {
        EXPECT_EQ(fault_of_record(text), "") << text;
    }
    // Without an accepted case of each kind the mutations have no start.
    EXPECT_TRUE(decode_member("i-1", cases[0]));
    const auto accepts = [&cases](auto decode)
    {
        return std::any_of(
            cases.begin(), cases.end(),
            [&decode](const auto& text) { return decode(text).has_value(); });
    };
    EXPECT_TRUE(accepts(decode_configuration));
    EXPECT_TRUE(accepts(decode_replication_group));
    EXPECT_TRUE(
        accepts([](const auto& text) { return decode_page(text, "items"); }));
}

// Guards against records that are nearly valid and end the process, or leave
// names that are no fields, numbers out of range or items that do not exist.
TEST(record_fuzz, mutated_records_are_usable_or_refused)
{
    const auto texts = rc::gen::container<std::vector<std::string>>(
        texts_per_case, tests::mutated(tests::read_corpus("records.txt")));
    EXPECT_TRUE(rc::check(
        [&texts]
        {
            for (const auto& text : *texts)
            {
                RC_ASSERT(fault_of_record(text) == "");
            }
        }));
}

// Guards against names in the key of a record that a member reads as more than
// one field.
TEST(record_fuzz, mutated_ids_are_fields_or_refused)
{
    const auto record = tests::read_corpus("records.txt").at(0);
    const auto ids = tests::mutated({"i-1", "i-7f3a91c2", "two words", ""});
    EXPECT_TRUE(rc::check(
        [&]
        {
            const auto id = *ids;
            RC_ASSERT(decode_member(id, record).has_value() == is_name(id));
        }));
}

// Guards against a value that is changed on its way to the store and back.
TEST(record_fuzz, values_are_written_back_unchanged)
{
    const auto texts = tests::mutated(tests::read_corpus("records.txt"));
    EXPECT_TRUE(rc::check(
        [&texts]
        {
            const auto text = *texts;
            const auto encoded = encode_base64(text);
            RC_ASSERT(decode_base64(encoded) == text);
            const auto escaped = escape_query(text);
            RC_ASSERT(escaped.find_first_of(" &=#?+\r\n") == std::string::npos);
            const nlohmann::json page{
                {"items",
                 {{{"key", "a"}, {"revision", 3}, {"value", encoded}}}},
                {"at", 9}};
            const auto decoded = decode_page(page.dump(), "items");
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded->batch.items.size() == 1U);
            RC_ASSERT(decoded->batch.items.front().value == text);
        }));
}

// Guards against a datagram that ends the process, or makes it send what it was
// not asked for.
TEST(record_fuzz, mutated_datagrams_change_nothing_else)
{
    const auto cases = tests::read_corpus("datagrams.txt");
    ASSERT_GE(cases.size(), 20U);
    host receiver;
    for (const auto& message : cases)
    {
        receiver.receive(message);
        EXPECT_EQ(receiver.fault, "") << message;
    }
    const auto messages = rc::gen::container<std::vector<std::string>>(
        texts_per_case, tests::mutated(cases));
    EXPECT_TRUE(rc::check(
        [&messages]
        {
            host other;
            for (const auto& message : *messages)
            {
                other.receive(message);
                RC_ASSERT(other.fault == "");
            }
        }));
}
