#include <zinniahub/outage_estimate.hpp>

#include <gtest/gtest.h>

namespace
{

using namespace std::chrono_literals;
using zinniahub::outage_estimate;
using zinniahub::time_point;

constexpr time_point start = time_point{} + 1h;

// Guards against an estimate that ignores earlier outages, one that is over
// while the resource is still missing, and one that learns from gaps.
TEST(outage_estimate, follows_earlier_outages)
{
    outage_estimate primary;
    EXPECT_EQ(primary.remaining(start), 0s);
    for (auto elapsed = 0ms; elapsed <= 1s; elapsed += 100ms)
    {
        primary.on_missing(start + elapsed);
    }
    EXPECT_EQ(primary.remaining(start + 1s), 2s);
    primary.on_present(start + 1s);
    EXPECT_EQ(primary.remaining(start + 1s), 0s);
    primary.on_missing(start + 10s);
    EXPECT_EQ(primary.remaining(start + 10s), 2s);
    // A late report after a gap belongs to another outage.
    primary.on_missing(start + 60s);
    EXPECT_EQ(primary.remaining(start + 60s), 2s);
    for (auto elapsed = 0ms; elapsed <= 8s; elapsed += 100ms)
    {
        primary.on_missing(start + 60s + elapsed);
    }
    EXPECT_EQ(primary.remaining(start + 68s), 2s);
}

} // namespace
