#include "control/resource_codec.hpp"

namespace zinniahub::control
{

namespace
{

resource convert(const v1::DatabaseGroup& message)
{
    group_resource out;
    out.name = message.name();
    out.uid = message.uid();
    out.slots = message.slots();
    out.connection_limit = message.connection_limit();
    out.open_to_all = message.open_to_all();
    for (const auto& member : message.members())
    {
        out.members.push_back(
            {member.name(), member.address(), member.failure_domain(),
             member.leaving()});
    }
    return out;
}

resource convert(const v1::Customer& message)
{
    customer_resource out;
    out.name = message.name();
    out.rate = message.rate();
    out.burst = message.burst();
    out.weight = message.weight();
    out.groups.assign(message.groups().begin(), message.groups().end());
    for (const auto& key : message.keys())
    {
        out.keys.push_back({key.id(), key.digest()});
    }
    return out;
}

} // namespace

result<resource> from_protocol(const v1::Resource& message)
{
    switch (message.kind_case())
    {
    case v1::Resource::kGroup:
        return convert(message.group());
    case v1::Resource::kCustomer:
        return convert(message.customer());
    case v1::Resource::kFailureDomain:
        return resource(domain_resource{
            message.failure_domain().name(),
            message.failure_domain().in_service()});
    default:
        return fail(errc::resource_invalid, "unknown kind");
    }
}

result<resource> decode_resource(std::string_view value)
{
    v1::Resource message;
    if (!message.ParseFromArray(value.data(), static_cast<int>(value.size())))
    {
        return fail(errc::resource_invalid, "value cannot be parsed");
    }
    auto decoded = from_protocol(message);
    if (!decoded)
    {
        return decoded;
    }
    if (auto valid = validate(*decoded); !valid)
    {
        return tl::make_unexpected(valid.error());
    }
    return decoded;
}

} // namespace zinniahub::control
