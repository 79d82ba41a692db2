#include <zinniahub/acknowledgement_hold.hpp>
#include <zinniahub/acknowledgement_survey.hpp>

#include <gtest/gtest.h>

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};

hold_request request(std::uint64_t number, std::string candidate)
{
    return {
        .duty = 1,
        .number = number,
        .term = 3,
        .candidate = std::move(candidate)};
}

} // namespace

// Guards against acknowledgements that are held although nobody asked.
TEST(acknowledgement_hold, passes_on_everything_at_first)
{
    const acknowledgement_hold hold;
    EXPECT_FALSE(hold.required_member("i-1", {3, 7}, start));
}

// Guards against an acknowledgement that is passed on while another member may
// be promoted, and against a hold that outlasts its end.
TEST(acknowledgement_hold, asks_for_the_candidate_until_released)
{
    acknowledgement_hold hold;
    hold.on_request(request(1, "i-2"), start);
    EXPECT_EQ(hold.required_member("i-1", {3, 7}, start), "i-2");
    hold.on_request(request(2, ""), start + 1s);
    EXPECT_FALSE(hold.required_member("i-1", {3, 7}, start + 1s));
}

// Guards against writes that are in doubt for good after the holder has died.
TEST(acknowledgement_hold, ends_at_its_limit)
{
    acknowledgement_hold hold;
    hold.on_request(request(1, "i-2"), start);
    EXPECT_TRUE(hold.required_member(
        "i-1", {3, 7}, start + acknowledgement_hold::limit - 1ms));
    EXPECT_FALSE(hold.required_member(
        "i-1", {3, 7}, start + acknowledgement_hold::limit));
}

// Guards against the promoted member being asked about its own commits, and
// against commits of a third member that the candidate will roll back.
TEST(acknowledgement_hold, leaves_out_what_the_candidate_acknowledges)
{
    acknowledgement_hold hold;
    hold.on_request(request(1, "i-2"), start);
    EXPECT_FALSE(hold.required_member("i-2", {4, 9}, start));
    EXPECT_EQ(hold.required_member("i-3", {4, 9}, start), "i-2");
}

// Guards against an acknowledgement of a replaced primary that comes late.
TEST(acknowledgement_hold, passes_on_no_late_commit_of_an_earlier_term)
{
    acknowledgement_hold hold;
    hold.on_request(request(1, ""), start);
    EXPECT_EQ(hold.required_member("i-1", {2, 7}, start + 10s), "");
}

// Guards against writes that are in doubt for good in a group that starts anew.
TEST(acknowledgement_hold, group_that_starts_anew_is_served)
{
    acknowledgement_hold hold;
    hold.on_request(request(1, ""), start);
    EXPECT_FALSE(hold.required_member(
        "i-1", {1, 7}, start + acknowledgement_hold::limit));
}

// Guards against a request of an earlier holder that arrives late.
TEST(acknowledgement_hold, ignores_outdated_requests)
{
    acknowledgement_hold hold;
    hold.on_request(request(2, "i-2"), start);
    EXPECT_FALSE(hold.on_request(request(1, ""), start));
    EXPECT_EQ(hold.required_member("i-1", {3, 7}, start), "i-2");
}

// Guards against a host that passes on acknowledgements while an order may take
// effect, because no holder reaches the host.
TEST(acknowledgement_hold, learns_of_an_order_from_the_record)
{
    acknowledgement_hold hold;
    hold.on_request(request(1, ""), start);
    hold.on_record("i-2", 3, start + 1s);
    EXPECT_EQ(hold.required_member("i-1", {3, 7}, start + 1s), "i-2");
    hold.on_record("", 4, start + 2s);
    EXPECT_FALSE(hold.required_member("i-2", {4, 9}, start + 2s));
    EXPECT_EQ(hold.required_member("i-1", {3, 7}, start + 2s), "");
}

// Guards against a record that is read late and ends the hold for another
// candidate: it named the primary, whose order had been recorded before.
TEST(acknowledgement_hold, late_record_does_not_replace_a_request)
{
    acknowledgement_hold hold;
    hold.on_request(request(1, "i-2"), start);
    hold.on_record("i-1", 3, start + 50ms);
    EXPECT_EQ(hold.required_member("i-1", {3, 7}, start + 100ms), "i-2");
}

// Guards against a survey that counts promises for another candidate.
TEST(acknowledgement_survey, needs_a_new_promise_for_another_candidate)
{
    acknowledgement_survey survey;
    survey.set_hosts({"h1"}, start);
    survey.hold("i-2", 3, start);
    survey.on_answer({"h1", 0, 1, {3, 7}, 1h}, start);
    EXPECT_TRUE(survey.all_promised(start));
    EXPECT_EQ(survey.acknowledged(), (log_position{3, 7}));
    survey.hold("i-3", 3, start);
    EXPECT_FALSE(survey.all_promised(start));
}

// Guards against an answer of a host that has forgotten what it passed on.
TEST(
    acknowledgement_survey, host_that_has_just_started_does_not_know_everything)
{
    acknowledgement_survey survey;
    survey.set_hosts({"h1"}, start);
    survey.hold("i-2", 3, start);
    survey.on_answer({"h1", 0, 1, {}, 1s}, start);
    EXPECT_TRUE(survey.all_promised(start));
    EXPECT_TRUE(survey.is_complete_since(start, start));
    EXPECT_FALSE(survey.is_complete_since(start - 2s, start));
}

// Guards against a host that has crashed since it promised, and passes on
// acknowledgements when it is back.
TEST(acknowledgement_survey, promise_ends_with_the_answers)
{
    acknowledgement_survey survey;
    survey.set_hosts({"h1"}, start);
    survey.hold("i-2", 3, start);
    survey.on_answer({"h1", 0, 1, {3, 7}, 1h}, start);
    const auto late = start + acknowledgement_survey::answer_validity;
    EXPECT_TRUE(survey.all_promised(late - 1ms));
    EXPECT_FALSE(survey.all_promised(late));
}

// Guards against messages that go on for ever, and against a host that restarts
// and is not asked again.
TEST(acknowledgement_survey, repeats_requests_until_they_have_ended)
{
    acknowledgement_survey survey;
    survey.set_hosts({"h1", "h2"}, start);
    survey.hold("i-2", 3, start);
    EXPECT_EQ(survey.due_hosts(start).size(), 2U);
    EXPECT_TRUE(survey.due_hosts(start + 10ms).empty());
    survey.on_answer({"h1", 0, 1, {3, 7}, 1h}, start + 10ms);
    EXPECT_EQ(survey.due_hosts(start + 100ms).size(), 2U);
    EXPECT_EQ(survey.due_hosts(start + 200ms), std::vector<std::string>{"h2"});
    survey.release(3, start + 300ms);
    EXPECT_EQ(survey.due_hosts(start + 300ms).size(), 2U);
    EXPECT_TRUE(
        survey.due_hosts(start + 300ms + acknowledgement_survey::release_limit)
            .empty());
}

// Guards against a survey that counts as complete without the commits which a
// host had passed on before it went.
TEST(acknowledgement_survey, host_that_has_gone_leaves_it_incomplete)
{
    acknowledgement_survey survey;
    survey.reset(1);
    survey.set_hosts({"h1", "h2"}, start);
    survey.set_hosts({"h1"}, start + 10s);
    survey.hold("i-2", 3, start + 10s);
    survey.on_answer(
        {.host = "h1", .duty = 1, .number = 1, .uptime = 1h}, start + 10s);
    EXPECT_TRUE(survey.all_promised(start + 10s));
    EXPECT_FALSE(survey.is_complete_since(start + 9s, start + 10s));
    EXPECT_TRUE(survey.is_complete_since(start + 10001ms, start + 10s));
}
