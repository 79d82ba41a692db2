#pragma once

#include "coordination/hold_channel.hpp"
#include "coordination/member_relay.hpp"
#include "coordination/store.hpp"
#include "observability/event_log.hpp"
#include "pooling/ports.hpp"

#include <zinniahub/failover_planner.hpp>
#include <zinniahub/lease.hpp>
#include <zinniahub/proxy_configuration.hpp>
#include <zinniahub/replication_group.hpp>
#include <zinniahub/upstream_directory.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// @brief Key that the holder of the duty keeps under its lease.
inline constexpr std::string_view duty_key = "zinniahub/duty/promotion";

/// @brief Elects the one host that may order promotions (the duty) and runs
/// the failover planner on it.
///
/// The holder keeps a key under a lease and stops as soon as the lease may
/// have expired. The fencing token is the revision of a write to that key. An
/// order that names another member than the one before gets a higher token, so
/// that the platform refuses the earlier order if it is carried out late.
///
/// The holder records the replication group of each service in the store. A
/// write expects the holder's key unchanged, so that only the present holder
/// can change a record, and a new holder plans only after it has read the
/// records: members whose registrations are missing are not forgotten. An order
/// is in the record before it is sent, because the platform may carry it out
/// after the duty has moved.
class promotion_coordinator
{
public:
    struct settings
    {
        std::string host;
        duration ttl = std::chrono::seconds(4);
        duration renew_interval = std::chrono::milliseconds(1000);
        /// Delay before another host claims a vacant duty, so that a restarted
        /// holder can claim it first.
        duration claim_delay = std::chrono::milliseconds(200);
        /// The platform rejects outdated fencing tokens, and a replaced primary
        /// stops leading at once.
        bool tokens_checked = true;
    };

    promotion_coordinator(
        boost::asio::io_context& io, store& target, promotion_api& platform,
        pooling::member_connector& connector, member_relay& relay,
        hold_channel& holds, const upstream_directory& directory,
        settings values, log::event_log& events);
    ~promotion_coordinator();

    void start();
    void on_configuration(configuration_ptr configuration)
    {
        configuration_ = std::move(configuration);
    }
    /// @brief Applies an item below `state_prefix`.
    void on_item(const stored_item& item);
    /// @brief A new listing starts.
    void clear()
    {
        leader_.clear();
        revision_ = 0;
    }

    /// @brief An ineligible host, one that cannot reach most members, gives up
    /// the duty.
    void set_eligible(bool eligible)
    {
        eligible_ = eligible;
    }

    bool is_leader(time_point now) const
    {
        return lease_id_ != 0 && lease_.is_valid(now);
    }
    /// @brief True while changes of the members must be learned without delay.
    bool is_urgent() const;
    std::uint64_t orders_sent() const
    {
        return orders_sent_;
    }

    /// @brief Gives the duty up; the host is stopping.
    awaitable<void> stop();

private:
    class member_control;
    struct service_state
    {
        explicit service_state(failover_planner::settings values);
        ~service_state();

        failover_planner planner;
        std::map<std::string, std::unique_ptr<member_control>, std::less<>>
            members;
        replication_group_tracker group;
        bool recording = false;
        time_point next_record = time_point::min();
        std::string last_state = "steady";
        /// Fencing token and member of the last order.
        std::uint64_t fencing_token = 0;
        std::string ordered_instance;
    };

    awaitable<void> maintain_leadership();
    awaitable<void> acquire_leadership();
    awaitable<void> renew_lease();
    void on_leadership_lost(std::string_view reason);
    /// Ends the lease at once, so that another host can acquire the duty.
    /// Repeats the call until it is answered or the lease has ended anyway.
    awaitable<void> release_leadership(std::string_view reason);
    awaitable<void> load_groups();
    void load_group(const stored_item& item);
    awaitable<void> record_group(std::string service);
    /// Records that a member may be promoted from now on.
    /// @return false if the record could not be written
    awaitable<bool> record_order(std::string service, std::string instance);
    /// Waits until no record of the service is being written.
    awaitable<void> wait_for_record(const std::string& service);
    /// Takes the registrations and the planner's knowledge into the group.
    void update_group(
        const service_definition& definition, service_state& service,
        time_point now);
    std::vector<replication_member>
    planner_members(const replication_group& group) const;
    awaitable<void> run_planner();
    void log_state_change(
        const std::string& name, service_state& service, time_point now);
    /// Logs the members on whose statuses an order is based.
    void log_order_basis(
        const std::string& service, const std::string& ordered,
        const std::vector<failover_member_report>& members);
    /// Logs that a member has paused or resumed replication.
    void log_replication(
        const std::string& service, const std::string& instance,
        member_control& control, const replication_status& status);
    void plan_service(
        const service_definition& definition, service_state& service,
        time_point now);
    void execute_step(
        const std::string& name, service_state& service,
        const failover_step& step);
    void on_hold_answer(std::string_view service, const hold_answer& answer);
    /// Gives the planners the hosts, if these have changed.
    void update_hosts();
    /// Waits until hosts that have not promised to hold acknowledgements know
    /// the order from its record.
    awaitable<void> wait_for_hosts(const std::string& service);
    void on_relayed_status(
        const relayed_command& value, const replication_status& status,
        time_point asked_at);
    /// State of a service; created if there is none.
    service_state& state_of(const std::string& service);
    static member_control&
    member_control_for(service_state& service, const std::string& instance);
    awaitable<void> run_on_member(
        std::string service, std::string instance, pooling::command value);
    awaitable<void>
    send_order(std::string service, failover_action::order_promotion value);
    awaitable<result<std::uint64_t>>
    fencing_token_for(service_state& service, const std::string& instance);

    boost::asio::io_context& io_;
    store& store_;
    promotion_api& platform_;
    pooling::member_connector& connector_;
    member_relay& relay_;
    hold_channel& holds_;
    const upstream_directory& directory_;
    settings settings_;
    log::event_log& events_;
    configuration_ptr configuration_;
    std::map<std::string, service_state, std::less<>> services_;
    lease_clock lease_;
    std::uint64_t lease_id_ = 0;
    /// Revision under which the duty was taken.
    std::uint64_t duty_revision_ = 0;
    /// Hosts that the planners know.
    std::vector<std::string> hosts_;
    /// Holder and revision of the key, as last read from the store.
    std::string leader_;
    std::uint64_t revision_ = 0;
    time_point vacant_since_ = never;
    /// True if the records were read after the duty was taken.
    bool groups_loaded_ = false;
    std::uint64_t orders_sent_ = 0;
    bool leaving_ = false;
    bool eligible_ = true;
    /// When a renewal first got no answer. Renewals stop until the store
    /// answers again: they may arrive although answers are lost, and would
    /// keep the duty from a host that can use it.
    time_point renewal_failed_at_ = time_point::min();
};

} // namespace zinniahub::coordination
