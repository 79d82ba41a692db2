#pragma once

#include "traffic/group_traffic.hpp"
#include "upstream/member_client.hpp"

#include <zinniahub/configuration.hpp>
#include <zinniahub/promotion.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinniahub::control
{

/// @brief Runs the monitor of one database group: passes it member status and
/// replies, makes the calls that it requests and publishes its view.
///
/// Used on the control thread.
class group_control : public std::enable_shared_from_this<group_control>
{
public:
    /// Declared address of each member, which other members use to replicate
    /// from it. This host may use a different address to reach the member.
    using declared_addresses = std::map<std::string, std::string>;

    static result<std::shared_ptr<group_control>> make(
        boost::asio::io_context& io, group_definition definition,
        declared_addresses addresses, promotion_settings settings,
        std::shared_ptr<traffic::group_traffic> traffic);

    /// @brief Replaces the members and the set of those in service.
    void
    set_definition(group_definition definition, declared_addresses addresses);
    void set_rank(std::uint32_t rank);
    void tick();
    void stop();

    const group_view& view() const
    {
        return monitor_.view();
    }

    const std::shared_ptr<traffic::group_traffic>& traffic() const
    {
        return traffic_;
    }

private:
    group_control(
        boost::asio::io_context& io, group_monitor monitor,
        promotion_settings settings,
        std::shared_ptr<traffic::group_traffic> traffic);

    using client_pointer = std::shared_ptr<upstream::member_client>;
    using reply_handler = promotion_actions (group_monitor::*)(
        std::size_t, std::uint64_t, bool, const member_status&, time_point);

    void connect_members();
    client_pointer make_client(const member_definition& member);
    void on_status(const std::string& member, const member_status& status);
    void on_disconnected(const std::string& member);
    void on_reply(
        const std::string& member, std::uint64_t term, reply_handler handler,
        const upstream::call_result& outcome);
    void perform(const promotion_actions& actions);
    void perform(const promotion_action::fence& action);
    void perform(const promotion_action::promote& action);
    void perform(const promotion_action::follow& action);
    void perform(const promotion_action::quiesce& action);
    void perform(const promotion_action::publish& action);
    std::size_t member_index(const std::string& member) const;
    const std::string& member_name(std::size_t member) const;

    boost::asio::io_context& io_;
    group_monitor monitor_;
    promotion_settings settings_;
    declared_addresses addresses_;
    std::shared_ptr<traffic::group_traffic> traffic_;
    /// By name and address, because a new address needs a new connection.
    std::map<std::pair<std::string, std::string>, client_pointer> clients_;
    std::uint64_t logged_term_ = 0;
    std::size_t logged_primary_ = no_member;
};

} // namespace zinniahub::control
