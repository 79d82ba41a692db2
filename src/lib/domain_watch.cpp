#include <zinniahub/domain_watch.hpp>

#include <algorithm>
#include <utility>

namespace zinniahub
{

namespace
{

/// Domains that are tracked; the platform has three or four.
constexpr std::size_t max_domains = 16;

} // namespace

domain_watch::domain_watch(settings values)
    : settings_(std::move(values))
    // Far from the minimum, which means that nothing was heard.
    , running_(std::chrono::hours(1))
{
}

void domain_watch::set_hosts(const host_counts& hosts)
{
    for (auto& [name, state] : domains_)
    {
        state.hosts = 0;
    }
    for (const auto& [name, count] : hosts)
    {
        if (auto* state = state_of(name))
        {
            state->hosts = count;
        }
    }
    // A domain whose hosts return later is watched from their first heartbeat.
    for (auto& [name, state] : domains_)
    {
        if (state.hosts == 0)
        {
            state = domain_state{};
        }
    }
}

void domain_watch::on_host_heard(std::string_view domain, time_point now)
{
    advance(now);
    if (auto* state = state_of(domain))
    {
        state->is_known = true;
        note_heard(domain, *state, running_);
    }
}

void domain_watch::on_members(
    std::string_view domain, time_point answered_at, time_point now)
{
    advance(now);
    auto* state = state_of(domain);
    if (state == nullptr)
    {
        return;
    }
    state->has_members = true;
    if (answered_at == time_point::min())
    {
        return;
    }
    const auto at = running_ - std::max(now - answered_at, duration::zero());
    if (state->unreachable && at > state->unreachable_since)
    {
        state->member_answered = true;
    }
    note_heard(domain, *state, at);
}

std::vector<domain_watch::action> domain_watch::on_tick(time_point now)
{
    advance(now);
    std::vector<action> actions;
    for (auto& [name, state] : domains_)
    {
        if (!is_own(name) && state.is_watched())
        {
            decide(name, state);
            inquire(name, state, actions);
        }
    }
    cut_off_ = find_cut_off();
    return actions;
}

void domain_watch::advance(time_point now)
{
    const auto passed = last_call_at_
                            ? std::max(now - *last_call_at_, duration::zero())
                            : duration::zero();
    last_call_at_ = now;
    running_ += std::min(passed, settings_.max_step);
    if (passed >= settings_.suspension)
    {
        restart();
    }
}

void domain_watch::restart()
{
    for (auto& [name, state] : domains_)
    {
        state.end_inquiry();
        state.answering_since = never;
        if (state.is_known && !state.unreachable)
        {
            state.heard_at = running_;
        }
    }
}

domain_watch::domain_state* domain_watch::state_of(std::string_view domain)
{
    const auto found = domains_.find(domain);
    if (found != domains_.end())
    {
        return &found->second;
    }
    return domains_.size() < max_domains
               ? &domains_.try_emplace(std::string(domain)).first->second
               : nullptr;
}

void domain_watch::note_heard(
    std::string_view domain, domain_state& state, time_point at)
{
    if (at <= state.heard_at)
    {
        return;
    }
    const auto before = std::exchange(state.heard_at, at);
    const bool was_silent =
        before == time_point::min() || at - before > settings_.silence_limit;
    if (state.unreachable &&
        (state.answering_since == never || before == time_point::min() ||
         at - before > settings_.recovery_gap))
    {
        state.answering_since = at;
    }
    if (at > state.asked_at)
    {
        state.end_inquiry();
    }
    if (!was_silent)
    {
        return;
    }
    // Domains that were asked while this one and all others were silent may
    // have been silent for the same cause, for example a link of this host.
    for (auto& [name, other] : domains_)
    {
        if (name != domain && !other.unreachable && other.asked_at != never &&
            !has_witness({name, domain}, other.asked_at))
        {
            other.end_inquiry();
        }
    }
}

void domain_watch::inquire(
    const std::string& domain, domain_state& state,
    std::vector<action>& actions)
{
    const bool is_due =
        state.asked_at == never
            ? running_ - state.heard_at >= settings_.silence_limit
            : state.tried_at != never &&
                  running_ - state.tried_at >= settings_.silence_limit;
    if (is_due)
    {
        state.asked_at = running_;
        state.tried_at = never;
        actions.push_back({action_kind::ask_hosts, domain});
        return;
    }
    if (state.asked_at == never || state.tried_at != never ||
        running_ - state.asked_at < settings_.host_answer_limit)
    {
        return;
    }
    state.tried_at = running_;
    actions.push_back({action_kind::try_members, domain});
    if (!has_witness({domain}, state.asked_at))
    {
        actions.push_back({action_kind::try_members, settings_.domain});
    }
}

void domain_watch::decide(const std::string& domain, domain_state& state)
{
    if (!state.unreachable)
    {
        if (state.tried_at != never &&
            running_ - state.tried_at >= settings_.member_answer_limit &&
            has_witness({domain}, state.asked_at))
        {
            state.unreachable = true;
            state.unreachable_since = running_;
            state.member_answered = false;
            state.answering_since = never;
        }
        return;
    }
    if (state.answering_since == never)
    {
        return;
    }
    if (running_ - state.heard_at > settings_.recovery_gap)
    {
        state.answering_since = never;
    }
    else if (running_ - state.answering_since >= settings_.recovery_time)
    {
        state.unreachable = false;
        state.unreachable_since = never;
    }
}

bool domain_watch::has_witness(
    std::initializer_list<std::string_view> except, time_point since) const
{
    return std::any_of(
        domains_.begin(), domains_.end(),
        [&](const auto& entry)
        {
            return entry.second.heard_at > since &&
                   std::find(except.begin(), except.end(), entry.first) ==
                       except.end();
        });
}

bool domain_watch::find_cut_off() const
{
    const auto limit = settings_.silence_limit + settings_.host_answer_limit +
                       settings_.member_answer_limit;
    std::size_t inside = 1;
    std::size_t outside = 0;
    bool has_members = false;
    for (const auto& [name, state] : domains_)
    {
        if (is_own(name))
        {
            inside = std::max(state.hosts, inside);
            continue;
        }
        const bool reached = state.is_watched()
                                 ? !state.unreachable
                                 : state.heard_at != time_point::min() &&
                                       running_ - state.heard_at < limit;
        if (reached)
        {
            return false;
        }
        outside += state.hosts;
        has_members = has_members || state.has_members;
    }
    return has_members && outside > inside;
}

time_point domain_watch::next_deadline(const domain_state& state) const
{
    auto deadline = never;
    if (state.asked_at == never)
    {
        deadline = state.heard_at + settings_.silence_limit;
    }
    else if (state.tried_at == never)
    {
        deadline = state.asked_at + settings_.host_answer_limit;
    }
    else
    {
        const auto decided_at = state.tried_at + settings_.member_answer_limit;
        deadline = state.unreachable || running_ >= decided_at
                       ? state.tried_at + settings_.silence_limit
                       : decided_at;
    }
    if (state.answering_since != never)
    {
        deadline =
            std::min(deadline, state.answering_since + settings_.recovery_time);
    }
    return deadline;
}

time_point domain_watch::next_check(time_point now) const
{
    auto next = never;
    for (const auto& [name, state] : domains_)
    {
        if (!is_own(name) && state.is_watched())
        {
            const auto wait = next_deadline(state) - running_;
            next = std::min(next, now + std::max(wait, duration::zero()));
        }
    }
    return next;
}

std::vector<std::string> domain_watch::unreachable_domains() const
{
    std::vector<std::string> names;
    for (const auto& [name, state] : domains_)
    {
        if (state.unreachable)
        {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> domain_watch::domains_to_avoid() const
{
    std::vector<std::string> names;
    for (const auto& [name, state] : domains_)
    {
        if (state.unreachable && !state.member_answered)
        {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace zinniahub
