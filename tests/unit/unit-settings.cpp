#include "settings/address.hpp"
#include "settings/settings.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

using zinniahub::errc;
using namespace zinniahub::settings;

const std::string valid = R"([host]
name = "h1"
failure_domain = "brno-studio"
caller_address = "127.0.0.1:7001"
peer_address = "127.0.0.1:7002"
metrics_address = "0.0.0.0:7003"
[platform]
address = "127.0.0.1:7000"
)";

struct broken_file
{
    const char* name;
    /// Text after the valid part, which ends at line 8.
    std::string text;
    errc code;
    std::uint32_t line;
    std::uint32_t column;
    std::string key;
    std::string found;
};

const std::vector<broken_file> broken_files{
    {"unknown_key", "[limits]\nqueue = 3", errc::settings_unknown_key, 10, 1,
     "limits.queue", "3"},
    {"unknown_section", "[limit]\nqueue_total = 3", errc::settings_unknown_key,
     9, 2, "limit", "a table"},
    {"duplicate_key", "[rates]\nseats = 8\nseats = 9", errc::settings_duplicate,
     11, 9, "", ""},
    {"duplicate_section", "[host]\nname = \"h2\"", errc::settings_duplicate, 9,
     0, "", ""},
    {"text_for_number", "[rates]\nseats = \"8\"", errc::settings_type, 10, 9,
     "rates.seats", "\"8\""},
    {"float_for_integer", "[rates]\nseats = 8.5", errc::settings_type, 10, 9,
     "rates.seats", "8.5"},
    {"number_for_choice", "[routing]\nreads = 1", errc::settings_type, 10, 9,
     "routing.reads", "1"},
    {"key_in_wrong_section", "seats = 1", errc::settings_unknown_key, 9, 1,
     "platform.seats", "1"},
    {"below_bound", "[limits]\nqueue_total = 0", errc::settings_range, 10, 15,
     "limits.queue_total", "0"},
    {"negative", "[limits]\ntoken_wait_ms = -1", errc::settings_range, 10, 17,
     "limits.token_wait_ms", "-1"},
    {"above_32_bits", "[limits]\nqueue_total = 4294967297",
     errc::settings_range, 10, 15, "limits.queue_total", "4294967297"},
    {"unknown_choice", "[routing]\ncommit = \"all\"", errc::settings_range, 10,
     10, "routing.commit", "\"all\""},
    {"deadline_above_limit", "[limits]\ndefault_deadline_ms = 30001",
     errc::settings_range, 10, 23, "limits.default_deadline_ms", "30001"},
    {"queue_above_total", "[limits]\nqueue_total = 255", errc::settings_range,
     0, 0, "limits.queue_per_customer", "the default"},
    {"route_without_address", "[[member_route]]\nmember = \"m1\"",
     errc::settings_missing, 9, 1, "member_route.address", "nothing"},
    {"route_twice",
     "[[peer_route]]\nhost = \"h2\"\naddress = \"127.0.0.1:1\"\n"
     "[[peer_route]]\nhost = \"h2\"\naddress = \"127.0.0.1:2\"",
     errc::settings_duplicate, 13, 8, "peer_route.host", "\"h2\""},
    {"route_as_table", "[member_route]\nmember = \"m1\"", errc::settings_type,
     9, 1, "member_route", "a table"},
    {"syntax", "[limits", errc::settings_syntax, 9, 0, "", ""},
};

// Guards against an error that is accepted, or reported at the wrong location.
TEST(settings, each_fault_is_reported_with_its_place)
{
    for (const auto& file : broken_files)
    {
        SCOPED_TRACE(file.name);
        const auto values = parse(valid + file.text, "proxy.toml");
        ASSERT_FALSE(values);
        ASSERT_EQ(values.error().size(), 1U);
        const auto& fault = values.error().front();
        EXPECT_EQ(fault.code, file.code);
        EXPECT_EQ(fault.file, "proxy.toml");
        EXPECT_EQ(fault.line, file.line);
        EXPECT_EQ(fault.key, file.key);
        EXPECT_FALSE(fault.allowed.empty());
        // Text and column of syntax errors are chosen by the TOML parser.
        if (!file.found.empty())
        {
            EXPECT_EQ(fault.found, file.found);
            EXPECT_EQ(fault.column, file.column);
        }
    }
}

TEST(settings, value_in_place_of_a_section_is_reported)
{
    const auto values = parse("relay = 1\n" + valid, "f");
    ASSERT_FALSE(values);
    ASSERT_EQ(values.error().size(), 1U);
    EXPECT_EQ(
        format_error(values.error().front()),
        "f:1:9: 704 settings_type: relay: found 1, allowed: a table");
}

// Guards against a check that stops at the first error.
TEST(settings, all_faults_are_reported_in_the_order_of_lines)
{
    const auto values = parse(
        "[host]\nname = \"a b\"\nfailure_domain = \"d\"\n"
        "caller_address = \"127.0.0.1\"\npeer_address = \"0.0.0.0:1\"\n"
        "[platform]\naddress = 7\n",
        "f");
    ASSERT_FALSE(values);
    std::vector<std::string> lines;
    for (const auto& fault : values.error())
        lines.push_back(format_error(fault));
    ASSERT_EQ(lines.size(), 5U);
    EXPECT_EQ(
        lines[0], "f:1:1: 707 settings_missing: host.metrics_address: found "
                  "nothing, allowed: IP:port with a port in 1..65535");
    EXPECT_EQ(lines[1].substr(0, 36), "f:2:8: 705 settings_range: host.name");
    EXPECT_EQ(lines[2].substr(0, 6), "f:4:18");
    EXPECT_EQ(lines[3].substr(0, 6), "f:5:16");
    EXPECT_EQ(lines[4].substr(0, 28), "f:7:11: 704 settings_type: p");
}

// Guards against two services of a host that listen on the same address.
TEST(settings, listen_addresses_must_differ)
{
    auto text = valid;
    text.replace(text.find("7002"), 4, "7001");
    const auto values = parse(text, "f");
    ASSERT_FALSE(values);
    EXPECT_EQ(values.error().front().code, errc::settings_duplicate);
    EXPECT_EQ(values.error().front().key, "host.peer_address");
}

TEST(settings, missing_file_is_reported)
{
    for (const auto* path : {"/nonexistent/proxy.toml", "/"})
    {
        const auto values = load(path);
        ASSERT_FALSE(values);
        EXPECT_EQ(values.error().front().code, errc::settings_unreadable);
    }
}

// Guards against defaults that differ from docs/configuration.md.
TEST(settings, defaults_and_values_are_read)
{
    const auto defaults = parse(valid, "f");
    ASSERT_TRUE(defaults);
    EXPECT_EQ(defaults->limits.max_configuration_age.count(), 900);
    EXPECT_EQ(defaults->rates.shards, 16U);
    EXPECT_EQ(defaults->routing.commit, commit_strategy::majority_ack);
    EXPECT_TRUE(warnings_of(*defaults).empty());

    const auto values = parse(
        valid + "call_timeout_ms = 250\n[routing]\ncommit = \"primary_ack\"\n"
                "[[member_route]]\nmember = \"m1\"\naddress = \"[::1]:9\"\n",
        "f");
    ASSERT_TRUE(values);
    EXPECT_EQ(values->platform.call_timeout.count(), 250);
    EXPECT_EQ(values->routing.commit, commit_strategy::primary_ack);
    EXPECT_EQ(values->member_routes.at(0).address, "[::1]:9");
    EXPECT_EQ(warnings_of(*values).size(), 2U);
}

TEST(settings, addresses_have_an_ip_and_a_port)
{
    for (const auto* text : {"127.0.0.1:1", "[::1]:65535", "0.0.0.0:80"})
        EXPECT_TRUE(is_address(text)) << text;
    for (const auto* text :
         {"", ":1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
          "127.0.0.1:+1", "localhost:1", "::1:1", "[127.0.0.1]:1", "[]:1"})
        EXPECT_FALSE(is_address(text)) << text;
    EXPECT_FALSE(is_connectable_address("0.0.0.0:80"));
    EXPECT_FALSE(is_connectable_address("[::]:80"));
}

} // namespace
