#pragma once

#include <zinniahub/error.hpp>

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::settings
{

enum class rates_strategy
{
    pooled,
    static_split
};

enum class reads_strategy
{
    fresh_replica,
    primary_only
};

enum class commit_strategy
{
    majority_ack,
    primary_ack
};

enum class connections_strategy
{
    shared,
    fixed_split
};

/// @brief Address that replaces the declared address of a member on this host.
struct member_route
{
    /// Name of the member.
    std::string member;
    /// IP:port
    std::string address;
};

/// @brief Address that replaces the announced peer address of a host.
struct peer_route
{
    /// Name of the host.
    std::string host;
    /// IP:port
    std::string address;
};

/// @brief Settings of one proxy. Addresses have the form IP:port; an IPv6
/// address is written in brackets. docs/configuration.md describes each key.
struct host_settings
{
    struct host_section
    {
        std::string name;
        std::string failure_domain;
        std::string caller_address;
        std::string peer_address;
        std::string metrics_address;
        std::uint32_t traffic_threads = 4;
    };

    struct platform_section
    {
        std::string address;
        std::chrono::milliseconds call_timeout{500};
    };

    struct limits_section
    {
        std::uint64_t max_statement_bytes = 1048576;
        std::chrono::milliseconds default_deadline{5000};
        std::chrono::milliseconds max_deadline{30000};
        std::uint32_t queue_per_customer = 256;
        std::uint32_t queue_total = 2048;
        std::chrono::seconds max_configuration_age{900};
        std::chrono::milliseconds token_wait{1000};
    };

    struct rates_section
    {
        rates_strategy strategy = rates_strategy::pooled;
        std::uint32_t seats = 8;
        std::uint32_t shards = 16;
    };

    struct routing_section
    {
        reads_strategy reads = reads_strategy::fresh_replica;
        commit_strategy commit = commit_strategy::majority_ack;
        connections_strategy connections = connections_strategy::shared;
    };

    struct drain_section
    {
        std::chrono::milliseconds announce{2000};
        std::chrono::milliseconds limit{30000};
    };

    struct relay_section
    {
        std::chrono::milliseconds sync_interval{500};
        std::uint32_t fan_out = 16;
    };

    host_section host;
    platform_section platform;
    limits_section limits;
    rates_section rates;
    routing_section routing;
    drain_section drain;
    relay_section relay;
    std::vector<member_route> member_routes;
    std::vector<peer_route> peer_routes;
};

/// @brief One error in a settings file.
struct settings_error
{
    /// One of the codes 7xx.
    errc code = errc::settings_syntax;
    std::string file;
    /// Counted from 1; 0 if the error has no location in the file.
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    /// Full name of the key, for example "limits.queue_total".
    std::string key;
    /// Value found at that location.
    std::string found;
    /// Values allowed there.
    std::string allowed;
};

template<typename T>
using settings_result = tl::expected<T, std::vector<settings_error>>;

/// @brief Reads a settings file.
/// @return the settings, or all errors of the file in the order of their
/// lines. A syntax error hides all others.
settings_result<host_settings> load(const std::filesystem::path& path);

/// @brief Reads settings from text.
/// @param file name used in error messages
settings_result<host_settings>
parse(std::string_view text, std::string_view file);

/// @brief Returns warnings about valid settings that weaken a guarantee.
std::vector<std::string> warnings_of(const host_settings& values);

/// @brief Formats an error as one line: file:line:column: code name: key ...
std::string format_error(const settings_error& fault);

} // namespace zinniahub::settings
