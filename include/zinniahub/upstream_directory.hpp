#pragma once

#include <zinniahub/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinniahub
{

/// @brief Registration record of a member.
struct upstream_record
{
    std::string instance;
    std::string service;
    std::string address;
    std::string failure_domain;
    bool draining = false;
    /// The member considers itself the primary.
    bool primary = false;
    /// Maximum number of concurrent statements.
    std::uint32_t slots = 1;
    /// Increases with each heartbeat until the member restarts.
    std::uint64_t sequence = 0;
    /// Start time of the member in milliseconds since the Unix epoch; 0 if
    /// unknown. A member that restarts under the same id has lost its log.
    std::uint64_t started_ms = 0;
};

/// @brief A registered member and the state derived from its records.
struct upstream_state
{
    upstream_record record;
    /// New operations must not start at the member.
    bool leaving = false;
    /// Time from which no statements may be sent to the member.
    time_point stop_at = never;
    /// Time at which the member was first seen as the primary; min() if it is
    /// not the primary.
    time_point primary_since = time_point::min();
    /// Time at which the present incarnation of the member was first seen;
    /// min() if it was in the first listing.
    time_point known_since = time_point::min();
    /// Time at which the registration disappeared; `never` while it exists.
    time_point missing_since = never;
};

/// @brief Members of all services, based on their registrations and on the
/// failure domains that operators have taken out of service.
///
/// Registrations can expire temporarily while the store is unavailable, so a
/// member stays in use for `missing_grace_period` after its registration
/// disappears.
class upstream_directory
{
public:
    struct settings
    {
        /// Maximum use of a member after it announced that it is leaving.
        duration drain_limit = std::chrono::seconds(7);
        /// Maximum use of members of a failure domain that was taken out of
        /// service.
        duration evacuation_limit = std::chrono::seconds(5);
        /// Maximum delay until a change is seen by this host; subtracted from
        /// the limits above.
        duration propagation_delay = std::chrono::milliseconds(2500);
        /// Time for which a member stays in use without a registration.
        duration missing_grace_period = std::chrono::milliseconds(2500);
        /// Time after which a member without a registration is removed. Until
        /// then it may return after a long partition with the only copy of a
        /// commit.
        duration missing_retention = std::chrono::seconds(60);
    };

    explicit upstream_directory(settings values)
        : settings_(values)
    {
    }

    void set_settings(settings values)
    {
        settings_ = values;
    }

    void on_registered(const upstream_record& record, time_point now);
    void on_removed(std::string_view instance, time_point now);
    /// @brief Replaces all registrations with a new listing.
    void on_listed(const std::vector<upstream_record>& records, time_point now);
    void
    on_domains_evacuated(const std::set<std::string>& domains, time_point now);
    /// @brief Sets the failure domains whose members this host cannot reach,
    /// and whether its own is cut off from all others.
    void on_domains_unreachable(std::set<std::string> domains, bool cut_off)
    {
        unreachable_ = std::move(domains);
        cut_off_ = cut_off;
    }
    /// @brief Removes members whose registrations have been missing for longer
    /// than `missing_retention`.
    void on_tick(time_point now);

    const std::map<std::string, upstream_state, std::less<>>& members() const
    {
        return members_;
    }

    /// @brief True while new operations may start at the member.
    bool
    accepts_new_operations(const upstream_state& member, time_point now) const;
    /// @brief True while statements of open operations may be sent.
    bool
    accepts_open_operations(const upstream_state& member, time_point now) const;
    /// @brief True while the member's registration exists.
    bool is_registered(std::string_view instance) const;
    /// @brief True if a registered member has the address. A member without a
    /// registration that had it has exited.
    bool is_address_used(std::string_view address) const;
    /// @brief True if the member's registration is missing and another member
    /// has its address, which shows that the member has exited.
    bool was_replaced(const upstream_state& member) const;
    /// @brief True if the failure domain is out of service.
    bool is_evacuated(std::string_view domain) const
    {
        return evacuated_.contains(domain);
    }
    /// @brief True if this host cannot reach the member's failure domain.
    bool is_out_of_reach(const upstream_state& member) const
    {
        return unreachable_.contains(member.record.failure_domain);
    }
    /// @brief True if the failure domain of this host is cut off.
    bool is_cut_off() const
    {
        return cut_off_;
    }

private:
    void update_stop_time(upstream_state& member, time_point now);

    settings settings_;
    std::map<std::string, upstream_state, std::less<>> members_;
    std::set<std::string, std::less<>> evacuated_;
    std::set<std::string> unreachable_;
    bool cut_off_ = false;
};

} // namespace zinniahub
