#include "standins/load_scenario.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <stdexcept>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace zinniahub::load
{

namespace
{

/// Sufficient for 1,500 requests/s that each wait 1 s for a rate token.
constexpr std::size_t flood_sessions = 1500;

constexpr std::string_view actions[] = {
    "kill-primary", "rejoin-member", "kill-proxy",     "start-proxy",
    "outage",       "domain-out",    "domain-in",      "cut-domain",
    "heal-domain",  "flood",         "replace-proxies"};

[[noreturn]] void
fail_at(const std::string& path, const toml::node* node, std::string_view what)
{
    const auto line = node == nullptr ? 0U : node->source().begin.line;
    throw std::runtime_error(fmt::format("{}:{}: {}", path, line, what));
}

toml::table parse_file(const std::string& path)
{
    auto parsed = toml::parse_file(path);
    if (!parsed)
        throw std::runtime_error(fmt::format(
            "{}:{}: {}", path, parsed.error().source().begin.line,
            parsed.error().description()));
    return std::move(parsed).table();
}

/// @brief Reads values of one table and reports missing ones.
class table_reader
{
public:
    table_reader(const std::string& path, const toml::table& table)
        : path_(path)
        , table_(table)
    {
    }

    template<typename Value>
    Value get(std::string_view key) const
    {
        const auto value = table_[key].value<Value>();
        if (!value)
            fail_at(path_, &table_, fmt::format("{} is missing", key));
        return *value;
    }

    template<typename Value>
    Value get_or(std::string_view key, Value fallback) const
    {
        return table_[key].value_or(fallback);
    }

    int integer(std::string_view key) const
    {
        return static_cast<int>(get<std::int64_t>(key));
    }

    std::vector<std::string> strings(std::string_view key) const
    {
        std::vector<std::string> values;
        if (const auto* array = table_[key].as_array())
            for (const auto& item : *array)
                values.push_back(item.value_or(std::string()));
        if (values.empty())
            fail_at(path_, &table_, fmt::format("{} is missing", key));
        return values;
    }

    std::vector<table_reader> tables(std::string_view key) const
    {
        std::vector<table_reader> found;
        if (const auto* array = table_[key].as_array())
            for (const auto& item : *array)
                if (const auto* table = item.as_table())
                    found.emplace_back(path_, *table);
        return found;
    }

    const toml::table& table() const
    {
        return table_;
    }

    [[noreturn]] void fail(std::string_view what) const
    {
        fail_at(path_, &table_, what);
    }

private:
    const std::string& path_;
    const toml::table& table_;
};

customer_plan read_customer(const table_reader& input)
{
    customer_plan customer;
    customer.name = input.get<std::string>("name");
    customer.rate = input.get<double>("rate");
    customer.burst = input.get<double>("burst");
    customer.load = input.get<double>("load");
    customer.sessions = static_cast<std::size_t>(input.integer("sessions"));
    customer.concentrated = input.get_or("concentrated", false);
    if (const auto* mix = input.table()["mix"].as_table())
        for (const auto& [name, weight] : *mix)
        {
            const auto* kind = find_class(name.str());
            if (kind == nullptr)
                input.fail(
                    fmt::format("unknown statement class {}", name.str()));
            customer.mix.emplace_back(kind, weight.value_or(0.0));
        }
    if (customer.mix.empty() || customer.sessions == 0)
        input.fail("mix or sessions is empty");
    return customer;
}

deployment read_deployment(const std::string& path)
{
    const auto file = parse_file(path);
    const table_reader input(path, file);
    deployment environment;
    environment.name = input.get<std::string>("name");
    environment.domains = input.strings("domains");
    environment.proxies = static_cast<std::size_t>(input.integer("proxies"));
    environment.caller_delay = std::chrono::microseconds(
        static_cast<std::int64_t>(input.get<double>("caller_delay_ms") * 1000));
    environment.groups = input.strings("groups");
    environment.members = static_cast<std::size_t>(input.integer("members"));
    environment.slots = input.integer("slots");
    environment.connections = input.integer("connections");
    environment.connect_ms = input.integer("connect_ms");
    environment.statement_ms = input.integer("statement_ms");
    environment.lag_ms = input.integer("lag_ms");
    for (const auto& customer : input.tables("customer"))
        environment.customers.push_back(read_customer(customer));
    if (environment.customers.empty())
        input.fail("no customer");
    return environment;
}

scenario_step read_step(const table_reader& input)
{
    scenario_step step;
    step.at = input.get<double>("at");
    step.action = input.get<std::string>("action");
    step.target = input.get_or("target", std::string());
    step.length = input.get_or("length", 0.0);
    if (std::find(std::begin(actions), std::end(actions), step.action) ==
        std::end(actions))
        input.fail(fmt::format("unknown action {}", step.action));
    return step;
}

/// A flood needs more sessions, because each session runs one request at a
/// time.
void prepare_floods(scenario& wanted)
{
    for (const auto& step : wanted.steps)
        for (auto& customer : wanted.environment.customers)
            if (step.action == "flood" && customer.name == step.target)
            {
                customer.floods = true;
                customer.sessions = flood_sessions;
            }
}

} // namespace

scenario read_scenario(const std::string& path)
{
    const auto file = parse_file(path);
    const table_reader input(path, file);
    scenario wanted;
    wanted.name = std::filesystem::path(path).stem().string();
    wanted.environment = read_deployment(
        (std::filesystem::path(path).parent_path() / "deployments" /
         (input.get<std::string>("deployment") + ".toml"))
            .string());
    if (file.contains("proxies"))
        wanted.environment.proxies =
            static_cast<std::size_t>(input.integer("proxies"));
    if (file.contains("domains"))
        wanted.environment.domains = input.strings("domains");
    for (const auto& step : input.tables("step"))
        wanted.steps.push_back(read_step(step));
    std::stable_sort(
        wanted.steps.begin(), wanted.steps.end(),
        [](const auto& left, const auto& right) { return left.at < right.at; });
    wanted.needs_fault_proxies = std::any_of(
        wanted.steps.begin(), wanted.steps.end(),
        [](const auto& step) { return step.action == "cut-domain"; });
    prepare_floods(wanted);
    return wanted;
}

} // namespace zinniahub::load
