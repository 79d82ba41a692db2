#pragma once

#include <zinniahub/time.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace zinniahub
{

enum class drain_state
{
    serving,
    /// The host reports that it is leaving, but still accepts requests until
    /// the load balancer has noticed.
    announcing,
    /// New requests are refused as not run; accepted requests finish.
    refusing,
    finished
};

/// @brief Name of a state, for example "refusing".
std::string_view to_string(drain_state value);

enum class drain_action
{
    announce_leaving,
    set_not_serving,
    refuse_new,
    /// Hand over token pools and release the seat and the leases.
    hand_over,
    /// Exit with status 0 after the handover.
    exit
};

/// @brief State machine for the graceful shutdown of a proxy.
class drain_controller
{
public:
    struct settings
    {
        /// Time the load balancer needs to notice that the host is leaving.
        duration announce_time = std::chrono::seconds(2);
        /// Maximum time for accepted requests to finish: the longest deadline a
        /// request may have.
        duration finish_time = std::chrono::seconds(30);
    };

    drain_controller() = default;
    explicit drain_controller(settings values);

    /// @brief Starts the shutdown. Further signals have no effect.
    /// @return actions to be performed, in order
    std::vector<drain_action> on_signal(time_point now);

    /// @brief Advances the shutdown. Call it at least every 100 ms.
    /// @param open_requests number of requests in progress
    /// @param open_transactions number of open transactions, whether or not a
    /// request is in progress in them
    /// @return actions to be performed, in order
    std::vector<drain_action> on_tick(
        time_point now, std::size_t open_requests,
        std::size_t open_transactions);

    drain_state state() const
    {
        return state_;
    }

    /// @brief Earliest time at which the proxy may exit with work in progress;
    /// no value while serving.
    ///
    /// Requests accepted after the signal, including those in open
    /// transactions, need an earlier deadline, so that their replies are sent
    /// before the exit.
    std::optional<time_point> stops_at() const;

private:
    settings settings_{};
    drain_state state_ = drain_state::serving;
    time_point signalled_at_{};
    time_point refusing_since_{};
};

} // namespace zinniahub
