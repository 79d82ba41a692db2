#include "standins/member_store.hpp"

#include <gtest/gtest.h>

namespace zinniahub::standin
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t group_uid = 7;

member_store make_store(const std::string& name, bool rejoin = false)
{
    return member_store(
        {name, group_uid, "a", name == "a" ? "" : "address-a", 20, rejoin},
        time_point{});
}

v1::MemberRequest make_request(
    v1::Operation operation, const std::string& text = {},
    std::uint64_t term = 1, v1::Access access = v1::ACCESS_WRITE)
{
    v1::MemberRequest request;
    request.set_id(1);
    request.set_group_uid(group_uid);
    request.set_operation(operation);
    request.set_term(term);
    request.set_access(access);
    request.set_text(text);
    return request;
}

/// One connection to a store, at a fixed time.
struct connection
{
    explicit connection(member_store& target)
        : store(target)
    {
    }

    v1::MemberReply run(const std::string& text, std::uint64_t term = 1)
    {
        return store.execute(
            session, make_request(v1::OPERATION_STATEMENT, text, term), now);
    }

    v1::MemberReply read(const std::string& text, const log_position& min = {})
    {
        auto request =
            make_request(v1::OPERATION_STATEMENT, text, 0, v1::ACCESS_READ);
        request.mutable_min_position()->set_term(min.term);
        request.mutable_min_position()->set_index(min.index);
        return store.execute(session, request, now);
    }

    v1::MemberReply begin()
    {
        return store.execute(session, make_request(v1::OPERATION_BEGIN), now);
    }

    v1::MemberReply commit()
    {
        return store.execute(session, make_request(v1::OPERATION_COMMIT), now);
    }

    std::string value(const std::string& key)
    {
        const auto reply = read("get " + key);
        return reply.rows_size() == 0 ? "absent" : reply.rows(0).value();
    }

    member_store& store;
    member_session session;
    time_point now{};
};

bool fence(member_store& store, std::uint64_t term, std::uint64_t candidate)
{
    v1::FenceRequest request;
    request.set_group_uid(group_uid);
    request.set_term(term);
    request.set_candidate(candidate);
    return store.fence(request);
}

bool promote(
    member_store& store, std::uint64_t term, std::uint64_t candidate,
    const log_position& expected)
{
    v1::PromoteRequest request;
    request.set_group_uid(group_uid);
    request.set_term(term);
    request.set_candidate(candidate);
    request.mutable_expected_position()->set_term(expected.term);
    request.mutable_expected_position()->set_index(expected.index);
    return store.promote(request);
}

bool follow(member_store& store, std::uint64_t term, const std::string& primary)
{
    v1::FollowRequest request;
    request.set_group_uid(group_uid);
    request.set_term(term);
    request.set_primary(primary);
    request.set_primary_address("address-" + primary);
    return store.follow(request);
}

/// One replication exchange; false if the replica does not ask or the other
/// member does not answer.
bool exchange(
    member_store& replica, member_store& primary, time_point now = {},
    duration lag = {})
{
    const auto request = replica.log_request();
    if (!request)
        return false;
    const auto reply = primary.serve_log(*request);
    if (!reply)
        return false;
    replica.receive_log(*request, *reply, now, now + lag);
    replica.apply_due(now);
    return true;
}

void replicate(member_store& replica, member_store& primary)
{
    for (int round = 0; round < 100; ++round)
        exchange(replica, primary);
}

void make_primary(member_store& store, std::uint64_t term)
{
    ASSERT_TRUE(fence(store, term, 1));
    ASSERT_TRUE(promote(store, term, 1, store.position()));
}

} // namespace

// Guards against statements that are parsed incorrectly.
TEST(member_store, runs_each_statement)
{
    auto store = make_store("a");
    connection link(store);
    EXPECT_EQ(link.run("put k one two").code(), v1::MEMBER_OK);
    EXPECT_EQ(link.value("k"), "one two");
    EXPECT_EQ(link.run("append k !").code(), v1::MEMBER_OK);
    EXPECT_EQ(link.value("k"), "one two!");
    EXPECT_EQ(link.run("add n 5").rows(0).value(), "5");
    EXPECT_EQ(link.run("add n -7").rows(0).value(), "-2");
    EXPECT_EQ(link.run("insert i x").code(), v1::MEMBER_OK);
    EXPECT_EQ(link.run("insert i y").code(), v1::MEMBER_STATEMENT_ERROR);
    EXPECT_EQ(link.run("add k 1").code(), v1::MEMBER_STATEMENT_ERROR);
    EXPECT_EQ(link.read("scan ").rows_size(), 3);
    EXPECT_EQ(link.run("del k").code(), v1::MEMBER_OK);
    EXPECT_EQ(link.value("k"), "absent");
    EXPECT_EQ(store.position(), (log_position{1, 6}));
    for (const auto* bad : {"", "put", "put ", "add n x", "add n", "drop k"})
        EXPECT_EQ(link.run(bad).code(), v1::MEMBER_STATEMENT_ERROR) << bad;
    EXPECT_EQ(store.position(), (log_position{1, 6}));
}

// Guards against writes that run although the request names another term,
// group or role, and against reads of a state that is too old.
TEST(member_store, refuses_misdirected_requests)
{
    auto primary = make_store("a");
    auto replica = make_store("b");
    connection to_primary(primary);
    connection to_replica(replica);
    EXPECT_EQ(to_primary.run("put k v", 2).code(), v1::MEMBER_WRONG_TERM);
    EXPECT_EQ(to_primary.run("put k v", 0).code(), v1::MEMBER_WRONG_TERM);
    EXPECT_EQ(to_replica.run("put k v").code(), v1::MEMBER_NOT_PRIMARY);
    auto foreign = make_request(v1::OPERATION_STATEMENT, "put k v");
    foreign.set_group_uid(group_uid + 1);
    EXPECT_EQ(
        primary.execute(to_primary.session, foreign, {}).code(),
        v1::MEMBER_WRONG_TERM);
    EXPECT_EQ(to_replica.read("get k", {1, 1}).code(), v1::MEMBER_BEHIND);
    EXPECT_EQ(to_primary.read("put k v").code(), v1::MEMBER_STATEMENT_ERROR);
    EXPECT_EQ(primary.position(), log_position{});
}

// Guards against partial transactions and against lost increments.
TEST(member_store, commits_a_transaction_as_one_entry)
{
    auto store = make_store("a");
    connection first(store);
    connection second(store);
    EXPECT_EQ(first.begin().code(), v1::MEMBER_OK);
    EXPECT_EQ(first.run("add n 1").code(), v1::MEMBER_OK);
    EXPECT_EQ(first.run("put k v").code(), v1::MEMBER_OK);
    EXPECT_EQ(first.value("k"), "v");
    EXPECT_EQ(second.value("k"), "absent");
    EXPECT_EQ(second.run("add n 1").code(), v1::MEMBER_OK);
    EXPECT_EQ(first.commit().code(), v1::MEMBER_OK);
    EXPECT_EQ(second.value("n"), "2");
    EXPECT_EQ(store.position(), (log_position{1, 2}));
    EXPECT_EQ(store.status({}).open_transactions(), 0U);
}

// Guards against a commit that is based on rows that have changed since.
TEST(member_store, aborts_a_commit_after_a_conflict)
{
    const std::pair<const char*, const char*> conflicts[] = {
        {"get k", "put k other"},        {"get k", "insert k other"},
        {"scan k", "put k2 other"},      {"insert k mine", "insert k other"},
        {"put k text", "get unrelated"},
    };
    for (const auto& [own, other] : conflicts)
    {
        auto store = make_store("a");
        connection first(store);
        connection second(store);
        first.begin();
        first.run(own);
        first.run("put result x");
        second.run(other);
        const bool conflict = std::string_view(other) != "get unrelated";
        EXPECT_EQ(
            first.commit().code(),
            conflict ? v1::MEMBER_ABORTED : v1::MEMBER_OK)
            << own;
        EXPECT_EQ(second.value("result"), conflict ? "absent" : "x") << own;
    }
}

// Guards against writes of a transaction whose connection or primary is gone.
TEST(member_store, drops_the_transaction_of_a_broken_connection_or_fence)
{
    auto store = make_store("a");
    connection broken(store);
    broken.begin();
    broken.run("put k v");
    EXPECT_EQ(store.status({}).open_transactions(), 1U);
    store.close(broken.session);
    EXPECT_EQ(store.status({}).open_transactions(), 0U);

    connection fenced(store);
    fenced.begin();
    fenced.run("put k v");
    ASSERT_TRUE(fence(store, 2, 9));
    EXPECT_EQ(store.status({}).open_transactions(), 0U);
    EXPECT_EQ(fenced.run("put k w").code(), v1::MEMBER_ABORTED);
    EXPECT_EQ(fenced.run("put k w", 2).code(), v1::MEMBER_ABORTED);
    EXPECT_EQ(fenced.commit().code(), v1::MEMBER_ABORTED);
    EXPECT_EQ(fenced.value("k"), "absent");
    EXPECT_EQ(store.position(), log_position{});
}

// Guards against two winners of one term.
TEST(member_store, accepts_one_candidate_per_term)
{
    auto store = make_store("b");
    EXPECT_FALSE(fence(store, 1, 5));
    EXPECT_TRUE(fence(store, 2, 5));
    EXPECT_TRUE(fence(store, 2, 5));
    EXPECT_FALSE(fence(store, 2, 6));
    EXPECT_FALSE(promote(store, 2, 6, {}));
    EXPECT_FALSE(promote(store, 2, 5, {1, 1}));
    EXPECT_FALSE(promote(store, 3, 5, {}));
    EXPECT_TRUE(promote(store, 2, 5, {}));
    EXPECT_EQ(store.position(), (log_position{2, 1}));
    // Repeated after lost answers: accepted without a second effect.
    EXPECT_TRUE(promote(store, 2, 5, {}));
    EXPECT_TRUE(fence(store, 2, 5));
    EXPECT_TRUE(store.is_primary());
    EXPECT_EQ(store.position(), (log_position{2, 1}));
    EXPECT_FALSE(follow(store, 2, "c"));
    EXPECT_TRUE(follow(store, 2, "b"));
    EXPECT_FALSE(follow(store, 1, "a"));
    EXPECT_TRUE(follow(store, 3, "c"));
    EXPECT_FALSE(store.is_primary());
    // A member that follows in a term did not vote in it and may not vote.
    EXPECT_FALSE(fence(store, 3, 5));
}

// Guards against a promotion of a member that replicates again.
TEST(member_store, promotes_only_while_fenced)
{
    auto store = make_store("b");
    EXPECT_TRUE(fence(store, 2, 5));
    EXPECT_FALSE(store.log_request());
    EXPECT_TRUE(follow(store, 2, "c"));
    EXPECT_FALSE(promote(store, 2, 5, {}));
    EXPECT_TRUE(store.log_request());
}

// Guards against entries that become visible before the lag has passed, and
// against a silence that is not reported.
TEST(member_store, applies_entries_after_the_lag)
{
    auto primary = make_store("a");
    auto replica = make_store("b");
    connection writer(primary);
    connection reader(replica);
    writer.run("put k v");
    const time_point start{};
    ASSERT_TRUE(exchange(replica, primary, start, milliseconds(40)));
    EXPECT_EQ(reader.value("k"), "absent");
    EXPECT_EQ(replica.next_due(), start + milliseconds(40));
    EXPECT_FALSE(replica.apply_due(start + milliseconds(39)));
    EXPECT_TRUE(replica.apply_due(start + milliseconds(40)));
    EXPECT_EQ(reader.value("k"), "v");
    EXPECT_EQ(replica.position(), primary.position());
    EXPECT_EQ(
        replica.status(start + milliseconds(700)).primary_silent_ms(), 700U);
    EXPECT_EQ(
        primary.status(start + milliseconds(700)).primary_silent_ms(), 0U);
}

// Guards against writes of an old primary that survive beside those of the new
// one.
TEST(member_store, truncates_a_divergent_tail)
{
    auto old_primary = make_store("a");
    auto new_primary = make_store("b");
    connection to_old(old_primary);
    connection to_new(new_primary);
    to_old.run("put shared 1");
    to_old.run("put gone 1");
    replicate(new_primary, old_primary);
    to_old.run("put shared 2");
    to_old.run("del gone");
    to_old.run("put lost 1");
    make_primary(new_primary, 2);
    to_new.run("put added 1", 2);

    ASSERT_TRUE(follow(old_primary, 2, "b"));
    replicate(old_primary, new_primary);
    EXPECT_EQ(old_primary.position(), (log_position{2, 4}));
    EXPECT_EQ(old_primary.rows(""), new_primary.rows(""));
    EXPECT_EQ(to_old.value("shared"), "1");
    EXPECT_EQ(to_old.value("gone"), "1");
    EXPECT_EQ(to_old.value("lost"), "absent");
}

// Guards against replication from a primary of a lower term, and against a
// primary that stays in its role after a newer one exists.
TEST(member_store, higher_terms_win)
{
    auto old_primary = make_store("a");
    auto replica = make_store("b");
    connection writer(old_primary);
    writer.run("put k v");
    const auto before = replica.log_request();
    ASSERT_TRUE(before);
    const auto stale = old_primary.serve_log(*before);
    ASSERT_TRUE(stale);
    ASSERT_TRUE(follow(replica, 2, "c"));
    replica.receive_log(*before, *stale, {}, {});
    EXPECT_FALSE(replica.apply_due({}));
    const auto newer = replica.log_request();
    ASSERT_TRUE(newer);
    replica.receive_log(*newer, *stale, {}, {});
    EXPECT_FALSE(replica.apply_due({}));

    EXPECT_FALSE(exchange(replica, old_primary));
    EXPECT_FALSE(old_primary.is_primary());
    EXPECT_EQ(writer.run("put k w").code(), v1::MEMBER_NOT_PRIMARY);
}

// Guards against new work on a primary that is being replaced.
TEST(member_store, quiesce_refuses_new_work_for_its_duration)
{
    auto store = make_store("a");
    connection open(store);
    connection other(store);
    open.begin();
    v1::QuiesceRequest request;
    request.set_group_uid(group_uid);
    request.set_term(1);
    request.set_duration_ms(100);
    EXPECT_TRUE(store.quiesce(request, {}));
    EXPECT_EQ(other.run("put k v").code(), v1::MEMBER_QUIESCED);
    EXPECT_EQ(other.begin().code(), v1::MEMBER_QUIESCED);
    EXPECT_EQ(other.read("get k").code(), v1::MEMBER_OK);
    EXPECT_EQ(open.run("put k v").code(), v1::MEMBER_OK);
    EXPECT_EQ(open.commit().code(), v1::MEMBER_OK);
    EXPECT_TRUE(store.status({}).quiesced());
    other.now += milliseconds(100);
    EXPECT_EQ(other.run("put k w").code(), v1::MEMBER_OK);
    request.set_term(2);
    EXPECT_FALSE(store.quiesce(request, {}));
}

// Guards against a promotion that counts a member without its log and so loses
// acknowledged writes.
TEST(member_store, a_member_without_its_log_takes_no_part_in_promotions)
{
    auto primary = make_store("a");
    auto returned = make_store("b", true);
    connection writer(primary);
    writer.run("put k v");
    EXPECT_EQ(returned.status({}).term(), 0U);
    EXPECT_FALSE(returned.log_request());
    EXPECT_FALSE(fence(returned, 2, 5));
    ASSERT_TRUE(follow(returned, 1, "a"));
    EXPECT_FALSE(fence(returned, 2, 5));
    ASSERT_TRUE(exchange(returned, primary, {}, milliseconds(40)));
    EXPECT_FALSE(fence(returned, 2, 5));
    EXPECT_TRUE(returned.apply_due(time_point{} + milliseconds(40)));
    EXPECT_EQ(returned.position(), primary.position());
    EXPECT_TRUE(fence(returned, 2, 5));
}

} // namespace zinniahub::standin
