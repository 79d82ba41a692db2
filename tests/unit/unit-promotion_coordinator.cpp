#include "coordination/promotion_coordinator.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <functional>

namespace
{

using namespace zinniahub;
using namespace zinniahub::coordination;
using namespace std::chrono_literals;

/// Store of one key. `on_grant` runs before a lease is granted, to simulate a
/// concurrent write by another host.
class one_key_store : public store
{
public:
    awaitable<result<store_batch>> list(std::string_view) override
    {
        co_return store_batch{};
    }
    awaitable<result<store_batch>>
    watch(std::string_view, std::uint64_t, duration) override
    {
        co_return store_batch{};
    }
    awaitable<result<std::uint64_t>>
    commit(const store_transaction& transaction) override
    {
        if (transaction.preconditions.at(0).revision != item.revision)
        {
            co_return fail(errc::conflict);
        }
        const auto& write = transaction.writes.at(0);
        put(write.key, write.value);
        co_return item.revision;
    }
    awaitable<result<store_lease>> grant_lease(duration ttl) override
    {
        on_grant();
        co_return store_lease{7, ttl};
    }
    awaitable<result<duration>> renew_lease(std::uint64_t) override
    {
        co_return 4s;
    }
    awaitable<result<void>> revoke_lease(std::uint64_t) override
    {
        ++ended;
        if (failing_ends > 0)
        {
            --failing_ends;
            co_return fail(errc::platform_unavailable);
        }
        co_return result<void>{};
    }
    time_point last_answer_at() const override
    {
        return clock::now();
    }

    void put(std::string key, std::string value)
    {
        item = {std::move(key), std::move(value), item.revision + 1, 7, false};
    }

    stored_item item;
    std::function<void()> on_grant = [] {};
    int ended = 0;
    /// Calls to end a lease that fail before one succeeds.
    int failing_ends = 0;
};

class failing_promotion_api : public promotion_api
{
public:
    awaitable<result<void>> promote(
        std::string_view, std::string_view, std::string_view,
        std::uint64_t) override
    {
        co_return fail(errc::platform_unavailable);
    }
};

class failing_member_connector : public pooling::member_connector
{
public:
    awaitable<pooling::connect_result>
    connect(const pooling::member_address&, duration) override
    {
        co_return tl::make_unexpected(pooling::connect_failure{});
    }
};

class single_host : public hold_channel
{
public:
    std::vector<std::string> hosts() const override
    {
        return {"b"};
    }
    void send(
        std::string_view, const hold_request&,
        const std::vector<std::string>&) override
    {
    }
    void set_handler(answer_handler) override {}
};

class silent_member_relay : public member_relay
{
public:
    void send(const relayed_command&) override {}
    void set_handler(status_handler) override {}
};

/// Coordinator of host "b" on a store that other hosts use too.
class duty : public testing::Test
{
protected:
    duty()
    {
        coordinator.on_configuration(
            std::make_shared<const proxy_configuration>());
        coordinator.start();
    }

    boost::asio::io_context io;
    one_key_store state;
    failing_promotion_api platform;
    failing_member_connector members;
    silent_member_relay relay;
    single_host holds;
    upstream_directory directory{upstream_directory::settings{}};
    log::event_log events{{.descriptor = ::open("/dev/null", O_WRONLY)}};
    promotion_coordinator coordinator{io,        state,         platform,
                                      members,   relay,         holds,
                                      directory, {.host = "b"}, events};
};

} // namespace

// Guards against a vacant duty that no host acquires.
TEST_F(duty, is_acquired_while_vacant)
{
    io.run_for(400ms);
    EXPECT_TRUE(coordinator.is_leader(clock::now()));
    EXPECT_EQ(state.item.value, "b");
}

// Guards against a host that takes over the duty from another host, which
// acquired it while the lease was being granted: two holders within one lease.
TEST_F(duty, is_not_acquired_after_a_concurrent_host)
{
    state.on_grant = [this]
    {
        state.put("zinniahub/duty/promotion", "a");
        coordinator.on_item(state.item);
    };
    io.run_for(400ms);
    EXPECT_FALSE(coordinator.is_leader(clock::now()));
    EXPECT_EQ(state.item.value, "a");
    EXPECT_EQ(state.ended, 1);
}

// Guards against a duty that no host can acquire for the rest of the lease,
// because the call that ends the lease failed once.
TEST_F(duty, ends_its_lease_although_the_first_call_fails)
{
    io.run_for(400ms);
    ASSERT_TRUE(coordinator.is_leader(clock::now()));
    state.failing_ends = 1;
    coordinator.set_eligible(false);
    io.run_for(800ms);
    EXPECT_EQ(state.ended, 2);
    EXPECT_FALSE(coordinator.is_leader(clock::now()));
}

namespace
{

/// True if host "b" takes the duty soon after host "a" gave it up.
bool takes_over_from_another_host(duration return_delay)
{
    boost::asio::io_context io;
    one_key_store state;
    log::event_log events{{.descriptor = ::open("/dev/null", O_WRONLY)}};
    duty_lease lease(
        io, state, {.host = "b", .return_delay = return_delay}, {}, events);
    state.put(std::string(duty_key), "a");
    lease.on_item(state.item);
    state.item = {std::string(duty_key), {}, 0, 0, false};
    lease.on_item({std::string(duty_key), {}, 2, 0, true});
    lease.start();
    io.run_for(600ms);
    return lease.is_held(clock::now());
}

} // namespace

// Guards against a duty that returns to a host, an earlier process of which may
// have held it, within the time in which the platform forbids that.
TEST(duty_lease, does_not_return_within_the_delay)
{
    EXPECT_TRUE(takes_over_from_another_host(duration::zero()));
    EXPECT_FALSE(takes_over_from_another_host(3s));
}
