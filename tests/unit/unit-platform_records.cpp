#include "platform/http_store.hpp"
#include "platform/records.hpp"
#include "platform/settings_file.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

using namespace zinniahub;
using namespace zinniahub::platform;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

json configuration_record()
{
    return json::parse(R"({
      "version": 7,
      "routes": [
        {"name":"r1","host":"books","type":"primary","service":"ledger",
         "timeout_ms":800,"target_latency_ms":150,"priority":1,"public":false},
        {"name":"r2","host":"shelf","type":"bounded_staleness",
         "service":"ledger","max_staleness_ms":1500,"public":true}],
      "services": [{"name":"ledger","max_connections":22,"sync_replicas":1}],
      "limits": {"tx_idle_ms": 2500, "max_body_bytes": 262144},
      "tenants": [
        {"name":"alba","api_keys":["k1","k2"],"rate_per_s":138,"burst":140}]})");
}

json member_record()
{
    return json::parse(R"({
      "service":"ledger","address":"10.128.0.9:8080","zone":"z1","version":"v1",
      "capacity":3,"phase":"ready","warmup_remaining_ms":0,
      "db_role":"replica","sequence":4,"born":1700000000000})");
}

} // namespace

// Guards against configuration fields that are read by the wrong name.
TEST(platform_records, decodes_the_configuration)
{
    const auto decoded = decode_configuration(configuration_record().dump());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->version, 7U);
    const auto& books = decoded->routes.at("books");
    EXPECT_EQ(books.service, "ledger");
    EXPECT_EQ(books.consistency, read_consistency::latest);
    EXPECT_EQ(books.statement_timeout, 800ms);
    EXPECT_EQ(books.target_latency, 150ms);
    const auto& shelf = decoded->routes.at("shelf");
    EXPECT_EQ(shelf.max_staleness, 1500ms);
    EXPECT_TRUE(shelf.is_public);
    EXPECT_EQ(decoded->services.at("ledger").max_connections, 22U);
    EXPECT_EQ(decoded->customers.at("alba").rate_per_s, 138);
    ASSERT_NE(decoded->keys.customer_of("k2"), nullptr);
    EXPECT_EQ(*decoded->keys.customer_of("k2"), "alba");
    EXPECT_EQ(decoded->keys.customer_of("k3"), nullptr);
    EXPECT_EQ(decoded->transaction_idle_limit, 2500ms);
    EXPECT_EQ(decoded->unreadable, 0U);
}

// Guards against an invalid entry that makes the valid ones unusable.
TEST(platform_records, skips_invalid_entries)
{
    auto record = configuration_record();
    record["routes"][0]["type"] = "unheard_of";
    record["services"].push_back({{"name", 5}});
    const auto decoded = decode_configuration(record.dump());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->routes.count("books"), 0U);
    EXPECT_EQ(decoded->routes.count("shelf"), 1U);
    EXPECT_EQ(decoded->unreadable, 2U);
    EXPECT_FALSE(decode_configuration("{}"));
    EXPECT_FALSE(decode_configuration("[1]"));
}

// Guards against routing to a member whose registration is incomplete or was
// not written by a member.
TEST(platform_records, rejects_incomplete_registrations)
{
    const auto decoded = decode_member("i-1", member_record().dump());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->instance, "i-1");
    EXPECT_EQ(decoded->failure_domain, "z1");
    EXPECT_EQ(decoded->started_ms, 1700000000000U);
    for (const auto* field :
         {"service", "address", "zone", "phase", "db_role", "capacity",
          "sequence", "version", "warmup_remaining_ms"})
    {
        auto missing = member_record();
        missing.erase(field);
        EXPECT_FALSE(decode_member("i-1", missing.dump())) << field;
        auto other_type = member_record();
        other_type[field] = json::array();
        EXPECT_FALSE(decode_member("i-1", other_type.dump())) << field;
    }
    auto without_start = member_record();
    without_start.erase("born");
    EXPECT_TRUE(decode_member("i-1", without_start.dump()));
    for (const auto& born : {json(-1), json(1.5), json("1"), json(nullptr)})
    {
        without_start["born"] = born;
        EXPECT_FALSE(decode_member("i-1", without_start.dump())) << born;
    }
    auto unknown_phase = member_record();
    unknown_phase["phase"] = "resting";
    EXPECT_FALSE(decode_member("i-1", unknown_phase.dump()));
    EXPECT_FALSE(decode_member("i-1", "\xff\x00"));
}

// Guards against a crash on records of arbitrary bytes.
TEST(platform_records, decoders_accept_arbitrary_bytes)
{
    EXPECT_TRUE(rc::check(
        [](const std::string& text)
        {
            decode_configuration(text);
            decode_member("i-1", text);
            decode_page(text, "items");
            decode_base64(text);
            parse_settings(text);
        }));
}

// Guards against values that change when they are stored and read back.
TEST(platform_records, base64_round_trip)
{
    EXPECT_TRUE(rc::check(
        [](const std::string& bytes)
        {
            const auto decoded = decode_base64(encode_base64(bytes));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(*decoded == bytes);
        }));
}

// Guards against an undecodable item that hides the others.
TEST(platform_records, batch_skips_invalid_items)
{
    const auto page = decode_page(
        R"({"items":[{"key":"a","value":"eA==","revision":3},
            {"key":"b","value":5,"revision":4},"text",
            {"key":"c","revision":5,"deleted":true}],
            "has_more":true,"at":9})",
        "items");
    ASSERT_TRUE(page);
    const auto& batch = page->batch;
    ASSERT_EQ(batch.items.size(), 2U);
    EXPECT_EQ(batch.items[0].value, "x");
    EXPECT_TRUE(batch.items[1].removed);
    EXPECT_TRUE(page->has_more);
    EXPECT_EQ(batch.revision, 9U);
}

// Guards against a name that ends a header or a key early.
TEST(platform_records, refuses_a_node_name_that_is_no_field)
{
    for (const std::string name : {"n 1", "n\\r1", "n\\n1"})
    {
        const auto settings = parse_settings(
            "node_name = \"" + name +
            "\"\n[listen_addrs]\nfrontend = \"127.0.0.1:1\"\n"
            "ready = \"127.0.0.1:2\"\n[platform]\naddress = "
            "\"127.0.0.1:3\"\n");
        ASSERT_FALSE(settings) << name;
        EXPECT_EQ(settings.error().code, errc::settings_range) << name;
    }
}

// Guards against settings that are read from the wrong key.
TEST(platform_records, reads_the_settings_file)
{
    const auto settings = parse_settings(R"(
node_name = "frontend-1"
zone = "z1"
ip_address = "10.1.0.26"
internal_port_range = [7560, 7575]
[listen_addrs]
frontend = "10.1.0.26:8465"
ready = "10.1.0.26:8460"
[bounds]
grace_period_s = 6
drain_timeout_ms = 7000
touch_ms = 5000
quota_overage = 0.1
quota_tolerance = 20
[platform]
address = "10.200.1.7:8466"
[cloud_api]
address = "10.200.0.2:8466"
assigned_tasks = ["promotion"]
[limits]
memory_mb = 320
max_file_descriptors = -1
)");
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->memory_mb, 320U);
    EXPECT_EQ(settings->max_file_descriptors, 4200U);
    EXPECT_EQ(settings->node, "frontend-1");
    EXPECT_EQ(settings->peer_address, "10.1.0.26:7560");
    EXPECT_EQ(settings->store_address, "10.200.1.7:8466");
    EXPECT_TRUE(settings->promotion_enabled);
    EXPECT_EQ(settings->store_recovery_limit, std::chrono::seconds(5));
    EXPECT_EQ(settings->grace_period, 6s);
    EXPECT_EQ(settings->quota_tolerance, 20);
    EXPECT_EQ(parse_settings("zone = 1").error().code, errc::settings_missing);
    EXPECT_EQ(parse_settings("zone =").error().code, errc::settings_syntax);
}

// Guards against heartbeats where the settings do not ask for them.
TEST(platform_records, failure_domains_are_watched_only_where_settings_say_so)
{
    const auto enabled = [](std::string_view extra)
    {
        const auto settings = parse_settings(
            std::string("node_name = \"n\"\n") + std::string(extra) +
            "[listen_addrs]\nfrontend = \"10.1.0.2:1\"\nready = "
            "\"10.1.0.2:2\"\n[platform]\naddress = \"10.1.0.1:3\"\n");
        return settings && settings->domain_watch_enabled;
    };
    EXPECT_FALSE(enabled(""));
    EXPECT_FALSE(enabled("[zones]\na = [\"10.1.0.0/24\"]\nb = []\n"));
    EXPECT_FALSE(enabled("[fault_tolerance]\nzones = 1\n[zones]\na = []\n"));
    EXPECT_TRUE(
        enabled("[fault_tolerance]\nzones = 1\n[zones]\na = []\nb = []\n"));
    EXPECT_TRUE(enabled("zones = [\"a\", \"b\"]\nfault_tolerance.zones = 1\n"));
}
