#include <zinniahub/customer_keys.hpp>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstring>
#include <map>

namespace zinniahub
{

namespace
{

static_assert(digest_size == SHA256_DIGEST_LENGTH);

std::uint64_t prefix_of(std::string_view digest)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof prefix);
    return prefix;
}

/// Customer of each digest; empty if several customers declare the digest.
using digest_customers = std::map<std::string_view, std::string_view>;

digest_customers customers_by_digest(std::span<const customer_key> keys)
{
    digest_customers found;
    for (const auto& key : keys)
    {
        if (key.digest.size() != digest_size)
        {
            continue;
        }
        const auto [at, is_new] = found.try_emplace(key.digest, key.customer);
        if (!is_new && at->second != key.customer)
        {
            at->second = {};
        }
    }
    return found;
}

} // namespace

std::string digest_of(std::string_view key)
{
    std::string digest(digest_size, '\0');
    SHA256(
        reinterpret_cast<const unsigned char*>(key.data()), key.size(),
        reinterpret_cast<unsigned char*>(digest.data()));
    return digest;
}

key_ring key_ring::make(std::span<const customer_key> keys)
{
    key_ring ring;
    for (const auto& [digest, customer] : customers_by_digest(keys))
    {
        if (customer.empty())
        {
            ++ring.ambiguous_count_;
            continue;
        }
        ring.entries_.emplace(
            prefix_of(digest),
            entry{std::string(digest), std::string(customer)});
    }
    return ring;
}

const std::string* key_ring::customer_of(std::string_view key) const
{
    const auto digest = digest_of(key);
    const auto [first, last] = entries_.equal_range(prefix_of(digest));
    for (auto at = first; at != last; ++at)
    {
        const auto& known = at->second;
        if (CRYPTO_memcmp(known.digest.data(), digest.data(), digest_size) == 0)
        {
            return &known.customer;
        }
    }
    return nullptr;
}

} // namespace zinniahub
