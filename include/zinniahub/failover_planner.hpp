#pragma once

#include <zinniahub/acknowledgement_survey.hpp>
#include <zinniahub/log_position.hpp>
#include <zinniahub/primary_proof.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace zinniahub
{

/// @brief Status of a member of a service whose promotions are requested from
/// the platform.
struct replication_status
{
    bool primary = false;
    std::uint64_t term = 0;
    /// Last log position that the member has received.
    log_position received;
    /// Highest term for which the member has paused replication; 0 if none.
    std::uint64_t paused_term = 0;
};

/// @brief A member of the replication group of a service.
struct replication_member
{
    std::string instance;
    /// Must not become or remain the primary.
    bool leaving = false;
    /// The member announced its shutdown, and its registration has disappeared.
    /// It has either exited, and its log is gone, or is unreachable.
    bool shutdown_announced = false;
    /// The registration has disappeared, and another member has the address:
    /// the member has exited.
    bool replaced = false;
    bool registered = true;
};

namespace failover_action
{

/// Query the status of a member.
struct query
{
    std::string instance;
    /// This host cannot reach the member: other hosts query it.
    bool through_hosts = false;
};

/// Make a replica stop receiving log entries.
struct pause_replication
{
    std::string instance;
    std::uint64_t term;
};

/// Make a replica receive log entries again.
struct resume_replication
{
    std::string instance;
};

/// Make the primary a replica. It acknowledges no further commit.
struct step_down
{
    std::string instance;
    std::uint64_t term;
    /// This host cannot reach the member: other hosts send the request.
    bool through_hosts = false;
};

/// Request hosts to hold acknowledgements, or to end the hold.
struct hold_acknowledgements
{
    hold_request request;
    std::vector<std::string> hosts;
};

/// Request the platform to promote a member, with a fencing token greater than
/// those of all orders that named another member.
struct order_promotion
{
    std::string instance;
};

} // namespace failover_action

/// @brief What a decision of the planner is based on, for logs.
struct failover_summary
{
    /// Member that is to be promoted; empty if there is none.
    std::string candidate;
    log_position candidate_position;
    std::size_t known = 0;
    /// Members with a valid status.
    std::size_t answered = 0;
    /// Members whose replication is paused according to their valid status.
    std::size_t paused = 0;
    /// Last log position among the paused members.
    log_position farthest_paused;
    /// Age of the oldest valid status, counted from its query.
    duration oldest_status{};
    /// Hosts, and those that have promised to hold acknowledgements.
    std::size_t hosts = 0;
    std::size_t promised = 0;
    /// Highest position that clients have seen acknowledged, as far as hosts
    /// have answered.
    log_position acknowledged;
};

/// @brief What the planner knows about one member, for logs.
struct failover_member_report
{
    std::string_view instance;
    /// Last status of the member; none if it has never answered.
    std::optional<replication_status> status;
    /// Age of the status, counted from its query.
    duration status_age{};
    bool registered = false;
    bool leaving = false;
    /// The member has exited and its log is gone.
    bool has_exited = false;
};

using failover_step = std::variant<
    failover_action::query, failover_action::pause_replication,
    failover_action::resume_replication, failover_action::step_down,
    failover_action::hold_acknowledgements, failover_action::order_promotion>;

enum class promotion_result
{
    /// The member becomes the primary some time later. Nothing recalls this.
    accepted,
    /// The member is not running, or a newer fencing token was used.
    refused,
    /// No reply: the order may still be accepted later.
    unknown
};

/// @brief Decides when to fail over a service and which member to promote.
///
/// An acknowledged commit is in the log of the primary and of at least one
/// replica. Before a promotion, every replica except the candidate must pause
/// replication, so that no further commit can be acknowledged without the
/// candidate. The candidate is chosen once per failover and goes on receiving
/// while the primary may commit. It is promoted only if its log reaches at
/// least as far as the logs of the paused replicas. A replica that starts in
/// the meantime is paused as soon as it is known; until then it may acknowledge
/// commits of a primary whose candidate receives nothing, or while the result
/// of an order is unknown, so such a primary steps down first. So does a
/// primary that only other hosts reach, through them: the planner would not see
/// what it commits after a paused replica has restarted. An unreachable replica
/// may hold the only copy of a commit; the planner then waits for the replica
/// or the primary to return, unless the replica announced its shutdown and its
/// address refuses connections.
///
/// A host that acquires the duty starts from the durable record of the
/// replication group. Without a complete record it cannot know the whole group;
/// it then replaces a primary that it has never seen only after all others that
/// it knows have answered for some time and none is the primary.
///
/// Statuses are always older than the acknowledgements, and the set of members
/// is never quite known. The hosts know what clients were told, so before an
/// order they are asked for it, and hold further acknowledgements that the
/// candidate's log might lack (`acknowledgement_hold`). The order goes only to
/// a member that has everything that was passed on. If none has, the planner
/// waits for the old primary, up to a limit. If a host does not answer, what it
/// has passed on is not known: the order then also waits while a member that
/// has exited, or the old primary, may hold commits that the candidate lacks.
///
/// A primary that has stepped down and kept its log has every acknowledged
/// commit, unless an order for another member may have taken effect. So it is
/// promoted again if no other member may be, without the answers of hosts or of
/// other members. A primary whose candidate receives nothing is told to step
/// down only if the candidate may be promoted then; else it goes on leading.
///
/// An order that may have been accepted is pending until its member leads, has
/// exited, or a time limit has passed. Neither a fencing token nor an order for
/// another member recalls it: it takes effect with the log that the member then
/// has. So its member stays the candidate whatever happens to it, the other
/// replicas stay paused, and no other member is ordered. A host that acquires
/// the duty learns of a pending order from the durable record and completes it.
/// All functions are linear in the number of members.
class failover_planner
{
public:
    struct settings
    {
        /// Interval between status queries in the steady state.
        duration query_interval = std::chrono::milliseconds(500);
        /// Interval between status queries and between repeated requests to a
        /// replica during a failover.
        duration urgent_interval = std::chrono::milliseconds(100);
        /// Age at which a status expires.
        duration status_validity = std::chrono::milliseconds(1200);
        /// Time without a status reply after which the primary is replaced.
        duration unresponsive_limit = std::chrono::milliseconds(900);
        /// Time since the first refused connection after which the primary is
        /// replaced.
        duration refusal_limit = std::chrono::milliseconds(250);
        /// Time without any replica receiving the primary's latest entries
        /// after which the primary is replaced.
        duration stall_limit = std::chrono::milliseconds(900);
        /// Time for which the candidate must fall behind the primary, or
        /// behind a paused replica, before the planner acts on it.
        duration behind_limit = std::chrono::milliseconds(200);
        /// Largest age of a status that justifies an order.
        duration order_status_age = std::chrono::milliseconds(400);
        /// Time between the start of a failover and the first order while the
        /// primary responds; replicas that have just started become known.
        duration order_delay = std::chrono::milliseconds(300);
        /// Time after which an order that had no effect is repeated.
        duration promotion_retry_interval = std::chrono::milliseconds(2000);
        /// Time for which an incomplete group must answer unchanged, without a
        /// primary, before a member is promoted. Registrations that expired
        /// during an outage of the store return within three heartbeats and
        /// two seconds.
        duration incomplete_group_delay = std::chrono::milliseconds(5000);
        /// Time within which an accepted order takes effect, if its member is
        /// running.
        duration promotion_limit = std::chrono::seconds(5);
        /// As `promotion_limit`, for an order without a reply, counted from the
        /// time at which the reply was given up.
        duration late_order_limit = std::chrono::seconds(10);
        /// As `late_order_limit`, while the member of the order answers: the
        /// order may still promote it.
        duration arrival_limit = std::chrono::seconds(13);
        /// Longest delay of an order until a primary that only other hosts
        /// reach has stepped down.
        duration step_down_limit = std::chrono::milliseconds(1000);
        /// Time after which a primary that has stepped down is promoted again
        /// if no other member may be. Hosts that reach the holder have answered
        /// by then.
        duration reinstatement_delay = std::chrono::milliseconds(500);
        /// Time before `order_delay` at which the hosts are asked to hold
        /// acknowledgements, while the primary responds.
        duration hold_lead = std::chrono::milliseconds(100);
        /// Longest delay of an order until all hosts have promised to hold
        /// acknowledgements.
        duration promise_limit = std::chrono::milliseconds(250);
        /// Time after the record of an order after which a host that has not
        /// promised knows the order from the record.
        duration record_propagation = std::chrono::milliseconds(500);
        /// Longest delay of an order until a member is back that may hold
        /// acknowledged commits which the candidate lacks.
        duration missing_commits_limit = std::chrono::seconds(10);
        /// As `missing_commits_limit`, while the old primary answers now and
        /// then.
        duration total_wait_limit = std::chrono::seconds(60);
        /// The platform rejects an order whose fencing token is lower than one
        /// it has seen, and a replaced primary stops leading at once.
        bool tokens_checked = true;
    };

    explicit failover_planner(settings values)
        : settings_(values)
    {
    }

    /// @brief Starts from the durable record of the group: the primary that it
    /// names, which may be outdated, and its term. Call after `reset`.
    /// @param complete false if there may be members that are not known
    void on_record(std::string_view primary, std::uint64_t term, bool complete);

    /// @brief An earlier holder of the duty may have ordered the promotion of a
    /// member, according to the durable record. Call after `on_record`.
    void on_recorded_order(std::string_view instance, time_point now);

    /// @brief Sets the hosts that may pass acknowledgements on to clients.
    /// Without hosts, the planner relies on the statuses of the members alone.
    void on_hosts(const std::vector<std::string>& hosts, time_point now)
    {
        survey_.set_hosts(hosts, now);
    }

    /// @brief A host answered `failover_action::hold_acknowledgements`.
    void on_hold_answer(const hold_answer& answer, time_point now)
    {
        survey_.on_answer(answer, now);
    }

    /// @param members the whole group, including members that are registered
    /// no longer
    /// @param sync_replicas number of replicas that must receive a commit
    /// before it is acknowledged
    void on_members(
        const std::vector<replication_member>& members,
        std::uint32_t sync_replicas);

    void on_status(
        std::string_view instance, const replication_status& status,
        time_point sent_at, time_point now);

    /// @brief Records a status that another host got from a member.
    /// @param asked_at time at which that host was asked
    void on_relayed_status(
        std::string_view instance, const replication_status& status,
        time_point asked_at);

    /// @brief Records that a status query or a request to pause or resume
    /// replication got no reply.
    /// @param refused the member's address refused the connection
    void on_no_status(std::string_view instance, bool refused, time_point now);

    void on_promotion_result(promotion_result result, time_point now);

    /// @brief Returns the next steps. Call at least every 50 ms.
    std::vector<failover_step> on_tick(time_point now);

    /// @brief True while the order that `on_tick` returned last is justified.
    /// Call again before it is sent, after a call of the store.
    bool is_order_justified(std::string_view instance, time_point now) const;

    /// @brief Time for which an order waits after it was recorded, so that
    /// hosts which have not promised learn of it from the record.
    duration record_delay(time_point now) const;

    /// @brief Member whose promotion was ordered and may still take effect, or
    /// may have taken effect unseen; empty if there is none.
    std::string_view pending_order(time_point now) const;

    /// @brief True while changes of the members must be learned without delay.
    bool is_urgent() const;

    /// @brief Clears all state. Call when the promotion duty is acquired or
    /// lost.
    /// @param duty greater for each holder of the duty than for those before
    void reset(std::uint64_t duty = 0);

    /// @brief Member that was last known to be the primary from its own status;
    /// empty if there is none.
    std::string_view known_primary() const
    {
        return primary_from_record_ ? std::string_view{} : primary_;
    }
    std::uint64_t known_term() const
    {
        return primary_term_;
    }

    /// @brief Members that have exited and whose logs are no longer needed: a
    /// remaining replica has every commit that was acknowledged before the end
    /// was known, or a later term has begun.
    std::vector<std::string> retired_members() const;

    /// @brief Name of the state for logs: "steady", "changing" or "restoring".
    std::string_view state() const;

    /// @brief Reason for the last failover, for logs.
    std::string_view reason() const
    {
        return reason_;
    }

    /// @brief What the planner knows about the members, for logs.
    failover_summary summary(time_point now) const;

    /// @brief What the planner knows about each member, for logs.
    std::vector<failover_member_report> member_reports(time_point now) const;

private:
    struct member_state
    {
        replication_member definition;
        std::optional<replication_status> status;
        /// Position received according to the status before the last.
        log_position earlier_received;
        /// Time at which the query for the last status was sent.
        time_point queried_at = time_point::min();
        time_point status_at = time_point::min();
        /// Time of the first failed query since the last status.
        std::optional<time_point> unresponsive_since;
        std::optional<time_point> refused_since;
        time_point last_refused_at = time_point::min();
        /// Time at which the end of the member became known, or at which it
        /// had been down for too long to be waited for.
        std::optional<time_point> ended_at;
        /// The member may return with its log: it stays in the group.
        bool may_return = false;
        /// Highest known term at `ended_at`.
        std::uint64_t ended_in_term = 0;
        /// Position up to which its log may hold the only copies of commits:
        /// that of the primary after that time, or the last known one.
        std::optional<log_position> needed_position;
        /// True if `needed_position` was reported by the primary.
        bool needed_position_is_final = false;
        time_point next_query = time_point::min();
        time_point next_replication_request = time_point::min();
    };
    using member_map = std::map<std::string, member_state, std::less<>>;

    bool is_fresh(const member_state& member, time_point now) const;
    /// True if the member has ended as announced, or was replaced.
    static bool has_shut_down(const member_state& member);
    /// True if the member has not run for so long that it is not expected back.
    bool stays_down(const member_state& member, time_point now) const;
    /// True if no order waits for the status of the member.
    static bool is_gone(const member_state& member)
    {
        return has_shut_down(member) || member.ended_at;
    }
    const member_state* current_primary(time_point now) const;
    void update_ended_members(time_point now);
    log_position last_position_before_end(const member_state& ended) const;
    /// True if a member has led since the end of this one, in a later term.
    bool ended_in_earlier_term(const member_state& member) const;
    /// True if the candidate has every commit that only members which have
    /// exited may have had.
    bool covers_ended_members(const member_state& candidate) const;
    /// True if the candidate has every commit that clients may have seen
    /// acknowledged, as far as can be known in time.
    bool has_acknowledged_commits(
        const member_state& candidate, time_point now) const;
    /// As `covers_ended_members`, without a guess at what a member received
    /// after its last status.
    bool covers_unknown_commits(const member_state& candidate) const;
    /// True if the member has everything that clients have seen acknowledged,
    /// or if the order no longer waits for it.
    bool
    has_passed_on_commits(const member_state& member, time_point now) const;
    /// True if another member has commits that clients have seen acknowledged
    /// and that the candidate lacks.
    bool lacks_passed_on_commits(
        const member_state& candidate, time_point now) const;
    /// Time since which an order may have to wait for commits that only the
    /// last known primary has.
    time_point commits_missing_since() const;
    /// True if the old primary does not lead any more, has answered lately, and
    /// has commits which the candidate lacks.
    bool former_primary_is_ahead(
        const member_state& candidate, time_point now) const;
    /// True if no other member that is not gone may have a commit which the
    /// candidate lacks.
    bool
    has_remaining_commits(const member_state& candidate, time_point now) const;
    /// True if it is known that the candidate has everything that clients have
    /// seen acknowledged.
    bool
    has_all_acknowledged(const member_state& candidate, time_point now) const;
    /// Records a position that the primary reported.
    void add_primary_position(time_point asked_at, log_position position);
    /// True if an order need not wait for a replica that does not answer,
    /// because it is known what clients have seen.
    bool is_dispensable(const member_state& member, time_point now) const;
    /// True for a member that may be promoted although it is leaving, because
    /// clients have seen commits that no other one has.
    bool
    may_lead_while_leaving(const member_state& member, time_point now) const;
    /// True if the order may wait for a member that is not available.
    bool may_wait_for_commits(time_point now) const;
    void update_hold(std::vector<failover_step>& steps, time_point now);
    void update_incomplete_group(time_point now);
    bool no_member_is_primary(time_point now) const;
    /// Highest term of the members, without those of pauses.
    std::uint64_t newest_term() const;
    std::uint64_t newest_paused_term() const;
    void query_members(std::vector<failover_step>& steps, time_point now);
    bool needs_failover(time_point now);
    bool primary_is_lost(time_point now) const;
    bool primary_is_stalled(const member_state& primary, time_point now);
    bool is_paused(const member_state& member) const;
    const member_state* choose_candidate(time_point now) const;
    const member_state* find_candidate(time_point now) const;
    bool candidate_is_unfit(time_point now) const;
    bool a_paused_replica_is_ahead(const member_state& candidate) const;
    /// True for a primary that has stepped down, kept its log, and was not
    /// replaced: it has every acknowledged commit, whatever is known of the
    /// hosts and the other members.
    bool may_be_reinstated(const member_state& member, time_point now) const;
    void update_former_primary(time_point now);
    /// True if the former primary must become the candidate, because the
    /// present one may not be promoted.
    bool must_reinstate_primary(time_point now) const;
    /// Keeps or replaces the candidate.
    const member_state* update_candidate(bool primary_responds, time_point now);
    bool all_have_answered() const;
    bool replicas_are_paused(time_point now) const;
    void start_failover(time_point now);
    /// Starts a failover to the member whose order is pending.
    void resume_failover(time_point now);
    void continue_failover(std::vector<failover_step>& steps, time_point now);
    void on_new_primary(time_point now);
    void order_candidate(std::vector<failover_step>& steps);
    bool is_other_replica(
        const member_state& member, std::string_view candidate) const;
    void
    pause_other_replicas(std::vector<failover_step>& steps, time_point now);
    bool is_recent(const member_state& member, time_point now) const;
    /// True if all replicas but the candidate are paused.
    bool other_replicas_are_paused(time_point now) const;
    /// As `other_replicas_are_paused`, by statuses of all replicas that are
    /// recent enough for an order.
    bool
    statuses_justify_order(const member_state& candidate, time_point now) const;
    void update_deaf_candidate(
        const member_state& primary, const member_state* candidate,
        time_point now);
    bool candidate_is_deaf(time_point now) const;
    /// True if the primary must not commit before the order is sent.
    bool must_step_down_before_order(time_point now) const;
    /// True if the candidate may be promoted once the primary has stepped down,
    /// as far as is known.
    bool order_may_follow(const member_state& candidate, time_point now) const;
    /// True if the primary commits nothing for lack of the candidate, which
    /// may not be promoted either.
    bool failover_is_stuck(const member_state& candidate, time_point now) const;
    /// True if the primary might commit without the member whose order is
    /// pending.
    bool must_step_down_after_order(
        const member_state* candidate, time_point now) const;
    /// True if the candidate has to pause too, because the primary cannot be
    /// asked to step down.
    bool must_pause_candidate(time_point now) const;
    /// Tells a primary that answers to step down if it must, or gives a
    /// failover up that is stuck.
    /// @return true if no order may be sent now
    bool delay_for_primary(
        std::vector<failover_step>& steps, const member_state& primary,
        const member_state* candidate, time_point now);
    void update_all_paused(const member_state* candidate, time_point now);
    /// True if no host takes the previous primary for the primary any more.
    bool primary_proof_has_expired(time_point now) const;
    /// True while an order may still take effect.
    bool order_is_pending(time_point now) const;
    /// True while an order may still take effect whose member does not lead.
    bool awaits_order(time_point now) const;
    /// True while an order of another member may still take effect.
    bool awaits_other_order(std::string_view instance, time_point now) const;
    /// True if the member answered as a replica after a point in time, without
    /// entries of a later term than that of the last known primary.
    bool has_no_later_entries(
        const member_state& member, time_point limit, time_point now) const;
    /// True if it is known whether an order has taken effect.
    /// @param limit time after which the order does not take effect any more
    bool order_has_settled(
        std::string_view instance, time_point limit, time_point now) const;
    void update_unsettled_orders(time_point now);
    /// True for a member that leads by an order which may be carried out again.
    /// That changes nothing until the member steps down.
    bool may_be_promoted_again(std::string_view instance, time_point now) const;
    /// The member of the order leads.
    void on_order_executed();
    void clear_order();
    void clear_order_of_exited_member();
    void complete_recorded_order(time_point now);
    void demote_replaced_primaries(
        std::vector<failover_step>& steps, time_point now);
    void request_step_down(
        std::vector<failover_step>& steps, bool through_hosts, time_point now);
    /// True if the primary has confirmed to this or another host that it has
    /// stepped down.
    bool primary_has_stepped_down(time_point now) const;
    /// True if other hosts reach the primary, and this one does not.
    bool primary_leads_elsewhere(time_point now) const;
    /// True while an order waits until a primary that other hosts reach has
    /// stepped down.
    bool awaits_step_down(time_point now);
    void start_restoring();
    void resume_replicas(std::vector<failover_step>& steps, time_point now);

    enum class phase
    {
        steady,
        changing,
        /// Paused replicas are being resumed.
        restoring
    };

    settings settings_;
    acknowledgement_survey survey_;
    member_map members_;
    std::uint32_t sync_replicas_ = 1;
    phase phase_ = phase::steady;
    std::string_view reason_;
    /// Member that was last known to be the primary, and its term.
    std::string primary_;
    std::uint64_t primary_term_ = 0;
    /// Positions that the primary has reported, oldest first, with the times at
    /// which it was asked.
    std::deque<std::pair<time_point, log_position>> primary_positions_;
    /// True if `primary_` is known only from the record of the group.
    bool primary_from_record_ = false;
    /// False if the group may have members that are not known.
    bool group_complete_ = false;
    /// Time since which all members of the group have answered and none is the
    /// primary. A primary that is known from the record need not answer.
    std::optional<time_point> without_primary_since_;
    std::optional<time_point> stalled_since_;
    /// Highest term of the members at the start of the failover; the new
    /// primary's term is greater.
    std::uint64_t previous_term_ = 0;
    /// Term with which replicas are paused, greater than that of all pauses by
    /// earlier holders of the duty.
    std::uint64_t pause_term_ = 0;
    time_point failover_started_at_ = time_point::min();
    /// Member to promote.
    std::string candidate_;
    /// Time since which a paused replica is ahead of the candidate.
    std::optional<time_point> candidate_behind_since_;
    /// Time since which the candidate does not receive the primary's entries.
    std::optional<time_point> candidate_deaf_since_;
    /// Time since which the former primary may be reinstated.
    std::optional<time_point> reinstatable_since_;
    time_point next_step_down_ = time_point::min();
    /// Time since which an order waits for the step-down of a primary that only
    /// other hosts reach.
    std::optional<time_point> step_down_awaited_since_;
    /// Status of `relayed_instance_` that another host got, and the time at
    /// which that host was asked.
    std::string relayed_instance_;
    replication_status relayed_status_;
    time_point relayed_at_ = time_point::min();
    /// True if an order of this failover got no reply.
    bool order_unknown_ = false;
    /// Member of the last order, and the time until which that order may take
    /// effect.
    std::string ordered_;
    time_point order_pending_until_ = time_point::min();
    /// As `order_pending_until_`, for an order without a reply whose member
    /// answers.
    time_point order_arrives_until_ = time_point::min();
    /// The member leads, but another order for it may be carried out later.
    bool order_took_effect_ = false;
    /// Members that lead by an order without a reply, and the time until which
    /// a repetition of it may be carried out.
    std::map<std::string, time_point, std::less<>> repeatable_orders_;
    /// Members whose orders may have taken effect unseen, and the times after
    /// which these do not take effect any more.
    std::map<std::string, time_point, std::less<>> unsettled_orders_;
    /// True if `ordered_` is known only from the record.
    bool order_from_record_ = false;
    /// Time since which all replicas are paused, including the candidate.
    std::optional<time_point> all_paused_since_;
    time_point next_promotion_ = time_point::min();
    /// The reply to an order is awaited.
    bool promotion_pending_ = false;
};

} // namespace zinniahub
