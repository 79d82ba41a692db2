#include <zinniahub/upstream_directory.hpp>

#include <gtest/gtest.h>

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};

upstream_record record(const std::string& instance, bool draining = false)
{
    upstream_record value;
    value.instance = instance;
    value.service = "ledger";
    value.failure_domain = "zone-" + instance;
    value.draining = draining;
    return value;
}

class directory_test : public testing::Test
{
protected:
    directory_test()
        : directory_(upstream_directory::settings{})
    {
    }
    const upstream_state& member(const std::string& instance)
    {
        return directory_.members().at(instance);
    }

    upstream_directory directory_;
};

} // namespace

// Guards against new operations at a member that announced that it is leaving,
// and against statements after the drain limit minus the propagation delay.
TEST_F(directory_test, draining_member_accepts_open_operations_until_its_limit)
{
    directory_.on_registered(record("a"), start);
    EXPECT_TRUE(directory_.accepts_new_operations(member("a"), start));
    directory_.on_registered(record("a", true), start);
    EXPECT_FALSE(directory_.accepts_new_operations(member("a"), start));
    EXPECT_TRUE(
        directory_.accepts_open_operations(member("a"), start + 4400ms));
    EXPECT_FALSE(
        directory_.accepts_open_operations(member("a"), start + 4500ms));
}

// Guards against a drain limit that is extended by each heartbeat of a leaving
// member.
TEST_F(directory_test, heartbeats_do_not_extend_the_drain_limit)
{
    directory_.on_registered(record("a", true), start);
    directory_.on_registered(record("a", true), start + 3s);
    EXPECT_FALSE(
        directory_.accepts_open_operations(member("a"), start + 4500ms));
}

// Guards against operations in a failure domain that is out of service, and
// against members that stay unused after it returns to service.
TEST_F(directory_test, evacuation_stops_operations_until_it_is_reverted)
{
    directory_.on_registered(record("a"), start);
    directory_.on_domains_evacuated({"zone-a"}, start);
    EXPECT_FALSE(directory_.accepts_new_operations(member("a"), start));
    EXPECT_TRUE(
        directory_.accepts_open_operations(member("a"), start + 2400ms));
    EXPECT_FALSE(
        directory_.accepts_open_operations(member("a"), start + 2500ms));
    directory_.on_domains_evacuated({}, start + 3s);
    EXPECT_TRUE(directory_.accepts_new_operations(member("a"), start + 3s));
}

// Guards against a member that registers in an evacuated failure domain.
TEST_F(directory_test, evacuation_covers_members_that_come_later)
{
    directory_.on_domains_evacuated({"zone-a"}, start);
    directory_.on_registered(record("a"), start);
    EXPECT_FALSE(directory_.accepts_new_operations(member("a"), start));
}

// Guards against dropping members whose registration expired while the store
// was unavailable, and against using members that have exited.
TEST_F(directory_test, missing_registration_counts_after_a_grace_time)
{
    directory_.on_registered(record("a"), start);
    directory_.on_removed("a", start);
    EXPECT_TRUE(directory_.accepts_new_operations(member("a"), start + 2400ms));
    EXPECT_FALSE(
        directory_.accepts_new_operations(member("a"), start + 2500ms));
    directory_.on_registered(record("a"), start + 3s);
    EXPECT_TRUE(directory_.accepts_new_operations(member("a"), start + 3s));
}

// Guards against a listing that does not remove missing members.
TEST_F(directory_test, listing_removes_members_it_does_not_contain)
{
    directory_.on_registered(record("a"), start);
    directory_.on_listed({record("b")}, start);
    EXPECT_FALSE(directory_.accepts_new_operations(member("a"), start + 3s));
    EXPECT_TRUE(directory_.accepts_new_operations(member("b"), start + 3s));
    directory_.on_tick(start + 61s);
    EXPECT_EQ(directory_.members().count("a"), 0U);
}

// Guards against a promotion that waits for a member that was replaced, and
// against one that does not wait for a member that is only unreachable: the
// registration of a leaving member expires in a partition too.
TEST_F(directory_test, distinguishes_replaced_from_unreachable_members)
{
    auto cut = record("cut");
    cut.address = "10.0.0.1:1";
    auto replaced = record("replaced");
    replaced.address = "10.0.0.2:1";
    directory_.on_listed({cut, replaced, record("left", true)}, start);
    directory_.on_listed({}, start + 1s);
    auto successor = record("successor");
    successor.address = "10.0.0.2:1";
    directory_.on_registered(successor, start + 1s);
    EXPECT_FALSE(directory_.was_replaced(member("cut")));
    EXPECT_TRUE(directory_.was_replaced(member("replaced")));
    EXPECT_FALSE(directory_.was_replaced(member("left")));
    EXPECT_FALSE(directory_.was_replaced(member("successor")));
}

// Guards against choosing the older one of two registered primaries.
TEST_F(directory_test, remembers_when_a_member_became_the_primary)
{
    auto value = record("a");
    value.primary = true;
    directory_.on_registered(value, start);
    directory_.on_registered(value, start + 1s);
    EXPECT_EQ(member("a").primary_since, start);
    value.primary = false;
    directory_.on_registered(value, start + 2s);
    EXPECT_EQ(member("a").primary_since, time_point::min());
}
