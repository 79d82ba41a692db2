#include "fake_platform_store.hpp"
#include "kv/keys.hpp"
#include "operator/apply.hpp"
#include "operator/command_line.hpp"
#include "operator/exec.hpp"
#include "operator/json.hpp"
#include "operator/watch.hpp"
#include "zinniahub/v1/caller.grpc.pb.h"

#include <fmt/format.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <gtest/gtest.h>

#include <functional>

namespace
{

using namespace zinniahub;
using namespace zinniahub::commands;
using tests::fake_platform_store;

constexpr std::string_view group_key = "/zinniahub/config/group/takes";

group_declaration takes_group()
{
    return {
        "takes", {"m1=127.0.0.1:1@brno", "m2=127.0.0.1:2@zlin"}, 3, 20, false};
}

// Guards against reuse of a uid: session tokens of a deleted group would be
// accepted by the new one.
TEST(operator_apply, uids_are_kept_and_never_reused)
{
    fake_platform_store store;
    const auto first = apply_group(store, takes_group(), {});
    ASSERT_TRUE(first);
    EXPECT_EQ(first->resource.value.group().uid(), 1U);

    auto wider = takes_group();
    wider.slots = 4;
    const auto second = apply_group(store, wider, {});
    ASSERT_TRUE(second);
    EXPECT_EQ(second->resource.value.group().uid(), 1U);

    const auto kind = *kind_of("group");
    ASSERT_TRUE(withdraw_resource(store, kind, "takes", {}));
    const auto again = apply_group(store, takes_group(), 0);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->resource.value.group().uid(), 2U);
}

// Guards against allocating the same uid to two concurrent operators.
TEST(operator_apply, concurrent_operators_get_different_uids)
{
    fake_platform_store store;
    store.before_write = [&]
    {
        auto other = takes_group();
        other.name = "shop";
        EXPECT_TRUE(apply_group(store, other, {}));
    };
    const auto applied_group = apply_group(store, takes_group(), {});
    ASSERT_TRUE(applied_group);
    EXPECT_EQ(applied_group->resource.value.group().uid(), 2U);
}

// Guards against a lost reply that makes an operator repeat a change or lose
// a uid that is in use.
TEST(operator_apply, lost_answers_do_not_fail_the_change)
{
    fake_platform_store store;
    store.lost_answers = 2;
    const auto outcome = apply_group(store, takes_group(), {});
    ASSERT_TRUE(outcome);
    EXPECT_EQ(
        outcome->resource.revision, store.revision_of(std::string(group_key)));
    EXPECT_EQ(store.writes, 2);
}

// Guards against overwriting the concurrent change of another operator.
TEST(operator_apply, second_concurrent_writer_gets_a_conflict)
{
    fake_platform_store store;
    ASSERT_TRUE(apply_domain(store, "brno", true, {}));
    store.before_write = [&]
    { EXPECT_TRUE(apply_domain(store, "brno", true, 1)); };
    EXPECT_TRUE(apply_domain(store, "brno", false, 1));

    const auto stale = apply_domain(store, "brno", true, 1);
    ASSERT_FALSE(stale);
    EXPECT_EQ(stale.error().code, errc::conflict);

    store.before_write = [&]
    { store.records["/zinniahub/config/domain/brno"].revision = 99; };
    const auto raced = apply_domain(store, "brno", true, {});
    ASSERT_FALSE(raced);
    EXPECT_EQ(raced.error().code, errc::conflict);
}

// Guards against configuration changes without effect, which every host would
// have to fetch.
TEST(operator_apply, unchanged_resource_is_not_written)
{
    fake_platform_store store;
    ASSERT_TRUE(apply_group(store, takes_group(), {}));
    const auto writes = store.writes;
    const auto again = apply_group(store, takes_group(), {});
    ASSERT_TRUE(again);
    EXPECT_FALSE(again->changed);
    EXPECT_EQ(store.writes, writes);
}

// Guards against a leaving member that gets new work after a change of its
// group.
TEST(operator_apply, leaving_member_keeps_leaving)
{
    fake_platform_store store;
    ASSERT_TRUE(apply_group(store, takes_group(), {}));
    ASSERT_TRUE(apply_member(store, "takes/m2", true, {}));
    auto wider = takes_group();
    wider.slots = 5;
    const auto changed = apply_group(store, wider, {});
    ASSERT_TRUE(changed);
    EXPECT_TRUE(changed->resource.value.group().members(1).leaving());
    EXPECT_EQ(
        apply_member(store, "takes/m9", true, {}).error().code,
        errc::not_found);
}

struct invalid_group
{
    const char* name;
    std::function<void(group_declaration&)> change;
    errc code;
};

// Guards against an invalid record in the platform, and against uids that are
// consumed by refused declarations.
TEST(operator_apply, invalid_groups_are_refused)
{
    const invalid_group cases[]{
        {"bad_name", [](auto& g) { g.name = "a/b"; }, errc::resource_invalid},
        {"no_slots", [](auto& g) { g.slots = 0; }, errc::resource_invalid},
        {"no_members", [](auto& g) { g.members.clear(); },
         errc::resource_invalid},
        {"member_twice", [](auto& g) { g.members[1] = "m1=127.0.0.1:2@zlin"; },
         errc::resource_invalid},
        {"address_twice", [](auto& g) { g.members[1] = "m2=127.0.0.1:1@zlin"; },
         errc::resource_invalid},
        {"bad_address", [](auto& g) { g.members[0] = "m1=localhost:1@brno"; },
         errc::resource_invalid},
        {"no_domain", [](auto& g) { g.members[0] = "m1=127.0.0.1:1"; },
         errc::usage}};
    for (const auto& test : cases)
    {
        SCOPED_TRACE(test.name);
        fake_platform_store store;
        auto declared = takes_group();
        test.change(declared);
        const auto refused = apply_group(store, declared, {});
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().code, test.code);
        EXPECT_EQ(store.writes, 0);
    }
}

// Guards against a key that is stored in plain text, against the loss of keys
// when a customer changes, and against a key shared by two customers.
TEST(operator_apply, keys_are_stored_as_digests_of_one_customer)
{
    fake_platform_store store;
    for (const auto* name : {"desk", "shop"})
        ASSERT_TRUE(
            apply_customer(store, {name, 10, 20, {}, {"takes"}, false}, {}));
    const auto key = generate_key();
    ASSERT_TRUE(key);
    EXPECT_EQ(key->size(), 64U);
    ASSERT_TRUE(apply_key(store, "desk", "k1", *key, {}));
    for (const auto& [name, record] : store.records)
        EXPECT_EQ(record.value.find(*key), std::string::npos) << name;

    const auto changed =
        apply_customer(store, {"desk", 30, 20, {}, {}, false}, {});
    ASSERT_TRUE(changed);
    const auto& customer = changed->resource.value.customer();
    ASSERT_EQ(customer.keys_size(), 1);
    EXPECT_EQ(customer.keys(0).digest(), digest_of(*key));
    EXPECT_EQ(customer.groups_size(), 1);

    EXPECT_EQ(
        apply_key(store, "shop", "k1", *key, {}).error().code,
        errc::already_exists);
    EXPECT_EQ(
        apply_key(store, "desk", "k1", *generate_key(), {}).error().code,
        errc::already_exists);
    EXPECT_EQ(
        apply_key(store, "desk", "k2", "short", {}).error().code,
        errc::resource_invalid);
    ASSERT_TRUE(withdraw_key(store, "desk", "k1", {}));
    EXPECT_EQ(
        withdraw_key(store, "desk", "k1", {}).error().code, errc::not_found);
}

// SHA-256 of "abc", from FIPS 180-2.
TEST(operator_apply, digest_is_sha256)
{
    EXPECT_EQ(
        to_hex(digest_of("abc")),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

struct watch_case
{
    const char* name;
    std::function<void(v1::HostReport&, v1::DomainReport&)> change;
    /// Part of the first reason; nullptr if the resource has converged.
    const char* reason;
    std::size_t lags;
};

constexpr std::uint64_t now_ms = 1'000'000;

stored_resource leaving_member_group()
{
    stored_resource group{*kind_of("group"), "takes", 7, {}};
    group.value.mutable_group()->set_name("takes");
    auto* member = group.value.mutable_group()->add_members();
    member->set_name("m1");
    member->set_leaving(true);
    group.value.mutable_group()->add_members()->set_name("m2");
    return group;
}

fleet_view one_host_fleet(const watch_case& test)
{
    fleet_view fleet;
    fleet.now_ms = now_ms;
    auto& entry = fleet.hosts.emplace_back();
    entry.set_name("h1");
    entry.set_failure_domain("brno");
    auto& report = fleet.reports.emplace_back();
    report.set_failure_domain("brno");
    report.set_written_at_ms(now_ms - 1000);
    auto& host = *report.add_hosts();
    host.set_host("h1");
    host.set_failure_domain("brno");
    host.set_applied_revision(7);
    auto& group = *host.add_groups();
    group.set_group("takes");
    group.set_writable(true);
    group.set_primary("m2");
    test.change(host, report);
    return fleet;
}

// Guards against a resource that is shown as converged while a host does not
// have the declared state or its state is not known. An old report does not
// show that the group is writable, which is a second lag.
TEST(operator_watch, each_lag_is_shown_with_its_reason)
{
    const watch_case cases[]{
        {"converged", [](auto&, auto&) {}, nullptr, 0},
        {"behind", [](auto& h, auto&) { h.set_applied_revision(6); },
         "revision 7 not reached, applied 6", 1},
        {"unconfirmed",
         [](auto& h, auto&) { h.set_configuration_age_ms(5001); },
         "not confirmed for 6 s", 1},
        {"old_host", [](auto& h, auto&) { h.set_report_age_ms(10001); },
         "last report of the host is 11 s old", 2},
        {"old_domain",
         [](auto&, auto& r) { r.set_written_at_ms(now_ms - 10001); },
         "report of the failure domain is 10 s old", 3},
        {"no_host", [](auto& h, auto&) { h.set_host("h2"); },
         "has not reported", 1},
        {"no_domain", [](auto&, auto& r) { r.set_failure_domain("zlin"); },
         "failure domain has no report", 1},
        {"read_only",
         [](auto& h, auto&) { h.mutable_groups(0)->set_writable(false); },
         "no writable primary", 1},
        {"load",
         [](auto& h, auto&)
         {
             h.add_loads()->set_resource("group/takes");
             h.mutable_loads(0)->set_open_requests(2);
         },
         "2 open requests", 1}};
    for (const auto& test : cases)
    {
        SCOPED_TRACE(test.name);
        const std::vector<stored_resource> declared{leaving_member_group()};
        const auto status =
            compare(declared, one_host_fleet(test)).at(0).status;
        EXPECT_EQ(status.converged, test.lags == 0);
        ASSERT_EQ(status.lagging.size(), test.lags)
            << (status.lagging.empty() ? "" : status.lagging[0].reason);
        if (test.reason != nullptr)
        {
            EXPECT_NE(
                status.lagging[0].reason.find(test.reason), std::string::npos)
                << status.lagging[0].reason;
        }
    }
}

// Guards against a fleet without hosts that counts as converged.
TEST(operator_watch, fleet_without_hosts_is_pending)
{
    const std::vector<stored_resource> declared{
        {*kind_of("domain"), "brno", 1, {}}};
    EXPECT_FALSE(compare(declared, {}).at(0).status.converged);
}

/// @brief Proxy that replies to the requests of all streams from a list.
class fake_proxy : public v1::Proxy::Service
{
public:
    fake_proxy()
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(
            "127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
    }

    ~fake_proxy() override
    {
        server_->Shutdown();
    }

    grpc::Status Session(
        grpc::ServerContext*,
        grpc::ServerReaderWriter<v1::Reply, v1::Request>* stream) override
    {
        v1::Request request;
        while (stream->Read(&request))
        {
            requests.push_back(request);
            if (answers.empty())
                return {end_code, "closed"};
            auto reply = answers.front();
            answers.erase(answers.begin());
            reply.set_id(request.id() + wrong_id);
            stream->Write(reply);
        }
        return grpc::Status::OK;
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", port_);
    }

    /// If the list is empty, a request closes its stream.
    std::vector<v1::Reply> answers;
    std::vector<v1::Request> requests;
    std::uint64_t wrong_id = 0;
    grpc::StatusCode end_code = grpc::StatusCode::INTERNAL;

private:
    int port_ = 0;
    std::unique_ptr<grpc::Server> server_;
};

v1::Reply reply_of(v1::Verdict verdict, errc code = {})
{
    v1::Reply reply;
    reply.set_verdict(verdict);
    reply.set_error_code(static_cast<std::uint32_t>(code));
    reply.set_session_token("token");
    return reply;
}

exec_plan plan_of(std::vector<std::string> proxies)
{
    exec_plan plan;
    plan.proxies = std::move(proxies);
    plan.group = "takes";
    plan.statements = {"put a 1", "put b 2"};
    return plan;
}

// Guards against a statement that runs twice because it is sent to a second
// proxy, and against a lost session token.
TEST(operator_exec, only_requests_that_did_not_run_go_to_the_next_proxy)
{
    fake_proxy first;
    fake_proxy second;
    first.answers = {
        reply_of(v1::VERDICT_DONE),
        reply_of(v1::VERDICT_NOT_RUN, errc::draining)};
    second.answers = {reply_of(v1::VERDICT_DONE)};
    std::string token;
    const auto outcomes = run_plan(
        plan_of({"127.0.0.1:1", first.address(), second.address()}),
        [&](const std::string& value) { token = value; });
    ASSERT_EQ(outcomes.size(), 2U);
    EXPECT_EQ(outcomes.back().verdict, verdict::done);
    ASSERT_EQ(second.requests.size(), 1U);
    EXPECT_EQ(second.requests[0].text(), "put b 2");
    EXPECT_EQ(second.requests[0].session_token(), "token");
    EXPECT_EQ(token, "token");
}

// Guards against a request that is given up because its proxy has stopped,
// although it was not run.
TEST(operator_exec, stream_of_a_stopped_proxy_is_retried_at_another)
{
    fake_proxy first;
    fake_proxy second;
    first.end_code = grpc::StatusCode::ABORTED;
    second.answers = {reply_of(v1::VERDICT_DONE), reply_of(v1::VERDICT_DONE)};
    const auto outcomes = run_plan(
        plan_of({first.address(), second.address()}),
        [](const std::string&) {});
    ASSERT_EQ(outcomes.size(), 2U);
    EXPECT_EQ(outcomes.back().verdict, verdict::done);
    EXPECT_EQ(second.requests.size(), 2U);
}

struct final_case
{
    const char* name;
    std::vector<v1::Reply> answers;
    std::uint64_t wrong_id;
    verdict expected;
    errc code;
};

TEST(operator_exec, final_outcomes_are_not_sent_again)
{
    const final_case cases[]{
        {"lost", {}, 0, verdict::unknown, errc::connection_lost},
        {"unknown",
         {reply_of(v1::VERDICT_UNKNOWN, errc::commit_unconfirmed)},
         0,
         verdict::unknown,
         errc::commit_unconfirmed},
        {"crossed",
         {reply_of(v1::VERDICT_DONE)},
         1,
         verdict::unknown,
         errc::reply_mismatch},
        {"refused",
         {reply_of(v1::VERDICT_NOT_RUN, errc::key_invalid)},
         0,
         verdict::not_run,
         errc::key_invalid}};
    for (const auto& test : cases)
    {
        SCOPED_TRACE(test.name);
        fake_proxy first;
        fake_proxy second;
        first.answers = test.answers;
        first.wrong_id = test.wrong_id;
        const auto outcomes = run_plan(
            plan_of({first.address(), second.address()}),
            [](const std::string&) {});
        ASSERT_EQ(outcomes.size(), 1U);
        EXPECT_EQ(outcomes[0].verdict, test.expected);
        EXPECT_EQ(
            outcomes[0].error_code, static_cast<std::uint32_t>(test.code));
        EXPECT_TRUE(second.requests.empty());
    }
}

// Guards against a transaction that continues at another proxy without its
// earlier statements.
TEST(operator_exec, transaction_starts_again_at_the_next_proxy)
{
    fake_proxy first;
    fake_proxy second;
    first.answers = {
        reply_of(v1::VERDICT_DONE), reply_of(v1::VERDICT_DONE),
        reply_of(v1::VERDICT_NOT_RUN, errc::wrong_term)};
    second.answers.assign(4, reply_of(v1::VERDICT_DONE));
    auto plan = plan_of({first.address(), second.address()});
    plan.transaction = true;
    const auto outcomes = run_plan(plan, [](const std::string&) {});
    EXPECT_EQ(outcomes.size(), 4U);
    ASSERT_EQ(second.requests.size(), 4U);
    EXPECT_EQ(second.requests[0].operation(), v1::OPERATION_BEGIN);
    EXPECT_EQ(second.requests[3].operation(), v1::OPERATION_COMMIT);
}

// Guards against output that JSON parsers refuse.
TEST(operator_json, strings_are_escaped)
{
    EXPECT_EQ(json::to_text(json::string("a\"\\\n\x01")), R"("a\"\\\n\u0001")");
    EXPECT_EQ(
        json::to_text(json::string("\xC3\xA9\xFFx")),
        "\"\xC3\xA9\xEF\xBF\xBDx\"");
}

// Guards against command line errors that are silently ignored.
TEST(operator_command_line, faults_are_usage_errors)
{
    std::optional<std::uint64_t> slots;
    std::vector<std::string> groups;
    const option options[]{
        {"slots", &slots, "", "N"}, {"group", &groups, "", "G"}};
    const std::vector<std::string> valid{"--slots=3", "name",    "--group",
                                         "a",         "--group", "b"};
    const auto parsed = parse_arguments(valid, "x", options);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->positional, std::vector<std::string>{"name"});
    EXPECT_EQ(slots, 3U);
    EXPECT_EQ(groups, (std::vector<std::string>{"a", "b"}));
    const std::vector<std::vector<std::string>> faulty{
        {"--slot", "3"}, {"--slots"}, {"--slots", "-1"}, {"--slots", "3x"}};
    for (const auto& args : faulty)
    {
        const auto refused = parse_arguments(args, "x", options);
        ASSERT_FALSE(refused) << args.front();
        EXPECT_EQ(refused.error().code, errc::usage);
    }
}

} // namespace
