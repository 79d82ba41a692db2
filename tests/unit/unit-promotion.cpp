#include "unit/group_model.hpp"

#include <zinniahub/promotion.hpp>

#include <gtest/gtest.h>

namespace
{

using namespace group_model;
using std::chrono::seconds;

constexpr std::size_t first_monitor = group::size;

/// A healthy group in term 1 whose primary is member 0.
std::unique_ptr<group> started_group(std::vector<std::uint32_t> ranks = {0, 1})
{
    auto model =
        std::make_unique<group>(1, std::move(ranks), make_majority_ack_rule());
    for (auto& member : model->members)
    {
        member.term = 1;
        member.primary = "m0";
    }
    model->members[0].role = member_role::primary;
    model->members[0].log = {1};
    model->run(seconds(2));
    return model;
}

enum class outcome
{
    unchanged,
    moved,
    kept_in_new_term
};

struct fault_case
{
    const char* guards_against;
    std::function<void(group&)> inject;
    outcome expected;
    bool equal_ranks = false;
};

const fault_case fault_cases[] = {
    {"a promotion without a fault", [](group&) {}, outcome::unchanged},
    {"no promotion after the primary has crashed",
     [](group& model) { model.members[0].alive = false; }, outcome::moved},
    {"a promotion by a host that cannot reach a healthy primary",
     [](group& model) { model.cut_both(0, first_monitor); },
     outcome::unchanged},
    {"a promotion by a host that receives no status",
     [](group& model)
     {
         for (std::size_t member = 0; member < group::size; ++member)
         {
             model.cut(member, first_monitor);
         }
     },
     outcome::unchanged},
    {"a promotion by a host whose messages to the primary are lost",
     [](group& model) { model.cut(first_monitor, 0); }, outcome::unchanged},
    {"a promotion because one replica cannot reach the primary",
     [](group& model) { model.cut_both(0, 1); }, outcome::unchanged},
    {"a primary that is kept although it cannot reach any replica",
     [](group& model)
     {
         model.cut(0, 1);
         model.cut(0, 2);
     },
     outcome::moved},
    {"a frozen primary that keeps its role after it returns",
     [](group& model)
     {
         model.members[0].frozen = true;
         model.run(seconds(4));
         model.members[0].frozen = false;
     },
     outcome::moved},
    {"the promotion of a lagging replica",
     [](group& model)
     {
         model.members[1].lags = true;
         model.run(seconds(1));
         model.members[0].alive = false;
         model.members[1].lags = false;
     },
     outcome::moved},
    {"preferring a member in service to one with every acknowledged write",
     [](group& model)
     {
         model.set_in_service(2, false);
         model.members[1].lags = true;
         model.run(seconds(1));
         model.members[0].alive = false;
         model.members[1].lags = false;
     },
     outcome::moved},
    {"candidates that block each other",
     [](group& model) { model.members[0].alive = false; }, outcome::moved,
     true},
    {"a lost reply to a fence call",
     [](group& model)
     {
         model.members[0].alive = false;
         model.lost_fence_replies = 2;
     },
     outcome::moved},
    {"a lost reply to a promote call",
     [](group& model)
     {
         model.members[0].alive = false;
         model.lost_promote_replies = 1;
     },
     outcome::moved},
    {"a leaving primary that is not replaced",
     [](group& model) { model.set_in_service(0, false); }, outcome::moved},
    {"open transactions that block a planned change",
     [](group& model)
     {
         model.members[0].open_transactions = 1;
         model.set_in_service(0, false);
         model.run(seconds(2));
     },
     outcome::moved},
    {"a planned change to a replica that lacks writes",
     [](group& model)
     {
         model.members[1].lags = true;
         model.members[2].lags = true;
         model.run(seconds(1));
         model.set_in_service(0, false);
         model.run(seconds(2));
     },
     outcome::kept_in_new_term},
    {"a change of primary without a successor",
     [](group& model)
     {
         for (std::size_t member = 0; member < group::size; ++member)
         {
             model.set_in_service(member, false);
         }
     },
     outcome::unchanged},
};

void expect_outcome(const group& model, outcome expected, const char* text)
{
    const auto& view = model.monitors.back().logic->view();
    EXPECT_EQ(view.primary == 0, expected != outcome::moved) << text;
    EXPECT_EQ(view.term == 1, expected == outcome::unchanged) << text;
    EXPECT_NE(view.primary, no_member) << text;
    EXPECT_EQ(model.terms_with_two_primaries, 0) << text;
    EXPECT_EQ(model.lost_writes, 0) << text;
    if (expected == outcome::moved)
    {
        EXPECT_EQ(model.members[0].alive, model.members[0].term == view.term)
            << text;
        EXPECT_LT(model.now - model.last_acknowledged, milliseconds(500))
            << text;
    }
}

// Each case ends 5 s after the fault, the limit for a change of primary.
TEST(promotion, fault_cases)
{
    for (const auto& item : fault_cases)
    {
        auto model = started_group(
            item.equal_ranks ? std::vector<std::uint32_t>{0, 0, 0}
                             : std::vector<std::uint32_t>{0, 1});
        ASSERT_EQ(model->primary(), 0U) << item.guards_against;
        item.inject(*model);
        model->run(seconds(5));
        expect_outcome(*model, item.expected, item.guards_against);
    }
}

// Guards against writes to a primary that can no longer confirm them, and
// against a group that stays blocked, when a candidate crashes between fencing
// and promotion.
TEST(promotion, abandoned_fence_is_taken_over)
{
    const auto model = started_group();
    model->members[1].fence(2, 99);
    model->members[2].fence(2, 99);
    model->run(milliseconds(50));
    EXPECT_EQ(model->primary(), no_member);
    model->run(seconds(5));
    EXPECT_LT(model->now - model->last_acknowledged, milliseconds(500));
    EXPECT_EQ(model->lost_writes, 0);
}

/// Sets a fault on a random member, or clears it if any member has it.
void toggle(group& model, bool member::*fault, bool faulty)
{
    bool found = false;
    for (auto& state : model.members)
    {
        found = found || state.*fault == faulty;
        state.*fault = !faulty;
    }
    model.members[model.random() % group::size].*fault = found != faulty;
}

/// Stops a member, or restarts it without its role.
void restart_member(group& model)
{
    toggle(model, &member::alive, false);
    for (auto& state : model.members)
    {
        if (!state.alive)
        {
            state.role = member_role::replica;
            state.primary.clear();
        }
    }
}

/// Applies one random fault or recovery.
void inject_random_fault(group& model)
{
    const auto nodes = group::size + model.monitors.size();
    const auto monitor = model.random() % model.monitors.size();
    switch (model.random() % 10)
    {
    case 0:
    case 1:
        return toggle(model, &member::frozen, true);
    case 2:
    case 3:
        return restart_member(model);
    case 4:
    case 5:
        return model.cut(model.random() % nodes, model.random() % nodes);
    case 6:
        return model.restart_monitor(
            monitor, static_cast<std::uint32_t>(model.random() % 3));
    case 7:
        return toggle(model, &member::lags, true);
    case 8:
        return model.set_in_service(
            model.random() % group::size, model.random() % 3 != 0);
    default:
        model.cuts.clear();
    }
}

void clear_faults(group& model)
{
    model.cuts.clear();
    model.loss_percent = 0;
    model.max_delay = milliseconds(2);
    for (std::size_t index = 0; index < group::size; ++index)
    {
        model.members[index].alive = true;
        model.members[index].frozen = false;
        model.members[index].lags = false;
        model.set_in_service(index, true);
    }
}

std::unique_ptr<group>
run_random_faults(std::uint64_t seed, std::unique_ptr<commit_rule> rule)
{
    std::vector<std::uint32_t> ranks(2 + seed % 2);
    for (std::size_t index = 0; index < ranks.size(); ++index)
    {
        ranks[index] = seed % 5 == 0 ? 0 : static_cast<std::uint32_t>(index);
    }
    auto model = std::make_unique<group>(seed, ranks, std::move(rule));
    model->loss_percent = static_cast<int>(seed % 4) * 8;
    model->max_delay = milliseconds(seed % 3 == 0 ? 400 : 20);
    for (int fault = 0; fault < 40; ++fault)
    {
        model->run(milliseconds(100 + model->random() % 900));
        inject_random_fault(*model);
    }
    clear_faults(*model);
    return model;
}

constexpr std::uint64_t seeds = 300;

// Guards against two primaries in a term, against the loss of a write that was
// acknowledged by majority_ack, and against a group that stays without a
// primary.
TEST(promotion, random_faults_lose_no_acknowledged_write)
{
    std::size_t promotions = 0;
    std::size_t acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const auto model = run_random_faults(seed, make_majority_ack_rule());
        model->run(seconds(8));
        ASSERT_EQ(model->terms_with_two_primaries, 0) << "seed " << seed;
        ASSERT_EQ(model->lost_writes, 0) << "seed " << seed;
        ASSERT_LT(model->now - model->last_acknowledged, seconds(1))
            << "seed " << seed;
        promotions += model->promotions.size();
        acknowledged += model->acknowledged.size();
    }
    RecordProperty("promotions", std::to_string(promotions));
    RecordProperty("acknowledged", std::to_string(acknowledged));
    // Checks that the random faults cause enough promotions and writes.
    EXPECT_GT(promotions, seeds * 2);
    EXPECT_GT(acknowledged, seeds * 100);
}

// Guards against random faults that cannot reveal a lost write: primary_ack
// loses writes under the same faults.
TEST(promotion, random_faults_lose_writes_with_primary_ack)
{
    int lost = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        const auto model = run_random_faults(seed, make_primary_ack_rule());
        EXPECT_EQ(model->terms_with_two_primaries, 0) << "seed " << seed;
        lost += model->lost_writes;
    }
    EXPECT_GT(lost, 0);
}

/// Times at which a monitor of a group without a primary starts an attempt.
/// All its fence calls are refused in favor of other candidates.
std::vector<int> fence_times(std::uint32_t rank, std::uint64_t seed)
{
    promotion_settings settings;
    settings.rank = rank;
    settings.seed = seed;
    const group_definition definition{
        "ledger", 9, {{"a", "", "", true}, {"b", "", "", true}}};
    auto monitor = *group_monitor::make(definition, settings, time_point{});
    member_status status;
    status.group_uid = 9;
    std::vector<int> times;
    for (int ms = 0; ms < 5000; ms += 10)
    {
        const auto now = time_point{} + milliseconds(ms);
        auto actions = monitor.on_status(0, status, now);
        if (actions.empty())
        {
            actions = monitor.on_status(1, status, now);
        }
        for (const auto& action : actions)
        {
            if (const auto* fence =
                    std::get_if<promotion_action::fence>(&action);
                fence != nullptr && fence->member == 0)
            {
                times.push_back(ms);
                status.term = fence->term;
                monitor.on_fence_reply(0, fence->term, false, status, now);
                monitor.on_fence_reply(1, fence->term, false, status, now);
            }
        }
    }
    return times;
}

// Guards against candidates that repeatedly start attempts at the same time.
TEST(promotion, candidates_start_at_different_times)
{
    EXPECT_EQ(fence_times(0, 1).at(0), 1000);
    EXPECT_EQ(fence_times(1, 1).at(0), 1300);
    EXPECT_EQ(fence_times(2, 1).at(0), 1600);
    EXPECT_EQ(fence_times(9, 1).at(0), 1900);
    std::set<int> second_attempts;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        const auto times = fence_times(0, seed);
        second_attempts.insert(times.at(1));
        EXPECT_LE(times.at(1), 1510);
        EXPECT_EQ(times, fence_times(0, seed));
    }
    EXPECT_GE(second_attempts.size(), 7U);
}

// Guards against definitions in which a majority is not well-defined.
TEST(promotion, broken_definition_is_refused)
{
    for (const auto& names :
         std::vector<std::vector<std::string>>{{}, {"a", "a"}})
    {
        group_definition definition;
        for (const auto& name : names)
        {
            definition.members.push_back({name, "", "", true});
        }
        const auto made = group_monitor::make(definition, {}, time_point{});
        ASSERT_FALSE(made);
        EXPECT_EQ(made.error().code, errc::resource_invalid);
    }
}

// Guards against full load on a member that has just returned.
TEST(promotion, returning_member_ramps_up)
{
    auto model = started_group();
    const auto& view = model->monitors.back().logic->view();
    EXPECT_EQ(view.members[1].ramp_up_factor, 1.0);
    model->members[1].alive = false;
    model->run(seconds(2));
    EXPECT_FALSE(view.members[1].reachable);
    model->members[1].alive = true;
    model->set_in_service(2, false);
    model->set_in_service(2, true);
    model->run(milliseconds(2500));
    EXPECT_NEAR(view.members[1].ramp_up_factor, 0.5, 0.02);
    EXPECT_NEAR(view.members[2].ramp_up_factor, 0.5, 0.02);
    model->run(milliseconds(2600));
    EXPECT_EQ(view.members[1].ramp_up_factor, 1.0);
}

std::size_t publishes(const promotion_actions& actions)
{
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(),
        [](const auto& action)
        { return std::holds_alternative<promotion_action::publish>(action); }));
}

// Guards against hosts that keep an outdated view, and against publishing a
// view for every status.
TEST(promotion, publishes_only_changes)
{
    group_definition definition{"ledger", 9, {{"a", "", "", true}}};
    auto monitor = *group_monitor::make(definition, {}, time_point{});
    member_status status;
    status.group_uid = 9;
    status.role = member_role::primary;
    status.term = 4;
    status.primary = "a";
    const auto at = [](int ms) { return time_point{} + milliseconds(ms); };
    EXPECT_EQ(publishes(monitor.on_status(0, status, at(0))), 1U);
    status.position = {4, 7};
    EXPECT_EQ(publishes(monitor.on_status(0, status, at(100))), 0U);
    EXPECT_EQ(monitor.view().members[0].position, (log_position{4, 7}));
    EXPECT_EQ(publishes(monitor.on_tick(at(1099))), 0U);
    EXPECT_EQ(publishes(monitor.on_tick(at(1100))), 1U);
    EXPECT_FALSE(monitor.view().members[0].reachable);
    definition.members[0].in_service = false;
    EXPECT_EQ(publishes(monitor.on_definition(definition, at(1200))), 1U);
    // The status of a member of another group is ignored.
    status.group_uid = 8;
    EXPECT_TRUE(monitor.on_status(0, status, at(1300)).empty());
}

} // namespace
