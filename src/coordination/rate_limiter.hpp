#pragma once

#include "coordination/datagram_transport.hpp"
#include "coordination/host_registry.hpp"
#include "coordination/store.hpp"
#include "observability/event_log.hpp"
#include "pooling/session_manager.hpp"

#include <zinniahub/proxy_configuration.hpp>
#include <zinniahub/rate_ledger.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinniahub::coordination
{

/// @brief Admits operations within the customers' rate limits.
///
/// The hosts' shares of the limits are one record in the store, which changes
/// when hosts join or leave. Between such changes, hosts request tokens from
/// one another by datagram, so that tokens follow the load without store
/// access.
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

    awaitable<bool> admit(std::string customer, std::string request) override;
    bool try_admit(std::string_view customer) override;
    void refund(std::string_view customer) override;

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
    };

    struct customer_state
    {
        host_rate_limiter account;
        /// Requests that wait for a reply from another host.
        std::list<waiter*> waiters;
        /// Until then all other hosts are assumed to have no spare tokens.
        time_point exhausted_until = time_point::min();
        time_point requested_at = time_point::min();
        /// Consecutive replies without tokens.
        std::size_t empty_replies = 0;
        customer_counters counts;
    };

    void request_tokens(const std::string& customer, customer_state& state);
    void log_refusal(
        std::string_view request, customer_state& state, duration refill,
        time_point now);
    /// Customer and number of tokens that a message names.
    struct token_message
    {
        customer_state* state = nullptr;
        double count = 0;
    };

    token_message decode_message(std::string_view text);
    void on_token_request(std::string_view from, std::string_view text);
    void on_token_reply(std::string_view text);
    void apply_share();
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
    /// Upper limit of this host's share, lowered before a reduction is written.
    std::uint32_t share_ceiling_ = rate_shares::total_parts;
    std::size_t next_peer_ = 0;
};

} // namespace zinniahub::coordination
