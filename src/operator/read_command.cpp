#include "operator/commands.hpp"
#include "operator/json.hpp"
#include "operator/resource.hpp"
#include "operator/store_options.hpp"

#include <fmt/format.h>

namespace zinniahub::commands
{

namespace
{

result<std::vector<stored_resource>>
read_kinds(kv::platform_store& store, const std::vector<std::string>& names)
{
    std::vector<resource_kind> kinds(
        resource_kinds().begin(), resource_kinds().end());
    if (!names.empty())
    {
        const auto kind = kind_of(names.front());
        if (!kind)
            return tl::make_unexpected(kind.error());
        kinds = {*kind};
    }
    std::vector<stored_resource> all;
    for (const auto& kind : kinds)
    {
        const auto resources = list_resources(store, kind);
        if (!resources)
            return tl::make_unexpected(resources.error());
        all.insert(all.end(), resources->begin(), resources->end());
    }
    return all;
}

result<std::vector<stored_resource>>
read_one(kv::platform_store& store, const std::vector<std::string>& names)
{
    const auto kind = kind_of(names[0]);
    if (!kind)
        return tl::make_unexpected(kind.error());
    const auto resource = read_resource(store, *kind, names[1]);
    if (!resource)
        return tl::make_unexpected(resource.error());
    return std::vector{*resource};
}

using read_function = result<std::vector<stored_resource>> (*)(
    kv::platform_store&, const std::vector<std::string>&);

void print(
    const std::vector<stored_resource>& resources, output_format format,
    bool as_list)
{
    std::vector<json::value> values;
    for (const auto& resource : resources)
    {
        if (format == output_format::text)
            print_line(to_text(resource));
        else
            values.push_back(to_json(resource));
    }
    if (format == output_format::json)
        print_line(
            json::to_text(as_list ? json::array(values) : values.front()));
}

exit_code run_read(
    arguments args, std::string_view synopsis, argument_count count,
    read_function read)
{
    store_options values;
    const auto options = values.append_to({});
    const auto input =
        read_input(args, synopsis, options, count, values.output);
    if (!input)
        return input.error();
    const auto store = open_store(values);
    if (!store)
        return report(store.error(), input->format);
    const auto resources = read(**store, input->positional);
    if (!resources)
        return report(resources.error(), input->format);
    print(*resources, input->format, read == read_kinds);
    return exit_code::ok;
}

} // namespace

exit_code run_get(arguments args)
{
    return run_read(args, "get group|customer|domain NAME", {2, 2}, read_one);
}

exit_code run_list(arguments args)
{
    return run_read(args, "list [group|customer|domain]", {0, 1}, read_kinds);
}

} // namespace zinniahub::commands
