#pragma once

#include <zinniahub/time.hpp>

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Decides which failure domains this host cannot reach, and whether its
/// own domain is cut off from all others.
///
/// Load: a domain is partitioned for a few seconds while its clients still
/// reach it. A host is sure of that after 420 ms without any sign from outside:
/// it then has asked hosts and tried members there, and has heard from its own
/// domain in the meantime. A host that hears nobody decides nothing, because
/// it may be alone in its trouble.
///
/// Only time in which the process ran counts as silence, so that neither a
/// suspended machine nor a process that waits for its processor decides from
/// datagrams that it has not read yet.
class domain_watch
{
public:
    struct settings
    {
        /// Failure domain of this host.
        std::string domain;
        /// Silence after which hosts of a domain are asked. Longer than two
        /// intervals of heartbeats, so that one of them may be lost.
        duration silence_limit = std::chrono::milliseconds(250);
        /// Time for the hosts to answer before members are tried, which costs
        /// more.
        duration host_answer_limit = std::chrono::milliseconds(30);
        /// Time for the members to answer. On a busy machine the set-up of a
        /// connection took over 100 ms.
        duration member_answer_limit = std::chrono::milliseconds(140);
        /// Time for which an unreachable domain must answer again.
        duration recovery_time = std::chrono::milliseconds(500);
        /// Longest pause between answers within `recovery_time`.
        duration recovery_gap = std::chrono::milliseconds(400);
        /// Most that the time between two calls counts as silence.
        duration max_step = std::chrono::milliseconds(120);
        /// Time without a call after which all inquiries start anew.
        duration suspension = std::chrono::milliseconds(500);
    };

    enum class action_kind
    {
        ask_hosts,
        try_members
    };
    struct action
    {
        action_kind kind = action_kind::ask_hosts;
        std::string domain;
    };

    using host_counts = std::map<std::string, std::size_t, std::less<>>;

    explicit domain_watch(settings values);

    /// @brief Registered hosts by domain, this one included. Domains without
    /// hosts are not watched.
    void set_hosts(const host_counts& hosts);
    /// @brief A datagram of another host has arrived.
    void on_host_heard(std::string_view domain, time_point now);
    /// @brief Call for each domain that has members before `on_tick`.
    /// @param answered_at last answer of any of them; `time_point::min()` if
    /// there was none
    void
    on_members(std::string_view domain, time_point answered_at, time_point now);

    /// @brief Call at `next_check`, and at least every 100 ms.
    std::vector<action> on_tick(time_point now);
    /// @brief Time of the next decision; `never` if none is due.
    time_point next_check(time_point now) const;

    /// @brief True if this host's domain reaches no other, and the others hold
    /// more hosts: the larger part goes on serving.
    bool is_cut_off() const
    {
        return cut_off_;
    }
    /// @brief Other domains that cannot be reached.
    std::vector<std::string> unreachable_domains() const;
    /// @brief Unreachable domains of which no member has answered since.
    std::vector<std::string> domains_to_avoid() const;

private:
    /// Times are those of `running_`.
    struct domain_state
    {
        std::size_t hosts = 0;
        bool has_members = false;
        /// A host was heard since the start of this process.
        bool is_known = false;
        time_point heard_at = time_point::min();
        time_point asked_at = never;
        time_point tried_at = never;
        bool unreachable = false;
        time_point unreachable_since = never;
        bool member_answered = false;
        /// Start of the answers of an unreachable domain.
        time_point answering_since = never;

        bool is_watched() const
        {
            return hosts > 0 && is_known;
        }
        void end_inquiry()
        {
            asked_at = never;
            tried_at = never;
        }
    };

    bool is_own(std::string_view domain) const
    {
        return domain == settings_.domain;
    }
    void advance(time_point now);
    void restart();
    /// State of a domain; null if there are too many.
    domain_state* state_of(std::string_view domain);
    void
    note_heard(std::string_view domain, domain_state& state, time_point at);
    void inquire(
        const std::string& domain, domain_state& state,
        std::vector<action>& actions);
    void decide(const std::string& domain, domain_state& state);
    /// Another domain than those of `except` was heard after `since`.
    bool has_witness(
        std::initializer_list<std::string_view> except, time_point since) const;
    bool find_cut_off() const;
    time_point next_deadline(const domain_state& state) const;

    settings settings_;
    std::map<std::string, domain_state, std::less<>> domains_;
    /// Advances by at most `max_step` between two calls.
    time_point running_{};
    std::optional<time_point> last_call_at_;
    bool cut_off_ = false;
};

} // namespace zinniahub
