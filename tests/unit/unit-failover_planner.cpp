#include <zinniahub/failover_planner.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};

/// Simulates the platform and the members of one service. Late orders are
/// executed in any order; their fencing tokens are checked at execution.
class service_model
{
public:
    struct member
    {
        bool running = true;
        bool unreachable = false;
        bool primary = false;
        std::uint64_t term = 1;
        std::uint64_t paused_term = 0;
        log_position received{1, 0};
    };
    struct late_order
    {
        std::string instance;
        std::uint64_t token = 0;
    };

    service_model()
    {
        members_["a"].primary = true;
        members_["b"];
        members_["c"];
        update_planner();
    }

    void update_planner()
    {
        std::vector<replication_member> known;
        for (const auto& [name, state] : members_)
        {
            if (unknown_.contains(name))
            {
                continue;
            }
            known.push_back(
                {.instance = name,
                 .leaving = leaving_.contains(name),
                 .shutdown_announced = shutting_down_.contains(name),
                 .registered = !unregistered_.contains(name)});
        }
        planner_.on_members(known, 1);
    }

    /// Records the primary that the holder of the duty knows.
    void record_primary()
    {
        if (!planner_.known_primary().empty())
        {
            recorded_primary_ = planner_.known_primary();
            recorded_term_ = planner_.known_term();
        }
    }

    /// Moves the promotion duty to a host that knows only the durable record.
    void transfer_duty()
    {
        planner_.reset();
        if (!recorded_primary_.empty())
        {
            planner_.on_record(
                recorded_primary_, recorded_term_, record_complete_);
        }
        update_planner();
    }

    /// Commits at the primary; acknowledged if a replica receives the commit.
    void commit()
    {
        const auto primary = primary_name();
        if (primary.empty() || !members_[primary].running)
        {
            return;
        }
        auto& source = members_[primary];
        source.received = {source.term, source.received.index + 1};
        bool acknowledged = false;
        for (auto& [name, state] : members_)
        {
            if (name != primary && state.running && state.paused_term == 0 &&
                !not_replicating_.contains(name))
            {
                state.received = source.received;
                state.term = source.term;
                acknowledged = true;
            }
        }
        if (acknowledged)
        {
            acknowledged_ = source.received;
        }
    }

    void catch_up(const std::string& name)
    {
        const auto primary = primary_name();
        if (!primary.empty() && members_[primary].running &&
            members_[name].paused_term == 0 && !not_replicating_.contains(name))
        {
            members_[name].received = members_[primary].received;
            members_[name].term = members_[primary].term;
        }
    }

    std::string primary_name() const
    {
        for (const auto& [name, state] : members_)
        {
            if (state.primary)
            {
                return name;
            }
        }
        return {};
    }

    void answer(const std::string& name)
    {
        const auto& state = members_[name];
        if (!state.running || state.unreachable)
        {
            planner_.on_no_status(name, !state.running, now_);
            return;
        }
        planner_.on_status(
            name,
            {state.primary, state.term, state.received, state.paused_term},
            now_, now_);
    }

    void execute(const late_order& order)
    {
        auto& target = members_[order.instance];
        if (order.token < highest_token_)
        {
            return;
        }
        highest_token_ = order.token;
        if (!target.running || target.primary)
        {
            return;
        }
        commit_lost_ = commit_lost_ || target.received < acknowledged_;
        std::uint64_t term = 0;
        for (auto& [name, state] : members_)
        {
            term = std::max(term, state.term);
            state.primary = false;
            state.paused_term = 0;
        }
        target.primary = true;
        target.term = term + 1;
        target.received = {target.term, target.received.index + 1};
        for (auto& [name, state] : members_)
        {
            state.received = std::min(state.received, target.received);
        }
    }

    /// @param lose_order orders get no reply and are executed later
    void tick(duration step, bool lose_order)
    {
        now_ += step;
        for (const auto& action : planner_.on_tick(now_))
        {
            if (const auto* query =
                    std::get_if<failover_action::query>(&action))
            {
                answer(query->instance);
            }
            else if (
                const auto* hold =
                    std::get_if<failover_action::pause_replication>(&action))
            {
                auto& state = members_[hold->instance];
                if (state.running && !state.unreachable && !state.primary &&
                    hold->term > state.term)
                {
                    state.paused_term = hold->term;
                }
                answer(hold->instance);
            }
            else if (
                const auto* release =
                    std::get_if<failover_action::resume_replication>(&action))
            {
                members_[release->instance].paused_term = 0;
                answer(release->instance);
            }
            else if (
                const auto* demotion =
                    std::get_if<failover_action::step_down>(&action))
            {
                auto& state = members_[demotion->instance];
                if (state.running && !state.unreachable &&
                    demotion->term > state.term)
                {
                    state.primary = false;
                }
                answer(demotion->instance);
            }
            else if (
                const auto* order =
                    std::get_if<failover_action::order_promotion>(&action))
            {
                const bool same = order->instance == last_ordered_;
                last_ordered_ = order->instance;
                token_ += same ? 0 : 1;
                ++orders_;
                const late_order sent{order->instance, token_};
                if (lose_order)
                {
                    late_orders_.push_back(sent);
                    planner_.on_promotion_result(
                        promotion_result::unknown, now_);
                    continue;
                }
                const bool runs = members_[order->instance].running;
                execute(sent);
                planner_.on_promotion_result(
                    runs ? promotion_result::accepted
                         : promotion_result::refused,
                    now_);
            }
        }
    }

    void run(duration length)
    {
        const auto end = now_ + length;
        while (now_ < end)
        {
            tick(50ms, false);
            for (auto& [name, state] : members_)
            {
                catch_up(name);
            }
        }
    }

    std::map<std::string, member> members_;
    std::set<std::string> leaving_;
    /// Members that the holder of the duty does not know.
    std::set<std::string> unknown_;
    /// Durable record of the primary; empty if there is none.
    std::string recorded_primary_ = "a";
    std::uint64_t recorded_term_ = 1;
    bool record_complete_ = true;
    /// Members that announced their shutdown and whose registration is
    /// missing.
    std::set<std::string> shutting_down_;
    std::set<std::string> unregistered_;
    /// Replicas that receive nothing from the primary.
    std::set<std::string> not_replicating_;
    std::vector<late_order> late_orders_;
    failover_planner planner_{failover_planner::settings{}};
    time_point now_ = start;
    log_position acknowledged_{1, 0};
    bool commit_lost_ = false;
    std::size_t orders_ = 0;

private:
    std::uint64_t token_ = 10;
    std::uint64_t highest_token_ = 0;
    std::string last_ordered_;
};

} // namespace

// Guards against promotions while the primary is healthy.
TEST(failover_planner, does_nothing_while_the_primary_answers)
{
    service_model model;
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
        service_model model;
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
    service_model model;
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
        service_model model;
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
    service_model model;
    model.run(1s);
    model.members_["a"].unreachable = true;
    for (int tick = 0; tick < 60 && model.late_orders_.empty(); ++tick)
    {
        model.tick(50ms, true);
    }
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
    service_model model;
    model.run(1s);
    model.members_["a"].unreachable = true;
    for (int tick = 0; tick < 60 && model.late_orders_.empty(); ++tick)
    {
        model.tick(50ms, true);
    }
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
    service_model model;
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
        service_model model;
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
    service_model model;
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
    service_model model;
    model.run(1s);
    model.leaving_ = {"a"};
    model.members_["b"].paused_term = 2;
    model.members_["c"].paused_term = 2;
    model.transfer_duty();
    while (model.orders_ == 0)
    {
        ASSERT_LT(model.now_, start + 5s);
        model.tick(50ms, false);
    }
    EXPECT_EQ(model.primary_name(), "a");
    model.run(3s);
    EXPECT_NE(model.primary_name(), "a");
    EXPECT_FALSE(model.commit_lost_);
}

// Guards against a replica that starts during a change and is not paused.
TEST(failover_planner, pauses_a_replica_that_starts_during_a_change)
{
    service_model model;
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

// Guards against lost commits under any sequence of crashes, partitions,
// interrupted replication, transfers of the duty and late orders.
TEST(failover_planner, never_loses_an_acknowledged_commit)
{
    EXPECT_TRUE(rc::check(
        []
        {
            service_model model;
            model.run(1s);
            const std::vector<std::string> names{"a", "b", "c"};
            const auto steps = *rc::gen::inRange(10, 60);
            for (int step = 0; step < steps; ++step)
            {
                const auto& name = names[*rc::gen::inRange<std::size_t>(0, 3)];
                auto& state = model.members_[name];
                switch (*rc::gen::inRange(0, 11))
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
                        std::chrono::milliseconds(*rc::gen::inRange(50, 900)),
                        true);
                    break;
                case 6:
                    model.transfer_duty();
                    break;
                case 7:
                    model.record_primary();
                    break;
                default:
                    model.commit();
                    model.tick(
                        std::chrono::milliseconds(*rc::gen::inRange(50, 400)),
                        *rc::gen::inRange(0, 5) == 0);
                }
                RC_ASSERT(!model.commit_lost_);
            }
        }));
}
