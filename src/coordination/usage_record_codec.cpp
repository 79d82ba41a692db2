#include "coordination/usage_record_codec.hpp"

#include "coordination/bounded_json.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace zinniahub::coordination
{

using nlohmann::json;

namespace
{

/// Largest sum of one customer and window, over all hosts.
constexpr std::uint64_t max_sum =
    usage_collection::max_count * usage_collection::max_hosts;

bool is_number(const json& value, const char* field)
{
    return value.contains(field) && value[field].is_number_unsigned();
}

std::optional<usage_report> decode_report(const json& value)
{
    if (!value.is_object() || !is_number(value, "window") ||
        !value.contains("counts") || !value["counts"].is_object() ||
        value["counts"].size() > max_usage_customers)
    {
        return std::nullopt;
    }
    usage_report report{.window = value["window"].get<std::uint64_t>()};
    for (const auto& [customer, count] : value["counts"].items())
    {
        if (!count.is_number_unsigned() || count.get<std::uint64_t>() > max_sum)
        {
            return std::nullopt;
        }
        report.counts.emplace(customer, count.get<std::uint64_t>());
    }
    return report;
}

} // namespace

std::string encode_usage_record(const usage_record& record)
{
    json fixed = json::array();
    for (const auto& report : record.fixed)
    {
        json counts = json::object();
        for (const auto& [customer, count] : report.counts)
        {
            counts[customer] = count;
        }
        fixed.push_back(
            {{"window", report.window}, {"counts", std::move(counts)}});
    }
    const json document{
        {"settled_through", record.settled_through},
        {"fixed", std::move(fixed)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<usage_record> decode_usage_record(std::string_view text)
{
    const auto document = parse_bounded_json(text);
    if (!document.is_object() || !is_number(document, "settled_through") ||
        !document.contains("fixed") || !document["fixed"].is_array() ||
        document["fixed"].size() > max_usage_windows)
    {
        return fail(errc::resource_invalid, "missing or mistyped fields");
    }
    usage_record record{
        .settled_through = document["settled_through"].get<std::uint64_t>()};
    for (const auto& value : document["fixed"])
    {
        auto report = decode_report(value);
        if (!report || report->window != record.fixed_through() + 1)
        {
            return fail(errc::resource_invalid, "unreadable window");
        }
        record.fixed.push_back(std::move(*report));
    }
    return record;
}

} // namespace zinniahub::coordination
