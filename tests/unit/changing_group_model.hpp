#pragma once

#include <zinniahub/acknowledgement_hold.hpp>
#include <zinniahub/failover_planner.hpp>
#include <zinniahub/replication_group.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Simulates a service whose members join, leave, crash and return while the
/// promotion duty moves and orders are carried out late.
namespace changing_group_model
{

using namespace zinniahub;
using namespace std::chrono_literals;

/// Simulated time between two steps.
inline constexpr duration step_length = 10ms;

/// Which disturbances a run draws.
struct disturbances
{
    bool joins = true;
    bool late_orders = true;
    /// Hosts crash, or the holder does not reach them.
    bool host_failures = true;
    /// Hosts stop as planned and are replaced.
    bool host_replacements = true;
    /// Members are lost for good, without an announcement.
    bool member_losses = true;
};

struct member
{
    bool running = true;
    bool primary = false;
    /// Reported to the holder as leaving; it exits at `exits_at`.
    bool draining = false;
    /// The process has ended for good, and its log is gone.
    bool exited = false;
    /// The holder of the duty reaches the member.
    bool reaches_holder = true;
    /// Receives from the primary and is received from.
    bool reaches_members = true;
    std::uint64_t term = 1;
    std::uint64_t paused_term = 0;
    /// Term of each entry.
    std::vector<std::uint64_t> log;
    /// Delay of replication to this member.
    duration delay{};
    /// When the holder learns of a new member.
    time_point known_at{};
    time_point exits_at = never;
    /// When the holder learns that the process has ended for good.
    time_point unregistered_at = never;
    time_point restarts_at = never;
    time_point reached_again_at = never;
    time_point joined_again_at = never;

    log_position received() const
    {
        return log.empty() ? log_position{}
                           : log_position{log.back(), log.size()};
    }

    bool contains(log_position entry) const
    {
        return entry.index <= log.size() && log[entry.index - 1] == entry.term;
    }

    bool is_paused() const
    {
        return paused_term > term;
    }
};

/// A host through which clients write.
struct host
{
    bool running = true;
    /// When the holder learns that the host has stopped as planned.
    time_point unregistered_at = never;
    /// The holder of the duty reaches the host.
    bool reaches_holder = true;
    time_point started_at{};
    time_point restarts_at = never;
    time_point reached_again_at = never;
    acknowledgement_hold hold;
};

/// An acknowledgement that a host has got and not passed on.
struct held_acknowledgement
{
    std::string host;
    std::string primary;
    log_position position;
    time_point deadline{};
};

/// A commit that no replica has received yet.
struct commit
{
    std::string host;
    std::string primary;
    log_position position;
    time_point sent_at{};
};

struct order
{
    std::string instance;
    std::uint64_t token = 0;
    time_point due{};
    /// The platform has accepted it; it takes effect at `due`.
    bool accepted = false;
};

struct results
{
    /// Commits that clients saw acknowledged, at once and after a hold.
    std::size_t acknowledged = 0;
    std::size_t acknowledged_late = 0;
    /// Commits acknowledged by a member of which the client saw no success.
    std::size_t in_doubt = 0;
    std::size_t promotions = 0;
    duration without_primary{};
    /// What was lost, for the message of a failed test.
    std::string lost;
};

class group
{
public:
    group(std::uint64_t seed, disturbances values)
        : random_(seed)
        , replacements_random_(~seed)
        , values_(values)
        , planner_(failover_planner::settings{})
    {
        for (const auto* const name : {"m1", "m2", "m3"})
        {
            add_member(name).known_at = now_;
        }
        members_["m1"].primary = true;
        members_["m1"].log.assign(1, 1);
        members_["m2"].log = members_["m1"].log;
        members_["m3"].log = members_["m1"].log;
        for (const auto* const name : {"h1", "h2", "h3"})
        {
            hosts_[name].started_at = now_ - 1h;
        }
        start_holder();
    }

    // Scheduled events hold references to this object.
    group(const group&) = delete;
    group& operator=(const group&) = delete;

    void run(duration length)
    {
        for (const auto end = now_ + length; now_ < end;)
        {
            step();
        }
    }

    /// Ends all disturbances and waits until no order is on its way. Members
    /// and hosts that are not lost for good run and can be reached.
    void end_all_disturbances()
    {
        disturbed_ = false;
        for (auto& [name, state] : members_)
        {
            state.restarts_at = state.running || state.exited ? never : now_;
            state.reached_again_at = now_;
            state.joined_again_at = now_;
        }
        for (auto& [name, state] : hosts_)
        {
            state.restarts_at = state.running ? never : now_;
            state.reached_again_at = now_;
        }
        orders_unanswered_until_ = now_;
        holder_starts_at_ = std::min(holder_starts_at_, now_);
        run(failover_planner::settings{}.arrival_limit);
    }

    /// Runs for some time.
    /// @return false if no member led, or if clients saw no commit although a
    /// replica runs
    bool run_and_is_served(duration length)
    {
        const auto before = results_;
        run(length);
        const auto replicas = std::count_if(
            members_.begin(), members_.end(),
            [](const auto& entry)
            { return entry.second.running && !entry.second.primary; });
        return results_.without_primary - before.without_primary < length &&
               (replicas == 0 || results_.acknowledged > before.acknowledged);
    }

    const results& outcome() const
    {
        return results_;
    }

private:
    static constexpr std::size_t max_changes = 6;
    /// Time for which a host holds an acknowledgement.
    static constexpr duration hold_limit = 1s;

    static bool chance(std::mt19937_64& random, double per_second)
    {
        return std::uniform_real_distribution<double>()(random) <
               per_second * to_seconds(step_length);
    }
    bool chance(double per_second)
    {
        return chance(random_, per_second);
    }

    static duration
    between(std::mt19937_64& random, duration least, duration most)
    {
        return duration(std::uniform_int_distribution<duration::rep>(
            least.count(), most.count())(random));
    }
    duration between(duration least, duration most)
    {
        return between(random_, least, most);
    }

    member& add_member(const std::string& name)
    {
        auto& added = members_[name];
        added.delay = between(1ms, 30ms);
        added.known_at = now_ + between(0ms, 300ms);
        return added;
    }

    /// Primary of the newest term; null if it is not running.
    member* primary()
    {
        member* newest = nullptr;
        for (auto& [name, state] : members_)
        {
            if (state.primary && state.running &&
                (newest == nullptr || state.term > newest->term))
            {
                newest = &state;
            }
        }
        return newest;
    }

    std::string name_of(const member& wanted) const
    {
        for (const auto& [name, state] : members_)
        {
            if (&state == &wanted)
            {
                return name;
            }
        }
        return {};
    }

    void step()
    {
        now_ += step_length;
        run_events();
        if (disturbed_)
        {
            draw_disturbances();
        }
        end_disturbances();
        write();
        replicate();
        acknowledge();
        pass_on_held();
        carry_out_orders();
        run_holder();
        if (primary() == nullptr)
        {
            results_.without_primary += step_length;
        }
    }

    void run_events()
    {
        while (!events_.empty() && events_.begin()->first <= now_)
        {
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
    }

    member* any_member()
    {
        std::vector<member*> candidates;
        for (auto& [name, state] : members_)
        {
            if (!state.exited)
            {
                candidates.push_back(&state);
            }
        }
        return candidates[random_() % candidates.size()];
    }

    void draw_disturbances()
    {
        if (values_.joins && changes_ < max_changes && chance(0.25))
        {
            replace_member();
        }
        auto* const target = any_member();
        if (chance(0.25) && target->running)
        {
            crash(*target);
        }
        if (auto* const leader = primary(); leader != nullptr && chance(0.15))
        {
            crash(*leader);
        }
        if (chance(0.2))
        {
            target->reaches_holder = false;
            target->reached_again_at = now_ + between(500ms, 5s);
        }
        if (chance(0.2))
        {
            target->reaches_members = false;
            target->joined_again_at = now_ + between(500ms, 5s);
        }
        if (values_.late_orders && chance(0.1))
        {
            orders_unanswered_until_ = now_ + between(1s, 5s);
        }
        if (values_.host_failures)
        {
            draw_host_failures();
        }
        if (values_.host_replacements && chance(replacements_random_, 0.15))
        {
            replace_host();
        }
        if (values_.member_losses && chance(replacements_random_, 0.05))
        {
            lose_member();
        }
        if (chance(0.08))
        {
            planner_.reset();
            holder_starts_at_ = now_ + between(100ms, 3s);
        }
    }

    void draw_host_failures()
    {
        auto& target =
            std::next(
                hosts_.begin(),
                static_cast<std::ptrdiff_t>(random_() % hosts_.size()))
                ->second;
        if (chance(0.15) && target.running)
        {
            target.running = false;
            target.restarts_at = now_ + between(300ms, 3s);
        }
        if (chance(0.15))
        {
            target.reaches_holder = false;
            target.reached_again_at = now_ + between(500ms, 5s);
        }
    }

    /// A host stops as planned, after another one has started.
    void replace_host()
    {
        std::vector<host*> running;
        for (auto& [name, state] : hosts_)
        {
            if (state.running)
            {
                running.push_back(&state);
            }
        }
        if (running.empty())
        {
            return;
        }
        auto& leaving = *running[replacements_random_() % running.size()];
        auto& joined = hosts_["h" + std::to_string(hosts_.size() + 1)];
        joined.started_at = now_;
        joined.hold.on_record(published_order_, published_term_, now_);
        leaving.running = false;
        leaving.unregistered_at =
            now_ + between(replacements_random_, 0ms, 300ms);
    }

    /// A member is lost for good. Its registration ends some time later.
    void lose_member()
    {
        const auto lost = std::next(
            members_.begin(), static_cast<std::ptrdiff_t>(
                                  replacements_random_() % members_.size()));
        auto& state = lost->second;
        const auto left = std::count_if(
            members_.begin(), members_.end(),
            [](const auto& entry) { return !entry.second.exited; });
        if (!state.exited && left > 2 && others_hold_acknowledged(lost->first))
        {
            state.exited = true;
            state.running = false;
            state.restarts_at = never;
            state.unregistered_at =
                now_ + between(replacements_random_, 1s, 4s);
        }
    }

    /// A new member starts; another one drains soon after.
    void replace_member()
    {
        ++changes_;
        const auto* const source = primary();
        if (source == nullptr)
        {
            return;
        }
        auto& joined = add_member("m" + std::to_string(members_.size() + 1));
        joined.log = source->log;
        joined.term = source->term;
        auto* const leaving = any_member();
        if (!leaving->draining && leaving != &joined)
        {
            leaving->exits_at = now_ + between(500ms, 7s);
            events_.emplace(
                now_ + between(0ms, 300ms),
                [leaving] { leaving->draining = true; });
        }
    }

    void crash(member& target)
    {
        target.running = false;
        target.restarts_at = now_ + between(100ms, 6s);
    }

    void end_disturbances()
    {
        for (auto& [name, state] : members_)
        {
            if (now_ >= state.exits_at && state.running && !state.exited &&
                others_hold_acknowledged(name))
            {
                state.exited = true;
                state.running = false;
                state.restarts_at = never;
                state.unregistered_at = now_;
            }
            if (now_ >= state.restarts_at)
            {
                // A restarted member keeps its log, but not its pause.
                state.running = true;
                state.paused_term = 0;
                state.restarts_at = never;
            }
            if (now_ >= state.reached_again_at)
            {
                state.reaches_holder = true;
                state.reached_again_at = never;
            }
            if (now_ >= state.joined_again_at)
            {
                state.reaches_members = true;
                state.joined_again_at = never;
            }
        }
        for (auto& [name, state] : hosts_)
        {
            if (now_ >= state.restarts_at && state.unregistered_at == never)
            {
                state = {};
                state.started_at = now_;
                // A host reads the records before it serves.
                state.hold.on_record(published_order_, published_term_, now_);
            }
            if (now_ >= state.reached_again_at)
            {
                state.reaches_holder = true;
                state.reached_again_at = never;
            }
        }
    }

    /// No design can keep a commit whose last copy is gone, so members exit
    /// only while another one has it.
    bool others_hold_acknowledged(const std::string& leaving) const
    {
        return std::any_of(
            members_.begin(), members_.end(),
            [this, &leaving](const auto& entry)
            {
                return entry.first != leaving && !entry.second.exited &&
                       entry.second.contains(acknowledged_);
            });
    }

    void write()
    {
        auto* const leader = primary();
        const auto host = std::next(
            hosts_.begin(),
            static_cast<std::ptrdiff_t>(random_() % hosts_.size()));
        if (leader == nullptr || !chance(30) || !host->second.running)
        {
            return;
        }
        leader->log.push_back(leader->term);
        sent_at_[leader->received()] = now_;
        commits_.push_back(
            {host->first, name_of(*leader), leader->received(), now_});
    }

    static bool is_behind(const member& replica, const member& source)
    {
        return replica.received() != source.received();
    }

    void replicate()
    {
        const auto* const leader = primary();
        if (leader == nullptr || !leader->reaches_members)
        {
            return;
        }
        for (auto& [name, state] : members_)
        {
            if (state.running && !state.primary && state.reaches_members &&
                !state.is_paused() && is_behind(state, *leader))
            {
                receive(state, *leader);
            }
        }
    }

    void receive(member& replica, const member& source)
    {
        while (!replica.log.empty() && !source.contains(replica.received()))
        {
            replica.log.pop_back();
        }
        while (replica.log.size() < source.log.size())
        {
            const log_position next{
                source.log[replica.log.size()], replica.log.size() + 1};
            const auto sent = sent_at_.find(next);
            if (sent != sent_at_.end() && now_ - sent->second < replica.delay)
            {
                break;
            }
            replica.log.push_back(next.term);
        }
        replica.term = source.term;
    }

    /// A commit is acknowledged when a replica has received it.
    void acknowledge()
    {
        std::erase_if(
            commits_,
            [this](const commit& value)
            {
                const auto& source = members_[value.primary];
                if (!source.primary || !source.contains(value.position))
                {
                    // The primary was replaced: the commit is in doubt.
                    return true;
                }
                if (!source.running || !has_been_received(value))
                {
                    return false;
                }
                held_.push_back(
                    {value.host, value.primary, value.position,
                     now_ + hold_limit});
                return true;
            });
    }

    void pass_on_held()
    {
        std::erase_if(
            held_,
            [this](const held_acknowledgement& value)
            {
                auto& through = hosts_[value.host];
                const bool lost =
                    !through.running || now_ >= value.deadline ||
                    through.started_at > value.deadline - hold_limit;
                if (lost)
                {
                    ++results_.in_doubt;
                    return true;
                }
                if (is_held(through, value.primary, value.position))
                {
                    return false;
                }
                results_.acknowledged_late +=
                    value.deadline - now_ < hold_limit ? 1U : 0U;
                through.hold.on_passed_on(value.position);
                pass_on(value.position);
                return true;
            });
    }

    bool is_held(
        const host& through, const std::string& primary, log_position position)
    {
        const auto required =
            through.hold.required_member(primary, position, now_);
        if (!required || required->empty())
        {
            return required.has_value();
        }
        const auto& asked = members_[*required];
        const auto received = asked.received();
        return !asked.running || received.term != position.term ||
               received < position;
    }

    bool has_been_received(const commit& value) const
    {
        return std::any_of(
            members_.begin(), members_.end(),
            [&value](const auto& entry)
            {
                const auto& state = entry.second;
                return entry.first != value.primary && state.running &&
                       !state.primary && state.contains(value.position);
            });
    }

    /// A client sees the acknowledgement.
    void pass_on(log_position position)
    {
        ++results_.acknowledged;
        const auto* const leader = primary();
        if (leader != nullptr && leader->term > position.term &&
            !leader->contains(position))
        {
            report_loss(name_of(*leader), position);
        }
        acknowledged_ = std::max(acknowledged_, position);
    }

    void carry_out_orders()
    {
        for (auto& value : std::exchange(orders_, {}))
        {
            if (value.due > now_)
            {
                orders_.push_back(value);
            }
            else if (!value.accepted)
            {
                accept(value);
            }
            else if (members_[value.instance].primary)
            {
                continue;
            }
            else if (!members_[value.instance].running)
            {
                // The member leads if it is back soon.
                if (now_ - value.due < 3s)
                {
                    orders_.push_back(value);
                }
            }
            else
            {
                promote(value.instance);
            }
        }
    }

    /// @return false if the platform refuses the order
    bool accept(order value)
    {
        if (value.token < highest_token_ || !members_[value.instance].running)
        {
            return false;
        }
        highest_token_ = value.token;
        if (!members_[value.instance].primary)
        {
            value.accepted = true;
            value.due = now_ + between(100ms, 1s);
            orders_.push_back(value);
        }
        return true;
    }

    void promote(const std::string& instance)
    {
        auto& target = members_[instance];
        ++results_.promotions;
        if (!target.contains(acknowledged_))
        {
            report_loss(instance, acknowledged_);
        }
        std::uint64_t term = 0;
        for (auto& [name, state] : members_)
        {
            term = std::max(term, state.term);
        }
        ++term;
        for (auto& [name, state] : members_)
        {
            state.primary = false;
            if (state.paused_term <= term)
            {
                state.paused_term = 0;
            }
        }
        target.primary = true;
        target.term = term;
        target.log.push_back(term);
        sent_at_[target.received()] = now_;
    }

    void report_loss(const std::string& instance, log_position position)
    {
        results_.lost += to_string(position) + " is not in " + instance + " (" +
                         to_string(members_[instance].received()) + "); ";
    }

    void start_holder()
    {
        planner_.reset(++duty_);
        const auto& record = tracker_.group();
        if (!record.primary.empty())
        {
            planner_.on_record(record.primary, record.term, record.complete);
            if (!record.ordered.empty())
            {
                planner_.on_recorded_order(record.ordered, now_);
            }
        }
        holder_starts_at_ = never;
        ++token_;
        last_ordered_.clear();
        holder_runs_ = true;
        ++epoch_;
    }

    void run_holder()
    {
        if (holder_starts_at_ != never)
        {
            holder_runs_ = false;
            if (now_ >= holder_starts_at_)
            {
                start_holder();
            }
        }
        if (!holder_runs_ || now_ < next_tick_)
        {
            return;
        }
        next_tick_ = now_ + 50ms;
        update_members();
        for (const auto& action : planner_.on_tick(now_))
        {
            std::visit([this](const auto& value) { execute(value); }, action);
        }
    }

    bool is_registered(const member& state) const
    {
        return state.known_at <= now_ && now_ < state.unregistered_at;
    }

    void update_members()
    {
        for (const auto& [name, state] : members_)
        {
            if (is_registered(state))
            {
                tracker_.on_registered(
                    name,
                    {.address = name,
                     .failure_domain = {},
                     .draining = state.draining},
                    now_);
            }
        }
        tracker_.on_primary(planner_.known_primary(), planner_.known_term());
        for (const auto& name : planner_.retired_members())
        {
            tracker_.on_retired(name);
        }
        tracker_.on_order_pending(planner_.pending_order(now_));
        tracker_.on_tick(now_);
        std::vector<replication_member> known;
        for (const auto& [name, recorded] : tracker_.group().members)
        {
            const bool registered = is_registered(members_[name]);
            known.push_back(
                {.instance = name,
                 .leaving = recorded.draining,
                 .shutdown_announced = recorded.draining && !registered,
                 .registered = registered});
        }
        planner_.on_members(known, 1);
        std::vector<std::string> names;
        for (const auto& [name, state] : hosts_)
        {
            if (now_ < state.unregistered_at)
            {
                names.push_back(name);
            }
        }
        planner_.on_hosts(names, now_);
        publish_record();
    }

    /// The record of the group is written, and the hosts read it later.
    void publish_record()
    {
        const auto& record = tracker_.group();
        if (record.ordered == published_order_ &&
            record.term == published_term_)
        {
            return;
        }
        published_order_ = record.ordered;
        published_term_ = record.term;
        for (auto& [name, state] : hosts_)
        {
            events_.emplace(
                now_ + between(5ms, 450ms),
                [this, target = &state, ordered = record.ordered,
                 term = record.term]
                {
                    if (target->running)
                    {
                        target->hold.on_record(ordered, term, now_);
                    }
                });
        }
    }

    /// Runs after the time that a message between the holder and a member
    /// takes, unless the duty has moved.
    void after_delay(std::function<void()> event)
    {
        events_.emplace(
            now_ + between(0ms, 15ms),
            [this, epoch = epoch_, event = std::move(event)]
            {
                if (epoch == epoch_ && holder_runs_)
                {
                    event();
                }
            });
    }

    /// A message reaches a member, whose status is returned.
    void call(
        const std::string& name, std::function<void(member&)> command,
        bool through_hosts = false)
    {
        const auto sent_at = now_;
        after_delay(
            [this, name, command, sent_at, through_hosts]
            {
                auto& state = members_[name];
                const bool reached =
                    state.running && (state.reaches_holder || through_hosts);
                if (reached)
                {
                    command(state);
                }
                const replication_status status{
                    state.primary, state.term, state.received(),
                    state.is_paused() ? state.paused_term : 0};
                const bool refused = !state.running && state.reaches_holder;
                after_delay(
                    [this, name, status, sent_at, reached, refused,
                     through_hosts]
                    {
                        if (through_hosts)
                        {
                            if (reached)
                            {
                                planner_.on_relayed_status(
                                    name, status, sent_at);
                            }
                        }
                        else if (reached)
                        {
                            planner_.on_status(name, status, sent_at, now_);
                        }
                        else
                        {
                            planner_.on_no_status(name, refused, now_);
                        }
                    });
            });
    }

    void execute(const failover_action::query& action)
    {
        call(
            action.instance, [](member&) {}, action.through_hosts);
    }

    void execute(const failover_action::pause_replication& action)
    {
        call(
            action.instance,
            [term = action.term](member& state)
            {
                if (!state.primary && term > state.term)
                {
                    state.paused_term = term;
                }
            });
    }

    void execute(const failover_action::resume_replication& action)
    {
        call(action.instance, [](member& state) { state.paused_term = 0; });
    }

    void execute(const failover_action::step_down& action)
    {
        call(
            action.instance,
            [term = action.term](member& state)
            { state.primary = state.primary && term <= state.term; },
            action.through_hosts);
    }

    void execute(const failover_action::hold_acknowledgements& action)
    {
        for (const auto& name : action.hosts)
        {
            after_delay([this, name, request = action.request]
                        { ask_host(name, request); });
        }
    }

    void ask_host(const std::string& name, const hold_request& request)
    {
        auto& asked = hosts_[name];
        if (!asked.running || !asked.reaches_holder ||
            !asked.hold.on_request(request, now_))
        {
            return;
        }
        const hold_answer answer{
            name, request.duty, request.number, asked.hold.acknowledged(),
            now_ - asked.started_at};
        after_delay([this, answer] { planner_.on_hold_answer(answer, now_); });
    }

    void execute(const failover_action::order_promotion& action)
    {
        tracker_.on_order_pending(action.instance);
        publish_record();
        const auto delay = planner_.record_delay(now_);
        if (delay == 0s)
        {
            send_order(action);
            return;
        }
        events_.emplace(
            now_ + delay,
            [this, action, epoch = epoch_]
            {
                if (epoch == epoch_ && holder_runs_)
                {
                    send_order(action);
                }
            });
    }

    void send_order(const failover_action::order_promotion& action)
    {
        if (!planner_.is_order_justified(action.instance, now_))
        {
            planner_.on_promotion_result(promotion_result::refused, now_);
            return;
        }
        if (last_ordered_ != action.instance)
        {
            last_ordered_ = action.instance;
            ++token_;
        }
        order sent{action.instance, token_, now_, false};
        if (now_ < orders_unanswered_until_)
        {
            sent.due = now_ + between(0s, 12s);
            orders_.push_back(sent);
            planner_.on_promotion_result(promotion_result::unknown, now_);
            return;
        }
        planner_.on_promotion_result(
            accept(sent) ? promotion_result::accepted
                         : promotion_result::refused,
            now_);
    }

    std::mt19937_64 random_;
    /// Draws the replacements of hosts and the losses of members, so that the
    /// other draws of a seed stay as they are without them.
    std::mt19937_64 replacements_random_;
    disturbances values_;
    time_point now_{std::chrono::hours(1)};
    failover_planner planner_;
    replication_group_tracker tracker_;
    std::map<std::string, member> members_;
    std::map<std::string, host> hosts_;
    std::vector<held_acknowledgement> held_;
    std::string published_order_;
    std::uint64_t published_term_ = 0;
    std::uint64_t duty_ = 0;
    std::multimap<time_point, std::function<void()>> events_;
    /// Commits without an acknowledgement.
    std::vector<commit> commits_;
    std::map<log_position, time_point> sent_at_;
    std::vector<order> orders_;
    /// Last commit that a client saw acknowledged.
    log_position acknowledged_{1, 1};
    std::uint64_t token_ = 0;
    std::uint64_t highest_token_ = 0;
    std::string last_ordered_;
    time_point orders_unanswered_until_{};
    time_point holder_starts_at_ = never;
    bool holder_runs_ = false;
    std::uint64_t epoch_ = 0;
    time_point next_tick_{};
    std::size_t changes_ = 0;
    bool disturbed_ = true;
    results results_;
};

} // namespace changing_group_model
