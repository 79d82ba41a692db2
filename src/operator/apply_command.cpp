#include "operator/apply.hpp"
#include "operator/commands.hpp"
#include "operator/json.hpp"
#include "operator/store_options.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <utility>

namespace zinniahub::commands
{

namespace
{

/// @brief Values of all options of `apply` and `withdraw`.
struct change_options
{
    store_options store;
    expected_revision expected;
    std::vector<std::string> members;
    std::optional<std::uint64_t> slots;
    std::optional<std::uint64_t> connections;
    bool open = false;
    std::optional<double> rate;
    std::optional<double> burst;
    std::optional<std::uint64_t> weight;
    std::vector<std::string> groups;
    bool all_groups = false;
    std::string id;
    std::string key_file;
    std::string in_service;
    std::string leaving;

    option expect_option()
    {
        return {
            "expect", &expected,
            "revision that the resource must have, 0: must not exist",
            "REVISION"};
    }
};

/// @brief Result of a change that is printed.
struct change_report
{
    apply_result outcome;
    /// The generated key, if any. It is printed only here.
    std::string generated_key;
};

using store_reference = kv::platform_store&;

/// @brief Handler of `apply` for one kind of resource.
struct apply_subcommand
{
    std::string_view kind;
    std::string_view synopsis;
    std::vector<option> (*options)(change_options&);
    result<change_report> (*run)(
        store_reference, const std::string& name, const change_options&);
};

result<std::uint32_t>
to_uint32(std::string_view name, std::optional<std::uint64_t> value)
{
    if (!value)
        return fail(errc::usage, fmt::format("--{} is needed", name));
    if (*value > std::numeric_limits<std::uint32_t>::max())
        return fail(
            errc::resource_invalid, fmt::format("{} is too large", name));
    return static_cast<std::uint32_t>(*value);
}

result<bool> parse_yes_no(std::string_view name, std::string_view text)
{
    if (text != "yes" && text != "no")
    {
        return fail(
            errc::usage,
            fmt::format("--{}: \"{}\", allowed: yes, no", name, text));
    }
    return text == "yes";
}

result<change_report> to_report(result<apply_result> outcome)
{
    if (!outcome)
        return tl::make_unexpected(outcome.error());
    return change_report{std::move(*outcome), {}};
}

std::vector<option> group_options(change_options& values)
{
    return {
        {"member", &values.members, "a member of the group; may be repeated",
         "NAME=IP:PORT@DOMAIN"},
        {"slots", &values.slots, "statements a member runs at the same time",
         "N"},
        {"connections", &values.connections,
         "connections a member accepts from all hosts together", "N"},
        {"open", &values.open, "requests may come without a key"}};
}

result<change_report> run_group(
    store_reference store, const std::string& name,
    const change_options& values)
{
    const auto slots = to_uint32("slots", values.slots);
    if (!slots)
        return tl::make_unexpected(slots.error());
    const auto connections = to_uint32("connections", values.connections);
    if (!connections)
        return tl::make_unexpected(connections.error());
    return to_report(apply_group(
        store, {name, values.members, *slots, *connections, values.open},
        values.expected));
}

std::vector<option> customer_options(change_options& values)
{
    return {
        {"rate", &values.rate, "requests per second over all hosts", "R"},
        {"burst", &values.burst,
         "requests above the rate that may come at once", "B"},
        {"weight", &values.weight, "share of a busy upstream; default 1", "W"},
        {"group", &values.groups, "group the customer may use; may be repeated",
         "G"},
        {"all-groups", &values.all_groups, "the customer may use all groups"}};
}

result<change_report> run_customer(
    store_reference store, const std::string& name,
    const change_options& values)
{
    if (!values.rate || !values.burst)
        return fail(errc::usage, "--rate and --burst are needed");
    if (values.all_groups && !values.groups.empty())
        return fail(errc::usage, "--group and --all-groups exclude each other");
    customer_declaration declared{name,          *values.rate,
                                  *values.burst, std::nullopt,
                                  values.groups, values.all_groups};
    if (values.weight)
    {
        const auto weight = to_uint32("weight", values.weight);
        if (!weight)
            return tl::make_unexpected(weight.error());
        declared.weight = *weight;
    }
    return to_report(apply_customer(store, declared, values.expected));
}

std::vector<option> key_options(change_options& values)
{
    return {
        {"id", &values.id, "name of the key", "ID"},
        {"key-file", &values.key_file,
         "file with the key, - for standard input; default: a generated key",
         "FILE"}};
}

result<change_report> run_key(
    store_reference store, const std::string& name,
    const change_options& values)
{
    if (values.id.empty())
        return fail(errc::usage, "--id is needed");
    const bool generated = values.key_file.empty();
    const auto key = generated ? generate_key() : read_text(values.key_file);
    if (!key)
        return tl::make_unexpected(key.error());
    auto report =
        to_report(apply_key(store, name, values.id, *key, values.expected));
    if (report && generated)
        report->generated_key = *key;
    return report;
}

std::vector<option> domain_options(change_options& values)
{
    return {
        {"in-service", &values.in_service,
         "whether the failure domain gets work", "yes|no"}};
}

result<change_report> run_domain(
    store_reference store, const std::string& name,
    const change_options& values)
{
    const auto in_service = parse_yes_no("in-service", values.in_service);
    if (!in_service)
        return tl::make_unexpected(in_service.error());
    return to_report(apply_domain(store, name, *in_service, values.expected));
}

std::vector<option> member_options(change_options& values)
{
    return {
        {"leaving", &values.leaving, "whether the member gets no new work",
         "yes|no"}};
}

result<change_report> run_member(
    store_reference store, const std::string& name,
    const change_options& values)
{
    const auto leaving = parse_yes_no("leaving", values.leaving);
    if (!leaving)
        return tl::make_unexpected(leaving.error());
    return to_report(apply_member(store, name, *leaving, values.expected));
}

constexpr std::array apply_subcommands{
    apply_subcommand{"group", "apply group NAME", group_options, run_group},
    apply_subcommand{
        "customer", "apply customer NAME", customer_options, run_customer},
    apply_subcommand{"key", "apply key CUSTOMER", key_options, run_key},
    apply_subcommand{"domain", "apply domain NAME", domain_options, run_domain},
    apply_subcommand{
        "member", "apply member GROUP/MEMBER", member_options, run_member}};

constexpr std::string_view apply_synopsis =
    "apply group|customer|key|domain|member NAME";
constexpr std::string_view withdraw_synopsis =
    "withdraw group|customer|domain|key NAME";

void print_report(const change_report& report, output_format format)
{
    const auto& resource = report.outcome.resource;
    if (format == output_format::json)
    {
        std::vector<std::pair<std::string_view, json::value>> members{
            {"changed", json::boolean(report.outcome.changed)},
            {"resource", to_json(resource)}};
        if (!report.generated_key.empty())
            members.emplace_back("key", json::string(report.generated_key));
        print_line(json::to_text(json::object(members)));
        return;
    }
    print_line(fmt::format(
        "{} {}", report.outcome.changed ? "applied" : "unchanged",
        to_text(resource)));
    if (!report.generated_key.empty())
        print_line(fmt::format("key={}", report.generated_key));
}

exit_code usage_failure(std::string_view synopsis, std::string_view fault)
{
    return report(
        {errc::usage, fmt::format("{}; usage: zinniahub {}", fault, synopsis)},
        output_format::text);
}

exit_code run_subcommand(
    const apply_subcommand& subcommand, arguments args, change_options& values)
{
    auto command_options = subcommand.options(values);
    command_options.push_back(values.expect_option());
    const auto options = values.store.append_to(std::move(command_options));
    const auto input = read_input(
        args, subcommand.synopsis, options, {1, 1}, values.store.output);
    if (!input)
        return input.error();
    const auto store = open_store(values.store);
    if (!store)
        return report(store.error(), input->format);
    const auto outcome =
        subcommand.run(**store, input->positional.front(), values);
    if (!outcome)
        return report(outcome.error(), input->format);
    print_report(*outcome, input->format);
    return exit_code::ok;
}

void print_withdrawn(
    std::string_view kind, std::string_view name, std::uint64_t revision,
    output_format format)
{
    if (format == output_format::text)
    {
        print_line(
            fmt::format("withdrawn {}/{} revision={}", kind, name, revision));
        return;
    }
    print_line(json::to_text(json::object(
        {{"kind", json::string(kind)},
         {"name", json::string(name)},
         {"revision", json::number(revision)}})));
}

result<std::uint64_t> withdraw(
    store_reference store, const std::string& kind, const std::string& name,
    const change_options& values)
{
    if (kind == "key")
    {
        if (values.id.empty())
            return fail(errc::usage, "--id is needed");
        const auto changed =
            withdraw_key(store, name, values.id, values.expected);
        if (!changed)
            return tl::make_unexpected(changed.error());
        return changed->resource.revision;
    }
    const auto found = kind_of(kind);
    if (!found)
        return tl::make_unexpected(found.error());
    return withdraw_resource(store, *found, name, values.expected);
}

} // namespace

exit_code run_apply(arguments args)
{
    change_options values;
    if (args.empty() || args.front().starts_with("-"))
    {
        const auto parsed = parse_with_count(
            args, apply_synopsis, values.store.append_to({}), {1, 1});
        if (parsed && parsed->finished)
            return exit_code::ok;
        return usage_failure(apply_synopsis, "the kind must come first");
    }
    const auto* subcommand = std::find_if(
        apply_subcommands.begin(), apply_subcommands.end(),
        [&](const apply_subcommand& candidate)
        { return candidate.kind == args.front(); });
    if (subcommand == apply_subcommands.end())
    {
        return usage_failure(
            apply_synopsis, fmt::format("unknown kind \"{}\"", args.front()));
    }
    return run_subcommand(*subcommand, args.subspan(1), values);
}

exit_code run_withdraw(arguments args)
{
    change_options values;
    const auto options = values.store.append_to(
        {values.expect_option(),
         {"id", &values.id, "name of the key (withdraw key)", "ID"}});
    const auto input = read_input(
        args, withdraw_synopsis, options, {2, 2}, values.store.output);
    if (!input)
        return input.error();
    const auto store = open_store(values.store);
    if (!store)
        return report(store.error(), input->format);
    const auto& kind = input->positional[0];
    const auto& name = input->positional[1];
    const auto revision = withdraw(**store, kind, name, values);
    if (!revision)
        return report(revision.error(), input->format);
    print_withdrawn(
        kind, kind == "key" ? fmt::format("{}/{}", name, values.id) : name,
        *revision, input->format);
    return exit_code::ok;
}

} // namespace zinniahub::commands
