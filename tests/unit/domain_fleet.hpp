#pragma once

#include <zinniahub/domain_watch.hpp>
#include <zinniahub/heartbeat_targets.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/// @brief Hosts with `domain_watch` on a network with loss and delay, in
/// virtual time. Each host does what `domain_heartbeats` does. Members answer
/// only when they are tried, as on a night without requests.
class domain_fleet
{
public:
    struct host
    {
        std::string address;
        std::string domain;
        zinniahub::domain_watch watch;
        zinniahub::heartbeat_targets targets;
        zinniahub::time_point next_beat{};
        zinniahub::time_point next_run{};
        /// The process does nothing before this time.
        zinniahub::time_point frozen_until{};
        bool running = true;
        std::map<std::string, zinniahub::time_point, std::less<>> answers{};
        std::size_t sent = 0;
        bool was_cut_off = false;
        std::set<std::string> was_unreachable{};
    };

    domain_fleet(std::size_t domains, std::size_t hosts, unsigned seed)
        : random_(seed)
    {
        for (std::size_t number = 0; number < hosts; ++number)
        {
            const std::string domain(
                1, static_cast<char>('a' + number % domains));
            addresses_.push_back(
                "10.0." + std::to_string(number / 200) + "." +
                std::to_string(10 + number % 200) + ":7560");
            all.push_back(make_host(addresses_.back(), domain));
            names.insert(domain);
        }
        for (auto& one : all)
        {
            start(one);
        }
    }

    /// Restarts the process of a host.
    void start(host& one)
    {
        one = make_host(one.address, one.domain);
        auto others = addresses_;
        std::erase(others, one.address);
        one.targets.set_hosts(others);
        one.watch.set_hosts(one.targets.host_counts());
        one.next_run = now + std::chrono::milliseconds(pick(100));
    }

    void run_for(zinniahub::duration time)
    {
        const auto end = now + time;
        for (; now < end; now += std::chrono::milliseconds(1))
        {
            while (!arrivals_.empty() && arrivals_.begin()->first <= now)
            {
                const auto arrive = std::move(arrivals_.begin()->second);
                arrivals_.erase(arrivals_.begin());
                arrive();
            }
            for (auto& one : all)
            {
                if (one.running && now >= one.frozen_until &&
                    now >= one.next_run)
                {
                    run(one);
                }
            }
        }
    }

    std::size_t count_cut_off(const std::string& domain) const
    {
        std::size_t count = 0;
        for (const auto& one : all)
        {
            count +=
                one.running && one.domain == domain && one.watch.is_cut_off()
                    ? 1
                    : 0;
        }
        return count;
    }
    std::size_t count_hosts(const std::string& domain) const
    {
        std::size_t count = 0;
        for (const auto& one : all)
        {
            count += one.domain == domain ? 1 : 0;
        }
        return count;
    }
    /// Hosts that believed at any time that a domain was cut off or could not
    /// be reached.
    std::size_t count_decisions() const
    {
        std::size_t count = 0;
        for (const auto& one : all)
        {
            count += one.was_cut_off || !one.was_unreachable.empty() ? 1 : 0;
        }
        return count;
    }

    std::vector<host> all;
    std::set<std::string> names;
    zinniahub::time_point now{std::chrono::hours(10)};
    double loss = 0;
    /// Domains whose members do not answer.
    std::set<std::string> silent_members;
    /// Whether datagrams and calls pass between two hosts, or from a host to
    /// the members of a domain (`to` is null then).
    std::function<bool(const host& from, const host* to, const std::string&)>
        passes = [](const host&, const host*, const std::string&)
    { return true; };

private:
    static host make_host(const std::string& address, const std::string& domain)
    {
        return {
            address, domain, zinniahub::domain_watch({.domain = domain}),
            zinniahub::heartbeat_targets(address, domain)};
    }

    int pick(int limit)
    {
        return static_cast<int>(random_() % static_cast<unsigned>(limit));
    }

    zinniahub::duration delay()
    {
        return std::chrono::milliseconds(1 + pick(8));
    }

    void run(host& one)
    {
        if (now >= one.next_beat)
        {
            one.next_beat = now + std::chrono::milliseconds(100);
            const auto unknown = one.targets.next_unknown(now);
            send(one, unknown, true);
            auto receivers = one.targets.next_heartbeats();
            receivers.resize(
                receivers.size() - std::min(unknown.size(), receivers.size()));
            send(one, receivers, false);
        }
        for (const auto& domain : names)
        {
            const auto found = one.answers.find(domain);
            one.watch.on_members(
                domain,
                found == one.answers.end() ? zinniahub::time_point::min()
                                           : found->second,
                now);
        }
        for (const auto& action : one.watch.on_tick(now))
        {
            perform(one, action);
        }
        one.was_cut_off = one.was_cut_off || one.watch.is_cut_off();
        for (const auto& domain : one.watch.unreachable_domains())
        {
            one.was_unreachable.insert(domain);
        }
        const auto next = std::min(one.next_beat, one.watch.next_check(now));
        one.next_run = std::max(next, now + std::chrono::milliseconds(5));
    }

    void perform(host& one, const zinniahub::domain_watch::action& action)
    {
        using kind = zinniahub::domain_watch::action_kind;
        if (action.kind == kind::ask_hosts)
        {
            send(one, one.targets.next_in_domain(action.domain, 4), true);
            send(one, one.targets.next_in_domain(one.domain, 2), true);
        }
        else if (
            !silent_members.contains(action.domain) &&
            passes(one, nullptr, action.domain))
        {
            arrivals_.emplace(
                now + 2 * delay(), [this, &one, domain = action.domain]
                { one.answers[domain] = now; });
        }
    }

    void
    send(host& from, const std::vector<std::string>& targets, bool is_question)
    {
        for (const auto& address : targets)
        {
            ++from.sent;
            auto& to = find(address);
            const bool lost = loss > 0 && pick(1000) < loss * 1000;
            if (lost || !passes(from, &to, to.domain))
            {
                continue;
            }
            arrivals_.emplace(
                now + delay(), [this, &from, &to, is_question]
                { receive(from, to, is_question); });
        }
    }

    void receive(host& from, host& to, bool is_question)
    {
        if (!to.running)
        {
            return;
        }
        if (now < to.frozen_until)
        {
            // Read after the timer that fires when the process goes on.
            arrivals_.emplace(
                to.frozen_until + std::chrono::milliseconds(1),
                [this, &from, &to, is_question]
                { receive(from, to, is_question); });
            return;
        }
        if (to.targets.on_domain(from.address, from.domain))
        {
            to.watch.set_hosts(to.targets.host_counts());
        }
        to.watch.on_host_heard(from.domain, now);
        if (is_question)
        {
            send(to, {from.address}, false);
        }
    }

    host& find(const std::string& address)
    {
        const auto found =
            std::find(addresses_.begin(), addresses_.end(), address);
        return all[static_cast<std::size_t>(found - addresses_.begin())];
    }

    std::mt19937 random_;
    std::vector<std::string> addresses_;
    std::multimap<zinniahub::time_point, std::function<void()>> arrivals_;
};
