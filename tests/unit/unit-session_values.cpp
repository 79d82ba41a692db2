#include <zinniahub/session_values.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace zinniahub;

namespace
{

/// Applies a plan to a model of the member's session.
void apply_plan(
    const restore_plan& plan, connection_values& connection,
    session_values& member)
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
    for (const auto& statement : plan.prepare)
    {
        member.prepared[pooled_statement_name(statement)] = statement;
        connection.on_prepared(statement);
    }
}

} // namespace

// Guards against values of one session that are visible to another.
TEST(session_values, discards_values_that_the_session_does_not_have)
{
    connection_values connection;
    connection.on_set("colour", "red");
    const auto plan = connection.plan({}, nullptr);
    EXPECT_TRUE(plan.discard);
    EXPECT_TRUE(plan.set.empty());
}

// Guards against unnecessary round trips.
TEST(session_values, does_nothing_for_equal_values)
{
    connection_values connection;
    connection.on_set("colour", "red");
    session_values session;
    session.values["colour"] = "red";
    EXPECT_TRUE(connection.plan(session, nullptr).empty());
    EXPECT_TRUE(connection.matches(session));
}

// Guards against a read and a write statement that share a name because their
// shape is the same.
TEST(session_values, names_differ_by_kind_and_shape)
{
    EXPECT_NE(
        pooled_statement_name({true, "a"}),
        pooled_statement_name({false, "a"}));
    EXPECT_NE(
        pooled_statement_name({true, "a"}), pooled_statement_name({true, "b"}));
}

// Guards against a prepared statement that is not restored after a discard.
TEST(session_values, prepares_again_after_a_discard)
{
    connection_values connection;
    const prepared_statement statement{true, "a"};
    connection.on_prepared(statement);
    EXPECT_TRUE(connection.plan({}, &statement).empty());
    connection.on_set("colour", "red");
    const auto plan = connection.plan({}, &statement);
    EXPECT_TRUE(plan.discard);
    ASSERT_EQ(plan.prepare.size(), 1U);
}

// Guards against a statement that runs with values or a shape of another
// session, for any order of sessions on a connection.
TEST(session_values, connection_equals_the_session_after_every_plan)
{
    EXPECT_TRUE(rc::check(
        []
        {
            connection_values connection;
            session_values member;
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
                        session.values[name] = std::to_string(value);
                    }
                }
                const prepared_statement needed{
                    *rc::gen::arbitrary<bool>(),
                    *rc::gen::elementOf(std::vector<std::string>{"x", "y"})};
                apply_plan(
                    connection.plan(session, &needed), connection, member);
                RC_ASSERT(member.values == session.values);
                RC_ASSERT(
                    member.prepared.at(pooled_statement_name(needed)) ==
                    needed);
            }
        }));
}
