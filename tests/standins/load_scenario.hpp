#pragma once

#include "standins/load_statements.hpp"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace zinniahub::load
{

/// @brief One customer of a deployment and its workload.
struct customer_plan
{
    std::string name;
    /// Rate limit in requests per second, and burst in requests.
    double rate = 0;
    double burst = 0;
    /// Intended requests per second; a transaction is one request.
    double load = 0;
    std::size_t sessions = 1;
    /// All sessions use the same proxy, which changes every few seconds.
    bool concentrated = false;
    /// The customer sends ten times its rate during a part of the run.
    bool floods = false;
    /// Classes with their weights.
    std::vector<std::pair<const statement_class*, double>> mix;
};

/// @brief Failure domains, service and customers of a user.
struct deployment
{
    std::string name;
    std::vector<std::string> domains;
    std::size_t proxies = 0;
    std::chrono::microseconds caller_delay{0};
    std::vector<std::string> groups;
    std::size_t members = 3;
    int slots = 0;
    int connections = 0;
    int connect_ms = 0;
    int statement_ms = 0;
    int lag_ms = 0;
    std::vector<customer_plan> customers;
};

/// @brief One fault or operator action.
struct scenario_step
{
    /// Share of the planned duration, 0 to 1.
    double at = 0;
    std::string action;
    /// Group, proxy number, failure domain or customer; depends on the action.
    std::string target;
    /// Duration of an outage or flood as a share of the planned duration.
    double length = 0;
};

/// @brief A run: a deployment and the steps in order of time.
struct scenario
{
    std::string name;
    deployment environment;
    std::vector<scenario_step> steps;
    /// True if a step needs fault proxies on all links.
    bool needs_fault_proxies = false;
};

/// @brief Reads a scenario file and the deployment that it names.
/// @throws std::runtime_error with file, line and fault
scenario read_scenario(const std::string& path);

} // namespace zinniahub::load
