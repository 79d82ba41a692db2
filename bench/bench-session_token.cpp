#include "report.hpp"

#include <zinniahub/session_token.hpp>

#include <string>

namespace
{

using namespace zinniahub;

/// Encoded size of a UUID: 16 bytes and a length prefix.
constexpr std::size_t uuid_bytes = 17;
/// Returns the encoded size of a uid up to 30,000: a varint of up to 3 bytes.
std::size_t uid_bytes(std::uint64_t uid)
{
    return uid < 1U << 7U ? 1 : uid < 1U << 14U ? 2 : 3;
}

void measure(
    const bench::report& out, const token_codec& codec, std::size_t groups)
{
    session_token token;
    std::size_t uids = 0;
    for (std::size_t i = 0; i < groups; ++i)
    {
        const auto uid = 30'000 - i * 3'000;
        token.advance(uid, {7, 1'000'000'000 + i});
        uids += uid_bytes(uid);
    }
    const auto sealed = codec.seal(token);
    const auto seal = bench::microseconds_per_call(
        [&] { bench::do_not_optimize(codec.seal(token)); });
    const auto open = bench::microseconds_per_call(
        [&] { bench::do_not_optimize(codec.open(sealed)); });
    out.row(
        "session_token",
        {{"groups", groups},
         {"bytes", sealed.size()},
         {"bytes_with_uuids", sealed.size() + groups * uuid_bytes - uids},
         {"seal_us", seal},
         {"open_us", open}});
}

} // namespace

int main(int argc, char** argv)
{
    const bench::report out(argc, argv);
    const auto codec = token_codec::make("0123456789abcdef0123456789abcdef");
    out.section("Session tokens of 1 to 10 groups");
    for (std::size_t groups = 1; groups <= 10; ++groups)
    {
        measure(out, *codec, groups);
    }
}
