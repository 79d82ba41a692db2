#pragma once

#include "serve/published.hpp"
#include "traffic/customer_admission.hpp"
#include "traffic/group_traffic.hpp"

#include <zinniahub/configuration.hpp>
#include <zinniahub/session_token.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace zinniahub::serve
{

/// @brief Immutable configuration and objects used to serve requests.
struct traffic_snapshot : boost::intrusive_ref_counter<traffic_snapshot>
{
    desired_state_ptr desired;
    std::map<std::string, std::shared_ptr<traffic::group_traffic>, std::less<>>
        groups;
    std::map<
        std::string, std::shared_ptr<traffic::customer_admission>, std::less<>>
        customers;
    std::shared_ptr<const token_codec> codec;
};

using traffic_snapshot_ptr = boost::intrusive_ptr<const traffic_snapshot>;

/// @brief State shared by the control thread and the traffic threads.
struct proxy_state
{
    published_value<traffic_snapshot_ptr> snapshot;

    /// Time since the epoch of the monotonic clock until which keyed requests
    /// are served, from the last confirmation of the configuration.
    std::atomic<clock::rep> configuration_valid_until{0};

    /// Latest deadline of a request, as time since the epoch of the monotonic
    /// clock, so that a planned stop interrupts no request.
    std::atomic<clock::rep> latest_deadline{never.time_since_epoch().count()};

    /// New requests are refused: the host is draining.
    std::atomic<bool> refuses_new_requests{false};
    /// New requests are refused: the failure domain is out of service.
    std::atomic<bool> domain_out_of_service{false};

    std::atomic<std::size_t> open_requests{0};
    std::atomic<std::size_t> open_transactions{0};

    bool is_configuration_valid(time_point now) const
    {
        return now.time_since_epoch().count() <
               configuration_valid_until.load(std::memory_order_relaxed);
    }
};

} // namespace zinniahub::serve
