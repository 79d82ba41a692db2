#include "../tests/support/rate_simulation.hpp"

#include <fmt/format.h>

#include <string_view>

namespace
{

using zinniahub::rate_strategy;
using zinniahub::time_point;
using zinniahub::tests::rate_simulation;

void print_outcome(
    std::string_view strategy, std::string_view name,
    const rate_simulation::outcome& result)
{
    fmt::print(
        "{:<13}{:<34}{:>10}{:>10}{:>12.3f}{:>12.1f}\n", strategy, name,
        result.within_limit, result.taken,
        100 * result.wrongful_refusal_ratio(), result.excess);
}

rate_simulation::settings
settings_with_target(std::uint32_t (*target)(std::uint64_t, time_point))
{
    rate_simulation::settings values;
    values.target = target;
    return values;
}

void run_load_cases(std::string_view name, const rate_strategy& strategy)
{
    auto values = settings_with_target(zinniahub::tests::one_host);
    print_outcome(name, "one host", rate_simulation(strategy, values).run());
    for (const double burst : {250.0, 125.0, 60.0})
    {
        values.limit.burst = burst;
        print_outcome(
            name, fmt::format("one host, burst {}", burst),
            rate_simulation(strategy, values).run());
    }
    values = settings_with_target(zinniahub::tests::one_host);
    values.limit = {40, 20};
    print_outcome(
        name, "one host, rate 40, burst 20",
        rate_simulation(strategy, values).run());
    values = settings_with_target(zinniahub::tests::moving_host);
    print_outcome(
        name, "moving every 2 s", rate_simulation(strategy, values).run());
    values = settings_with_target(zinniahub::tests::all_hosts);
    print_outcome(name, "spread", rate_simulation(strategy, values).run());
    values.load = 10;
    print_outcome(
        name, "flood at 10x", rate_simulation(strategy, values).run());
}

void run_host_failures(std::string_view name, const rate_strategy& strategy)
{
    auto values = settings_with_target(zinniahub::tests::all_hosts);
    values.host_fails_at = time_point{} + std::chrono::seconds(10);
    print_outcome(name, "holder dies", rate_simulation(strategy, values).run());
    values.owner_fails_at = values.host_fails_at;
    print_outcome(
        name, "holder and owner die", rate_simulation(strategy, values).run());
    print_outcome(
        name, "host dies, 8 customers",
        zinniahub::tests::run_host_failure(strategy, 1));
}

} // namespace

int main()
{
    fmt::print(
        "{:<13}{:<34}{:>10}{:>10}{:>12}{:>12}\n", "strategy", "case", "inside",
        "taken", "wrongful %", "excess");
    for (const auto& [name, strategy] :
         {std::pair<std::string_view, const rate_strategy&>{
              "static_split", zinniahub::static_split_strategy()},
          {"pooled", zinniahub::pooled_strategy()}})
    {
        run_load_cases(name, strategy);
        run_host_failures(name, strategy);
    }
}
