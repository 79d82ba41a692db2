#pragma once

#include <zinniahub/time.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Decides whether a host calls the store itself or through another
/// host.
///
/// The store may refuse or not reach some hosts while it serves others. Hosts
/// that reach it offer to forward calls. A host uses an offer only while its
/// own calls fail, and returns to its own calls with the first answer.
class store_path_selector
{
public:
    struct settings
    {
        /// Time without an answer after which a path that has worked is lost.
        duration failure_tolerance = std::chrono::milliseconds(300);
        /// Age of the last answer up to which this host offers to forward.
        /// Longer than a wait of a watch.
        duration offering_limit = std::chrono::seconds(3);
        /// Time for which a received offer may be used.
        duration offer_lifetime = std::chrono::seconds(10);
        /// Age of the last answer through another host up to which this host
        /// counts as served through it.
        duration relayed_answer_lifetime = std::chrono::seconds(2);
        /// Offers that are kept.
        std::size_t max_offers = 8;
    };

    store_path_selector() = default;
    explicit store_path_selector(settings values)
        : settings_(values)
    {
    }

    /// @brief The store has answered a call of this host other than by a
    /// refusal.
    void on_direct_answer(time_point now);
    /// @brief A call was refused or not sent, or a read got no answer. Missing
    /// answers to writes do not count: the answer alone may have been lost.
    /// @param sent_at time before the call was sent
    void on_direct_failure(time_point sent_at, time_point now);

    /// @brief Another host offers to forward calls.
    void on_offer(std::string_view address, time_point now);
    /// @brief A call through this host failed, as for `on_direct_failure`.
    void on_relay_failure(std::string_view address);
    /// @brief A call through another host was answered by the store.
    void on_relay_answer(time_point now);

    /// @brief The store does not serve this host itself.
    bool is_direct_lost(time_point now) const;
    /// @brief Address of the host through which to call; empty for a call of
    /// this host itself.
    std::string relay(time_point now) const;
    /// @brief The store answers other hosts but not this one. An offer does not
    /// show that: it may be older than an outage of the store for all hosts.
    bool is_served_through_relay(time_point now) const;
    /// @brief Whether this host can forward calls of others.
    bool can_offer(time_point now) const;

private:
    struct offer
    {
        std::string address;
        time_point heard_at;
    };

    settings settings_{};
    time_point answered_at_ = time_point::min();
    std::optional<time_point> failing_since_;
    time_point relay_answered_at_ = time_point::min();
    /// In the order in which they were first heard; the first one is used until
    /// it fails or expires.
    std::vector<offer> offers_;
};

} // namespace zinniahub
