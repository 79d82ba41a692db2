#pragma once

#include "coordination/duty_lease.hpp"
#include "coordination/hold_channel.hpp"
#include "coordination/member_relay.hpp"
#include "coordination/store.hpp"
#include "observability/event_log.hpp"
#include "pooling/ports.hpp"

#include <zinniahub/failover_planner.hpp>
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

/// @brief Runs the failover planner on the host that holds the duty, the only
/// one that may order promotions.
///
/// The fencing token is the revision of a write to the holder's key. An order
/// that names another member than the one before gets a higher token, so that
/// the platform refuses the earlier order if it is carried out late.
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
        /// See `duty_lease`.
        duration return_delay = duration::zero();
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
    void on_item(const stored_item& item)
    {
        duty_.on_item(item);
    }
    /// @brief A new listing starts.
    void clear()
    {
        duty_.clear();
    }

    /// @brief See `duty_lease`.
    void set_eligible(bool eligible)
    {
        duty_.set_eligible(eligible);
    }

    bool is_leader(time_point now) const
    {
        return duty_.is_held(now);
    }
    /// @brief The duty, which this host may hold.
    duty_lease& duty()
    {
        return duty_;
    }
    /// @brief True while changes of the members must be learned without delay.
    bool is_urgent() const;
    std::uint64_t orders_sent() const
    {
        return orders_sent_;
    }

    /// @brief Gives the duty up; the host is stopping.
    awaitable<void> stop()
    {
        return duty_.stop();
    }

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

    duty_lease::handlers duty_handlers();
    void on_duty_taken();
    /// Reads the records, unless they were read after the duty was taken.
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
    duty_lease duty_;
    /// Hosts that the planners know.
    std::vector<std::string> hosts_;
    /// True if the records were read after the duty was taken.
    bool groups_loaded_ = false;
    std::uint64_t orders_sent_ = 0;
};

} // namespace zinniahub::coordination
