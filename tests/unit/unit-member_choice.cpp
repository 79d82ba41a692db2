#include "pooling/member_choice.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace zinniahub;
using namespace zinniahub::pooling;
using namespace std::chrono_literals;

const time_point start{1h};
constexpr std::string_view service = "ledger";

/// Connection that stays open.
class open_link : public member_connection
{
public:
    awaitable<result<reply>> forward(forwarded_statement, duration) override
    {
        co_return reply{};
    }
    awaitable<result<reply>> run(const command&, duration) override
    {
        co_return reply{};
    }
    bool is_open() const override
    {
        return true;
    }
    void close() override {}
};

/// A service with a registered primary and two replicas.
class choice : public testing::Test
{
protected:
    choice()
    {
        for (const auto* name : {"m0", "m1", "m2"})
        {
            upstream_record record;
            record.instance = name;
            record.service = service;
            record.address = name;
            record.primary = record.instance == "m0";
            directory.on_registered(record, start);
        }
        pools.set_limits({4, 20});
    }

    std::vector<std::string>
    names(const std::vector<const upstream_state*>& members) const
    {
        std::vector<std::string> out;
        out.reserve(members.size());
        for (const auto* member : members)
        {
            out.push_back(member->record.instance);
        }
        return out;
    }

    std::vector<std::string> primaries() const
    {
        return names(primary_candidates(view(), now));
    }

    std::vector<std::string>
    readers(log_position position, std::vector<std::string> excluded = {}) const
    {
        return names(read_candidates(
            view(), {"shop", position, excluded, rotation}, now));
    }

    member_view view() const
    {
        return {directory, service, pools, primary, samples};
    }

    time_point now = start + 1s;
    std::uint64_t rotation = 0;
    upstream_directory directory{upstream_directory::settings{}};
    pool_set pools;
    confirmed_primary primary;
    primary_position_history samples;
};

// Guards against a registration that is out of date and hides the member that
// was confirmed as the primary.
TEST_F(choice, last_confirmed_primary_comes_first)
{
    EXPECT_EQ(primaries().front(), "m0");
    primary = {"m2", now};
    EXPECT_EQ(primaries().front(), "m2");
    // A later registration is newer than the confirmation.
    auto record = directory.members().find("m1")->second.record;
    record.primary = true;
    ++record.sequence;
    directory.on_registered(record, now + 1s);
    now += 2s;
    EXPECT_EQ(primaries().front(), "m1");
}

// Guards against statements that are still sent to a member after it reported
// that it is not the primary.
TEST_F(choice, member_that_refused_a_write_is_not_the_primary)
{
    reply refusal;
    refusal.code = reply_code::read_only;
    pools.of("m0").on_answer(refusal, now);
    EXPECT_NE(primaries().front(), "m0");
    now += 1s;
    EXPECT_EQ(primaries().front(), "m0");
}

// Guards against reads on members whose log cannot have reached the position.
TEST_F(choice, read_skips_a_lagging_member)
{
    primary = {"m0", now};
    samples.add(now - 1s, {1, 10});
    samples.add(now - 100ms, {1, 20});
    pools.of("m0").set_position({1, 20}, 0ms, now);
    pools.of("m1").set_position({1, 9}, 900ms, now);
    pools.of("m2").set_position({1, 20}, 0ms, now);
    EXPECT_EQ(readers({1, 20}).size(), 2U);
    for (const auto& name : readers({1, 20}))
    {
        EXPECT_NE(name, "m1");
    }
    // The position is old enough that the member has it by now.
    EXPECT_EQ(readers({1, 10}).size(), 3U);
    // A lag that was measured long ago is ignored.
    now += 2s;
    EXPECT_EQ(readers({1, 20}).size(), 3U);
}

// Guards against a read that is retried on the member that refused it.
TEST_F(choice, read_does_not_try_a_member_twice)
{
    EXPECT_EQ(readers({}, {"m0", "m2"}), std::vector<std::string>{"m1"});
}

// Guards against replicas that stay unused while the primary handles the
// writes, and against one replica that gets all reads.
TEST_F(choice, reads_rotate_over_the_least_loaded_replicas)
{
    primary = {"m0", now};
    for (const auto* name : {"m0", "m1", "m2"})
    {
        pools.of(name).set_position({1, 1}, 0ms, now);
    }
    std::set<std::string> first;
    for (rotation = 0; rotation < 3; ++rotation)
    {
        first.insert(readers({1, 1}).front());
        EXPECT_EQ(readers({1, 1}).back(), "m0");
    }
    EXPECT_EQ(first, (std::set<std::string>{"m1", "m2"}));
    pools.of("m1").on_connecting();
    EXPECT_EQ(readers({1, 1}).front(), "m2");
}

// Guards against connections that stay with customers who hardly use them,
// while each request of another customer opens one that is not kept.
TEST_F(choice, connection_that_is_hardly_used_is_replaced)
{
    pools.set_limits({1, 20});
    for (const auto* name : {"m0", "m1", "m2"})
    {
        auto connection = std::make_unique<pooled_connection>();
        connection->customer = "other";
        auto& pool = pools.of(name);
        pool.on_connecting();
        pool.on_connected();
        connection->link = std::make_unique<open_link>();
        pool.return_connection(
            std::move(connection), std::string(name) == "m2" ? now : now - 3s);
    }
    for (rotation = 0; rotation < 3; ++rotation)
    {
        EXPECT_EQ(readers({}).back(), "m2");
    }
}

// Guards against requests that are sent to a member that replies slowly
// because too many requests wait there.
TEST_F(choice, member_at_its_concurrency_limit_is_not_available)
{
    auto& pool = pools.of("m1");
    EXPECT_EQ(
        pool.availability_for("shop", now), member_pool::availability::open);
    for (int i = 0; i < 20; ++i)
    {
        const auto sent_at = now + 1s * i;
        pool.on_statement_answered(
            sent_at, sent_at + 1ms, 100ms, reply_code::busy);
    }
    pool.on_call_sent(now);
    EXPECT_EQ(
        pool.availability_for("shop", now), member_pool::availability::none);
    pool.on_call_ended(now);
    EXPECT_EQ(
        pool.availability_for("shop", now), member_pool::availability::open);
}

} // namespace

// Guards against requests that wait for members of a failure domain which this
// host cannot reach, and against taking another member for the primary.
TEST_F(choice, members_out_of_reach_are_passed_over)
{
    auto record = directory.members().find("m0")->second.record;
    record.failure_domain = "far";
    ++record.sequence;
    directory.on_registered(record, start);
    EXPECT_FALSE(is_primary_out_of_reach(view(), now));
    directory.on_domains_unreachable({"far"}, true);
    EXPECT_EQ(readers({}), (std::vector<std::string>{"m1", "m2"}));
    EXPECT_NE(primaries().front(), "m0");
    EXPECT_TRUE(is_primary_out_of_reach(view(), now));
    EXPECT_NE(
        directory.members().find("m0")->second.primary_since,
        time_point::min());
    directory.on_domains_unreachable({}, false);
    EXPECT_EQ(primaries().front(), "m0");
}
