#pragma once

#include <zinniahub/domain_watch.hpp>
#include <zinniahub/time.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Chooses the hosts to which this host sends heartbeats.
///
/// Load: hundreds of hosts in three or four domains, where each must hear
/// regularly from every other domain although a host sends only three datagrams
/// at a time. The hosts of two domains are paired by their places in the order
/// of addresses, which all hosts know. With random choices some hosts would be
/// chosen by none.
class heartbeat_targets
{
public:
    /// Heartbeats to hosts of other domains at a time; one more goes to a host
    /// of the own domain.
    static constexpr std::size_t max_outside = 2;

    heartbeat_targets(std::string address, std::string domain);

    /// @brief Addresses of the other registered hosts.
    void set_hosts(const std::vector<std::string>& addresses);
    /// @brief The domain of a registered host was learned.
    /// @return true if it was not known
    bool on_domain(std::string_view address, std::string_view domain);
    bool is_registered(std::string_view address) const
    {
        return hosts_.contains(address);
    }

    /// @brief Hosts whose domains are known, by domain, this one included.
    domain_watch::host_counts host_counts() const;

    /// @brief Next receivers of heartbeats: at most three.
    std::vector<std::string> next_heartbeats();
    /// @brief Next hosts to ask for their domains. They take the place of
    /// receivers of heartbeats, so that the sum of the datagrams is bounded.
    std::vector<std::string> next_unknown(time_point now);
    /// @brief Next hosts of a domain to ask for a sign of life.
    std::vector<std::string>
    next_in_domain(std::string_view domain, std::size_t limit);

private:
    struct host_state
    {
        /// Empty while it is not known.
        std::string domain;
        time_point ask_at = time_point::min();
        duration ask_interval{};
    };

    void update_plan();

    std::string address_;
    std::string domain_;
    std::map<std::string, host_state, std::less<>> hosts_;
    bool is_plan_current_ = false;
    /// Hosts by domain, in the order of addresses.
    std::map<std::string, std::vector<std::string>, std::less<>> by_domain_;
    std::vector<std::string> outside_;
    std::string inside_;
    std::size_t next_outside_ = 0;
    std::size_t next_asked_ = 0;
};

} // namespace zinniahub
