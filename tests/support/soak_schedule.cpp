#include "support/soak_schedule.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace zinniahub::test
{

namespace
{

using std::chrono::milliseconds;

/// How often a fault is drawn, and how long it lasts.
struct fault_kind
{
    soak_fault fault;
    const char* name;
    unsigned weight;
    unsigned shortest_ms;
    unsigned longest_ms;
    bool planned;
    bool of_members;
    bool of_store;
};

constexpr fault_kind kinds[] = {
    {soak_fault::proxy_kill, "proxy_kill", 3, 50, 2500, false, true, true},
    {soak_fault::proxy_stop, "proxy_stop", 4, 50, 1500, true, false, true},
    {soak_fault::proxy_suspend, "proxy_suspend", 2, 300, 4000, false, true,
     false},
    {soak_fault::proxy_settings, "proxy_settings", 2, 0, 0, true, false, false},
    {soak_fault::configuration, "configuration", 3, 50, 400, true, false, true},
    {soak_fault::store_outage, "store_outage", 3, 300, 5000, false, false,
     true},
    {soak_fault::registrations_expire, "registrations_expire", 2, 1000, 5000,
     false, true, true},
    {soak_fault::member_cut_off, "member_cut_off", 1, 1000, 4000, false, true,
     true},
    {soak_fault::history_dropped, "history_dropped", 1, 0, 0, false, false,
     true},
    {soak_fault::primary_crash, "primary_crash", 3, 300, 5000, false, true,
     false},
    {soak_fault::replica_crash, "replica_crash", 2, 300, 5000, false, true,
     false},
    {soak_fault::replica_stalled, "replica_stalled", 4, 500, 6000, false, true,
     true},
    {soak_fault::member_replaced, "member_replaced", 2, 7000, 10000, true, true,
     false},
    {soak_fault::answers_lost, "answers_lost", 1, 300, 2000, false, true,
     false},
    {soak_fault::orders_late, "orders_late", 2, 500, 5000, false, true, false},
};

bool is_drawn(const fault_kind& kind, soak_profile profile)
{
    switch (profile)
    {
    case soak_profile::planned:
        return kind.planned;
    case soak_profile::members:
        return kind.of_members;
    case soak_profile::store:
        return kind.of_store;
    case soak_profile::mixed:
        break;
    }
    return true;
}

unsigned variant_of(soak_fault fault, seeded_numbers& numbers)
{
    switch (fault)
    {
    case soak_fault::proxy_settings:
        return static_cast<unsigned>(numbers.between(0, 1));
    case soak_fault::configuration:
    case soak_fault::store_outage:
    case soak_fault::registrations_expire:
    case soak_fault::member_cut_off:
        return static_cast<unsigned>(numbers.between(1, 5));
    case soak_fault::replica_stalled:
        return numbers.chance(30) ? 1 : 0;
    case soak_fault::orders_late:
        return static_cast<unsigned>(numbers.between(300, 3000));
    default:
        return 0;
    }
}

const fault_kind& draw(soak_profile profile, seeded_numbers& numbers)
{
    unsigned total = 0;
    for (const auto& kind : kinds)
    {
        total += is_drawn(kind, profile) ? kind.weight : 0;
    }
    auto left = numbers.between(1, total);
    for (const auto& kind : kinds)
    {
        const unsigned weight = is_drawn(kind, profile) ? kind.weight : 0;
        if (left <= weight)
        {
            return kind;
        }
        left -= weight;
    }
    return kinds[0];
}

} // namespace

std::uint64_t seeded_numbers::next()
{
    state_ += 0x9e3779b97f4a7c15U;
    auto value = state_;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::uint64_t seeded_numbers::between(std::uint64_t low, std::uint64_t high)
{
    return low + next() % (high - low + 1);
}

bool seeded_numbers::chance(std::uint64_t percent)
{
    return between(1, 100) <= percent;
}

soak_profile profile_of(std::uint64_t seed)
{
    return static_cast<soak_profile>(seed % 4);
}

const char* to_string(soak_profile profile)
{
    constexpr const char* names[] = {"mixed", "planned", "members", "store"};
    return names[static_cast<int>(profile)];
}

std::vector<soak_event>
soak_schedule(std::uint64_t seed, milliseconds length, unsigned proxies)
{
    constexpr unsigned members = 3;
    seeded_numbers numbers(seed);
    const auto profile = profile_of(seed);
    std::vector<soak_event> out;
    milliseconds at{500};
    while (at < length)
    {
        const auto& kind = draw(profile, numbers);
        soak_event event;
        event.at = at;
        event.fault = kind.fault;
        event.duration =
            milliseconds(numbers.between(kind.shortest_ms, kind.longest_ms));
        event.variant = variant_of(kind.fault, numbers);
        // Some faults of proxies hit all of them at short intervals.
        const bool is_proxy = kind.fault == soak_fault::proxy_kill ||
                              kind.fault == soak_fault::proxy_stop;
        const bool hits_all = is_proxy && numbers.chance(25);
        const unsigned hits = hits_all ? proxies : 1;
        const auto first = numbers.between(0, is_proxy ? proxies : members);
        const auto pause = numbers.between(0, 1500 / proxies);
        for (unsigned hit = 0; hit < hits; ++hit)
        {
            event.target = static_cast<unsigned>(first + hit);
            out.push_back(event);
            event.at += milliseconds(pause);
        }
        // Hosts restart and replicas stall about the time at which
        // registrations come back.
        const bool is_expiry = kind.fault == soak_fault::registrations_expire ||
                               kind.fault == soak_fault::member_cut_off;
        if (is_expiry && numbers.chance(60))
        {
            const auto end = at + event.duration;
            out.push_back(
                {at, soak_fault::replica_stalled,
                 static_cast<unsigned>(numbers.between(0, members)),
                 event.duration + milliseconds(numbers.between(500, 4000)), 0});
            for (unsigned hit = 0; hit < proxies; ++hit)
            {
                out.push_back(
                    {end + milliseconds(numbers.between(0, 400)),
                     soak_fault::proxy_kill, hit,
                     milliseconds(numbers.between(50, 400)), 0});
            }
        }
        // Faults come close together or after a rest.
        at += milliseconds(
            numbers.chance(60) ? numbers.between(0, 600)
                               : numbers.between(600, 3000));
    }
    std::stable_sort(
        out.begin(), out.end(),
        [](const soak_event& left, const soak_event& right)
        { return left.at < right.at; });
    return out;
}

std::string to_string(const soak_event& event)
{
    const auto* kind = std::find_if(
        std::begin(kinds), std::end(kinds),
        [&event](const fault_kind& entry)
        { return entry.fault == event.fault; });
    return fmt::format(
        "{:6.2f} s {} target {} for {} ms variant {}",
        static_cast<double>(event.at.count()) / 1000, kind->name, event.target,
        event.duration.count(), event.variant);
}

} // namespace zinniahub::test
