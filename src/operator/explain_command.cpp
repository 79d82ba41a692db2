#include "operator/command_line.hpp"
#include "operator/commands.hpp"
#include "operator/explain.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace zinniahub::commands
{

exit_code run_explain(arguments args)
{
    const auto parsed = parse_arguments(args, "explain ID [LOGFILE...]", {});
    if (!parsed || (!parsed->finished && parsed->positional.empty()))
    {
        fmt::print(
            stderr, "zinniahub: {}\n",
            parsed ? "an id is needed" : parsed.error().detail);
        return exit_code::usage;
    }
    if (parsed->finished)
    {
        return exit_code::ok;
    }
    explanation summary(parsed->positional.front());
    const std::span<const std::string> files(
        parsed->positional.begin() + 1, parsed->positional.end());
    for (const auto& name : files)
    {
        std::ifstream file(name);
        if (!file)
        {
            fmt::print(stderr, "zinniahub: cannot read {}\n", name);
            return exit_code::usage;
        }
        summary.read(file);
    }
    if (files.empty())
    {
        summary.read(std::cin);
    }
    fmt::print("{}", summary.text());
    return summary.found() ? exit_code::ok : exit_code::not_found;
}

} // namespace zinniahub::commands
