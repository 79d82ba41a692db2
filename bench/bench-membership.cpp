#include "control/report_codec.hpp"
#include "report.hpp"
#include "zinniahub/v1/configuration.pb.h"

#include <zinniahub/membership.hpp>
#include <zinniahub/observed_state.hpp>

#include <span>
#include <string>
#include <vector>

namespace
{

using namespace zinniahub;

constexpr std::size_t domains = 10;
/// Default interval of Peer.Sync in src/settings/settings.hpp.
constexpr double syncs_per_second = 2;
/// 76,000 configuration changes a day.
constexpr double changes_per_second = 0.88;
/// Tick interval of src/serve/proxy_server.cpp.
constexpr double ticks_per_second = 20;

std::string domain_name(std::size_t index)
{
    return fmt::format("domain-{}", index);
}

std::vector<host_entry> make_hosts(std::size_t count)
{
    std::vector<host_entry> hosts;
    for (std::size_t i = 0; i < count; ++i)
    {
        hosts.push_back(
            {fmt::format("entry-{:04}", i), domain_name(i % domains),
             fmt::format("10.9.{}.{}:7400", i / 250, i % 250),
             (1'764'000'000'000ULL << 16U) + i, false});
    }
    return hosts;
}

host_report make_report(const host_entry& host, std::size_t groups)
{
    host_report report;
    report.host = host.name;
    report.failure_domain = host.failure_domain;
    report.incarnation = host.incarnation;
    report.applied_revision = 1'000'000;
    report.configuration_age = std::chrono::milliseconds(700);
    report.report_age = std::chrono::milliseconds(250);
    for (std::size_t i = 0; i < groups; ++i)
    {
        report.groups.push_back(
            {fmt::format("group-{:05}", i),
             7,
             fmt::format("group-{:05}-m0", i),
             true,
             {}});
    }
    return report;
}

v1::SyncRequest
make_request(const host_entry& sender, std::size_t reports, std::size_t groups)
{
    v1::SyncRequest request;
    control::to_protocol(sender, *request.mutable_sender());
    request.set_known_revision(1'000'000);
    for (std::size_t i = 0; i < reports; ++i)
    {
        control::to_protocol(
            make_report(sender, groups), *request.add_reports());
    }
    return request;
}

v1::SyncReply make_reply(const host_entry& responder, std::size_t records)
{
    v1::SyncReply reply;
    control::to_protocol(responder, *reply.mutable_responder());
    reply.set_revision(1'000'000);
    reply.set_configuration_age_ms(700);
    for (std::size_t i = 0; i < records; ++i)
    {
        v1::Resource value;
        value.set_change_id(0x7fffffffffffffffULL);
        auto* group = value.mutable_group();
        group->set_name("group-12345");
        group->set_uid(12345);
        group->set_slots(3);
        group->set_connection_limit(20);
        for (const char* member : {"m0", "m1", "m2"})
        {
            auto* item = group->add_members();
            item->set_name(fmt::format("group-12345-{}", member));
            item->set_address("10.100.100.100:5400");
            item->set_failure_domain("domain-1");
        }
        auto* entry = reply.add_records();
        entry->set_key("/zinniahub/config/group/group-12345");
        entry->set_revision(1'000'000);
        entry->set_value(value.SerializeAsString());
    }
    return reply;
}

double size_of(const google::protobuf::Message& message)
{
    return static_cast<double>(message.ByteSizeLong());
}

// CPU time of the host list

void measure_host_list(const bench::report& out, std::size_t count)
{
    const auto entries = make_hosts(count);
    const auto now = time_point{} + std::chrono::hours(1);
    const auto before = bench::heap_bytes();
    host_list hosts;
    hosts.on_listed(entries, now);
    const auto bytes = bench::heap_bytes() - before;

    const auto listed =
        bench::microseconds_per_call([&] { hosts.on_listed(entries, now); });
    const auto heard_us = bench::microseconds_per_call(
        [&] { hosts.on_reported(entries[count / 2], now); });
    const auto live = bench::microseconds_per_call(
        [&] { bench::do_not_optimize(hosts.live(now)); });
    const auto live_hosts = hosts.live(now);
    const auto tree = bench::microseconds_per_call(
        [&]
        {
            const auto made = relay_tree::of_domain(live_hosts, domain_name(3));
            bench::do_not_optimize(made.parent_of(entries[count / 2].name));
        });
    std::vector<std::string> names;
    names.reserve(live_hosts.size());
    for (const auto& host : live_hosts)
    {
        names.push_back(host.name);
    }
    const auto rank = bench::microseconds_per_call(
        [&] { bench::do_not_optimize(rank_of(17, names, names.front())); });
    // Each tick copies the list of live hosts twice; the lease renewal ranks
    // the host for 16 shards twice a second.
    const auto core = (2 * live * ticks_per_second + (listed + heard_us) / 2 +
                       (live + tree) * syncs_per_second + 16 * 2 * rank) /
                      1e4;
    out.row(
        "host_list", {{"hosts", count},
                      {"on_listed_us", listed},
                      {"live_us", live},
                      {"relay_tree_us", tree},
                      {"rank_of_us", rank},
                      {"heap_kb", bytes / 1e3},
                      {"core_percent", core},
                      {"rank_30000_groups_ms", rank * 30}});
}

void measure_aggregator(
    const bench::report& out, std::size_t hosts, std::size_t groups)
{
    const auto entries = make_hosts(hosts);
    auto now = time_point{} + std::chrono::hours(1);
    report_aggregator reports;
    const auto before = bench::heap_bytes();
    for (const auto& entry : entries)
    {
        reports.on_report(make_report(entry, groups), now);
    }
    const auto bytes = bench::heap_bytes() - before;
    const auto message = make_request(entries.front(), 1, groups);
    const auto decode = bench::microseconds_per_call(
        [&]
        {
            now += std::chrono::microseconds(1);
            reports.on_report(control::from_protocol(message.reports(0)), now);
        });
    const auto encode = bench::microseconds_per_call(
        [&]
        {
            v1::SyncRequest request;
            for (const auto& report : reports.reports(now))
            {
                control::to_protocol(report, *request.add_reports());
            }
            bench::do_not_optimize(request.SerializeAsString());
        });
    out.row(
        "report_aggregator", {{"hosts", hosts},
                              {"groups_per_host", groups},
                              {"on_report_us", decode},
                              {"write_all_us", encode},
                              {"heap_kb", bytes / 1e3}});
}

/// Time of a comparison by `watch`, for one group and for all groups.
void measure_compare(
    const bench::report& out, std::size_t hosts, std::size_t groups)
{
    const auto now = time_point{} + std::chrono::hours(1);
    const auto entries = make_hosts(hosts);
    std::vector<domain_report> reports(domains);
    for (std::size_t i = 0; i < hosts; ++i)
    {
        auto& report = reports[i % domains];
        report.failure_domain = domain_name(i % domains);
        report.written_at = now;
        report.hosts.push_back(make_report(entries[i], groups));
    }
    std::vector<resource_record> desired;
    desired.reserve(groups);
    for (std::size_t i = 0; i < groups; ++i)
    {
        group_resource group;
        group.name = fmt::format("group-{:05}", i);
        group.members = {{group.name + "-m0", "10.0.0.1:5400", "domain-0"}};
        desired.push_back({"group/" + group.name, 1'000'000, group});
    }
    const auto one = bench::microseconds_per_call(
        [&]
        {
            bench::do_not_optimize(
                compare(std::span(desired).first(1), entries, reports, now));
        });
    const auto all = bench::microseconds_per_call(
        [&]
        { bench::do_not_optimize(compare(desired, entries, reports, now)); });
    out.row(
        "compare", {{"hosts", hosts},
                    {"groups", groups},
                    {"one_group_ms", one / 1e3},
                    {"all_groups_ms", all / 1e3}});
}

// Payload bytes, without gRPC framing

/// Returns the number of reports that each rank sends: its own and those of
/// its subtree.
std::vector<std::size_t> subtree_sizes(const relay_tree& tree)
{
    std::vector<std::size_t> sizes(tree.hosts().size(), 1);
    for (std::size_t rank = sizes.size(); rank-- > 1;)
    {
        sizes[(rank - 1) / relay_fan_out] += sizes[rank];
    }
    return sizes;
}

struct traffic
{
    double in = 0;
    double out = 0;
};

/// Returns the Peer.Sync payload per second at one host of the tree.
traffic traffic_of(
    const relay_tree& tree, const std::vector<std::size_t>& sizes,
    std::size_t rank, std::size_t groups)
{
    const auto self = make_hosts(1).front();
    const auto record =
        size_of(make_reply(self, 1)) - size_of(make_reply(self, 0));
    const auto reply = syncs_per_second * size_of(make_reply(self, 0)) +
                       changes_per_second * record;
    const auto request = [&](std::size_t reports)
    { return syncs_per_second * size_of(make_request(self, reports, groups)); };
    traffic sum;
    if (rank > 0)
    {
        sum.out += request(sizes[rank]);
        sum.in += reply;
    }
    const auto children = tree.children_of(tree.hosts()[rank]);
    for (std::size_t i = 0; i < children.size(); ++i)
    {
        sum.in += request(sizes[rank * relay_fan_out + 1 + i]);
        sum.out += reply;
    }
    return sum;
}

void measure_traffic(
    const bench::report& out, std::size_t hosts, std::size_t groups)
{
    const auto tree = relay_tree::of_domain(make_hosts(hosts), domain_name(0));
    const auto sizes = subtree_sizes(tree);
    const auto last = sizes.size() - 1;
    const auto relay = std::min<std::size_t>(1, last);
    const auto print = [&](std::string_view role, std::size_t rank)
    {
        const auto sum = traffic_of(tree, sizes, rank, groups);
        out.row(
            role, {{"hosts", hosts},
                   {"groups_per_host", groups},
                   {"reports", sizes[rank]},
                   {"in_kb_s", sum.in / 1e3},
                   {"out_kb_s", sum.out / 1e3},
                   {"both_kb_s", (sum.in + sum.out) / 1e3}});
    };
    print("delegate", 0);
    print("relay", relay);
    print("leaf", last);

    v1::DomainReport report;
    report.set_failure_domain(domain_name(0));
    report.set_delegate(tree.hosts().front());
    report.set_written_at_ms(1'764'000'000'000ULL);
    const auto self = make_hosts(1).front();
    for (std::size_t i = 0; i < tree.hosts().size(); ++i)
    {
        control::to_protocol(make_report(self, groups), *report.add_hosts());
    }
    out.row(
        "domain_report", {{"hosts", hosts},
                          {"hosts_of_domain", tree.hosts().size()},
                          {"groups_per_host", groups},
                          {"bytes", size_of(report)},
                          {"of_1_mb_percent", size_of(report) / 1e4}});
}

} // namespace

int main(int argc, char** argv)
{
    const bench::report out(argc, argv);
    out.section("Host list and relay tree, CPU time");
    for (const std::size_t hosts : {100U, 1'000U, 2'900U})
    {
        measure_host_list(out, hosts);
    }
    out.section("Reports of one failure domain, CPU time");
    for (const std::size_t hosts : {10U, 100U, 290U})
    {
        for (const std::size_t groups : {3U, 31U, 310U})
        {
            measure_aggregator(out, hosts, groups);
        }
    }
    out.section("Comparison of desired and observed state");
    for (const std::size_t hosts : {100U, 1'000U, 2'900U})
    {
        measure_compare(out, hosts, 31);
    }
    out.section("Peer.Sync payload per host, 10 failure domains");
    for (const std::size_t hosts : {100U, 1'000U, 2'900U})
    {
        for (const std::size_t groups : {0U, 3U, 31U, 310U, 30'000U})
        {
            measure_traffic(out, hosts, groups);
        }
    }
    out.section("Single messages");
    const auto self = make_hosts(1).front();
    out.row(
        "bytes", {{"request_0_groups", size_of(make_request(self, 1, 0))},
                  {"request_3_groups", size_of(make_request(self, 1, 3))},
                  {"reply", size_of(make_reply(self, 0))},
                  {"reply_1_change", size_of(make_reply(self, 1))},
                  {"reply_30000_groups", size_of(make_reply(self, 30'000))}});
}
