#include "support/hosted_proxy.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

// Many proxies in front of members that accept fewer connections than there
// are proxies.

using namespace std::chrono_literals;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::line_caller;

namespace
{

constexpr std::size_t host_count = 16;
constexpr unsigned max_connections = 10;
constexpr int reads_per_host = 25;

class many_hosts : public testing::Test
{
protected:
    many_hosts()
        : platform_({.max_connections = max_connections})
    {
    }

    void SetUp() override
    {
        platform_.configure(1, {{"alba", "key-a"}, {"bea", "key-b"}}, 20000);
        for (std::size_t index = 0; index < host_count; ++index)
        {
            proxies_.push_back(std::make_unique<hosted_proxy>(
                platform_, fmt::format("n{}", index)));
        }
        for (const auto& proxy : proxies_)
        {
            ASSERT_TRUE(proxy->wait_until_ready(10s)) << proxy->log();
        }
        // Until the first commit the primary has no position.
        wait_for_success(0, "latest", "PUT item first");
        for (std::size_t index = 0; index < host_count; ++index)
        {
            wait_for_success(index, "bounded", "FETCH item");
        }
    }

    /// Prints what the hosts did wrong when a check failed.
    void TearDown() override
    {
        if (!HasFailure())
        {
            return;
        }
        for (const auto& proxy : proxies_)
        {
            std::istringstream lines(proxy->log());
            for (std::string line; std::getline(lines, line);)
            {
                GTEST_LOG_(INFO) << line;
            }
        }
    }

    static std::string key_of(std::size_t host)
    {
        return host % 2 == 0 ? "key-a" : "key-b";
    }

    /// Waits until a host has its share of the rate and serves.
    void wait_for_success(
        std::size_t host, const std::string& database,
        const std::string& statement)
    {
        line_caller caller(proxies_[host]->address());
        caller.start(database, key_of(host));
        for (int attempt = 0; attempt < 100; ++attempt)
        {
            if (caller.run(statement).ok())
            {
                return;
            }
            std::this_thread::sleep_for(50ms);
        }
        FAIL() << "host " << host << " does not serve";
    }

    /// Reads at all hosts at once.
    /// @param pause between two reads of one host
    /// @return reads by the code of the reply, empty after a success
    std::map<std::string, int>
    read_everywhere(std::chrono::milliseconds pause = 100ms)
    {
        std::mutex mutex;
        std::map<std::string, int> replies;
        std::vector<std::thread> callers;
        for (std::size_t index = 0; index < host_count; ++index)
        {
            callers.emplace_back(
                [this, index, pause, &mutex, &replies]
                {
                    line_caller caller(proxies_[index]->address());
                    caller.start("bounded", key_of(index));
                    for (int count = 0; count < reads_per_host; ++count)
                    {
                        const auto code = caller.run("FETCH item").code;
                        {
                            const std::lock_guard lock(mutex);
                            ++replies[code];
                        }
                        std::this_thread::sleep_for(pause);
                    }
                });
        }
        for (auto& caller : callers)
        {
            caller.join();
        }
        return replies;
    }

    /// Sum of a metric over all hosts.
    double sum_of(const std::string& metric) const
    {
        double total = 0;
        for (const auto& proxy : proxies_)
        {
            std::string body;
            proxy->get("/metrics", &body);
            const auto at = body.find(metric);
            if (at != std::string::npos)
            {
                total += std::stod(body.substr(at + metric.size()));
            }
        }
        return total;
    }

    hosted_platform platform_;
    std::vector<std::unique_ptr<hosted_proxy>> proxies_;
};

} // namespace

// Guards against hosts that keep one another out of a member by connections
// that they do not need, and against samples of the primary by every host.
TEST_F(many_hosts, share_the_connections_and_samples_of_a_member)
{
    const std::string failed =
        "zinniahub_connections_failed{service=\"ledger\","
        "reason=\"too_many\"} ";
    const std::string sampled = "zinniahub_primary_positions{service=\"ledger\""
                                ",source=\"sample\"} ";
    const std::string received = "zinniahub_primary_positions{service=\"ledger"
                                 "\",source=\"host\"} ";
    const auto failed_before = sum_of(failed);
    const auto sampled_before = sum_of(sampled);
    const auto received_before = sum_of(received);
    auto replies = read_everywhere();
    for (const auto& [code, count] : replies)
    {
        GTEST_LOG_(INFO) << count << " replies " << code;
    }
    const auto all_reads = static_cast<int>(host_count) * reads_per_host;
    EXPECT_GE(replies[""], all_reads - all_reads / 50);
    EXPECT_LT(sum_of(failed) - failed_before, all_reads / 20);
    const auto samples = sum_of(sampled) - sampled_before;
    const auto positions = sum_of(received) - received_before;
    GTEST_LOG_(INFO) << samples << " samples, " << positions
                     << " positions from other hosts";
    // One host takes up to 4 samples a second for all; some may be repeated by
    // hosts whose question was not answered in time.
    EXPECT_GT(samples, 0);
    EXPECT_LT(samples, 2 * host_count);
    EXPECT_GT(positions, samples);
}

// Guards against hosts that start together and all open their first connection
// to the same member, which then refuses those beyond its limit.
TEST_F(many_hosts, first_reads_spread_over_the_members)
{
    const std::string failed =
        "zinniahub_connections_failed{service=\"ledger\","
        "reason=\"too_many\"} ";
    EXPECT_EQ(sum_of(failed), 0);
}

// Guards against hosts that open a connection for each request, because their
// part of a member's idle connections is below one.
TEST_F(many_hosts, reads_far_apart_find_idle_connections)
{
    const std::string opened = "zinniahub_connections_opened{service=\"ledger\""
                               "} ";
    const auto opened_before = sum_of(opened);
    auto replies = read_everywhere(400ms);
    const auto all_reads = static_cast<int>(host_count) * reads_per_host;
    EXPECT_GE(replies[""], all_reads - all_reads / 50);
    const auto set_ups = sum_of(opened) - opened_before;
    GTEST_LOG_(INFO) << set_ups << " set-ups for " << all_reads << " reads";
    EXPECT_LT(set_ups, all_reads / 2);
}
