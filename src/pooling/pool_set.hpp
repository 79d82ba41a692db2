#pragma once

#include "pooling/member_pool.hpp"

#include <map>
#include <string>
#include <string_view>

namespace zinniahub::pooling
{

/// @brief Pools of the members of one service, by instance.
class pool_set
{
public:
    using pool_map = std::map<std::string, member_pool, std::less<>>;

    /// @brief Sets the limits of all pools, including those created later.
    void set_limits(member_pool::limits values)
    {
        limits_ = values;
        for (auto& [instance, pool] : pools_)
        {
            pool.set_limits(limits_);
        }
    }

    /// @brief Pool of a member; created if there is none.
    member_pool& of(const std::string& instance)
    {
        const auto [entry, inserted] = pools_.try_emplace(instance);
        if (inserted)
        {
            entry->second.set_limits(limits_);
        }
        return entry->second;
    }

    /// @brief Pool of a member, or null.
    const member_pool* find(std::string_view instance) const
    {
        const auto found = pools_.find(instance);
        return found == pools_.end() ? nullptr : &found->second;
    }

    pool_map& all()
    {
        return pools_;
    }
    const pool_map& all() const
    {
        return pools_;
    }

private:
    member_pool::limits limits_;
    pool_map pools_;
};

} // namespace zinniahub::pooling
