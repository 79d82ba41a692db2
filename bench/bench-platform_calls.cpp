#include "control/ownership.hpp"
#include "control/report_codec.hpp"
#include "kv/keys.hpp"
#include "report.hpp"

#include <algorithm>
#include <string>

namespace
{

using namespace zinniahub;

constexpr double domains = 10;
constexpr double changes_per_second = 0.88;
constexpr double shards = 16;
constexpr double seats = 8;

// Intervals from src/control/fleet_sync.cpp and configuration_sync.cpp.
constexpr double announces_per_second = 0.5;
constexpr double lists_per_second = 0.5;
constexpr double reports_per_second = 1;
constexpr double watches_per_second = 1;

double per_second(std::chrono::milliseconds interval)
{
    return 1000.0 / static_cast<double>(interval.count());
}

double list_bytes(std::size_t hosts)
{
    v1::ListHostsReply reply;
    for (std::size_t i = 0; i < hosts; ++i)
    {
        control::to_protocol(
            host_entry{
                fmt::format("entry-{:04}", i), fmt::format("domain-{}", i % 10),
                fmt::format("10.9.{}.{}:7400", i / 250, i % 250),
                (1'764'000'000'000ULL << 16U) + i, false},
            *reply.add_hosts());
    }
    return static_cast<double>(reply.ByteSizeLong());
}

double owner_table_bytes()
{
    v1::RangeReply reply;
    for (std::size_t i = 0;
         i < static_cast<std::size_t>(shards + domains + seats); ++i)
    {
        v1::Ownership owner;
        owner.set_host("entry-1234");
        owner.set_incarnation(1'764'000'000'000ULL << 16U);
        owner.set_peer_address("10.9.100.100:7400");
        auto* entry = reply.add_entries();
        entry->set_key(kv::key_of(kv::delegate_prefix, i));
        entry->set_value(owner.SerializeAsString());
        entry->set_revision(1'000'000);
        entry->set_lease(1'000'000);
    }
    return static_cast<double>(reply.ByteSizeLong());
}

void measure(const bench::report& out, std::size_t hosts)
{
    const auto count = static_cast<double>(hosts);
    const auto renewals = per_second(control::ownership::renewal_interval);
    const auto seat_renewals =
        seats * per_second(control::ownership::seat_renewal_interval);
    // Upper bound: only hosts that own a shard or the delegate role hold an
    // owner lease.
    const auto owners = std::min(count, shards + domains);
    const auto keep_alives = owners * renewals + seat_renewals;
    const auto announces = count * announces_per_second;
    const auto reports = domains * reports_per_second;
    const auto owner_reads = count * renewals;
    const auto lists = count * lists_per_second;
    // A change completes a pending watch before its timeout.
    const auto watches = domains * (watches_per_second + changes_per_second);
    const auto writes = announces + keep_alives + reports + changes_per_second;
    const auto reads = owner_reads + lists + watches;
    const auto list_rate = lists_per_second * list_bytes(hosts);
    const auto table_rate = renewals * owner_table_bytes();
    out.row(
        "platform_calls", {{"hosts", count},
                           {"announces_s", announces},
                           {"keep_alives_s", keep_alives},
                           {"reports_s", reports},
                           {"writes_s", writes},
                           {"owner_reads_s", owner_reads},
                           {"lists_s", lists},
                           {"watches_s", watches},
                           {"reads_s", reads},
                           {"list_kb_s_per_host", list_rate / 1e3},
                           {"owner_table_kb_s_per_host", table_rate / 1e3}});
}

} // namespace

int main(int argc, char** argv)
{
    const bench::report out(argc, argv);
    out.section("Platform calls per second with the current intervals");
    for (const std::size_t hosts : {8U, 100U, 1'000U, 2'900U})
    {
        measure(out, hosts);
    }
}
