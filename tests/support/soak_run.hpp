#pragma once

#include "support/hosted_proxy.hpp"
#include "support/soak_callers.hpp"
#include "support/soak_schedule.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace zinniahub::test
{

struct soak_settings
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{20000};
    unsigned proxies = 4;
    unsigned callers = 9;
    /// See `hosted_platform::settings`.
    bool tokens_checked = true;
};

/// @brief What happened to the processes and the stand-ins, for the checks.
struct soak_history
{
    struct span
    {
        soak_time from;
        soak_time to;
    };
    struct promotion
    {
        std::string instance;
        soak_time at;
        /// Acknowledged values that the log of the new primary lacks.
        std::vector<std::string> missing;
    };

    soak_time begun;
    std::vector<promotion> promotions;
    /// For each proxy: from a fault that ends or suspends it without notice to
    /// the end of the fault.
    std::map<std::size_t, std::vector<span>> proxy_faults;
    /// For each proxy: from SIGTERM to the end of the process.
    std::map<std::size_t, std::vector<span>> proxy_stops;
    /// Faults of the store and of members that were not planned.
    std::vector<span> faults;
    /// Times at which a member ended as planned.
    std::vector<soak_time> member_ends;
    /// Acknowledged configurations: whether the key "key-b" holds.
    std::vector<std::pair<soak_time, bool>> second_key;
    /// Rules that were broken by the processes themselves.
    std::vector<std::string> findings;
};

/// @brief Outcome of a run.
struct soak_report
{
    std::vector<std::string> findings;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t acknowledged = 0;
    std::size_t promotions = 0;
    /// Time until all proxies had served a write after the last fault.
    std::chrono::milliseconds recovery{};
};

/// @brief Proxy processes, callers and a schedule of faults on a
/// `hosted_platform`.
class soak_run
{
public:
    explicit soak_run(const soak_settings& values);
    ~soak_run();

    soak_report run();
    /// @brief Logs of the proxies, for a failed run.
    std::string log(std::size_t index) const;

    static constexpr double limited_rate = 30;

private:
    enum class proxy_state
    {
        running,
        stopping,
        down
    };

    struct proxy
    {
        std::unique_ptr<hosted_proxy> host;
        proxy_state state = proxy_state::running;
        /// Counts starts, so that a delayed action applies to one process.
        unsigned start = 0;
        bool is_suspended = false;
        bool was_suspended_in_stop = false;
        soak_time started;
        soak_time stop_began;
        std::chrono::milliseconds downtime{};
        std::atomic<bool> in_rotation{true};
    };

    /// A member in service, or the place of one that is to be replaced.
    struct slot
    {
        std::size_t index = 0;
        bool is_running = true;
        bool is_leaving = false;
        bool is_leaving_accepted = false;
        std::chrono::milliseconds leaving_time{};
        bool is_registered = true;
        bool is_primary = false;
        std::int64_t born = 1000;
        soak_time last_heartbeat;
        /// The store does not get its heartbeats before.
        soak_time silent_until;
    };

    void after(std::chrono::milliseconds delay, std::function<void()> action);
    void turn();
    void run_until(soak_time end);
    bool is_whole() const;

    void apply(const soak_event& event);
    void kill_proxy(proxy& target, std::chrono::milliseconds downtime);
    void stop_proxy(proxy& target, std::chrono::milliseconds downtime);
    void suspend_proxy(proxy& target, std::chrono::milliseconds duration);
    void change_settings(proxy& target, bool is_signalled);
    void restart_proxy(proxy& target);
    void watch_proxy(proxy& target);
    std::size_t index_of(const proxy& target) const;

    void write_configuration();
    void configure(unsigned versions, std::chrono::milliseconds interval);
    void begin_outage(const soak_event& event);
    void end_outage();
    void expire_registrations(const soak_event& event);
    void crash(slot& target, std::chrono::milliseconds downtime);
    void stall(slot* target, std::chrono::milliseconds duration);
    void replace(slot& target, std::chrono::milliseconds leaving_time);
    void send_heartbeat(slot& target);
    slot* primary_slot();
    slot* replica_slot(unsigned number);

    bool serves(proxy& target);
    void await_recovery();
    void note_promotion(const std::string& instance, const replicated_log& log);
    soak_report report();

    soak_settings settings_;
    seeded_numbers numbers_;
    hosted_platform platform_;
    std::vector<std::unique_ptr<proxy>> proxies_;
    std::vector<std::unique_ptr<slot>> slots_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    std::multimap<soak_time, std::function<void()>> agenda_;
    soak_history history_;
    unsigned version_ = 1;
    bool has_second_key_ = true;
    bool is_store_down_ = false;
    soak_time outage_end_;
    unsigned late_orders_ = 0;
    std::chrono::milliseconds recovery_{};
};

/// @brief The rules that a run broke.
/// @param ledger all statements that were sent
std::vector<std::string> check_soak(
    const soak_history& history, const std::vector<soak_request>& requests,
    const std::vector<soak_write>& writes, const statement_ledger& ledger,
    replicated_log& log);

} // namespace zinniahub::test
