#pragma once

#include "coordination/datagram_transport.hpp"
#include "coordination/host_registry.hpp"
#include "coordination/store.hpp"
#include "observability/event_log.hpp"
#include "pooling/session_manager.hpp"

#include <zinniahub/proxy_configuration.hpp>
#include <zinniahub/rate_ledger.hpp>
#include <zinniahub/token_requests.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// @brief Admits operations within the customers' rate limits.
///
/// The hosts' parts of the limits are one record in the store, which changes
/// when hosts join or leave. Each customer's limit is divided into portions,
/// which the owners of certain parts keep. A host that lacks tokens requests
/// them by datagram from the keepers of the customer, one after the other, so
/// that tokens follow the load without store access.
class rate_limiter : public pooling::admission
{
public:
    rate_limiter(
        boost::asio::io_context& io, store& target, datagram_transport& network,
        const host_registry& hosts, std::string host, rate_allowance allowance,
        log::event_log& events);

    void start();

    void on_configuration(const proxy_configuration& configuration);
    /// @brief Applies an item below `state_prefix`.
    void on_item(const stored_item& item);
    /// @brief This host's registration has changed.
    void on_registration_changed();

    awaitable<pooling::admission_result>
    admit(std::string customer, std::string request) override;
    bool try_admit(std::string_view customer) override;
    void refund(std::string_view customer) override;

    /// @brief Number of parts of the rate limits that this host may use now.
    std::uint32_t usable_share() const;

    struct customer_counters
    {
        std::string customer;
        double level = 0;
        std::uint64_t granted = 0;
        std::uint64_t refused = 0;
        double received = 0;
        double given = 0;
    };
    std::vector<customer_counters> counters() const;

private:
    struct waiter
    {
        explicit waiter(boost::asio::io_context& io)
            : timer(io)
        {
        }
        boost::asio::steady_timer timer;
        bool has_token = false;
    };

    struct customer_state
    {
        customer_state(host_rate_limiter limiter, std::uint64_t first_id)
            : account(std::move(limiter))
            , requests(first_id)
        {
        }

        host_rate_limiter account;
        /// Requests that wait for a token, in the order of their arrival.
        std::list<waiter*> waiters;
        /// Until then the keepers are assumed to have no spare tokens.
        time_point exhausted_until = time_point::min();
        time_point requested_at = time_point::min();
        /// Consecutive replies without tokens.
        std::size_t empty_replies = 0;
        token_requests requests;
        /// Other hosts that keep a portion of the limit, as of
        /// `keepers_revision` of the shares.
        std::vector<std::string> keepers;
        std::uint64_t keepers_revision = 0;
        std::size_t next_keeper = 0;
        customer_counters counts;
    };

    /// Numbers for the log line of a refusal.
    struct wait_result
    {
        std::size_t asked = 0;
        duration refill = duration::zero();
    };

    /// Time until the customer may expect a token after a refusal.
    static duration time_until_token(
        const customer_state& state, const wait_result& outcome,
        time_point now);
    awaitable<bool> wait_for_token(
        const std::string& customer, waiter& entry, wait_result& outcome);
    void serve_waiters(customer_state& state, time_point now);
    std::string next_keeper(customer_state& state, time_point now);
    bool request_tokens(customer_state& state, time_point now);
    void log_refusal(
        std::string_view request, customer_state& state,
        const wait_result& outcome, time_point now);
    /// Customer, number of tokens and request that a message names.
    struct token_message
    {
        customer_state* state = nullptr;
        double count = 0;
        std::uint64_t id = 0;
    };

    token_message decode_message(std::string_view text);
    void on_token_request(std::string_view from, std::string_view text);
    void on_token_reply(std::string_view text);
    void apply_share();
    void apply_share(std::string_view name, customer_state& state);
    void update_keepers(customer_state& state) const;
    awaitable<void> adjust_shares();
    awaitable<void> write_shares(share_change change);

    boost::asio::io_context& io_;
    store& store_;
    datagram_transport& network_;
    const host_registry& hosts_;
    std::string host_;
    rate_allowance allowance_;
    log::event_log& events_;
    std::map<std::string, customer_state, std::less<>> customers_;
    share_planner planner_;
    rate_shares shares_;
    std::uint64_t shares_revision_ = 0;
    /// End of the registration that the accounts were last given.
    time_point applied_valid_until_ = time_point::min();
    /// This host's parts according to all changes that may still be executed.
    /// Only parts that it owns before and after each of them may be used.
    std::optional<part_ranges> parts_being_written_;
    /// Revision that this change replaces. The change cannot take effect after
    /// a later revision.
    std::uint64_t replaced_revision_ = 0;
    /// Parts that this host may use.
    part_ranges usable_parts() const;

    /// Hosts that left a request unanswered, with the time until which they
    /// are not asked.
    std::map<std::string, time_point, std::less<>> unresponsive_until_;
    /// Differs between processes, so that a reply to an earlier process of
    /// this host matches no request.
    std::uint64_t first_request_id_;
};

} // namespace zinniahub::coordination
