#include <zinniahub/session_values.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

using namespace zinniahub;

namespace
{

/// What a member holds for one connection.
struct member_session
{
    session_values::value_map values;
    std::map<std::string, prepared_statement> prepared;
};

/// Applies a plan to a model of the member's session.
void apply_plan(
    const restore_plan& plan, connection_values& connection,
    member_session& member)
{
    if (plan.discard)
    {
        member = {};
        connection.on_discarded();
    }
    for (const auto& [name, value] : plan.set)
    {
        member.values[name] = value;
        connection.on_set(name, value);
    }
    if (plan.prepare)
    {
        member.prepared[plan.prepare->name] = plan.prepare->statement;
        connection.on_prepared(*plan.prepare);
    }
}

/// Text that a client may choose: any bytes but CR and LF, with many blanks.
rc::Gen<std::string> client_text()
{
    return rc::gen::container<std::string>(rc::gen::oneOf(
        rc::gen::elementOf(std::string(" \tqFETCHPUT0A")),
        rc::gen::suchThat(
            rc::gen::arbitrary<char>(),
            [](char byte) { return byte != '\r' && byte != '\n'; })));
}

} // namespace

// Guards against values of one session that are visible to another.
TEST(session_values, discards_values_that_the_session_does_not_have)
{
    connection_values connection;
    connection.on_set("colour", "red");
    const auto plan = connection.plan(session_values(), nullptr);
    EXPECT_TRUE(plan.discard);
    EXPECT_TRUE(plan.set.empty());
}

// Guards against unnecessary round trips.
TEST(session_values, does_nothing_for_equal_values)
{
    connection_values connection;
    connection.on_set("colour", "red");
    session_values session;
    ASSERT_TRUE(session.set("colour", "red"));
    EXPECT_TRUE(connection.plan(session, nullptr).empty());
    EXPECT_TRUE(connection.matches(session));
}

// Guards against a read and a write statement that share a name because their
// shape is the same.
TEST(session_values, names_differ_by_kind_and_shape)
{
    connection_values connection;
    member_session member;
    std::set<std::string> names;
    for (const prepared_statement& statement :
         {prepared_statement{true, "a"}, prepared_statement{false, "a"},
          prepared_statement{true, "b"}, prepared_statement{true, "a b"}})
    {
        apply_plan(
            connection.plan(session_values(), &statement), connection, member);
        names.insert(std::string(connection.name_of(statement)));
    }
    EXPECT_EQ(names.size(), 4U);
}

// Guards against a prepared statement that is not restored after a discard.
TEST(session_values, prepares_again_after_a_discard)
{
    connection_values connection;
    const prepared_statement statement{true, "a"};
    connection.on_prepared({"0", statement});
    EXPECT_TRUE(connection.plan(session_values(), &statement).empty());
    connection.on_set("colour", "red");
    const auto plan = connection.plan(session_values(), &statement);
    EXPECT_TRUE(plan.discard);
    ASSERT_TRUE(plan.prepare);
}

// Guards against reliance on names and values of a member that lost them.
TEST(session_values, relies_on_nothing_after_an_unknown_statement)
{
    connection_values connection;
    member_session member;
    session_values session;
    ASSERT_TRUE(session.set("colour", "red"));
    const prepared_statement statement{true, "a"};
    apply_plan(connection.plan(session, &statement), connection, member);
    connection.invalidate();
    EXPECT_FALSE(connection.matches(session));
    const auto plan = connection.plan(session, &statement);
    EXPECT_TRUE(plan.discard);
    EXPECT_EQ(plan.set.size(), 1U);
    EXPECT_TRUE(plan.prepare);
    apply_plan(plan, connection, member);
    EXPECT_TRUE(connection.plan(session, &statement).empty());
}

// Guards against a member and a host whose memory grows with the number of
// different statements that clients prepare.
TEST(session_values, connection_holds_a_bounded_number_of_statements)
{
    connection_values connection;
    member_session member;
    std::size_t discards = 0;
    for (int index = 0; index < 100'000; ++index)
    {
        const prepared_statement statement{
            index % 2 == 0, "shape " + std::to_string(index)};
        const auto plan = connection.plan(session_values(), &statement);
        discards += plan.discard ? 1 : 0;
        apply_plan(plan, connection, member);
        ASSERT_LE(member.prepared.size(), connection_values::max_statements);
        ASSERT_EQ(
            member.prepared.at(std::string(connection.name_of(statement))),
            statement);
    }
    EXPECT_EQ(discards, 100'000 / connection_values::max_statements);
}

// Guards against many long shapes on one connection.
TEST(session_values, connection_holds_a_bounded_length_of_shapes)
{
    connection_values connection;
    member_session member;
    const auto length = connection_values::max_shape_bytes / 4;
    for (char letter = 'a'; letter <= 'z'; ++letter)
    {
        const prepared_statement statement{true, std::string(length, letter)};
        apply_plan(
            connection.plan(session_values(), &statement), connection, member);
        EXPECT_LE(member.prepared.size(), 4U);
    }
    const prepared_statement longest{
        true, std::string(2 * connection_values::max_shape_bytes, 'x')};
    apply_plan(connection.plan(session_values(), &longest), connection, member);
    EXPECT_EQ(member.prepared.size(), 1U);
    EXPECT_EQ(connection.name_of(longest).size(), 1U);
}

// Guards against a client that fills the memory of a host with session state,
// and against a refusal that changes the session.
TEST(session_values, session_holds_a_bounded_number_of_bytes)
{
    session_values session;
    const std::string large(session_values::max_bytes / 4, 'x');
    std::size_t accepted = 0;
    for (int index = 0; index < 10; ++index)
    {
        accepted += session.set("v" + std::to_string(index), large) ? 1 : 0;
    }
    EXPECT_EQ(accepted, 3U);
    const auto refused = session.prepare("s", {true, large});
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, errc::value_too_large);
    EXPECT_EQ(session.find_prepared("s"), nullptr);
    EXPECT_EQ(session.values().size(), 3U);
    EXPECT_TRUE(session.set("v0", ""));
    EXPECT_TRUE(session.prepare("s", {true, large}));
    session.deallocate("s");
    EXPECT_TRUE(session.set("v0", large));
}

// Guards against many sessions that fill the memory of a host together, and
// against a budget that a closed session keeps.
TEST(session_values, sessions_share_the_budget_of_the_host)
{
    session_budget budget(3000);
    session_values first(&budget);
    ASSERT_TRUE(first.set("v", std::string(1500, 'x')));
    {
        session_values second(&budget);
        EXPECT_FALSE(second.set("v", std::string(1500, 'x')));
        EXPECT_TRUE(second.prepare("s", {true, std::string(1000, 'x')}));
        EXPECT_FALSE(first.set("v", std::string(2000, 'x')));
        EXPECT_TRUE(first.set("v", "x"));
        EXPECT_EQ(budget.used(), first.bytes() + second.bytes());
    }
    EXPECT_EQ(budget.used(), first.bytes());
}

// Guards against a session whose values take a round trip each, without end.
TEST(session_values, session_holds_a_bounded_number_of_values)
{
    session_values session;
    for (std::size_t index = 0; index < session_values::max_values; ++index)
    {
        ASSERT_TRUE(session.set(std::to_string(index), "x"));
    }
    EXPECT_FALSE(session.set("one more", "x"));
    EXPECT_TRUE(session.set("0", "y"));
}

// Guards against a count of bytes that drifts as entries are replaced.
TEST(session_values, replaced_entries_do_not_add_up)
{
    session_values session;
    for (int index = 0; index < 100; ++index)
    {
        ASSERT_TRUE(session.set("v", std::string(1000, 'x')));
        ASSERT_TRUE(session.prepare("s", {true, std::string(1000, 'x')}));
    }
    const auto with_statement = session.bytes();
    session.deallocate("s");
    session.deallocate("s");
    EXPECT_EQ(
        with_statement - session.bytes(),
        1001 + session_values::entry_overhead_bytes);
}

// Guards against a statement that runs with values or a shape of another
// session, for any order of sessions on a connection and any text.
TEST(session_values, connection_equals_the_session_after_every_plan)
{
    EXPECT_TRUE(rc::check(
        []
        {
            connection_values connection;
            member_session member;
            const auto shapes =
                *rc::gen::container<std::vector<std::string>>(3, client_text());
            const auto sessions = *rc::gen::inRange(1, 20);
            for (int index = 0; index < sessions; ++index)
            {
                session_values session;
                for (const auto* name : {"a", "b", "c"})
                {
                    // 0: the session does not have the value.
                    const auto value = *rc::gen::inRange(0, 3);
                    if (value > 0)
                    {
                        RC_ASSERT(session.set(name, std::to_string(value)));
                    }
                }
                if (*rc::gen::inRange(0, 8) == 0)
                {
                    member = {};
                    connection.invalidate();
                }
                const prepared_statement needed{
                    *rc::gen::arbitrary<bool>(), *rc::gen::elementOf(shapes)};
                apply_plan(
                    connection.plan(session, &needed), connection, member);
                RC_ASSERT(member.values == session.values());
                const std::string name(connection.name_of(needed));
                RC_ASSERT(name.size() == 1U);
                RC_ASSERT(member.prepared.at(name) == needed);
            }
        }));
}
