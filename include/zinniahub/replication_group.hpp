#pragma once

#include <zinniahub/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Members of a service that may hold acknowledged commits, and its
/// primary.
struct replication_group
{
    struct member
    {
        std::string address;
        std::string failure_domain;
        /// Start time of the member in milliseconds since the Unix epoch.
        std::uint64_t started_ms = 0;
        /// The member announced its shutdown.
        bool draining = false;

        friend bool operator==(const member&, const member&) = default;
    };

    std::map<std::string, member, std::less<>> members;
    /// Empty while no primary is known.
    std::string primary;
    std::uint64_t term = 0;
    /// Member whose promotion was ordered and may still be executed; empty if
    /// there is none.
    std::string ordered;
    /// False until the registrations have been unchanged for some time: there
    /// may be members that are not in `members`.
    bool complete = false;

    friend bool
    operator==(const replication_group&, const replication_group&) = default;
};

/// @brief Keeps the replication group of a service, and decides when it is
/// recorded durably.
///
/// A member belongs to the group from its first registration until it is
/// retired; a missing registration does not remove it.
class replication_group_tracker
{
public:
    /// Time for which the registrations must not have changed before a new
    /// group is complete. Registrations that expired during an outage of the
    /// store return within it.
    static constexpr duration completion_delay = std::chrono::seconds(5);

    /// @brief Starts from the durable record.
    /// @param revision revision of the record in the store
    void
    on_loaded(replication_group stored, std::uint64_t revision, time_point now);

    /// @brief The record exists but cannot be decoded. It is overwritten as if
    /// there was none.
    void on_unreadable(std::uint64_t revision)
    {
        revision_ = revision;
    }

    void on_registered(
        std::string_view instance, const replication_group::member& member,
        time_point now);
    /// @brief A member reports that it is the primary. Older terms are ignored.
    void on_primary(std::string_view instance, std::uint64_t term);
    /// @brief Sets the member whose promotion may still be executed.
    void on_order_pending(std::string_view instance)
    {
        group_.ordered = instance;
    }
    /// @brief True if an order for the member is in the record, or if there is
    /// no record yet because no primary was ever known.
    bool is_order_recorded(std::string_view instance) const
    {
        return group_.primary.empty() ||
               (recorded_ && recorded_->ordered == instance);
    }
    /// @brief The member has exited, and no commit depends on its log.
    void on_retired(std::string_view instance);

    /// @brief Completes a group that has not changed for long enough.
    void on_tick(time_point now);

    /// @brief The group was recorded.
    void on_recorded(replication_group written, std::uint64_t revision);
    /// @brief The revision of the record was read again, after a write whose
    /// result is unknown.
    void on_reread(std::uint64_t revision);

    /// @brief True if the group has a primary and differs from the record.
    bool needs_record() const
    {
        return !group_.primary.empty() && recorded_ != group_;
    }

    const replication_group& group() const
    {
        return group_;
    }
    /// @brief Revision of the record in the store; 0 if there is none.
    std::uint64_t revision() const
    {
        return revision_;
    }

private:
    replication_group group_;
    std::optional<replication_group> recorded_;
    std::uint64_t revision_ = 0;
    /// Time at which the group was loaded or a member was added.
    time_point changed_at_{};
};

} // namespace zinniahub
