#pragma once

#include "observability/metrics.hpp"
#include "traffic/group_transactions.hpp"
#include "traffic/member_pool.hpp"
#include "traffic/request.hpp"

#include <zinniahub/commit_rule.hpp>
#include <zinniahub/connection_share.hpp>
#include <zinniahub/promotion.hpp>
#include <zinniahub/retry_budget.hpp>
#include <zinniahub/routing.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace zinniahub::traffic
{

/// @brief Strategies and limits that apply to the traffic of all groups.
struct traffic_policy
{
    std::unique_ptr<request_router> router;
    std::unique_ptr<commit_rule> commit;
    std::unique_ptr<connection_strategy> connections;
    fair_queue::settings queue;
    /// Failure domain of this host.
    std::string local_domain;
};

/// @brief Sends the requests of one database group to its members.
///
/// All state is used on one strand. Public functions can be called from any
/// thread.
class group_traffic : public std::enable_shared_from_this<group_traffic>
{
public:
    group_traffic(
        boost::asio::thread_pool& threads, const traffic_policy& policy,
        metrics::registry& metrics, std::uint64_t uid, std::string name);

    /// @brief Starts the timer. Call once.
    void start();
    /// @brief Stops the timer and fails the waiting requests.
    void stop();

    /// @brief Runs a statement outside transactions.
    void submit(request::pointer entry);

    /// @brief Opens a transaction on the primary.
    /// @param opened called before the request completes with success
    void begin(request::pointer entry, group_transactions::open_handler opened);

    /// @brief Runs a statement, commit or rollback in a transaction.
    void
    submit_in_transaction(transaction_pointer owner, request::pointer entry);

    /// @brief Rolls a transaction back by closing its connection.
    void roll_back(transaction_pointer owner);

    /// @brief Applies a new view: term, primary, reachable and serving
    /// members.
    void on_view(group_view view);

    /// @brief Applies the status of one member.
    void on_status(std::string member, const member_status& status);

    void set_host_count(std::uint32_t hosts);

    /// @brief Requests of this host that wait for or use a member, by member.
    void collect_loads(
        std::function<void(std::vector<std::pair<std::string, std::uint32_t>>)>
            done);

    std::uint64_t uid() const
    {
        return uid_;
    }

private:
    /// A write that was executed and waits for the commit rule.
    struct unconfirmed_write
    {
        request::pointer entry;
        std::string primary;
        answer outcome;
    };

    /// A request that was sent and has no reply yet.
    struct in_flight
    {
        request::pointer entry;
        upstream::member_connection::pointer connection;
    };

    /// One attempt to run a request, with the connection chosen for it.
    struct attempt
    {
        request::pointer entry;
        pooled_connection target;
        bool replica = false;
        /// nullptr for a request outside transactions.
        transaction_pointer owner;
    };

    void route(const request::pointer& entry);
    void defer(request::pointer entry);
    void retry_deferred(time_point now);
    void requeue_waiting();
    result<std::size_t> choose(const request& entry) const;

    void send(
        std::size_t member, request::pointer entry,
        upstream::member_connection::pointer connection);
    void transmit(attempt sent);
    void on_reply(attempt sent, result<v1::MemberReply> reply);
    /// Converts a reply and records what it reveals about the member's state.
    attempt_outcome
    read_reply(const attempt& sent, result<v1::MemberReply> reply);
    void
    on_reply_outside_transaction(const attempt& sent, attempt_outcome reply);
    void on_transaction_reply(const attempt& sent, attempt_outcome reply);
    /// Completes a write when the commit rule is satisfied.
    void confirm(unconfirmed_write write);

    /// Retries the request if that is allowed, else completes it.
    void retry_or_fail(request::pointer entry, const error& failure);

    void confirm_writes();
    bool try_confirm(unconfirmed_write& write);
    void expire(time_point now);
    void process_queues();
    /// Returns to the short tick interval after a period without requests.
    void leave_idle_mode();
    bool is_busy() const;
    void schedule_tick();
    bool needs_ticks() const;
    void tick();

    std::shared_ptr<member_pool> make_pool(const member_view& member);
    std::size_t index_of(std::string_view member) const;

    boost::asio::strand<boost::asio::thread_pool::executor_type> strand_;
    boost::asio::steady_timer timer_;
    const traffic_policy& policy_;
    metrics::counter& retries_;
    metrics::counter& mismatched_replies_;
    metrics::counter& shed_requests_;
    std::uint64_t uid_;
    std::string name_;
    group_view view_;
    /// Indexed like the members of the view.
    std::vector<std::shared_ptr<member_pool>> pools_;
    std::vector<request::pointer> deferred_;
    std::list<unconfirmed_write> unconfirmed_;
    std::vector<in_flight> in_flight_;
    retry_budget budget_;
    std::uint32_t host_count_ = 1;
    group_transactions transactions_;
    std::uint64_t last_routing_sequence_ = 0;
    bool stopped_ = false;
    bool idle_ = false;
};

} // namespace zinniahub::traffic
