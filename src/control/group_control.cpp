#include "control/group_control.hpp"

#include "observability/log.hpp"

#include <algorithm>

namespace zinniahub::control
{

result<std::shared_ptr<group_control>> group_control::make(
    boost::asio::io_context& io, group_definition definition,
    declared_addresses addresses, promotion_settings settings,
    std::shared_ptr<traffic::group_traffic> traffic)
{
    auto monitor =
        group_monitor::make(std::move(definition), settings, clock::now());
    if (!monitor)
    {
        return tl::make_unexpected(monitor.error());
    }
    std::shared_ptr<group_control> control(new group_control(
        io, std::move(*monitor), settings, std::move(traffic)));
    control->addresses_ = std::move(addresses);
    control->connect_members();
    control->perform(promotion_action::publish{});
    return control;
}

group_control::group_control(
    boost::asio::io_context& io, group_monitor monitor,
    promotion_settings settings,
    std::shared_ptr<traffic::group_traffic> traffic)
    : io_(io)
    , monitor_(std::move(monitor))
    , settings_(settings)
    , traffic_(std::move(traffic))
{
}

void group_control::set_definition(
    group_definition definition, declared_addresses addresses)
{
    addresses_ = std::move(addresses);
    const auto actions =
        monitor_.on_definition(std::move(definition), clock::now());
    connect_members();
    perform(actions);
}

void group_control::set_rank(std::uint32_t rank)
{
    monitor_.set_rank(rank);
}

void group_control::connect_members()
{
    decltype(clients_) kept;
    for (const auto& member : monitor_.definition().members)
    {
        const auto key = std::make_pair(member.name, member.address);
        const auto found = clients_.find(key);
        if (found != clients_.end())
        {
            kept.emplace(key, found->second);
            clients_.erase(found);
        }
        else
        {
            kept.emplace(key, make_client(member));
        }
    }
    for (const auto& [key, client] : clients_)
    {
        client->stop();
    }
    clients_ = std::move(kept);
}

group_control::client_pointer
group_control::make_client(const member_definition& member)
{
    auto client = std::make_shared<upstream::member_client>(
        io_, member.address, monitor_.definition().uid, settings_.call_timeout);
    auto weak = weak_from_this();
    client->watch(
        [weak, name = member.name](const member_status& status)
        {
            if (auto self = weak.lock())
            {
                self->on_status(name, status);
            }
        },
        [weak, name = member.name]
        {
            if (auto self = weak.lock())
            {
                self->on_disconnected(name);
            }
        });
    return client;
}

void group_control::tick()
{
    perform(monitor_.on_tick(clock::now()));
}

void group_control::stop()
{
    for (const auto& [key, client] : clients_)
    {
        client->stop();
    }
    clients_.clear();
    traffic_->stop();
}

std::size_t group_control::member_index(const std::string& member) const
{
    const auto& members = monitor_.definition().members;
    const auto found = std::find_if(
        members.begin(), members.end(),
        [&](const member_definition& candidate)
        { return candidate.name == member; });
    return found == members.end()
               ? no_member
               : static_cast<std::size_t>(found - members.begin());
}

const std::string& group_control::member_name(std::size_t member) const
{
    return monitor_.definition().members[member].name;
}

void group_control::on_status(
    const std::string& member, const member_status& status)
{
    const auto index = member_index(member);
    if (index == no_member)
    {
        return;
    }
    traffic_->on_status(member, status);
    perform(monitor_.on_status(index, status, clock::now()));
}

void group_control::on_disconnected(const std::string& member)
{
    const auto index = member_index(member);
    if (index != no_member)
    {
        perform(monitor_.on_disconnected(index, clock::now()));
    }
}

void group_control::on_reply(
    const std::string& member, std::uint64_t term, reply_handler handler,
    const upstream::call_result& outcome)
{
    const auto index = member_index(member);
    if (index == no_member)
    {
        return;
    }
    const auto now = clock::now();
    if (!outcome.answered)
    {
        perform(monitor_.on_call_failed(index, now));
        return;
    }
    perform((monitor_.*handler)(
        index, term, outcome.accepted, outcome.status, now));
}

void group_control::perform(const promotion_actions& actions)
{
    for (const auto& action : actions)
    {
        std::visit([this](const auto& value) { perform(value); }, action);
    }
}

void group_control::perform(const promotion_action::fence& action)
{
    const auto& member = monitor_.definition().members[action.member];
    log::info(
        "fence", "group={} member={} term={}", monitor_.definition().name,
        member.name, action.term);
    clients_.at({member.name, member.address})
        ->fence(
            action.term, settings_.candidate,
            [self = shared_from_this(), name = member.name,
             term = action.term](const upstream::call_result& outcome) {
                self->on_reply(
                    name, term, &group_monitor::on_fence_reply, outcome);
            });
}

void group_control::perform(const promotion_action::promote& action)
{
    const auto& member = monitor_.definition().members[action.member];
    log::info(
        "promote", "group={} member={} term={}", monitor_.definition().name,
        member.name, action.term);
    clients_.at({member.name, member.address})
        ->promote(
            action.term, settings_.candidate, action.expected_position,
            [self = shared_from_this(), name = member.name,
             term = action.term](const upstream::call_result& outcome) {
                self->on_reply(
                    name, term, &group_monitor::on_promote_reply, outcome);
            });
}

void group_control::perform(const promotion_action::follow& action)
{
    const auto& member = monitor_.definition().members[action.member];
    const auto& primary = monitor_.definition().members[action.primary];
    clients_.at({member.name, member.address})
        ->follow(
            action.term, primary.name, addresses_[primary.name],
            [self = shared_from_this(),
             name = member.name](const upstream::call_result& outcome)
            {
                if (outcome.answered)
                {
                    self->on_status(name, outcome.status);
                }
            });
}

void group_control::perform(const promotion_action::quiesce& action)
{
    const auto& member = monitor_.definition().members[action.member];
    clients_.at({member.name, member.address})
        ->quiesce(
            action.term, action.limit,
            [self = shared_from_this(),
             name = member.name](const upstream::call_result& outcome)
            {
                if (outcome.answered)
                {
                    self->on_status(name, outcome.status);
                }
            });
}

void group_control::perform(const promotion_action::publish&)
{
    const auto& view = monitor_.view();
    if (view.term != logged_term_ || view.primary != logged_primary_)
    {
        logged_term_ = view.term;
        logged_primary_ = view.primary;
        log::info(
            "group_view", "group={} term={} primary={}", view.name, view.term,
            view.primary == no_member ? "none" : member_name(view.primary));
    }
    traffic_->on_view(view);
}

} // namespace zinniahub::control
