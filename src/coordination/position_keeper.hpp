#pragma once

#include "coordination/datagrams.hpp"
#include "coordination/host_registry.hpp"
#include "pooling/service_gateway.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace zinniahub::coordination
{

/// @brief Exchanges positions of the primaries with other hosts, so that reads
/// with bounded staleness go on where the primary is out of reach.
class position_keeper : public pooling::position_exchange
{
public:
    /// Finds the gateway of a service; null if there is none.
    using finder = std::function<pooling::service_gateway*(std::string_view)>;

    position_keeper(
        datagrams& network, const host_registry& hosts, finder gateways);

    void ask_position(const std::string& service) override;

private:
    void on_question(std::string_view from, std::string_view text);
    void on_answer(std::string_view text);

    datagrams& network_;
    const host_registry& hosts_;
    finder gateways_;
    /// When the question with each number was asked.
    std::map<std::uint64_t, time_point> asked_;
    std::uint64_t next_number_ = 0;
    std::size_t next_peer_ = 0;
};

} // namespace zinniahub::coordination
