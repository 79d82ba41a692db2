#pragma once

#include "coordination/datagram_transport.hpp"
#include "coordination/host_registry.hpp"
#include "observability/event_log.hpp"
#include "observability/metrics.hpp"

#include <zinniahub/domain_watch.hpp>
#include <zinniahub/heartbeat_targets.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// @brief Exchanges heartbeats with hosts of all failure domains and feeds
/// `domain_watch` with them and with the answers of members.
///
/// `beat DOMAIN` is a sign of life; `beat? DOMAIN` asks for one. Both teach the
/// receiver the domain of the sender.
class domain_heartbeats
{
public:
    /// Last answer of any member of a domain, by domain.
    using answer_times = std::map<std::string, time_point, std::less<>>;

    struct handlers
    {
        /// @return an entry for each domain with registered members, with
        /// `time_point::min()` if none of them has answered
        std::function<answer_times()> member_answers;
        /// Opens connections to a few members of a domain.
        std::function<void(std::string_view domain)> try_members;
        /// The result has changed.
        std::function<void()> on_changed;
    };

    /// @param domain failure domain of this host; see `is_valid_domain`
    domain_heartbeats(
        boost::asio::io_context& io, datagram_transport& network,
        const host_registry& hosts, std::string_view domain, handlers callbacks,
        log::event_log& events);

    /// @brief Whether a heartbeat can carry the name of the domain.
    static bool is_valid_domain(std::string_view domain);

    void start();

    bool is_cut_off() const
    {
        return watch_.is_cut_off();
    }
    /// @brief Domains whose members are not used until one of them answers.
    std::vector<std::string> domains_to_avoid() const
    {
        return watch_.domains_to_avoid();
    }
    void write_metrics(metrics::registry& registry) const;

private:
    awaitable<void> run();
    void update_hosts();
    void send_heartbeats(time_point now);
    void perform(const domain_watch::action& value);
    void send(std::string_view word, const std::vector<std::string>& targets);
    /// Takes what a datagram shows.
    /// @return false if the datagram was dropped
    bool accept(std::string_view from, std::string_view domain);
    void report_changes();

    boost::asio::io_context& io_;
    datagram_transport& network_;
    const host_registry& hosts_;
    std::string domain_;
    handlers handlers_;
    log::event_log& events_;
    domain_watch watch_;
    heartbeat_targets targets_;
    std::vector<std::string> known_peers_;
    time_point next_heartbeat_ = time_point::min();
    /// Result as last reported.
    bool was_cut_off_ = false;
    std::vector<std::string> unreachable_;
    std::vector<std::string> avoided_;
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t inquiries_ = 0;
    std::uint64_t dropped_malformed_ = 0;
    std::uint64_t dropped_unregistered_ = 0;
};

} // namespace zinniahub::coordination
