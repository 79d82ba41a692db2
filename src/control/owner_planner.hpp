#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/lease.hpp>
#include <zinniahub/membership.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace zinniahub::control
{

/// @brief Host that holds a key of the table of owners.
struct key_owner
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::string peer_address;
};

/// @brief Entry of the table of owners.
struct owner_record
{
    key_owner owner;
    std::uint64_t lease = 0;
    std::uint64_t revision = 0;
};

using owner_table = std::map<std::string, owner_record>;

/// Keys that a lease protects: shards and the delegate role, or a seat.
enum class lease_purpose
{
    owner,
    seat
};

// Calls to the platform. The reply to each is passed to one event function.

/// Reply: `on_owners_read`.
struct read_owners
{
};
/// Reply: `on_lease_granted`.
struct grant_lease
{
    lease_purpose purpose;
    std::chrono::milliseconds ttl;
};
/// Reply: `on_lease_renewed`.
struct renew_lease
{
    lease_purpose purpose;
    std::uint64_t lease;
};
/// The reply is ignored, because a lease that is not revoked expires.
struct revoke_lease
{
    std::uint64_t lease;
};
/// Creates a key if it does not exist. Reply: `on_claimed`.
struct claim_key
{
    lease_purpose purpose;
    std::string key;
    std::uint64_t lease;
    key_owner owner;
};
/// Removes a key if it has the given revision. Reply: `on_removed`.
struct remove_key
{
    std::string key;
    std::uint64_t revision;
};

using owner_action = std::variant<
    read_owners, grant_lease, renew_lease, revoke_lease, claim_key, remove_key>;
using owner_actions = std::vector<owner_action>;

/// @brief True if the platform reported that the lease does not exist. After
/// any other failure the request may have taken effect.
bool is_lease_missing(const error& failure);

/// @brief Decides which shards, delegate role and seat this host claims, keeps
/// and relinquishes.
///
/// A seat is a numbered key that gives its holder a fixed part (the floor) of
/// every customer's rate.
///
/// Takes events with the current time and returns calls to the platform. The
/// owner lease exists only while the host owns a key or is about to claim one.
/// It counts from before the table was read, so that an owner that acts under
/// it knows every seat that was taken before.
class owner_planner
{
public:
    /// TTL of the lease of shards and delegates.
    static constexpr std::chrono::milliseconds owner_ttl{2000};
    /// TTL of the lease of a seat. It has to outlast platform outages.
    static constexpr std::chrono::milliseconds seat_ttl{900'000};
    /// Interval at which the table is read. A request waits up to 1 s for a
    /// token, which has to cover the time until its host reads the new owner of
    /// a pool that moved. For that reason hosts that own no key use the same
    /// interval.
    static constexpr std::chrono::milliseconds renewal_interval{500};
    static constexpr std::chrono::milliseconds seat_renewal_interval{30'000};
    /// Read interval of a host that expects to take over a shard. At the normal
    /// interval the move would take most of the time that a request waits for a
    /// token.
    static constexpr std::chrono::milliseconds handover_read_interval{100};
    /// Longest time for which a host reads at the shorter interval. It covers
    /// the time until the current owner has listed this host and its candidates
    /// have been stable for `candidates_stable_period`.
    static constexpr std::chrono::milliseconds handover_timeout{6000};
    /// A shard moves only after the candidates have not changed for this time.
    /// Hosts that start together discover each other one by one, at intervals
    /// of 500 ms, and would otherwise move a shard several times.
    static constexpr std::chrono::milliseconds candidates_stable_period{1200};
    /// A shard that returned to this host is not relinquished again within this
    /// time. The higher-ranked host may be unable to claim it, e.g. while it is
    /// disconnected from the platform, and requests wait for tokens during each
    /// move.
    static constexpr std::chrono::milliseconds min_move_interval{60'000};
    /// A host whose lease expired gets no shards for this time, the longest
    /// time that a dead host stays in the list of live hosts.
    static constexpr std::chrono::milliseconds expired_host_exclusion{30'000};
    /// Delay before a new seat is used. By then every owner lease whose holder
    /// may not know the seat has ended, and the tokens granted under it have
    /// expired.
    static constexpr std::chrono::milliseconds seat_activation_delay{3000};

    struct settings
    {
        host_entry self;
        std::uint32_t seats = 8;
        std::uint32_t shards = 16;
        /// False for the static split, which has no pools.
        bool use_shards = true;
    };

    /// @brief Table of owners as read from the platform.
    struct table_snapshot
    {
        owner_table table;
        /// Revision of the store when it was read.
        std::uint64_t revision = 0;
    };

    explicit owner_planner(settings values);

    /// @brief Returns the calls that are due.
    /// @param live hosts that compete for shards and the delegate role
    owner_actions on_tick(live_hosts live, time_point now);

    owner_actions on_owners_read(result<table_snapshot> reply, time_point now);
    owner_actions on_lease_granted(
        lease_purpose purpose, const result<std::uint64_t>& lease,
        time_point now);
    owner_actions on_lease_renewed(
        lease_purpose purpose, const result<void>& reply, time_point now);
    /// @param revision revision of the created key
    void on_claimed(
        const claim_key& claim, const result<std::uint64_t>& revision,
        time_point now);
    void on_removed(const remove_key& removal, const result<void>& reply);

    /// @brief Revokes the leases on a planned shutdown.
    owner_actions release();

    /// @brief Merges a record from a peer; the higher revision wins.
    void on_owner_received(const std::string& key, owner_record received);

    /// @brief Returns the known owner of a key, or null.
    const owner_record* find(const std::string& key) const;

    /// @brief True if this host owns the key under a valid owner lease and has
    /// not relinquished it.
    bool owns(const std::string& key, time_point now) const;

    const owner_table& table() const
    {
        return table_;
    }

    std::string shard_key(std::uint32_t shard) const;
    std::string delegate_key() const;

    std::uint32_t held_seats() const;

    /// @brief Period in which this host may use its seat's floor; both ends
    /// are `never` without a seat.
    std::pair<time_point, time_point> seat_period() const;

    /// @brief Time just before the latest successful table read was requested.
    time_point table_read_at() const
    {
        return table_read_at_;
    }

private:
    /// A claim that this host has relinquished.
    struct relinquished_claim
    {
        std::uint64_t revision = 0;
        time_point at{};
    };

    void replace_table(table_snapshot snapshot, time_point now);
    void update_expired_hosts(const owner_table& previous, time_point now);
    std::vector<std::string> claimable_keys(time_point now);
    bool is_vacant(const std::string& key, time_point now);
    bool has_rank_delay_passed(
        const std::string& key, std::uint32_t rank, time_point now);
    owner_actions claim_vacant(time_point now);
    void relinquish_shards(time_point now, owner_actions& actions);
    void update_candidates(time_point now);
    bool expects_shard(time_point now);
    bool
    is_relinquished(const std::string& key, const owner_record& found) const;
    bool is_owned_by_self(const owner_record& candidate) const;
    bool holds_owner_key() const;
    std::vector<std::string> rank_candidates() const;
    std::optional<std::uint32_t> delegate_rank() const;
    void drop_owner_lease(time_point now);

    void plan_seat(time_point now, owner_actions& actions);
    void claim_seat(time_point now, owner_actions& actions);
    void assign_seat(std::uint32_t seat, time_point now);
    void drop_seat();

    settings settings_;
    live_hosts live_ = std::make_shared<const std::vector<host_entry>>();
    owner_table table_;
    /// Hosts whose owner lease disappeared from the table, with the time.
    std::map<std::string, time_point> expired_hosts_;
    /// Time at which each vacant key was first seen without an owner.
    std::map<std::string, time_point> vacant_since_;
    /// Time since which another host has owned a shard for which this host
    /// ranks first.
    std::map<std::string, time_point> expected_since_;
    std::vector<std::string> candidates_;
    time_point candidates_since_{};
    /// Rank of this host for each shard among the candidates.
    std::vector<std::uint32_t> ranks_;
    std::set<std::string> pending_claims_;
    /// Latest relinquished claim by key. It is never used again, because the
    /// platform may apply the removal late.
    std::map<std::string, relinquished_claim> relinquished_claims_;

    lease_clock owner_lease_clock_;
    std::uint64_t owner_lease_ = 0;
    bool renewal_in_progress_ = false;
    /// When the table request of the current renewal cycle was sent.
    time_point table_request_sent_at_{};
    time_point next_renewal_{};
    time_point table_read_at_{};

    lease_clock seat_lease_clock_;
    std::uint64_t seat_lease_ = 0;
    std::optional<std::uint32_t> seat_;
    std::uint32_t requested_seat_ = 0;
    time_point seat_usable_from_ = never;
    bool seat_call_pending_ = false;
    time_point seat_request_sent_at_{};
    time_point next_seat_action_{};
    bool released_ = false;
};

} // namespace zinniahub::control
