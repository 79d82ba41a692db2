#include "operator/commands.hpp"
#include "operator/json.hpp"
#include "operator/store_options.hpp"
#include "operator/watch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>

namespace zinniahub::commands
{

namespace
{

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds poll_interval{500};
constexpr std::uint64_t default_timeout_s = 30;

/// One day; larger values are not useful and could overflow a time point.
constexpr std::uint64_t max_timeout_s = 86'400;

struct watch_options
{
    store_options store;
    std::optional<std::uint64_t> timeout_s;
    std::optional<std::uint64_t> revision;
    bool once = false;
};

using resources = std::vector<stored_resource>;

std::uint64_t wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

bool is_watched(
    const stored_resource& resource, const std::vector<std::string>& names)
{
    return (names.empty() || names[0] == resource.kind.name) &&
           (names.size() < 2 || names[1] == resource.name);
}

/// @brief Reads all resources. A withdrawn resource is identified by the
/// revision of its removal.
result<resources> read_declared(
    kv::platform_store& store, const std::vector<std::string>& names,
    const watch_options& values)
{
    resources all;
    for (const auto& kind : resource_kinds())
    {
        auto found = list_resources(store, kind);
        if (!found)
            return found;
        std::move(found->begin(), found->end(), std::back_inserter(all));
    }
    if (names.size() < 2)
        return all;
    const bool exists = std::any_of(
        all.begin(), all.end(),
        [&](const stored_resource& resource)
        { return is_watched(resource, names); });
    if (!exists && !values.revision)
        return fail(errc::not_found, fmt::format("{}/{}", names[0], names[1]));
    if (!exists)
        all.push_back({*kind_of(names[0]), names[1], 0, {}});
    return all;
}

using statuses = std::vector<watched_resource>;

result<statuses> read_status(
    kv::platform_store& store, const std::vector<std::string>& names,
    const watch_options& values)
{
    // The reports are read first: if a resource changes in between, a host can
    // appear to be behind, but never wrongly up to date.
    const auto fleet = read_fleet(store, wall_clock_ms());
    if (!fleet)
        return tl::make_unexpected(fleet.error());
    const auto declared = read_declared(store, names, values);
    if (!declared)
        return tl::make_unexpected(declared.error());
    auto all = compare(*declared, *fleet, values.revision.value_or(0));
    std::erase_if(
        all, [&](const watched_resource& watched)
        { return !is_watched(watched.declared, names); });
    return all;
}

std::string render(const statuses& all, output_format format)
{
    std::vector<std::string> parts;
    for (const auto& status : all)
    {
        parts.push_back(
            format == output_format::json ? to_json(status) : to_text(status));
    }
    if (format == output_format::json)
        return fmt::format("[{}]", fmt::join(parts, ","));
    return fmt::to_string(fmt::join(parts, "\n"));
}

bool all_converged(const statuses& all)
{
    return std::all_of(
        all.begin(), all.end(),
        [](const watched_resource& watched)
        { return watched.status.converged; });
}

/// @brief Prints the status when it changes, until it has converged.
exit_code watch_until_converged(
    kv::platform_store& store, const std::vector<std::string>& names,
    const watch_options& values, output_format format)
{
    const auto timeout =
        std::min(values.timeout_s.value_or(default_timeout_s), max_timeout_s);
    const auto end = steady_clock::now() + std::chrono::seconds(timeout);
    std::string printed;
    for (;;)
    {
        const auto current = read_status(store, names, values);
        const bool last = values.once || steady_clock::now() >= end;
        const bool retry = !current && exit_code_of(current.error().code) ==
                                           exit_code::platform_unavailable;
        if (!current && (last || !retry))
            return report(current.error(), format);
        if (current)
        {
            auto text = render(*current, format);
            if (text != printed)
                print_line(text);
            printed = std::move(text);
            if (all_converged(*current))
                return exit_code::ok;
            if (last)
                return exit_code::wait_timeout;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace

exit_code run_watch(arguments args)
{
    watch_options values;
    const auto options = values.store.append_to(
        {{"timeout", &values.timeout_s,
          "longest wait; default 30, at most 86400", "SECONDS"},
         {"revision", &values.revision,
          "wait until all hosts have applied this revision", "REVISION"},
         {"once", &values.once, "print the present state and exit"}});
    const auto input = read_input(
        args, "watch [group|customer|domain [NAME]]", options, {0, 2},
        values.store.output);
    if (!input)
        return input.error();
    const auto& names = input->positional;
    if (!names.empty())
    {
        if (const auto kind = kind_of(names.front()); !kind)
            return report(kind.error(), input->format);
    }
    const auto store = open_store(values.store);
    if (!store)
        return report(store.error(), input->format);
    return watch_until_converged(**store, names, values, input->format);
}

} // namespace zinniahub::commands
