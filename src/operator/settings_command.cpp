#include "operator/command_line.hpp"
#include "operator/commands.hpp"
#include "operator/json.hpp"
#include "operator/store_options.hpp"
#include "serve/serve.hpp"
#include "settings/settings.hpp"

#include <fmt/format.h>

namespace zinniahub::commands
{

namespace
{

json::value to_json(const settings::settings_error& fault)
{
    return json::object(
        {{"code",
          json::number(std::uint64_t{static_cast<std::uint32_t>(fault.code)})},
         {"name", json::string(to_string(fault.code))},
         {"file", json::string(fault.file)},
         {"line", json::number(std::uint64_t{fault.line})},
         {"column", json::number(std::uint64_t{fault.column})},
         {"key", json::string(fault.key)},
         {"found", json::string(fault.found)},
         {"allowed", json::string(fault.allowed)}});
}

using load_result = settings::settings_result<settings::host_settings>;

void print_json(const load_result& values)
{
    std::vector<json::value> faults;
    std::vector<std::string> warnings;
    if (values)
        warnings = settings::warnings_of(*values);
    else
        for (const auto& fault : values.error())
            faults.push_back(to_json(fault));
    print_line(json::to_text(json::object(
        {{"ok", json::boolean(values.has_value())},
         {"faults", json::array(faults)},
         {"warnings", json::strings(warnings)}})));
}

void print_text(const load_result& values)
{
    if (!values)
    {
        for (const auto& fault : values.error())
            print_line(settings::format_error(fault));
        return;
    }
    for (const auto& warning : settings::warnings_of(*values))
        print_line("warning: " + warning);
    print_line("ok");
}

result<load_result> load_settings(const std::string& path)
{
    if (path.empty())
        return fail(errc::usage, "--config is needed");
    return settings::load(path);
}

} // namespace

exit_code run_check(arguments args)
{
    std::string path;
    std::string output;
    const std::vector<option> options{
        {"config", &path, "settings file", "FILE"},
        {"output", &output, "output format", "text|json"}};
    const auto input = read_input(args, "check", options, {0, 0}, output);
    if (!input)
        return input.error();
    const auto values = load_settings(path);
    if (!values)
        return report(values.error(), input->format);
    if (input->format == output_format::json)
        print_json(*values);
    else
        print_text(*values);
    return values->has_value() ? exit_code::ok : exit_code::invalid_settings;
}

exit_code run_serve(arguments args)
{
    std::string path;
    const std::vector<option> options{
        {"config", &path, "settings file", "FILE"}};
    const auto parsed = parse_with_count(args, "serve", options, {0, 0});
    if (!parsed)
        return report(parsed.error(), output_format::text);
    if (parsed->finished)
        return exit_code::ok;
    const auto values = load_settings(path);
    if (!values)
        return report(values.error(), output_format::text);
    if (!*values)
    {
        for (const auto& fault : values->error())
            fmt::print(stderr, "{}\n", settings::format_error(fault));
        return exit_code::invalid_settings;
    }
    return static_cast<exit_code>(serve::run(**values));
}

} // namespace zinniahub::commands
