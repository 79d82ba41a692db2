#include <zinniahub/session_token.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <random>

namespace
{

using zinniahub::errc;
using zinniahub::log_position;
using zinniahub::session_token;
using zinniahub::token_codec;

constexpr auto max_value = std::numeric_limits<std::uint64_t>::max();

token_codec codec(std::string_view secret = "0123456789abcdef")
{
    return *token_codec::make(secret);
}

// Guards against secrets that are weak enough to be guessed.
TEST(session_token, short_secret_is_refused)
{
    const auto made = token_codec::make("0123456789abcde");
    ASSERT_FALSE(made);
    EXPECT_EQ(made.error().code, errc::request_invalid);
}

// Guards against reads that return an older state than the session has seen.
TEST(session_token, position_never_moves_back)
{
    session_token token;
    token.advance(7, {3, 5});
    token.advance(7, {2, 900});
    token.advance(7, {3, 4});
    EXPECT_EQ(token.position_of(7), (log_position{3, 5}));
    EXPECT_EQ(token.position_of(8), log_position{});
}

// Guards against values that the varint encoding truncates or merges.
TEST(session_token, sealed_token_opens_unchanged)
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 200; ++round)
    {
        session_token token;
        token.advance(max_value, {max_value, max_value});
        for (std::uint64_t group = 0; group < random() % 20; ++group)
        {
            token.advance(
                random() >> random() % 64,
                {random() >> random() % 64, random() >> random() % 64});
        }
        const auto opened = codec().open(codec().seal(token));
        ASSERT_TRUE(opened);
        EXPECT_EQ(opened->positions(), token.positions());
    }
}

TEST(session_token, empty_bytes_are_a_new_session)
{
    const auto opened = codec().open("");
    ASSERT_TRUE(opened);
    EXPECT_TRUE(opened->positions().empty());
}

// Guards against accepting forged or truncated tokens and tokens that were
// signed with another secret.
TEST(session_token, damaged_token_is_refused)
{
    session_token token;
    token.advance(1, {2, 300});
    token.advance(40000, {5, 6});
    const auto sealed = codec().seal(token);
    for (std::size_t size = 1; size < sealed.size(); ++size)
    {
        const auto opened = codec().open(sealed.substr(0, size));
        ASSERT_FALSE(opened) << size;
        EXPECT_EQ(opened.error().code, errc::session_token_invalid);
    }
    for (std::size_t bit = 0; bit < sealed.size() * 8; ++bit)
    {
        auto damaged = sealed;
        damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << bit % 8));
        EXPECT_FALSE(codec().open(damaged)) << bit;
    }
    EXPECT_FALSE(codec("another secret of 16+").open(sealed));
    EXPECT_FALSE(codec().open(sealed + "x"));
}

// Guards against tokens that let a host use unbounded memory or time.
TEST(session_token, size_is_bounded)
{
    session_token token;
    for (std::uint64_t group = 1; group <= 1030; ++group)
    {
        token.advance(group, {1, group});
    }
    const auto opened = codec().open(codec().seal(token));
    ASSERT_TRUE(opened);
    EXPECT_EQ(opened->positions().size(), 1024U);
    EXPECT_EQ(opened->position_of(1030), (log_position{1, 1030}));
    EXPECT_FALSE(codec().open(std::string(1U << 20U, '\1')));
}

} // namespace
