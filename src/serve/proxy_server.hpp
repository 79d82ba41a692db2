#pragma once

#include "control/configuration_sync.hpp"
#include "control/fleet_sync.hpp"
#include "control/group_control.hpp"
#include "control/ownership.hpp"
#include "control/peer_client.hpp"
#include "control/peer_service.hpp"
#include "control/rate_control.hpp"
#include "kv/platform_client.hpp"
#include "observability/metrics.hpp"
#include "observability/metrics_server.hpp"
#include "serve/fleet_state.hpp"
#include "session/caller_service.hpp"
#include "settings/settings.hpp"

#include <zinniahub/drain.hpp>
#include <zinniahub/observed_state.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <grpcpp/grpcpp.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinniahub::serve
{

/// @brief One proxy process: connects the control part and the traffic part.
///
/// `run` is the control thread.
class proxy_server
{
public:
    explicit proxy_server(const settings::host_settings& values);

    /// @brief Serves until it has drained after SIGTERM.
    /// @return exit code
    int run();

private:
    result<void> start_servers();
    void shut_down_servers();
    void schedule_tick();
    void tick();

    // Configuration
    void on_configuration(desired_state_ptr desired);
    void load_token_secret();
    void update_health();
    void on_token_secret(const std::string& secret);
    void create_token_secret();
    void apply_groups();
    void apply_customers();
    void publish_snapshot();
    group_definition definition_of(const group_resource& group) const;
    std::string address_of(const member_resource& member) const;
    std::shared_ptr<control::group_control>
    make_group(const group_resource& group);

    // Reports
    host_report make_report();
    void update_loads();
    void update_gauges();
    void update_ranks();

    // Planned stop
    void on_signal();
    void perform(const std::vector<drain_action>& actions);

    settings::host_settings settings_;
    std::uint64_t incarnation_;
    boost::asio::io_context io_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer exit_timer_;
    boost::asio::thread_pool traffic_;
    metrics::registry metrics_;
    proxy_state state_;
    traffic::traffic_policy policy_;

    std::unique_ptr<kv::async_platform_client> platform_;
    control::peer_client peers_;
    control::configuration_sync configuration_;
    control::ownership owners_;
    control::fleet_sync fleet_;
    control::rate_control rates_;
    control::peer_service peer_service_;
    session::caller_service caller_service_;
    std::unique_ptr<metrics::metrics_server> metrics_server_;
    std::unique_ptr<grpc::Server> caller_server_;
    std::unique_ptr<grpc::Server> peer_server_;

    desired_state_ptr desired_;
    std::shared_ptr<const token_codec> codec_;
    bool secret_requested_ = false;
    std::map<std::string, std::shared_ptr<control::group_control>> groups_;
    control::rate_control::admissions customers_;
    /// Requests that wait for or use a member, by group and member.
    std::map<std::string, std::vector<std::pair<std::string, std::uint32_t>>>
        loads_;
    std::size_t live_hosts_ = 1;
    time_point next_slow_tick_{};
    drain_controller drain_;
};

} // namespace zinniahub::serve
