#include "coordination/replication_group_codec.hpp"

#include <zinniahub/replication_group.hpp>

#include <gtest/gtest.h>

using namespace zinniahub;
using namespace zinniahub::coordination;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};

replication_group::member member_at(const std::string& address)
{
    return {
        .address = address,
        .failure_domain = "zone-1",
        .started_ms = 1000,
        .draining = false};
}

/// Group with the members "a" and "b" that is ready to be recorded.
replication_group_tracker make_tracker()
{
    replication_group_tracker tracker;
    tracker.on_registered("a", member_at("10.0.0.1:1"), start);
    tracker.on_registered("b", member_at("10.0.0.2:1"), start);
    tracker.on_primary("a", 3);
    return tracker;
}

} // namespace

// Guards against a record that a new holder cannot use.
TEST(replication_group, is_decoded_as_it_was_encoded)
{
    const auto group = make_tracker().group();
    const auto decoded =
        decode_replication_group(encode_replication_group(group));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, group);
}

// Guards against promotions on a record that is damaged.
TEST(replication_group, is_refused_if_it_is_incomplete)
{
    for (const auto* text :
         {"", "[]", R"({"primary":"a","term":1})",
          R"({"primary":"a","term":1,"complete":true,"members":{}})",
          R"({"primary":"a","term":1,"complete":true,
              "members":{"a":{"address":"x"}}})",
          R"({"primary":"a","term":-1,"complete":true,"members":{}})"})
    {
        EXPECT_FALSE(decode_replication_group(text)) << text;
    }
}

// Guards against a new group that counts as complete while registrations are
// about to return, and against one that never becomes complete.
TEST(replication_group, is_complete_after_registrations_settled)
{
    auto tracker = make_tracker();
    tracker.on_tick(start + 4900ms);
    EXPECT_FALSE(tracker.group().complete);
    tracker.on_registered("c", member_at("10.0.0.3:1"), start + 4900ms);
    tracker.on_tick(start + 5100ms);
    EXPECT_FALSE(tracker.group().complete);
    EXPECT_TRUE(tracker.needs_record());
    tracker.on_recorded(tracker.group(), 7);
    EXPECT_FALSE(tracker.needs_record());
    tracker.on_tick(start + 9900ms);
    EXPECT_TRUE(tracker.group().complete);
    EXPECT_TRUE(tracker.needs_record());
}

// Guards against a new member or primary that is missing in the record.
TEST(replication_group, is_recorded_again_at_each_change)
{
    auto tracker = make_tracker();
    tracker.on_recorded(tracker.group(), 7);
    tracker.on_registered("a", member_at("10.0.0.1:1"), start + 1s);
    EXPECT_FALSE(tracker.needs_record());
    tracker.on_registered("c", member_at("10.0.0.3:1"), start + 1s);
    EXPECT_TRUE(tracker.needs_record());
    tracker.on_recorded(tracker.group(), 8);
    tracker.on_primary("c", 4);
    EXPECT_TRUE(tracker.needs_record());
    tracker.on_recorded(tracker.group(), 9);
    tracker.on_primary("a", 3);
    EXPECT_FALSE(tracker.needs_record());
}

// Guards against a write without a reply that hides a later change.
TEST(replication_group, is_recorded_again_after_an_unknown_write)
{
    replication_group_tracker tracker;
    tracker.on_loaded(make_tracker().group(), 7, start);
    EXPECT_FALSE(tracker.needs_record());
    tracker.on_reread(9);
    EXPECT_TRUE(tracker.needs_record());
    EXPECT_EQ(tracker.revision(), 9U);
}

// Guards against a retired member that stays, and against the removal of the
// primary.
TEST(replication_group, drops_retired_members)
{
    auto tracker = make_tracker();
    tracker.on_retired("a");
    tracker.on_retired("b");
    EXPECT_TRUE(tracker.group().members.contains("a"));
    EXPECT_FALSE(tracker.group().members.contains("b"));
}
