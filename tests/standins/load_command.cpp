#include "standins/commands.hpp"
#include "standins/control_port.hpp"
#include "standins/load_report.hpp"

#include <fmt/format.h>
#include <popt.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace zinniahub::standin
{

namespace
{

/// Exit status if a check of the run failed.
constexpr int check_failed = 3;

std::atomic<bool> stopped = false;

struct load_options
{
    std::string scenario;
    std::string json_path;
    std::string baseline;
    std::uint64_t seed = 1;
    std::chrono::seconds seconds{20};
    bool compare = false;
    bool brief = false;
};

std::string to_text(const char* value)
{
    return value == nullptr ? "" : value;
}

load_options parse_load_options(int argc, const char** argv)
{
    char* scenario = nullptr;
    char* json_path = nullptr;
    char* baseline = nullptr;
    long seed = 1;
    long seconds = 20;
    int compare = 0;
    int brief = 0;
    const poptOption table[] = {
        {"scenario", 0, POPT_ARG_STRING, &scenario, 0, "scenario file", "FILE"},
        {"seed", 0, POPT_ARG_LONG, &seed, 0, "seed of the schedule", "N"},
        {"seconds", 0, POPT_ARG_LONG, &seconds, 0, "planned duration", "S"},
        {"json", 0, POPT_ARG_STRING, &json_path, 0, "file for the figures",
         "FILE"},
        {"baseline", 0, POPT_ARG_STRING, &baseline, 0,
         "static-split, primary-only-reads, fixed-connections or primary-ack",
         "NAME"},
        {"compare", 0, POPT_ARG_NONE, &compare, 0,
         "run the default and all baselines", nullptr},
        {"brief", 0, POPT_ARG_NONE, &brief, 0, "print a short table", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    parse_options(argc, argv, table);
    load_options options;
    options.scenario = to_text(scenario);
    options.json_path = to_text(json_path);
    options.baseline = to_text(baseline);
    options.seed = static_cast<std::uint64_t>(seed);
    options.seconds = std::chrono::seconds(seconds);
    options.compare = compare != 0;
    options.brief = brief != 0;
    if (options.scenario.empty() || seconds <= 0)
        throw std::invalid_argument("--scenario or --seconds is missing");
    return options;
}

load::run_report run_once(
    const load::scenario& wanted, const load_options& options,
    const std::string& baseline)
{
    load::run_options run;
    run.seed = options.seed;
    run.seconds = options.seconds;
    run.baseline = baseline;
    run.stop = &stopped;
    return load::make_report(wanted, run, load::run_scenario(wanted, run));
}

void write_json(
    const std::string& path, const std::vector<load::run_report>& reports)
{
    if (path.empty())
        return;
    std::ofstream file(path);
    const bool is_list = reports.size() > 1;
    file << (is_list ? "[" : "");
    for (std::size_t i = 0; i < reports.size(); ++i)
        file << (i == 0 ? "" : ",\n") << load::to_json(reports[i]);
    file << (is_list ? "]\n" : "\n");
    if (!file.flush())
        throw std::runtime_error("cannot write " + path);
}

void print_brief(const load::run_report& report)
{
    fmt::print(
        "\n{}\nreplica share of reads    {:.1f} %\n"
        "longest gap in writes     {:.0f} ms\n"
        "lost                      {}\n"
        "doubled                   {}\n"
        "stale reads in a session  {}\n",
        load::to_class_table(report), report.replica_read_share * 100,
        report.write_gap_ms, report.found.lost, report.found.doubled,
        report.found.stale_session_reads);
    for (const auto& detail : report.found.details)
        fmt::print("{}\n", detail);
}

void print(const std::vector<load::run_report>& reports)
{
    const auto& first = reports.front();
    fmt::print(
        "\n{} seed {} {:.1f} s\n{}\n{}\n", first.scenario, first.seed,
        first.seconds, load::to_class_table(first), load::to_table(reports));
    for (const auto& report : reports)
        for (const auto& detail : report.found.details)
            fmt::print("{}: {}\n", report.baseline, detail);
    for (const auto& [name, count] : first.failures)
        fmt::print("failed with {}: {}\n", name, count);
}

} // namespace

int run_load(int argc, const char** argv)
{
    const auto options = parse_load_options(argc, argv);
    // The fleet must be stopped before the driver ends.
    std::signal(SIGINT, [](int) { stopped = true; });
    std::signal(SIGTERM, [](int) { stopped = true; });
    const auto wanted = load::read_scenario(options.scenario);
    std::vector<load::run_report> reports{
        run_once(wanted, options, options.baseline)};
    if (options.compare)
        for (const auto& name : load::baseline_names())
            if (!stopped)
                reports.push_back(run_once(wanted, options, name));
    if (options.brief)
        print_brief(reports.front());
    else
        print(reports);
    write_json(options.json_path, reports);
    // A baseline may lack a guarantee, so only the first run determines the
    // exit status.
    return reports.front().is_correct() ? 0 : check_failed;
}

} // namespace zinniahub::standin
