// Cases of the review that run as scripts: see review/*/claim.txt.
//
// usage: cases CASE RECORD; the variable TROUBLE=0 leaves the disruption out.
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

#include "deployment.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <exception>
#include <string_view>

using namespace std::chrono_literals;
using review::deployment;
using review::recorder;
using zinniahub::test::replicated_log;

namespace
{

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// "1,000 ms a promote", SYSTEM.md, databases of booth-ledger.
constexpr auto promotion_time = 1000ms;

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

int verdict(recorder& record, deployment& system)
{
    system.read_lost_items();
    if (system.acknowledged() < 50)
    {
        record.write("too few acknowledged writes for a verdict");
        return could_not_run;
    }
    record.write(fmt::format(
        "{} acknowledged writes, {} lost", system.acknowledged(),
        system.lost()));
    return system.lost() > 0 ? rule_broken : rule_held;
}

/// The primary is partitioned from its replicas for 5 s. The holder of the duty
/// gets SIGTERM 300 ms after its order to promote a replica was accepted, and
/// is started again.
int hand_over(recorder& record)
{
    deployment system(record, 3, 3, promotion_time);
    auto& platform = system.platform();
    if (!system.wait_until_ready())
    {
        record.write("the hosts are not ready");
        return could_not_run;
    }
    // Members that are in another part of the network than the primary receive
    // nothing from it.
    std::atomic<bool> is_cut{false};
    system.on_primary = [&](const std::string& instance, replicated_log& log)
    {
        for (auto& [name, member] : log.members)
        {
            const bool apart = (name == "i-0") != (instance == "i-0");
            member.deaf = is_cut && apart;
        }
    };
    const auto set_cut = [&](bool value)
    {
        const std::lock_guard lock(platform.log().mutex);
        is_cut = value;
        const bool first_leads = platform.log().primary_locked() == "i-0";
        for (auto& [name, member] : platform.log().members)
        {
            member.deaf = value && (name == "i-0") != first_leads;
        }
        platform.log().replicate_locked();
    };
    system.start_clients(2);
    // An incomplete replication group is completed after 5 s.
    std::this_thread::sleep_for(8s);
    if (!with_trouble())
    {
        std::this_thread::sleep_for(8s);
        system.stop_clients();
        return verdict(record, system);
    }
    record.write("i-0 is cut off from i-1 and i-2");
    set_cut(true);
    const auto cut_at = std::chrono::steady_clock::now();
    deployment::order first;
    if (!system.wait_for_order(4s, first))
    {
        record.write("no promotion was ordered");
        return could_not_run;
    }
    std::this_thread::sleep_for(300ms);
    auto* holder = system.host(first.holder);
    record.write(fmt::format("SIGTERM to {}", holder->name()));
    holder->child().terminate();
    std::this_thread::sleep_until(cut_at + 5s);
    record.write("the cut heals");
    set_cut(false);
    const bool exited = holder->child().wait(7s).has_value();
    record.write(fmt::format(
        "{} {}", holder->name(), exited ? "exited" : "did not exit"));
    holder->start();
    std::this_thread::sleep_for(3s);
    system.stop_clients();
    return verdict(record, system);
}

/// A primary leaves as planned. The member that is to take over leaves too,
/// 300 ms after the order to promote it was accepted.
int release(recorder& record)
{
    deployment system(record, 3, 4, promotion_time);
    if (!system.wait_until_ready())
    {
        record.write("the hosts are not ready");
        return could_not_run;
    }
    system.start_clients(2);
    std::this_thread::sleep_for(8s);
    if (!with_trouble())
    {
        std::this_thread::sleep_for(8s);
        system.stop_clients();
        return verdict(record, system);
    }
    system.drain(0);
    deployment::order first;
    if (!system.wait_for_order(5s, first))
    {
        record.write("no promotion was ordered");
        return could_not_run;
    }
    std::this_thread::sleep_for(300ms);
    system.drain(std::stoul(first.instance.substr(2)));
    std::this_thread::sleep_for(6s);
    system.stop_clients();
    return verdict(record, system);
}

/// Only the holder of the duty is partitioned from the primary. While its
/// accepted order takes effect, the candidate receives nothing and the paused
/// replica restarts.
int replica_restart(recorder& record)
{
    deployment system(record, 3, 3, promotion_time);
    auto& platform = system.platform();
    if (!system.wait_until_ready())
    {
        record.write("the hosts are not ready");
        return could_not_run;
    }
    const auto holder = system.wait_for_holder(5s);
    if (holder.empty())
    {
        record.write("no host took the duty");
        return could_not_run;
    }
    // Clients of the holder's host could not reach the primary either.
    system.start_clients(3, holder);
    std::this_thread::sleep_for(8s);
    if (!with_trouble())
    {
        std::this_thread::sleep_for(6s);
        system.stop_clients();
        return verdict(record, system);
    }
    record.write(fmt::format("{} is cut off from i-0", holder));
    platform.member(0).ignore_control(true);
    deployment::order first;
    if (!system.wait_for_order(5s, first))
    {
        record.write("no promotion was ordered");
        return could_not_run;
    }
    const auto candidate = std::stoul(first.instance.substr(2));
    const auto other = candidate == 1 ? 2U : 1U;
    record.write(fmt::format("i-{} receives nothing", candidate));
    platform.set_receiving(candidate, false);
    record.write(fmt::format("i-{} crashes", other));
    platform.member(other).crash();
    std::this_thread::sleep_for(500ms);
    record.write(fmt::format("i-{} is back", other));
    platform.member(other).restart();
    std::this_thread::sleep_for(3s);
    record.write(fmt::format("i-{} receives again, the cut heals", candidate));
    platform.set_receiving(candidate, true);
    platform.member(0).ignore_control(false);
    std::this_thread::sleep_for(2s);
    system.stop_clients();
    return verdict(record, system);
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 3)
    {
        return could_not_run;
    }
    recorder record(arguments[2]);
    try
    {
        const std::string_view name = arguments[1];
        if (name == "hand_over")
        {
            return hand_over(record);
        }
        if (name == "replica_restart")
        {
            return replica_restart(record);
        }
        if (name == "release")
        {
            return release(record);
        }
    }
    catch (const std::exception& failure)
    {
        record.write(failure.what());
    }
    return could_not_run;
}
