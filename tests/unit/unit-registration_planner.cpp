#include <zinniahub/registration_planner.hpp>

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

using action = registration_planner::action;
using kind = registration_planner::action_kind;
using actions = std::vector<action>;

const time_point start{1h};
constexpr duration ttl = 30s;

registration_planner make_planner()
{
    return registration_planner({.address = "10.0.0.1:7560"});
}

host_registration registered(std::uint64_t revision, std::uint64_t lease)
{
    return {"10.0.0.1:7560", revision, lease};
}

} // namespace

// Guards against a registration that is decided before the one of the
// predecessor is known.
TEST(registration_planner, makes_no_call_before_the_first_read)
{
    auto planner = make_planner();
    EXPECT_TRUE(planner.on_tick(start).empty());
    EXPECT_EQ(planner.next_tick_at(), never);
}

// Guards against a first start that does not end, or that counts as registered
// before its own registration has been read.
TEST(registration_planner, registers_under_a_new_lease)
{
    auto planner = make_planner();
    planner.on_registration_read(std::nullopt);
    EXPECT_EQ(planner.on_tick(start), actions({{kind::grant_lease, 0, 0}}));
    planner.on_lease_granted(7, start, ttl);
    EXPECT_EQ(
        planner.on_tick(start), actions({{kind::write_registration, 7, 0}}));
    EXPECT_EQ(planner.valid_until(start), time_point::min());
    planner.on_registration_read(registered(12, 7));
    EXPECT_TRUE(planner.is_written());
    EXPECT_GT(planner.valid_until(start), start + 29s);
    EXPECT_TRUE(planner.on_tick(start + 4900ms).empty());
    EXPECT_EQ(
        planner.on_tick(start + 5s), actions({{kind::renew_lease, 7, 0}}));
}

// Guards against a restart that needs the answer to a write: the registration
// of the predecessor and the executed write can be read.
TEST(registration_planner, restarts_without_an_answer)
{
    auto planner = make_planner();
    planner.on_registration_read(registered(12, 7));
    EXPECT_EQ(
        planner.on_tick(start),
        actions(
            {{kind::renew_lease, 7, 0}, {kind::write_registration, 7, 12}}));
    EXPECT_EQ(planner.valid_until(start), time_point::min());
    planner.on_registration_read(registered(15, 7));
    EXPECT_EQ(
        planner.valid_until(start + 1s),
        start + 1s + registration_read_validity);
}

// Guards against relying on the registration of the predecessor, which a call
// of its own may still end.
TEST(registration_planner, does_not_rely_on_the_predecessor)
{
    auto planner = make_planner();
    planner.on_registration_read(registered(12, 7));
    planner.on_tick(start);
    planner.on_lease_renewed(7, start, ttl);
    EXPECT_FALSE(planner.is_written());
    EXPECT_EQ(planner.valid_until(start), time_point::min());
    // It is removed by a late call; the write of this process has failed.
    planner.on_registration_read(std::nullopt);
    EXPECT_EQ(
        planner.on_tick(start + 10ms),
        actions({{kind::write_registration, 7, 0}}));
}

// Guards against staying registered under a lease that nobody renews, after a
// late write of the predecessor.
TEST(registration_planner, replaces_a_late_write_of_the_predecessor)
{
    auto planner = make_planner();
    planner.on_registration_read(std::nullopt);
    planner.on_tick(start);
    planner.on_lease_granted(7, start, ttl);
    planner.on_registration_read(registered(12, 5));
    EXPECT_FALSE(planner.is_written());
    EXPECT_EQ(
        planner.on_tick(start + 1s),
        actions({{kind::write_registration, 7, 12}}));
}

// Guards against one attempt a timeout while answers get lost.
TEST(registration_planner, repeats_calls_without_an_answer)
{
    auto planner = make_planner();
    planner.on_registration_read(std::nullopt);
    int grants = 0;
    for (auto now = start; now < start + 1s; now += 10ms)
    {
        grants += static_cast<int>(planner.on_tick(now).size());
    }
    EXPECT_EQ(grants, 4);
    planner.on_lease_granted(7, start + 750ms, ttl);
    // The answer to an earlier call comes late.
    planner.on_lease_granted(6, start, ttl);
    EXPECT_EQ(planner.lease(), 7U);
}

// Guards against a write for each retry interval until the executed one has
// been read, and against waiting for ever for one that was undone.
TEST(registration_planner, waits_for_the_read_of_an_answered_write)
{
    auto planner = make_planner();
    planner.on_registration_read(std::nullopt);
    planner.on_tick(start);
    planner.on_lease_granted(7, start, ttl);
    planner.on_tick(start);
    planner.on_write_answered(start + 4ms);
    EXPECT_TRUE(planner.on_tick(start + 1s).empty());
    EXPECT_EQ(
        planner.on_tick(start + 2004ms),
        actions({{kind::write_registration, 7, 0}}));
}

// Guards against using an ended lease again, and against a registration that is
// not renewed under another one.
TEST(registration_planner, registers_again_after_the_lease_has_ended)
{
    auto planner = make_planner();
    planner.on_registration_read(registered(12, 7));
    planner.on_tick(start);
    planner.on_lease_ended(7, start + 10ms);
    EXPECT_EQ(
        planner.on_tick(start + 10ms), actions({{kind::grant_lease, 0, 0}}));
    planner.on_lease_granted(9, start + 10ms, ttl);
    planner.on_registration_read(std::nullopt);
    EXPECT_EQ(
        planner.on_tick(start + 30ms),
        actions({{kind::write_registration, 9, 0}}));
    planner.on_registration_read(registered(20, 9));
    EXPECT_GT(planner.valid_until(start), start + 29s);
}

// Guards against relying on reads that are too old.
TEST(registration_planner, validity_ends_with_the_last_proof)
{
    auto planner = make_planner();
    planner.on_registration_read(registered(12, 7));
    planner.on_registration_read(registered(15, 7));
    planner.on_tick(start);
    EXPECT_EQ(planner.valid_until(time_point::min()), time_point::min());
    planner.on_lease_renewed(7, start, ttl);
    EXPECT_EQ(planner.valid_until(start), planner.valid_until(start - 10s));
}
