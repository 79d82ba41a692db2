#include <zinniahub/lease.hpp>
#include <zinniahub/primary_position_history.hpp>
#include <zinniahub/rate_ledger.hpp>
#include <zinniahub/time.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace
{

/// Simulated time for which the machine was suspended.
std::atomic<std::time_t> suspended_s{0};

} // namespace

// Replaces the function of the C library in this program: only CLOCK_BOOTTIME
// includes the simulated suspension.
extern "C" int clock_gettime(clockid_t id, std::timespec* value) noexcept
{
    const auto outcome = ::syscall(SYS_clock_gettime, id, value);
    if (outcome == 0 && id == CLOCK_BOOTTIME)
    {
        value->tv_sec += suspended_s;
    }
    return static_cast<int>(outcome);
}

namespace
{

using zinniahub::clock;
using namespace std::chrono_literals;

class suspended_machine : public testing::Test
{
protected:
    void TearDown() override
    {
        suspended_s = 0;
    }
};

// Guards against a clock that stops while the machine is suspended.
TEST_F(suspended_machine, clock_counts_the_suspension)
{
    const auto before = clock::now();
    const auto steady_before = std::chrono::steady_clock::now();
    suspended_s = 30;
    EXPECT_GE(clock::now() - before, 30s);
    EXPECT_LT(std::chrono::steady_clock::now() - steady_before, 10s);
}

// Guards against a holder that still uses its lease after it expired during a
// suspension.
TEST_F(suspended_machine, lease_expires_during_the_suspension)
{
    zinniahub::lease_clock lease;
    lease.on_granted(clock::now(), 4s);
    ASSERT_TRUE(lease.is_valid(clock::now()));
    suspended_s = 4;
    EXPECT_FALSE(lease.is_valid(clock::now()));
}

// Guards against stale reads after a suspension: the sample is older than
// measured by the steady clock.
TEST_F(suspended_machine, position_samples_age_during_the_suspension)
{
    zinniahub::primary_position_history samples;
    samples.add(clock::now(), {1, 7});
    ASSERT_TRUE(samples.required_position(clock::now(), 1500ms));
    suspended_s = 2;
    EXPECT_FALSE(samples.required_position(clock::now(), 1500ms));
}

// Guards against exceeding the rate after a suspension: the token bucket
// refills for the whole time, but never above its capacity.
TEST_F(suspended_machine, rate_refills_up_to_the_capacity)
{
    zinniahub::host_rate_limiter account({}, {10, 5}, clock::now());
    account.set_share(zinniahub::rate_shares::total_parts, clock::now());
    suspended_s = 3600;
    EXPECT_LE(account.level(clock::now()), account.capacity());
    EXPECT_GE(account.level(clock::now()), account.capacity() - 1);
}

} // namespace
