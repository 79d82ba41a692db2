#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/log_position.hpp>
#include <zinniahub/routing.hpp>
#include <zinniahub/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinniahub
{

/// @brief Status that a member reports about itself.
struct member_status
{
    std::uint64_t group_uid = 0;
    member_role role = member_role::replica;
    /// Highest term the member has accepted.
    std::uint64_t term = 0;
    /// Name of the primary of that term; empty if unknown to the member.
    std::string primary;
    log_position position;
    /// Time since the member last heard from that primary.
    duration primary_silent{};
    std::uint32_t open_transactions = 0;
    std::uint32_t connections = 0;
    std::uint32_t connection_limit = 0;
    bool quiesced = false;
};

struct member_definition
{
    std::string name;
    std::string address;
    std::string failure_domain;
    bool in_service = true;
};

struct group_definition
{
    std::string name;
    std::uint64_t uid = 0;
    std::vector<member_definition> members;
};

struct promotion_settings
{
    /// Time without contact after which the primary is suspected to have
    /// failed.
    duration suspicion_timeout = std::chrono::milliseconds(1000);
    /// Time after which a call without a reply counts as failed.
    duration call_timeout = std::chrono::milliseconds(500);
    /// Maximum time to wait for open transactions in a planned change.
    duration quiesce_timeout = std::chrono::seconds(5);
    /// Maximum random delay before the next attempt.
    duration max_backoff = std::chrono::milliseconds(500);
    /// Identifies this process. A member fenced by this candidate accepts
    /// repeated calls from it.
    std::uint64_t candidate = 0;
    /// Rank among the hosts responsible for the group; rank 0 acts first.
    std::uint32_t rank = 0;
    std::uint64_t seed = 0;
};

/// @brief Calls that the owner of a `group_monitor` must make, and results that
/// it must publish. `member` is an index into the group definition.
namespace promotion_action
{

struct fence
{
    std::size_t member;
    std::uint64_t term;
};

struct promote
{
    std::size_t member;
    std::uint64_t term;
    log_position expected_position;
};

struct follow
{
    std::size_t member;
    std::uint64_t term;
    std::size_t primary;
};

struct quiesce
{
    std::size_t member;
    std::uint64_t term;
    duration limit;
};

/// The view returned by `group_monitor::view()` has a changed term, primary, or
/// set of reachable or in-service members.
struct publish
{
};

} // namespace promotion_action

using promotion_actions = std::vector<std::variant<
    promotion_action::fence, promotion_action::promote,
    promotion_action::follow, promotion_action::quiesce,
    promotion_action::publish>>;

/// @brief Monitors one database group and initiates promotions.
///
/// Promotes a member only if a majority of the members is reachable and has
/// also lost contact with the primary, or if the primary is being taken out of
/// service. The term is raised on a majority before the fenced member with the
/// most advanced log is promoted, so a term has at most one primary and no
/// acknowledged write is lost. Does not depend on the platform. Not
/// thread-safe: all calls must come from one thread.
class group_monitor
{
public:
    /// @return `errc::resource_invalid` without members or with duplicate names
    static result<group_monitor> make(
        group_definition definition, promotion_settings settings,
        time_point now);

    promotion_actions
    on_definition(group_definition definition, time_point now);
    promotion_actions
    on_status(std::size_t member, const member_status& status, time_point now);
    promotion_actions on_disconnected(std::size_t member, time_point now);
    promotion_actions on_fence_reply(
        std::size_t member, std::uint64_t term, bool accepted,
        const member_status& status, time_point now);
    promotion_actions on_promote_reply(
        std::size_t member, std::uint64_t term, bool accepted,
        const member_status& status, time_point now);
    /// @brief Records that a fence, promote, follow or quiesce call got no
    /// reply.
    promotion_actions on_call_failed(std::size_t member, time_point now);
    /// @brief Call at least every 100 ms.
    promotion_actions on_tick(time_point now);

    const group_view& view() const
    {
        return view_;
    }

    const group_definition& definition() const
    {
        return definition_;
    }

    /// @brief Sets the rank, which depends on the set of live hosts.
    void set_rank(std::uint32_t rank)
    {
        settings_.rank = rank;
    }

private:
    struct member_state
    {
        std::optional<member_status> status;
        /// Time at which the last status was received on the stream.
        time_point received_at{};
        bool connected = false;
        bool ever_reachable = false;
        std::optional<time_point> ramp_start;
        std::optional<time_point> last_follow;
    };

    enum class fence_state
    {
        waiting,
        accepted,
        refused
    };

    struct fence_call
    {
        fence_state state = fence_state::waiting;
        /// Log position of the member when it was fenced.
        log_position position;
    };

    /// A promotion attempt. Never promotes two members in one term.
    struct attempt
    {
        std::uint64_t term = 0;
        std::vector<fence_call> fences;
        bool planned = false;
        /// Primary to be replaced, `no_member` if unknown.
        std::size_t old_primary = no_member;
        /// Member being promoted, `no_member` while fencing.
        std::size_t target = no_member;
        time_point sent_at{};
        unsigned send_count = 0;
    };

    struct planned_change
    {
        time_point noticed_at{};
        std::optional<time_point> started_at;
        time_point last_quiesce{};
        std::optional<time_point> ready_since;
    };

    group_monitor(
        group_definition definition, promotion_settings settings,
        time_point now);

    void set_definition(group_definition definition);
    void reset(time_point now);

    // Member status
    bool
    belongs_to_group(std::size_t member, const member_status& status) const;
    std::size_t index_of(std::string_view name) const;
    std::size_t
    reported_primary(std::size_t member, const member_status& status) const;
    bool is_reachable(std::size_t member, time_point now) const;
    bool has_recent_status(std::size_t member, time_point now) const;
    bool has_lost_primary(std::size_t member, time_point now) const;
    std::size_t majority() const;
    void observe_term(std::uint64_t term, time_point now);
    void
    update_status_from_reply(std::size_t member, const member_status& status);

    // Group view
    promotion_actions refresh(promotion_actions actions, time_point now);
    void update_member_view(std::size_t member, time_point now);
    void update_term();
    void update_primary();
    bool is_primary_deposed() const;

    // Promotion decisions
    bool primary_has_failed(time_point now);
    void decide(promotion_actions& actions, time_point now);
    void consider_planned_change(promotion_actions& actions, time_point now);
    void quiesce_primary(promotion_actions& actions, time_point now);
    bool has_successor(log_position position, time_point now) const;
    bool is_ready_for_change(time_point now) const;
    void send_follows(promotion_actions& actions, time_point now);
    duration rank_delay() const;
    duration random_backoff();

    // Promotion attempt
    void
    start_attempt(promotion_actions& actions, bool planned, time_point now);
    void continue_attempt(promotion_actions& actions, time_point now);
    void send_fences(promotion_actions& actions, time_point now);
    void send_promote(promotion_actions& actions, time_point now);
    void abandon_attempt(time_point now);
    bool cannot_reach_majority() const;
    bool is_better_target(std::size_t member, std::size_t than) const;
    bool may_still_answer(std::size_t member, time_point now) const;
    std::size_t choose_target(time_point now) const;

    group_definition definition_;
    promotion_settings settings_;
    group_view view_;
    /// View at the time of the last `publish` action.
    group_view published_;
    std::vector<member_state> states_;
    /// Highest term in any received status or own attempt.
    std::uint64_t highest_term_ = 0;
    /// Primary of `view_.term` as reported by any member of that term.
    std::size_t known_primary_ = no_member;
    /// Time of the last status from a primary that is not deposed.
    time_point primary_last_seen_{};
    /// Time at which a majority lost contact with the primary.
    std::optional<time_point> majority_lost_primary_since_;
    /// Time at which the primary was found to have failed.
    std::optional<time_point> primary_failed_since_;
    /// No attempt starts before this time.
    time_point earliest_attempt_{};
    std::optional<planned_change> planned_change_;
    std::optional<attempt> attempt_;
    std::uint64_t random_state_ = 0;
};

} // namespace zinniahub
