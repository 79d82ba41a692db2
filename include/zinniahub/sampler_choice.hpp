#pragma once

#include <zinniahub/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub
{

/// @brief Decides whether a host samples the primary of a service itself or
/// asks another host for a position.
///
/// All hosts compute the same order of hosts for a service. A host asks the
/// first one in that order that answers; if that is the host itself, it
/// samples. So the load of sampling does not grow with the number of hosts, and
/// hosts that are cut off from the others agree on one among themselves.
class sampler_choice
{
public:
    /// A host that does not answer a question within this time is passed over.
    static constexpr duration reply_timeout = std::chrono::milliseconds(30);
    /// Time for which a host is passed over.
    static constexpr duration retry_interval = std::chrono::seconds(1);
    /// Questions without an answer after which the host samples itself.
    static constexpr std::size_t max_unanswered = 2;

    enum class action
    {
        /// A question is pending.
        wait,
        ask,
        sample
    };

    struct decision
    {
        action next = action::wait;
        /// Host to ask.
        std::string host;
    };

    explicit sampler_choice(std::string_view service);

    /// @param own this host
    void set_hosts(
        const std::string& own, const std::vector<std::string>& other_hosts);

    /// @brief A position is needed.
    decision next(time_point now);
    /// @brief The asked host has answered.
    void on_reply();
    /// @brief This host could not sample the primary.
    void on_sample_failed(time_point now);

private:
    bool is_passed_over(const std::string& host, time_point now) const;

    std::uint64_t service_id_;
    std::string own_;
    /// All hosts; the first one that answers samples.
    std::vector<std::string> order_;
    std::map<std::string, time_point> passed_over_until_;
    std::optional<std::string> asked_;
    time_point asked_at_{};
    std::size_t unanswered_ = 0;
};

} // namespace zinniahub
