#include <zinniahub/outcome.hpp>

#include <gtest/gtest.h>

namespace
{

using zinniahub::errc;
using zinniahub::verdict;

// Guards against retrying a request that may have been executed.
TEST(outcome, unknown_outcome_is_retried_only_if_idempotent)
{
    for (const auto code :
         {errc::connection_lost, errc::commit_unconfirmed,
          errc::reply_mismatch})
    {
        EXPECT_EQ(zinniahub::verdict_of(code), verdict::unknown);
        EXPECT_FALSE(zinniahub::may_retry(code, false));
        EXPECT_TRUE(zinniahub::may_retry(code, true));
    }
}

// Guards against reporting a request as not executed when its reply timed out.
TEST(outcome, overdue_answer_is_unknown_and_final)
{
    EXPECT_EQ(zinniahub::verdict_of(errc::reply_timeout), verdict::unknown);
    EXPECT_FALSE(zinniahub::may_retry(errc::reply_timeout, true));
}

// Guards against retrying requests that would be rejected again.
TEST(outcome, final_refusals_are_not_retried)
{
    for (const auto code :
         {errc::key_invalid, errc::rate_exceeded, errc::queue_full,
          errc::deadline_exceeded, errc::statement_rejected, errc::draining})
    {
        EXPECT_EQ(zinniahub::verdict_of(code), verdict::not_run);
        EXPECT_FALSE(zinniahub::may_retry(code, true));
    }
}

} // namespace
