#include "standins/load_checker.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace std::chrono_literals;
using zinniahub::time_point;
using zinniahub::verdict;
using namespace zinniahub::load;

request_record write_of(const char* kind, const char* id, verdict outcome)
{
    request_record request;
    request.kind = find_class(kind);
    request.group = "booth-ledger-1";
    request.session = "s1";
    request.id = id;
    request.outcome = outcome;
    return request;
}

violations check(
    const request_record& request,
    const std::map<std::string, std::string>& rows)
{
    return check_history(std::span(&request, 1), {{"booth-ledger-1", rows}});
}

// Guards against a checker that reports violations in a correct history.
TEST(load_checker, accepts_a_correct_history)
{
    const std::vector<request_record> history{
        write_of("order", "a", verdict::done),
        write_of("order", "b", verdict::not_run),
        write_of("order", "c", verdict::unknown),
        write_of("order", "d", verdict::unknown),
        write_of("take_log", "e", verdict::done)};
    const auto found = check_history(
        history, {{"booth-ledger-1",
                   {{"order/a", "1"}, {"order/c", "1"}, {"take/s1", "x,e,"}}}});
    EXPECT_TRUE(found.details.empty());
}

// Guards against an acknowledged write that is missing but not counted.
TEST(load_checker, detects_a_lost_write)
{
    EXPECT_EQ(check(write_of("order", "a", verdict::done), {}).lost, 1U);
    const auto take = write_of("take_log", "a", verdict::done);
    EXPECT_EQ(check(take, {{"take/s1", "b,aa,"}}).lost, 1U);
}

// Guards against a second run of a request that is not counted, whatever the
// caller was told.
TEST(load_checker, detects_a_doubled_write)
{
    for (const auto outcome : {verdict::done, verdict::unknown})
    {
        const auto fee = write_of("fee", "a", outcome);
        EXPECT_EQ(check(fee, {{"fee/a", "2"}}).doubled, 1U);
        const auto take = write_of("take_log", "a", outcome);
        EXPECT_EQ(check(take, {{"take/s1", "a,b,a,"}}).doubled, 1U);
    }
}

// Guards against a false "not run" that is not counted.
TEST(load_checker, detects_a_false_not_run)
{
    const auto booking = write_of("booking", "a", verdict::not_run);
    EXPECT_EQ(check(booking, {{"booking/a", "1"}}).false_not_run, 1U);
    EXPECT_EQ(check(booking, {}).false_not_run, 0U);
}

// Guards against a stale read of a session that is not counted.
TEST(load_checker, detects_a_stale_read)
{
    auto read = write_of("browse", "a", verdict::done);
    read.stale = true;
    EXPECT_EQ(check(read, {}).stale_session_reads, 1U);
}

std::vector<admission>
admissions(std::size_t count, std::chrono::milliseconds step)
{
    std::vector<admission> admitted;
    for (std::size_t i = 0; i < count; ++i)
    {
        const time_point sent{i * step};
        admitted.push_back({sent, sent + 1ms});
    }
    return admitted;
}

// Guards against a rate check that misses an excess inside a longer run.
TEST(load_checker, detects_a_rate_excess)
{
    // 100 per second against a rate of 100 and a burst of 5.
    auto admitted = admissions(200, 10ms);
    EXPECT_LE(rate_excess(admitted, 100, 5), 0);
    // Ten more within 1 ms: 11 in that window against 5.1.
    for (int i = 0; i < 10; ++i)
        admitted.push_back({time_point(1000ms), time_point(1001ms)});
    EXPECT_NEAR(rate_excess(admitted, 100, 5), 5.9, 0.3);
}

// Guards against a false positive: replies that are delayed and arrive together
// do not show when their statements were admitted.
TEST(load_checker, late_replies_are_no_rate_excess)
{
    auto admitted = admissions(200, 10ms);
    for (auto& entry : admitted)
        entry.replied = time_point(2000ms);
    EXPECT_LE(rate_excess(admitted, 100, 5), 0);
}

} // namespace
