#include <zinniahub/configuration.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <set>

namespace zinniahub
{

namespace
{

constexpr std::size_t max_name_length = 63;
constexpr std::uint32_t max_weight = 100;
constexpr unsigned max_port = 65'535;

tl::unexpected<error>
invalid(std::string_view field, std::string found, std::string_view allowed)
{
    return fail(
        errc::resource_invalid,
        fmt::format("{}: found {}, allowed {}", field, found, allowed));
}

bool is_name_character(char value)
{
    return (value >= 'a' && value <= 'z') || (value >= '0' && value <= '9') ||
           value == '-';
}

result<void> check_name(std::string_view field, std::string_view name)
{
    if (name.empty() || name.size() > max_name_length ||
        !std::all_of(name.begin(), name.end(), is_name_character))
    {
        return invalid(
            field, fmt::format("\"{}\"", name),
            "1 to 63 characters of a-z, 0-9 and -");
    }
    return {};
}

/// Leading zeros are rejected, so that each address has a unique spelling.
bool is_port(std::string_view text)
{
    unsigned port = 0;
    const auto [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), port);
    return code == std::errc{} && end == text.data() + text.size() &&
           text.front() != '0' && port <= max_port;
}

bool is_address(const std::string& text)
{
    const auto colon = text.find(':');
    // The parser of the address reads to the first NUL.
    if (colon == std::string::npos || text.find('\0') != std::string::npos)
    {
        return false;
    }
    in_addr parsed{};
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) == 1 &&
           is_port(std::string_view(text).substr(colon + 1));
}

result<void> check_address(std::string_view field, const std::string& address)
{
    if (!is_address(address))
    {
        return invalid(
            field, fmt::format("\"{}\"", address), "IPv4 address:port");
    }
    return {};
}

result<void> check_count(std::string_view field, std::uint32_t value)
{
    if (value < 1)
    {
        return invalid(field, std::to_string(value), "1 or more");
    }
    return {};
}

/// Rejects duplicate values in a list.
class unique_values
{
public:
    result<void> add(std::string_view field, std::string_view value)
    {
        if (!seen_.insert(value).second)
        {
            return invalid(
                field, fmt::format("\"{}\" twice", value), "unique values");
        }
        return {};
    }

private:
    std::set<std::string_view> seen_;
};

result<void>
check_member(const member_resource& member, const std::string& path)
{
    return check_name(path + ".name", member.name)
        .and_then([&]
                  { return check_address(path + ".address", member.address); })
        .and_then(
            [&] {
                return check_name(
                    path + ".failure_domain", member.failure_domain);
            });
}

result<void> check_members(std::span<const member_resource> members)
{
    if (members.empty())
    {
        return invalid("members", "none", "1 or more");
    }
    unique_values names;
    unique_values addresses;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        const auto path = fmt::format("members[{}]", i);
        const auto& member = members[i];
        auto checked =
            check_member(member, path)
                .and_then([&]
                          { return names.add(path + ".name", member.name); })
                .and_then(
                    [&] {
                        return addresses.add(path + ".address", member.address);
                    });
        if (!checked)
        {
            return checked;
        }
    }
    return {};
}

result<void> check_uid(std::uint64_t uid)
{
    if (uid == 0)
    {
        return invalid("uid", "0", "1 or more");
    }
    return {};
}

result<void> check_rate(double rate)
{
    if (!std::isfinite(rate) || rate <= 0)
    {
        return invalid("rate", fmt::format("{}", rate), "a number above 0");
    }
    return {};
}

result<void> check_burst(double burst)
{
    if (!std::isfinite(burst) || burst < 1)
    {
        return invalid("burst", fmt::format("{}", burst), "1 or more");
    }
    return {};
}

result<void> check_weight(std::uint32_t weight)
{
    if (weight < 1 || weight > max_weight)
    {
        return invalid("weight", std::to_string(weight), "1 to 100");
    }
    return {};
}

result<void> check_group_names(std::span<const std::string> groups)
{
    unique_values names;
    for (std::size_t i = 0; i < groups.size(); ++i)
    {
        const auto path = fmt::format("groups[{}]", i);
        auto checked =
            check_name(path, groups[i])
                .and_then([&] { return names.add(path, groups[i]); });
        if (!checked)
        {
            return checked;
        }
    }
    return {};
}

result<void> check_digest(std::string_view field, std::string_view digest)
{
    if (digest.size() != digest_size)
    {
        return invalid(
            field, fmt::format("{} bytes", digest.size()), "32 bytes");
    }
    return {};
}

result<void> check_keys(std::span<const key_resource> keys)
{
    unique_values ids;
    std::set<std::string_view> digests;
    for (std::size_t i = 0; i < keys.size(); ++i)
    {
        const auto path = fmt::format("keys[{}]", i);
        auto checked =
            check_name(path + ".id", keys[i].id)
                .and_then([&] { return ids.add(path + ".id", keys[i].id); })
                .and_then(
                    [&]
                    { return check_digest(path + ".digest", keys[i].digest); });
        if (!checked)
        {
            return checked;
        }
        if (!digests.insert(keys[i].digest).second)
        {
            return invalid(
                path + ".digest", "the digest of another key", "unique values");
        }
    }
    return {};
}

result<void> check(const group_resource& group)
{
    return check_name("name", group.name)
        .and_then([&] { return check_uid(group.uid); })
        .and_then([&] { return check_members(group.members); })
        .and_then([&] { return check_count("slots", group.slots); })
        .and_then(
            [&] {
                return check_count("connection_limit", group.connection_limit);
            });
}

result<void> check(const customer_resource& customer)
{
    return check_name("name", customer.name)
        .and_then([&] { return check_rate(customer.rate); })
        .and_then([&] { return check_burst(customer.burst); })
        .and_then([&] { return check_weight(customer.weight); })
        .and_then([&] { return check_group_names(customer.groups); })
        .and_then([&] { return check_keys(customer.keys); });
}

result<void> check(const domain_resource& domain)
{
    return check_name("name", domain.name);
}

} // namespace

result<void> validate(const resource& value)
{
    return std::visit([](const auto& kind) { return check(kind); }, value);
}

} // namespace zinniahub
