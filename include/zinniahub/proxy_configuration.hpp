#pragma once

#include <zinniahub/customer_keys.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Which commits a read of a route must see.
enum class read_consistency
{
    /// Every acknowledged commit.
    latest,
    /// Commits acknowledged before the staleness bound.
    bounded_staleness,
    /// As `bounded_staleness`, and every commit of the session.
    read_your_writes
};

/// @brief Name for logs and metrics, for example "bounded_staleness".
constexpr std::string_view to_string(read_consistency consistency)
{
    switch (consistency)
    {
    case read_consistency::latest:
        return "latest";
    case read_consistency::bounded_staleness:
        return "bounded_staleness";
    case read_consistency::read_your_writes:
        return "read_your_writes";
    }
    return "unknown";
}

/// @brief Rules for the statements to one database.
struct route
{
    std::string database;
    std::string service;
    read_consistency consistency = read_consistency::latest;
    duration max_staleness{};
    /// Longest time for one statement.
    duration statement_timeout = std::chrono::seconds(1);
    /// Latency objective of a whole operation.
    duration target_latency = std::chrono::seconds(1);
    /// 0 is the highest.
    std::uint32_t priority = 0;
    /// Requests need no key.
    bool is_public = false;
};

struct service_definition
{
    std::string name;
    /// Connections that each member accepts from all hosts together.
    std::uint32_t max_connections = 1;
    /// Replicas that must have received a commit before it is acknowledged.
    std::uint32_t sync_replicas = 0;
};

struct customer_definition
{
    std::string name;
    /// Operations per second over all hosts.
    double rate_per_s = 0;
    /// Operations beyond the rate that may come at once.
    double burst = 0;
};

/// @brief One version of the declared state; immutable once published.
struct proxy_configuration
{
    std::uint64_t version = 0;
    std::map<std::string, route, std::less<>> routes;
    std::map<std::string, service_definition, std::less<>> services;
    std::map<std::string, customer_definition, std::less<>> customers;
    key_ring keys;
    /// Routes, services and customers that could not be decoded.
    std::size_t unreadable = 0;
    /// A transaction without a statement for this long may be ended.
    duration transaction_idle_limit = std::chrono::seconds(3);
};

using configuration_ptr = std::shared_ptr<const proxy_configuration>;

} // namespace zinniahub
