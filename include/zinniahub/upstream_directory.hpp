#pragma once

#include <zinniahub/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief A member as it registers itself.
struct upstream_record
{
    std::string instance;
    std::string service;
    std::string address;
    std::string failure_domain;
    bool draining = false;
    /// The member considers itself the primary.
    bool primary = false;
    /// Statements that it runs at a time.
    std::uint32_t slots = 1;
    /// Grows with each heartbeat of one start of the member.
    std::uint64_t sequence = 0;
    /// Start of the member, milliseconds since the Unix epoch; 0 if unknown.
    /// A member that starts again under its id has lost its log.
    std::uint64_t started_ms = 0;
};

/// @brief A registered member with what the host derives from its records.
struct upstream_state
{
    upstream_record record;
    /// No new operation starts there.
    bool leaving = false;
    /// Statements may no longer be sent from this time on.
    time_point stop_at = never;
    /// When the member was seen to become the primary; min() if it is not.
    time_point primary_since = time_point::min();
    /// When the registration disappeared; `never` while it exists.
    time_point missing_since = never;
};

/// @brief Members of all services, from their registrations and the failure
/// domains that operators have taken out of service.
///
/// A registration that disappears may be back soon: registrations lapse while
/// the store is away. A missing member stays in use for `missing_grace`.
class upstream_directory
{
public:
    struct settings
    {
        /// Longest use of a member after it announced that it leaves.
        duration drain_limit = std::chrono::seconds(7);
        /// Longest use of members of a failure domain that was taken out.
        duration evacuation_limit = std::chrono::seconds(5);
        /// Time that a change may need to reach this host.
        duration notice_delay = std::chrono::milliseconds(2500);
        /// Use of a member whose registration is missing.
        duration missing_grace = std::chrono::milliseconds(2500);
        /// Time for which a missing member is remembered. It may hold the only
        /// copy of a commit and come back after a long partition.
        duration remember_missing = std::chrono::seconds(60);
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
    /// @brief Replaces all registrations, after a new listing.
    void on_listed(const std::vector<upstream_record>& records, time_point now);
    void on_evacuated(const std::set<std::string>& domains, time_point now);
    /// @brief Forgets members that have been missing for long.
    void on_tick(time_point now);

    const std::map<std::string, upstream_state, std::less<>>& members() const
    {
        return members_;
    }

    /// @brief True while new operations may start at the member.
    bool accepts_new(const upstream_state& member, time_point now) const;
    /// @brief True while statements of started operations may be sent.
    bool accepts_open(const upstream_state& member, time_point now) const;
    /// @brief True if the member's registration is missing and another member
    /// has its address: the member has ended.
    bool was_replaced(const upstream_state& member) const;
    /// @brief True if the failure domain is out of service.
    bool is_evacuated(std::string_view domain) const
    {
        return evacuated_.contains(domain);
    }

private:
    void update_limits(upstream_state& member, time_point now);

    settings settings_;
    std::map<std::string, upstream_state, std::less<>> members_;
    std::set<std::string, std::less<>> evacuated_;
};

} // namespace zinniahub
