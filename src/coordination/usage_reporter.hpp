#pragma once

#include "coordination/datagram_transport.hpp"
#include "coordination/duty_lease.hpp"
#include "coordination/host_registry.hpp"
#include "coordination/store.hpp"
#include "coordination/usage_message.hpp"
#include "observability/event_log.hpp"
#include "observability/metrics.hpp"
#include "pooling/ports.hpp"

#include <zinniahub/fleet_time.hpp>
#include <zinniahub/proxy_configuration.hpp>
#include <zinniahub/usage_collection.hpp>
#include <zinniahub/usage_counter.hpp>
#include <zinniahub/usage_outbox.hpp>
#include <zinniahub/usage_report_planner.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// @brief Key of the record of the usage reports.
inline constexpr std::string_view usage_key = "zinniahub/usage";

/// @brief Counts the operations of this host, exchanges counts with the other
/// hosts and, while this host holds the duty, reports the usage of each window.
///
/// Connects the pure modules to datagrams, to the store and to the platform's
/// call; see docs/design/usage.md.
class usage_reporter : public pooling::usage_sink
{
public:
    struct settings
    {
        std::string host;
        /// Length of a window.
        duration window = std::chrono::seconds(5);
        /// Time after the end of a window at which its report is due.
        duration delay = std::chrono::seconds(10);
    };

    usage_reporter(
        boost::asio::io_context& io, store& target, usage_api& platform,
        datagram_transport& network, const host_registry& hosts,
        duty_lease& duty, settings values, log::event_log& events);

    void start();
    /// @brief Applies an item below `state_prefix`.
    void on_item(const stored_item& item);
    void on_configuration(configuration_ptr configuration)
    {
        configuration_ = std::move(configuration);
    }

    void on_operation(std::string_view customer, time_point sent_at) override;

    /// @brief Sends the counts of this host as final; it runs no further
    /// operation.
    void finish();

    void write_metrics(metrics::registry& target) const;

private:
    awaitable<void> run();
    void on_tick();
    /// Moves this host's own counts to the collection.
    void collect_own(duration time_of_day, std::uint64_t present);
    void update_collectors(time_point now);
    void send_counts(time_point now);
    void send_counts_to(const std::string& target, time_point now);
    void send_entry(
        const std::string& address, const usage_outbox::item& item,
        const usage_entry& entry);
    void send_time(time_point now);
    void update_duty(time_point now);
    void plan(time_point now);
    void close_through(std::uint64_t window);

    void on_counts(std::string_view from, std::string_view text);
    void on_acknowledgement(std::string_view from, std::string_view text);
    void on_time(std::string_view from, std::string_view text);
    /// Acknowledges counts that are complete or no longer needed.
    void acknowledge(std::string_view from, const usage_part& part);
    bool is_from_host(std::string_view from) const;
    void drop_message(std::string_view from, std::string_view why);

    awaitable<void> read_record();
    awaitable<void> write_record(usage_action::write_record action);
    awaitable<void> send_report(usage_action::send_report action);
    awaitable<void> renew_token();
    void
    log_write(const usage_action::write_record& action, std::uint64_t revision);
    void on_report_answered(
        std::uint64_t window, const result<void>& answer, std::uint64_t token);
    /// True while this host holds the duty as in `epoch`.
    bool holds_duty(std::uint64_t epoch) const;

    struct totals
    {
        std::uint64_t confirmed = 0;
        std::uint64_t late = 0;
        std::uint64_t skipped = 0;
        std::uint64_t not_counted = 0;
        std::uint64_t messages_dropped = 0;
        std::size_t hosts_missing = 0;
    };

    boost::asio::io_context& io_;
    store& store_;
    usage_api& platform_;
    datagram_transport& network_;
    const host_registry& hosts_;
    duty_lease& duty_;
    settings settings_;
    log::event_log& events_;
    configuration_ptr configuration_;
    usage_windows windows_;
    /// Start time of this process in ms.
    std::uint64_t incarnation_;
    time_point started_at_ = clock::now();
    fleet_time time_;
    usage_counter counter_;
    usage_collection collection_;
    usage_outbox outbox_;
    usage_report_planner planner_;
    totals totals_;

    std::set<std::string> registered_;
    /// Last known holder, and the revision of its key.
    std::string holder_;
    std::uint64_t holder_revision_ = 0;
    /// Hosts other than this one that collect the counts.
    std::vector<std::string> collectors_;
    time_point next_collectors_ = time_point::min();
    /// Until then, a new holder gets the counts of silent hosts.
    time_point forward_until_ = time_point::min();
    /// When each host last sent its own counts.
    std::map<std::string, time_point, std::less<>> heard_at_;
    time_point next_time_ = time_point::min();
    std::size_t next_peer_;
    /// This host runs no further operation.
    bool finished_ = false;
    std::uint64_t epoch_ = 0;
    /// Fencing token of the reports, and when it may be replaced.
    std::uint64_t token_ = 0;
    bool renewing_token_ = false;
    time_point next_token_ = time_point::min();
};

} // namespace zinniahub::coordination
