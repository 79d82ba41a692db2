#include "traffic/group_transactions.hpp"
#include "upstream/channel.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace zinniahub;

/// An address that refuses connections: nothing is sent in these tests.
constexpr const char* closed_address = "127.0.0.1:1";

/// The channel is never destroyed: gRPC 1.51 fails if the last channel of the
/// process is released by a callback, here the end of a connection.
v1::Member::Stub& stub()
{
    static auto* const stub =
        v1::Member::NewStub(upstream::make_channel(closed_address)).release();
    return *stub;
}

struct group_transactions_test : ::testing::Test
{
    traffic::request::pointer make_request(v1::Operation operation)
    {
        traffic::request::pointer entry(new traffic::request);
        entry->operation = operation;
        entry->on_done = [this](result<traffic::answer> outcome)
        { done = outcome ? errc{} : outcome.error().code; };
        return entry;
    }

    traffic::transaction_pointer open()
    {
        traffic::transaction_pointer opened;
        const auto begin = make_request(v1::OPERATION_BEGIN);
        transactions.add_open_handler(
            *begin, [&](auto transaction) { opened = std::move(transaction); });
        auto connection =
            upstream::member_connection::open(stub(), [](auto) {});
        transactions.on_begun(*begin, {pool, connection, "member", 1}, {});
        transactions.remove_open_handler(*begin);
        done.reset();
        return opened;
    }

    std::unique_ptr<connection_strategy> strategy = make_shared_strategy();
    std::shared_ptr<traffic::member_pool> pool =
        std::make_shared<traffic::member_pool>(
            fair_queue::settings{}, *strategy, nullptr, nullptr);
    traffic::group_transactions transactions;
    std::optional<errc> done;
};

// Guards against a lost commit that is reported as not run, and against a
// transaction that stays open after the member aborted it.
TEST_F(group_transactions_test, failures_end_all_but_rejected_statements)
{
    struct failure_case
    {
        v1::Operation operation;
        errc failure;
        bool is_broken;
        errc reported;
        bool is_open;
    };
    const failure_case cases[]{
        {v1::OPERATION_STATEMENT, errc::statement_rejected, false,
         errc::statement_rejected, true},
        {v1::OPERATION_STATEMENT, errc::wrong_term, false,
         errc::transaction_aborted, false},
        {v1::OPERATION_STATEMENT, errc::connection_lost, true,
         errc::transaction_aborted, false},
        {v1::OPERATION_COMMIT, errc::statement_rejected, false,
         errc::transaction_aborted, false},
        {v1::OPERATION_COMMIT, errc::connection_lost, true,
         errc::connection_lost, false},
        {v1::OPERATION_ROLLBACK, errc::connection_lost, true,
         errc::transaction_aborted, false}};
    for (const auto& test : cases)
    {
        const auto owner = open();
        ASSERT_TRUE(transactions.reserve_connection(*owner));
        // A second request at the same time is refused.
        EXPECT_FALSE(transactions.reserve_connection(*owner));
        transactions.on_reply(
            *owner, *make_request(test.operation),
            {fail(test.failure), test.is_broken});
        EXPECT_EQ(done, test.reported) << to_string(test.failure);
        EXPECT_EQ(owner->is_open(), test.is_open) << to_string(test.failure);
        EXPECT_EQ(
            transactions.reserve_connection(*owner).has_value(), test.is_open);
    }
}

// Guards against a commit of writes that completes before the commit rule.
TEST_F(group_transactions_test, only_commits_of_writes_wait_for_confirmation)
{
    for (const auto access : {v1::ACCESS_READ, v1::ACCESS_WRITE})
    {
        const bool wrote = access == v1::ACCESS_WRITE;
        const auto owner = open();
        const auto statement = make_request(v1::OPERATION_STATEMENT);
        statement->access = access;
        EXPECT_FALSE(transactions.on_reply(*owner, *statement, {{}, false}));
        done.reset();
        const auto commit = make_request(v1::OPERATION_COMMIT);
        const auto waits = transactions.on_reply(*owner, *commit, {{}, false});
        EXPECT_EQ(waits.has_value(), wrote);
        EXPECT_EQ(done.has_value(), !wrote);
        EXPECT_FALSE(owner->is_open());
    }
}

} // namespace
