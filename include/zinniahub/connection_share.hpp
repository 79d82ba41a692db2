#pragma once

#include <zinniahub/time.hpp>

#include <cstdint>
#include <memory>

namespace zinniahub
{

/// @brief Usage of one member's connections as observed by one host.
struct connection_usage
{
    /// Connections the member accepts from all hosts.
    std::uint32_t limit = 0;
    /// Connections of all hosts according to the member's last status.
    std::uint32_t open_total = 0;
    /// Connections of this host, including those being opened.
    std::uint32_t open_own = 0;
    /// Connections of this host that are idle.
    std::uint32_t idle_own = 0;
    /// Requests of this host that are waiting for a connection to the member.
    std::uint32_t waiting_own = 0;
    /// Number of live hosts that may use the member, at least 1.
    std::uint32_t hosts = 1;
    /// Last time the member refused a connection of this host.
    time_point refused_at{};
    /// Time at which the longest-idle connection became idle.
    time_point idle_since = never;
};

/// @brief Decides how many connections to a member a host keeps open. The
/// member enforces its limit by refusing connections, so the strategy affects
/// only efficiency and fairness, not correctness.
class connection_strategy
{
public:
    virtual ~connection_strategy() = default;
    /// @brief Number of connections to open now.
    virtual std::uint32_t
    to_open(const connection_usage& usage, time_point now) const = 0;
    /// @brief Number of idle connections to close now.
    virtual std::uint32_t
    to_close(const connection_usage& usage, time_point now) const = 0;
};

/// @brief Baseline: each host opens at most max(1, limit / hosts).
std::unique_ptr<connection_strategy> make_fixed_split_strategy();

/// @brief Each host may always open its floor of max(1, limit / hosts)
/// connections, and more while the member has free connections. Idle
/// connections above the floor are closed after 500 ms, or immediately when the
/// member is full.
std::unique_ptr<connection_strategy> make_shared_strategy();

} // namespace zinniahub
