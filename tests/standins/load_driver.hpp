#pragma once

#include "standins/load_checker.hpp"
#include "standins/load_scenario.hpp"

#include <atomic>
#include <optional>
#include <string>

namespace zinniahub::load
{

/// @brief Options of a scenario run.
struct run_options
{
    std::uint64_t seed = 1;
    std::chrono::seconds seconds{20};
    /// Empty for the default strategies.
    std::string baseline;
    /// Set by a signal handler; stops the run early.
    const std::atomic<bool>* stop = nullptr;
};

/// @brief Time in which a failure domain was out of service or cut off.
struct domain_window
{
    std::string domain;
    time_point begin;
    time_point end = never;
};

/// @brief Raw data recorded during a run.
struct run_result
{
    std::vector<request_record> history;
    group_rows rows;
    std::vector<std::string> proxy_domains;
    std::optional<domain_window> window;
    /// Customers whose load exceeds their rate by design of the scenario.
    std::vector<std::size_t> flooding;
    time_point started;
    time_point ended;
    double platform_calls = 0;
    /// Proxies that did not exit with status 0 after SIGTERM.
    std::uint64_t unclean_exits = 0;
    std::vector<std::string> events;
};

/// @brief Names of the baselines.
const std::vector<std::string>& baseline_names();

/// @brief Starts the fleet, runs the workload and the steps, and collects the
/// data of the primaries. All processes have ended when it returns.
/// @throws std::runtime_error if the fleet does not start or a step fails
run_result run_scenario(const scenario& wanted, const run_options& options);

} // namespace zinniahub::load
