#pragma once

#include "coordination/store.hpp"

#include <cstdint>
#include <string_view>

namespace zinniahub::tests
{

/// @brief Store that serves nobody.
class absent_store : public coordination::store
{
public:
    coordination::awaitable<result<coordination::store_batch>>
    list(std::string_view) override
    {
        co_return fail(errc::platform_unavailable);
    }
    coordination::awaitable<result<coordination::store_batch>>
    watch(std::string_view, std::uint64_t, duration) override
    {
        co_return fail(errc::platform_unavailable);
    }
    coordination::awaitable<result<std::uint64_t>>
    commit(const coordination::store_transaction&) override
    {
        co_return fail(errc::platform_unavailable);
    }
    coordination::awaitable<result<coordination::store_lease>>
    grant_lease(duration) override
    {
        co_return fail(errc::platform_unavailable);
    }
    coordination::awaitable<result<duration>>
    renew_lease(std::uint64_t) override
    {
        co_return fail(errc::platform_unavailable);
    }
    coordination::awaitable<result<void>> revoke_lease(std::uint64_t) override
    {
        co_return fail(errc::platform_unavailable);
    }
    time_point last_answer_at() const override
    {
        return time_point::min();
    }
};

} // namespace zinniahub::tests
