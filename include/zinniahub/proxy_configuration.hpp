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

/// @brief Read consistency level of a route.
enum class read_consistency
{
    /// Reads see every acknowledged commit.
    latest,
    /// Reads see every commit that was acknowledged at least `max_staleness`
    /// ago.
    bounded_staleness,
    /// As `bounded_staleness`; reads also see every commit of the session.
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

/// @brief Maps a database to a service and sets the rules for its statements.
struct route
{
    std::string database;
    std::string service;
    read_consistency consistency = read_consistency::latest;
    duration max_staleness{};
    /// Maximum execution time of a statement.
    duration statement_timeout = std::chrono::seconds(1);
    /// Latency objective of a whole operation.
    duration target_latency = std::chrono::seconds(1);
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// True if requests without a key are accepted.
    bool is_public = false;
};

struct service_definition
{
    std::string name;
    /// Maximum number of connections to each member, over all hosts.
    std::uint32_t max_connections = 1;
    /// Replicas that must have received a commit before it is acknowledged.
    std::uint32_t sync_replicas = 0;
};

struct customer_definition
{
    std::string name;
    /// Sustained operation limit per second, over all hosts.
    double rate_per_s = 0;
    /// Operations above the rate that are accepted at once.
    double burst = 0;
};

/// @brief Version of the desired configuration; immutable once published.
struct proxy_configuration
{
    std::uint64_t version = 0;
    std::map<std::string, route, std::less<>> routes;
    std::map<std::string, service_definition, std::less<>> services;
    std::map<std::string, customer_definition, std::less<>> customers;
    key_ring keys;
    /// Number of routes, services and customers that could not be decoded.
    std::size_t unreadable = 0;
    /// A transaction that stays idle for this time may be ended.
    duration transaction_idle_limit = std::chrono::seconds(3);
};

using configuration_ptr = std::shared_ptr<const proxy_configuration>;

} // namespace zinniahub
