#include "support/soak_run.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <limits>

namespace zinniahub::test
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds grace_period = 6s;
constexpr milliseconds start_time = 200ms;
constexpr milliseconds heartbeat_interval = 1200ms;
constexpr std::size_t no_member = std::numeric_limits<std::size_t>::max();

std::int64_t unix_now()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

void soak_run::apply(const soak_event& event)
{
    auto& target = *proxies_[event.target % proxies_.size()];
    auto* replica = replica_slot(event.target);
    auto* primary = primary_slot();
    const auto now = steady_clock::now();
    const bool is_planned = event.fault == soak_fault::proxy_stop ||
                            event.fault == soak_fault::proxy_settings ||
                            event.fault == soak_fault::configuration ||
                            event.fault == soak_fault::member_replaced;
    if (!is_planned)
    {
        // Members that were cut off come back last.
        history_.faults.push_back({now, now + event.duration + 7s});
    }
    switch (event.fault)
    {
    case soak_fault::proxy_kill:
        kill_proxy(target, event.duration);
        break;
    case soak_fault::proxy_stop:
        stop_proxy(target, event.duration);
        break;
    case soak_fault::proxy_suspend:
        suspend_proxy(target, event.duration);
        break;
    case soak_fault::proxy_settings:
        change_settings(target, event.variant == 1);
        break;
    case soak_fault::configuration:
        configure(event.variant, event.duration);
        break;
    case soak_fault::store_outage:
        begin_outage(event);
        break;
    case soak_fault::registrations_expire:
    case soak_fault::member_cut_off:
        begin_outage(event);
        after(
            event.duration / 2, [this, event] { expire_registrations(event); });
        break;
    case soak_fault::history_dropped:
        platform_.store().compact();
        break;
    case soak_fault::primary_crash:
        if (primary != nullptr)
        {
            crash(*primary, event.duration);
        }
        break;
    case soak_fault::replica_crash:
        if (replica != nullptr)
        {
            crash(*replica, event.duration);
        }
        break;
    case soak_fault::replica_stalled:
        stall(replica, event.duration);
        if (event.variant == 1)
        {
            stall(replica_slot(event.target + 1), event.duration);
        }
        break;
    case soak_fault::member_replaced:
        replace(*slots_[event.target % slots_.size()], event.duration);
        break;
    case soak_fault::answers_lost:
    {
        const auto& member = *slots_[event.target % slots_.size()];
        if (!member.is_running)
        {
            break;
        }
        const auto index = member.index;
        platform_.member(index).lose_answers(true);
        after(
            event.duration,
            [this, index] { platform_.member(index).lose_answers(false); });
        break;
    }
    case soak_fault::orders_late:
        platform_.store().delay_orders(milliseconds(event.variant));
        ++late_orders_;
        after(
            event.duration,
            [this]
            {
                if (--late_orders_ == 0)
                {
                    platform_.store().delay_orders(0ms);
                }
            });
        break;
    }
}

std::size_t soak_run::index_of(const proxy& target) const
{
    const auto found = std::find_if(
        proxies_.begin(), proxies_.end(),
        [&target](const auto& entry) { return entry.get() == &target; });
    return static_cast<std::size_t>(found - proxies_.begin());
}

void soak_run::kill_proxy(proxy& target, milliseconds downtime)
{
    if (target.state == proxy_state::down)
    {
        return;
    }
    const auto now = steady_clock::now();
    history_.proxy_faults[index_of(target)].push_back({now, now + 100ms});
    target.host->child().kill();
    target.state = proxy_state::down;
    target.in_rotation = false;
    after(downtime, [this, &target] { restart_proxy(target); });
}

void soak_run::stop_proxy(proxy& target, milliseconds downtime)
{
    if (target.state != proxy_state::running)
    {
        return;
    }
    target.host->child().terminate();
    target.state = proxy_state::stopping;
    target.stop_began = steady_clock::now();
    target.was_suspended_in_stop = target.is_suspended;
    target.downtime = downtime;
    history_.proxy_stops[index_of(target)].push_back(
        {target.stop_began, target.stop_began + grace_period + 1s});
    const auto start = target.start;
    // Two ready probes miss.
    after(
        2s,
        [&target, start]
        {
            if (target.start == start)
            {
                target.in_rotation = false;
            }
        });
}

void soak_run::suspend_proxy(proxy& target, milliseconds duration)
{
    if (target.state == proxy_state::down || target.is_suspended)
    {
        return;
    }
    const auto now = steady_clock::now();
    history_.proxy_faults[index_of(target)].push_back({now, now + duration});
    target.host->child().freeze();
    target.is_suspended = true;
    target.was_suspended_in_stop = true;
    const auto start = target.start;
    after(
        duration,
        [&target, start]
        {
            if (target.start == start && target.state != proxy_state::down)
            {
                target.host->child().resume();
                target.is_suspended = false;
            }
        });
}

void soak_run::change_settings(proxy& target, bool is_signalled)
{
    target.host->write_settings(
        static_cast<unsigned>(numbers_.between(4000, 6000)));
    if (is_signalled && target.state != proxy_state::down)
    {
        target.host->child().hang_up();
    }
}

void soak_run::restart_proxy(proxy& target)
{
    target.host->restart();
    target.started = steady_clock::now();
    target.state = proxy_state::running;
    target.is_suspended = false;
    target.was_suspended_in_stop = false;
    const auto start = ++target.start;
    after(
        500ms,
        [&target, start]
        {
            if (target.start == start)
            {
                target.in_rotation = true;
            }
        });
}

void soak_run::watch_proxy(proxy& target)
{
    if (target.state == proxy_state::down)
    {
        return;
    }
    const auto now = steady_clock::now();
    const auto code = target.host->child().wait(0ms);
    const auto name = fmt::format("proxy {}", index_of(target));
    if (target.state == proxy_state::running)
    {
        if (code)
        {
            history_.findings.push_back(
                fmt::format("ENDED {} by itself with code {}", name, *code));
            target.state = proxy_state::down;
            after(500ms, [this, &target] { restart_proxy(target); });
        }
        return;
    }
    if (code)
    {
        // A process that has just started does not handle signals yet.
        const bool is_new = target.stop_began < target.started + start_time;
        if (*code != 0 && !(is_new && *code == 128 + SIGTERM))
        {
            history_.findings.push_back(fmt::format(
                "ENDED {} with code {} after SIGTERM, {:.3f} s after its "
                "start",
                name, *code,
                std::chrono::duration<double>(
                    target.stop_began - target.started)
                    .count()));
        }
        history_.proxy_stops[index_of(target)].back().to = now;
        target.state = proxy_state::down;
        target.in_rotation = false;
        after(target.downtime, [this, &target] { restart_proxy(target); });
    }
    else if (now > target.stop_began + grace_period)
    {
        if (!target.was_suspended_in_stop)
        {
            history_.findings.push_back(fmt::format(
                "ENDED {} still runs at the end of the grace period", name));
        }
        kill_proxy(target, target.downtime);
    }
}

void soak_run::configure(unsigned versions, milliseconds interval)
{
    if (is_store_down_)
    {
        return;
    }
    version_ += static_cast<unsigned>(numbers_.between(1, 5));
    has_second_key_ = !has_second_key_;
    const auto sent = steady_clock::now();
    write_configuration();
    history_.second_key.emplace_back(sent, has_second_key_);
    if (versions > 1)
    {
        after(
            interval,
            [this, versions, interval] { configure(versions - 1, interval); });
    }
}

void soak_run::begin_outage(const soak_event& event)
{
    is_store_down_ = true;
    outage_end_ = std::max(outage_end_, steady_clock::now() + event.duration);
    platform_.store().set_fault(
        static_cast<hosted_store::fault>(event.variant));
}

void soak_run::end_outage()
{
    is_store_down_ = false;
    platform_.store().set_fault(hosted_store::fault::none);
}

void soak_run::expire_registrations(const soak_event& event)
{
    for (std::size_t number = 0; number < slots_.size(); ++number)
    {
        auto& entry = *slots_[number];
        if (entry.is_registered)
        {
            platform_.remove_member(entry.index);
        }
        entry.is_registered = false;
        auto silence = milliseconds(numbers_.between(0, 1900));
        if (event.fault == soak_fault::member_cut_off &&
            number == event.target % slots_.size())
        {
            silence += milliseconds(numbers_.between(500, 5000));
        }
        entry.silent_until = outage_end_ + silence;
    }
}

void soak_run::crash(slot& target, milliseconds downtime)
{
    if (!target.is_running)
    {
        return;
    }
    target.is_running = false;
    const auto index = target.index;
    platform_.member(index).crash();
    after(
        downtime,
        [this, &target, index]
        {
            if (target.index != index)
            {
                return;
            }
            platform_.member(index).restart();
            target.is_running = true;
            target.born = unix_now();
            target.silent_until =
                std::max(target.silent_until, steady_clock::now() + 200ms);
        });
}

void soak_run::stall(slot* target, milliseconds duration)
{
    if (target == nullptr)
    {
        return;
    }
    const auto index = target->index;
    platform_.set_receiving(index, false);
    after(duration, [this, index] { platform_.set_receiving(index, true); });
}

void soak_run::replace(slot& target, milliseconds leaving_time)
{
    const auto leaving = std::count_if(
        slots_.begin(), slots_.end(),
        [](const auto& entry) { return entry->is_leaving; });
    if (!target.is_running || target.is_leaving || leaving > 1)
    {
        return;
    }
    target.is_leaving = true;
    target.is_leaving_accepted = false;
    target.leaving_time = leaving_time;
}

void soak_run::send_heartbeat(slot& target)
{
    const auto now = steady_clock::now();
    if (!target.is_running)
    {
        if (target.is_registered &&
            now > target.last_heartbeat + 3 * heartbeat_interval)
        {
            platform_.remove_member(target.index);
            target.is_registered = false;
        }
        return;
    }
    const bool is_primary = platform_.primary() == target.index;
    const bool is_new = !target.is_registered ||
                        is_primary != target.is_primary ||
                        (target.is_leaving && !target.is_leaving_accepted);
    const bool is_due = now >= target.last_heartbeat + heartbeat_interval;
    if (is_store_down_ || now < target.silent_until || (!is_new && !is_due))
    {
        return;
    }
    platform_.register_member(target.index, target.is_leaving, target.born);
    target.is_registered = true;
    target.is_primary = is_primary;
    target.last_heartbeat = now;
    if (!target.is_leaving || target.is_leaving_accepted)
    {
        return;
    }
    target.is_leaving_accepted = true;
    after(
        target.leaving_time,
        [this, &target]
        {
            // The platform may remove the registration of a member that ended.
            platform_.retire(target.index);
            history_.member_ends.push_back(steady_clock::now());
            target.is_running = false;
            target.is_registered = false;
            const auto old = target.index;
            target.index = no_member;
            after(
                milliseconds(numbers_.between(300, 1500)),
                [this, &target, old]
                {
                    target.index = platform_.start_successor(old);
                    target.is_running = true;
                    target.is_leaving = false;
                    target.born = unix_now();
                    target.silent_until =
                        steady_clock::now() +
                        milliseconds(numbers_.between(50, 900));
                });
        });
}

soak_run::slot* soak_run::primary_slot()
{
    const auto primary = platform_.primary();
    for (auto& entry : slots_)
    {
        if (entry->index == primary)
        {
            return entry.get();
        }
    }
    return nullptr;
}

soak_run::slot* soak_run::replica_slot(unsigned number)
{
    std::vector<slot*> replicas;
    for (auto& entry : slots_)
    {
        if (entry->is_running && entry->index != platform_.primary())
        {
            replicas.push_back(entry.get());
        }
    }
    return replicas.empty() ? nullptr : replicas[number % replicas.size()];
}

} // namespace zinniahub::test
