#include <zinniahub/customer_keys.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace
{

using zinniahub::customer_key;
using zinniahub::digest_of;
using zinniahub::key_ring;

// Guards against a digest that other programs cannot reproduce. The expected
// value is the published SHA-256 test vector for "abc".
TEST(customer_keys, digest_is_sha256)
{
    const unsigned char expected[] = {
        0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea, 0x41, 0x41, 0x40,
        0xde, 0x5d, 0xae, 0x22, 0x23, 0xb0, 0x03, 0x61, 0xa3, 0x96, 0x17,
        0x7a, 0x9c, 0xb4, 0x10, 0xff, 0x61, 0xf2, 0x00, 0x15, 0xad};
    EXPECT_EQ(
        digest_of("abc"),
        std::string(reinterpret_cast<const char*>(expected), sizeof expected));
}

// Guards against running a request for a customer whose key it does not carry.
TEST(customer_keys, key_identifies_only_its_customer)
{
    auto near_miss = digest_of("k1");
    near_miss.back() = static_cast<char>(near_miss.back() ^ 1);
    const std::vector<customer_key> keys{
        {"shop", "a", digest_of("k1")},  {"shop", "b", digest_of("k2")},
        {"desk", "a", digest_of("k3")},  {"thief", "a", near_miss},
        {"clerk", "a", digest_of("k4")}, {"desk", "b", digest_of("k4")},
        {"clerk", "b", "short"},         {"desk", "c", digest_of("k3")}};
    const auto ring = key_ring::make(keys);
    struct row
    {
        const char* key;
        const char* customer;
    };
    // Two customers declare the key k4, so it identifies neither.
    for (const auto& [key, customer] :
         {row{"k1", "shop"}, row{"k2", "shop"}, row{"k3", "desk"},
          row{"k4", nullptr}, row{"k5", nullptr}, row{"", nullptr},
          row{"short", nullptr}})
    {
        const auto* found = ring.customer_of(key);
        ASSERT_EQ(found != nullptr, customer != nullptr) << key;
        EXPECT_TRUE(found == nullptr || *found == customer) << key;
    }
    EXPECT_EQ(ring.size(), 4U);
    EXPECT_EQ(ring.ambiguous_count(), 1U);
    EXPECT_EQ(key_ring().customer_of("k1"), nullptr);
}

} // namespace
