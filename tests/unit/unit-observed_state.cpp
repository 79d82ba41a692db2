#include <zinniahub/observed_state.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

const time_point start{1h};

host_report report_of(std::string host, std::uint64_t revision)
{
    host_report report;
    report.failure_domain = host.substr(0, 1) == "a" ? "lodz-a" : "lodz-b";
    report.host = std::move(host);
    report.incarnation = 2;
    report.applied_revision = revision;
    report.groups = {{"parts", 4, "m1", true, {}}};
    return report;
}

/// Two failure domains with three hosts that have applied the desired state.
struct fleet
{
    std::vector<resource_record> desired{
        {"/zinniahub/config/group/parts", 10,
         group_resource{
             "parts",
             3,
             {{"m1", "127.0.0.1:5401", "lodz-a", false},
              {"m2", "127.0.0.1:5402", "lodz-b", false}},
             5,
             50,
             false}},
        {"customer/plant", 11, customer_resource{"plant", 100, 20, 1, {}, {}}},
        {"domain/lodz-a", 12, domain_resource{"lodz-a", true}}};
    std::vector<host_entry> live{
        {"a1", "lodz-a", "127.0.0.1:7001", 2, false},
        {"a2", "lodz-a", "127.0.0.1:7002", 2, false},
        {"b1", "lodz-b", "127.0.0.1:7003", 2, false}};
    std::vector<domain_report> reports{
        {"lodz-a", "a1", {report_of("a1", 12), report_of("a2", 12)}, start},
        {"lodz-b", "b1", {report_of("b1", 12)}, start}};

    group_resource& group()
    {
        return std::get<group_resource>(*desired[0].value);
    }

    host_report& host_b1()
    {
        return reports[1].hosts[0];
    }

    std::vector<resource_status> compare(duration after = 0s) const
    {
        return zinniahub::compare(desired, live, reports, start + after);
    }
};

// Guards against hosts in their desired state that never count as converged.
TEST(observed_state, fleet_in_its_desired_state_has_converged)
{
    const auto statuses = fleet{}.compare(5s);
    ASSERT_EQ(statuses.size(), 3U);
    for (const auto& status : statuses)
    {
        EXPECT_TRUE(status.converged) << status.key;
        EXPECT_TRUE(status.lagging.empty()) << status.key;
    }
    EXPECT_EQ(statuses[0].key, "group/parts");
    EXPECT_EQ(statuses[0].desired, "group uid 3, 2 members at revision 10");
    EXPECT_EQ(
        statuses[0].observed, "in force on 3 of 3 hosts, primary m1 in term 4");
}

// Guards against a fault that `watch` reports as converged or attributes to the
// wrong host.
TEST(observed_state, each_fault_names_the_lagging_host_and_the_reason)
{
    struct row
    {
        const char* name;
        void (*change)(fleet&);
        std::size_t record;
        std::string host;
        std::string failure_domain;
        lag_kind kind;
        std::string reason;
    };
    using enum lag_kind;
    const row rows[] = {
        {"revision not reached",
         [](fleet& f) { f.host_b1().applied_revision = 10; }, 1, "b1", "lodz-b",
         revision_not_reached,
         "configuration revision 11 not reached, applied 10"},
        {"not confirmed",
         [](fleet& f) { f.host_b1().configuration_age = 120s; }, 1, "b1",
         "lodz-b", configuration_unconfirmed,
         "configuration not confirmed for 120 s, keyed requests stop in 780 s"},
        {"not confirmed for too long",
         [](fleet& f) { f.host_b1().configuration_age = 910s; }, 1, "b1",
         "lodz-b", configuration_unconfirmed,
         "configuration not confirmed for 910 s, keyed requests stopped 10 s "
         "ago"},
        {"host never reported", [](fleet& f) { f.reports[0].hosts.pop_back(); },
         1, "a2", "lodz-a", host_silent,
         "host is listed but has not reported since its start"},
        {"host restarted", [](fleet& f) { f.live[1].incarnation = 3; }, 1, "a2",
         "lodz-a", host_silent,
         "host is listed but has not reported since its start"},
        {"host silent", [](fleet& f) { f.host_b1().report_age = 16s; }, 2, "b1",
         "lodz-b", host_silent, "last report of the host is 16 s old"},
        {"failure domain silent",
         [](fleet& f) { f.reports[1].written_at = start - 20s; }, 2, "",
         "lodz-b", domain_silent, "report of the failure domain is 20 s old"},
        {"failure domain never reported",
         [](fleet& f) { f.reports.pop_back(); }, 2, "", "lodz-b", domain_silent,
         "failure domain has no report"},
        {"open requests in a failure domain out of service",
         [](fleet& f)
         {
             f.desired[2].value = domain_resource{"lodz-b", false};
             f.host_b1().loads = {{"domain/lodz-a", 7}};
         },
         2, "b1", "lodz-b", open_requests, "7 open requests"},
        {"open requests on a deleted customer",
         [](fleet& f)
         {
             f.desired[1].value.reset();
             f.host_b1().loads = {{"/zinniahub/config/customer/plant", 1}};
         },
         1, "b1", "lodz-b", open_requests, "1 open requests"},
        {"no writable primary",
         [](fleet& f) { f.host_b1().groups[0].writable = false; }, 0, "b1",
         "lodz-b", no_writable_primary,
         "no writable primary as seen by host b1, term 4"},
        {"group not seen", [](fleet& f) { f.host_b1().groups.clear(); }, 0,
         "b1", "lodz-b", no_writable_primary,
         "no writable primary as seen by host b1, term 0"},
        {"primary on a leaving member",
         [](fleet& f) { f.group().members[0].leaving = true; }, 0, "b1",
         "lodz-b", primary_on_leaving_member,
         "primary is still on leaving member m1"},
        {"primary not declared",
         [](fleet& f) { f.host_b1().groups[0].primary = "m9"; }, 0, "b1",
         "lodz-b", primary_on_leaving_member, "primary m9 is not declared"},
        {"primary in a failure domain out of service",
         [](fleet& f) {
             f.desired[2].value = domain_resource{"lodz-a", false};
         },
         2, "b1", "lodz-b", primary_on_leaving_member,
         "primary of group parts is still on member m1"},
        {"no hosts", [](fleet& f) { f.live.clear(), f.reports.clear(); }, 1, "",
         "", domain_silent, "no host has reported"}};
    for (const auto& row : rows)
    {
        SCOPED_TRACE(row.name);
        fleet changed;
        row.change(changed);
        const auto status = changed.compare()[row.record];
        EXPECT_FALSE(status.converged);
        EXPECT_TRUE(std::any_of(
            status.lagging.begin(), status.lagging.end(),
            [&](const lagging_host& lag)
            {
                return lag.host == row.host &&
                       lag.failure_domain == row.failure_domain &&
                       lag.kind == row.kind && lag.reason == row.reason;
            }));
    }
}

// Guards against lag reported for hosts or resources that have none.
TEST(observed_state, harmless_differences_are_not_reported_as_lag)
{
    struct row
    {
        const char* name;
        void (*change)(fleet&);
    };
    const row rows[] = {
        {"host is leaving",
         [](fleet& f)
         {
             f.live[1].leaving = true;
             f.reports[0].hosts.pop_back();
         }},
        {"host left and is no longer listed",
         [](fleet& f)
         {
             f.live.erase(f.live.begin() + 1);
             f.reports[0].hosts[1].report_age = 20s;
             f.reports[0].hosts[1].applied_revision = 3;
         }},
        {"host restarted and the list lags",
         [](fleet& f) { f.live[0].incarnation = 1; }},
        {"draining host has closed its group monitor",
         [](fleet& f)
         {
             f.host_b1().draining = true;
             f.host_b1().groups.clear();
         }},
        {"older report of the same host in another summary",
         [](fleet& f)
         {
             f.reports[1].hosts.push_back(report_of("a1", 3));
             f.reports[1].hosts.back().incarnation = 1;
             f.reports[1].hosts.push_back(report_of("a2", 3));
             f.reports[1].hosts.back().report_age = 2s;
         }},
        {"open requests on a resource in use", [](fleet& f) {
             f.host_b1().loads = {{"group/parts", 5}};
         }}};
    for (const auto& row : rows)
    {
        fleet changed;
        row.change(changed);
        for (const auto& status : changed.compare())
        {
            EXPECT_TRUE(status.converged) << row.name << " " << status.key;
        }
    }
}

// Guards against a failure domain that is partitioned from the platform and
// disappears from the output of `watch` when the host list drops its hosts,
// although it still serves requests with a key.
TEST(observed_state, partitioned_domain_lags_until_its_configuration_expires)
{
    fleet partitioned;
    partitioned.live.erase(partitioned.live.begin() + 2);
    const auto lag_reasons = [&](duration after)
    {
        partitioned.reports[0].written_at = start + after;
        for (auto& host : partitioned.reports[0].hosts)
        {
            host.configuration_age = 0s;
        }
        const auto statuses = partitioned.compare(after);
        std::vector<std::string> reasons;
        for (const auto& lag : statuses[2].lagging)
        {
            reasons.push_back(lag.failure_domain + ": " + lag.reason);
        }
        return reasons;
    };
    const std::vector<std::string> expected{
        "lodz-b: report of the failure domain is 600 s old",
        "lodz-b: configuration not confirmed for 600 s, keyed requests stop in "
        "300 s"};
    EXPECT_EQ(lag_reasons(600s), expected);
    EXPECT_TRUE(lag_reasons(901s).empty());
    partitioned.host_b1().draining = true;
    EXPECT_TRUE(lag_reasons(600s).empty());
}

// Guards against the lag of one resource being reported for the others.
TEST(observed_state, revision_lag_concerns_newer_resources_only)
{
    fleet lagging;
    lagging.host_b1().applied_revision = 11;
    const auto statuses = lagging.compare();
    EXPECT_TRUE(statuses[0].converged);
    EXPECT_TRUE(statuses[1].converged);
    EXPECT_FALSE(statuses[2].converged);
    EXPECT_EQ(statuses[2].observed, "in force on 2 of 3 hosts");
}

// Guards against an older report that replaces a newer one when reports arrive
// out of order through several relays, also after a restart of the host.
TEST(observed_state, newest_report_wins_in_any_order)
{
    struct arrival
    {
        std::uint64_t incarnation;
        duration age;
        std::uint64_t revision;
    };
    std::array arrivals{arrival{1, 1s, 20}, arrival{1, 8s, 10},
                        arrival{2, 5s, 6},  arrival{2, 2s, 7},
                        arrival{2, 9s, 5},  arrival{3, 16s, 99}};
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        std::mt19937_64 random(seed);
        std::shuffle(arrivals.begin(), arrivals.end(), random);
        report_aggregator aggregator;
        for (const auto& [incarnation, age, revision] : arrivals)
        {
            auto report = report_of("a1", revision);
            report.incarnation = incarnation;
            report.report_age = age;
            const bool accepted = aggregator.on_report(report, start);
            EXPECT_FALSE(accepted && age > report_lifetime);
            EXPECT_FALSE(aggregator.on_report(report, start)) << "repeat";
        }
        const auto known = aggregator.reports(start + 3s);
        ASSERT_EQ(known.size(), 1U);
        EXPECT_EQ(known[0].applied_revision, 7U) << seed;
        EXPECT_EQ(known[0].report_age, 5s);
        const auto last = start + report_lifetime - 2s;
        EXPECT_EQ(aggregator.reports(last).size(), 1U);
        EXPECT_TRUE(aggregator.reports(last + 1ms).empty());
    }
}

} // namespace
