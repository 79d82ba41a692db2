#pragma once

#include "control/ownership.hpp"
#include "control/peer_client.hpp"
#include "traffic/customer_admission.hpp"

#include <zinniahub/configuration.hpp>
#include <zinniahub/rate_share.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace zinniahub::control
{

/// @brief Shares the rates of customers between hosts: grants tokens of the
/// pools that this host owns and fetches tokens for its own requests.
///
/// Used on the control thread.
class rate_control
{
public:
    struct settings
    {
        std::uint32_t seats = 8;
        std::uint32_t shards = 16;
        std::chrono::milliseconds call_timeout{500};
        std::string host;
        std::uint64_t incarnation = 0;
    };

    using admissions = std::map<
        std::string, std::shared_ptr<traffic::customer_admission>, std::less<>>;

    rate_control(
        const rate_strategy& strategy, ownership& owners, peer_client& peers,
        settings values);

    /// @brief Replaces the declared limits and the customers' admissions.
    void set_customers(const desired_state& desired, admissions customers);

    /// @brief Fetches tokens and updates floors and pools. Must be called about
    /// every 50 ms.
    void tick(time_point now);

    /// @brief Grants tokens for the demands of another host or of this one.
    v1::TokensReply on_demand(const v1::TokensRequest& request, time_point now);

private:
    struct pool
    {
        rate_limit limit;
        std::unique_ptr<token_pool> owner;
    };

    using collection_times = std::map<std::string, time_point>;

    /// Demands to send to one owner.
    struct demand_batch;

    std::uint32_t shard_of(std::string_view customer) const;
    void update_floors();
    void remove_unowned_pools(time_point now);
    token_pool*
    find_or_create_pool(const std::string& customer, time_point now);
    void collect();
    static void add_demand(
        demand_batch& batch, const std::string& customer,
        const token_demand& demand, time_point collected_at);
    void
    grant(const std::string& customer, double tokens, time_point collected_at);
    void send(const std::string& owner, demand_batch batch);
    void on_tokens_reply(
        const v1::TokensReply& reply, const collection_times& collected_at);

    const rate_strategy& strategy_;
    ownership& owners_;
    peer_client& peers_;
    settings settings_;
    std::map<std::string, rate_limit> limits_;
    admissions customers_;
    std::map<std::string, pool> pools_;
    /// Floor that was last passed to each customer's admission.
    std::map<std::string, token_holder::floor> published_floors_;
    std::uint64_t last_sequence_ = 0;
};

} // namespace zinniahub::control
