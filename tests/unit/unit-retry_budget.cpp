#include <zinniahub/retry_budget.hpp>

#include <gtest/gtest.h>

namespace
{

using namespace std::chrono_literals;
using zinniahub::retry_budget;
using zinniahub::time_point;

constexpr time_point start = time_point{} + 1h;

int retries(retry_budget& budget, time_point now)
{
    int count = 0;
    while (budget.try_retry(now))
    {
        ++count;
    }
    return count;
}

// Guards against retries that multiply the load under many requests.
TEST(retry_budget, retries_are_a_fraction_of_requests)
{
    retry_budget budget;
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_request(start + i * 1ms);
    }
    EXPECT_EQ(retries(budget, start + 999ms), 200);
    EXPECT_FALSE(budget.try_retry(start + 1s));
}

// Guards against a host with few requests that is never allowed to retry.
TEST(retry_budget, minimum_is_available_every_second)
{
    retry_budget budget;
    EXPECT_EQ(retries(budget, start), 10);
    EXPECT_EQ(retries(budget, start + 900ms), 0);
    EXPECT_EQ(retries(budget, start + 1s), 10);
    EXPECT_EQ(retries(budget, start + 1h), 10);
}

// Guards against a budget that accumulates over idle periods.
TEST(retry_budget, old_requests_earn_nothing)
{
    retry_budget budget;
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_request(start);
    }
    EXPECT_EQ(retries(budget, start + 1s), 10);
}

} // namespace
