#include "report.hpp"
#include "zinniahub/v1/peer.pb.h"

#include <zinniahub/rate_share.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

using namespace zinniahub;

/// Tick interval of src/serve/proxy_server.cpp.
constexpr std::chrono::milliseconds demand_interval{50};
constexpr double demands_per_second = 20;
/// Default setting.
constexpr std::size_t shards = 16;

/// Time of a demand at the owner if each holder sends one every 50 ms.
double microseconds_per_demand(std::size_t hosts)
{
    auto now = time_point{} + std::chrono::hours(1);
    auto owner = *token_pool::make({10'000, 10'000}, {}, now, now);
    std::size_t next = 0;
    return bench::microseconds_per_call(
        [&]
        {
            now += demand_interval / hosts;
            bench::do_not_optimize(owner.on_demand(
                next % hosts + 1, next / hosts + 1, {2, 0, 2}, now));
            ++next;
        });
}

double owner_kb(std::size_t hosts)
{
    auto now = time_point{} + std::chrono::hours(1);
    const auto before = bench::heap_bytes();
    auto owner = *token_pool::make({10'000, 10'000}, {}, now, now);
    for (std::size_t i = 0; i < hosts; ++i)
    {
        owner.on_demand(i + 1, 1, {0, 0, 2}, now);
    }
    return (bench::heap_bytes() - before) / 1e3;
}

double microseconds_per_collect()
{
    auto now = time_point{} + std::chrono::hours(1);
    token_holder holder(now);
    return bench::microseconds_per_call(
        [&]
        {
            now += demand_interval;
            holder.note_request(now);
            holder.on_grant(2, now + token_lifetime, now);
            bench::do_not_optimize(holder.try_take(now));
            bench::do_not_optimize(holder.make_demand(now, true));
        });
}

/// Returns the payload of a Peer.Tokens call for a number of customers.
double call_bytes(std::size_t customers)
{
    v1::TokensRequest request;
    request.set_host("entry-1234");
    request.set_incarnation(1'764'000'000'000ULL << 16U);
    request.set_sequence(1'000'000);
    v1::TokensReply reply;
    reply.set_owner(true);
    for (std::size_t i = 0; i < customers; ++i)
    {
        auto* demand = request.add_demands();
        demand->set_customer(fmt::format("customer-{:04}", i));
        demand->set_settled(2);
        demand->set_wanted(2);
        demand->set_held(2);
        auto* grant = reply.add_grants();
        grant->set_customer(demand->customer());
        grant->set_granted(2);
    }
    return static_cast<double>(request.ByteSizeLong() + reply.ByteSizeLong());
}

void measure(const bench::report& out, std::size_t customers, std::size_t hosts)
{
    // Customers are spread over the shards, and shards over the hosts.
    const auto owners = std::min({customers, hosts, shards});
    const auto per_owner = (customers + owners - 1) / owners;
    const auto bytes = call_bytes(per_owner) * demands_per_second;
    const auto demand = microseconds_per_demand(hosts);
    const auto demands = static_cast<double>(per_owner * hosts);
    out.row(
        "rates",
        {{"customers", customers},
         {"hosts", hosts},
         {"on_demand_us", demand},
         {"holder_core_percent", microseconds_per_collect() *
                                     static_cast<double>(customers) *
                                     demands_per_second / 1e4},
         {"holder_calls_s", static_cast<double>(owners) * demands_per_second},
         {"holder_kb_s", bytes * static_cast<double>(owners) / 1e3},
         {"owner_core_percent", demands * demands_per_second * demand / 1e4},
         {"owner_calls_s", static_cast<double>(hosts) * demands_per_second},
         {"owner_kb_s", bytes * static_cast<double>(hosts) / 1e3},
         {"owner_heap_mb",
          owner_kb(hosts) * static_cast<double>(per_owner) / 1e3}});
}

} // namespace

int main(int argc, char** argv)
{
    const bench::report out(argc, argv);
    out.section("Rate holders and owners, every customer active on every host");
    for (const std::size_t customers : {8U, 100U, 1'000U})
    {
        for (const std::size_t hosts : {8U, 100U, 2'900U})
        {
            measure(out, customers, hosts);
        }
    }
}
