#pragma once

#include "coordination/host_registry.hpp"
#include "coordination/store.hpp"
#include "observability/event_log.hpp"
#include "pooling/front.hpp"

#include <zinniahub/proxy_configuration.hpp>
#include <zinniahub/rate_ledger.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief Admits operations by this host's shares of the customers' limits and
/// keeps the shares in the store, one record per customer.
class rate_shares_keeper : public pooling::admission
{
public:
    rate_shares_keeper(
        boost::asio::io_context& io, store& target, const host_registry& hosts,
        std::string host, rate_allowance allowance, log::event_log& events);

    void start();

    void on_configuration(const proxy_configuration& configuration);
    /// @brief Applies an item below `state_prefix`.
    void on_item(const stored_item& item);
    void on_lease();

    bool admit(std::string_view customer, time_point now) override;

    struct customer_numbers
    {
        std::string customer;
        std::uint32_t share = 0;
        std::uint64_t refused = 0;
    };
    std::vector<customer_numbers> numbers() const;

private:
    struct customer_state
    {
        rate_share_holder holder;
        rate_shares shares;
        std::uint64_t revision = 0;
        bool writing = false;
    };

    awaitable<void> adjust();
    awaitable<void>
    write(std::string customer, rate_shares shares, std::uint64_t revision);

    boost::asio::io_context& io_;
    store& store_;
    const host_registry& hosts_;
    std::string host_;
    rate_allowance allowance_;
    log::event_log& events_;
    std::map<std::string, customer_state, std::less<>> customers_;
    /// Records that came before the configuration named their customer.
    std::map<std::string, stored_item, std::less<>> unclaimed_;
};

} // namespace zinniahub::coordination
