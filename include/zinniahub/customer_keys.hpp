#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinniahub
{

/// Size of a SHA-256 digest in bytes.
inline constexpr std::size_t digest_size = 32;

/// @brief Returns the SHA-256 digest of a key as 32 raw bytes.
std::string digest_of(std::string_view key);

/// @brief One valid key of a customer.
struct customer_key
{
    std::string customer;
    std::string key_id;
    std::string digest;
};

/// @brief Immutable mapping from keys to customers. Stores only digests of
/// the keys.
class key_ring
{
public:
    key_ring() = default;

    /// @brief Makes a key ring from all valid keys.
    ///
    /// Entries whose digest is not 32 bytes long are ignored. A digest that two
    /// customers declare identifies neither of them, because a request must run
    /// only for the customer whose key it carries.
    static key_ring make(std::span<const customer_key> keys);

    /// @brief Finds the customer of a key.
    /// @return pointer to the customer's name, valid as long as the key ring,
    /// or nullptr if the key is not valid
    /// @complexity one SHA-256 and a hash lookup. Digests are compared in
    /// constant time.
    const std::string* customer_of(std::string_view key) const;

    /// @brief Number of digests that identify a customer.
    std::size_t size() const
    {
        return entries_.size();
    }

    /// @brief Number of digests ignored because several customers declare them.
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

    /// Indexed by the first 8 bytes of the digest. The timing of the lookup
    /// reveals at most these bytes; the rest is compared in constant time.
    std::unordered_multimap<std::uint64_t, entry> entries_;
    std::size_t ambiguous_count_ = 0;
};

} // namespace zinniahub
