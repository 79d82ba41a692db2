#pragma once

#include <zinniahub/commit_rule.hpp>
#include <zinniahub/promotion.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace group_model
{

using namespace zinniahub;
using std::chrono::milliseconds;

/// Simulated database member that follows member.proto. The log holds the term
/// of each entry; term and index identify an entry if each term has at most one
/// primary.
struct member
{
    std::string name;
    std::vector<std::uint64_t> log;
    std::uint64_t term = 0;
    std::uint64_t fenced_by = 0;
    member_role role = member_role::replica;
    std::string primary;
    time_point last_heard{};
    time_point quiesced_until{};
    std::uint32_t open_transactions = 0;
    bool alive = true;
    bool frozen = false;
    bool lags = false;

    log_position position() const
    {
        return log.empty() ? log_position{}
                           : log_position{log.back(), log.size()};
    }

    bool contains(log_position entry) const
    {
        return entry.index <= log.size() && log[entry.index - 1] == entry.term;
    }

    void enter(std::uint64_t new_term, std::uint64_t candidate)
    {
        term = new_term;
        fenced_by = candidate;
        role = member_role::replica;
        primary.clear();
        open_transactions = 0;
        quiesced_until = {};
    }

    bool fence(std::uint64_t new_term, std::uint64_t candidate)
    {
        if (new_term > term)
        {
            enter(new_term, candidate);
            return true;
        }
        return new_term == term && candidate == fenced_by;
    }

    bool promote(
        std::uint64_t in_term, std::uint64_t candidate, log_position expected)
    {
        if (in_term != term || candidate != fenced_by ||
            (role == member_role::replica && position() != expected))
        {
            return false;
        }
        if (role == member_role::replica)
        {
            role = member_role::primary;
            primary = name;
            log.push_back(term);
        }
        return true;
    }

    bool
    follow(std::uint64_t in_term, const std::string& leader, time_point now)
    {
        if (in_term < term || (in_term == term && role == member_role::primary))
        {
            return false;
        }
        if (in_term > term)
        {
            enter(in_term, 0);
        }
        primary = leader;
        last_heard = now;
        return true;
    }
};

/// Simulates three members and several monitors, connected by a network that
/// loses, delays and reorders messages. All randomness is derived from one
/// seed.
class group
{
public:
    static constexpr std::size_t size = 3;

    group(
        std::uint64_t seed, std::vector<std::uint32_t> ranks,
        std::unique_ptr<commit_rule> commit)
        : random(seed)
        , rule(std::move(commit))
    {
        definition.name = "ledger";
        definition.uid = 9;
        for (std::size_t index = 0; index < size; ++index)
        {
            members.push_back({});
            members.back().name = "m" + std::to_string(index);
            definition.members.push_back({members.back().name, "", "", true});
        }
        for (const auto rank : ranks)
        {
            add_monitor(rank);
        }
    }

    // Queued messages hold references to this object.
    group(const group&) = delete;
    group& operator=(const group&) = delete;

    void add_monitor(std::uint32_t rank)
    {
        monitors.push_back({});
        pending.emplace_back();
        restart_monitor(monitors.size() - 1, rank);
    }

    void restart_monitor(std::size_t monitor, std::uint32_t rank)
    {
        promotion_settings settings;
        settings.candidate = ++candidates;
        settings.rank = rank;
        settings.seed = random();
        monitors[monitor] = {
            *group_monitor::make(definition, settings, now), candidates};
        pending[monitor].clear();
    }

    /// Blocks messages in one direction. Monitors are numbered after members.
    void cut(std::size_t from, std::size_t to)
    {
        cuts.insert({from, to});
    }

    void cut_both(std::size_t one, std::size_t other)
    {
        cut(one, other);
        cut(other, one);
    }

    void set_in_service(std::size_t index, bool value)
    {
        definition.members[index].in_service = value;
        for (std::size_t monitor = 0; monitor < monitors.size(); ++monitor)
        {
            perform(
                monitor,
                monitors[monitor].logic->on_definition(definition, now));
        }
    }

    void run(duration time)
    {
        for (const auto end = now + time; now < end;)
        {
            step();
        }
    }

    std::size_t primary() const
    {
        return monitors.back().logic->view().primary;
    }

    struct host
    {
        std::optional<group_monitor> logic;
        std::uint64_t candidate = 0;
    };

    struct promotion
    {
        std::uint64_t term;
        std::size_t index;
        member state;
    };

    std::mt19937_64 random;
    std::unique_ptr<commit_rule> rule;
    group_definition definition;
    std::vector<member> members;
    std::vector<host> monitors;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    time_point now{};
    int loss_percent = 0;
    milliseconds max_delay{2};
    /// Number of next replies that are lost, for the table of fault cases.
    int lost_fence_replies = 0;
    int lost_promote_replies = 0;

    std::vector<promotion> promotions;
    std::vector<log_position> acknowledged;
    time_point last_acknowledged{};
    int terms_with_two_primaries = 0;
    int lost_writes = 0;

private:
    using event = std::function<void()>;

    bool is_cut(std::size_t from, std::size_t to) const
    {
        return cuts.count({from, to}) != 0;
    }

    void send(std::size_t from, std::size_t to, event on_arrival)
    {
        if (is_cut(from, to) || static_cast<int>(random() % 100) < loss_percent)
        {
            return;
        }
        const auto delay = milliseconds(
            1 + random() % static_cast<unsigned>(max_delay.count()));
        queue(now + delay, to, std::move(on_arrival));
    }

    void queue(time_point when, std::size_t to, event on_arrival)
    {
        events.emplace(when, std::pair(to, std::move(on_arrival)));
    }

    void deliver()
    {
        while (!events.empty() && events.begin()->first <= now)
        {
            auto [to, on_arrival] = events.begin()->second;
            events.erase(events.begin());
            if (to < size && members[to].frozen)
            {
                // A frozen process handles its messages after it resumes.
                queue(now + milliseconds(50), to, std::move(on_arrival));
            }
            else if (to >= size || members[to].alive)
            {
                on_arrival();
            }
        }
    }

    member_status status_of(const member& state) const
    {
        member_status status;
        status.group_uid = definition.uid;
        status.role = state.role;
        status.term = state.term;
        status.primary = state.primary;
        status.position = state.position();
        status.primary_silent = state.role == member_role::primary
                                    ? duration{}
                                    : now - state.last_heard;
        status.open_transactions = state.open_transactions;
        status.quiesced = now < state.quiesced_until;
        return status;
    }

    void step()
    {
        now += milliseconds(10);
        deliver();
        ++steps;
        for (std::size_t index = 0; index < size; ++index)
        {
            if (members[index].alive && !members[index].frozen)
            {
                replicate(index);
                send_status(index);
            }
        }
        for (std::size_t monitor = 0; monitor < monitors.size(); ++monitor)
        {
            perform(monitor, monitors[monitor].logic->on_tick(now));
            write(monitor);
            acknowledge(monitor);
        }
    }

    void replicate(std::size_t index)
    {
        auto& replica = members[index];
        for (std::size_t other = 0; other < size; ++other)
        {
            const auto& source = members[other];
            if (other == index || source.name != replica.primary ||
                source.role != member_role::primary ||
                source.term != replica.term || !source.alive || source.frozen ||
                is_cut(index, other) || is_cut(other, index))
            {
                continue;
            }
            replica.last_heard = now;
            if (replica.lags || random() % 2 == 0)
            {
                continue;
            }
            fetch(replica, source);
        }
    }

    void fetch(member& replica, const member& source)
    {
        for (int entry = 0; entry < 10; ++entry)
        {
            if (!replica.log.empty() && !source.contains(replica.position()))
            {
                replica.log.pop_back();
            }
            else if (replica.log.size() < source.log.size())
            {
                replica.log.push_back(source.log[replica.log.size()]);
            }
        }
    }

    void send_status(std::size_t index)
    {
        const auto sequence = steps;
        for (std::size_t monitor = 0; monitor < monitors.size(); ++monitor)
        {
            send(
                index, size + monitor,
                [this, index, monitor, sequence,
                 status = status_of(members[index])]
                {
                    // The status stream is ordered: drop reordered messages.
                    auto& last = last_status[{index, monitor}];
                    if (sequence > last)
                    {
                        last = sequence;
                        perform(
                            monitor, monitors[monitor].logic->on_status(
                                         index, status, now));
                    }
                });
        }
    }

    void perform(std::size_t monitor, const promotion_actions& actions)
    {
        for (const auto& action : actions)
        {
            std::visit(
                [&](const auto& item) { perform(monitor, item); }, action);
        }
    }

    void perform(std::size_t, const promotion_action::publish&) {}

    void perform(std::size_t monitor, const promotion_action::fence& action)
    {
        const auto candidate = monitors[monitor].candidate;
        send(
            size + monitor, action.member,
            [this, monitor, action, candidate]
            {
                auto& target = members[action.member];
                reply(
                    monitor, action.member, action.term,
                    target.fence(action.term, candidate), lost_fence_replies,
                    &group_monitor::on_fence_reply);
            });
        fail_later(monitor, action.member);
    }

    void perform(std::size_t monitor, const promotion_action::promote& action)
    {
        const auto candidate = monitors[monitor].candidate;
        send(
            size + monitor, action.member,
            [this, monitor, action, candidate]
            {
                auto& target = members[action.member];
                const bool was_primary = target.role == member_role::primary;
                const bool accepted = target.promote(
                    action.term, candidate, action.expected_position);
                if (accepted && !was_primary)
                {
                    check_promotion(action.member);
                }
                reply(
                    monitor, action.member, action.term, accepted,
                    lost_promote_replies, &group_monitor::on_promote_reply);
            });
        fail_later(monitor, action.member);
    }

    void perform(std::size_t monitor, const promotion_action::follow& action)
    {
        send(
            size + monitor, action.member,
            [this, action]
            {
                members[action.member].follow(
                    action.term, members[action.primary].name, now);
            });
    }

    void perform(std::size_t monitor, const promotion_action::quiesce& action)
    {
        send(
            size + monitor, action.member,
            [this, action]
            {
                auto& target = members[action.member];
                if (target.term == action.term)
                {
                    target.quiesced_until = now + action.limit;
                }
            });
    }

    template<typename Handler>
    void reply(
        std::size_t monitor, std::size_t from, std::uint64_t term,
        bool accepted, int& lost, Handler handler)
    {
        if (lost > 0)
        {
            --lost;
            return;
        }
        send(
            from, size + monitor,
            [=, this, status = status_of(members[from])]
            {
                auto& logic = *monitors[monitor].logic;
                perform(
                    monitor,
                    (logic.*handler)(from, term, accepted, status, now));
            });
    }

    /// Reports some calls as failed whether or not they were answered, as a
    /// late timeout does.
    void fail_later(std::size_t monitor, std::size_t to)
    {
        if (static_cast<int>(random() % 100) < loss_percent)
        {
            queue(
                now + milliseconds(500), size + monitor,
                [this, monitor, to] {
                    perform(
                        monitor,
                        monitors[monitor].logic->on_call_failed(to, now));
                });
        }
    }

    void check_promotion(std::size_t index)
    {
        const auto& state = members[index];
        for (const auto& other : promotions)
        {
            terms_with_two_primaries +=
                other.term == state.term && other.index != index ? 1 : 0;
        }
        for (const auto& entry : acknowledged)
        {
            lost_writes +=
                entry.term < state.term && !state.contains(entry) ? 1 : 0;
        }
        promotions.push_back({state.term, index, state});
    }

    void write(std::size_t monitor)
    {
        const auto& view = monitors[monitor].logic->view();
        const auto chosen = make_primary_only_router()->choose_write(view);
        if (!chosen || is_cut(size + monitor, *chosen) || random() % 3 != 0)
        {
            return;
        }
        auto& target = members[*chosen];
        if (target.alive && !target.frozen && target.term == view.term &&
            target.role == member_role::primary && now >= target.quiesced_until)
        {
            target.log.push_back(target.term);
            pending[monitor].emplace_back(*chosen, target.position());
        }
    }

    void acknowledge(std::size_t monitor)
    {
        const auto& view = monitors[monitor].logic->view();
        std::erase_if(
            pending[monitor],
            [&](const auto& write)
            {
                const auto& [index, entry] = write;
                if (!rule->is_satisfied(view, index, entry))
                {
                    return rule->is_lost(view, entry);
                }
                for (const auto& later : promotions)
                {
                    lost_writes +=
                        entry.term < later.term && !later.state.contains(entry)
                            ? 1
                            : 0;
                }
                acknowledged.push_back(entry);
                last_acknowledged = now;
                return true;
            });
    }

    std::vector<std::vector<std::pair<std::size_t, log_position>>> pending;
    std::multimap<time_point, std::pair<std::size_t, event>> events;
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> last_status;
    std::uint64_t steps = 0;
    std::uint64_t candidates = 0;
};

} // namespace group_model
