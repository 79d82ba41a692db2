#include "report.hpp"
#include "zinniahub/v1/member.pb.h"

#include <zinniahub/promotion.hpp>

#include <string>
#include <vector>

namespace
{

using namespace zinniahub;

constexpr std::size_t members = 3;
/// A member sends its status every 200 ms.
constexpr double statuses_per_second = 5;
/// Tick interval of src/serve/proxy_server.cpp.
constexpr double ticks_per_second = 20;

group_definition make_definition(std::size_t index)
{
    group_definition definition;
    definition.name = fmt::format("group-{:05}", index);
    definition.uid = index + 1;
    for (std::size_t i = 0; i < members; ++i)
    {
        definition.members.push_back(
            {fmt::format("{}-m{}", definition.name, i),
             fmt::format("10.{}.{}.{}:5400", i, index / 250, index % 250),
             fmt::format("domain-{}", (index + i) % 10), true});
    }
    return definition;
}

/// The group monitors of one host, with a current status of every member.
class host_monitors
{
public:
    explicit host_monitors(std::size_t groups)
    {
        for (std::size_t i = 0; i < groups; ++i)
        {
            monitors_.push_back(
                *group_monitor::make(make_definition(i), {}, now_));
        }
        for (std::size_t i = 0; i < members * groups; ++i)
        {
            receive_status();
        }
    }

    /// Processes a status of the next member.
    void receive_status()
    {
        const auto index = next_status_ % monitors_.size();
        const auto member = next_status_ / monitors_.size() % members;
        ++next_status_;
        auto& monitor = monitors_[index];
        const auto& definition = monitor.definition();
        member_status status;
        status.group_uid = definition.uid;
        status.role = member == 0 ? member_role::primary : member_role::replica;
        status.term = 1;
        status.primary = definition.members[0].name;
        status.position = {1, next_status_};
        // Each member sends one status per 200 ms for any number of groups.
        now_ += std::chrono::nanoseconds(
            200'000'000 / (members * monitors_.size()));
        bench::do_not_optimize(monitor.on_status(member, status, now_));
    }

    void tick()
    {
        bench::do_not_optimize(
            monitors_[next_tick_++ % monitors_.size()].on_tick(now_));
    }

private:
    time_point now_ = time_point{} + std::chrono::hours(1);
    std::vector<group_monitor> monitors_;
    std::size_t next_status_ = 0;
    std::size_t next_tick_ = 0;
};

double status_bytes()
{
    v1::MemberStatus status;
    status.set_group_uid(12345);
    status.set_name("group-12345-m1");
    status.set_term(7);
    status.set_primary("group-12345-m0");
    status.mutable_position()->set_term(7);
    status.mutable_position()->set_index(1'000'000'000);
    status.set_primary_silent_ms(150);
    status.set_connections(20);
    status.set_connection_limit(20);
    return static_cast<double>(status.ByteSizeLong());
}

void measure(const bench::report& out, std::size_t groups)
{
    const auto before = bench::heap_bytes();
    host_monitors monitors(groups);
    const auto bytes = bench::heap_bytes() - before;
    const auto status =
        bench::microseconds_per_call([&] { monitors.receive_status(); });
    const auto tick = bench::microseconds_per_call([&] { monitors.tick(); });
    const auto count = static_cast<double>(groups);
    const auto statuses = count * members * statuses_per_second;
    out.row(
        "group_monitor",
        {{"groups", count},
         {"on_status_us", status},
         {"on_tick_us", tick},
         {"core_percent",
          (statuses * status + count * ticks_per_second * tick) / 1e4},
         {"heap_mb", bytes / 1e6},
         {"kb_per_group", bytes / 1e3 / count},
         {"statuses_s", statuses},
         {"status_kb_s", statuses * status_bytes() / 1e3}});
}

} // namespace

int main(int argc, char** argv)
{
    const bench::report out(argc, argv);
    out.section("Group monitors of one host, 3 members, 5 statuses/s each");
    for (const std::size_t groups : {10U, 100U, 1'000U, 30'000U})
    {
        measure(out, groups);
    }
    out.row("status", {{"bytes", status_bytes()}});
}
