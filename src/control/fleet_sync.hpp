#pragma once

#include "control/configuration_sync.hpp"
#include "control/ownership.hpp"
#include "control/peer_client.hpp"
#include "kv/platform_client.hpp"

#include <zinniahub/membership.hpp>
#include <zinniahub/observed_state.hpp>
#include <zinniahub/relay_planner.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinniahub::control
{

/// @brief Maintains the list of hosts, relays configuration between hosts and
/// collects their reports.
///
/// Used on the control thread.
class fleet_sync
{
public:
    struct settings
    {
        host_entry self;
        std::chrono::milliseconds sync_interval{500};
        std::size_t fan_out = relay_fan_out;
        std::chrono::milliseconds call_timeout{500};
    };

    /// Returns this host's own report.
    using report_source = std::function<host_report()>;

    fleet_sync(
        kv::async_platform_client& platform, peer_client& peers,
        configuration_sync& configuration, ownership& owners, settings values,
        report_source own_report);

    /// @brief Starts the calls that are due. Must be called about every 50 ms.
    void tick(time_point now);

    /// @brief Handles a `Sync` call from a peer.
    v1::SyncReply on_sync(const v1::SyncRequest& request, time_point now);

    /// @brief Returns the live hosts. The pointer stays the same until they
    /// change.
    live_hosts live_snapshot(time_point now)
    {
        return hosts_.live_snapshot(now);
    }

    /// @brief Announces immediately that this host is leaving.
    void set_leaving();

private:
    void announce();
    void list_hosts();
    void sync_with_peers(time_point now);
    void sync_with(const std::string& host, time_point now);
    void on_sync_reply(
        const std::string& host, const result<v1::SyncReply>& reply,
        time_point sent_at);
    void write_domain_report(time_point now);
    void put_domain_report(std::string value, std::uint64_t revision);

    kv::async_platform_client& platform_;
    peer_client& peers_;
    configuration_sync& configuration_;
    ownership& owners_;
    settings settings_;
    report_source own_report_;
    host_list hosts_;
    relay_planner planner_;
    time_point started_at_;
    report_aggregator reports_;
    time_point next_announce_{};
    time_point next_host_list_{};
    time_point next_sync_{};
    time_point next_report_{};
    std::uint64_t report_revision_ = 0;
    std::string last_written_report_;
    time_point last_written_at_{};
    bool report_write_pending_ = false;
};

} // namespace zinniahub::control
