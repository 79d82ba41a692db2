#include "operator/command_line.hpp"

#include <fmt/format.h>
#include <popt.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

namespace zinniahub::commands
{

namespace
{

constexpr int help_value = 1;
constexpr int version_value = 2;
constexpr int first_option_value = 3;

struct free_context
{
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

using context_handle = std::unique_ptr<poptContext_s, free_context>;

std::vector<poptOption> make_table(std::span<const option> options)
{
    std::vector<poptOption> table;
    int value = first_option_value;
    for (const auto& entry : options)
    {
        const bool is_flag = std::holds_alternative<bool*>(entry.value);
        table.push_back(
            {entry.name, '\0',
             static_cast<unsigned>(is_flag ? POPT_ARG_NONE : POPT_ARG_STRING),
             nullptr, value++, entry.help, entry.argument});
    }
    table.push_back(
        {"help", 'h', POPT_ARG_NONE, nullptr, help_value, "print this help",
         nullptr});
    table.push_back(
        {"version", '\0', POPT_ARG_NONE, nullptr, version_value,
         "print the version", nullptr});
    table.push_back(POPT_TABLEEND);
    return table;
}

template<typename Number>
bool read_number(const std::string& text, std::optional<Number>& target)
{
    Number number{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return false;
    target = number;
    return true;
}

/// @brief Stores the argument of an option. @return false if it is malformed
bool store(const option::target& target, const std::string& text)
{
    const auto assign = [&text]<typename Value>(Value* value)
    {
        if constexpr (std::is_same_v<Value, bool>)
            *value = true;
        else if constexpr (std::is_same_v<Value, std::string>)
            *value = text;
        else if constexpr (std::is_same_v<Value, std::vector<std::string>>)
            value->push_back(text);
        else
            return read_number(text, *value);
        return true;
    };
    return std::visit(assign, target);
}

std::string take_argument(poptContext context)
{
    const std::unique_ptr<char, decltype(&std::free)> argument(
        poptGetOptArg(context), &std::free);
    return argument ? std::string(argument.get()) : std::string();
}

} // namespace

result<parsed_arguments> parse_arguments(
    std::span<const std::string> arguments, std::string_view synopsis,
    std::span<const option> options)
{
    std::vector<const char*> argv{"zinniahub"};
    for (const auto& argument : arguments)
        argv.push_back(argument.c_str());
    argv.push_back(nullptr);
    const auto table = make_table(options);
    const context_handle context(poptGetContext(
        "zinniahub", static_cast<int>(argv.size()) - 1, argv.data(),
        table.data(), 0));
    const std::string usage = fmt::format("{} [OPTION...]", synopsis);
    poptSetOtherOptionHelp(context.get(), usage.c_str());

    parsed_arguments parsed;
    int value = 0;
    while ((value = poptGetNextOpt(context.get())) > 0)
    {
        if (value == help_value || value == version_value)
        {
            if (value == help_value)
                poptPrintHelp(context.get(), stdout, 0);
            else
                std::fputs("zinniahub " ZINNIAHUB_VERSION "\n", stdout);
            parsed.finished = true;
            return parsed;
        }
        const auto& entry =
            options[static_cast<std::size_t>(value - first_option_value)];
        const auto text = take_argument(context.get());
        if (!store(entry.value, text))
        {
            return fail(
                errc::usage,
                fmt::format(
                    "--{}: \"{}\" is not a valid number", entry.name, text));
        }
    }
    if (value < -1)
    {
        return fail(
            errc::usage,
            fmt::format(
                "{}: {}", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                poptStrerror(value)));
    }
    for (const char** rest = poptGetArgs(context.get());
         rest != nullptr && *rest != nullptr; ++rest)
        parsed.positional.emplace_back(*rest);
    return parsed;
}

} // namespace zinniahub::commands
