#include "standins/load_report.hpp"

#include "operator/json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

namespace zinniahub::load
{

namespace
{

namespace json = commands::json;

/// Tolerance for floating-point rounding; an excess below it counts as 0.
constexpr double excess_rounding = 1e-6;

double milliseconds_of(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

double latency_of(const request_record& request)
{
    return milliseconds_of(request.finished - request.intended);
}

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

void add_outcomes(run_report& report, const run_result& result)
{
    std::map<std::string, std::vector<double>> by_class;
    std::vector<double> all;
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    for (const auto& request : result.history)
    {
        const std::string name(request.kind->name);
        auto& figures = report.outcomes[name];
        ++report.requests;
        report.statements +=
            static_cast<std::uint64_t>(request.kind->tokens()) +
            (request.kind->is_transaction() ? 1 : 0);
        if (request.outcome != verdict::done)
        {
            ++(request.outcome == verdict::not_run ? figures.not_run
                                                   : figures.unknown);
            ++report.failures[std::string(to_string(request.code))];
            continue;
        }
        ++figures.done;
        reads += request.kind->is_read() ? 1 : 0;
        replica_reads += request.from_replica ? 1 : 0;
        by_class[name].push_back(latency_of(request));
        all.push_back(latency_of(request));
    }
    for (auto& [name, latencies] : by_class)
    {
        report.outcomes[name].p50_ms = quantile(latencies, 0.5);
        report.outcomes[name].p99_ms = quantile(latencies, 0.99);
    }
    report.replica_read_share = ratio(replica_reads, reads);
    report.p50_ms = quantile(all, 0.5);
    report.p99_ms = quantile(std::move(all), 0.99);
}

void add_customers(
    run_report& report, const deployment& environment, const run_result& result)
{
    for (const auto& customer : environment.customers)
        report.customers.push_back({customer.name});
    for (const auto index : result.flooding)
        report.customers[index].flooding = true;
    std::vector<std::vector<admission>> admitted(environment.customers.size());
    for (const auto& request : result.history)
    {
        auto& figures = report.customers[request.customer];
        ++figures.requests;
        auto& all = admitted[request.customer];
        all.insert(all.end(), request.admitted.begin(), request.admitted.end());
        if (!request.inside_rate)
            continue;
        ++figures.inside_rate;
        figures.inside_rate_done += request.outcome == verdict::done ? 1 : 0;
        if (figures.flooding)
            continue;
        ++report.inside_rate_requests;
        report.wrongful_refusals += request.outcome == verdict::not_run ? 1 : 0;
    }
    for (std::size_t i = 0; i < environment.customers.size(); ++i)
    {
        const auto& plan = environment.customers[i];
        if (!report.customers[i].flooding)
            report.worst_customer_success = std::min(
                report.worst_customer_success, report.customers[i].success());
        const auto excess =
            rate_excess(std::move(admitted[i]), plan.rate, plan.burst);
        if (excess > excess_rounding)
            report.rate_excess = std::max(report.rate_excess, excess);
    }
}

/// Longest time without an acknowledged write in any one group.
double write_gap_of(const deployment& environment, const run_result& result)
{
    duration longest{0};
    for (const auto& group : environment.groups)
    {
        std::vector<time_point> times{result.ended};
        for (const auto& request : result.history)
            if (request.group == group && !request.kind->is_read() &&
                request.outcome == verdict::done &&
                request.finished < result.ended)
                times.push_back(request.finished);
        std::sort(times.begin(), times.end());
        for (std::size_t i = 1; i < times.size(); ++i)
            longest = std::max<duration>(longest, times[i] - times[i - 1]);
    }
    return milliseconds_of(longest);
}

std::optional<double> domain_success_of(const run_result& result)
{
    if (!result.window)
        return std::nullopt;
    std::uint64_t wanted = 0;
    std::uint64_t done = 0;
    for (const auto& request : result.history)
    {
        const bool counts =
            request.inside_rate && request.intended >= result.window->begin &&
            request.intended < result.window->end &&
            result.proxy_domains[request.first_proxy] != result.window->domain;
        wanted += counts ? 1 : 0;
        done += counts && request.outcome == verdict::done ? 1 : 0;
    }
    return ratio(done, wanted);
}

json::value class_to_json(const class_figures& figures)
{
    return json::object(
        {{"done", json::number(figures.done)},
         {"not_run", json::number(figures.not_run)},
         {"unknown", json::number(figures.unknown)},
         {"p50_ms", json::number(figures.p50_ms)},
         {"p99_ms", json::number(figures.p99_ms)}});
}

json::value outcomes_to_json(const run_report& report)
{
    std::vector<std::pair<std::string_view, json::value>> members;
    for (const auto& [name, figures] : report.outcomes)
        members.emplace_back(name, class_to_json(figures));
    return json::object(members);
}

json::value failures_to_json(const run_report& report)
{
    std::vector<std::pair<std::string_view, json::value>> members;
    for (const auto& [name, count] : report.failures)
        members.emplace_back(name, json::number(count));
    return json::object(members);
}

json::value customers_to_json(const run_report& report)
{
    std::vector<json::value> elements;
    for (const auto& customer : report.customers)
        elements.push_back(json::object(
            {{"name", json::string(customer.name)},
             {"requests", json::number(customer.requests)},
             {"inside_rate", json::number(customer.inside_rate)},
             {"inside_rate_done", json::number(customer.inside_rate_done)},
             {"flooding", json::boolean(customer.flooding)}}));
    return json::array(elements);
}

struct table_row
{
    std::string_view name;
    std::string (*value)(const run_report& report);
};

std::string fixed(double value)
{
    return fmt::format("{:.1f}", value);
}

std::string percent(double value)
{
    return fmt::format("{:.2f} %", value * 100);
}

const table_row table_rows[] = {
    {"requests",
     [](const run_report& of) { return fmt::to_string(of.requests); }},
    {"statements",
     [](const run_report& of) { return fmt::to_string(of.statements); }},
    {"replica_read_share",
     [](const run_report& of) { return percent(of.replica_read_share); }},
    {"write_gap_ms",
     [](const run_report& of) { return fixed(of.write_gap_ms); }},
    {"worst_customer_success",
     [](const run_report& of) { return percent(of.worst_customer_success); }},
    {"wrongful_refusals",
     [](const run_report& of) { return fmt::to_string(of.wrongful_refusals); }},
    {"inside_rate_requests", [](const run_report& of)
     { return fmt::to_string(of.inside_rate_requests); }},
    {"domain_success", [](const run_report& of)
     { return of.domain_success ? percent(*of.domain_success) : "-"; }},
    {"p50_ms", [](const run_report& of) { return fixed(of.p50_ms); }},
    {"p99_ms", [](const run_report& of) { return fixed(of.p99_ms); }},
    {"lost",
     [](const run_report& of) { return fmt::to_string(of.found.lost); }},
    {"doubled",
     [](const run_report& of) { return fmt::to_string(of.found.doubled); }},
    {"stale_session_reads", [](const run_report& of)
     { return fmt::to_string(of.found.stale_session_reads); }},
    {"false_not_run", [](const run_report& of)
     { return fmt::to_string(of.found.false_not_run); }},
    {"rate_excess", [](const run_report& of) { return fixed(of.rate_excess); }},
    {"platform_calls_per_s",
     [](const run_report& of) { return fixed(of.platform_calls_per_s); }},
    {"unclean_exits",
     [](const run_report& of) { return fmt::to_string(of.unclean_exits); }},
};

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

run_report make_report(
    const scenario& wanted, const run_options& options,
    const run_result& result)
{
    run_report report;
    report.scenario = wanted.name;
    report.baseline = options.baseline.empty() ? "default" : options.baseline;
    report.seed = options.seed;
    report.seconds =
        std::chrono::duration<double>(result.ended - result.started).count();
    add_outcomes(report, result);
    add_customers(report, wanted.environment, result);
    report.write_gap_ms = write_gap_of(wanted.environment, result);
    report.domain_success = domain_success_of(result);
    report.found = check_history(result.history, result.rows);
    report.platform_calls_per_s = result.platform_calls / report.seconds;
    report.unclean_exits = result.unclean_exits;
    report.events = result.events;
    return report;
}

std::string to_json(const run_report& report)
{
    return json::to_text(json::object(
        {{"scenario", json::string(report.scenario)},
         {"baseline", json::string(report.baseline)},
         {"seed", json::number(report.seed)},
         {"seconds", json::number(report.seconds)},
         {"requests", json::number(report.requests)},
         {"statements", json::number(report.statements)},
         {"replica_read_share", json::number(report.replica_read_share)},
         {"write_gap_ms", json::number(report.write_gap_ms)},
         {"worst_customer_success",
          json::number(report.worst_customer_success)},
         {"wrongful_refusals", json::number(report.wrongful_refusals)},
         {"inside_rate_requests", json::number(report.inside_rate_requests)},
         {"domain_success", report.domain_success
                                ? json::number(*report.domain_success)
                                : json::value()},
         {"p50_ms", json::number(report.p50_ms)},
         {"p99_ms", json::number(report.p99_ms)},
         {"lost", json::number(report.found.lost)},
         {"doubled", json::number(report.found.doubled)},
         {"stale_session_reads",
          json::number(report.found.stale_session_reads)},
         {"false_not_run", json::number(report.found.false_not_run)},
         {"rate_excess", json::number(report.rate_excess)},
         {"rate_excess_by", json::string("admission_interval")},
         {"platform_calls_per_s", json::number(report.platform_calls_per_s)},
         {"unclean_exits", json::number(report.unclean_exits)},
         {"domain_delay", json::string("not simulated")},
         {"outcomes", outcomes_to_json(report)},
         {"failures", failures_to_json(report)},
         {"customers", customers_to_json(report)},
         {"events", json::strings(report.events)},
         {"violations", json::strings(report.found.details)}}));
}

std::string to_table(const std::vector<run_report>& reports)
{
    std::string text = fmt::format("{:24}", "");
    for (const auto& report : reports)
        text += fmt::format("{:>20}", report.baseline);
    for (const auto& row : table_rows)
    {
        text += fmt::format("\n{:24}", row.name);
        for (const auto& report : reports)
            text += fmt::format("{:>20}", row.value(report));
    }
    return text + "\n";
}

std::string to_class_table(const run_report& report)
{
    auto text = fmt::format(
        "{:18}{:>8}{:>10}{:>10}{:>10}{:>10}\n", "class", "done", "not run",
        "unknown", "p50 ms", "p99 ms");
    for (const auto& [name, figures] : report.outcomes)
        text += fmt::format(
            "{:18}{:>8}{:>10}{:>10}{:>10.1f}{:>10.1f}\n", name, figures.done,
            figures.not_run, figures.unknown, figures.p50_ms, figures.p99_ms);
    return text;
}

} // namespace zinniahub::load
