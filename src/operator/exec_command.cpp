#include "observability/printable.hpp"
#include "operator/commands.hpp"
#include "operator/exec.hpp"
#include "operator/json.hpp"
#include "operator/store_options.hpp"
#include "operator/utf8.hpp"
#include "settings/address.hpp"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>

namespace zinniahub::commands
{

namespace
{

struct exec_options
{
    std::string proxy;
    std::string group;
    std::string key;
    std::string key_file;
    std::string token_file;
    std::string output;
    std::optional<std::uint64_t> deadline_ms;
    bool read = false;
    bool idempotent = false;
    bool transaction = false;

    std::vector<option> table();
};

std::vector<option> exec_options::table()
{
    return {
        {"proxy", &proxy, "proxies in the order of preference",
         "IP:PORT[,IP:PORT...]"},
        {"group", &group, "database group", "GROUP"},
        {"key", &key, "key of the customer; visible in the process list",
         "KEY"},
        {"key-file", &key_file, "file with the key, - for standard input",
         "FILE"},
        {"token-file", &token_file,
         "file that keeps the session token between calls", "FILE"},
        {"deadline-ms", &deadline_ms,
         "longest wait per request; default: the proxy's", "MS"},
        {"read", &read, "the statements only read"},
        {"idempotent", &idempotent,
         "running a statement twice equals running it once"},
        {"transaction", &transaction, "run the statements as one transaction"},
        {"output", &output, "output format", "text|json"}};
}

result<std::vector<std::string>> split_addresses(const std::string& text)
{
    std::vector<std::string> addresses;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        if (!settings::is_connectable_address(part))
        {
            return fail(
                errc::usage,
                fmt::format("--proxy: \"{}\" is not an IP:port", part));
        }
        addresses.push_back(part);
    }
    if (addresses.empty())
        return fail(errc::usage, "--proxy is needed");
    return addresses;
}

result<std::string> read_key(const exec_options& values)
{
    if (!values.key.empty() && !values.key_file.empty())
        return fail(errc::usage, "--key and --key-file exclude each other");
    if (values.key_file.empty())
        return values.key;
    return read_text(values.key_file);
}

/// @brief Reads a token file. If it does not exist, a new session starts.
result<std::string> read_token(const std::string& path)
{
    if (path.empty() || !std::filesystem::exists(path))
        return std::string();
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file)
        return fail(errc::usage, fmt::format("cannot read {}", path));
    return content.str();
}

/// @brief Replaces a token file atomically, so that an interrupted command
/// leaves either the old or the new token.
bool write_token(const std::string& path, const std::string& token)
{
    const auto temporary = path + ".new";
    std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
    file << token;
    file.close();
    std::error_code failed;
    if (file)
        std::filesystem::rename(temporary, path, failed);
    return file && !failed;
}

result<exec_plan>
make_plan(const exec_options& values, std::vector<std::string> statements)
{
    const auto proxies = split_addresses(values.proxy);
    if (!proxies)
        return tl::make_unexpected(proxies.error());
    if (values.group.empty())
        return fail(errc::usage, "--group is needed");
    const auto deadline = values.deadline_ms.value_or(0);
    // The limit of all requests together must not overflow.
    constexpr std::uint64_t max_deadline_ms = 3'600'000;
    if (deadline > max_deadline_ms)
    {
        return fail(
            errc::usage,
            fmt::format("--deadline-ms is above {}", max_deadline_ms));
    }
    const auto key = read_key(values);
    if (!key)
        return tl::make_unexpected(key.error());
    if (!is_utf8(values.group))
        return fail(errc::usage, "--group is not UTF-8");
    if (!is_utf8(*key))
        return fail(errc::usage, "the key is not UTF-8");
    const auto token = read_token(values.token_file);
    if (!token)
        return tl::make_unexpected(token.error());
    return exec_plan{*proxies,
                     values.group,
                     *key,
                     values.read,
                     values.idempotent,
                     static_cast<std::uint32_t>(deadline),
                     values.transaction,
                     std::move(statements),
                     *token};
}

std::string_view name_of(v1::Operation operation)
{
    switch (operation)
    {
    case v1::OPERATION_BEGIN:
        return "begin";
    case v1::OPERATION_COMMIT:
        return "commit";
    case v1::OPERATION_ROLLBACK:
        return "rollback";
    default:
        return "statement";
    }
}

std::string_view error_name(const exec_outcome& outcome)
{
    return outcome.error_code == 0
               ? std::string_view()
               : to_string(static_cast<errc>(outcome.error_code));
}

json::value to_json(const exec_outcome& outcome)
{
    std::vector<json::value> rows;
    for (const auto& [key, value] : outcome.rows)
    {
        rows.push_back(json::object(
            {{"key", json::string(key)}, {"value", json::string(value)}}));
    }
    return json::object(
        {{"operation", json::string(name_of(outcome.operation))},
         {"statement", json::string(outcome.statement)},
         {"verdict", json::string(to_string(outcome.verdict))},
         {"error_code", json::number(std::uint64_t{outcome.error_code})},
         {"error_name", json::string(error_name(outcome))},
         {"error_detail", json::string(outcome.error_detail)},
         {"rows", json::array(rows)},
         {"served_by", json::string(outcome.served_by)},
         {"from_replica", json::boolean(outcome.from_replica)},
         {"proxy", json::string(outcome.proxy)}});
}

void print_text(const exec_outcome& outcome)
{
    for (const auto& [key, value] : outcome.rows)
        print_line(fmt::format("{}\t{}", printable(key), printable(value)));
    auto line = fmt::format(
        "{} verdict={} proxy={}", name_of(outcome.operation),
        to_string(outcome.verdict), outcome.proxy);
    if (!outcome.served_by.empty())
    {
        line += fmt::format(
            " served_by={} role={}", field_value(outcome.served_by),
            outcome.from_replica ? "replica" : "primary");
    }
    if (outcome.error_code != 0)
    {
        line += fmt::format(
            " error={} {} detail={}", outcome.error_code, error_name(outcome),
            quoted_text(outcome.error_detail));
    }
    print_line(line);
}

void print(const std::vector<exec_outcome>& outcomes, output_format format)
{
    std::vector<json::value> values;
    for (const auto& outcome : outcomes)
    {
        if (format == output_format::text)
            print_text(outcome);
        else
            values.push_back(to_json(outcome));
    }
    if (format == output_format::json)
        print_line(json::to_text(json::array(values)));
}

exit_code
run(const exec_plan& plan, const std::string& token_file, output_format format)
{
    bool token_saved = true;
    const auto on_token = [&](const std::string& token)
    {
        if (!token_file.empty())
            token_saved = write_token(token_file, token) && token_saved;
    };
    const auto outcomes = run_plan(plan, on_token);
    print(outcomes, format);
    const auto code = exit_code_of(outcomes.back().verdict);
    if (token_saved)
        return code;
    fmt::print(
        stderr, "zinniahub: cannot write the token file {}\n", token_file);
    return code == exit_code::ok ? exit_code::internal_failure : code;
}

} // namespace

exit_code run_exec(arguments args)
{
    exec_options values;
    const auto options = values.table();
    const auto input = read_input(
        args, "exec STATEMENT...", options,
        {1, std::numeric_limits<std::size_t>::max()}, values.output);
    if (!input)
        return input.error();
    const auto plan = make_plan(values, input->positional);
    if (!plan)
        return report(plan.error(), input->format);
    return run(*plan, values.token_file, input->format);
}

} // namespace zinniahub::commands
