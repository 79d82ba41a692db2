#include "operator/commands.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using zinniahub::commands::arguments;
using zinniahub::commands::exit_code;

struct subcommand
{
    std::string_view name;
    std::string_view summary;
    exit_code (*run)(arguments);
};

exit_code run_help(arguments args);

namespace commands = zinniahub::commands;

constexpr std::array subcommands{
    subcommand{"serve", "run the proxy", commands::run_serve},
    subcommand{
        "serve-platform", "run the proxy on the users' platform",
        commands::run_serve_platform},
    subcommand{"check", "check a settings file", commands::run_check},
    subcommand{
        "apply", "declare a group, customer, key, domain or member",
        commands::run_apply},
    subcommand{"get", "print one declared resource", commands::run_get},
    subcommand{"list", "print the declared resources", commands::run_list},
    subcommand{
        "withdraw", "remove a group, customer, key or domain",
        commands::run_withdraw},
    subcommand{
        "watch", "wait until the hosts have the declared state",
        commands::run_watch},
    subcommand{"exec", "run statements through a proxy", commands::run_exec},
    subcommand{
        "explain", "show from logs why a request was answered as it was",
        commands::run_explain},
    subcommand{"help", "print this help", run_help}};

void print_usage(std::FILE* stream)
{
    fmt::print(stream, "usage: zinniahub COMMAND [ARGUMENT...]\n\n");
    for (const auto& entry : subcommands)
        fmt::print(stream, "  {:<16}{}\n", entry.name, entry.summary);
    fmt::print(
        stream,
        "\nEach command has --help and --version. Exit codes are listed "
        "in docs/exit-codes.md.\n");
}

const subcommand* find_subcommand(std::string_view name)
{
    const auto* found = std::find_if(
        subcommands.begin(), subcommands.end(),
        [name](const subcommand& entry) { return entry.name == name; });
    return found == subcommands.end() ? nullptr : found;
}

exit_code usage_failure(std::string_view fault)
{
    fmt::print(stderr, "zinniahub: {}\n", fault);
    print_usage(stderr);
    return exit_code::usage;
}

exit_code run_help(arguments args)
{
    if (args.empty() || args.front().starts_with("-") || args.front() == "help")
    {
        print_usage(stdout);
        return exit_code::ok;
    }
    const auto* command = find_subcommand(args.front());
    if (command == nullptr)
        return usage_failure(
            fmt::format("unknown command \"{}\"", args.front()));
    const std::vector<std::string> help{"--help"};
    return command->run(help);
}

exit_code run(arguments args)
{
    if (args.empty())
        return usage_failure("a command is needed");
    const auto& name = args.front();
    if (name == "--version")
    {
        std::fputs("zinniahub " ZINNIAHUB_VERSION "\n", stdout);
        return exit_code::ok;
    }
    if (name == "--help" || name == "-h")
        return run_help({});
    const auto* command = find_subcommand(name);
    if (command == nullptr)
        return usage_failure(fmt::format("unknown command \"{}\"", name));
    return command->run(args.subspan(1));
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const std::vector<std::string> args(argv + 1, argv + argc);
        return static_cast<int>(run(args));
    }
    catch (const std::exception& failure)
    {
        fmt::print(stderr, "zinniahub: internal failure: {}\n", failure.what());
        return static_cast<int>(exit_code::internal_failure);
    }
}
