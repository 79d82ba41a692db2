#include <zinniahub/store_path_selector.hpp>

#include <gtest/gtest.h>

#include <string>

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

const time_point start{1h};
const std::string first = "10.0.0.2:7560";
const std::string second = "10.0.0.3:7560";

} // namespace

// Guards against a host that waits for a store that has turned it away since
// its start, although another host offers to forward.
TEST(store_path_selector, started_host_uses_an_offer_after_one_failure)
{
    store_path_selector paths;
    paths.on_offer(first, start);
    EXPECT_EQ(paths.relay(start), "");
    paths.on_direct_failure(start, start + 1ms);
    EXPECT_EQ(paths.relay(start + 1ms), first);
    EXPECT_FALSE(paths.can_offer(start + 1ms));
}

// Guards against leaving the own path because of a single failure.
TEST(store_path_selector, path_that_worked_is_lost_after_a_while)
{
    store_path_selector paths;
    paths.on_offer(first, start);
    paths.on_direct_answer(start);
    paths.on_direct_failure(start + 10ms, start + 20ms);
    EXPECT_EQ(paths.relay(start + 20ms), "");
    EXPECT_EQ(paths.relay(start + 310ms), first);
    paths.on_direct_answer(start + 400ms);
    EXPECT_EQ(paths.relay(start + 400ms), "");
}

// Guards against taking a lost answer for a lost store: other calls were
// answered after it was sent.
TEST(store_path_selector, later_answer_outweighs_an_older_failure)
{
    store_path_selector paths;
    paths.on_offer(first, start);
    paths.on_direct_answer(start + 500ms);
    paths.on_direct_failure(start, start + 1200ms);
    EXPECT_FALSE(paths.is_direct_lost(start + 2s));
    EXPECT_TRUE(paths.can_offer(start + 1200ms));
}

// Guards against calling through a host that fails too, or that has been silent
// for long.
TEST(store_path_selector, drops_offers_that_fail_or_expire)
{
    store_path_selector paths;
    paths.on_direct_failure(start, start);
    paths.on_offer(first, start);
    paths.on_offer(second, start + 5s);
    EXPECT_EQ(paths.relay(start + 5s), first);
    paths.on_relay_failure(first);
    EXPECT_EQ(paths.relay(start + 5s), second);
    EXPECT_EQ(paths.relay(start + 15s), "");
}

// Guards against offers from hosts that have no answer of the store.
TEST(store_path_selector, offers_only_while_the_store_answers)
{
    store_path_selector paths;
    EXPECT_FALSE(paths.can_offer(start));
    paths.on_direct_answer(start);
    EXPECT_TRUE(paths.can_offer(start + 2900ms));
    EXPECT_FALSE(paths.can_offer(start + 3s));
    paths.on_direct_failure(start + 3s, start + 3s);
    EXPECT_FALSE(paths.can_offer(start + 3s));
}

// Guards against giving up the duty of promotions while the store is down for
// all hosts: an offer from before the outage remains, but no call through the
// other host is answered.
TEST(store_path_selector, offer_alone_does_not_show_that_others_are_served)
{
    store_path_selector paths;
    paths.on_direct_answer(start);
    paths.on_offer(first, start);
    paths.on_direct_failure(start + 1ms, start + 10ms);
    ASSERT_EQ(paths.relay(start + 1s), first);
    EXPECT_FALSE(paths.is_served_through_relay(start + 1s));
    paths.on_relay_answer(start + 1s);
    EXPECT_TRUE(paths.is_served_through_relay(start + 1s));
    EXPECT_TRUE(paths.is_served_through_relay(start + 2900ms));
    EXPECT_FALSE(paths.is_served_through_relay(start + 3s));
}
