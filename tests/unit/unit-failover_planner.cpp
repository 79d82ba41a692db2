#include "unit/service_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace zinniahub;
using namespace std::chrono_literals;
using service_model::start;

// Guards against promotions while the primary is healthy.
TEST(failover_planner, does_nothing_while_the_primary_answers)
{
    service_model::service model;
    for (int round = 0; round < 50; ++round)
    {
        model.commit();
        model.run(100ms);
    }
    EXPECT_EQ(model.orders_, 0U);
    EXPECT_EQ(model.planner_.state(), "steady");
}

// Guards against a crashed primary that is not replaced in time.
TEST(failover_planner, replaces_a_crashed_primary)
{
    service_model::service model;
    model.run(1s);
    model.commit();
    model.members_["a"].running = false;
    model.run(2s);
    EXPECT_NE(model.primary_name(), "a");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a promotion of the replica that lacks an acknowledged commit.
TEST(failover_planner, promotes_the_replica_with_the_longest_log)
{
    service_model::service model;
    model.run(1s);
    model.not_replicating_.insert("b");
    model.commit();
    model.members_["a"].running = false;
    model.run(2s);
    EXPECT_EQ(model.primary_name(), "c");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a promotion while a replica that may hold the only copy of a
// commit is unreachable.
TEST(failover_planner, waits_for_a_replica_that_does_not_answer)
{
    service_model::service model;
    model.run(1s);
    model.not_replicating_.insert("b");
    model.commit();
    model.members_["c"].unreachable = true;
    model.members_["a"].running = false;
    model.run(5s);
    EXPECT_EQ(model.orders_, 0U);
    model.members_["c"].unreachable = false;
    model.run(2s);
    EXPECT_EQ(model.primary_name(), "c");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a leaving primary that is not replaced before it exits.
TEST(failover_planner, replaces_a_leaving_primary)
{
    service_model::service model;
    model.run(1s);
    model.leaving_.insert("a");
    model.update_planner();
    model.run(2s);
    EXPECT_NE(model.primary_name(), "a");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against commits that never finish because no replica receives them.
TEST(failover_planner, replaces_a_primary_cut_off_from_its_replicas)
{
    service_model::service model;
    model.run(1s);
    model.not_replicating_ = {"b", "c"};
    model.commit();
    model.run(3s);
    EXPECT_NE(model.primary_name(), "a");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a promotion while a replica that announced its shutdown is
// partitioned together with the primary: it receives commits until it exits.
TEST(failover_planner, waits_for_an_unreachable_leaving_replica)
{
    for (const bool duty_is_transferred : {false, true})
    {
        service_model::service model;
        model.run(1s);
        model.leaving_ = {"c"};
        model.shutting_down_ = {"c"};
        model.members_["a"].unreachable = true;
        model.members_["c"].unreachable = true;
        model.not_replicating_ = {"b"};
        model.update_planner();
        model.run(200ms);
        model.commit();
        if (duty_is_transferred)
        {
            model.transfer_duty();
        }
        model.run(5s);
        EXPECT_EQ(model.orders_, 0U);
        EXPECT_FALSE(model.commit_lost_);
    }
}

// Guards against a promotion that loses commits of which only a replica that
// has shut down as announced had a copy, beside the primary.
TEST(failover_planner, waits_for_the_primary_if_an_exited_replica_was_ahead)
{
    service_model::service model;
    model.run(1s);
    model.leaving_ = {"c"};
    model.not_replicating_ = {"b"};
    model.update_planner();
    model.commit();
    model.run(600ms);
    model.members_["c"].running = false;
    model.shutting_down_ = {"c"};
    model.members_["a"].running = false;
    model.update_planner();
    model.run(5s);
    EXPECT_EQ(model.orders_, 0U);
    model.members_["a"].running = true;
    model.not_replicating_.clear();
    model.run(1s);
    model.members_["a"].running = false;
    model.run(2s);
    EXPECT_EQ(model.primary_name(), "b");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a promotion that waits for a replica that has shut down as
// announced.
TEST(failover_planner, does_not_wait_for_a_leaving_replica_that_has_shut_down)
{
    for (const bool duty_is_transferred : {false, true})
    {
        service_model::service model;
        model.run(1s);
        model.leaving_ = {"c"};
        model.shutting_down_ = {"c"};
        model.members_["a"].unreachable = true;
        model.members_["c"].running = false;
        model.update_planner();
        if (duty_is_transferred)
        {
            model.transfer_duty();
        }
        model.run(3s);
        EXPECT_EQ(model.primary_name(), "b");
        EXPECT_FALSE(model.commit_lost_);
    }
}

// Guards against a failover that does not end with the promotion, because an
// earlier holder of the duty had paused replicas: a second member was then
// promoted over the new primary.
TEST(failover_planner, promotes_once_after_an_earlier_holder_has_paused)
{
    service_model::service model;
    model.run(1s);
    model.members_["a"].unreachable = true;
    ASSERT_TRUE(model.run_until_unanswered_order());
    ASSERT_EQ(model.late_orders_.size(), 1U);
    model.transfer_duty();
    model.run(4s);
    const auto promoted = model.primary_name();
    EXPECT_NE(promoted, "a");
    EXPECT_EQ(model.planner_.state(), "steady");
    model.run(5s);
    EXPECT_EQ(model.primary_name(), promoted);
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against an order that confirms the primary, gets no reply, and is
// carried out after an earlier order has promoted another member: the commits
// of that member are lost.
TEST(failover_planner, late_confirmation_does_not_undo_a_promotion)
{
    service_model::service model;
    model.run(1s);
    model.members_["a"].unreachable = true;
    ASSERT_TRUE(model.run_until_unanswered_order());
    ASSERT_EQ(model.late_orders_.size(), 1U);
    model.members_["a"].unreachable = false;
    model.transfer_duty();
    for (int tick = 0; tick < 60; ++tick)
    {
        model.tick(50ms, true);
    }
    model.not_replicating_ = {"a"};
    for (const auto& order : model.late_orders_)
    {
        model.execute(order);
        model.commit();
    }
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a service that stays without a primary until the unreachable
// one returns, because the new duty holder has never received its status.
TEST(failover_planner, new_duty_holder_replaces_an_unreachable_primary)
{
    service_model::service model;
    model.run(1s);
    model.commit();
    model.members_["a"].unreachable = true;
    model.run(200ms);
    model.transfer_duty();
    model.run(2s);
    EXPECT_NE(model.primary_name(), "a");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a promotion based on an outdated record while the actual
// primary responds or another member is unreachable.
TEST(failover_planner, new_duty_holder_ignores_an_outdated_record)
{
    service_model::service model;
    model.members_["a"].primary = false;
    model.members_["b"].primary = true;
    model.members_["a"].unreachable = true;
    model.transfer_duty();
    model.run(5s);
    EXPECT_EQ(model.orders_, 0U);
    model.members_["b"].running = false;
    model.transfer_duty();
    model.run(5s);
    EXPECT_EQ(model.orders_, 0U);
}

// Guards against a promotion by a new duty holder without a record, which sees
// a part of the group while registrations are missing.
TEST(failover_planner, promotes_late_without_a_record)
{
    service_model::service model;
    model.recorded_primary_.clear();
    model.not_replicating_ = {"b"};
    model.commit();
    model.unknown_ = {"a", "c"};
    model.transfer_duty();
    model.run(4500ms);
    EXPECT_EQ(model.orders_, 0U);
    model.unknown_ = {"a"};
    model.update_planner();
    model.run(4500ms);
    EXPECT_EQ(model.orders_, 0U);
    model.members_["a"].running = false;
    model.run(2s);
    EXPECT_EQ(model.primary_name(), "c");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a promotion by a new duty holder whose record may lack a
// member, and against a crashed primary that is then never replaced.
TEST(failover_planner, promotes_late_with_an_incomplete_record)
{
    service_model::service model;
    model.record_complete_ = false;
    model.unknown_ = {"c"};
    model.not_replicating_ = {"b"};
    model.commit();
    model.members_["a"].running = false;
    model.transfer_duty();
    model.run(4500ms);
    EXPECT_EQ(model.orders_, 0U);
    model.unknown_.clear();
    model.update_planner();
    model.run(6s);
    EXPECT_EQ(model.primary_name(), "c");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a member that is forgotten while its log may be needed, and
// against one that is kept for ever after it has exited.
TEST(failover_planner, retires_an_exited_member_whose_log_is_covered)
{
    service_model::service model;
    model.run(1s);
    model.not_replicating_ = {"b"};
    model.commit();
    model.leaving_ = {"c"};
    model.shutting_down_ = {"c"};
    model.members_["c"].running = false;
    model.update_planner();
    model.run(700ms);
    EXPECT_TRUE(model.planner_.retired_members().empty());
    model.not_replicating_.clear();
    model.run(2s);
    EXPECT_EQ(model.planner_.retired_members(), std::vector<std::string>{"c"});
}

// Guards against a group that keeps a member for ever whose address answers
// nothing after its announced shutdown.
TEST(failover_planner, retires_a_silent_member_late)
{
    service_model::service model;
    model.run(1s);
    model.leaving_ = {"c"};
    model.shutting_down_ = {"c"};
    model.members_["c"].unreachable = true;
    model.update_planner();
    model.run(59s);
    EXPECT_TRUE(model.planner_.retired_members().empty());
    model.run(3s);
    EXPECT_EQ(model.planner_.retired_members(), std::vector<std::string>{"c"});
}

// Guards against a group that keeps a member for ever which has crashed for
// good, so that nobody is promoted any more.
TEST(failover_planner, retires_a_member_that_never_returns_late)
{
    service_model::service model;
    model.run(1s);
    model.members_["c"].running = false;
    model.unregistered_ = {"c"};
    model.update_planner();
    model.run(59s);
    EXPECT_TRUE(model.planner_.retired_members().empty());
    model.run(3s);
    EXPECT_EQ(model.planner_.retired_members(), std::vector<std::string>{"c"});
}

// Guards against replicas that stay paused after the primary returns.
TEST(failover_planner, releases_replicas_when_the_primary_is_back)
{
    service_model::service model;
    model.run(1s);
    model.members_["a"].unreachable = true;
    model.members_["c"].unreachable = true;
    model.run(2s);
    model.members_["a"].unreachable = false;
    model.members_["c"].unreachable = false;
    model.run(3s);
    EXPECT_EQ(model.planner_.state(), "steady");
    for (const auto& [name, state] : model.members_)
    {
        EXPECT_EQ(state.paused_term, 0U) << name;
    }
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a candidate that changes with each status until all replicas
// are paused: commits then wait for the next replica that starts.
TEST(failover_planner, keeps_a_candidate_that_receives)
{
    service_model::service model;
    model.run(1s);
    model.not_replicating_ = {"c"};
    model.commit();
    model.tick(50ms, false);
    model.not_replicating_ = {"b"};
    model.commit();
    model.leaving_ = {"a"};
    model.update_planner();
    for (int round = 0; round < 40; ++round)
    {
        model.tick(50ms, false);
        const bool all_paused = model.members_["b"].paused_term > 0 &&
                                model.members_["c"].paused_term > 0;
        EXPECT_FALSE(model.members_["a"].primary && all_paused);
    }
    EXPECT_EQ(model.primary_name(), "c");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a commit that waits at a stalled or leaving primary until a
// replica starts that the holder does not know yet, while an order is carried
// out late.
TEST(failover_planner, stops_a_primary_whose_candidate_receives_nothing)
{
    for (const bool primary_leaves : {false, true})
    {
        service_model::service model;
        model.run(1s);
        model.not_replicating_ = {"b", "c"};
        model.commit();
        if (primary_leaves)
        {
            model.leaving_ = {"a"};
            model.update_planner();
        }
        for (int round = 0; round < 40; ++round)
        {
            model.tick(50ms, true);
        }
        ASSERT_FALSE(model.late_orders_.empty());
        model.unknown_ = {"d"};
        model.members_["d"];
        model.commit();
        model.execute(model.late_orders_.front());
        EXPECT_NE(model.primary_name(), "a");
        EXPECT_FALSE(model.commit_lost_);
    }
}

// Guards against a primary that commits with a replica unknown to the holder
// while an order without an answer may still be carried out.
TEST(failover_planner, stops_the_primary_after_an_order_without_an_answer)
{
    service_model::service model;
    model.run(1s);
    model.leaving_ = {"a"};
    model.update_planner();
    for (int round = 0; round < 20; ++round)
    {
        model.tick(50ms, true);
    }
    ASSERT_FALSE(model.late_orders_.empty());
    model.not_replicating_ = {"b", "c"};
    model.unknown_ = {"d"};
    model.members_["d"];
    model.commit();
    model.execute(model.late_orders_.front());
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a change that starts while an earlier holder has paused all
// replicas: the candidate would miss the commits of the meantime.
TEST(failover_planner, resumes_replicas_before_a_leaving_primary_is_replaced)
{
    service_model::service model;
    model.run(1s);
    model.leaving_ = {"a"};
    model.members_["b"].paused_term = 2;
    model.members_["c"].paused_term = 2;
    model.transfer_duty();
    bool resumed = false;
    while (model.orders_ == 0)
    {
        ASSERT_LT(model.now_, start + 5s);
        model.tick(50ms, true);
        resumed = resumed || (model.members_["b"].paused_term == 0 &&
                              model.members_["c"].paused_term == 0);
    }
    EXPECT_TRUE(resumed);
    const auto& candidate = model.late_orders_.front().instance;
    EXPECT_EQ(model.members_[candidate].paused_term, 0U);
    EXPECT_EQ(model.primary_name(), "a");
    model.run(3s);
    EXPECT_NE(model.primary_name(), "a");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a replica that starts during a change and is not paused.
TEST(failover_planner, pauses_a_replica_that_starts_during_a_change)
{
    service_model::service model;
    model.run(1s);
    model.members_["c"].unreachable = true;
    model.leaving_ = {"a"};
    model.update_planner();
    model.run(400ms);
    model.members_["d"];
    model.update_planner();
    model.run(200ms);
    EXPECT_GT(model.members_["d"].paused_term, 0U);
    EXPECT_EQ(model.orders_, 0U);
}

// Guards against an accepted order that is given up because its member leaves:
// the primary committed without that member, which took the lead afterwards.
TEST(failover_planner, accepted_order_stands_while_its_member_leaves)
{
    service_model::service model;
    model.members_["d"];
    model.promotion_time_ = 1s;
    model.run(1s);
    model.leaving_ = {"a"};
    model.update_planner();
    ASSERT_TRUE(model.run_until_accepted());
    const auto ordered = model.accepted_.front().instance;
    model.leaving_.insert(ordered);
    model.update_planner();
    for (int round = 0; round < 40; ++round)
    {
        model.run(50ms);
        model.commit();
        ASSERT_FALSE(model.commit_lost_);
    }
    // The member that leaves hands the lead on after it has taken it.
    model.run(3s);
    EXPECT_FALSE(model.leaving_.contains(model.primary_name()));
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against an accepted order that is given up because its member is out
// of reach or down for a moment.
TEST(failover_planner, accepted_order_stands_while_its_member_is_silent)
{
    for (const bool crashes : {false, true})
    {
        service_model::service model;
        model.promotion_time_ = 1s;
        model.run(1s);
        model.leaving_ = {"a"};
        model.update_planner();
        ASSERT_TRUE(model.run_until_accepted());
        const auto ordered = model.accepted_.front().instance;
        auto& member = model.members_[ordered];
        (crashes ? member.running : member.unreachable) = !crashes;
        for (int round = 0; round < 30; ++round)
        {
            model.run(50ms);
            model.commit();
        }
        (crashes ? member.running : member.unreachable) = crashes;
        model.run(3s);
        EXPECT_EQ(model.primary_name(), ordered);
        EXPECT_FALSE(model.commit_lost_);
    }
}

// Guards against a group that waits for ever for a member whose order was
// accepted and that never comes back.
TEST(failover_planner, order_of_a_lost_member_is_given_up_late)
{
    service_model::service model;
    model.promotion_time_ = 1s;
    model.run(1s);
    model.leaving_ = {"a"};
    model.update_planner();
    ASSERT_TRUE(model.run_until_accepted());
    model.members_[model.accepted_.front().instance].running = false;
    model.run(8s);
    const auto before = model.acknowledged_;
    model.commit();
    EXPECT_GT(model.acknowledged_, before);
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a holder of the duty that promotes another member while the
// order of the holder before it takes effect.
TEST(failover_planner, next_holder_completes_an_accepted_order)
{
    for (const bool ordered_member_answers : {true, false})
    {
        service_model::service model;
        model.promotion_time_ = 1s;
        model.run(1s);
        model.not_replicating_ = {"b", "c"};
        model.commit();
        ASSERT_TRUE(model.run_until_accepted());
        const auto ordered = model.accepted_.front().instance;
        model.transfer_duty();
        model.members_[ordered].unreachable = !ordered_member_answers;
        model.not_replicating_ = {"a"};
        for (int round = 0; round < 40; ++round)
        {
            model.run(50ms);
            model.commit();
        }
        model.members_[ordered].unreachable = false;
        model.run(2s);
        EXPECT_EQ(model.primary_name(), ordered);
        EXPECT_FALSE(model.commit_lost_);
    }
}

// Guards against a primary that is stopped for a recorded order whose member is
// lost: nobody else can lead then.
TEST(failover_planner, primary_goes_on_if_an_ordered_member_is_lost)
{
    service_model::service model;
    model.promotion_time_ = 1s;
    model.run(1s);
    model.leaving_ = {"a"};
    model.update_planner();
    ASSERT_TRUE(model.run_until_accepted());
    model.members_[model.accepted_.front().instance].running = false;
    model.transfer_duty();
    model.run(12s);
    const auto before = model.acknowledged_;
    model.commit();
    EXPECT_GT(model.acknowledged_, before);
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a holder of the duty that forgets its own order because
// another member takes the lead first, by an order that it does not know.
TEST(failover_planner, keeps_its_order_when_another_member_is_promoted)
{
    service_model::service model;
    model.promotion_time_ = 1s;
    model.run(1s);
    model.leaving_ = {"a"};
    model.update_planner();
    ASSERT_TRUE(model.run_until_accepted());
    const auto ordered = model.accepted_.front().instance;
    const std::string other = ordered == "b" ? "c" : "b";
    model.promote(other);
    // The other member commits with the former primary only.
    model.not_replicating_ = {ordered};
    for (int round = 0; round < 40; ++round)
    {
        model.tick(50ms, false);
        if (round > 10)
        {
            model.commit();
        }
    }
    EXPECT_EQ(model.primary_name(), ordered);
    EXPECT_FALSE(model.commit_lost_);
}

namespace
{

/// Any sequence of crashes, partitions, interrupted replication, departures,
/// transfers of the duty and late orders.
void check_no_commit_is_lost(bool with_host)
{
    service_model::service model;
    if (with_host)
    {
        model.add_host();
    }
    model.promotion_time_ =
        std::chrono::milliseconds(*rc::gen::inRange(0, 1200));
    model.run(1s);
    const std::vector<std::string> names{"a", "b", "c"};
    const auto steps = *rc::gen::inRange(10, 60);
    for (int step = 0; step < steps; ++step)
    {
        const auto& name = names[*rc::gen::inRange<std::size_t>(0, 3)];
        auto& state = model.members_[name];
        switch (*rc::gen::inRange(0, 12))
        {
        case 0:
            state.running = false;
            break;
        case 1:
            // A restarted member keeps its log, but is not paused.
            if (!state.running)
            {
                state.running = true;
                state.paused_term = 0;
            }
            break;
        case 2:
            state.unreachable = !state.unreachable;
            break;
        case 3:
            if (!model.not_replicating_.erase(name))
            {
                model.not_replicating_.insert(name);
            }
            break;
        case 4:
            if (!model.late_orders_.empty())
            {
                model.execute(model.late_orders_.back());
                model.late_orders_.pop_back();
            }
            break;
        case 5:
            model.tick(
                std::chrono::milliseconds(*rc::gen::inRange(50, 900)), true);
            break;
        case 6:
            model.transfer_duty();
            break;
        case 7:
            model.record_primary();
            break;
        case 8:
            if (!model.leaving_.erase(name))
            {
                model.leaving_.insert(name);
            }
            model.update_planner();
            break;
        default:
            model.commit();
            model.tick(
                std::chrono::milliseconds(*rc::gen::inRange(50, 400)),
                *rc::gen::inRange(0, 5) == 0);
        }
        RC_ASSERT(!model.commit_lost_);
    }
}

} // namespace

// Guards against lost commits under any sequence of faults, if the planner
// knows no hosts.
TEST(failover_planner, never_loses_an_acknowledged_commit)
{
    EXPECT_TRUE(rc::check([] { check_no_commit_is_lost(false); }));
}

// Guards against lost commits under any sequence of faults, if clients write
// through a host that the planner asks.
TEST(failover_planner, never_loses_a_commit_that_a_host_passed_on)
{
    EXPECT_TRUE(rc::check([] { check_no_commit_is_lost(true); }));
}

// Guards against a commit that is lost because a paused replica restarts and
// receives again, on the side of a primary that the holder cannot reach, while
// an order may still be executed.
TEST(failover_planner, late_order_after_a_paused_replica_restarts)
{
    service_model::service model;
    model.run(1s);
    model.members_["a"].unreachable = true;
    while (model.orders_ == 0)
    {
        ASSERT_LT(model.now_, start + 5s);
        model.tick(50ms, true);
    }
    const auto ordered = model.late_orders_.front().instance;
    const std::string other = ordered == "b" ? "c" : "b";
    model.crash(other);
    model.now_ += 500ms;
    model.restart(other);
    model.not_replicating_ = {ordered};
    model.commit();
    model.execute(model.late_orders_.front());
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against commits of a primary that only other hosts reach, with a
// replica that restarted after the accepted order: they are lost when the order
// takes effect.
TEST(failover_planner, primary_that_only_other_hosts_reach_steps_down_first)
{
    service_model::service model;
    model.promotion_time_ = 1s;
    model.run(1s);
    model.members_["a"].unreachable = true;
    ASSERT_TRUE(model.run_until_accepted());
    EXPECT_FALSE(model.members_["a"].primary);
    const auto ordered = model.accepted_.front().instance;
    const std::string other = ordered == "b" ? "c" : "b";
    model.not_replicating_ = {ordered};
    model.crash(other);
    model.now_ += 500ms;
    model.restart(other);
    model.commit();
    model.run(1s);
    EXPECT_EQ(model.primary_name(), ordered);
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a primary that is out of reach when the order is sent, is
// reached by another host later, and commits with a restarted replica.
TEST(failover_planner, primary_steps_down_when_a_host_reaches_it_again)
{
    service_model::service model;
    model.promotion_time_ = 1s;
    model.run(1s);
    model.members_["a"].unreachable = true;
    model.unreachable_through_hosts_ = {"a"};
    ASSERT_TRUE(model.run_until_accepted());
    EXPECT_TRUE(model.members_["a"].primary);
    model.unreachable_through_hosts_.clear();
    model.tick(100ms, false);
    model.tick(100ms, false);
    EXPECT_FALSE(model.members_["a"].primary);
}

// Guards against a promotion that waits for the step-down of a primary that no
// host reaches, or for ever for one that does not step down.
TEST(failover_planner, order_waits_only_for_a_primary_that_answers_other_hosts)
{
    const auto time_to_order = [](bool reached_by_others)
    {
        service_model::service model;
        model.run(1s);
        model.members_["a"].unreachable = true;
        model.ignores_step_down_ = {"a"};
        if (!reached_by_others)
        {
            model.unreachable_through_hosts_ = {"a"};
        }
        const auto lost_at = model.now_;
        while (model.orders_ == 0 && model.now_ < lost_at + 10s)
        {
            model.tick(50ms, true);
        }
        return model.now_ - lost_at;
    };
    const failover_planner::settings values;
    const auto alone = time_to_order(false);
    EXPECT_LE(alone, values.unresponsive_limit + 500ms);
    EXPECT_LE(time_to_order(true), alone + values.step_down_limit + 50ms);
}
