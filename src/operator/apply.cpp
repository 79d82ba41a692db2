#include "operator/apply.hpp"

#include "kv/keys.hpp"
#include "operator/utf8.hpp"

#include <zinniahub/customer_keys.hpp>

#include <fmt/format.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace zinniahub::commands
{

namespace
{

constexpr std::size_t key_bytes = 32;

/// A shorter key could be found by guessing.
constexpr std::size_t min_key_length = 16;
constexpr std::size_t max_key_length = 1024;

/// Concurrent allocations of uids conflict and are retried.
constexpr int uid_attempts = 16;

constexpr resource_kind group_kind{"group", kv::group_prefix};
constexpr resource_kind customer_kind{"customer", kv::customer_prefix};
constexpr resource_kind domain_kind{"domain", kv::domain_prefix};

result<std::uint64_t> make_change_id()
{
    std::uint64_t id = 0;
    auto* bytes = reinterpret_cast<unsigned char*>(&id);
    if (RAND_bytes(bytes, sizeof id) != 1)
        return fail(errc::resource_invalid, "no random numbers available");
    return id;
}

/// @brief Reads a resource; one that does not exist has revision 0.
result<stored_resource> read_or_empty(
    kv::platform_store& store, const resource_kind& kind, std::string_view name)
{
    auto stored = read_resource(store, kind, name);
    if (!stored && stored.error().code == errc::not_found)
        return stored_resource{kind, std::string(name), 0, {}};
    return stored;
}

result<void>
check_revision(const stored_resource& stored, expected_revision expected)
{
    if (expected && *expected != stored.revision)
    {
        return fail(
            errc::conflict,
            fmt::format(
                "{}/{} has revision {}, expected {}", stored.kind.name,
                stored.name, stored.revision, *expected));
    }
    return {};
}

/// @brief True if two values differ only in the change id.
bool same_declaration(v1::Resource left, v1::Resource right)
{
    left.clear_change_id();
    right.clear_change_id();
    return left.SerializeAsString() == right.SerializeAsString();
}

/// @brief Writes `value` if the resource still has the revision of `current`.
result<apply_result>
write(kv::platform_store& store, stored_resource current, v1::Resource value)
{
    if (const auto valid = validate(value); !valid)
        return tl::make_unexpected(valid.error());
    if (current.revision != 0 && same_declaration(current.value, value))
        return apply_result{std::move(current), false};
    const auto change_id = make_change_id();
    if (!change_id)
        return tl::make_unexpected(change_id.error());
    value.set_change_id(*change_id);
    const auto is_own = [id = *change_id](std::string_view stored)
    {
        v1::Resource found;
        return found.ParseFromString(std::string(stored)) &&
               found.change_id() == id;
    };
    const auto revision = kv::compare_and_swap(
        store, kv::key_of(current.kind.prefix, current.name),
        value.SerializeAsString(), current.revision, is_own);
    if (!revision)
        return tl::make_unexpected(revision.error());
    current.revision = *revision;
    current.value = std::move(value);
    return apply_result{std::move(current), true};
}

/// @brief Reads a resource, changes it and writes it back.
template<typename Change>
result<apply_result> update(
    kv::platform_store& store, result<stored_resource> stored,
    expected_revision expected, Change change)
{
    if (!stored)
        return tl::make_unexpected(stored.error());
    if (const auto matches = check_revision(*stored, expected); !matches)
        return tl::make_unexpected(matches.error());
    auto value = stored->value;
    if (const result<void> changed = change(value); !changed)
        return tl::make_unexpected(changed.error());
    return write(store, std::move(*stored), std::move(value));
}

/// @brief Value of the uid counter: the next uid and the change id.
struct uid_counter
{
    std::uint64_t next = 1;
    std::uint64_t revision = 0;
};

result<uid_counter> read_uid_counter(kv::platform_store& store)
{
    v1::GetRequest request;
    request.set_key(std::string(kv::uid_counter_key));
    const auto reply = store.get(request);
    if (!reply && reply.error().code == errc::not_found)
        return uid_counter{};
    if (!reply)
        return tl::make_unexpected(reply.error());
    uid_counter counter{0, reply->entry().revision()};
    const auto& text = reply->entry().value();
    std::from_chars(text.data(), text.data() + text.size(), counter.next);
    if (counter.next == 0)
        return fail(errc::resource_invalid, "the uid counter is damaged");
    return counter;
}

/// @brief Allocates the next group uid. An allocated uid is never reused, even
/// if the group is not created.
result<std::uint64_t> allocate_uid(kv::platform_store& store)
{
    for (int attempt = 0; attempt < uid_attempts; ++attempt)
    {
        const auto counter = read_uid_counter(store);
        if (!counter)
            return tl::make_unexpected(counter.error());
        const auto change_id = make_change_id();
        if (!change_id)
            return tl::make_unexpected(change_id.error());
        const auto value = fmt::format("{} {}", counter->next + 1, *change_id);
        const auto written = kv::compare_and_swap(
            store, kv::uid_counter_key, value, counter->revision,
            [&value](std::string_view stored) { return stored == value; });
        if (written)
            return counter->next;
        if (written.error().code != errc::conflict)
            return tl::make_unexpected(written.error());
    }
    return fail(errc::conflict, "the uid counter changes too often");
}

result<v1::MemberResource> parse_member(std::string_view text)
{
    const auto equals = text.find('=');
    const auto at = text.rfind('@');
    if (equals == std::string_view::npos || at == std::string_view::npos ||
        at < equals)
    {
        return fail(
            errc::usage,
            fmt::format(
                "member \"{}\" must have the form name=IP:port@domain", text));
    }
    v1::MemberResource member;
    member.set_name(std::string(text.substr(0, equals)));
    member.set_address(std::string(text.substr(equals + 1, at - equals - 1)));
    member.set_failure_domain(std::string(text.substr(at + 1)));
    return member;
}

bool is_leaving(const v1::DatabaseGroup& group, std::string_view member)
{
    return std::any_of(
        group.members().begin(), group.members().end(),
        [member](const auto& candidate)
        { return candidate.name() == member && candidate.leaving(); });
}

/// @brief Replaces the declared fields of the group. The uid is kept, and so is
/// the `leaving` flag of members that remain.
result<void>
declare_group(const group_declaration& declared, v1::DatabaseGroup& group)
{
    const auto previous = group;
    group.set_name(declared.name);
    group.set_slots(declared.slots);
    group.set_connection_limit(declared.connections);
    group.set_open_to_all(declared.open);
    group.clear_members();
    for (const auto& text : declared.members)
    {
        auto member = parse_member(text);
        if (!member)
            return tl::make_unexpected(member.error());
        member->set_leaving(is_leaving(previous, member->name()));
        *group.add_members() = std::move(*member);
    }
    return {};
}

/// @brief Checks that no other customer has the key, because a proxy could not
/// attribute its requests to one customer.
result<void> check_key_unused(
    kv::platform_store& store, std::string_view customer,
    std::string_view digest)
{
    const auto customers = list_resources(store, customer_kind);
    if (!customers)
        return tl::make_unexpected(customers.error());
    for (const auto& other : *customers)
    {
        for (const auto& key : other.value.customer().keys())
        {
            if (other.name != customer && key.digest() == digest)
            {
                return fail(
                    errc::already_exists,
                    fmt::format(
                        "customer {} has the same key as {}", other.name,
                        key.id()));
            }
        }
    }
    return {};
}

result<void>
add_key(std::string_view id, std::string_view digest, v1::Customer& customer)
{
    for (const auto& key : customer.keys())
    {
        if (key.id() == id && key.digest() == digest)
            return {};
        if (key.id() == id)
        {
            return fail(
                errc::already_exists,
                fmt::format("the customer has another key \"{}\"", id));
        }
    }
    auto* added = customer.add_keys();
    added->set_id(std::string(id));
    added->set_digest(std::string(digest));
    return {};
}

} // namespace

result<apply_result> apply_group(
    kv::platform_store& store, const group_declaration& declared,
    expected_revision expected)
{
    const auto change = [&](v1::Resource& value) -> result<void>
    {
        auto& group = *value.mutable_group();
        if (auto done = declare_group(declared, group); !done)
            return done;
        if (group.uid() != 0)
            return {};
        // An invalid declaration must not consume a uid.
        group.set_uid(1);
        if (auto valid = validate(value); !valid)
            return valid;
        const auto uid = allocate_uid(store);
        if (!uid)
            return tl::make_unexpected(uid.error());
        group.set_uid(*uid);
        return {};
    };
    return update(
        store, read_or_empty(store, group_kind, declared.name), expected,
        change);
}

result<apply_result> apply_customer(
    kv::platform_store& store, const customer_declaration& declared,
    expected_revision expected)
{
    const auto change = [&](v1::Resource& value) -> result<void>
    {
        auto& customer = *value.mutable_customer();
        customer.set_name(declared.name);
        customer.set_rate(declared.rate);
        customer.set_burst(declared.burst);
        customer.set_weight(
            declared.weight.value_or(std::max(customer.weight(), 1U)));
        if (declared.all_groups || !declared.groups.empty())
        {
            customer.mutable_groups()->Assign(
                declared.groups.begin(), declared.groups.end());
        }
        return {};
    };
    return update(
        store, read_or_empty(store, customer_kind, declared.name), expected,
        change);
}

result<apply_result> apply_key(
    kv::platform_store& store, std::string_view customer, std::string_view id,
    std::string_view key, expected_revision expected)
{
    if (key.size() < min_key_length || key.size() > max_key_length)
    {
        return fail(
            errc::resource_invalid,
            fmt::format(
                "a key has {} to {} characters, this one has {}",
                min_key_length, max_key_length, key.size()));
    }
    if (!is_utf8(key))
        return fail(errc::resource_invalid, "a key is UTF-8 text");
    const auto digest = digest_of(key);
    if (const auto unused = check_key_unused(store, customer, digest); !unused)
        return tl::make_unexpected(unused.error());
    return update(
        store, read_resource(store, customer_kind, customer), expected,
        [&](v1::Resource& value)
        { return add_key(id, digest, *value.mutable_customer()); });
}

result<apply_result> apply_domain(
    kv::platform_store& store, std::string_view name, bool in_service,
    expected_revision expected)
{
    const auto change = [&](v1::Resource& value) -> result<void>
    {
        value.mutable_failure_domain()->set_name(std::string(name));
        value.mutable_failure_domain()->set_in_service(in_service);
        return {};
    };
    return update(
        store, read_or_empty(store, domain_kind, name), expected, change);
}

result<apply_result> apply_member(
    kv::platform_store& store, std::string_view member, bool leaving,
    expected_revision expected)
{
    const auto slash = member.find('/');
    if (slash == std::string_view::npos)
        return fail(errc::usage, "a member is given as GROUP/MEMBER");
    const auto name = member.substr(slash + 1);
    const auto change = [&](v1::Resource& value) -> result<void>
    {
        for (auto& candidate : *value.mutable_group()->mutable_members())
        {
            if (candidate.name() == name)
            {
                candidate.set_leaving(leaving);
                return {};
            }
        }
        return fail(errc::not_found, fmt::format("no member \"{}\"", member));
    };
    return update(
        store, read_resource(store, group_kind, member.substr(0, slash)),
        expected, change);
}

result<std::uint64_t> withdraw_resource(
    kv::platform_store& store, const resource_kind& kind, std::string_view name,
    expected_revision expected)
{
    const auto stored = read_resource(store, kind, name);
    if (!stored)
        return tl::make_unexpected(stored.error());
    if (const auto matches = check_revision(*stored, expected); !matches)
        return tl::make_unexpected(matches.error());
    return kv::compare_and_remove(
        store, kv::key_of(kind.prefix, name), stored->revision);
}

result<apply_result> withdraw_key(
    kv::platform_store& store, std::string_view customer, std::string_view id,
    expected_revision expected)
{
    const auto change = [&](v1::Resource& value) -> result<void>
    {
        auto& keys = *value.mutable_customer()->mutable_keys();
        const auto found = std::find_if(
            keys.begin(), keys.end(),
            [id](const auto& key) { return key.id() == id; });
        if (found == keys.end())
        {
            return fail(
                errc::not_found,
                fmt::format("customer {} has no key \"{}\"", customer, id));
        }
        keys.erase(found);
        return {};
    };
    return update(
        store, read_resource(store, customer_kind, customer), expected, change);
}

result<std::string> generate_key()
{
    std::array<unsigned char, key_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        return fail(errc::resource_invalid, "no random numbers available");
    return to_hex({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

} // namespace zinniahub::commands
