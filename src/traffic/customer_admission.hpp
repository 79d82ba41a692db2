#pragma once

#include "observability/metrics.hpp"

#include <zinniahub/error.hpp>
#include <zinniahub/rate_share.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace zinniahub::traffic
{

/// @brief Admits the requests of one customer at the rate of its tokens.
///
/// Public functions can be called from any thread. A mutex guards the state,
/// because a request that gets a token at once continues on its own thread; a
/// strand would switch threads. Handlers are called without the mutex held.
class customer_admission
    : public std::enable_shared_from_this<customer_admission>
{
public:
    using handler = std::function<void(result<void>)>;

    /// @param token_wait maximum time a request waits for a token
    customer_admission(
        boost::asio::thread_pool& threads, std::string name,
        duration token_wait, metrics::registry& metrics);

    /// @brief Takes a token for a request.
    /// @param done called once with success or `errc::rate_exceeded`; before
    /// this function returns if a token is available
    void admit(time_point deadline, handler done);

    void set_floor(token_holder::floor floor);

    /// @brief Collects the demand to report to the owner of the pool.
    /// @return the demand and the time it was collected at
    std::pair<token_demand, time_point> collect_demand(bool pool_reachable);

    void on_grant(double tokens, time_point expires_at);

private:
    struct waiting_request
    {
        time_point expires_at;
        handler done;
    };

    /// Requests whose wait has ended, with their outcomes.
    using decision_list = std::vector<std::pair<handler, result<void>>>;

    void decide_waiting(time_point now, decision_list& ended);
    void schedule_tick();
    void serve_waiting();
    void post_serve_waiting();
    static void call_handlers(decision_list& ended);

    std::mutex mutex_;
    boost::asio::steady_timer timer_;
    std::string name_;
    duration token_wait_;
    metrics::counter& granted_;
    metrics::counter& refused_;
    token_holder holder_;
    std::deque<waiting_request> waiting_;
    bool is_tick_scheduled_ = false;
};

} // namespace zinniahub::traffic
