#pragma once

#include <zinniahub/lease.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinniahub
{

/// @brief Registration of a host, as read from the store.
struct host_registration
{
    std::string address;
    /// Revision of the last write.
    std::uint64_t revision = 0;
    /// Lease with which the registration ends.
    std::uint64_t lease = 0;

    friend bool
    operator==(const host_registration&, const host_registration&) = default;
};

/// Time for which a read that showed the registration of a host proves that no
/// other host may use its rate shares, counted from before the read. Shares are
/// taken over only later than this after the end of a registration was read
/// (`share_planner`). Longer than a wait of a watch with its margins.
inline constexpr duration registration_read_validity = std::chrono::seconds(8);

/// @brief Decides how a host registers itself under a lease and keeps the
/// registration.
///
/// Any call may be executed without an answer. So the planner relies on reads:
/// they show whether a write was executed, and that the registration still
/// exists although no renewal was answered. A call is repeated after
/// `retry_interval`, while the earlier one may still be answered. A restarted
/// host takes over the lease of the registration that its predecessor left, so
/// that its start needs no answer to a write.
///
/// Each write expects the registration that was read before it. Calls of a
/// predecessor that are executed late therefore do not end a registration that
/// this process has written.
class registration_planner
{
public:
    struct settings
    {
        /// Address to register.
        std::string address;
        duration renew_interval = std::chrono::seconds(5);
        /// Time after which a call is repeated that the registration waits for.
        duration retry_interval = std::chrono::milliseconds(250);
        /// Time after which a write is repeated that was answered, but whose
        /// result has not been read.
        duration read_back_limit = std::chrono::seconds(2);
        /// Time after which a renewal is repeated.
        duration renew_retry_interval = std::chrono::seconds(1);
    };

    enum class action_kind
    {
        grant_lease,
        renew_lease,
        write_registration
    };

    /// @brief A call to the store.
    struct action
    {
        action_kind kind = action_kind::grant_lease;
        /// Lease to renew, or of the registration to write.
        std::uint64_t lease = 0;
        /// Revision that the registration must have when it is written; 0:
        /// there is none.
        std::uint64_t expected_revision = 0;

        friend bool operator==(const action&, const action&) = default;
    };

    explicit registration_planner(settings values)
        : settings_(std::move(values))
    {
    }

    /// @brief The registration of this host as of the last read of the store,
    /// which must also have returned every earlier change; nothing if there is
    /// none.
    void on_registration_read(std::optional<host_registration> found);

    /// @brief Calls to make now. There are none before the first read.
    std::vector<action> on_tick(time_point now);
    /// @brief Time of the next tick that may return calls; `never` if only an
    /// event can change that.
    time_point next_tick_at() const;

    /// @param sent_at time before the call was sent
    void
    on_lease_granted(std::uint64_t lease, time_point sent_at, duration ttl);
    /// @param sent_at time before the call was sent
    void
    on_lease_renewed(std::uint64_t lease, time_point sent_at, duration ttl);
    /// @brief The store does not know the lease.
    void on_lease_ended(std::uint64_t lease, time_point now);

    /// @brief The write was executed, or refused because the registration has
    /// changed; either way the next read shows what there is.
    void on_write_answered(time_point now);

    /// @brief Time until which the rate shares of this host belong to it; min()
    /// before the registration that this process wrote has been read.
    /// @param read_at time before the last successful read of the registrations
    time_point valid_until(time_point read_at) const;
    /// @brief Whether the store holds the registration that this process wrote.
    bool is_written() const;
    /// @brief Lease of the registration, 0 if none is known.
    std::uint64_t lease() const
    {
        return lease_;
    }

private:
    time_point renewal_due_at() const;

    settings settings_;
    bool has_read_ = false;
    std::optional<host_registration> registration_;
    /// Revision of the predecessor's registration, 0 if there was none.
    std::uint64_t predecessor_revision_ = 0;
    std::uint64_t lease_ = 0;
    std::uint64_t ended_lease_ = 0;
    lease_clock validity_;
    time_point renewed_at_ = time_point::min();
    time_point next_lease_call_at_ = time_point::min();
    time_point next_write_at_ = time_point::min();
};

} // namespace zinniahub
