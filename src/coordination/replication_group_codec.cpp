#include "coordination/replication_group_codec.hpp"

#include "coordination/bounded_json.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace zinniahub::coordination
{

using nlohmann::json;

namespace
{

std::optional<replication_group::member> decode_member(const json& value)
{
    if (!value.is_object() || !value.contains("address") ||
        !value["address"].is_string() || !value.contains("failure_domain") ||
        !value["failure_domain"].is_string() || !value.contains("started_ms") ||
        !value["started_ms"].is_number_unsigned() ||
        !value.contains("draining") || !value["draining"].is_boolean())
    {
        return std::nullopt;
    }
    return replication_group::member{
        .address = value["address"].get<std::string>(),
        .failure_domain = value["failure_domain"].get<std::string>(),
        .started_ms = value["started_ms"].get<std::uint64_t>(),
        .draining = value["draining"].get<bool>()};
}

} // namespace

std::string encode_replication_group(const replication_group& group)
{
    json members = json::object();
    for (const auto& [instance, member] : group.members)
    {
        members[instance] = {
            {"address", member.address},
            {"failure_domain", member.failure_domain},
            {"started_ms", member.started_ms},
            {"draining", member.draining}};
    }
    const json document{
        {"primary", group.primary},
        {"term", group.term},
        {"complete", group.complete},
        {"ordered", group.ordered},
        {"members", std::move(members)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<replication_group> decode_replication_group(std::string_view text)
{
    const auto document = parse_bounded_json(text);
    if (!document.is_object() || !document.contains("primary") ||
        !document["primary"].is_string() || !document.contains("term") ||
        !document["term"].is_number_unsigned() ||
        !document.contains("complete") || !document["complete"].is_boolean() ||
        !document.contains("members") || !document["members"].is_object())
    {
        return fail(errc::resource_invalid, "missing or mistyped fields");
    }
    replication_group group;
    group.primary = document["primary"].get<std::string>();
    group.term = document["term"].get<std::uint64_t>();
    group.complete = document["complete"].get<bool>();
    // Records of earlier versions lack the field.
    const auto ordered = document.find("ordered");
    if (ordered != document.end() && ordered->is_string())
    {
        group.ordered = ordered->get<std::string>();
    }
    for (const auto& [instance, value] : document["members"].items())
    {
        auto member = decode_member(value);
        if (!member)
        {
            return fail(errc::resource_invalid, "unreadable member");
        }
        group.members.emplace(instance, std::move(*member));
    }
    if (!group.members.contains(group.primary))
    {
        return fail(errc::resource_invalid, "the primary is not a member");
    }
    return group;
}

} // namespace zinniahub::coordination
