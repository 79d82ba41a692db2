#pragma once

#include "standins/load_driver.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniahub::load
{

/// @brief Outcomes and latency of one class of statements.
struct class_figures
{
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

/// @brief Requests of one customer and their success.
struct customer_figures
{
    std::string name;
    std::uint64_t requests = 0;
    std::uint64_t inside_rate = 0;
    std::uint64_t inside_rate_done = 0;
    bool flooding = false;

    double success() const
    {
        return inside_rate == 0 ? 1
                                : static_cast<double>(inside_rate_done) /
                                      static_cast<double>(inside_rate);
    }
};

/// @brief Figures of a run; docs/benchmarks.md defines each.
struct run_report
{
    std::string scenario;
    std::string baseline;
    std::uint64_t seed = 0;
    double seconds = 0;
    std::uint64_t requests = 0;
    std::uint64_t statements = 0;
    double replica_read_share = 0;
    double write_gap_ms = 0;
    double worst_customer_success = 1;
    std::uint64_t wrongful_refusals = 0;
    std::uint64_t inside_rate_requests = 0;
    std::optional<double> domain_success;
    double p50_ms = 0;
    double p99_ms = 0;
    violations found;
    double rate_excess = 0;
    double platform_calls_per_s = 0;
    std::uint64_t unclean_exits = 0;
    std::map<std::string, class_figures> outcomes;
    /// Number of failed requests by error name.
    std::map<std::string, std::uint64_t> failures;
    std::vector<customer_figures> customers;
    std::vector<std::string> events;

    bool is_correct() const
    {
        return found.lost == 0 && found.doubled == 0 &&
               found.stale_session_reads == 0 && found.false_not_run == 0 &&
               rate_excess <= 0;
    }
};

run_report make_report(
    const scenario& wanted, const run_options& options,
    const run_result& result);

/// @brief One JSON object.
std::string to_json(const run_report& report);

/// @brief Table with one column per report.
std::string to_table(const std::vector<run_report>& reports);

/// @brief Statements by class and outcome.
std::string to_class_table(const run_report& report);

/// @brief Value at a quantile of 0 to 1; 0 without values.
double quantile(std::vector<double> values, double share);

} // namespace zinniahub::load
