#pragma once

#include "support/caller.hpp"
#include "support/process.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace zinniahub::test
{

/// @brief Size and settings of a test fleet.
struct fleet_options
{
    /// Failure domains; members and proxies are placed in turn.
    std::vector<std::string> domains{
        "brno-studio", "brno-archive", "olomouc-annex", "zlin-colo"};
    std::size_t proxies = 4;
    std::vector<std::string> groups{"booth-ledger"};
    std::size_t members = 3;
    /// Failure domains of a group's members where they differ from `domains`.
    std::map<std::string, std::vector<std::string>> member_domains;

    int lag_ms = 5;
    int slots = 3;
    int connections = 20;
    int connect_ms = 10;
    int statement_ms = 0;
    int list_lag_ms = 1000;

    /// Fault proxies between proxies and members, proxies and the platform,
    /// proxies and proxies, members and members.
    bool member_faults = false;
    bool platform_faults = false;
    bool peer_faults = false;
    bool replication_faults = false;
    /// Fault proxy between operator commands and the platform.
    bool operator_faults = false;

    /// Places the first member of each group in another failure domain, so
    /// that one domain does not hold all primaries.
    bool spread_groups = false;

    /// TOML text appended to every proxy's settings file.
    std::string settings;
    /// Customers that are declared at the start, with a key of the same name
    /// and the rate and burst given here.
    std::map<std::string, std::pair<double, double>> customers{
        {"session-desk", {1000, 1000}}};
};

/// @brief A platform, members and proxies as real processes on loopback.
///
/// Member i of group g is named "<group>-m<i>", proxy i "proxy<i>".
class fleet
{
public:
    /// @brief Starts everything, declares groups and customers and waits until
    /// every proxy serves.
    /// @throws std::runtime_error if the fleet does not come up within 20 s
    explicit fleet(fleet_options options);
    ~fleet();

    /// @brief Runs an operator command, e.g. {"apply", "customer", ...}. The
    /// platform's address is appended.
    command_result operate(std::vector<std::string> arguments) const;

    /// @brief A caller of `customer` connected to a proxy.
    std::unique_ptr<caller> connect(
        std::size_t proxy, const std::string& customer,
        const std::string& group = {}) const;

    const std::string& key_of(const std::string& customer) const
    {
        return keys_.at(customer);
    }
    /// @brief Declares a group of the options again.
    command_result declare_group(const std::string& group) const;
    /// @brief Declares that requests to a group may come without a key.
    command_result open_group(const std::string& group) const;
    /// @brief Declares one more key for a customer and returns it.
    std::string add_key(const std::string& customer, const std::string& id);

    // Processes
    process& member(const std::string& name);
    process& proxy(std::size_t index);
    process& platform();
    void start_proxy(std::size_t index);
    std::size_t proxies() const
    {
        return proxies_.size();
    }
    /// @brief Index of the proxy that owns the rate pool of a customer.
    std::optional<std::size_t> rate_owner_of(const std::string& customer) const;
    /// @brief Number of seats that have a lease.
    std::size_t held_seats() const;
    /// @brief Name of the host that is delegate of a failure domain.
    std::string delegate_of(const std::string& domain) const;
    /// @brief Waits until every proxy uses the floor of a seat and every rate
    /// pool has an owner.
    bool wait_until_rates_settle() const;
    /// @brief Restarts a killed member with an empty log.
    void rejoin_member(const std::string& name);
    /// @brief Withdraws a group, replaces its member processes by new, empty
    /// ones at new addresses and declares it again under its name.
    /// @throws std::runtime_error if an operator command fails
    void recreate_group(const std::string& group);

    // Control ports of the stand-ins
    std::string platform_command(const std::string& command) const;
    std::string
    member_command(const std::string& name, const std::string& command) const;
    /// @brief Rows a member holds.
    std::map<std::string, std::string> rows_of(const std::string& member) const;
    /// @brief Value of "key=value" in the member's stats.
    std::string
    member_stat(const std::string& name, const std::string& key) const;
    /// @brief Requests that reached the member on all its connections.
    std::uint64_t requests_at(const std::string& name) const;
    /// @brief Name of the member that is primary in the highest term.
    std::string primary_of(const std::string& group) const;
    std::vector<std::string> members_of(const std::string& group) const;
    std::vector<std::string> member_names() const;

    /// @brief Host that holds each key below /zinniahub/owner/.
    std::map<std::string, std::string> owners() const;

    // Fault proxies; `name` as documented at each function.
    /// Link from a proxy to a member.
    std::string member_fault(
        std::size_t proxy, const std::string& member,
        const std::string& command) const;
    /// Link from a proxy to the platform.
    std::string
    platform_fault(std::size_t proxy, const std::string& command) const;
    /// Link from operator commands to the platform.
    std::string operator_fault(const std::string& command) const;
    /// Link from a proxy to another proxy's peer service.
    std::string peer_fault(
        std::size_t from, std::size_t to, const std::string& command) const;
    /// Link from a replica to the member it replicates from.
    std::string replication_fault(
        const std::string& replica, const std::string& source,
        const std::string& command) const;

    /// @name Failure domains; need the fault proxies of the links
    /// @{
    /// @brief Cuts the links between the proxies and members of a failure
    /// domain and all proxies and members of the others.
    void cut_domain_from_peers(const std::string& domain) const;
    /// @brief Cuts the proxies of a failure domain off from the platform.
    void cut_domain_from_platform(const std::string& domain) const;
    /// @brief Undoes both cuts.
    void heal_domain(const std::string& domain) const;
    /// @}

    /// @brief One value of a proxy's metrics page, by its full name; 0 if it
    /// is missing.
    double metric(std::size_t proxy, const std::string& name) const;
    std::string metrics_page(std::size_t proxy) const;
    std::string log_of(const std::string& process_name) const;

    std::size_t proxy_count() const
    {
        return proxies_.size();
    }
    const std::string& peer_address(std::size_t index) const
    {
        return proxies_[index].peer_address;
    }
    const std::string& proxy_address(std::size_t index) const
    {
        return proxies_[index].caller_address;
    }
    std::string domain_of_proxy(std::size_t index) const
    {
        return options_.domains[index % options_.domains.size()];
    }
    std::string
    domain_of_member(const std::string& group, std::size_t index) const;
    std::string domain_of(const std::string& member) const
    {
        return members_.at(member).domain;
    }
    const std::string& member_address(const std::string& member) const
    {
        return members_.at(member).address;
    }
    const std::string& platform_address() const
    {
        return platform_address_;
    }

private:
    struct member_process
    {
        std::string group;
        std::uint64_t uid = 0;
        std::string domain;
        std::string address;
        std::string control;
        process running;
    };

    struct proxy_process
    {
        std::string name;
        std::string domain;
        std::string caller_address;
        std::string peer_address;
        std::string metrics_address;
        std::string settings_path;
        process running;
    };

    struct fault_link
    {
        std::string address;
        std::string control;
        process running;
    };

    /// Host by key below a prefix of the table of owners.
    std::map<std::string, std::string>
    owners_of(const std::string& prefix) const;
    void start_platform();
    void start_members();
    void start_member(const std::string& name, bool rejoin);
    void wait_for_member(const std::string& name) const;
    void start_proxies();
    void declare();
    std::vector<std::string> declaration_of(const std::string& group) const;
    std::uint64_t declare_and_get_uid(const std::string& group);
    void wait_until_serving();
    const std::string& add_link(const std::string& name, const std::string& to);
    std::string
    link_command(const std::string& name, const std::string& command) const;
    std::string log_path(const std::string& name) const;
    void write_settings(std::size_t index);
    void command_links_of_domain(
        const std::string& domain, const std::string& command) const;
    void command_platform_links_of_domain(
        const std::string& domain, const std::string& command) const;

    fleet_options options_;
    std::string directory_;
    std::string platform_address_;
    std::string platform_control_;
    /// Address that operator commands use.
    std::string operator_address_;
    process platform_;
    std::map<std::string, member_process> members_;
    std::vector<proxy_process> proxies_;
    std::map<std::string, fault_link> links_;
    std::map<std::string, std::string> keys_;
};

/// @brief Called when a fleet is destroyed; decides whether its logs are
/// printed. Empty unless a test framework sets it.
std::function<bool()>& failure_check();

/// @brief Waits until a condition holds. @return false after the timeout
bool eventually(
    std::chrono::milliseconds timeout, const std::function<bool()>& condition);

/// @brief Sends one command to a control port and returns the reply.
std::string
control_command(const std::string& address, const std::string& command);

} // namespace zinniahub::test
