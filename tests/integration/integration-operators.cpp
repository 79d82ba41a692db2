#include "load_checks.hpp"
#include "support/fleet.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace
{

using zinniahub::errc;
using zinniahub::test::caller;
using zinniahub::test::command_result;
using zinniahub::test::eventually;
using zinniahub::test::fleet;
using zinniahub::test::fleet_options;
using zinniahub::test::joined;
using zinniahub::test::load;
using zinniahub::test::run_command;
using namespace std::chrono_literals;

const std::string group = "booth-ledger";
const std::string customer = "session-desk";

// Exit codes of docs/exit-codes.md.
constexpr int exit_ok = 0;
constexpr int exit_usage = 2;
constexpr int exit_invalid_settings = 3;
constexpr int exit_conflict = 4;
constexpr int exit_not_found = 5;
constexpr int exit_wait_timeout = 6;
constexpr int exit_platform_unavailable = 7;
constexpr int exit_not_run = 8;
constexpr int exit_invalid_resource = 10;

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string value_after(const std::string& text, const std::string& name)
{
    const auto at = text.find(name + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return text.substr(begin, text.find_first_of(" \n", begin) - begin);
}

/// A settings file that is removed with the object.
class settings_file
{
public:
    explicit settings_file(const std::string& text)
        : path_((std::filesystem::temp_directory_path() /
                 ("zinniahub-settings-" + std::to_string(::getpid()) + ".toml"))
                    .string())
    {
        std::ofstream(path_) << text;
    }
    ~settings_file()
    {
        std::remove(path_.c_str());
    }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

    command_result run(const std::string& command) const
    {
        return run_command({ZINNIAHUB_BINARY, command, "--config", path_});
    }

private:
    std::string path_;
};

// Guards against a declaration that does not take effect everywhere, or that
// stays in effect after it was withdrawn.
TEST(operators, declare_watch_and_withdraw)
{
    fleet system{fleet_options{}};
    load traffic(system, {});
    const auto applied = system.operate(
        {"apply", "customer", "shop", "--rate", "100", "--burst", "100"});
    ASSERT_EQ(applied.exit_code, exit_ok) << applied.output;
    const auto key = system.add_key("shop", "k1");
    const auto watched =
        system.operate({"watch", "customer", "shop", "--timeout", "14"});
    ASSERT_EQ(watched.exit_code, exit_ok) << watched.output;
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t i = 0; i < 4; ++i)
    {
        callers.push_back(
            std::make_unique<caller>(system.proxy_address(i), key, group));
        const auto reply =
            callers[i]->write("add shop/" + std::to_string(i) + " 1");
        EXPECT_TRUE(reply.is_done()) << "proxy " << i << ": " << reply.detail;
    }

    const auto withdrawn =
        system.operate({"withdraw", "key", "shop", "--id", "k1"});
    ASSERT_EQ(withdrawn.exit_code, exit_ok) << withdrawn.output;
    const auto gone = system.operate(
        {"watch", "customer", "shop", "--timeout", "5", "--revision",
         value_after(withdrawn.output, "revision")});
    EXPECT_EQ(gone.exit_code, exit_ok) << gone.output;
    for (std::size_t i = 0; i < 4; ++i)
    {
        const auto reply = callers[i]->write("add shop/late 1");
        EXPECT_TRUE(reply.is_refused());
        EXPECT_EQ(reply.code, errc::key_invalid) << "proxy " << i;
    }
    const auto removed = system.operate({"withdraw", "customer", "shop"});
    ASSERT_EQ(removed.exit_code, exit_ok) << removed.output;
    EXPECT_EQ(
        system.operate({"get", "customer", "shop"}).exit_code, exit_not_found);
    const auto all = system.operate(
        {"watch", "customer", "shop", "--timeout", "14", "--revision",
         value_after(removed.output, "revision")});
    EXPECT_EQ(all.exit_code, exit_ok) << all.output;
    expect_nothing_lost(system, traffic, group);
    EXPECT_EQ(system.rows_of(system.primary_of(group)).count("shop/late"), 0u);
}

// Guards against a watch that ends with success, or does not end, while a host
// or a group is not in the declared state.
TEST(operators, watch_ends_with_6_and_the_reason)
{
    fleet system{fleet_options{}};
    const auto ghost = system.operate(
        {"apply", "group", "ghost", "--member", "g0=127.0.0.1:9@brno-studio",
         "--slots", "1", "--connections", "1"});
    ASSERT_EQ(ghost.exit_code, exit_ok) << ghost.output;
    const auto unwritable =
        system.operate({"watch", "group", "ghost", "--timeout", "3"});
    EXPECT_EQ(unwritable.exit_code, exit_wait_timeout) << unwritable.output;
    EXPECT_TRUE(contains(unwritable.output, "no writable primary"))
        << unwritable.output;
    EXPECT_EQ(
        system.operate({"withdraw", "group", "ghost"}).exit_code, exit_ok);

    system.proxy(3).freeze();
    const auto applied = system.operate(
        {"apply", "customer", customer, "--rate", "900", "--burst", "900"});
    ASSERT_EQ(applied.exit_code, exit_ok) << applied.output;
    const auto lagging =
        system.operate({"watch", "customer", customer, "--timeout", "3"});
    EXPECT_EQ(lagging.exit_code, exit_wait_timeout) << lagging.output;
    EXPECT_TRUE(contains(
        lagging.output, "host zlin-colo/proxy3: configuration revision"))
        << lagging.output;
    system.proxy(3).resume();
    const auto converged =
        system.operate({"watch", "customer", customer, "--timeout", "14"});
    EXPECT_EQ(converged.exit_code, exit_ok) << converged.output;
}

// Guards against operator commands with a wrong exit code, and against a
// faulty command that changes the declared state.
TEST(operators, bad_commands_get_the_documented_exit_code)
{
    fleet system{fleet_options{}};
    const auto before = system.operate({"list"}).output;
    const auto code = [&](std::vector<std::string> arguments)
    { return system.operate(std::move(arguments)).exit_code; };
    EXPECT_EQ(code({"apply", "nonsense", "x"}), exit_usage);
    EXPECT_EQ(code({"apply", "key", "nobody", "--id", "k1"}), exit_not_found);
    EXPECT_EQ(code({"get", "customer", "nobody"}), exit_not_found);
    EXPECT_EQ(code({"withdraw", "group", "nothing"}), exit_not_found);
    EXPECT_EQ(code({"watch", "domain", "nowhere"}), exit_not_found);
    EXPECT_EQ(
        code({"apply", "member", group + "/nobody", "--leaving", "yes"}),
        exit_not_found);
    EXPECT_EQ(code({"apply", "key", customer, "--id", "first"}), exit_conflict);
    EXPECT_EQ(
        code(
            {"apply", "customer", customer, "--rate", "1", "--burst", "1",
             "--expect", "0"}),
        exit_conflict);
    EXPECT_EQ(
        code(
            {"apply", "group", "twice", "--member", "m=127.0.0.1:9@a",
             "--member", "m=127.0.0.1:10@b", "--slots", "1", "--connections",
             "1"}),
        exit_invalid_resource);
    EXPECT_EQ(
        code({"apply", "customer", "shop", "--rate", "-1", "--burst", "1"}),
        exit_invalid_resource);
    EXPECT_EQ(system.operate({"list"}).output, before);
    system.platform_command("outage 60000");
    EXPECT_EQ(code({"list"}), exit_platform_unavailable);
    EXPECT_EQ(
        code({"apply", "domain", "zlin-colo", "--in-service", "no"}),
        exit_platform_unavailable);
    system.platform_command("heal");
    EXPECT_TRUE(eventually(
        5s, [&] { return system.operate({"list"}).output == before; }));
}

// Guards against a proxy that starts with a faulty settings file.
TEST(operators, broken_settings_end_with_3_and_the_place)
{
    const std::string valid = "[host]\nname = \"p\"\nfailure_domain = \"d\"\n"
                              "caller_address = \"127.0.0.1:9001\"\n"
                              "peer_address = \"127.0.0.1:9002\"\n"
                              "metrics_address = \"127.0.0.1:9003\"\n"
                              "[platform]\naddress = \"127.0.0.1:9000\"\n";
    struct fault_case
    {
        const char* text;
        const char* reason;
    };
    const fault_case cases[] = {
        {"[host\n", "settings_syntax"},
        {"[drain]\nannounce = 1\n", "settings_unknown_key"},
        {"[drain]\nannounce_ms = \"soon\"\n", "settings_type"},
        {"[drain]\nannounce_ms = -1\n", "settings_range"},
        {"[[member_route]]\nmember = \"m\"\naddress = \"127.0.0.1:1\"\n"
         "[[member_route]]\nmember = \"m\"\naddress = \"127.0.0.1:2\"\n",
         "settings_duplicate"},
        {"[[peer_route]]\nhost = \"h\"\n", "settings_missing"}};
    for (const auto& each : cases)
    {
        const settings_file file(valid + each.text);
        for (const auto* command : {"check", "serve"})
        {
            const auto result = file.run(command);
            EXPECT_EQ(result.exit_code, exit_invalid_settings) << each.text;
            EXPECT_TRUE(contains(result.output, each.reason)) << result.output;
            EXPECT_TRUE(contains(result.output, ".toml:")) << result.output;
        }
    }
    EXPECT_EQ(settings_file(valid).run("check").exit_code, exit_ok);
    EXPECT_EQ(
        run_command({ZINNIAHUB_BINARY, "serve", "--config", "/nonexistent"})
            .exit_code,
        exit_invalid_settings);
}

// Guards against invalid requests that are executed or that affect other
// callers.
TEST(operators, bad_requests_get_a_typed_error_and_do_not_run)
{
    fleet system{fleet_options{}};
    load traffic(system, {});
    const auto expect_refused =
        [&](caller& from, const std::string& text, errc code)
    {
        const auto reply = from.write(text);
        EXPECT_TRUE(reply.is_refused()) << to_string(code);
        EXPECT_EQ(reply.code, code) << reply.detail;
        EXPECT_FALSE(reply.detail.empty() && code == errc::statement_rejected);
    };
    auto desk = system.connect(0, customer);
    ASSERT_TRUE(desk->write("add fee/1 1").is_done());
    const auto token = desk->session_token();

    desk->set_session_token(token.substr(0, token.size() - 1) + "x");
    expect_refused(*desk, "add bad/1 1", errc::session_token_invalid);
    desk->set_session_token(token.substr(0, token.size() / 2));
    expect_refused(*desk, "add bad/2 1", errc::session_token_invalid);
    desk->set_session_token(token);
    expect_refused(
        *desk, "put bad/3 " + std::string(1 << 20, 'x'),
        errc::statement_too_large);
    expect_refused(*desk, "nonsense", errc::statement_rejected);
    desk->set_key("not a key of anybody");
    expect_refused(*desk, "add bad/4 1", errc::key_invalid);
    desk->set_key({});
    expect_refused(*desk, "add bad/5 1", errc::key_missing);
    caller lost(system.proxy_address(0), system.key_of(customer), "no-group");
    expect_refused(lost, "add bad/6 1", errc::group_unknown);
    EXPECT_EQ(desk->commit().outcome, zinniahub::verdict::not_run);
    const auto exec = run_command(
        {ZINNIAHUB_BINARY, "exec", "--proxy", system.proxy_address(0),
         "--group", group, "--key", "not a key of anybody", "add bad/7 1"});
    EXPECT_EQ(exec.exit_code, exit_not_run) << exec.output;
    EXPECT_TRUE(contains(exec.output, "key_invalid")) << exec.output;

    desk->set_key(system.key_of(customer));
    EXPECT_TRUE(desk->write("add fee/2 1").is_done());
    expect_nothing_lost(system, traffic, group);
    for (const auto& [row, value] : system.rows_of(system.primary_of(group)))
    {
        EXPECT_FALSE(row.starts_with("bad/")) << row;
    }
}

// Guards against a caller that stops during a request or a transaction and
// leaves a connection in use or an unfinished transaction behind.
TEST(operators, callers_that_stop_harm_nobody)
{
    auto options = fleet_options{};
    options.statement_ms = 100;
    fleet system{options};
    load traffic(system, {});
    for (int i = 0; i < 30; ++i)
    {
        auto dying = system.connect(0, customer);
        const auto begun = dying->begin();
        ASSERT_TRUE(begun.is_done())
            << i << ": " << to_string(begun.code) << " " << begun.detail;
        zinniahub::v1::Request request;
        request.set_access(zinniahub::v1::ACCESS_WRITE);
        request.set_text("add dead/" + std::to_string(i) + " 1");
        dying->send(request);
        dying->disconnect();
    }
    // More transactions were left than the member has connections (20).
    auto desk = system.connect(0, customer);
    EXPECT_TRUE(desk->begin().is_done());
    EXPECT_TRUE(desk->write("add fee/1 1").is_done());
    EXPECT_TRUE(desk->commit().is_done());
    expect_nothing_lost(system, traffic, group);
    EXPECT_TRUE(eventually(
        5s,
        [&]
        {
            return system.metric(0, "zinniahub_open_transactions") == 0 &&
                   system.metric(0, "zinniahub_open_requests") == 0;
        }));
    for (const auto& [row, value] : system.rows_of(system.primary_of(group)))
    {
        EXPECT_FALSE(row.starts_with("dead/")) << row;
    }
}

// Guards against a message that cannot be read, because a text is not UTF-8,
// and that harms other streams or leaves a part of its transaction behind.
TEST(operators, text_that_is_not_utf8_ends_its_own_stream_only)
{
    fleet system{fleet_options{}};
    auto other = system.connect(0, customer);
    ASSERT_TRUE(other->begin().is_done());
    ASSERT_TRUE(other->write("add other/1 1").is_done());

    auto sender = system.connect(0, customer);
    ASSERT_TRUE(sender->begin().is_done());
    ASSERT_TRUE(sender->write("add sender/1 1").is_done());
    EXPECT_FALSE(sender->write("add sender/caf\xe9 1").answered);

    EXPECT_TRUE(other->write("add other/2 1").is_done());
    EXPECT_TRUE(other->commit().is_done());
    EXPECT_TRUE(eventually(
        5s,
        [&] { return system.metric(0, "zinniahub_open_transactions") == 0; }));
    const auto rows = system.rows_of(system.primary_of(group));
    EXPECT_TRUE(rows.contains("other/2"));
    for (const auto& [row, value] : rows)
    {
        EXPECT_FALSE(row.starts_with("sender/")) << row;
    }
}

// Guards against text that a message can hold and that gets no reply.
TEST(operators, any_text_of_a_message_is_answered)
{
    using namespace std::string_literals;
    fleet system{fleet_options{}};
    for (const auto& text :
         {""s, " "s, "  "s, "\t"s, "\r"s, "\n"s, "\r\n"s, "\0"s, "\""s,
          "caf\xc3\xa9"s, " a  b "s, "x\nlevel=error event=forged"s})
    {
        auto sender = system.connect(0, customer);
        EXPECT_TRUE(sender->write(text).answered) << text;
        zinniahub::v1::Request request;
        request.set_access(zinniahub::v1::ACCESS_WRITE);
        request.set_text("add row/1 1");
        request.set_statement_class(text);
        EXPECT_TRUE(sender->run(request).is_done()) << text;
        caller stranger(system.proxy_address(0), "key" + text, "group" + text);
        EXPECT_EQ(stranger.write("add row/2 1").code, errc::group_unknown)
            << text;
    }
    EXPECT_FALSE(contains(system.log_of("proxy0"), "\nlevel=error"));
}

// Guards against a refusal that is lost, because it repeats a name as long as
// a message of a client may be.
TEST(operators, refusal_of_a_message_at_the_limit_is_delivered)
{
    // Twice the default of limits.max_statement_bytes and the margin for the
    // other fields.
    constexpr std::size_t message_bytes =
        std::size_t{2} * 1024 * 1024 + std::size_t{64} * 1024;
    // Id, deadline and the header of the group.
    constexpr std::size_t other_fields_bytes = 10;
    fleet system{fleet_options{}};
    caller stranger(
        system.proxy_address(0), "",
        std::string(message_bytes - other_fields_bytes, 'g'));
    const auto reply = stranger.run({});
    EXPECT_TRUE(reply.answered) << reply.detail;
    EXPECT_EQ(reply.code, errc::group_unknown);

    caller above(
        system.proxy_address(0), "",
        std::string(message_bytes - other_fields_bytes + 1, 'g'));
    EXPECT_FALSE(above.run({}).answered);
    EXPECT_TRUE(system.connect(0, customer)->write("add row/1 1").is_done());
}

// Guards against malformed replies of an upstream that reach a caller as an
// answer, or that make a request run twice.
TEST(operators, garbage_of_an_upstream_is_a_typed_error)
{
    fleet system{fleet_options{}};
    load traffic(system, {});
    ASSERT_TRUE(
        eventually(20s, [&] { return traffic.done_operations() > 20; }));
    const auto primary = system.primary_of(group);
    const auto detected = [&]
    {
        double all = 0;
        for (std::size_t i = 0; i < 4; ++i)
        {
            all += system.metric(
                i, "zinniahub_crossed_replies_total{group=\"" + group + "\"}");
        }
        return all;
    };
    for (const auto* fault : {"garbage 5", "crossed 5"})
    {
        const auto before = detected();
        ASSERT_EQ(system.member_command(primary, fault), "ok");
        EXPECT_TRUE(eventually(20s, [&] { return detected() >= before + 5; }))
            << fault;
    }
    ASSERT_EQ(system.member_command(primary, "double 5"), "ok");
    EXPECT_TRUE(traffic.progresses(50, 20s));
    traffic.stop();
    const auto cut = cut_requests(traffic.records());
    EXPECT_EQ(cut.size(), count_failed(traffic.records(), errc::reply_mismatch))
        << joined(cut);
    expect_no_faults(traffic, system.rows_of(primary));

    auto desk = system.connect(0, customer);
    for (const auto* fault : {"garbage", "crossed"})
    {
        const auto row = std::string("spoilt/") + fault;
        ASSERT_EQ(
            system.member_command(primary, std::string(fault) + " 1"), "ok");
        const auto reply = desk->write("add " + row + " 1");
        EXPECT_EQ(reply.outcome, zinniahub::verdict::unknown) << fault;
        EXPECT_EQ(reply.code, errc::reply_mismatch) << reply.detail;
        EXPECT_EQ(system.rows_of(primary)[row], "1");
    }
    EXPECT_TRUE(desk->write("add fee/1 1").is_done());
}

} // namespace
