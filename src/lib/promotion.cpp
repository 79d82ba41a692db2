#include <zinniahub/promotion.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <utility>

namespace zinniahub
{

namespace
{

/// Three status intervals of 200 ms. An older status does not show whether the
/// member is still connected to the primary.
constexpr duration max_status_age = std::chrono::milliseconds(600);

/// Time over which the load of a returning member increases to its normal
/// share.
constexpr duration ramp_time = std::chrono::seconds(5);

/// Number of steps of the load increase. Each step publishes a new view.
constexpr int ramp_steps = 20;

bool is_valid(const group_definition& definition)
{
    std::set<std::string_view> names;
    for (const auto& member : definition.members)
    {
        if (!names.insert(member.name).second)
        {
            return false;
        }
    }
    return !names.empty();
}

bool is_equal_for_routing(const member_view& left, const member_view& right)
{
    return left.name == right.name && left.address == right.address &&
           left.failure_domain == right.failure_domain &&
           left.in_service == right.in_service &&
           left.reachable == right.reachable &&
           left.ramp_up_factor == right.ramp_up_factor;
}

bool is_equal_for_routing(const group_view& left, const group_view& right)
{
    return left.uid == right.uid && left.name == right.name &&
           left.term == right.term && left.primary == right.primary &&
           std::equal(
               left.members.begin(), left.members.end(), right.members.begin(),
               right.members.end(),
               [](const member_view& one, const member_view& other)
               { return is_equal_for_routing(one, other); });
}

double ramp_at(std::optional<time_point> start, time_point now)
{
    if (!start || now - *start >= ramp_time)
    {
        return 1.0;
    }
    return std::round(
               ramp_steps * to_seconds(now - *start) / to_seconds(ramp_time)) /
           ramp_steps;
}

} // namespace

result<group_monitor> group_monitor::make(
    group_definition definition, promotion_settings settings, time_point now)
{
    if (!is_valid(definition))
    {
        return fail(
            errc::resource_invalid,
            "a group needs members, and their names must differ");
    }
    return group_monitor(std::move(definition), settings, now);
}

group_monitor::group_monitor(
    group_definition definition, promotion_settings settings, time_point now)
    : settings_(settings)
    , primary_last_seen_(now)
    , earliest_attempt_(now)
    , random_state_(settings.seed)
{
    set_definition(std::move(definition));
}

void group_monitor::set_definition(group_definition definition)
{
    std::vector<member_state> states(definition.members.size());
    std::vector<member_view> views(definition.members.size());
    std::size_t known_primary = no_member;
    for (std::size_t index = 0; index < views.size(); ++index)
    {
        const auto& member = definition.members[index];
        const auto old = index_of(member.name);
        if (old != no_member)
        {
            states[index] = std::move(states_[old]);
            views[index] = view_.members[old];
            known_primary = old == known_primary_ ? index : known_primary;
        }
        views[index].name = member.name;
        views[index].address = member.address;
        views[index].failure_domain = member.failure_domain;
        views[index].in_service = member.in_service;
    }
    states_ = std::move(states);
    view_.members = std::move(views);
    view_.name = definition.name;
    view_.uid = definition.uid;
    known_primary_ = known_primary;
    definition_ = std::move(definition);
}

void group_monitor::reset(time_point now)
{
    view_.term = 0;
    highest_term_ = 0;
    known_primary_ = no_member;
    primary_last_seen_ = now;
    majority_lost_primary_since_.reset();
    primary_failed_since_.reset();
    planned_change_.reset();
    attempt_.reset();
    for (auto& state : states_)
    {
        state = member_state{};
    }
}

promotion_actions
group_monitor::on_definition(group_definition definition, time_point now)
{
    if (!is_valid(definition))
    {
        return {};
    }
    if (definition.uid != definition_.uid)
    {
        reset(now);
    }
    const bool same_members = std::equal(
        definition.members.begin(), definition.members.end(),
        definition_.members.begin(), definition_.members.end(),
        [](const member_definition& one, const member_definition& other)
        { return one.name == other.name; });
    if (!same_members)
    {
        // Member indices and the majority size change.
        attempt_.reset();
        planned_change_.reset();
    }
    const auto before = definition_;
    set_definition(std::move(definition));
    for (const auto& old : before.members)
    {
        const auto index = index_of(old.name);
        if (index != no_member && !old.in_service &&
            definition_.members[index].in_service)
        {
            states_[index].ramp_start = now;
        }
    }
    return refresh({}, now);
}

promotion_actions group_monitor::on_status(
    std::size_t member, const member_status& status, time_point now)
{
    if (!belongs_to_group(member, status))
    {
        return {};
    }
    auto& state = states_[member];
    // The term of a member only increases, so a status with a lower term is
    // older than a call reply that was already processed. After a disconnect,
    // an empty member may have replaced the member.
    if (state.connected && state.status && status.term < state.status->term)
    {
        return {};
    }
    state.status = status;
    state.connected = true;
    state.received_at = now;
    observe_term(status.term, now);
    return refresh({}, now);
}

promotion_actions
group_monitor::on_disconnected(std::size_t member, time_point now)
{
    if (member >= states_.size())
    {
        return {};
    }
    states_[member].connected = false;
    return refresh({}, now);
}

promotion_actions group_monitor::on_tick(time_point now)
{
    return refresh({}, now);
}

bool group_monitor::belongs_to_group(
    std::size_t member, const member_status& status) const
{
    return member < states_.size() && status.group_uid == definition_.uid;
}

std::size_t group_monitor::index_of(std::string_view name) const
{
    const auto& members = definition_.members;
    const auto found = std::find_if(
        members.begin(), members.end(),
        [name](const member_definition& member)
        { return member.name == name; });
    return found == members.end()
               ? no_member
               : static_cast<std::size_t>(found - members.begin());
}

std::size_t group_monitor::reported_primary(
    std::size_t member, const member_status& status) const
{
    if (status.role == member_role::primary)
    {
        return member;
    }
    const auto named = index_of(status.primary);
    // A replica that reports itself as the primary lost the role in a restart.
    return named == member ? no_member : named;
}

bool group_monitor::is_reachable(std::size_t member, time_point now) const
{
    const auto& state = states_[member];
    return state.connected && state.status &&
           now - state.received_at < settings_.suspicion_timeout;
}

bool group_monitor::has_recent_status(std::size_t member, time_point now) const
{
    return is_reachable(member, now) &&
           now - states_[member].received_at <= max_status_age;
}

std::size_t group_monitor::majority() const
{
    return states_.size() / 2 + 1;
}

void group_monitor::observe_term(std::uint64_t term, time_point now)
{
    if (term <= highest_term_)
    {
        return;
    }
    highest_term_ = term;
    if (attempt_)
    {
        abandon_attempt(now);
        return;
    }
    // Gives the candidate of the new term time to complete its attempt.
    earliest_attempt_ = std::max(
        earliest_attempt_, now + settings_.call_timeout + rank_delay());
}

void group_monitor::update_status_from_reply(
    std::size_t member, const member_status& status)
{
    auto& known = states_[member].status;
    // A reply can be older than the last status received on the stream.
    const bool is_newer =
        !known || status.term > known->term ||
        (status.term == known->term && status.role == member_role::primary);
    if (is_newer)
    {
        known = status;
    }
}

promotion_actions
group_monitor::refresh(promotion_actions actions, time_point now)
{
    for (std::size_t index = 0; index < states_.size(); ++index)
    {
        update_member_view(index, now);
    }
    update_term();
    update_primary();
    decide(actions, now);
    send_follows(actions, now);
    if (!is_equal_for_routing(view_, published_))
    {
        published_ = view_;
        actions.emplace_back(promotion_action::publish{});
    }
    return actions;
}

void group_monitor::update_member_view(std::size_t member, time_point now)
{
    auto& state = states_[member];
    auto& view = view_.members[member];
    const bool reachable = is_reachable(member, now);
    if (reachable && !view.reachable && state.ever_reachable)
    {
        state.ramp_start = now;
    }
    state.ever_reachable = state.ever_reachable || reachable;
    view.reachable = reachable;
    view.ramp_up_factor = ramp_at(state.ramp_start, now);
    static const member_status unknown;
    const auto& status = state.status ? *state.status : unknown;
    view.role = status.role;
    view.term = status.term;
    view.position = status.position;
}

void group_monitor::update_term()
{
    const auto old_term = view_.term;
    for (std::size_t index = 0; index < states_.size(); ++index)
    {
        const auto& status = states_[index].status;
        const auto named =
            status ? reported_primary(index, *status) : std::size_t{no_member};
        if (named == no_member || status->term < view_.term)
        {
            continue;
        }
        if (status->term > view_.term || known_primary_ == no_member)
        {
            view_.term = status->term;
            known_primary_ = named;
        }
    }
    if (view_.term != old_term)
    {
        majority_lost_primary_since_.reset();
        primary_failed_since_.reset();
        planned_change_.reset();
    }
}

void group_monitor::update_primary()
{
    view_.primary = no_member;
    if (is_primary_deposed())
    {
        return;
    }
    for (std::size_t index = 0; index < states_.size(); ++index)
    {
        const auto& status = states_[index].status;
        if (status && status->role == member_role::primary &&
            status->term == view_.term)
        {
            view_.primary = index;
            primary_last_seen_ =
                std::max(primary_last_seen_, states_[index].received_at);
            return;
        }
    }
}

bool group_monitor::is_primary_deposed() const
{
    const auto in_later_term = std::count_if(
        states_.begin(), states_.end(),
        [this](const member_state& state)
        { return state.status && state.status->term > view_.term; });
    return static_cast<std::size_t>(in_later_term) >= majority();
}

} // namespace zinniahub
