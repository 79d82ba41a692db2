#include <zinniahub/drain.hpp>

#include <gtest/gtest.h>

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

const time_point start{1h};
using actions = std::vector<drain_action>;
const actions none;
const actions announce{
    drain_action::announce_leaving, drain_action::set_not_serving};
const actions refuse{drain_action::refuse_new};
const actions hand_over_and_exit{drain_action::hand_over, drain_action::exit};

// Guards against a shutdown that interrupts requests or never ends.
TEST(drain, steps_follow_time_and_open_work)
{
    struct row
    {
        const char* name;
        duration at;
        bool signal;
        std::size_t requests;
        std::size_t transactions;
        actions expected;
        drain_state state;
    };
    using enum drain_state;
    const std::vector<row> idle_host{
        {"no signal yet", 0s, false, 0, 0, none, serving},
        {"signal", 1s, true, 0, 0, announce, announcing},
        {"idle, but the balancer still sends", 2900ms, false, 0, 0, none,
         announcing},
        {"announced for 2 s", 3s, false, 0, 0, refuse, refusing},
        {"idle", 3100ms, false, 0, 0, hand_over_and_exit, finished},
        {"finished", 4s, false, 0, 0, none, finished},
        {"signal after the end", 5s, true, 0, 0, none, finished}};
    const std::vector<row> busy_host{
        {"signal", 0s, true, 2, 1, announce, announcing},
        {"second signal", 1s, true, 2, 1, none, announcing},
        {"refuse", 2s, false, 2, 1, refuse, refusing},
        {"third signal", 3s, true, 2, 1, none, refusing},
        {"open request", 20s, false, 1, 0, none, refusing},
        {"open transaction", 31'999ms, false, 0, 1, none, refusing},
        {"bound", 32s, false, 1, 1, hand_over_and_exit, finished}};
    const std::vector<row> paused_host{
        {"signal", 0s, true, 1, 0, announce, announcing},
        {"paused, requests were accepted until now", 40s, false, 1, 0, refuse,
         refusing},
        {"the bound counts from the refusal", 69s, false, 1, 0, none, refusing},
        {"bound", 70s, false, 1, 0, hand_over_and_exit, finished}};
    for (const auto& rows : {idle_host, busy_host, paused_host})
    {
        drain_controller drain;
        for (const auto& row : rows)
        {
            SCOPED_TRACE(row.name);
            const auto now = start + row.at;
            EXPECT_EQ(
                row.signal ? drain.on_signal(now)
                           : drain.on_tick(now, row.requests, row.transactions),
                row.expected);
            EXPECT_EQ(drain.state(), row.state);
        }
    }
}

// Guards against accepting a deadline that is later than the exit of the host.
TEST(drain, stop_time_is_known_from_the_signal)
{
    drain_controller drain;
    EXPECT_EQ(drain.stops_at(), std::nullopt);
    drain.on_signal(start);
    EXPECT_EQ(drain.stops_at(), start + 32s);
    drain.on_tick(start + 2100ms, 1, 0);
    EXPECT_EQ(drain.stops_at(), start + 32'100ms);
}

} // namespace
