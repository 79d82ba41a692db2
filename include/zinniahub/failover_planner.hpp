#pragma once

#include <zinniahub/log_position.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinniahub
{

/// @brief Status of a member of a service whose promotions are ordered through
/// the platform.
struct replication_status
{
    bool primary = false;
    std::uint64_t term = 0;
    /// End of the log that the member has received.
    log_position received;
    /// Highest term for which the member has stopped receiving; 0 if none.
    std::uint64_t held_term = 0;
};

/// @brief A member as the planner needs it.
struct replication_member
{
    std::string instance;
    /// It may not become or stay the primary.
    bool leaving = false;
    /// Its registration says that it is the primary.
    bool registered_primary = false;
    /// It announced its end, and its registration is missing since. It may have
    /// ended, with its log, or be out of reach.
    bool ending = false;
};

namespace failover_action
{

/// Ask a member for its status.
struct query
{
    std::string instance;
};

/// Make a replica stop receiving.
struct hold
{
    std::string instance;
    std::uint64_t term;
};

/// Let a replica receive again.
struct release
{
    std::string instance;
};

/// Order the platform to make a member the primary, under a fencing token
/// above all earlier ones.
struct order
{
    std::string instance;
    /// True if the member already is the primary. The order then only makes
    /// earlier orders invalid that may still be on their way.
    bool confirms_primary = false;
};

} // namespace failover_action

using failover_step = std::variant<
    failover_action::query, failover_action::hold, failover_action::release,
    failover_action::order>;

enum class order_result
{
    accepted,
    /// The member is not running, or a newer token was used.
    refused,
    /// No answer: the order may be carried out later.
    unknown
};

/// @brief Decides when a service gets another primary, and which.
///
/// An acknowledged commit is in the log of the primary and of at least one
/// replica. Before a promotion every replica except the candidate has to stop
/// receiving, so that from then on no commit is acknowledged without the
/// candidate. The candidate is promoted only if its log reaches as far as the
/// logs of the stopped replicas. A replica that cannot be asked may hold the
/// only copy of a commit; the planner then waits for it or for the primary,
/// unless it announced its end and nobody listens at its address.
///
/// A replica that was stopped receives again only after an order that confirms
/// the present primary, because an earlier order may still be carried out.
/// All functions are linear in the number of members.
class failover_planner
{
public:
    struct settings
    {
        /// Interval of status queries while the service is well.
        duration query_interval = std::chrono::milliseconds(500);
        /// Interval of status queries and repeated holds in a change.
        duration urgent_interval = std::chrono::milliseconds(100);
        /// Age up to which a status counts.
        duration status_validity = std::chrono::milliseconds(1200);
        /// Silence after which the primary is replaced.
        duration silence_limit = std::chrono::milliseconds(900);
        /// Time since the first refused connection after which the primary is
        /// replaced.
        duration refusal_limit = std::chrono::milliseconds(250);
        /// Time for which no replica may receive what the primary has written.
        duration stall_limit = std::chrono::milliseconds(900);
        /// Time after which an order without effect is repeated.
        duration order_interval = std::chrono::milliseconds(2000);
    };

    explicit failover_planner(settings values)
        : settings_(values)
    {
    }

    /// @param sync_replicas replicas that receive a commit before it is
    /// acknowledged
    void on_members(
        const std::vector<replication_member>& members,
        std::uint32_t sync_replicas);

    void on_status(
        std::string_view instance, const replication_status& status,
        time_point sent_at, time_point now);

    /// @brief A query or hold got no answer.
    /// @param refused nobody listens at the member's address
    void on_no_status(std::string_view instance, bool refused, time_point now);

    void on_order_result(order_result result, time_point now);

    /// @brief Next steps. Call at least every 50 ms.
    std::vector<failover_step> on_tick(time_point now);

    /// @brief Forgets everything learnt, when the duty is taken or lost.
    void reset();

    /// @brief Name of the state for logs: "steady", "changing" or "restoring".
    std::string_view state() const;

    /// @brief Why the last change was started, for logs.
    std::string_view reason() const
    {
        return reason_;
    }

private:
    struct member_state
    {
        replication_member definition;
        std::optional<replication_status> status;
        /// When the query of the last status was sent.
        time_point asked_at = time_point::min();
        time_point status_at = time_point::min();
        /// First failure since the last status.
        std::optional<time_point> silent_since;
        std::optional<time_point> refused_since;
        time_point next_query = time_point::min();
        time_point next_hold = time_point::min();
    };
    using member_map = std::map<std::string, member_state, std::less<>>;

    bool is_fresh(const member_state& member, time_point now) const;
    /// True if the member has ended and its log is gone with it.
    static bool has_ended(const member_state& member);
    const member_state* current_primary(time_point now) const;
    void presume_primary();
    std::uint64_t newest_term() const;
    void query_members(std::vector<failover_step>& steps, time_point now);
    bool needs_change(time_point now);
    bool primary_is_lost(time_point now) const;
    bool primary_is_stalled(const member_state& primary, time_point now);
    const member_state* choose_candidate(time_point now) const;
    void continue_change(std::vector<failover_step>& steps, time_point now);
    bool hold_others(
        std::vector<failover_step>& steps, const member_state& candidate,
        time_point now);
    void restore(std::vector<failover_step>& steps, time_point now);

    enum class phase
    {
        steady,
        changing,
        /// Held replicas are to receive again.
        restoring
    };

    settings settings_;
    member_map members_;
    std::uint32_t sync_replicas_ = 1;
    phase phase_ = phase::steady;
    std::string_view reason_;
    /// Last member seen as the primary, with its term.
    std::string primary_;
    std::uint64_t primary_term_ = 0;
    /// `primary_` is known from its registration only.
    bool presumed_ = false;
    std::optional<time_point> stalled_since_;
    /// Term that the change has to exceed.
    std::uint64_t old_term_ = 0;
    /// Member named by the last order of the change.
    std::string ordered_;
    time_point next_order_ = time_point::min();
    bool order_pending_ = false;
    bool confirmed_ = false;
};

} // namespace zinniahub
