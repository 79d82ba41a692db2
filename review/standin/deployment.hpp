#pragma once

#include "support/hosted_platform.hpp"
#include "support/hosted_proxy.hpp"
#include "support/process.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// @brief Writes `record.txt`: what was sent, answered and run.
class recorder
{
public:
    explicit recorder(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady_clock::time_point start_ = steady_clock::now();
};

/// @brief A process of the deploy file, `target/zinniahub serve-platform`.
class entry_host
{
public:
    entry_host(
        const std::string& folder, const std::string& name,
        const std::string& store, const std::string& failover);

    const std::string& name() const
    {
        return name_;
    }
    const std::string& address() const
    {
        return client_;
    }
    void start();
    bool is_ready() const;
    zinniahub::test::process& child()
    {
        return child_;
    }

private:
    std::string name_;
    std::string client_;
    std::string ready_;
    std::string settings_;
    std::string log_;
    zinniahub::test::process child_;
};

/// @brief Entry hosts, the project's stand-ins of store and members, and the
/// platform's failover call as the pages describe it: an accepted order takes
/// effect `promotion_time` later, and a later order for the present primary
/// changes nothing.
class deployment
{
public:
    /// @param site_promotion_time "a promote" of the site's databases
    deployment(
        recorder& record, std::size_t hosts, std::size_t members,
        milliseconds site_promotion_time);
    ~deployment();

    bool wait_until_ready();
    zinniahub::test::hosted_platform& platform()
    {
        return platform_;
    }
    entry_host* host(const std::string& name);
    std::vector<std::unique_ptr<entry_host>>& hosts()
    {
        return hosts_;
    }

    /// @brief Starts clients that write single statements on each host.
    /// @param except name of a host without clients
    void start_clients(std::size_t per_host, const std::string& except = {});
    void stop_clients();

    /// @brief Members that announced that they leave.
    void drain(std::size_t index);

    /// @brief Called with the service's log locked when a member has become the
    /// primary.
    std::function<void(const std::string&, zinniahub::test::replicated_log&)>
        on_primary;

    struct order
    {
        std::string holder;
        std::string instance;
        std::uint64_t token = 0;
        /// False if the named member was the primary already.
        bool changes = false;
        steady_clock::time_point at;
    };
    std::vector<order> orders() const;
    /// @brief Name of the host that holds the promotion duty; empty if there
    /// is none in time.
    std::string wait_for_holder(milliseconds timeout);
    bool wait_for_order(milliseconds timeout, order& found) const;

    std::size_t acknowledged() const;
    /// @brief Acknowledged writes that were not in the log of a member when it
    /// became the primary.
    std::size_t lost() const;
    /// @brief Reads some of them through the last host, for the record.
    void read_lost_items();

private:
    struct pending
    {
        steady_clock::time_point due;
        std::string instance;
    };

    bool on_order(const zinniahub::test::hosted_store::promotion& named);
    void carry_out();
    void check_log(
        const std::string& instance,
        const zinniahub::test::replicated_log& log);
    static void roll_back(
        const std::string& instance, zinniahub::test::replicated_log& log);
    void register_all();
    void run_client(entry_host& host, std::size_t number);

    recorder& record_;
    milliseconds promotion_time_;
    std::string folder_;
    zinniahub::test::hosted_platform platform_;
    std::vector<std::unique_ptr<entry_host>> hosts_;
    mutable std::mutex mutex_;
    std::vector<order> orders_;
    std::vector<pending> pending_;
    std::map<std::size_t, bool> draining_;
    /// Data of writes that were answered with success, with their times.
    std::map<std::string, steady_clock::time_point> acknowledged_;
    std::set<std::string> lost_data_;
    std::atomic<bool> ended_{false};
    std::atomic<bool> clients_ended_{false};
    std::vector<std::thread> clients_;
    std::thread worker_;
};

} // namespace review
