#include "coordination/promotion_duty.hpp"

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
        if (transaction.expect.at(0).revision != item.revision)
        {
            co_return fail(errc::conflict);
        }
        const auto& write = transaction.writes.at(0);
        put(write.key, write.value);
        co_return item.revision;
    }
    awaitable<result<store_lease>> grant(duration ttl) override
    {
        on_grant();
        co_return store_lease{7, ttl};
    }
    awaitable<result<duration>> renew(std::uint64_t) override
    {
        co_return 4s;
    }
    awaitable<result<void>> end(std::uint64_t) override
    {
        ++ended;
        co_return result<void>{};
    }
    time_point answered_at() const override
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
};

class no_promotions : public promotion_port
{
public:
    awaitable<result<void>> promote(
        std::string_view, std::string_view, std::string_view,
        std::uint64_t) override
    {
        co_return fail(errc::platform_unavailable);
    }
};

class no_members : public pooling::member_connector
{
public:
    awaitable<pooling::connect_result>
    connect(const pooling::member_address&, duration) override
    {
        co_return tl::make_unexpected(pooling::connect_failure{});
    }
};

/// The duty of host "b" over a store that other hosts use too.
class duty : public testing::Test
{
protected:
    duty()
    {
        held.on_configuration(std::make_shared<const proxy_configuration>());
        held.start();
    }

    boost::asio::io_context io;
    one_key_store state;
    no_promotions platform;
    no_members members;
    upstream_directory directory{upstream_directory::settings{}};
    log::event_log events{{.descriptor = ::open("/dev/null", O_WRONLY)}};
    promotion_duty held{io,        state,         platform, members,
                        directory, {.host = "b"}, events};
};

} // namespace

// Guards against a duty that nobody takes.
TEST_F(duty, is_taken_while_it_is_vacant)
{
    io.run_for(400ms);
    EXPECT_TRUE(held.is_holder(clock::now()));
    EXPECT_EQ(state.item.value, "b");
}

// Guards against a host that takes the duty from another one which took it
// while the lease was granted: two holders within one lease.
TEST_F(duty, is_not_taken_from_a_host_that_was_quicker)
{
    state.on_grant = [this]
    {
        state.put("zinniahub/duty/promotion", "a");
        held.on_item(state.item);
    };
    io.run_for(400ms);
    EXPECT_FALSE(held.is_holder(clock::now()));
    EXPECT_EQ(state.item.value, "a");
    EXPECT_EQ(state.ended, 1);
}
