#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace zinniahub::test
{

/// @brief Generator of the same numbers on every machine (splitmix64).
class seeded_numbers
{
public:
    explicit seeded_numbers(std::uint64_t seed)
        : state_(seed)
    {
    }

    std::uint64_t next();
    /// @brief A number from `low` to `high`, both included.
    std::uint64_t between(std::uint64_t low, std::uint64_t high);
    bool chance(std::uint64_t percent);

private:
    std::uint64_t state_;
};

enum class soak_fault
{
    proxy_kill,
    /// SIGTERM, then SIGKILL after the grace period.
    proxy_stop,
    proxy_suspend,
    /// The settings file changes; `variant` 1: with SIGHUP.
    proxy_settings,
    /// `variant` configuration versions in quick succession, each of which
    /// withdraws or gives a key.
    configuration,
    /// `variant` is a `hosted_store::fault`.
    store_outage,
    /// As `store_outage`, and the registrations of all members expire; each
    /// comes back up to 2 s after the outage.
    registrations_expire,
    /// As `registrations_expire`; the member `target` stays cut off from the
    /// store for up to 5 s more.
    member_cut_off,
    history_dropped,
    primary_crash,
    replica_crash,
    /// The replica receives nothing; `variant` 1: both do.
    replica_stalled,
    /// The member announces its end, ends, and its log goes to a successor.
    member_replaced,
    answers_lost,
    /// Orders to promote get no reply and are carried out `variant` ms later.
    orders_late
};

struct soak_event
{
    std::chrono::milliseconds at{};
    soak_fault fault{};
    /// Taken modulo the number of proxies or members.
    unsigned target = 0;
    std::chrono::milliseconds duration{};
    unsigned variant = 0;
};

/// @brief Which faults a schedule draws from.
enum class soak_profile
{
    mixed,
    /// Stops, restarts, settings, configurations and replacements only.
    planned,
    members,
    store
};

soak_profile profile_of(std::uint64_t seed);
const char* to_string(soak_profile profile);

/// @brief The faults of a seed in order of time; depends on the arguments only.
std::vector<soak_event> soak_schedule(
    std::uint64_t seed, std::chrono::milliseconds length, unsigned proxies);

std::string to_string(const soak_event& event);

} // namespace zinniahub::test
