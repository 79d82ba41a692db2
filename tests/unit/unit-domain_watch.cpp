#include "domain_fleet.hpp"

#include <gtest/gtest.h>

#include <string>

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

/// Time in which all hosts learn the domains of the others.
constexpr auto start_time = 6s;

struct fleet_size
{
    std::size_t domains;
    std::size_t hosts;
};

constexpr fleet_size sizes[]{{3, 7}, {3, 12}, {4, 12}, {3, 66}, {4, 80}};

void cut_off_domain(domain_fleet& fleet, const std::string& domain)
{
    fleet.passes = [domain](const auto& from, const auto*, const auto& to)
    { return (from.domain == domain) == (to == domain); };
}

void isolate_host(domain_fleet& fleet, const std::string& address)
{
    fleet.passes = [address](const auto& from, const auto* to, const auto&)
    {
        return from.address != address &&
               (to == nullptr || to->address != address);
    };
}

struct trouble
{
    std::string name;
    std::function<void(domain_fleet&)> begin;
    std::function<void(domain_fleet&)> end = [](domain_fleet&) {};
};

void kill(domain_fleet& fleet, const std::function<bool(std::size_t)>& chosen)
{
    for (std::size_t number = 0; number < fleet.all.size(); ++number)
    {
        if (chosen(number))
        {
            fleet.all[number].running = false;
        }
    }
}

void restart_stopped(domain_fleet& fleet)
{
    for (auto& host : fleet.all)
    {
        if (!host.running)
        {
            fleet.start(host);
        }
    }
}

/// What must not be mistaken for a domain that is cut off.
std::vector<trouble> troubles()
{
    return {
        {"a quiet night, or the store is down", [](domain_fleet&) {}},
        {"one host is alone, then it is not",
         [](domain_fleet& fleet) { isolate_host(fleet, fleet.all[0].address); },
         [](domain_fleet& fleet) {
             fleet.passes = [](const auto&, const auto*, const auto&)
             { return true; };
         }},
        {"all members are silent",
         [](domain_fleet& fleet) { fleet.silent_members = fleet.names; }},
        {"members of one domain are silent",
         [](domain_fleet& fleet) { fleet.silent_members = {"a"}; }},
        {"all other hosts are killed, then they start",
         [](domain_fleet& fleet)
         { kill(fleet, [](std::size_t number) { return number != 0; }); },
         restart_stopped},
        {"all hosts outside of a domain are killed",
         [](domain_fleet& fleet)
         {
             kill(
                 fleet, [&fleet](std::size_t number)
                 { return fleet.all[number].domain != "a"; });
         },
         restart_stopped},
        {"half of the hosts are killed",
         [](domain_fleet& fleet)
         { kill(fleet, [](std::size_t number) { return number % 2 == 0; }); },
         restart_stopped},
        {"all hosts are killed and start",
         [](domain_fleet& fleet)
         {
             kill(fleet, [](std::size_t) { return true; });
             restart_stopped(fleet);
         }},
        {"one host has just started",
         [](domain_fleet& fleet) { fleet.start(fleet.all[1]); }},
        {"one host starts alone while the others are stopped",
         [](domain_fleet& fleet)
         {
             kill(fleet, [](std::size_t) { return true; });
             fleet.start(fleet.all[0]);
         }},
        {"a host was suspended", [](domain_fleet& fleet)
         { fleet.all[0].frozen_until = fleet.now + 3s; }},
        {"all hosts were suspended",
         [](domain_fleet& fleet)
         {
             for (auto& host : fleet.all)
             {
                 host.frozen_until = fleet.now + 3s;
             }
         }},
        {"a link drops 5%", [](domain_fleet& fleet) { fleet.loss = 0.05; }},
        {"a link drops 30%", [](domain_fleet& fleet) { fleet.loss = 0.3; }},
    };
}

} // namespace

// Guards against a domain whose hosts learn late, or one after the other, that
// it is cut off, and against hosts elsewhere that wait for its members.
TEST(domain_watch, all_hosts_know_a_partition_within_half_a_second)
{
    for (const auto& size : sizes)
    {
        for (unsigned seed = 1; seed <= 8; ++seed)
        {
            SCOPED_TRACE(
                std::to_string(size.hosts) + " hosts, seed " +
                std::to_string(seed));
            domain_fleet fleet(size.domains, size.hosts, seed);
            fleet.loss = seed % 2 == 0 ? 0.05 : 0;
            fleet.run_for(start_time + std::chrono::milliseconds(13 * seed));
            ASSERT_EQ(fleet.count_decisions(), 0U);
            cut_off_domain(fleet, "b");
            fleet.run_for(500ms);
            EXPECT_EQ(fleet.count_cut_off("b"), fleet.count_hosts("b"));
            for (const auto& host : fleet.all)
            {
                if (host.domain != "b")
                {
                    EXPECT_EQ(host.was_unreachable, std::set<std::string>{"b"});
                    EXPECT_FALSE(host.was_cut_off);
                }
            }
            fleet.run_for(4500ms);
            fleet.passes = [](const auto&, const auto*, const auto&)
            { return true; };
            fleet.run_for(400ms);
            EXPECT_EQ(fleet.count_cut_off("b"), fleet.count_hosts("b"));
            fleet.run_for(800ms);
            for (const auto& host : fleet.all)
            {
                EXPECT_FALSE(host.watch.is_cut_off());
                EXPECT_TRUE(host.watch.unreachable_domains().empty());
            }
        }
    }
}

// Guards against hosts that become unready, or leave members of a domain out,
// because of a trouble that is not a partition.
TEST(domain_watch, other_troubles_are_not_taken_for_a_partition)
{
    for (const auto& size : sizes)
    {
        for (const auto& event : troubles())
        {
            SCOPED_TRACE(std::to_string(size.hosts) + " hosts: " + event.name);
            domain_fleet fleet(size.domains, size.hosts, 7);
            fleet.run_for(start_time);
            event.begin(fleet);
            fleet.run_for(5s);
            event.end(fleet);
            fleet.run_for(3s);
            EXPECT_EQ(fleet.count_decisions(), 0U);
        }
    }
}

// Guards against a host that gets no processor for part of a second and
// decides before it has read the datagrams that have arrived.
TEST(domain_watch, hosts_that_run_in_pieces_decide_nothing)
{
    domain_fleet fleet(3, 12, 3);
    fleet.run_for(start_time);
    for (int round = 0; round < 200; ++round)
    {
        auto pause = round;
        for (auto& host : fleet.all)
        {
            pause = pause * 37 % 261;
            host.frozen_until = fleet.now + std::chrono::milliseconds(pause);
        }
        fleet.run_for(std::chrono::milliseconds(270 + round % 50));
    }
    EXPECT_EQ(fleet.count_decisions(), 0U);
}

// Guards against a host that hears its own domain first when its link works
// again, and takes the others for unreachable.
TEST(domain_watch, a_link_that_returns_is_not_taken_for_a_partition)
{
    for (auto length = 200ms; length < 1200ms; length += 10ms)
    {
        SCOPED_TRACE(length.count());
        domain_fleet fleet(3, 12, 9);
        fleet.run_for(start_time);
        isolate_host(fleet, fleet.all[0].address);
        fleet.run_for(length);
        fleet.passes = [](const auto&, const auto*, const auto&)
        { return true; };
        fleet.run_for(1s);
        EXPECT_EQ(fleet.count_decisions(), 0U);
    }
}

// Guards against two halves that both become unready, so that no host serves.
TEST(domain_watch, neither_of_two_equal_domains_is_cut_off)
{
    domain_fleet fleet(2, 8, 1);
    fleet.run_for(start_time);
    cut_off_domain(fleet, "a");
    fleet.run_for(2s);
    EXPECT_EQ(fleet.count_cut_off("a") + fleet.count_cut_off("b"), 0U);
    EXPECT_EQ(fleet.count_decisions(), fleet.all.size());
}

// Guards against members that stay unused although they answer again.
TEST(domain_watch, members_are_used_as_soon_as_one_answers)
{
    domain_fleet fleet(3, 12, 1);
    fleet.run_for(start_time);
    cut_off_domain(fleet, "b");
    fleet.run_for(1s);
    auto& host = fleet.all[0];
    ASSERT_EQ(host.watch.domains_to_avoid(), std::vector<std::string>{"b"});
    host.watch.on_members("b", fleet.now, fleet.now);
    EXPECT_TRUE(host.watch.domains_to_avoid().empty());
    EXPECT_FALSE(host.watch.unreachable_domains().empty());
}

// Guards against heartbeats that cost more than 30 datagrams a second.
TEST(domain_watch, calm_hosts_send_few_datagrams)
{
    for (const auto& size : sizes)
    {
        domain_fleet fleet(size.domains, size.hosts, 5);
        fleet.run_for(start_time);
        for (auto& host : fleet.all)
        {
            host.sent = 0;
        }
        fleet.run_for(10s);
        for (const auto& host : fleet.all)
        {
            EXPECT_LE(host.sent, 303U) << size.hosts << " hosts";
        }
    }
}
