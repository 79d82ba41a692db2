#include "load_checks.hpp"
#include "support/fleet.hpp"

#include <fmt/format.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <set>
#include <thread>

namespace
{

using zinniahub::errc;
using zinniahub::verdict;
using zinniahub::test::eventually;
using zinniahub::test::fleet;
using zinniahub::test::fleet_options;
using zinniahub::test::joined;
using zinniahub::test::load;
using zinniahub::test::load_options;
using namespace std::chrono_literals;
using steady_clock = zinniahub::clock;

const std::string customer = "session-desk";
const std::string booths = "booth-ledger";
const std::string takes = "take-log";
const std::string cut_domain = "brno-studio";

/// No new work after this time; design section 1.3.
constexpr auto leave_bound = 5s;
/// An accepted configuration is in force everywhere; design section 1.2.
constexpr auto return_bound = 14s;
/// Requests from the other failure domains; design section 1.3.
constexpr double min_success = 0.99;

// Failure domains that operators take out

struct leaving_case
{
    std::string domain;
    std::size_t proxy;
    std::string member;
    bool has_primary;

    /// Keeps the test's name in ctest the same in every run.
    friend void PrintTo(const leaving_case& tested, std::ostream* out)
    {
        *out << tested.domain;
    }
};

class domain_leaving : public testing::TestWithParam<leaving_case>
{
};

/// Calls grpc.health.v1.Health/Check for the whole server.
bool is_serving(const std::string& address)
{
    grpc::GenericStub stub(
        grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + 1s);
    grpc::CompletionQueue queue;
    const grpc::Slice empty;
    const grpc::ByteBuffer request(&empty, 1);
    auto call = stub.PrepareUnaryCall(
        &context, "/grpc.health.v1.Health/Check", request, &queue);
    call->StartCall();
    grpc::ByteBuffer response;
    grpc::Status status;
    call->Finish(&response, &status, nullptr);
    void* tag = nullptr;
    bool ok = false;
    EXPECT_TRUE(queue.Next(&tag, &ok) && ok && status.ok())
        << status.error_message();
    grpc::Slice content;
    // Field 1 with the value SERVING.
    return response.DumpToSingleSlice(&content).ok() &&
           std::string(content.begin(), content.end()) == "\x08\x01";
}

bool refuses_for_domain(const fleet& system, std::size_t proxy)
{
    auto probe = system.connect(proxy, customer);
    const auto reply = probe->read("get probe");
    return reply.is_refused() && reply.code == errc::failure_domain_out;
}

std::vector<std::size_t> proxies_without(std::size_t left_out)
{
    std::vector<std::size_t> proxies;
    for (std::size_t i = 0; i < 4; ++i)
    {
        if (i != left_out)
        {
            proxies.push_back(i);
        }
    }
    return proxies;
}

// Guards against new work in a failure domain that was taken out, against
// requests that its leaving or return cuts off, loses or doubles, and against
// poor service in the others meanwhile.
TEST_P(domain_leaving, gets_no_work_and_returns)
{
    const auto& expected = GetParam();
    fleet system{fleet_options{}};
    const auto others = proxies_without(expected.proxy);
    load_options outside_options;
    outside_options.proxies = others;
    outside_options.callers = 6;
    outside_options.readers = 3;
    load outside(system, outside_options);
    load_options inside_options;
    inside_options.proxies = {expected.proxy, others.front()};
    inside_options.callers = 2;
    load inside(system, inside_options);
    ASSERT_TRUE(eventually(
        20s,
        [&] {
            return outside.done_operations() > 100 &&
                   inside.done_operations() > 20;
        }));
    EXPECT_EQ(
        system.primary_of(booths) == expected.member, expected.has_primary);

    const auto begin = steady_clock::now();
    const auto out = system.operate(
        {"apply", "domain", expected.domain, "--in-service", "no"});
    ASSERT_EQ(out.exit_code, 0) << out.output;
    EXPECT_TRUE(eventually(
        leave_bound,
        [&]
        {
            return refuses_for_domain(system, expected.proxy) &&
                   system.member_stat(expected.member, "connections") == "0";
        }))
        << system.member_command(expected.member, "stats");
    const auto requests = system.requests_at(expected.member);
    EXPECT_TRUE(outside.progresses(100, 20s));
    EXPECT_EQ(system.requests_at(expected.member), requests);
    const auto left =
        system.operate({"watch", "domain", expected.domain, "--timeout", "15"});
    EXPECT_EQ(left.exit_code, 0) << left.output;

    const auto back = system.operate(
        {"apply", "domain", expected.domain, "--in-service", "yes"});
    ASSERT_EQ(back.exit_code, 0) << back.output;
    EXPECT_TRUE(eventually(
        14s,
        [&]
        {
            auto probe = system.connect(expected.proxy, customer);
            return probe->write("add probe/back 1").is_done() &&
                   system.requests_at(expected.member) > requests;
        }));
    const auto returned = system.operate({"watch", "--timeout", "15"});
    EXPECT_EQ(returned.exit_code, 0) << returned.output;
    const auto end = steady_clock::now();

    outside.stop();
    inside.stop();
    EXPECT_GE(success_at(outside.records(), others, begin, end), min_success);
    EXPECT_EQ(outside.failed_operations(), 0u);
    EXPECT_EQ(inside.failed_operations(), 0u);
    EXPECT_GT(count_failed(inside.records(), errc::failure_domain_out), 0u);
    const auto rows = system.rows_of(system.primary_of(booths));
    expect_nothing_cut(outside, rows);
    expect_nothing_cut(inside, rows);
}

INSTANTIATE_TEST_SUITE_P(
    domains, domain_leaving,
    testing::Values(
        leaving_case{"olomouc-annex", 2, "booth-ledger-m2", false},
        leaving_case{"brno-studio", 0, "booth-ledger-m0", true}),
    [](const auto& tested)
    {
        return std::string(
            tested.param.has_primary ? "with_primary" : "without_primary");
    });

// Guards against an open transaction that is cut off when its failure domain
// is taken out.
TEST(domain_out, open_transaction_finishes)
{
    fleet system{fleet_options{}};
    auto clerk = system.connect(2, customer);
    ASSERT_TRUE(clerk->begin().is_done());
    ASSERT_TRUE(clerk->write("add fee/1 1").is_done());
    ASSERT_EQ(
        system
            .operate({"apply", "domain", "olomouc-annex", "--in-service", "no"})
            .exit_code,
        0);
    ASSERT_TRUE(
        eventually(leave_bound, [&] { return refuses_for_domain(system, 2); }));
    EXPECT_TRUE(eventually(
        5s,
        [&]
        {
            const auto now =
                system.operate({"watch", "domain", "olomouc-annex", "--once"});
            return now.exit_code == 6 &&
                   now.output.find("open requests") != std::string::npos;
        }));
    EXPECT_TRUE(clerk->write("add fee/2 1").is_done());
    const auto committed = clerk->commit();
    EXPECT_TRUE(committed.is_done()) << committed.detail;
    EXPECT_EQ(clerk->write("add fee/3 1").code, errc::failure_domain_out);
    const auto left =
        system.operate({"watch", "domain", "olomouc-annex", "--timeout", "15"});
    EXPECT_EQ(left.exit_code, 0) << left.output;
    EXPECT_EQ(system.rows_of(system.primary_of(booths)).count("fee/3"), 0u);
}

// Guards against balancers that keep sending work to a proxy that refuses it
// because its failure domain is out, or that never come back to it.
TEST(domain_out, health_follows_the_failure_domain)
{
    fleet system{fleet_options{}};
    const auto declare = [&](const char* in_service)
    {
        return system
            .operate(
                {"apply", "domain", "olomouc-annex", "--in-service",
                 in_service})
            .exit_code;
    };
    EXPECT_TRUE(is_serving(system.proxy_address(2)));
    ASSERT_EQ(declare("no"), 0);
    EXPECT_TRUE(eventually(
        leave_bound, [&] { return !is_serving(system.proxy_address(2)); }));
    EXPECT_TRUE(is_serving(system.proxy_address(1)));
    ASSERT_EQ(declare("yes"), 0);
    EXPECT_TRUE(eventually(
        return_bound, [&] { return is_serving(system.proxy_address(2)); }));
}

// Failure domains that are cut off

/// Records which member is primary in each term of a group.
class primary_record
{
public:
    explicit primary_record(const fleet& system)
        : system_(system)
        , thread_([this] { run(); })
    {
    }
    ~primary_record()
    {
        stop();
    }
    primary_record(const primary_record&) = delete;
    primary_record& operator=(const primary_record&) = delete;

    void stop()
    {
        stopping_ = true;
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    /// @brief Terms in which more than one member was primary.
    std::vector<std::string> doubles() const
    {
        std::vector<std::string> found;
        for (const auto& [term, names] : primaries_)
        {
            if (names.size() > 1)
            {
                found.push_back(term);
            }
        }
        return found;
    }

private:
    void run()
    {
        while (!stopping_)
        {
            for (const auto& group : {booths, takes})
            {
                for (const auto& name : system_.members_of(group))
                {
                    if (system_.member_stat(name, "role") == "primary")
                    {
                        const auto term = system_.member_stat(name, "term");
                        // The role may have ended between the two readings.
                        if (system_.member_stat(name, "role") == "primary")
                        {
                            primaries_[fmt::format("{} term {}", group, term)]
                                .insert(name);
                        }
                    }
                }
            }
            std::this_thread::sleep_for(20ms);
        }
    }

    const fleet& system_;
    std::atomic<bool> stopping_ = false;
    std::map<std::string, std::set<std::string>> primaries_;
    std::thread thread_;
};

class domain_cut : public testing::TestWithParam<bool>
{
};

fleet_options cut_options()
{
    fleet_options options;
    options.domains = {"brno-studio", "brno-archive", "olomouc-annex"};
    options.proxies = 3;
    options.groups = {booths, takes};
    // The cut-off failure domain holds a majority of the second group.
    options.member_domains[takes] = {
        "brno-studio", "brno-studio", "olomouc-annex"};
    options.member_faults = true;
    options.platform_faults = true;
    options.peer_faults = true;
    options.replication_faults = true;
    // A quarter of the rate, divided by 8 seats, is the floor of a host: 10/s.
    options.customers["flood"] = {320, 320};
    options.customers["session-desk"] = {4000, 4000};
    return options;
}

load_options load_at(std::vector<std::size_t> proxies, const std::string& group)
{
    load_options options;
    options.proxies = std::move(proxies);
    options.group = group;
    options.callers = 2;
    options.pause = 30ms;
    options.deadline = 2000ms;
    return options;
}

bool makes_progress(const load& traffic)
{
    return traffic.progresses(10, 10s);
}

/// Requests of the customer "flood" that are granted in a period.
int granted_in(const fleet& system, std::size_t proxy, steady_clock::duration d)
{
    auto flood = system.connect(proxy, "flood", takes);
    const auto until = steady_clock::now() + d;
    int granted = 0;
    while (steady_clock::now() < until)
    {
        granted += flood->read("get probe").is_done() ? 1 : 0;
    }
    return granted;
}

// Guards against a cut-off failure domain that stops serving what it can,
// exceeds its floors, acknowledges writes without a majority, or does not
// converge after the partition.
TEST_P(domain_cut, serves_what_it_can_and_converges)
{
    const bool platform_first = GetParam();
    fleet system{cut_options()};
    primary_record record(system);
    load takes_inside(system, load_at({0}, takes));
    load booths_outside(system, load_at({1, 2}, booths));
    auto only_reads = load_at({0}, booths);
    only_reads.callers = 0;
    only_reads.readers = 1;
    load booths_read_inside(system, only_reads);
    ASSERT_TRUE(makes_progress(takes_inside));
    ASSERT_TRUE(makes_progress(booths_outside));
    // The host has a floor and knows hosts of the other failure domains.
    ASSERT_TRUE(eventually(
        15s,
        [&]
        {
            return system.log_of("proxy0").find("event=seat") !=
                       std::string::npos &&
                   system.metric(0, "zinniahub_live_hosts") == 3;
        }));

    if (platform_first)
    {
        system.cut_domain_from_platform(cut_domain);
        // The proxy learns the configuration from its peers meanwhile.
        ASSERT_EQ(
            system
                .operate(
                    {"apply", "customer", "late", "--rate", "10", "--burst",
                     "10"})
                .exit_code,
            0);
        const auto key = system.add_key("late", "k1");
        EXPECT_TRUE(eventually(
            14s,
            [&]
            {
                zinniahub::test::caller late(
                    system.proxy_address(0), key, takes);
                return late.read("get probe").is_done();
            }));
        system.cut_domain_from_peers(cut_domain);
    }
    else
    {
        system.cut_domain_from_peers(cut_domain);
        EXPECT_TRUE(makes_progress(takes_inside));
        system.cut_domain_from_platform(cut_domain);
    }

    // The majority outside promotes a member, the one inside keeps its own.
    EXPECT_TRUE(eventually(
        10s, [&] { return system.primary_of(booths) != booths + "-m0"; }));
    EXPECT_TRUE(makes_progress(booths_outside));
    EXPECT_TRUE(makes_progress(takes_inside));
    EXPECT_EQ(system.primary_of(takes), takes + "-m0");
    const auto cut_at = steady_clock::now();
    EXPECT_TRUE(eventually(
        10s,
        [&]
        {
            return success_at(
                       booths_read_inside.records(), {0}, cut_at,
                       steady_clock::now()) > 0;
        }));
    auto inside = system.connect(0, customer, booths);
    inside->set_deadline(1500ms);
    EXPECT_FALSE(inside->write("add booth/inside 1").is_done());
    auto outside = system.connect(1, customer, takes);
    outside->set_deadline(1500ms);
    EXPECT_FALSE(outside->write("add take/outside 1").is_done());
    EXPECT_TRUE(outside->read("get probe").is_done());

    // The floor is 10/s with a burst of 10; the leases of the pools have ended.
    constexpr auto period = 3s;
    granted_in(system, 0, 500ms);
    const auto granted = granted_in(system, 0, period);
    EXPECT_LE(granted, 10 + 10 * 3);
    EXPECT_GE(granted, 10 * 3 / 2);

    // The platform's host list forgets a host after 10 s and lags by 1 s; the
    // watched state shows the failure domain all the same.
    const auto has_been_forgotten = [&]
    { return steady_clock::now() - cut_at > 15s; };
    EXPECT_TRUE(eventually(20s, has_been_forgotten));
    const auto watched = system.operate({"watch", "--once"});
    EXPECT_EQ(watched.exit_code, 6);
    for (const auto& reason :
         {"failure domain " + cut_domain + ": report of the failure domain is ",
          "host " + cut_domain + "/proxy0: configuration not confirmed for ",
          std::string("s, keyed requests stop in ")})
    {
        EXPECT_NE(watched.output.find(reason), std::string::npos)
            << reason << "\n"
            << watched.output;
    }

    system.heal_domain(cut_domain);
    const auto healed = system.operate({"watch", "--timeout", "30"});
    EXPECT_EQ(healed.exit_code, 0) << healed.output;
    for (std::size_t proxy = 0; proxy < 3; ++proxy)
    {
        for (const auto& group : {booths, takes})
        {
            EXPECT_TRUE(eventually(
                10s,
                [&]
                {
                    auto probe = system.connect(proxy, customer, group);
                    return probe->write("add probe/healed 1").is_done();
                }))
                << "proxy " << proxy << " " << group;
        }
    }
    takes_inside.stop();
    booths_outside.stop();
    booths_read_inside.stop();
    record.stop();
    EXPECT_TRUE(record.doubles().empty()) << joined(record.doubles());
    for (const auto& [traffic, group] :
         {std::pair{&takes_inside, takes}, std::pair{&booths_outside, booths}})
    {
        const testing::ScopedTrace trace(__FILE__, __LINE__, group);
        expect_no_faults(*traffic, system.rows_of(system.primary_of(group)));
    }
}

// Guards against a host that is cut off from the platform, keeps asking the
// earlier owner of a pool indefinitely and serves no more than its floor.
TEST(domain_out, cut_off_host_finds_the_new_owner_of_a_pool)
{
    auto options = cut_options();
    options.groups = {takes};
    options.member_domains.clear();
    options.replication_faults = false;
    // The floor of a host is 1/32 of the rate: 10/s.
    options.customers = {{"flood", {320, 320}}, {customer, {4000, 4000}}};
    fleet system{options};
    ASSERT_TRUE(system.wait_until_rates_settle());
    const auto owner = system.rate_owner_of("flood");
    ASSERT_TRUE(owner);
    system.platform_fault(*owner, "cut");
    ASSERT_TRUE(eventually(
        10s, [&] { return system.rate_owner_of("flood") != owner; }));
    constexpr auto period = 2s;
    constexpr int half_of_the_rate = 160 * 2;
    EXPECT_TRUE(eventually(
        14s,
        [&] { return granted_in(system, *owner, period) > half_of_the_rate; }));
}

// Guards against the owner of a rate pool that goes on granting from it after
// its lease has ended and another host owns the pool.
TEST(domain_out, cut_off_owner_of_the_pools_keeps_to_its_floor)
{
    auto options = cut_options();
    options.groups = {takes};
    options.member_domains.clear();
    options.replication_faults = false;
    fleet system{options};
    const auto pools_of = [&](const std::string& host)
    {
        std::set<std::string> keys;
        for (const auto& [key, holder] : system.owners())
        {
            if (holder == host && key.find("/rate/") != std::string::npos)
            {
                keys.insert(key);
            }
        }
        return keys;
    };
    ASSERT_TRUE(system.wait_until_rates_settle());
    constexpr std::size_t all_pools = 16;
    const auto owner = system.rate_owner_of("flood").value();
    const auto host = "proxy" + std::to_string(owner);
    system.cut_domain_from_platform(system.domain_of_proxy(owner));
    system.cut_domain_from_peers(system.domain_of_proxy(owner));
    ASSERT_TRUE(eventually(
        10s,
        [&]
        {
            return pools_of(host).empty() &&
                   system.rate_owner_of("flood").has_value() &&
                   system.owners().size() >= all_pools;
        }));
    granted_in(system, owner, 500ms);
    const auto granted = granted_in(system, owner, 3s);
    EXPECT_LE(granted, 10 + 10 * 3);
    EXPECT_GE(granted, 10 * 3 / 2);
    system.heal_domain(system.domain_of_proxy(owner));
    const auto healed = system.operate({"watch", "--timeout", "30"});
    EXPECT_EQ(healed.exit_code, 0) << healed.output;
}

INSTANTIATE_TEST_SUITE_P(
    domains, domain_cut, testing::Bool(),
    [](const auto& tested)
    { return std::string(tested.param ? "platform_first" : "peers_first"); });

} // namespace
