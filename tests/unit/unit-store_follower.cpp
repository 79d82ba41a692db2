#include "absent_store.hpp"
#include "coordination/store_follower.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

using namespace zinniahub;
using namespace zinniahub::coordination;
using namespace std::chrono_literals;

namespace
{

stored_item item(std::string key, std::uint64_t revision)
{
    return {.key = std::move(key), .value = "v", .revision = revision};
}

/// A store whose answers the test prepares. Without an answer, a watch waits.
class scripted_store : public tests::absent_store
{
public:
    explicit scripted_store(boost::asio::io_context& io)
        : io_(io)
    {
    }

    awaitable<result<store_batch>> list(std::string_view prefix) override
    {
        listed.emplace_back(prefix);
        co_return store_batch{
            {item(std::string(prefix) + "listed", ++revision)}, revision};
    }

    awaitable<result<store_batch>>
    watch(std::string_view prefix, std::uint64_t after, duration) override
    {
        watched.emplace_back(prefix);
        watched_after.push_back(after);
        if (!answers.empty())
        {
            auto answer = std::move(answers.front());
            answers.pop_front();
            co_return answer;
        }
        boost::asio::steady_timer timer(io_, 1h);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_return store_batch{};
    }

    std::uint64_t revision = 0;
    std::vector<std::string> listed;
    std::vector<std::string> watched;
    std::vector<std::uint64_t> watched_after;
    std::deque<result<store_batch>> answers;

private:
    boost::asio::io_context& io_;
};

/// A follower of the prefixes "a/" and "b/", and the keys that it delivered.
class store_following : public testing::Test
{
protected:
    void follow()
    {
        follower_.start();
        io_.poll();
    }

    store_follower::subscription subscribe(const std::string& prefix)
    {
        const auto record = [this](const store_batch& batch)
        {
            for (const auto& entry : batch.items)
            {
                delivered_.push_back(entry.key);
            }
        };
        return {prefix, record, record};
    }

    boost::asio::io_context io_;
    scripted_store store_{io_};
    log::event_log events_{{.descriptor = 2, .node = "n1"}};
    std::vector<std::string> delivered_;
    store_follower follower_{
        io_, store_, {}, {subscribe("a/"), subscribe("b/")}, events_};
};

} // namespace

// Guards against calls to the store that grow with the number of prefixes.
TEST_F(store_following, one_watch_serves_all_prefixes)
{
    store_.answers.push_back(
        store_batch{{item("b/1", 3), item("c/1", 4), item("a/1", 5)}, 5});
    follow();
    EXPECT_EQ(store_.listed, (std::vector<std::string>{"a/", "b/"}));
    EXPECT_EQ(store_.watched, (std::vector<std::string>{"", ""}));
    EXPECT_EQ(
        delivered_,
        (std::vector<std::string>{"a/listed", "b/listed", "a/1", "b/1"}));
}

// Guards against an item that goes back to a state before its listing: the
// watch begins at the revision of the first listing.
TEST_F(store_following, changes_before_the_listing_are_not_delivered_again)
{
    store_.answers.push_back(
        store_batch{{item("b/old", 2), item("a/new", 2)}, 2});
    follow();
    ASSERT_FALSE(store_.watched_after.empty());
    EXPECT_EQ(store_.watched_after.front(), 1U);
    EXPECT_EQ(
        delivered_,
        (std::vector<std::string>{"a/listed", "b/listed", "a/new"}));
}

// Guards against changes that are missed when the history is gone.
TEST_F(store_following, lists_all_prefixes_again_after_a_compaction)
{
    store_.answers.push_back(fail(errc::not_found));
    follow();
    EXPECT_EQ(
        store_.listed, (std::vector<std::string>{"a/", "b/", "a/", "b/"}));
    EXPECT_EQ(store_.watched_after.back(), 3U);
}
