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

/// Time for which the machine was suspended, as the tests pretend.
std::atomic<std::time_t> suspended_s{0};

} // namespace

// Takes the place of the function of the C library in this program: only
// CLOCK_BOOTTIME counts the time of a suspension.
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

// Guards against a clock that stands still while the machine is suspended.
TEST_F(suspended_machine, clock_counts_the_suspension)
{
    const auto before = clock::now();
    const auto steady_before = std::chrono::steady_clock::now();
    suspended_s = 30;
    EXPECT_GE(clock::now() - before, 30s);
    EXPECT_LT(std::chrono::steady_clock::now() - steady_before, 10s);
}

// Guards against a holder that goes on after a suspension in which its lease
// has run out.
TEST_F(suspended_machine, lease_ends_meanwhile)
{
    zinniahub::lease_clock lease;
    lease.on_granted(clock::now(), 4s);
    ASSERT_TRUE(lease.is_valid(clock::now()));
    suspended_s = 4;
    EXPECT_FALSE(lease.is_valid(clock::now()));
}

// Guards against stale reads after a suspension: the sample is older than the
// steady clock says.
TEST_F(suspended_machine, positions_age_meanwhile)
{
    zinniahub::primary_position_history samples;
    samples.add(clock::now(), {1, 7});
    ASSERT_TRUE(samples.required_position(clock::now(), 1500ms));
    suspended_s = 2;
    EXPECT_FALSE(samples.required_position(clock::now(), 1500ms));
}

// Guards against a suspended host that grants more than its rate afterwards:
// its bucket refills for the whole time, but never beyond its capacity.
TEST_F(suspended_machine, rate_refills_up_to_the_capacity)
{
    zinniahub::rate_account account({}, {10, 5}, clock::now());
    account.set_share(zinniahub::rate_shares::whole, clock::now());
    suspended_s = 3600;
    EXPECT_LE(account.level(clock::now()), account.capacity());
    EXPECT_GE(account.level(clock::now()), account.capacity() - 1);
}

} // namespace
