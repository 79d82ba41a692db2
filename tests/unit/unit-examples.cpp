#include <zinniahub/commit_rule.hpp>
#include <zinniahub/configuration.hpp>
#include <zinniahub/connection_share.hpp>
#include <zinniahub/customer_keys.hpp>
#include <zinniahub/drain.hpp>
#include <zinniahub/fair_queue.hpp>
#include <zinniahub/lease.hpp>
#include <zinniahub/membership.hpp>
#include <zinniahub/observed_state.hpp>
#include <zinniahub/outcome.hpp>
#include <zinniahub/promotion.hpp>
#include <zinniahub/rate_share.hpp>
#include <zinniahub/relay_planner.hpp>
#include <zinniahub/retry_budget.hpp>
#include <zinniahub/routing.hpp>
#include <zinniahub/session_token.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

// The bodies of these tests are the examples of docs/library.md.

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

const time_point now = time_point{} + 1h;

TEST(examples, outcome)
{
    EXPECT_EQ(verdict_of(errc::commit_unconfirmed), verdict::unknown);
    EXPECT_TRUE(is_transient(errc::no_primary));
    // An unknown outcome may be repeated only if running twice equals once.
    EXPECT_FALSE(may_retry(errc::connection_lost, false));
    EXPECT_TRUE(may_retry(errc::connection_lost, true));
}

TEST(examples, session_token)
{
    const auto codec = token_codec::make("a secret of all hosts");
    session_token token;
    token.advance(7, {2, 100});
    const auto sealed = codec->seal(token);

    const auto opened = codec->open(sealed);
    EXPECT_EQ(opened->position_of(7), (log_position{2, 100}));
    EXPECT_EQ(codec->open("forged").error().code, errc::session_token_invalid);
}

TEST(examples, routing)
{
    group_view group;
    group.term = 1;
    group.primary = 0;
    group.members.resize(2);
    for (auto& member : group.members)
    {
        member.reachable = true;
        member.term = 1;
    }
    group.members[0].role = member_role::primary;
    group.members[0].position = {1, 20};
    group.members[1].position = {1, 10};

    const auto router = make_fresh_replica_router();
    EXPECT_EQ(router->choose_write(group).value(), 0U);
    // The replica has not reached position 15 yet.
    EXPECT_EQ(router->choose_read(group, {{1, 10}, {}, 0}).value(), 1U);
    EXPECT_EQ(router->choose_read(group, {{1, 15}, {}, 0}).value(), 0U);
}

TEST(examples, commit_rule)
{
    group_view group;
    group.members.resize(3);
    for (auto& member : group.members)
    {
        member.term = 1;
    }
    group.members[0].position = {1, 5};
    const auto rule = make_majority_ack_rule();
    EXPECT_FALSE(rule->is_satisfied(group, 0, {1, 5}));
    group.members[2].position = {1, 5};
    EXPECT_TRUE(rule->is_satisfied(group, 0, {1, 5}));
}

TEST(examples, promotion)
{
    group_definition definition;
    definition.name = "takes";
    definition.uid = 7;
    definition.members = {
        {"m1", "10.0.0.1:5400", "brno-studio", true},
        {"m2", "10.0.0.2:5400", "brno-archive", true},
        {"m3", "10.0.0.3:5400", "zlin-colo", true}};
    auto monitor = group_monitor::make(definition, {}, now);
    member_status status;
    status.group_uid = 7;
    status.term = 1;
    status.primary = "m1";
    status.role = member_role::primary;
    // Perform the returned actions: calls to members, and new views.
    monitor->on_status(0, status, now);
    EXPECT_EQ(monitor->view().primary, 0U);

    // The replicas have not heard from the primary for too long.
    status.role = member_role::replica;
    bool fences = false;
    for (auto at = now; !fences && at < now + 5s; at += 100ms)
    {
        status.primary_silent = at - now;
        for (const std::size_t member : {1, 2})
        {
            for (const auto& action : monitor->on_status(member, status, at))
            {
                fences |=
                    std::holds_alternative<promotion_action::fence>(action);
            }
        }
    }
    EXPECT_TRUE(fences);
}

TEST(examples, rate_share)
{
    auto owner = token_pool::make({100, 50}, {}, now, now);
    token_holder holder(now);
    const auto later = now + 1s;
    holder.note_request(later);
    // Send the demand to the owner every 50 ms or so.
    const auto demand = holder.make_demand(later, true);
    const auto granted = owner->on_demand(1, 1, demand, later);
    holder.on_grant(granted, later + token_lifetime, later);
    EXPECT_TRUE(holder.try_take(later));
    // Tokens of a grant that has expired are not usable.
    EXPECT_FALSE(holder.try_take(later + 1s));
}

struct job : queue_entry
{
    explicit job(std::string value)
        : text(std::move(value))
    {
    }

    std::string text;
};

TEST(examples, fair_queue)
{
    job first("first");
    job second("second");
    job other("of another customer");
    fair_queue queue({});
    ASSERT_TRUE(queue.push("shop", 1, first));
    ASSERT_TRUE(queue.push("shop", 1, second));
    ASSERT_TRUE(queue.push("desk", 1, other));
    // The customers take turns.
    EXPECT_EQ(queue.pop(), &first);
    EXPECT_EQ(queue.pop(), &other);
    EXPECT_EQ(queue.pop(), &second);
}

TEST(examples, connection_share)
{
    const auto strategy = make_shared_strategy();
    connection_usage usage;
    usage.limit = 20;
    usage.open_total = 10;
    usage.waiting_own = 3;
    usage.hosts = 8;
    EXPECT_GT(strategy->to_open(usage, now), 0U);
    EXPECT_EQ(strategy->to_close(usage, now), 0U);
}

TEST(examples, retry_budget)
{
    retry_budget budget;
    for (int i = 0; i < 100; ++i)
    {
        budget.on_request(now);
    }
    int retries = 0;
    while (budget.try_retry(now))
    {
        ++retries;
    }
    EXPECT_EQ(retries, 20);
}

TEST(examples, customer_keys)
{
    const customer_key keys[] = {{"desk", "k1", digest_of("a long key")}};
    const auto ring = key_ring::make(keys);
    EXPECT_EQ(*ring.customer_of("a long key"), "desk");
    EXPECT_EQ(ring.customer_of("another key"), nullptr);
}

TEST(examples, configuration)
{
    configuration_store store;
    store.apply("domain/zlin-colo", 5, domain_resource{"zlin-colo", false});
    // An older value from a lagging peer is ignored.
    EXPECT_FALSE(
        store.apply("domain/zlin-colo", 4, domain_resource{"zlin-colo"}));
    store.set_revision(5);
    const auto desired = store.shared_snapshot();
    EXPECT_FALSE(desired->domain_in_service("zlin-colo"));
    EXPECT_EQ(store.changes_after(4).records.size(), 1U);
}

TEST(examples, membership)
{
    host_list hosts;
    const host_entry listed[] = {
        {"brno-1", "brno-studio", "10.0.0.1:7400", 1, false},
        {"brno-2", "brno-studio", "10.0.0.2:7400", 1, false}};
    hosts.on_listed(listed, now);
    const auto tree = relay_tree::of_domain(hosts.live(now), "brno-studio");
    EXPECT_EQ(*tree.delegate_candidate(), "brno-1");
    EXPECT_EQ(*tree.parent_of("brno-2"), "brno-1");

    // All hosts agree on the order for an id.
    const auto order = rendezvous_order(7, tree.hosts());
    EXPECT_EQ(rank_of(7, tree.hosts(), tree.hosts()[order[0]]), 0U);
}

TEST(examples, relay_planner)
{
    host_list hosts;
    const host_entry listed[] = {
        {"brno-1", "brno-studio", "10.0.0.1:7400", 1, false},
        {"brno-2", "brno-studio", "10.0.0.2:7400", 1, false}};
    hosts.on_listed(listed, now);
    relay_planner planner({"brno-2", "brno-studio", 500ms});
    const relay_planner::view follower{false, "brno-1", now};
    planner.on_current_reply(now, 0ms);
    const auto plan = planner.next(hosts, follower, now + 500ms);
    EXPECT_FALSE(plan.watch_platform);
    EXPECT_EQ(plan.hosts, std::vector<std::string>{"brno-1"});
}

TEST(examples, observed_state)
{
    host_report report;
    report.host = "brno-1";
    report.failure_domain = "brno-studio";
    report.incarnation = 1;
    report.applied_revision = 4;
    const domain_report reports[] = {{"brno-studio", "brno-1", {report}, now}};
    const host_entry live[] = {
        {"brno-1", "brno-studio", "10.0.0.1:7400", 1, false}};
    const resource_record desired[] = {
        {"domain/zlin-colo", 5, domain_resource{"zlin-colo", false}}};
    const auto statuses = compare(desired, live, reports, now);
    EXPECT_FALSE(statuses[0].converged);
    EXPECT_EQ(statuses[0].lagging[0].kind, lag_kind::revision_not_reached);
}

TEST(examples, lease)
{
    lease_clock lease;
    const auto sent_at = lease_clock::on_request_sent(now);
    lease.on_granted(sent_at, 2s);
    EXPECT_TRUE(lease.is_valid(now + 1700ms));
    // The margin of 200 ms is not used.
    EXPECT_FALSE(lease.is_valid(now + 1900ms));
}

TEST(examples, drain)
{
    drain_controller drain;
    drain.on_signal(now);
    EXPECT_EQ(drain.state(), drain_state::announcing);
    drain.on_tick(now + 2s, 1, 0);
    EXPECT_EQ(drain.state(), drain_state::refusing);
    // The last request has finished.
    drain.on_tick(now + 3s, 0, 0);
    EXPECT_EQ(drain.state(), drain_state::finished);
}

std::string read_file(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// Indents the lines that are not empty.
std::string indented(const std::string& block)
{
    std::istringstream lines(block);
    std::string line;
    std::string out;
    while (std::getline(lines, line))
    {
        out += (line.empty() ? "" : "    " + line) + "\n";
    }
    return out;
}

// Guards against examples on the page that are not compiled.
TEST(examples, page_shows_compiled_code_only)
{
    const auto source =
        read_file(ZINNIAHUB_DOCS "/../tests/unit/unit-examples.cpp");
    const auto page = read_file(ZINNIAHUB_DOCS "/library.md");
    const std::string fence = "```cpp\n";
    std::size_t blocks = 0;
    for (auto at = page.find(fence); at != std::string::npos;
         at = page.find(fence, at))
    {
        at += fence.size();
        const auto block = page.substr(at, page.find("```", at) - at);
        EXPECT_NE(source.find(indented(block)), std::string::npos) << block;
        ++blocks;
    }
    EXPECT_EQ(blocks, 16U);
}

} // namespace
