#include "support/soak_run.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace zinniahub::test
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds recovery_limit = 12s;
/// Longest wait for the last replacement of a member.
constexpr milliseconds repair_limit = 20s;

} // namespace

soak_run::soak_run(const soak_settings& values)
    : settings_(values)
    , numbers_(~values.seed)
    , platform_(
          {"ledger", 3, values.proxies > 20 ? 150U : 50U,
           values.tokens_checked})
{
    platform_.store().set_promotion_time(
        milliseconds(numbers_.between(300, 1000)));
    platform_.on_promoted(
        [this](const std::string& instance, const replicated_log& log)
        { note_promotion(instance, log); });
    write_configuration();
    for (unsigned index = 0; index < settings_.proxies; ++index)
    {
        auto added = std::make_unique<proxy>();
        added->host = std::make_unique<hosted_proxy>(
            platform_, "n" + std::to_string(index));
        proxies_.push_back(std::move(added));
    }
    for (std::size_t index = 0; index < platform_.size(); ++index)
    {
        auto added = std::make_unique<slot>();
        added->index = index;
        slots_.push_back(std::move(added));
    }
}

soak_run::~soak_run()
{
    callers_.clear();
    // A late order may still be carried out.
    const std::lock_guard lock(platform_.log().mutex);
    platform_.on_promoted({});
}

void soak_run::write_configuration()
{
    std::map<std::string, std::string> keys{
        {"alba", "key-a"}, {"limited", "key-l"}};
    if (has_second_key_)
    {
        keys["bea"] = "key-b";
    }
    platform_.configure(version_, keys, 4000, {{"limited", limited_rate}});
}

void soak_run::after(milliseconds delay, std::function<void()> action)
{
    agenda_.emplace(steady_clock::now() + delay, std::move(action));
}

/// Carries out what is due and watches the processes.
void soak_run::turn()
{
    const auto now = steady_clock::now();
    while (!agenda_.empty() && agenda_.begin()->first <= now)
    {
        auto action = std::move(agenda_.begin()->second);
        agenda_.erase(agenda_.begin());
        action();
    }
    if (is_store_down_ && now >= outage_end_)
    {
        end_outage();
    }
    for (auto& entry : proxies_)
    {
        watch_proxy(*entry);
    }
    for (auto& entry : slots_)
    {
        send_heartbeat(*entry);
    }
    std::this_thread::sleep_for(5ms);
}

void soak_run::run_until(soak_time end)
{
    while (steady_clock::now() < end)
    {
        turn();
    }
}

/// Whether all processes and members are in service without a fault.
bool soak_run::is_whole() const
{
    const bool proxies_run = std::all_of(
        proxies_.begin(), proxies_.end(),
        [](const auto& entry)
        {
            return entry->state == proxy_state::running && entry->in_rotation &&
                   !entry->is_suspended;
        });
    return proxies_run && agenda_.empty() && !is_store_down_ &&
           std::all_of(
               slots_.begin(), slots_.end(),
               [](const auto& entry) {
                   return entry->is_running && entry->is_registered &&
                          !entry->is_leaving;
               });
}

bool soak_run::serves(proxy& target)
{
    line_caller caller(target.host->address(), 3s);
    return caller.start("latest", "key-a").ok() &&
           caller.run("PUT probe probe").ok() && caller.run("FETCH probe").ok();
}

/// Each proxy serves a write and a read within the bound for recovery.
void soak_run::await_recovery()
{
    const auto begun = steady_clock::now();
    for (auto& entry : proxies_)
    {
        bool is_served = false;
        while (!is_served && steady_clock::now() < begun + recovery_limit)
        {
            turn();
            is_served = serves(*entry);
        }
        if (!is_served)
        {
            history_.findings.push_back(fmt::format(
                "RECOVER proxy {} serves no write after {} s", index_of(*entry),
                recovery_limit.count() / 1000));
        }
    }
    recovery_ =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - begun);
}

void soak_run::note_promotion(
    const std::string& instance, const replicated_log& log)
{
    std::set<std::string> held;
    for (const auto& row : log.members.at(instance).rows)
    {
        held.insert(row.data);
    }
    soak_history::promotion entry;
    entry.instance = instance;
    entry.at = steady_clock::now();
    for (const auto& data : log.acknowledged)
    {
        if (!held.contains(data))
        {
            entry.missing.push_back(data);
        }
    }
    history_.promotions.push_back(std::move(entry));
}

soak_report soak_run::run()
{
    for (auto& entry : proxies_)
    {
        if (!entry->host->wait_until_ready(15s))
        {
            return {{"START a proxy is not ready"}};
        }
    }
    history_.begun = steady_clock::now();
    for (unsigned number = 0; number < settings_.callers; ++number)
    {
        soak_caller::settings values;
        values.seed = settings_.seed * 1000 + number;
        values.key = number % 8 == 1   ? "key-b"
                     : number % 8 == 2 ? "key-l"
                                       : "key-a";
        values.longest_pause = number % 8 == 2 ? 10ms : 40ms;
        callers_.push_back(std::make_unique<soak_caller>(
            values,
            [this](seeded_numbers& numbers)
                -> std::optional<std::pair<std::size_t, std::string>>
            {
                const auto index = numbers.between(0, proxies_.size() - 1);
                if (!proxies_[index]->in_rotation)
                {
                    return std::nullopt;
                }
                return std::pair{index, proxies_[index]->host->address()};
            }));
    }
    // Rates and the duty are taken up.
    run_until(steady_clock::now() + 2s);
    for (const auto& event :
         soak_schedule(settings_.seed, settings_.length, settings_.proxies))
    {
        after(event.at, [this, event] { apply(event); });
    }
    run_until(steady_clock::now() + settings_.length);
    const auto repaired = steady_clock::now() + repair_limit;
    while (!is_whole() && steady_clock::now() < repaired)
    {
        turn();
    }
    if (!is_whole())
    {
        history_.findings.push_back("RECOVER the platform is not whole");
    }
    await_recovery();
    for (auto& entry : callers_)
    {
        entry->stop();
    }
    return report();
}

soak_report soak_run::report()
{
    std::vector<soak_request> requests;
    std::vector<soak_write> writes;
    for (const auto& entry : callers_)
    {
        requests.insert(
            requests.end(), entry->requests.begin(), entry->requests.end());
        writes.insert(writes.end(), entry->writes.begin(), entry->writes.end());
    }
    soak_report out;
    out.findings = check_soak(
        history_, requests, writes, statement_ledger::of_process(),
        platform_.log());
    out.requests = requests.size();
    out.answered = static_cast<std::size_t>(std::count_if(
        requests.begin(), requests.end(),
        [](const auto& request) { return request.reply.ok(); }));
    out.acknowledged = static_cast<std::size_t>(std::count_if(
        writes.begin(), writes.end(),
        [](const auto& write)
        { return write.result == soak_write::outcome::acknowledged; }));
    const std::lock_guard lock(platform_.log().mutex);
    out.promotions = history_.promotions.size();
    out.recovery = recovery_;
    return out;
}

std::string soak_run::log(std::size_t index) const
{
    return proxies_.at(index)->host->log();
}

} // namespace zinniahub::test
