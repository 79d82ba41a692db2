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

/// Members of one service and the platform, as the planner's steps see them.
/// Late orders are carried out in any order; their tokens are checked then.
class service_model
{
public:
    struct member
    {
        bool running = true;
        bool cut = false;
        bool primary = false;
        std::uint64_t term = 1;
        std::uint64_t held = 0;
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
        tell_members();
    }

    void tell_members()
    {
        std::vector<replication_member> known;
        for (const auto& [name, state] : members_)
        {
            known.push_back(
                {name, leaving_.contains(name),
                 registered_primaries_.contains(name), ending_.contains(name)});
        }
        planner_.on_members(known, 1);
    }

    /// A member that reaches the store registers its role.
    void register_member(const std::string& name)
    {
        registered_primaries_.erase(name);
        if (members_[name].primary)
        {
            registered_primaries_.insert(name);
        }
        tell_members();
    }

    /// Another host takes the duty and knows the registrations only.
    void move_duty()
    {
        planner_.reset();
        tell_members();
    }

    /// A commit at the primary; acknowledged if a replica receives it.
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
            if (name != primary && state.running && state.held == 0 &&
                !deaf_.contains(name))
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
            members_[name].held == 0 && !deaf_.contains(name))
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
        if (!state.running || state.cut)
        {
            planner_.on_no_status(name, !state.running, now_);
            return;
        }
        planner_.on_status(
            name, {state.primary, state.term, state.received, state.held}, now_,
            now_);
    }

    void carry_out(const late_order& order)
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
        lost_ = lost_ || target.received < acknowledged_;
        std::uint64_t term = 0;
        for (auto& [name, state] : members_)
        {
            term = std::max(term, state.term);
            state.primary = false;
            state.held = 0;
        }
        target.primary = true;
        target.term = term + 1;
        target.received = {target.term, target.received.index + 1};
        for (auto& [name, state] : members_)
        {
            state.received = std::min(state.received, target.received);
        }
    }

    /// @param lose_order the order gets no answer and is carried out later
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
                const auto* hold = std::get_if<failover_action::hold>(&action))
            {
                auto& state = members_[hold->instance];
                if (state.running && !state.cut && !state.primary &&
                    hold->term > state.term)
                {
                    state.held = hold->term;
                }
                answer(hold->instance);
            }
            else if (
                const auto* release =
                    std::get_if<failover_action::release>(&action))
            {
                members_[release->instance].held = 0;
                answer(release->instance);
            }
            else if (
                const auto* order =
                    std::get_if<failover_action::order>(&action))
            {
                const bool same = order->instance == last_ordered_;
                last_ordered_ = order->instance;
                token_ += same ? 0 : 1;
                ++orders_;
                const late_order sent{order->instance, token_};
                if (lose_order)
                {
                    late_.push_back(sent);
                    planner_.on_order_result(order_result::unknown, now_);
                    continue;
                }
                const bool runs = members_[order->instance].running;
                carry_out(sent);
                planner_.on_order_result(
                    runs ? order_result::accepted : order_result::refused,
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
    std::set<std::string> registered_primaries_{"a"};
    /// Members that announced their end and whose registration is missing.
    std::set<std::string> ending_;
    /// Replicas that the primary does not reach.
    std::set<std::string> deaf_;
    std::vector<late_order> late_;
    failover_planner planner_{failover_planner::settings{}};
    time_point now_ = start;
    log_position acknowledged_{1, 0};
    bool lost_ = false;
    std::size_t orders_ = 0;

private:
    std::uint64_t token_ = 10;
    std::uint64_t highest_token_ = 0;
    std::string last_ordered_;
};

} // namespace

// Guards against promotions without a cause.
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
    EXPECT_FALSE(model.lost_);
}

// Guards against a promotion of the replica that lacks an acknowledged commit.
TEST(failover_planner, promotes_the_replica_with_the_longest_log)
{
    service_model model;
    model.run(1s);
    model.deaf_.insert("b");
    model.commit();
    model.members_["a"].running = false;
    model.run(2s);
    EXPECT_EQ(model.primary_name(), "c");
    EXPECT_FALSE(model.lost_);
}

// Guards against a promotion while a replica that may hold the only copy of a
// commit cannot be asked.
TEST(failover_planner, waits_for_a_replica_that_does_not_answer)
{
    service_model model;
    model.run(1s);
    model.deaf_.insert("b");
    model.commit();
    model.members_["c"].cut = true;
    model.members_["a"].running = false;
    model.run(5s);
    EXPECT_EQ(model.orders_, 0U);
    model.members_["c"].cut = false;
    model.run(2s);
    EXPECT_EQ(model.primary_name(), "c");
    EXPECT_FALSE(model.lost_);
}

// Guards against a gap in service when a leaving primary is replaced.
TEST(failover_planner, replaces_a_leaving_primary)
{
    service_model model;
    model.run(1s);
    model.leaving_.insert("a");
    model.tell_members();
    model.run(2s);
    EXPECT_NE(model.primary_name(), "a");
    EXPECT_FALSE(model.lost_);
}

// Guards against commits that never finish because no replica receives them.
TEST(failover_planner, replaces_a_primary_cut_off_from_its_replicas)
{
    service_model model;
    model.run(1s);
    model.deaf_ = {"b", "c"};
    model.commit();
    model.run(3s);
    EXPECT_NE(model.primary_name(), "a");
    EXPECT_FALSE(model.lost_);
}

// Guards against a promotion while a replica that announced its end is cut off
// together with the primary: it goes on receiving commits until it ends.
TEST(failover_planner, waits_for_a_leaving_replica_that_is_out_of_reach)
{
    for (const bool moves : {false, true})
    {
        service_model model;
        model.run(1s);
        model.leaving_ = {"c"};
        model.ending_ = {"c"};
        model.members_["a"].cut = true;
        model.members_["c"].cut = true;
        model.deaf_ = {"b"};
        model.tell_members();
        model.run(200ms);
        model.commit();
        if (moves)
        {
            model.move_duty();
        }
        model.run(5s);
        EXPECT_EQ(model.orders_, 0U);
        EXPECT_FALSE(model.lost_);
    }
}

// Guards against a promotion that waits for a replica that has ended as
// announced.
TEST(failover_planner, does_not_wait_for_a_leaving_replica_that_has_ended)
{
    for (const bool moves : {false, true})
    {
        service_model model;
        model.run(1s);
        model.leaving_ = {"c"};
        model.ending_ = {"c"};
        model.members_["a"].cut = true;
        model.members_["c"].running = false;
        model.tell_members();
        if (moves)
        {
            model.move_duty();
        }
        model.run(3s);
        EXPECT_EQ(model.primary_name(), "b");
        EXPECT_FALSE(model.lost_);
    }
}

// Guards against a service without a primary until the cut off one is back,
// because the host that takes the duty has never seen its status.
TEST(failover_planner, new_holder_replaces_a_primary_out_of_reach)
{
    service_model model;
    model.run(1s);
    model.commit();
    model.members_["a"].cut = true;
    model.run(200ms);
    model.move_duty();
    model.run(2s);
    EXPECT_NE(model.primary_name(), "a");
    EXPECT_FALSE(model.lost_);
}

// Guards against a promotion on the word of an old registration while the
// primary answers, or while another member cannot be asked.
TEST(failover_planner, new_holder_does_not_trust_an_old_registration)
{
    service_model model;
    model.members_["a"].primary = false;
    model.members_["b"].primary = true;
    model.members_["a"].cut = true;
    model.move_duty();
    model.run(5s);
    EXPECT_EQ(model.orders_, 0U);
    model.members_["b"].running = false;
    model.move_duty();
    model.run(5s);
    EXPECT_EQ(model.orders_, 0U);
}

// Guards against replicas that stay stopped after the primary is back.
TEST(failover_planner, releases_replicas_when_the_primary_is_back)
{
    service_model model;
    model.run(1s);
    model.members_["a"].cut = true;
    model.members_["c"].cut = true;
    model.run(2s);
    model.members_["a"].cut = false;
    model.members_["c"].cut = false;
    model.run(3s);
    EXPECT_EQ(model.planner_.state(), "steady");
    for (const auto& [name, state] : model.members_)
    {
        EXPECT_EQ(state.held, 0U) << name;
    }
    EXPECT_FALSE(model.lost_);
}

// Guards against lost commits over any order of crashes, cuts, deaf replicas,
// moves of the duty and orders that are carried out late.
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
                    // A member that comes back has its log, not its hold.
                    if (!state.running && model.late_.empty())
                    {
                        state.running = true;
                        state.held = 0;
                    }
                    break;
                case 2:
                    state.cut = !state.cut;
                    break;
                case 3:
                    if (!model.deaf_.erase(name))
                    {
                        model.deaf_.insert(name);
                    }
                    break;
                case 4:
                    if (!model.late_.empty())
                    {
                        model.carry_out(model.late_.back());
                        model.late_.pop_back();
                    }
                    break;
                case 5:
                    model.tick(
                        std::chrono::milliseconds(*rc::gen::inRange(50, 900)),
                        true);
                    break;
                case 6:
                    model.move_duty();
                    break;
                case 7:
                    if (state.running && !state.cut)
                    {
                        model.register_member(name);
                    }
                    break;
                default:
                    model.commit();
                    model.tick(
                        std::chrono::milliseconds(*rc::gen::inRange(50, 400)),
                        *rc::gen::inRange(0, 5) == 0);
                }
                RC_ASSERT(!model.lost_);
            }
        }));
}
