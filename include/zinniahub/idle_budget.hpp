#pragma once

#include <zinniahub/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Part of one host in the idle connections to the members of one
/// service.
class idle_share
{
public:
    /// A host that shares the members with no other one.
    idle_share() = default;
    /// @param member_limit connections that each member accepts from all hosts
    /// @param hosts that share the members, at least 1
    /// @param rank of this host among them, in an order that all hosts compute
    /// alike; none if this host is not among them
    idle_share(
        std::uint32_t member_limit, std::size_t hosts,
        std::optional<std::size_t> rank);

    /// @brief Idle connections that this host may keep to a member.
    /// @param index of the member among those of the service, in an order that
    /// all hosts compute alike
    std::uint32_t allowance(std::size_t index) const;

private:
    std::uint64_t half_ = 0;
    std::uint64_t hosts_ = 1;
    std::optional<std::uint64_t> rank_ = 0;
};

/// @brief Divides the idle connections that members can spare among hosts. A
/// host has one budget for the members of all services.
///
/// Load: many hosts share a member that accepts fewer connections than there
/// are hosts, for example 66 hosts and 56 connections, and a connection serves
/// one customer only. All hosts together keep at most half of what each member
/// accepts, so that the other half is free for requests, and for hosts that
/// restart while the members still hold the connections of their last run.
///
/// Half of a member's limit, divided by the hosts, leaves a remainder. It goes
/// to one host each, to other hosts for each member of a service, so that a
/// host keeps connections to some members although its part of each one is
/// below 1. The hosts need not talk: they compute the same order of hosts.
class idle_budget
{
public:
    /// Idle time after which any connection is closed.
    static constexpr duration idle_limit = std::chrono::seconds(20);
    /// Idle time after which a connection beyond the allowance is closed.
    static constexpr duration surplus_idle_limit =
        std::chrono::milliseconds(200);
    /// Idle time after which a connection may give way to one of another
    /// customer at no cost: its customer sends at most one request in this time
    /// here, so that replacing it costs as many set-ups as it saves.
    static constexpr duration replaceable_after = std::chrono::seconds(2);

    /// @param own this host
    /// @param hosts registered hosts, whether or not this one is among them
    /// @return false if nothing has changed
    bool set_hosts(std::string own, std::vector<std::string> hosts);

    /// @brief Number of hosts that share the members, at least 1.
    std::size_t host_count() const;
    /// @brief True if this host is registered, so that it may take a remainder.
    bool is_registered() const;

    /// @brief Part of this host in the members of a service.
    /// Complexity: O(number of hosts).
    idle_share
    share_of(std::string_view service, std::uint32_t member_limit) const;

private:
    std::string own_;
    std::vector<std::string> hosts_;
};

} // namespace zinniahub
