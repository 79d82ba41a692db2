#include "control/configuration_sync.hpp"
#include "fake_platform_store.hpp"
#include "kv/platform_client.hpp"
#include "observability/log.hpp"
#include "observability/metrics.hpp"
#include "operator/apply.hpp"
#include "operator/commands.hpp"
#include "operator/explain.hpp"
#include "operator/output.hpp"
#include "operator/resource.hpp"
#include "operator/watch.hpp"
#include "settings/address.hpp"
#include "zinniahub/v1/caller.grpc.pb.h"

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <sstream>

namespace
{

using namespace zinniahub;
using namespace std::string_literals;
using namespace std::chrono_literals;

std::ptrdiff_t count_of(const std::string& text, char character)
{
    return std::count(text.begin(), text.end(), character);
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

v1::Resource domain_named(const std::string& name)
{
    v1::Resource value;
    value.mutable_failure_domain()->set_name(name);
    value.mutable_failure_domain()->set_in_service(true);
    return value;
}

void add_record(
    v1::SyncReply& reply, const std::string& key, const v1::Resource& value)
{
    auto* record = reply.add_records();
    record->set_key(key);
    record->set_revision(reply.revision());
    record->set_value(value.SerializeAsString());
}

/// Applies records of a peer, without a platform.
class synced_host
{
public:
    synced_host()
        : sync_(
              io_, *platform_, 1s, metrics_,
              [this](desired_state_ptr state) { state_ = std::move(state); })
    {
    }

    void apply(const v1::SyncReply& reply)
    {
        sync_.on_relay_reply(reply, clock::now());
    }

    const desired_state* state() const
    {
        return state_.get();
    }

private:
    boost::asio::io_context io_;
    std::unique_ptr<kv::async_platform_client> platform_ =
        kv::async_platform_client::make(io_, "127.0.0.1:1");
    metrics::registry metrics_;
    desired_state_ptr state_;
    control::configuration_sync sync_;
};

// Guards against a key of a peer or the store that ends the process, because
// it is shorter than the prefix of the configuration.
TEST(outside_text, keys_outside_the_configuration_are_skipped)
{
    for (const bool full : {false, true})
    {
        synced_host host;
        v1::SyncReply reply;
        reply.set_revision(5);
        reply.set_full(full);
        add_record(
            reply, "/zinniahub/config/domain/brno", domain_named("brno"));
        for (const auto& key :
             {""s, "/"s, "domain/zlin"s, "/zinniahub/config/"s,
              "/zinniahub/owner/domain/zlin"s})
        {
            add_record(reply, key, domain_named("zlin"));
        }
        ASSERT_NO_THROW(host.apply(reply));
        ASSERT_NE(host.state(), nullptr);
        EXPECT_EQ(host.state()->domains.size(), 1U);
        EXPECT_TRUE(host.state()->domains.contains("brno"));
    }
}

// Guards against a record that replaces another resource, because its value
// names a resource other than its key.
TEST(outside_text, records_under_the_key_of_another_resource_are_skipped)
{
    synced_host host;
    v1::SyncReply reply;
    reply.set_revision(5);
    add_record(reply, "/zinniahub/config/domain/brno", domain_named("brno"));
    for (const auto& key :
         {"domain/brno/x"s, "domain/Brno"s, "group/zlin"s, "domain/z lin"s,
          "domain/"s, "domain/\0zlin"s})
    {
        add_record(reply, "/zinniahub/config/" + key, domain_named("zlin"));
    }
    host.apply(reply);
    ASSERT_NE(host.state(), nullptr);
    EXPECT_EQ(host.state()->domains.size(), 1U);
    EXPECT_TRUE(host.state()->domains.contains("brno"));
}

// Guards against text from outside that ends a field of a log line, and forges
// other fields or lines.
TEST(outside_text, log_fields_end_where_the_writer_says)
{
    struct row
    {
        std::string text;
        std::string written;
    };
    const std::vector<row> rows{
        {"brno-1", "brno-1"},
        {"/zinniahub/config/x", "/zinniahub/config/x"},
        {"", R"("")"},
        {" ", R"(" ")"},
        {"a  b ", R"("a  b ")"},
        {"a\tb", R"("a\tb")"},
        {"a\nb", R"("a\nb")"},
        {"a\rb", R"("a\rb")"},
        {"a\0b"s, R"("a\x00b")"},
        {"a\x7f", R"("a\x7f")"},
        {"a\"b", R"("a\"b")"},
        {"a\\", R"("a\\")"},
        {"\x80\xff", "\x80\xff"},
        {"x\ntime=now level=error event=forged",
         R"("x\ntime=now level=error event=forged")"}};
    for (const auto& [text, written] : rows)
    {
        testing::internal::CaptureStderr();
        log::warning("invalid_resource", "key={} revision={}", text, 7);
        const auto line = testing::internal::GetCapturedStderr();
        EXPECT_EQ(count_of(line, '\n'), 1) << line;
        EXPECT_TRUE(contains(
            line, " event=invalid_resource key=" + written + " revision=7\n"))
            << line;
    }
}

// Guards against a detail with quotes of a record's text, which ends the
// detail early.
TEST(outside_text, log_detail_of_an_invalid_record_is_one_field)
{
    synced_host host;
    v1::SyncReply reply;
    reply.set_revision(5);
    add_record(
        reply, "/zinniahub/config/domain/x",
        domain_named("x\" event=forged\ntime=now"));
    testing::internal::CaptureStderr();
    host.apply(reply);
    const auto lines = testing::internal::GetCapturedStderr();
    EXPECT_FALSE(contains(lines, "\ntime=now")) << lines;
    EXPECT_TRUE(contains(
        lines, R"(detail="name: found \"x\" event=forged\ntime=now\")"))
        << lines;
}

// Guards against a class of any length that a client chooses: each of the
// label's lines repeats it, and the page of the metrics outgrows the memory.
TEST(outside_text, long_statement_classes_count_as_other)
{
    metrics::registry numbers;
    const std::string longest(64, 'c');
    for (const auto& name : {longest, longest + "c", std::string(1 << 20, 'd')})
    {
        numbers.series_of("plant", name)
            .record(verdict::done, errc{}, false, 1ms);
    }
    const auto page = numbers.expose();
    EXPECT_LT(page.size(), 20'000U);
    EXPECT_TRUE(
        contains(page, "class=\"" + longest + "\",verdict=\"done\"} 1"));
    EXPECT_TRUE(contains(page, R"(class="other",verdict="done"} 2)"));
}

// Guards against text after the address, which the parser does not see but
// the connection, a log line or a message would hold.
TEST(outside_text, addresses_hold_nothing_but_the_address)
{
    for (const auto& host :
         {"127.0.0.1\0x"s, "127.0.0.1 "s, " 127.0.0.1"s, "127.0.0.1\n"s,
          "127.0.0.1\t"s, "127.0.0.1\r"s, "127.0.0.1\x80"s, "\0"s, ""s, "unix"s,
          "dns:///127.0.0.1"s})
    {
        const auto address = host + ":5401";
        EXPECT_FALSE(settings::is_address(address)) << address;
        const group_resource group{
            "takes", 1, {{"m1", address, "brno", false}}, 3, 20, false};
        EXPECT_FALSE(validate(resource(group))) << address;
    }
    for (const auto& host :
         {"[::1%x\n]"s, "[fe80::1%eth0 x]"s, "[fe80::1%]"s, "[::1\0]"s})
    {
        EXPECT_FALSE(settings::is_address(host + ":5401")) << host;
    }
    EXPECT_TRUE(settings::is_address("127.0.0.1:5401"));
    EXPECT_TRUE(settings::is_address("[::1]:5401"));
    EXPECT_TRUE(settings::is_address("[fe80::1%eth0]:5401"));
}

/// Answers each request with rows and a detail that hold separators.
class hostile_proxy final : public v1::Proxy::Service
{
public:
    grpc::Status Session(
        grpc::ServerContext*,
        grpc::ServerReaderWriter<v1::Reply, v1::Request>* stream) override
    {
        v1::Request request;
        while (stream->Read(&request))
        {
            ++requests;
            v1::Reply reply;
            reply.set_id(request.id());
            reply.set_verdict(v1::VERDICT_NOT_RUN);
            reply.set_error_code(
                static_cast<std::uint32_t>(errc::request_invalid));
            reply.set_error_detail("x\" forged=1\nstatement verdict=done");
            reply.set_served_by("m1 role=primary");
            auto* row = reply.add_rows();
            row->set_key("k\t1");
            row->set_value("\"v\"\\\nstatement verdict=done");
            stream->Write(reply);
        }
        return grpc::Status::OK;
    }

    std::atomic<int> requests = 0;
};

/// Runs `exec` with one statement at a proxy in this process.
class exec_outside_text : public testing::Test
{
protected:
    exec_outside_text()
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(
            "127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
        builder.RegisterService(&proxy);
        server_ = builder.BuildAndStart();
    }

    ~exec_outside_text() override
    {
        server_->Shutdown();
    }

    commands::exit_code
    run(const std::string& group, const std::string& key,
        const std::string& statement)
    {
        const std::vector<std::string> arguments{
            "--proxy=127.0.0.1:" + std::to_string(port_), "--group=" + group,
            "--key=" + key, "--", statement};
        return commands::run_exec(arguments);
    }

    hostile_proxy proxy;

private:
    int port_ = 0;
    std::unique_ptr<grpc::Server> server_;
};

// Guards against rows and details that forge rows or the line with the verdict.
TEST_F(exec_outside_text, output_lines_end_where_the_command_says)
{
    testing::internal::CaptureStdout();
    run("takes", "", "SELECT");
    const auto lines = testing::internal::GetCapturedStdout();
    EXPECT_EQ(count_of(lines, '\n'), 2) << lines;
    EXPECT_EQ(count_of(lines, '\t'), 1) << lines;
    EXPECT_TRUE(contains(lines, "k\\t1\t\"v\"\\\\\\nstatement verdict=done\n"))
        << lines;
    EXPECT_TRUE(contains(lines, R"( served_by="m1 role=primary" )")) << lines;
    EXPECT_TRUE(contains(
        lines, R"( detail="x\" forged=1\nstatement verdict=done")"
               "\n"))
        << lines;
}

// Guards against text that a proxy cannot read: it ends the stream without a
// reply, and the statement counts as one that may have run.
TEST_F(exec_outside_text, text_that_is_not_utf8_is_not_sent)
{
    const std::string bad = "caf\xe9";
    testing::internal::CaptureStderr();
    EXPECT_EQ(run("takes", "", bad), commands::exit_code::usage);
    EXPECT_EQ(run(bad, "", "SELECT"), commands::exit_code::usage);
    EXPECT_EQ(run("takes", bad, "SELECT"), commands::exit_code::usage);
    testing::internal::GetCapturedStderr();
    EXPECT_EQ(proxy.requests.load(), 0);
    testing::internal::CaptureStdout();
    run("takes", "", "caf\xc3\xa9");
    testing::internal::GetCapturedStdout();
    EXPECT_EQ(proxy.requests.load(), 1);
}

// Guards against a text of a log line that forges lines or fields of the
// explanation.
TEST(outside_text, explain_prints_each_field_as_one)
{
    commands::explanation summary("77");
    std::istringstream input(
        R"({"ts":300,"node":"n 1","event":"reply_failed","id":"77","name":"a b\n400 n2 forged","why":"busy"})");
    summary.read(input);
    const auto text = summary.text();
    EXPECT_EQ(count_of(text, '\n'), 1) << text;
    EXPECT_TRUE(contains(text, R"( name="a b\n400 n2 forged" why=busy)"))
        << text;
    EXPECT_TRUE(contains(text, R"("n 1")")) << text;
}

// Guards against a record whose text forges lines of `list` and `get`.
TEST(outside_text, listed_resources_are_one_line)
{
    commands::stored_resource stored{
        *commands::kind_of("domain"), "x\ngroup/forged", 3, domain_named("x")};
    EXPECT_EQ(count_of(commands::to_text(stored), '\n'), 0);
}

// Guards against a host whose name forges lines of `watch`.
TEST(outside_text, watched_hosts_are_one_line)
{
    commands::watched_resource watched{
        {*commands::kind_of("domain"), "x", 3, domain_named("x")}, {}};
    watched.status.observed = "in force on 0 of 1 hosts";
    lagging_host lag;
    lag.failure_domain = "x\n  lagging: none";
    lag.host = "h\r\nconverged domain/x";
    lag.reason = "primary m1\nconverged is not declared";
    watched.status.lagging.push_back(lag);
    EXPECT_EQ(count_of(commands::to_text(watched), '\n'), 2);
}

// Guards against an error whose detail forges further lines of standard error.
TEST(outside_text, reported_errors_are_one_line)
{
    testing::internal::CaptureStderr();
    commands::report(
        {errc::usage, "member \"a\nzinniahub: error 0 ok\""},
        commands::output_format::text);
    const auto text = testing::internal::GetCapturedStderr();
    EXPECT_EQ(count_of(text, '\n'), 1) << text;
}

// Guards against a declared key that no client can send.
TEST(outside_text, keys_are_utf8)
{
    tests::fake_platform_store store;
    commands::customer_declaration plant;
    plant.name = "plant";
    plant.rate = 10;
    plant.burst = 10;
    ASSERT_TRUE(commands::apply_customer(store, plant, {}));
    EXPECT_FALSE(
        commands::apply_key(store, "plant", "k1", "0123456789abcde\xff", {}));
    EXPECT_TRUE(commands::apply_key(
        store, "plant", "k1", "0123456789abc\xc3\xa9 ", {}));
}

} // namespace
