#include <zinniahub/session_token.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <utility>

namespace zinniahub
{

namespace
{

constexpr std::size_t min_secret_size = 16;
constexpr std::size_t tag_size = 16;

/// Limits the work per request; typical sessions use only a few groups.
constexpr std::size_t max_groups = 1024;

/// Format version, tag, and three varints of at most ten bytes per group.
constexpr std::size_t max_sealed_size = 1 + tag_size + max_groups * 30;

/// First byte of every token; allows the encoding to change.
constexpr char format_version = 1;

using tag = std::array<unsigned char, tag_size>;

std::optional<tag> sign(std::string_view secret, std::string_view payload)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    const auto* data = reinterpret_cast<const unsigned char*>(payload.data());
    if (HMAC(
            EVP_sha256(), secret.data(), static_cast<int>(secret.size()), data,
            payload.size(), digest.data(), &size) == nullptr ||
        size < tag_size)
    {
        return std::nullopt;
    }
    tag truncated{};
    std::copy_n(digest.begin(), tag_size, truncated.begin());
    return truncated;
}

void append_varint(std::string& out, std::uint64_t value)
{
    for (; value >= 0x80; value >>= 7)
    {
        out.push_back(static_cast<char>((value & 0x7f) | 0x80));
    }
    out.push_back(static_cast<char>(value));
}

std::optional<std::uint64_t> read_varint(std::string_view& in)
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64 && !in.empty(); shift += 7)
    {
        const auto byte = static_cast<unsigned char>(in.front());
        in.remove_prefix(1);
        if (shift == 63 && byte > 1)
        {
            return std::nullopt;
        }
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if ((byte & 0x80) == 0)
        {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<session_token> parse(std::string_view payload)
{
    if (payload.empty() || payload.front() != format_version)
    {
        return std::nullopt;
    }
    payload.remove_prefix(1);
    session_token token;
    while (!payload.empty())
    {
        const auto uid = read_varint(payload);
        const auto term = read_varint(payload);
        const auto index = read_varint(payload);
        if (!uid || !term || !index || token.positions().size() == max_groups)
        {
            return std::nullopt;
        }
        token.advance(*uid, {*term, *index});
    }
    return token;
}

} // namespace

log_position session_token::position_of(std::uint64_t group_uid) const
{
    const auto found = positions_.find(group_uid);
    return found == positions_.end() ? log_position{} : found->second;
}

void session_token::advance(std::uint64_t group_uid, log_position position)
{
    if (position == log_position{})
    {
        return;
    }
    auto& known = positions_[group_uid];
    known = std::max(known, position);
}

token_codec::token_codec(std::string secret)
    : secret_(std::move(secret))
{
}

result<token_codec> token_codec::make(std::string_view secret)
{
    if (secret.size() < min_secret_size)
    {
        return fail(
            errc::request_invalid, "the token secret is shorter than 16 bytes");
    }
    return token_codec(std::string(secret));
}

std::string token_codec::seal(const session_token& token) const
{
    std::string sealed(1, format_version);
    // Group uids are assigned in ascending order, so the last entries belong to
    // the newest groups.
    const auto& positions = token.positions();
    auto first = positions.begin();
    if (positions.size() > max_groups)
    {
        std::advance(first, positions.size() - max_groups);
    }
    for (; first != positions.end(); ++first)
    {
        append_varint(sealed, first->first);
        append_varint(sealed, first->second.term);
        append_varint(sealed, first->second.index);
    }
    if (const auto signature = sign(secret_, sealed))
    {
        sealed.append(signature->begin(), signature->end());
    }
    return sealed;
}

result<session_token> token_codec::open(std::string_view sealed) const
{
    if (sealed.empty())
    {
        return session_token{};
    }
    const auto invalid = [](const char* reason)
    { return fail(errc::session_token_invalid, reason); };
    if (sealed.size() <= tag_size || sealed.size() > max_sealed_size)
    {
        return invalid("the session token is too short or too long");
    }
    const auto payload = sealed.substr(0, sealed.size() - tag_size);
    const auto signature = sign(secret_, payload);
    if (!signature ||
        CRYPTO_memcmp(
            signature->data(), sealed.data() + payload.size(), tag_size) != 0)
    {
        return invalid("the signature of the session token is invalid");
    }
    if (auto token = parse(payload))
    {
        return *std::move(token);
    }
    return invalid("the session token is malformed");
}

} // namespace zinniahub
