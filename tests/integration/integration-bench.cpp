#include "support/process.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace
{

using zinniahub::test::run_command;

// Guards against a load driver that no longer starts the fleet, omits a result
// or reports a violation in a run without faults.
TEST(bench, steady_scenario_ends_with_status_0_and_all_figures)
{
    const auto path = std::filesystem::temp_directory_path() /
                      ("zinniahub-bench-" + std::to_string(::getpid()));
    const std::string scenario =
        std::string(ZINNIAHUB_SOURCE_DIR) + "/scenarios/studio-steady.toml";
    const auto run = run_command(
        {ZINNIAHUB_STANDIN_BINARY, "load", "--scenario", scenario, "--seed",
         "1", "--seconds", "5", "--json", path.string()});
    EXPECT_EQ(run.exit_code, 0) << run.output;
    std::ostringstream json;
    json << std::ifstream(path).rdbuf();
    std::filesystem::remove(path);
    for (const auto* field :
         {"scenario", "seed", "statements", "replica_read_share",
          "write_gap_ms", "worst_customer_success", "wrongful_refusals",
          "inside_rate_requests", "domain_success", "p50_ms", "p99_ms",
          "platform_calls_per_s", "outcomes"})
        EXPECT_NE(
            json.str().find("\"" + std::string(field) + "\":"),
            std::string::npos)
            << field << "\n"
            << json.str();
    for (const auto* count :
         {"lost", "doubled", "stale_session_reads", "false_not_run",
          "rate_excess"})
        EXPECT_NE(
            json.str().find("\"" + std::string(count) + "\":0,"),
            std::string::npos)
            << count << "\n"
            << json.str();
}

} // namespace
