#pragma once

#include <zinniahub/acknowledgement_hold.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Holder's side of `acknowledgement_hold`: which hosts have promised to
/// hold, and up to which position clients have seen acknowledgements.
class acknowledgement_survey
{
public:
    /// Interval between requests to a host that has not answered.
    static constexpr duration repeat_interval = std::chrono::milliseconds(100);
    /// Interval between requests to a host that has answered.
    static constexpr duration renew_interval = std::chrono::milliseconds(150);
    /// Age of a host's last answer from which it no longer counts. A process
    /// that restarts forgets its promise, and takes longer to start.
    static constexpr duration answer_validity = std::chrono::milliseconds(400);
    /// Time for which the end of a hold is repeated.
    static constexpr duration release_limit = std::chrono::seconds(2);

    /// @brief Forgets everything.
    /// @param duty see `hold_request`
    void reset(std::uint64_t duty);

    /// @brief Sets the hosts. What a host that has gone passed on is unknown.
    /// @param hosts all hosts that may pass on acknowledgements
    void set_hosts(const std::vector<std::string>& hosts, time_point now);

    /// @brief Starts a hold for a candidate, or goes on with it.
    void hold(std::string_view candidate, std::uint64_t term, time_point now);
    /// @param term newest term that is known
    void release(std::uint64_t term, time_point now);

    void on_answer(const hold_answer& answer, time_point now);

    /// @brief Hosts to which `request` must be sent now.
    std::vector<std::string> due_hosts(time_point now);
    const hold_request& request() const
    {
        return request_;
    }

    bool has_hosts() const
    {
        return !hosts_.empty();
    }
    bool is_holding_for(std::string_view candidate) const
    {
        return !request_.candidate.empty() && request_.candidate == candidate;
    }
    /// @brief Start of the present hold.
    time_point since() const
    {
        return since_;
    }
    /// @brief True if every host has promised.
    bool all_promised(time_point now) const;
    /// @brief True if `acknowledged` covers everything that clients have seen
    /// acknowledged since a point in time: all hosts have promised, have run
    /// since before it, and none has gone since.
    bool is_complete_since(time_point since, time_point now) const;
    /// @brief Highest position that clients have seen acknowledged, as far as
    /// hosts have answered.
    log_position acknowledged() const
    {
        return acknowledged_;
    }
    std::size_t hosts() const
    {
        return hosts_.size();
    }
    /// @brief Number of hosts that have promised.
    std::size_t promised(time_point now) const;

private:
    struct host_state
    {
        /// Number of the last request that the host has answered.
        std::uint64_t answered = 0;
        time_point answered_at = time_point::min();
        time_point started_at = never;
        time_point next_request = time_point::min();
    };

    bool has_promised(const host_state& host, time_point now) const
    {
        return host.answered == request_.number &&
               (request_.number == 0 ||
                now - answer_validity < host.answered_at);
    }
    void start_request(time_point now);

    hold_request request_;
    std::map<std::string, host_state, std::less<>> hosts_;
    time_point since_ = time_point::min();
    /// Time at which it became known that a host has gone.
    time_point host_lost_at_ = time_point::min();
    log_position acknowledged_;
};

} // namespace zinniahub
