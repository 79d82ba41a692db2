#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinniahub
{

/// Bytes of a SHA-256 digest.
inline constexpr std::size_t digest_size = 32;

/// @brief SHA-256 of a key, as 32 raw bytes.
std::string digest_of(std::string_view key);

/// @brief One valid key of a customer.
struct customer_key
{
    std::string customer;
    std::string key_id;
    std::string digest;
};

/// @brief Immutable mapping from keys to customers. Holds digests only.
class key_ring
{
public:
    key_ring() = default;

    /// @brief Makes a ring from all valid keys.
    ///
    /// Entries whose digest is not 32 bytes are left out. A digest that two
    /// customers declare identifies neither of them, because a request may run
    /// only for the customer whose key came with it.
    static key_ring make(std::span<const customer_key> keys);

    /// @brief Finds the customer of a key.
    /// @return the name, valid as long as the ring, or null if the key is not
    /// valid
    /// Complexity: one SHA-256 and a hash lookup. Digests are compared in
    /// constant time.
    const std::string* customer_of(std::string_view key) const;

    /// @brief Number of digests that identify a customer.
    std::size_t size() const
    {
        return entries_.size();
    }

    /// @brief Number of digests left out because two customers declare them.
    std::size_t ambiguous_count() const
    {
        return ambiguous_count_;
    }

private:
    struct entry
    {
        std::string digest;
        std::string customer;
    };

    /// By the first 8 bytes of the digest, so that the lookup reveals at most
    /// these bytes and the rest is compared in constant time.
    std::unordered_multimap<std::uint64_t, entry> entries_;
    std::size_t ambiguous_count_ = 0;
};

} // namespace zinniahub
