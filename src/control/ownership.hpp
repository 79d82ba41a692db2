#pragma once

#include "control/owner_planner.hpp"
#include "kv/platform_client.hpp"
#include "zinniahub/v1/configuration.pb.h"
#include "zinniahub/v1/peer.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace zinniahub::control
{

/// @brief Manages the keys that this host owns under a lease (shards of the
/// rate pools, the delegate role and a seat) and caches the owners of the
/// other keys.
///
/// Sends the platform calls that `owner_planner` requests. Must be used on the
/// control thread; the calls are asynchronous.
class ownership
{
public:
    static constexpr auto renewal_interval = owner_planner::renewal_interval;
    static constexpr auto seat_renewal_interval =
        owner_planner::seat_renewal_interval;
    static constexpr auto seat_activation_delay =
        owner_planner::seat_activation_delay;

    struct settings
    {
        owner_planner::settings planner;
        std::chrono::milliseconds call_timeout{500};
    };

    ownership(kv::async_platform_client& platform, settings values);

    /// @brief Sends the calls that are due. Must be called about every 50 ms.
    /// @param live hosts that compete for shards and the delegate role
    void tick(live_hosts live, time_point now);

    /// @brief Revokes the leases on a planned shutdown.
    void release();

    /// @brief Returns the known owner of a shard, or null.
    const key_owner* owner_of_shard(std::uint32_t shard) const;

    /// @brief True if this host owns the shard under a valid lease.
    bool owns_shard(std::uint32_t shard, time_point now) const;

    bool is_delegate(time_point now) const;
    /// @brief Name of the delegate of a failure domain; empty if unknown.
    std::string delegate_of(std::string_view failure_domain) const;

    /// @brief True if the table of owners has not been read from the platform
    /// for longer than `owner_ttl`, so that it may be out of date.
    bool is_table_stale(time_point now) const;

    /// @brief Owners of shards and delegates, for a peer that cannot reach the
    /// platform; empty if this host's own table may be out of date.
    google::protobuf::RepeatedPtrField<v1::OwnerRecord>
    known_owners(time_point now) const;

    /// @brief Merges owner records from a peer; the higher revision wins.
    void on_owners_received(
        const google::protobuf::RepeatedPtrField<v1::OwnerRecord>& owners);

    /// @brief Number of seats that are held, as of the latest table read.
    std::uint32_t held_seats() const;

    /// @brief Period in which this host may use its seat's floor; both ends
    /// are `never` without a seat.
    std::pair<time_point, time_point> seat_period() const;

private:
    void perform(const owner_actions& actions);
    void start(const read_owners& action);
    void start(const grant_lease& action);
    void start(const renew_lease& action);
    void start(const revoke_lease& action);
    void start(const claim_key& action);
    void start(const remove_key& action);

    kv::async_platform_client& platform_;
    std::chrono::milliseconds call_timeout_;
    owner_planner planner_;
};

} // namespace zinniahub::control
