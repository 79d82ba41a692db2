#include <zinniahub/failover_planner.hpp>

#include <algorithm>

// Knowledge of the failover planner about the members of a service.

namespace zinniahub
{

namespace
{

/// Time after which a member that is not registered and answers nothing has
/// exited. It may receive commits until it exits, which may be many seconds
/// after it announced its shutdown.
constexpr duration shutdown_limit = std::chrono::seconds(60);

} // namespace

failover_summary failover_planner::summary(time_point now) const
{
    failover_summary result;
    result.known = members_.size();
    result.hosts = survey_.hosts();
    result.promised = survey_.promised(now);
    result.acknowledged = survey_.acknowledged();
    const auto* candidate =
        candidate_.empty() ? choose_candidate(now) : find_candidate(now);
    if (candidate != nullptr)
    {
        result.candidate = candidate->definition.instance;
        result.candidate_position = candidate->status->received;
    }
    for (const auto& [instance, member] : members_)
    {
        if (!is_fresh(member, now))
        {
            continue;
        }
        ++result.answered;
        result.oldest_status =
            std::max(result.oldest_status, now - member.queried_at);
        if (is_paused(member))
        {
            ++result.paused;
            result.farthest_paused =
                std::max(result.farthest_paused, member.status->received);
        }
    }
    return result;
}

std::vector<failover_member_report>
failover_planner::member_reports(time_point now) const
{
    std::vector<failover_member_report> reports;
    reports.reserve(members_.size());
    for (const auto& [instance, member] : members_)
    {
        reports.push_back(
            {.instance = instance,
             .status = member.status,
             .status_age = member.status ? now - member.queried_at : duration{},
             .registered = member.definition.registered,
             .leaving = member.definition.leaving,
             .has_exited = has_shut_down(member)});
    }
    return reports;
}

void failover_planner::reset(std::uint64_t duty)
{
    survey_.reset(duty);
    members_.clear();
    phase_ = phase::steady;
    primary_.clear();
    primary_term_ = 0;
    primary_from_record_ = false;
    group_complete_ = false;
    without_primary_since_.reset();
    stalled_since_.reset();
    candidate_.clear();
    order_unknown_ = false;
    promotion_pending_ = false;
    clear_order();
    repeatable_orders_.clear();
    unsettled_orders_.clear();
    primary_positions_.clear();
    all_paused_since_.reset();
    relayed_instance_.clear();
}

void failover_planner::on_record(
    std::string_view primary, std::uint64_t term, bool complete)
{
    group_complete_ = complete;
    primary_ = primary;
    primary_term_ = term;
    primary_from_record_ = true;
}
void failover_planner::on_members(
    const std::vector<replication_member>& members, std::uint32_t sync_replicas)
{
    sync_replicas_ = sync_replicas;
    std::erase_if(
        members_,
        [&members](const auto& entry)
        {
            return std::none_of(
                members.begin(), members.end(),
                [&entry](const auto& member)
                { return member.instance == entry.first; });
        });
    for (const auto& member : members)
    {
        if (!members_.contains(member.instance))
        {
            without_primary_since_.reset();
        }
        members_[member.instance].definition = member;
    }
}

void failover_planner::on_status(
    std::string_view instance, const replication_status& status,
    time_point sent_at, time_point now)
{
    const auto found = members_.find(instance);
    if (found == members_.end() || sent_at < found->second.queried_at)
    {
        return;
    }
    auto& member = found->second;
    member.earlier_received =
        member.status ? member.status->received : status.received;
    member.status = status;
    member.queried_at = sent_at;
    member.status_at = now;
    member.unresponsive_since.reset();
    member.refused_since.reset();
    if (instance == primary_)
    {
        // A recorded primary with entries of its term led it, and has kept its
        // log. With entries of a later term it has followed another primary.
        const auto last_term = status.received.term;
        if (last_term > primary_term_ ||
            (primary_from_record_ && last_term < primary_term_))
        {
            primary_.clear();
        }
        primary_from_record_ = false;
    }
    if (status.primary && status.term >= primary_term_)
    {
        if (primary_ != found->first || primary_term_ != status.term)
        {
            primary_positions_.clear();
        }
        add_primary_position(sent_at, status.received);
        primary_ = found->first;
        primary_term_ = status.term;
        primary_from_record_ = false;
    }
}

void failover_planner::on_no_status(
    std::string_view instance, bool refused, time_point now)
{
    const auto found = members_.find(instance);
    if (found == members_.end())
    {
        return;
    }
    auto& member = found->second;
    if (!member.unresponsive_since)
    {
        member.unresponsive_since = now;
    }
    if (refused)
    {
        member.refused_since = member.refused_since.value_or(now);
        member.last_refused_at = now;
    }
}

void failover_planner::on_relayed_status(
    std::string_view instance, const replication_status& status,
    time_point asked_at)
{
    if (instance == primary_ &&
        (instance != relayed_instance_ || asked_at >= relayed_at_))
    {
        relayed_instance_ = instance;
        relayed_status_ = status;
        relayed_at_ = asked_at;
    }
}

bool failover_planner::is_fresh(
    const member_state& member, time_point now) const
{
    return member.status && !member.unresponsive_since &&
           now - member.queried_at <= settings_.status_validity;
}

bool failover_planner::has_shut_down(const member_state& member)
{
    return member.definition.replaced ||
           (member.definition.shutdown_announced &&
            member.refused_since.has_value());
}

// A member that is cut off does not refuse connections.
bool failover_planner::stays_down(
    const member_state& member, time_point now) const
{
    return !member.definition.registered && member.refused_since &&
           now - *member.refused_since >= settings_.missing_commits_limit;
}

void failover_planner::update_ended_members(time_point now)
{
    const auto* primary = current_primary(now);
    for (auto& [instance, member] : members_)
    {
        const bool unregistered = member.definition.shutdown_announced ||
                                  !member.definition.registered;
        const bool silent = unregistered && member.unresponsive_since &&
                            now - *member.unresponsive_since >= shutdown_limit;
        const bool has_exited = has_shut_down(member) || silent;
        member.may_return = !has_exited;
        if (!has_exited && !stays_down(member, now))
        {
            member.ended_at.reset();
            member.needed_position.reset();
            member.needed_position_is_final = false;
            continue;
        }
        if (!member.ended_at)
        {
            member.ended_at = now;
            member.ended_in_term = newest_term();
            member.needed_position = last_position_before_end(member);
        }
        if (!member.needed_position_is_final && primary != nullptr &&
            primary->queried_at > *member.ended_at)
        {
            member.needed_position = primary->status->received;
            member.needed_position_is_final = true;
        }
    }
}

// A replica that lacks these positions did not receive what the ended member
// received shortly before its end.
log_position
failover_planner::last_position_before_end(const member_state& ended) const
{
    const auto primary = members_.find(primary_);
    log_position last;
    if (ended.status)
    {
        last = ended.status->received;
    }
    if (primary != members_.end() && primary->second.status)
    {
        last = std::max(last, primary->second.status->received);
    }
    return last;
}

bool failover_planner::ended_in_earlier_term(const member_state& member) const
{
    return member.ended_at && !primary_from_record_ &&
           primary_term_ > member.ended_in_term;
}

bool failover_planner::covers_ended_members(const member_state& candidate) const
{
    return std::all_of(
        members_.begin(), members_.end(),
        [this, &candidate](const auto& entry)
        {
            const auto& member = entry.second;
            return entry.first == primary_ || !member.ended_at ||
                   ended_in_earlier_term(member) ||
                   candidate.status->received >= *member.needed_position;
        });
}

std::vector<std::string> failover_planner::retired_members() const
{
    log_position farthest;
    for (const auto& [instance, member] : members_)
    {
        if (instance != primary_ && member.status && !has_shut_down(member))
        {
            farthest = std::max(farthest, member.status->received);
        }
    }
    std::vector<std::string> retired;
    for (const auto& [instance, member] : members_)
    {
        const bool covered = member.needed_position_is_final &&
                             farthest >= *member.needed_position;
        if (instance != primary_ && !member.may_return &&
            (ended_in_earlier_term(member) || covered))
        {
            retired.push_back(instance);
        }
    }
    return retired;
}

// A pause that arrived after the promotion is not released by it.
bool failover_planner::is_paused(const member_state& member) const
{
    return member.status && member.status->paused_term >
                                std::min(primary_term_, member.status->term);
}

bool failover_planner::is_urgent() const
{
    const auto primary = members_.find(primary_);
    return phase_ != phase::steady ||
           (primary != members_.end() && primary->second.unresponsive_since);
}

std::uint64_t failover_planner::newest_term() const
{
    std::uint64_t newest = primary_term_;
    for (const auto& [instance, member] : members_)
    {
        if (member.status)
        {
            newest = std::max(newest, member.status->term);
        }
    }
    return newest;
}

std::uint64_t failover_planner::newest_paused_term() const
{
    std::uint64_t newest = 0;
    for (const auto& [instance, member] : members_)
    {
        if (member.status)
        {
            newest = std::max(newest, member.status->paused_term);
        }
    }
    return newest;
}

bool failover_planner::all_have_answered() const
{
    return std::all_of(
        members_.begin(), members_.end(),
        [](const auto& entry)
        {
            const auto& member = entry.second;
            return member.status || member.unresponsive_since ||
                   has_shut_down(member);
        });
}

bool failover_planner::replicas_are_paused(time_point now) const
{
    return std::any_of(
        members_.begin(), members_.end(),
        [this, now](const auto& entry)
        {
            const auto& member = entry.second;
            return entry.first != primary_ && is_fresh(member, now) &&
                   is_paused(member);
        });
}

const failover_planner::member_state*
failover_planner::current_primary(time_point now) const
{
    const auto found = members_.find(primary_);
    if (found == members_.end() || !is_fresh(found->second, now) ||
        !found->second.status->primary ||
        found->second.status->term < primary_term_)
    {
        return nullptr;
    }
    return &found->second;
}

} // namespace zinniahub
