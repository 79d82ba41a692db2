#include "unit/changing_group_model.hpp"
#include "unit/service_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace zinniahub;
using namespace std::chrono_literals;

// Guards against the promotion of a member that lacks a commit which a client
// saw acknowledged, while members join, leave, crash and return, and orders
// take effect late.
TEST(failover_membership, loses_no_commit_while_members_join_and_leave)
{
    EXPECT_TRUE(rc::check(
        [](std::uint64_t seed)
        {
            changing_group_model::group model(seed, {});
            model.run(25s);
            RC_ASSERT(model.outcome().lost == "");
        }));
}

// Guards against a service without a primary for good: once nothing is
// disturbed any more, a member leads and commits within the recovery time.
TEST(failover_membership, service_recovers_when_the_disturbances_end)
{
    EXPECT_TRUE(rc::check(
        [](std::uint64_t seed)
        {
            changing_group_model::group model(seed, {});
            model.run(25s);
            model.end_all_disturbances();
            model.run(12s);
            RC_ASSERT(model.run_and_is_served(5s));
            RC_ASSERT(model.outcome().lost == "");
        }));
}

namespace
{

/// Service whose clients write through one host.
class failover_acknowledgements : public testing::Test
{
protected:
    failover_acknowledgements()
    {
        model.add_host();
        model.run(1s);
    }

    service_model::service model;
};

} // namespace

// Guards against the loss of a commit that only a replica which has just joined
// and the crashed primary have.
TEST_F(failover_acknowledgements, order_waits_for_a_member_that_is_not_known)
{
    model.members_["d"].received = model.members_["a"].received;
    model.unknown_ = {"d"};
    model.not_replicating_ = {"b", "c"};
    model.commit();
    model.members_["a"].running = false;
    model.run(5s);
    EXPECT_EQ(model.orders_, 0U);
    model.unknown_.clear();
    model.update_planner();
    model.run(2s);
    EXPECT_EQ(model.primary_name(), "d");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against the loss of a commit that a leaving replica received after its
// last status, when the replica exits and the primary crashes.
TEST_F(
    failover_acknowledgements, order_waits_for_the_primary_of_an_exited_replica)
{
    model.leaving_ = {"c"};
    model.not_replicating_ = {"b"};
    model.update_planner();
    model.run(600ms);
    model.commit();
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

// Guards against the loss of commits that a replica which joins after the order
// lets the primary acknowledge.
TEST_F(failover_acknowledgements, commits_after_the_order_need_the_candidate)
{
    model.promotion_time_ = 1s;
    model.leaving_ = {"a"};
    model.update_planner();
    ASSERT_TRUE(model.run_until_accepted());
    const auto before = model.acknowledged_;
    const auto ordered = model.accepted_.front().instance;
    model.not_replicating_ = {ordered};
    model.members_["d"].received = model.members_["a"].received;
    model.unknown_ = {"d"};
    model.commit();
    EXPECT_EQ(model.acknowledged_, before);
    model.run(2s);
    EXPECT_EQ(model.primary_name(), ordered);
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a planned change during which writes wait although the
// candidate receives them.
TEST_F(failover_acknowledgements, commits_that_the_candidate_has_are_passed_on)
{
    model.promotion_time_ = 1s;
    model.leaving_ = {"a"};
    model.update_planner();
    ASSERT_TRUE(model.run_until_accepted());
    const auto before = model.acknowledged_;
    model.commit();
    EXPECT_GT(model.acknowledged_, before);
}

// Guards against a service without a primary because one host does not answer.
TEST_F(failover_acknowledgements, order_waits_shortly_for_a_silent_host)
{
    model.hosts_["h1"].answers = false;
    model.members_["a"].running = false;
    const auto crashed_at = model.now_;
    while (model.orders_ == 0 && model.now_ < crashed_at + 10s)
    {
        model.tick(50ms, false);
    }
    const failover_planner::settings values;
    EXPECT_LE(
        model.now_ - crashed_at,
        values.refusal_limit + values.promise_limit + 200ms);
    EXPECT_GT(model.planner_.record_delay(model.now_), 0s);
}

// Guards against a service without a primary for good, if no member that is
// left has a commit which clients saw acknowledged.
TEST_F(failover_acknowledgements, order_waits_for_missing_commits_up_to_a_limit)
{
    model.not_replicating_ = {"b"};
    model.leaving_ = {"c"};
    model.update_planner();
    model.commit();
    model.members_["c"].running = false;
    model.shutting_down_ = {"c"};
    model.members_["a"].running = false;
    model.update_planner();
    const failover_planner::settings values;
    model.run(values.missing_commits_limit + 2s);
    EXPECT_EQ(model.primary_name(), "b");
}

// Guards against a hold that stays after a failover was given up: writes would
// be in doubt while its candidate is down.
TEST_F(failover_acknowledgements, hold_ends_when_the_primary_is_back)
{
    model.members_["a"].unreachable = true;
    model.unreachable_through_hosts_ = {"a"};
    while (model.hosts_["h1"].hold.requested_candidate().empty())
    {
        model.members_["b"].unreachable = true;
        model.members_["c"].unreachable =
            model.now_ > service_model::start + 3s;
        ASSERT_LT(model.now_, service_model::start + 10s);
        model.tick(50ms, false);
    }
    for (auto& [name, state] : model.members_)
    {
        state.unreachable = false;
    }
    model.run(2s);
    EXPECT_EQ(model.hosts_["h1"].hold.requested_candidate(), "");
}

// Guards against the loss of commits that a host had passed on before it
// stopped as planned: one replica receives nothing, the other one, which has
// them, is down for a while, and the primary that has them answers.
TEST_F(failover_acknowledgements, commits_passed_on_by_a_host_that_left_count)
{
    model.add_host("h2");
    model.run(1s);
    model.not_replicating_ = {"b"};
    model.writing_host_ = "h2";
    model.commit();
    model.run(1s);
    model.writing_host_ = "h1";
    model.remove_host("h2");
    model.crash("c");
    model.commit();
    model.run(5s);
    EXPECT_FALSE(model.commit_lost_);
    EXPECT_NE(model.primary_name(), "b");
}

// Guards against a service without a primary for good: a primary that was cut
// off from its replicas stepped down although nobody could be promoted, because
// a host had restarted.
TEST_F(failover_acknowledgements, primary_leads_on_if_nobody_may_follow)
{
    model.add_host("h2");
    model.run(1s);
    model.not_replicating_ = {"b", "c"};
    model.commit();
    model.restart_host("h2");
    model.run(3s);
    EXPECT_TRUE(model.members_["a"].primary);
    model.members_["b"].running = false;
    model.run(3s);
    EXPECT_TRUE(model.members_["a"].primary);
    model.not_replicating_.clear();
    model.run(2s);
    const auto before = model.acknowledged_;
    model.commit();
    EXPECT_GT(model.acknowledged_, before);
}

namespace
{

/// The primary a has stepped down, the replica b is lost for good, and what
/// hosts have passed on is not known.
void lose_candidate_after_step_down(service_model::service& model)
{
    model.add_host("h2");
    model.run(1s);
    model.not_replicating_ = {"c"};
    model.commit();
    model.members_["a"].primary = false;
    model.members_["b"].running = false;
    model.unregistered_ = {"b"};
    model.remove_host("h2");
    model.update_planner();
}

} // namespace

// Guards against a service without a primary for good, if a replica is lost
// after the primary has stepped down.
TEST_F(failover_acknowledgements, former_primary_leads_if_nobody_else_may)
{
    lose_candidate_after_step_down(model);
    model.run(3s);
    EXPECT_EQ(model.primary_name(), "a");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a service without a primary for good after the hosts have
// restarted: the next holder knows only the record.
TEST_F(failover_acknowledgements, next_holder_lets_the_former_primary_lead)
{
    lose_candidate_after_step_down(model);
    model.transfer_duty();
    model.restart_host("h1");
    model.run(3s);
    EXPECT_EQ(model.primary_name(), "a");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against the loss of commits of a member whose order got no reply, and
// which leads without an answer to the holder.
TEST_F(failover_acknowledgements, former_primary_does_not_follow_unseen_order)
{
    for (const bool duty_is_transferred : {false, true})
    {
        service_model::service group;
        group.add_host();
        group.run(1s);
        group.members_["a"].unreachable = true;
        ASSERT_TRUE(group.run_until_unanswered_order());
        const auto promoted = group.late_orders_.front().instance;
        EXPECT_TRUE(group.execute(group.late_orders_.front()));
        group.members_["a"].unreachable = false;
        group.members_["b"].unreachable = true;
        group.members_["c"].unreachable = true;
        group.not_replicating_ = {"a"};
        group.commit();
        if (duty_is_transferred)
        {
            group.run(15s);
            group.recorded_order_ = group.planner_.pending_order(group.now_);
            group.transfer_duty();
        }
        group.run(20s);
        EXPECT_EQ(group.primary_name(), promoted);
        EXPECT_FALSE(group.commit_lost_);
    }
}

namespace
{

/// Expects an order after the longest wait for missing commits, none before.
void expect_order_at_limit(
    service_model::service& model, std::string_view promoted)
{
    const failover_planner::settings values;
    model.run(values.missing_commits_limit - 1s);
    EXPECT_EQ(model.orders_, 0U);
    model.run(3s);
    EXPECT_EQ(model.primary_name(), promoted);
}

} // namespace

// Guards against a promotion that waits for good for a replica which is lost
// together with the primary.
TEST_F(failover_acknowledgements, order_waits_up_to_a_limit_for_a_lost_replica)
{
    model.restart_host("h1");
    model.members_["a"].running = false;
    model.members_["b"].running = false;
    model.unregistered_ = {"a", "b"};
    model.transfer_duty();
    expect_order_at_limit(model, "c");
}

// Guards against a promotion that waits for good for positions of members that
// have exited, if no member that is left may have more.
TEST_F(failover_acknowledgements, order_waits_up_to_a_limit_for_lost_positions)
{
    model.not_replicating_ = {"b"};
    model.commit();
    model.run(1s);
    model.leaving_ = {"a", "c"};
    model.shutting_down_ = {"a", "c"};
    model.members_["a"].running = false;
    model.members_["c"].running = false;
    model.update_planner();
    expect_order_at_limit(model, "b");
}

// Guards against a service without a primary until a leaving replica has
// exited, if that replica is ahead of the others.
TEST_F(failover_acknowledgements, leaving_replica_that_is_ahead_may_lead)
{
    model.not_replicating_ = {"b"};
    model.leaving_ = {"c"};
    model.commit();
    model.restart_host("h1");
    model.update_planner();
    model.members_["a"].running = false;
    model.unregistered_ = {"a"};
    model.transfer_duty();
    model.run(12s);
    EXPECT_EQ(model.primary_name(), "c");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a replica that receives nothing for good, because a pause of
// the failover reached it after the promotion.
TEST_F(failover_acknowledgements, replica_that_was_paused_late_is_resumed)
{
    model.crash("a");
    model.run(2s);
    const auto primary = model.primary_name();
    ASSERT_NE(primary, "a");
    auto& late = model.members_[primary == "b" ? "c" : "b"];
    late.term = 1;
    late.paused_term = model.members_[primary].term;
    model.run(2s);
    EXPECT_EQ(late.paused_term, 0U);
}

// Guards against a promotion that waits for good for a pause, because a replica
// knows a later term than the holder knew at the start.
TEST_F(failover_acknowledgements, replica_in_a_later_term_is_paused)
{
    model.restart_host("h1");
    model.members_["c"].unreachable = true;
    model.crash("a");
    model.run(2s);
    EXPECT_EQ(model.orders_, 0U);
    model.members_["c"].term = 2;
    model.members_["c"].unreachable = false;
    model.run(2s);
    EXPECT_GT(model.orders_, 0U);
}

// Guards against the loss of commits of a member whose order got no reply, and
// which led unseen: it is lost, and the replica that has them is down.
TEST_F(failover_acknowledgements, former_primary_waits_for_unseen_commits)
{
    model.members_["a"].unreachable = true;
    ASSERT_TRUE(model.run_until_unanswered_order());
    const auto lost = model.late_orders_.front().instance;
    const std::string down = lost == "b" ? "c" : "b";
    EXPECT_TRUE(model.execute(model.late_orders_.front()));
    model.not_replicating_ = {"a"};
    model.commit();
    model.members_["a"].unreachable = false;
    model.members_[lost].running = false;
    model.unregistered_ = {lost};
    model.members_[down].running = false;
    for (int holder = 0; holder < 3; ++holder)
    {
        model.transfer_duty();
        model.run(15s);
        model.recorded_order_ = model.planner_.pending_order(model.now_);
    }
    EXPECT_EQ(model.orders_, 1U);
    model.members_[down].running = true;
    model.run(15s);
    EXPECT_EQ(model.primary_name(), down);
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against the loss of commits of a former primary that may not lead yet,
// because an order for an exited member is awaited, and that then crashes.
TEST_F(
    failover_acknowledgements, order_waits_after_the_last_answer_of_a_primary)
{
    lose_candidate_after_step_down(model);
    model.leaving_ = {"b"};
    model.shutting_down_ = {"b"};
    model.update_planner();
    model.recorded_order_ = "b";
    model.restart_host("h1");
    model.members_["a"].running = false;
    model.transfer_duty();
    model.run(1s);
    model.members_["a"].running = true;
    const auto limit = failover_planner::settings{}.missing_commits_limit;
    model.run(limit - 2s);
    model.members_["a"].running = false;
    model.run(limit - 2s);
    EXPECT_EQ(model.orders_, 0U);
    model.members_["a"].running = true;
    model.run(15s);
    EXPECT_EQ(model.primary_name(), "a");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a service without a primary for good: the recorded primary has
// followed another one, and has more than the other replicas.
TEST_F(failover_acknowledgements, recorded_primary_that_followed_may_lead)
{
    model.commit();
    model.transfer_duty();
    model.members_["a"].primary = false;
    model.run(100ms);
    for (const auto* const name : {"a", "c"})
    {
        model.members_[name].term = 2;
        model.members_[name].received = {2, 4};
    }
    model.members_["a"].received = {2, 5};
    model.members_["b"].running = false;
    model.leaving_ = {"b"};
    model.shutting_down_ = {"b"};
    model.update_planner();
    model.run(failover_planner::settings{}.missing_commits_limit + 2s);
    EXPECT_EQ(model.primary_name(), "a");
}
