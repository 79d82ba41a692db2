#include "coordination/bounded_json.hpp"
#include "coordination/replication_group_codec.hpp"
#include "platform/http_store.hpp"
#include "platform/line_server.hpp"
#include "platform/records.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

// Records that another program left in the store, with values that no member
// and no operator writes.

using namespace zinniahub;
using namespace zinniahub::platform;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

const std::string member_text =
    R"({"service":"ledger","address":"10.128.0.9:8080","zone":"z1",
        "version":"v1","capacity":3,"phase":"ready","warmup_remaining_ms":0,
        "db_role":"replica","sequence":4,"born":1700000000000})";

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// The record of a member, with one field replaced by a JSON text.
std::string with_field(const std::string& field, const std::string& value)
{
    auto record = json::parse(member_text);
    record.erase(field);
    auto text = record.dump();
    text.pop_back();
    return text + ",\"" + field + "\":" + value + "}";
}

} // namespace

// Guards against a name from the store that a member reads as several fields
// or as the end of a message.
TEST(odd_records, names_that_are_no_fields_are_skipped)
{
    for (const std::string bad : {"", " ", "a b", "a ", "a\rb", "a\nb"})
    {
        const auto quoted = json(bad).dump();
        EXPECT_FALSE(decode_member(bad, member_text)) << quoted;
        EXPECT_FALSE(decode_member("i-1", with_field("service", quoted)))
            << quoted;
        const json document{
            {"version", 3},
            {"services", {{{"name", bad}}, {{"name", "ledger"}}}},
            {"tenants",
             {{{"name", bad}, {"api_keys", {"k1"}}},
              {{"name", "alba"}, {"api_keys", {"k2"}}}}},
            {"routes",
             {{{"host", bad}, {"service", "ledger"}, {"type", "primary"}},
              {{"host", "db"}, {"service", bad}, {"type", "primary"}},
              {{"host", "db"}, {"service", "ledger"}, {"type", "primary"}}}}};
        const auto decoded = decode_configuration(document.dump());
        ASSERT_TRUE(decoded) << quoted;
        EXPECT_EQ(decoded->unreadable, 4U) << quoted;
        EXPECT_EQ(decoded->services.size(), 1U) << quoted;
        EXPECT_EQ(decoded->routes.size(), 1U) << quoted;
        EXPECT_EQ(decoded->customers.size(), 1U) << quoted;
        EXPECT_EQ(decoded->keys.customer_of("k1"), nullptr) << quoted;
        EXPECT_NE(decoded->keys.customer_of("k2"), nullptr) << quoted;
    }
}

// Guards against a member that can never be reached but counts as one.
TEST(odd_records, addresses_that_cannot_be_reached_name_no_member)
{
    ASSERT_TRUE(decode_member("i-1", member_text));
    for (const auto* address :
         {"10.0.0.1:99999", "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1",
          "10.0.0.1:80x", "10.0.0.1:80:90", "10.0.0.1:", "10.0.0.1", ":80",
          "10.0.0.256:80", "host:80", "", "10.0.0.1:184467440737095516160"})
    {
        const auto record =
            with_field("address", "\"" + std::string(address) + "\"");
        EXPECT_FALSE(decode_member("i-1", record)) << address;
    }
}

// Guards against a process that ends, or takes up its memory, on a record with
// very deep nesting.
TEST(odd_records, deep_nesting_is_rejected_before_it_is_parsed)
{
    for (const std::size_t depth : {33U, 1000U, 500000U})
    {
        const auto deep = nested(depth);
        EXPECT_TRUE(coordination::parse_bounded_json(deep).is_discarded());
        EXPECT_FALSE(decode_member("i-1", with_field("extra", deep)));
        EXPECT_FALSE(decode_member("i-1", deep));
        EXPECT_FALSE(
            decode_configuration(R"({"version":1,"routes":)" + deep + "}"));
        EXPECT_FALSE(coordination::decode_replication_group(deep));
        EXPECT_FALSE(decode_page(deep, "items"));
    }
    EXPECT_TRUE(decode_member("i-1", with_field("extra", nested(20))));
    // Brackets in texts are not nesting.
    EXPECT_TRUE(decode_member(
        "i-1", with_field("extra", "\"" + std::string(100, '[') + "\\\"[\"")));
}

// Guards against numbers beyond the range of the type that they are read into.
TEST(odd_records, numbers_out_of_range_are_rejected_or_bounded)
{
    for (const auto* field : {"capacity", "sequence", "born"})
    {
        for (const auto* number :
             {"1e999", "-1e999", "1e300", "-1", "18446744073709551616",
              "99999999999999999999999999", "0.5", "-0.0"})
        {
            const auto member = decode_member("i-1", with_field(field, number));
            if (member)
            {
                EXPECT_GE(member->slots, 1U) << field << number;
                EXPECT_LE(member->slots, 1000000U) << field << number;
            }
        }
    }
    EXPECT_FALSE(decode_member("i-1", with_field("sequence", "1e30")));
    const auto configuration = decode_configuration(
        R"({"version":1,"services":[{"name":"s","max_connections":1e300}],
            "limits":{"tx_idle_ms":1e300},
            "routes":[{"host":"h","service":"s","type":"primary",
                       "timeout_ms":1e300,"max_staleness_ms":-1e300}],
            "tenants":[{"name":"t","rate_per_s":1e300,"burst":-5}]})");
    ASSERT_TRUE(configuration);
    const auto& route = configuration->routes.at("h");
    EXPECT_EQ(route.statement_timeout, from_seconds(max_seconds));
    EXPECT_EQ(route.max_staleness, -from_seconds(max_seconds));
    EXPECT_EQ(configuration->transaction_idle_limit, from_seconds(max_seconds));
    EXPECT_EQ(configuration->customers.at("t").burst, 0);
    EXPECT_LE(configuration->customers.at("t").rate_per_s, 1e9);
}

// Guards against an item of another type that throws instead of being skipped,
// and against a page without a readable item that ends the listing.
TEST(odd_records, items_of_other_types_hide_no_others)
{
    const auto page = decode_page(
        R"({"items":[{"key":"a","revision":1,"deleted":"yes"},
            {"key":"b","revision":2,"deleted":null},
            {"key":"c","revision":3,"deleted":1},
            {"key":"d","revision":4,"deleted":true},
            {"key":"e","revision":1e30,"value":""},
            {"key":"f","revision":6,"value":"%%%"}],
            "has_more":true,"at":9})",
        "items");
    ASSERT_TRUE(page);
    ASSERT_EQ(page->batch.items.size(), 1U);
    EXPECT_EQ(page->batch.items.front().key, "d");
    EXPECT_TRUE(page->has_more);
    EXPECT_EQ(page->last_key, "f");
}

// Guards against exceptions of the decoders on records that are nearly valid.
TEST(odd_records, mutated_records_never_throw)
{
    const std::vector<std::string> texts{
        member_text,
        R"({"version":3,"routes":[{"host":"h","service":"s","type":"primary"}],
            "services":[{"name":"s","max_connections":3,"sync_replicas":1}],
            "limits":{"tx_idle_ms":5},
            "tenants":[{"name":"t","api_keys":["k"],"rate_per_s":5}]})",
        R"({"primary":"a","term":3,"complete":true,"ordered":"b","members":
            {"a":{"address":"1.1.1.1:1","failure_domain":"z","started_ms":1,
            "draining":false}}})",
        R"({"items":[{"key":"a","value":"eA==","revision":3,"lease_id":4},
            {"key":"c","revision":5,"deleted":true}],"has_more":false,
            "at":9})"};
    const std::vector<std::string> pieces{
        "1e999",
        "-1",
        "18446744073709551616",
        "null",
        "true",
        "{}",
        "[]",
        "\"\"",
        nested(40),
        "\"\xff\"",
        "\"10.0.0.1:99999\"",
        "\\",
        "\"",
        ","};
    std::mt19937 random(20261205);
    for (int round = 0; round < 20000; ++round)
    {
        auto text = texts[random() % texts.size()];
        for (auto edits = 1 + random() % 3; edits > 0; --edits)
        {
            const auto& piece = pieces[random() % pieces.size()];
            const auto at = random() % text.size();
            // Replaces a value after a colon, or any bytes.
            const auto colon = text.find(':', at);
            const bool value = random() % 2 == 0 && colon != std::string::npos;
            const auto from = value ? colon + 1 : at;
            const auto end =
                value ? text.find_first_of(",}]", from) : from + random() % 4;
            text.replace(from, end - from, piece);
        }
        EXPECT_NO_THROW(decode_member("i-1", text)) << text;
        EXPECT_NO_THROW(decode_configuration(text)) << text;
        EXPECT_NO_THROW(coordination::decode_replication_group(text)) << text;
        EXPECT_NO_THROW(decode_page(text, "items")) << text;
        EXPECT_NO_THROW(parse_endpoint(text)) << text;
    }
}
