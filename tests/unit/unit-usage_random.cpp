#include <zinniahub/fleet_time.hpp>
#include <zinniahub/usage_collection.hpp>
#include <zinniahub/usage_counter.hpp>
#include <zinniahub/usage_outbox.hpp>
#include <zinniahub/usage_report_planner.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// Four hosts that count, exchange and report usage, over a network and a store
// that lose, delay and repeat, while hosts die, restart and freeze, clocks jump
// and the duty moves at any step.

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

constexpr duration step = 100ms;
constexpr duration window_length = 5s;
constexpr duration report_delay = 10s;
constexpr duration trouble_time = 60s;
constexpr duration quiet_time = 40s;
constexpr std::size_t host_count = 4;
constexpr std::uint64_t first_window = 1000;

const time_point start{std::chrono::hours(1)};
const usage_windows windows{window_length};

duration true_time(time_point now)
{
    return window_length * first_window + 1s + (now - start);
}

struct record_state
{
    std::optional<usage_record> record;
    std::uint64_t revision = 0;
};

class fleet;

class simulated_host
{
public:
    simulated_host(fleet& all, std::size_t index, time_point now);

    void tick(time_point now);
    void receive(const usage_part& part, time_point now);

    usage_counter counter{windows};
    usage_collection collection;
    usage_outbox outbox;
    fleet_time time;
    usage_report_planner planner;
    /// Error of the time of day.
    duration clock_error{};
    std::string name;
    std::uint64_t first;
    std::uint64_t incarnation;
    std::string holder;
    std::uint64_t holder_token = 0;
    std::uint64_t token = 0;
    time_point forward_until = time_point::min();
    time_point frozen_until = time_point::min();

private:
    void exchange(time_point now);
    void plan(time_point now);
    void close_through(std::uint64_t window);

    fleet& all_;
};

/// The network, the store, the platform and the hosts.
class fleet
{
public:
    explicit fleet(std::uint32_t seed)
        : random(seed)
    {
        for (std::size_t index = 0; index < host_count; ++index)
        {
            hosts.push_back(
                std::make_shared<simulated_host>(*this, index, now));
        }
    }

    std::size_t below(std::size_t bound)
    {
        return random() % bound;
    }
    bool happens(unsigned percent)
    {
        return is_troubled && below(100) < percent;
    }

    void run()
    {
        while (now - start < trouble_time + quiet_time)
        {
            is_troubled = now - start < trouble_time;
            now += step;
            carry_out();
            make_trouble();
            for (std::size_t index = 0; index < hosts.size(); ++index)
            {
                const auto host = hosts[index];
                if (host != nullptr && now >= host->frozen_until)
                {
                    operate(*host);
                    host->tick(now);
                }
            }
        }
    }

    /// Executes a call at once, later, or never. Its outcome is known at once,
    /// or there is no answer.
    void call(
        const std::function<bool()>& execute,
        const std::function<void(std::optional<bool>)>& outcome)
    {
        const auto fate = happens(20) ? 1 + below(3) : 0;
        if (fate == 0)
        {
            outcome(execute());
            return;
        }
        if (fate == 1)
        {
            execute();
        }
        else if (fate == 2)
        {
            later(1s + below(3000) * 1ms, [execute] { execute(); });
        }
        later(1s, [outcome] { outcome(std::nullopt); });
    }
    void later(duration delay, std::function<void()> action)
    {
        pending_.push_back({now + delay, std::move(action)});
    }

    void send(const std::string& to, const usage_part& part)
    {
        for (int copy = happens(5) ? 2 : 1; copy > 0; --copy)
        {
            if (happens(10))
            {
                continue;
            }
            const auto delay = happens(5) ? below(3000) * 1ms : duration{};
            later(
                delay,
                [this, to, part]
                {
                    auto* host = find(to);
                    if (host != nullptr && now >= host->frozen_until)
                    {
                        host->receive(part, now);
                    }
                });
        }
    }

    simulated_host* find(const std::string& name)
    {
        for (const auto& host : hosts)
        {
            if (host != nullptr && host->name == name)
            {
                return host.get();
            }
        }
        return nullptr;
    }

    std::set<std::string> registered() const
    {
        std::set<std::string> names;
        for (const auto& host : hosts)
        {
            if (host != nullptr)
            {
                names.insert(host->name);
            }
        }
        return names;
    }

    /// Writes the record as its holder, if nothing changed since it was read.
    bool write(const usage_action::write_record& action, std::uint64_t token)
    {
        if (duty_revision != token || stored.revision != action.revision)
        {
            return false;
        }
        stored = {action.record, ++revision};
        return true;
    }

    bool report(const usage_report& report)
    {
        RC_ASSERT(
            windows.age(report.window, true_time(now)) >= duration::zero());
        const auto [at, is_new] = reports.emplace(report.window, report.counts);
        RC_ASSERT(is_new || at->second == report.counts);
        return true;
    }

    std::mt19937 random;
    time_point now = start;
    bool is_troubled = true;
    std::vector<std::shared_ptr<simulated_host>> hosts;
    record_state stored;
    std::uint64_t revision = 0;
    std::string duty;
    std::uint64_t duty_revision = 0;
    std::map<std::uint64_t, usage_counts> reports;
    std::map<std::uint64_t, usage_counts> truth;
    /// Times at which each host that died or froze was missing.
    std::vector<std::vector<time_point>> losses;

    /// Hosts that were missing from the begin of a window until a time after
    /// its end.
    std::size_t losses_until(std::uint64_t window, duration after_end) const
    {
        return static_cast<std::size_t>(std::count_if(
            losses.begin(), losses.end(),
            [&](const std::vector<time_point>& times)
            {
                return std::any_of(
                    times.begin(), times.end(),
                    [&](time_point at)
                    {
                        const auto age = windows.age(window, true_time(at));
                        return age >= -window_length && age < after_end;
                    });
            }));
    }

private:
    void carry_out()
    {
        for (std::size_t index = 0; index < pending_.size();)
        {
            if (pending_[index].first > now)
            {
                ++index;
                continue;
            }
            const auto action = pending_[index].second;
            pending_.erase(
                pending_.begin() + static_cast<std::ptrdiff_t>(index));
            action();
        }
    }

    void operate(simulated_host& host)
    {
        const auto count = below(4);
        for (std::size_t number = 0; number < count; ++number)
        {
            const auto customer = "c" + std::to_string(below(3));
            host.counter.count(customer, host.time.at(now));
            ++truth[windows.at(true_time(now))][customer];
        }
    }

    void move_duty()
    {
        const auto next = below(hosts.size());
        if (hosts[next] != nullptr)
        {
            duty = hosts[next]->name;
            duty_revision = ++revision;
        }
    }

    void reset_clocks()
    {
        for (const auto& host : hosts)
        {
            if (host != nullptr)
            {
                host->clock_error = duration::zero();
            }
        }
    }

    void make_trouble()
    {
        const auto index = below(hosts.size());
        auto& host = hosts[index];
        if (duty.empty() || find(duty) == nullptr || happens(1))
        {
            move_duty();
        }
        if (!is_troubled || below(100) > 0)
        {
            if (host == nullptr && (!is_troubled || below(20) == 0))
            {
                host = std::make_shared<simulated_host>(*this, index, now);
            }
            return;
        }
        if (host == nullptr)
        {
            return;
        }
        switch (below(3))
        {
        case 0:
            host.reset();
            reset_clocks();
            losses.push_back({now});
            break;
        case 1:
            host->frozen_until = now + 1s + below(6000) * 1ms;
            losses.emplace_back();
            for (auto at = now; at < host->frozen_until; at += 1s)
            {
                losses.back().push_back(at);
            }
            losses.back().push_back(host->frozen_until);
            break;
        default:
            reset_clocks();
            // One host of four is a minority.
            if (registered().size() < host_count)
            {
                break;
            }
            host->clock_error = (below(2) == 0 ? 1 : -1) * 7s;
            break;
        }
    }

    std::deque<std::pair<time_point, std::function<void()>>> pending_;
};

simulated_host::simulated_host(fleet& all, std::size_t index, time_point now)
    : outbox({.host = "n" + std::to_string(index)})
    , planner({.windows = windows})
    , name("n" + std::to_string(index))
    , first(windows.at(true_time(now)))
    , incarnation(static_cast<std::uint64_t>((now - start) / 1ms))
    , all_(all)
{
    time.update(true_time(now), now);
}

void simulated_host::tick(time_point now)
{
    for (const auto& host : all_.hosts)
    {
        if (host != nullptr && host.get() != this)
        {
            time.on_report(host->name, true_time(now) + host->clock_error, now);
        }
    }
    time.update(true_time(now) + clock_error, now);
    const auto present = windows.at(time.at(now));
    counter.on_tick(time.at(now));
    for (const auto& [window, counts] : counter.windows())
    {
        usage_part part{{name, incarnation}, window, counts, {}};
        if (windows.age(window, time.at(now)) >= usage_settle_time)
        {
            part.final_total = 0;
            for (const auto& [customer, count] : counts)
            {
                *part.final_total += count;
            }
        }
        collection.merge(part, present);
    }
    if (all_.stored.record && !all_.happens(50))
    {
        close_through(all_.stored.record->fixed_through());
    }
    exchange(now);
    plan(now);
}

void simulated_host::close_through(std::uint64_t window)
{
    planner.on_fixed_elsewhere(window);
    counter.close_through(window);
    collection.close_through(window);
    outbox.close_through(window);
}

void simulated_host::receive(const usage_part& part, time_point now)
{
    collection.merge(part, windows.at(time.at(now)));
    if (!part.final_total)
    {
        return;
    }
    const auto origins = collection.windows().find(part.window);
    if (origins == collection.windows().end() ||
        !origins->second.contains(part.origin) ||
        !origins->second.at(part.origin).is_complete() || all_.happens(10))
    {
        return;
    }
    for (const auto& host : all_.hosts)
    {
        if (host != nullptr)
        {
            host->outbox.on_acknowledged(
                name, part.window, part.origin, *part.final_total);
        }
    }
}

void simulated_host::exchange(time_point now)
{
    if (holder_token != all_.duty_revision)
    {
        holder = all_.duty;
        holder_token = all_.duty_revision;
        forward_until = now + 4s;
        outbox.forget(holder);
    }
    std::vector<std::string> targets{holder};
    for (const auto& host : all_.registered())
    {
        if (host != holder)
        {
            targets.push_back(host);
            break;
        }
    }
    std::erase(targets, name);
    outbox.set_targets(targets);
    for (const auto& target : targets)
    {
        const auto forwards = [&](const usage_origin& origin) {
            return target == holder && now < forward_until &&
                   origin.host != target;
        };
        for (const auto& item :
             outbox.due(target, collection, 16, now, forwards))
        {
            const auto& entry =
                collection.windows().at(item.window).at(item.origin);
            all_.send(
                target,
                {item.origin, item.window, entry.counts, entry.final_total});
        }
    }
}

void simulated_host::plan(time_point now)
{
    // A host that resumes may take itself for the holder for one more tick.
    if (all_.duty != name && !all_.happens(50))
    {
        planner.on_duty_lost();
        return;
    }
    if (all_.duty == name &&
        (!planner.holds_duty() || token != all_.duty_revision))
    {
        token = all_.duty_revision;
        planner.on_duty_taken(now);
    }
    const auto self = all_.hosts[static_cast<std::size_t>(name[1] - '0')];
    const auto held = token;
    const auto registered = all_.registered();
    for (const auto& next : planner.on_tick(
             {.collection = collection,
    .registered = registered,
    .is_known = [](std::string_view) { return true; },
    .token = token,
    .now = now,
    .time_of_day = time.at(now),
    .first_window = first}))
    {
        if (const auto* write = std::get_if<usage_action::write_record>(&next))
        {
            const auto action = *write;
            all_.call(
                [this, held, action] { return all_.write(action, held); },
                [this, self, held, action](std::optional<bool> written)
                {
                    if (self->token != held)
                    {
                        return;
                    }
                    written.value_or(false)
                        ? planner.on_written(action.record, all_.revision)
                        : planner.on_write_failed(all_.now);
                });
        }
        else if (
            const auto* send = std::get_if<usage_action::send_report>(&next))
        {
            const auto action = *send;
            all_.call(
                [this, action] { return all_.report(action.report); },
                [this, self, held, action](std::optional<bool> answer)
                {
                    if (self->token == held)
                    {
                        planner.on_answer(
                            action.report.window,
                            answer ? usage_answer::accepted
                                   : usage_answer::unknown,
                            action.token, all_.now);
                    }
                });
        }
        else if (all_.happens(20))
        {
            planner.on_read_failed(now);
        }
        else
        {
            planner.on_record_read(all_.stored.record, all_.stored.revision);
        }
    }
}

} // namespace

// Guards against two reports of one window that differ, reports of windows that
// have not ended, sums beyond the tolerance without a loss, and windows that
// are never reported.
TEST(usage, reports_each_window_once_under_faults)
{
    EXPECT_TRUE(rc::check(
        [](std::uint32_t seed)
        {
            fleet all(seed);
            all.run();
            RC_ASSERT(!all.reports.empty());
            std::size_t checked = 0;
            const auto first = all.reports.begin()->first;
            const auto last = windows.at(true_time(all.now) - report_delay) - 1;
            for (auto window = first; window <= last; ++window)
            {
                RC_ASSERT(all.reports.contains(window));
                // A host that dies takes up to 0.5 s of its counts with it, and
                // two collectors that die take those of other hosts.
                if (all.losses_until(window, 3s) > 0 ||
                    all.losses_until(window, 20s) > 1)
                {
                    continue;
                }
                ++checked;
                for (const auto& [customer, count] : all.truth[window])
                {
                    const auto sent =
                        static_cast<double>(all.reports[window][customer]);
                    const auto real = static_cast<double>(count);
                    RC_ASSERT(sent >= real * 0.95 && sent <= real * 1.05);
                }
            }
            RC_ASSERT(checked > 0U);
        }));
}
