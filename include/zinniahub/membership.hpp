#pragma once

#include <zinniahub/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Description of a proxy host as reported by the host itself.
struct host_entry
{
    std::string name;
    std::string failure_domain;
    std::string peer_address;
    /// Increases with every start of the host.
    std::uint64_t incarnation = 0;
    bool leaving = false;

    friend bool operator==(const host_entry&, const host_entry&) = default;
};

/// A host whose report was received within this time is live. Six intervals of
/// Peer.Sync.
inline constexpr duration host_report_lifetime = std::chrono::seconds(3);

/// A host is live for this time after it was last listed, unless it is
/// unresponsive.
inline constexpr duration listing_lifetime = std::chrono::seconds(10);

/// Hosts that were neither reported nor listed for this time are removed. Until
/// then, an outdated list cannot bring back an older incarnation.
inline constexpr duration host_retention = std::chrono::minutes(10);

/// Number of hosts that a relay serves.
inline constexpr std::size_t relay_fan_out = 16;

/// Live hosts sorted by name. Never null.
using live_hosts = std::shared_ptr<const std::vector<host_entry>>;

/// @brief Known hosts and their liveness.
///
/// Liveness is only a hint for choosing hosts to contact. It never decides
/// ownership.
class host_list
{
public:
    /// @brief Updates the hosts from the platform's list, which may be out of
    /// date.
    void on_listed(std::span<const host_entry> entries, time_point now);

    /// @brief Updates a host from its own report.
    void on_reported(const host_entry& entry, time_point now);

    /// @brief Records that a call to a host failed.
    void on_unresponsive(std::string_view name, time_point now);

    /// @brief Live hosts sorted by name, including leaving hosts.
    ///
    /// A host is live if its report was received within 3 s, or if it was
    /// listed within 10 s and calls to it have not failed for 3 s without any
    /// report from it.
    std::vector<host_entry> live(time_point now) const;

    /// @brief Same hosts as `live`, copied only if they have changed. An
    /// unchanged pointer means unchanged hosts.
    /// Complexity: constant without a change; linear after a change, and when
    /// the liveness of a host may have expired.
    live_hosts live_snapshot(time_point now);

    /// @brief Known hosts that are not live, sorted by name. Calls to them
    /// detect the end of a network partition.
    ///
    /// While the platform's list is up to date, only hosts listed within the
    /// last 10 s are returned. If no list was received for 10 s, all known
    /// hosts that are not live are returned, because a host that cannot reach
    /// the platform can only learn from its peers.
    std::vector<host_entry> unresponsive(time_point now) const;

    /// @brief Live hosts of a failure domain that were listed but never sent a
    /// report, sorted by name.
    std::vector<host_entry>
    never_reported(std::string_view failure_domain, time_point now) const;

private:
    struct state
    {
        host_entry entry;
        std::optional<time_point> listed_at;
        std::optional<time_point> report_received_at;
        /// Time of the first failed call since the host's last report.
        std::optional<time_point> call_failed_since;
    };

    state* update_entry(const host_entry& entry);
    static bool is_listed(const state& host, time_point now);
    static bool is_live(const state& host, time_point now);
    static time_point live_until(const state& host);
    template<typename Predicate>
    std::vector<host_entry> select(Predicate matches) const;
    void erase_expired(time_point now);

    std::optional<time_point> last_list_at_;
    std::map<std::string, state, std::less<>> hosts_;
    live_hosts snapshot_ = std::make_shared<const std::vector<host_entry>>();
    /// Until this time, only an event can change the set of live hosts.
    time_point snapshot_until_ = never;
    bool snapshot_changed_ = false;
};

/// @brief Tree along which configuration is relayed within a failure domain.
///
/// The host of rank i relays to the ranks i * fan-out + 1 to
/// i * fan-out + fan-out. The host of rank 0 is the candidate for the delegate.
class relay_tree
{
public:
    /// @param sorted_hosts names of the live hosts of one failure domain, in
    /// ascending order and without duplicates
    explicit relay_tree(
        std::vector<std::string> sorted_hosts,
        std::size_t fan_out = relay_fan_out);

    /// @brief Tree of the hosts of a failure domain, except leaving hosts.
    /// @param live hosts sorted by name, as returned by `host_list::live`
    static relay_tree of_domain(
        std::span<const host_entry> live, std::string_view failure_domain,
        std::size_t fan_out = relay_fan_out);

    /// @brief Rank of a host; none if it is not in the tree.
    std::optional<std::size_t> rank_of(std::string_view host) const;

    /// @brief The host that relays to `host`, or null if it has rank 0 or is
    /// not in the tree.
    const std::string* parent_of(std::string_view host) const;

    /// @brief Hosts that `host` relays to; empty if it is not in the tree.
    std::span<const std::string> children_of(std::string_view host) const;

    /// @brief Candidate for the delegate, or null if the tree is empty.
    const std::string* delegate_candidate() const;

    std::span<const std::string> hosts() const
    {
        return hosts_;
    }

private:
    std::vector<std::string> hosts_;
    std::size_t fan_out_;
};

/// @brief Id of a name that is the same on all hosts and in all builds.
std::uint64_t stable_id(std::string_view name);

/// @brief Order of hosts for an id by rendezvous hashing, as indices into
/// `hosts`. The result is the same on all hosts and does not depend on the
/// order of `hosts`.
/// Complexity: O(n log n).
std::vector<std::size_t>
rendezvous_order(std::uint64_t id, std::span<const std::string> hosts);

/// @brief Position of a host in the rendezvous order of an id. A host that is
/// not in `hosts` gets the position it would have among them.
/// Complexity: O(n).
std::uint32_t rank_of(
    std::uint64_t id, std::span<const std::string> hosts,
    std::string_view host);

} // namespace zinniahub
