#include "settings/settings.hpp"

#include "settings/address.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <optional>
#include <set>
#include <span>
#include <sstream>
#include <system_error>
#include <tuple>
#include <utility>
#include <variant>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace zinniahub::settings
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class text_form
{
    name,
    listen_address,
    connect_address
};

struct text_rule
{
    std::string_view allowed;
    bool (*accepts)(std::string_view);
};

text_rule rule_of(text_form form)
{
    switch (form)
    {
    case text_form::name:
        return {"1 to 64 letters, digits, '.', '_' or '-'", is_name};
    case text_form::listen_address:
        return {"IP:port with a port in 1..65535", is_address};
    case text_form::connect_address:
        break;
    }
    return {
        "IP:port with a port in 1..65535, not 0.0.0.0 or [::]",
        is_connectable_address};
}

template<typename Enum>
using choice = std::pair<std::string_view, Enum>;

constexpr std::array rates_choices{
    choice<rates_strategy>{"pooled", rates_strategy::pooled},
    choice<rates_strategy>{"static_split", rates_strategy::static_split}};
constexpr std::array reads_choices{
    choice<reads_strategy>{"fresh_replica", reads_strategy::fresh_replica},
    choice<reads_strategy>{"primary_only", reads_strategy::primary_only}};
constexpr std::array commit_choices{
    choice<commit_strategy>{"majority_ack", commit_strategy::majority_ack},
    choice<commit_strategy>{"primary_ack", commit_strategy::primary_ack}};
constexpr std::array connections_choices{
    choice<connections_strategy>{"shared", connections_strategy::shared},
    choice<connections_strategy>{
        "fixed_split", connections_strategy::fixed_split}};

std::span<const choice<rates_strategy>> choices_of(rates_strategy)
{
    return rates_choices;
}

std::span<const choice<reads_strategy>> choices_of(reads_strategy)
{
    return reads_choices;
}

std::span<const choice<commit_strategy>> choices_of(commit_strategy)
{
    return commit_choices;
}

std::span<const choice<connections_strategy>> choices_of(connections_strategy)
{
    return connections_choices;
}

/// @brief Describes one key of a section.
template<typename Section>
struct key_rule
{
    using target = std::variant<
        std::string Section::*, std::uint32_t Section::*,
        std::uint64_t Section::*, milliseconds Section::*, seconds Section::*,
        rates_strategy Section::*, reads_strategy Section::*,
        commit_strategy Section::*, connections_strategy Section::*>;

    std::string_view key;
    target member;
    /// Bounds of a number.
    std::int64_t min = 0;
    std::int64_t max = 0;
    /// Form of a text. Texts have no default and are required.
    text_form form = text_form::name;

    constexpr bool required() const
    {
        return std::holds_alternative<std::string Section::*>(member);
    }
};

template<typename Section>
constexpr key_rule<Section>
text(std::string_view key, std::string Section::*member, text_form form)
{
    return {key, member, 0, 0, form};
}

template<typename Section, typename Number>
constexpr key_rule<Section> number(
    std::string_view key, Number Section::*member, std::int64_t min,
    std::int64_t max)
{
    return {key, member, min, max};
}

template<typename Section, typename Enum>
constexpr key_rule<Section> one_of(std::string_view key, Enum Section::*member)
{
    return {key, member};
}

using host_section = host_settings::host_section;
using platform_section = host_settings::platform_section;
using limits_section = host_settings::limits_section;
using rates_section = host_settings::rates_section;
using routing_section = host_settings::routing_section;
using drain_section = host_settings::drain_section;
using relay_section = host_settings::relay_section;

constexpr std::array host_keys{
    text("name", &host_section::name, text_form::name),
    text("failure_domain", &host_section::failure_domain, text_form::name),
    text(
        "caller_address", &host_section::caller_address,
        text_form::listen_address),
    // The peer address is announced to the other hosts, which connect to it.
    text(
        "peer_address", &host_section::peer_address,
        text_form::connect_address),
    text(
        "metrics_address", &host_section::metrics_address,
        text_form::listen_address),
    number("traffic_threads", &host_section::traffic_threads, 1, 256)};

constexpr std::array platform_keys{
    text("address", &platform_section::address, text_form::connect_address),
    number("call_timeout_ms", &platform_section::call_timeout, 10, 10'000)};

constexpr std::array limits_keys{
    number(
        "max_statement_bytes", &limits_section::max_statement_bytes, 1,
        16'777'216),
    number(
        "default_deadline_ms", &limits_section::default_deadline, 1, 600'000),
    number("max_deadline_ms", &limits_section::max_deadline, 1, 600'000),
    number(
        "queue_per_customer", &limits_section::queue_per_customer, 1, 65'536),
    number("queue_total", &limits_section::queue_total, 1, 1'048'576),
    number(
        "max_configuration_age_s", &limits_section::max_configuration_age, 10,
        86'400),
    number("token_wait_ms", &limits_section::token_wait, 0, 1'000)};

constexpr std::array rates_keys{
    one_of("strategy", &rates_section::strategy),
    number("seats", &rates_section::seats, 1, 4096),
    number("shards", &rates_section::shards, 1, 4096)};

constexpr std::array routing_keys{
    one_of("reads", &routing_section::reads),
    one_of("commit", &routing_section::commit),
    one_of("connections", &routing_section::connections)};

constexpr std::array drain_keys{
    number("announce_ms", &drain_section::announce, 0, 60'000),
    number("limit_ms", &drain_section::limit, 0, 600'000)};

constexpr std::array relay_keys{
    // A longer interval breaks the bound of 5 s for withdrawn keys.
    number("sync_interval_ms", &relay_section::sync_interval, 10, 2'000),
    number("fan_out", &relay_section::fan_out, 1, 1024)};

constexpr std::array member_route_keys{
    text("member", &member_route::member, text_form::name),
    text("address", &member_route::address, text_form::connect_address)};

constexpr std::array peer_route_keys{
    text("host", &peer_route::host, text_form::name),
    text("address", &peer_route::address, text_form::connect_address)};

constexpr std::array sections{"host",  "platform",     "limits",
                              "rates", "routing",      "drain",
                              "relay", "member_route", "peer_route"};

std::string describe(const toml::node& node)
{
    if (const auto* value = node.as_string())
        return fmt::format("\"{}\"", value->get());
    if (const auto* value = node.as_integer())
        return fmt::to_string(value->get());
    if (const auto* value = node.as_floating_point())
        return fmt::to_string(value->get());
    if (const auto* value = node.as_boolean())
        return value->get() ? "true" : "false";
    if (node.is_table())
        return "a table";
    return node.is_array() ? "an array" : "a date or time";
}

/// @brief Reads the sections of one file and collects the errors.
class settings_reader
{
public:
    settings_reader(const toml::table& root, std::string_view file);

    template<typename Section, std::size_t Size>
    void read_section(
        std::string_view name, Section& section,
        const std::array<key_rule<Section>, Size>& rules);

    /// @brief Reads an array of tables. The first key identifies an element.
    template<typename Section, std::size_t Size>
    void read_array(
        std::string_view name, std::vector<Section>& elements,
        const std::array<key_rule<Section>, Size>& rules);

    void check_sections();

    /// @brief Adds an error at the location of a key that has been read.
    void add_fault_at_key(
        errc code, std::string_view section, std::string_view key,
        std::string allowed);

    std::vector<settings_error> take_faults();

private:
    template<typename Section, std::size_t Size>
    void read_table(
        const toml::table& table, const std::string& name, Section& section,
        const std::array<key_rule<Section>, Size>& rules);

    template<typename Section>
    void read_value(
        const toml::node& node, const std::string& name, Section& section,
        const key_rule<Section>& rule);

    void read_string(
        const toml::node& node, const std::string& name, std::string& value,
        text_form form);
    std::optional<std::int64_t> read_number(
        const toml::node& node, const std::string& name, std::int64_t min,
        std::int64_t max);
    template<typename Enum>
    void
    read_choice(const toml::node& node, const std::string& name, Enum& value);

    void add_fault(
        errc code, const toml::source_region& where, std::string key,
        std::string found, std::string allowed);

    const toml::table& root_;
    std::string file_;
    std::vector<settings_error> faults_;
};

settings_reader::settings_reader(const toml::table& root, std::string_view file)
    : root_(root)
    , file_(file)
{
}

void settings_reader::add_fault(
    errc code, const toml::source_region& where, std::string key,
    std::string found, std::string allowed)
{
    faults_.push_back(
        {code, file_, where.begin.line, where.begin.column, std::move(key),
         std::move(found), std::move(allowed)});
}

void settings_reader::add_fault_at_key(
    errc code, std::string_view section, std::string_view key,
    std::string allowed)
{
    const auto node = root_[section][key];
    // A key that is not set has no location in the file.
    add_fault(
        code, node ? node.node()->source() : toml::source_region{},
        fmt::format("{}.{}", section, key),
        node ? describe(*node.node()) : "the default", std::move(allowed));
}

void settings_reader::check_sections()
{
    for (const auto& [key, node] : root_)
    {
        if (std::find(sections.begin(), sections.end(), key.str()) ==
            sections.end())
        {
            add_fault(
                errc::settings_unknown_key, key.source(),
                std::string(key.str()), describe(node),
                fmt::format("one of {}", fmt::join(sections, ", ")));
        }
    }
}

template<typename Section, std::size_t Size>
void settings_reader::read_section(
    std::string_view name, Section& section,
    const std::array<key_rule<Section>, Size>& rules)
{
    const auto* node = root_.get(name);
    if (node != nullptr && !node->is_table())
    {
        add_fault(
            errc::settings_type, node->source(), std::string(name),
            describe(*node), "a table");
        return;
    }
    const toml::table empty;
    read_table(
        node == nullptr ? empty : *node->as_table(), std::string(name), section,
        rules);
}

template<typename Section, std::size_t Size>
void settings_reader::read_array(
    std::string_view name, std::vector<Section>& elements,
    const std::array<key_rule<Section>, Size>& rules)
{
    const auto* node = root_.get(name);
    if (node == nullptr)
        return;
    const auto* array = node->as_array();
    if (array == nullptr)
    {
        add_fault(
            errc::settings_type, node->source(), std::string(name),
            describe(*node), "an array of tables");
        return;
    }
    std::set<std::string> seen;
    const auto identity =
        std::get<std::string Section::*>(rules.front().member);
    for (const auto& item : *array)
    {
        const auto* table = item.as_table();
        if (table == nullptr)
        {
            add_fault(
                errc::settings_type, item.source(), std::string(name),
                describe(item), "a table");
            continue;
        }
        auto& element = elements.emplace_back();
        read_table(*table, std::string(name), element, rules);
        const auto& id = element.*identity;
        if (!id.empty() && !seen.insert(id).second)
        {
            add_fault(
                errc::settings_duplicate,
                table->get(rules.front().key)->source(),
                fmt::format("{}.{}", name, rules.front().key),
                fmt::format("\"{}\"", id), "each name once");
        }
    }
}

template<typename Section, std::size_t Size>
void settings_reader::read_table(
    const toml::table& table, const std::string& name, Section& section,
    const std::array<key_rule<Section>, Size>& rules)
{
    for (const auto& [key, node] : table)
    {
        const auto known = std::find_if(
            rules.begin(), rules.end(),
            [text = key.str()](const auto& rule) { return rule.key == text; });
        const auto full = fmt::format("{}.{}", name, key.str());
        if (known != rules.end())
        {
            read_value(node, full, section, *known);
            continue;
        }
        std::array<std::string_view, Size> names;
        std::transform(
            rules.begin(), rules.end(), names.begin(),
            [](const auto& rule) { return rule.key; });
        add_fault(
            errc::settings_unknown_key, key.source(), full, describe(node),
            fmt::format("one of {}", fmt::join(names, ", ")));
    }
    for (const auto& rule : rules)
    {
        if (rule.required() && !table.contains(rule.key))
        {
            add_fault(
                errc::settings_missing, table.source(),
                fmt::format("{}.{}", name, rule.key), "nothing",
                std::string(rule_of(rule.form).allowed));
        }
    }
}

template<typename Section>
void settings_reader::read_value(
    const toml::node& node, const std::string& name, Section& section,
    const key_rule<Section>& rule)
{
    const auto read = [&]<typename Value>(Value Section::*member)
    {
        auto& target = section.*member;
        if constexpr (std::is_same_v<Value, std::string>)
        {
            read_string(node, name, target, rule.form);
        }
        else if constexpr (std::is_enum_v<Value>)
        {
            read_choice(node, name, target);
        }
        else if (const auto value = read_number(node, name, rule.min, rule.max))
        {
            target = static_cast<Value>(*value);
        }
    };
    std::visit(read, rule.member);
}

void settings_reader::read_string(
    const toml::node& node, const std::string& name, std::string& value,
    text_form form)
{
    const auto* text_node = node.as_string();
    const auto rule = rule_of(form);
    if (text_node == nullptr)
    {
        add_fault(
            errc::settings_type, node.source(), name, describe(node),
            fmt::format("a string: {}", rule.allowed));
        return;
    }
    value = text_node->get();
    if (!rule.accepts(value))
    {
        add_fault(
            errc::settings_range, node.source(), name, describe(node),
            std::string(rule.allowed));
    }
}

std::optional<std::int64_t> settings_reader::read_number(
    const toml::node& node, const std::string& name, std::int64_t min,
    std::int64_t max)
{
    const auto* value = node.as_integer();
    const auto allowed = fmt::format("an integer in {}..{}", min, max);
    if (value == nullptr)
    {
        add_fault(
            errc::settings_type, node.source(), name, describe(node), allowed);
        return std::nullopt;
    }
    if (value->get() < min || value->get() > max)
    {
        add_fault(
            errc::settings_range, node.source(), name, describe(node), allowed);
        return std::nullopt;
    }
    return value->get();
}

template<typename Enum>
void settings_reader::read_choice(
    const toml::node& node, const std::string& name, Enum& value)
{
    std::vector<std::string> names;
    for (const auto& [text_value, enumerator] : choices_of(value))
    {
        if (node.is_string() && node.as_string()->get() == text_value)
        {
            value = enumerator;
            return;
        }
        names.push_back(fmt::format("\"{}\"", text_value));
    }
    add_fault(
        node.is_string() ? errc::settings_range : errc::settings_type,
        node.source(), name, describe(node),
        fmt::format("{}", fmt::join(names, " or ")));
}

std::vector<settings_error> settings_reader::take_faults()
{
    std::stable_sort(
        faults_.begin(), faults_.end(),
        [](const auto& left, const auto& right)
        {
            return std::tie(left.line, left.column) <
                   std::tie(right.line, right.column);
        });
    return std::move(faults_);
}

void check_listen_addresses(const host_section& host, settings_reader& input)
{
    const std::array keys{
        std::pair{"caller_address", host.caller_address},
        std::pair{"peer_address", host.peer_address},
        std::pair{"metrics_address", host.metrics_address}};
    std::set<std::string> seen;
    for (const auto& [key, address] : keys)
    {
        if (!address.empty() && !seen.insert(address).second)
        {
            input.add_fault_at_key(
                errc::settings_duplicate, "host", key,
                "an address that no other key of [host] has");
        }
    }
}

void check_constraints(const host_settings& values, settings_reader& input)
{
    check_listen_addresses(values.host, input);
    const auto& limits = values.limits;
    if (limits.default_deadline > limits.max_deadline)
    {
        input.add_fault_at_key(
            errc::settings_range, "limits", "default_deadline_ms",
            fmt::format(
                "at most limits.max_deadline_ms = {}",
                limits.max_deadline.count()));
    }
    if (limits.queue_per_customer > limits.queue_total)
    {
        input.add_fault_at_key(
            errc::settings_range, "limits", "queue_per_customer",
            fmt::format("at most limits.queue_total = {}", limits.queue_total));
    }
}

settings_error
syntax_error(const toml::parse_error& failure, std::string_view file)
{
    const auto description = std::string(failure.description());
    const bool duplicate = description.find("redefine") != std::string::npos;
    const auto location = failure.source().begin;
    return {
        duplicate ? errc::settings_duplicate : errc::settings_syntax,
        std::string(file),
        location.line,
        location.column,
        "",
        description,
        duplicate ? "each key and section once" : "valid TOML"};
}

} // namespace

settings_result<host_settings>
parse(std::string_view content, std::string_view file)
{
    const auto parsed = toml::parse(content, file);
    if (!parsed)
    {
        return tl::make_unexpected(
            std::vector{syntax_error(parsed.error(), file)});
    }
    host_settings values;
    settings_reader input(parsed.table(), file);
    input.check_sections();
    input.read_section("host", values.host, host_keys);
    input.read_section("platform", values.platform, platform_keys);
    input.read_section("limits", values.limits, limits_keys);
    input.read_section("rates", values.rates, rates_keys);
    input.read_section("routing", values.routing, routing_keys);
    input.read_section("drain", values.drain, drain_keys);
    input.read_section("relay", values.relay, relay_keys);
    input.read_array("member_route", values.member_routes, member_route_keys);
    input.read_array("peer_route", values.peer_routes, peer_route_keys);
    check_constraints(values, input);
    auto faults = input.take_faults();
    if (!faults.empty())
        return tl::make_unexpected(std::move(faults));
    return values;
}

settings_result<host_settings> load(const std::filesystem::path& path)
{
    std::error_code ignored;
    std::ostringstream content;
    // Opening a directory succeeds, but reading it fails.
    if (!std::filesystem::is_directory(path, ignored))
    {
        std::ifstream file(path, std::ios::binary);
        content << file.rdbuf();
        // An empty file sets the fail bit of `content` only.
        if (file.is_open() && !file.bad())
            return parse(content.str(), path.string());
    }
    return tl::make_unexpected(std::vector{settings_error{
        errc::settings_unreadable, path.string(), 0, 0, "",
        "a file that cannot be read", "a readable TOML file"}});
}

std::vector<std::string> warnings_of(const host_settings& values)
{
    std::vector<std::string> warnings;
    if (values.routing.commit == commit_strategy::primary_ack)
    {
        warnings.emplace_back(
            "routing.commit = \"primary_ack\" can lose acknowledged writes "
            "when the primary changes");
    }
    if (values.rates.strategy == rates_strategy::static_split)
    {
        warnings.emplace_back(
            "rates.strategy = \"static_split\" refuses requests inside the "
            "rate when the load is not spread evenly over the hosts");
    }
    if (values.drain.limit < values.limits.max_deadline)
    {
        warnings.emplace_back(
            "drain.limit_ms is below limits.max_deadline_ms: a planned stop "
            "can cut off requests");
    }
    if (!values.member_routes.empty() || !values.peer_routes.empty())
    {
        warnings.emplace_back(
            "member_route and peer_route replace declared addresses on this "
            "host");
    }
    return warnings;
}

std::string format_error(const settings_error& fault)
{
    const auto location =
        fault.line == 0
            ? fault.file
            : fmt::format("{}:{}:{}", fault.file, fault.line, fault.column);
    const auto key = fault.key.empty() ? "" : fault.key + ": ";
    return fmt::format(
        "{}: {} {}: {}found {}, allowed: {}", location,
        static_cast<std::uint32_t>(fault.code), to_string(fault.code), key,
        fault.found, fault.allowed);
}

} // namespace zinniahub::settings
