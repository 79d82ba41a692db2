#pragma once

#include <zinniahub/time.hpp>

#include <optional>
#include <string_view>

namespace zinniahub::pooling
{

/// @brief Why a request was refused before a member got it, and when it should
/// be repeated.
struct wait_refusal
{
    /// Name of the reason, for metrics and logs.
    std::string_view reason;
    /// Time until a new request would be served; none if not known.
    std::optional<duration> expected_wait;
    duration retry_after{};
};

} // namespace zinniahub::pooling
