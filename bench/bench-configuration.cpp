#include "control/resource_codec.hpp"
#include "report.hpp"

#include <zinniahub/configuration.hpp>

#include <optional>
#include <string>

namespace
{

using namespace zinniahub;

constexpr std::size_t customers = 2000;

group_resource make_group(std::size_t index)
{
    group_resource group;
    group.name = fmt::format("group-{:05}", index);
    group.uid = index + 1;
    group.slots = 3;
    group.connection_limit = 20;
    for (std::size_t member = 0; member < 3; ++member)
    {
        group.members.push_back(
            {fmt::format("group-{:05}-m{}", index, member),
             fmt::format("10.{}.{}.{}:5400", member, index / 250, index % 250),
             fmt::format("domain-{}", (index + member) % 10), false});
    }
    return group;
}

customer_resource make_customer(std::size_t index)
{
    customer_resource customer;
    customer.name = fmt::format("customer-{:04}", index);
    customer.rate = 1000;
    customer.burst = 1000;
    auto digest = fmt::format("{:032}", index);
    customer.keys.push_back({"first", std::move(digest)});
    return customer;
}

/// Creates a store with the given number of groups.
configuration_store make_store(std::size_t groups)
{
    configuration_store store;
    std::uint64_t revision = 0;
    for (std::size_t i = 0; i < groups; ++i)
    {
        const auto group = make_group(i);
        store.apply("group/" + group.name, ++revision, group);
    }
    for (std::size_t i = 0; i < customers; ++i)
    {
        auto customer = make_customer(i);
        store.apply("customer/" + customer.name, ++revision, customer);
    }
    store.set_revision(revision);
    return store;
}

void measure(const bench::report& out, std::size_t groups)
{
    const auto before_store = bench::heap_bytes();
    auto store = make_store(groups);
    const auto store_bytes = bench::heap_bytes() - before_store;

    const auto before_snapshot = bench::heap_bytes();
    auto snapshot = store.shared_snapshot();
    const auto snapshot_bytes = bench::heap_bytes() - before_snapshot;

    std::size_t next = 0;
    const auto apply = bench::microseconds_per_call(
        [&]
        {
            const auto group = make_group(next++ % groups);
            const auto revision = store.revision() + 1;
            store.apply("group/" + group.name, revision, group);
            store.set_revision(revision);
        });
    const auto make = bench::microseconds_per_call(
        [&] { bench::do_not_optimize(make_group(0)); });
    const auto changes = bench::microseconds_per_call(
        [&]
        { bench::do_not_optimize(store.changes_after(store.revision() - 1)); });
    const auto no_changes = bench::microseconds_per_call(
        [&] { bench::do_not_optimize(store.changes_after(store.revision())); });
    const auto snapshots = bench::microseconds_per_call(
        [&] { snapshot = store.shared_snapshot(); });

    out.row(
        "configuration", {{"groups", groups},
                          {"customers", customers},
                          {"apply_us", apply - make},
                          {"changes_after_us", changes},
                          {"no_changes_us", no_changes},
                          {"snapshot_us", snapshots},
                          {"store_mb", store_bytes / 1e6},
                          {"snapshot_mb", snapshot_bytes / 1e6}});
}

} // namespace

int main(int argc, char** argv)
{
    const bench::report out(argc, argv);
    out.section("Time per configuration change and memory use");
    for (const std::size_t groups : {1'000U, 10'000U, 30'000U})
    {
        measure(out, groups);
    }
}
