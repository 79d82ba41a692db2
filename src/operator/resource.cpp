#include "operator/resource.hpp"

#include "control/resource_codec.hpp"
#include "kv/keys.hpp"
#include "observability/printable.hpp"
#include "operator/json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace zinniahub::commands
{

namespace
{

constexpr std::array kinds{
    resource_kind{"group", kv::group_prefix},
    resource_kind{"customer", kv::customer_prefix},
    resource_kind{"domain", kv::domain_prefix}};

result<stored_resource>
decode(const resource_kind& kind, const v1::KeyValue& entry)
{
    const auto name = kv::name_below(kind.prefix, entry.key());
    stored_resource stored{
        kind, std::string(name.value_or("")), entry.revision(), {}};
    if (!name || !stored.value.ParseFromString(entry.value()) ||
        stored.value.kind_case() == v1::Resource::KIND_NOT_SET)
    {
        return fail(
            errc::resource_invalid,
            fmt::format("record {} is damaged", entry.key()));
    }
    return stored;
}

json::value to_json_value(const v1::DatabaseGroup& group)
{
    std::vector<json::value> members;
    for (const auto& member : group.members())
    {
        members.push_back(json::object(
            {{"name", json::string(member.name())},
             {"address", json::string(member.address())},
             {"failure_domain", json::string(member.failure_domain())},
             {"leaving", json::boolean(member.leaving())}}));
    }
    return json::object(
        {{"uid", json::number(group.uid())},
         {"slots", json::number(std::uint64_t{group.slots()})},
         {"connections", json::number(std::uint64_t{group.connection_limit()})},
         {"open", json::boolean(group.open_to_all())},
         {"members", json::array(members)}});
}

json::value to_json_value(const v1::Customer& customer)
{
    std::vector<json::value> keys;
    for (const auto& key : customer.keys())
    {
        keys.push_back(json::object(
            {{"id", json::string(key.id())},
             {"sha256", json::string(to_hex(key.digest()))}}));
    }
    return json::object(
        {{"rate", json::number(customer.rate())},
         {"burst", json::number(customer.burst())},
         {"weight", json::number(std::uint64_t{customer.weight()})},
         {"groups",
          json::strings({customer.groups().begin(), customer.groups().end()})},
         {"keys", json::array(keys)}});
}

json::value to_json_value(const v1::FailureDomain& domain)
{
    return json::object({{"in_service", json::boolean(domain.in_service())}});
}

json::value to_json_value(const v1::Resource& value)
{
    switch (value.kind_case())
    {
    case v1::Resource::kGroup:
        return to_json_value(value.group());
    case v1::Resource::kCustomer:
        return to_json_value(value.customer());
    case v1::Resource::kFailureDomain:
        return to_json_value(value.failure_domain());
    case v1::Resource::KIND_NOT_SET:
        break;
    }
    return json::object({});
}

std::string describe(const v1::DatabaseGroup& group)
{
    std::vector<std::string> members;
    for (const auto& member : group.members())
    {
        members.push_back(fmt::format(
            "{}={}@{}{}", member.name(), member.address(),
            member.failure_domain(), member.leaving() ? "(leaving)" : ""));
    }
    return fmt::format(
        "uid={} slots={} connections={} open={} members={}", group.uid(),
        group.slots(), group.connection_limit(),
        group.open_to_all() ? "yes" : "no", fmt::join(members, ","));
}

std::string describe(const v1::Customer& customer)
{
    std::vector<std::string> ids;
    for (const auto& key : customer.keys())
        ids.push_back(key.id());
    return fmt::format(
        "rate={} burst={} weight={} groups={} keys={}", customer.rate(),
        customer.burst(), customer.weight(),
        customer.groups().empty()
            ? "all"
            : fmt::to_string(fmt::join(
                  customer.groups().begin(), customer.groups().end(), ",")),
        ids.empty() ? "none" : fmt::to_string(fmt::join(ids, ",")));
}

std::string describe(const v1::FailureDomain& domain)
{
    return fmt::format("in_service={}", domain.in_service() ? "yes" : "no");
}

} // namespace

std::span<const resource_kind> resource_kinds()
{
    return kinds;
}

result<resource_kind> kind_of(std::string_view name)
{
    const auto* found = std::find_if(
        kinds.begin(), kinds.end(),
        [name](const resource_kind& kind) { return kind.name == name; });
    if (found == kinds.end())
    {
        return fail(
            errc::usage,
            fmt::format(
                "unknown kind \"{}\", allowed: group, customer, domain", name));
    }
    return *found;
}

result<stored_resource> read_resource(
    kv::platform_store& store, const resource_kind& kind, std::string_view name)
{
    v1::GetRequest request;
    request.set_key(kv::key_of(kind.prefix, name));
    const auto reply = store.get(request);
    if (reply)
        return decode(kind, reply->entry());
    if (reply.error().code == errc::not_found)
        return fail(
            errc::not_found, fmt::format("no {} \"{}\"", kind.name, name));
    return tl::make_unexpected(reply.error());
}

result<std::vector<stored_resource>>
list_resources(kv::platform_store& store, const resource_kind& kind)
{
    v1::RangeRequest request;
    request.set_prefix(std::string(kind.prefix));
    const auto reply = store.range(request);
    if (!reply)
        return tl::make_unexpected(reply.error());
    std::vector<stored_resource> resources;
    for (const auto& entry : reply->entries())
    {
        auto decoded = decode(kind, entry);
        if (!decoded)
            return tl::make_unexpected(decoded.error());
        resources.push_back(std::move(*decoded));
    }
    std::sort(
        resources.begin(), resources.end(),
        [](const auto& left, const auto& right)
        { return left.name < right.name; });
    return resources;
}

result<void> validate(const v1::Resource& value)
{
    const auto resource = control::from_protocol(value);
    if (!resource)
        return tl::make_unexpected(resource.error());
    return zinniahub::validate(*resource);
}

json::value to_json(const stored_resource& resource)
{
    return json::object(
        {{"kind", json::string(resource.kind.name)},
         {"name", json::string(resource.name)},
         {"revision", json::number(resource.revision)},
         {"declared", to_json_value(resource.value)}});
}

std::string to_text(const stored_resource& resource)
{
    return fmt::format(
        "{}/{} revision={} {}", resource.kind.name, field_value(resource.name),
        resource.revision, printable(describe(resource.value)));
}

std::string describe(const v1::Resource& value)
{
    switch (value.kind_case())
    {
    case v1::Resource::kGroup:
        return describe(value.group());
    case v1::Resource::kCustomer:
        return describe(value.customer());
    case v1::Resource::kFailureDomain:
        return describe(value.failure_domain());
    case v1::Resource::KIND_NOT_SET:
        break;
    }
    return {};
}

std::string to_hex(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes)
        fmt::format_to(
            std::back_inserter(text), "{:02x}",
            static_cast<unsigned char>(byte));
    return text;
}

} // namespace zinniahub::commands
