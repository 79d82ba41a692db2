#include "support/hosted_platform.hpp"

#include "support/process.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace zinniahub::test
{

using nlohmann::json;

namespace
{

json route(
    const std::string& database, const std::string& type,
    const std::string& service)
{
    return {
        {"name", "r-" + database},
        {"host", database},
        {"prefix", "/"},
        {"type", type},
        {"timeout_ms", 800},
        {"target_latency_ms", 500},
        {"priority", 1},
        {"service", service},
        {"max_staleness_ms", 2000},
        {"public", false}};
}

/// Differences reported for each rule: one fault may change many runs.
constexpr std::size_t most_reported = 3;

/// A port below the ephemeral range: the kernel does not give it to another
/// connection while the member is down.
unsigned short port_of(const std::string& address)
{
    return static_cast<unsigned short>(
        std::stoul(address.substr(address.rfind(':') + 1)));
}

} // namespace

std::function<void(const std::string&)>& difference_report()
{
    static std::function<void(const std::string&)> report;
    return report;
}

hosted_platform::hosted_platform(settings values)
    : settings_(std::move(values))
    , log_(std::make_shared<replicated_log>())
{
    for (std::size_t index = 0; index < settings_.members; ++index)
    {
        members_.push_back(std::make_unique<hosted_member>(
            settings_.service, "i-" + std::to_string(index),
            settings_.max_connections, log_, port_of(free_address())));
    }
    {
        const std::lock_guard lock(log_->mutex);
        log_->members["i-0"].primary = true;
    }
    for (std::size_t index = 0; index < members_.size(); ++index)
    {
        register_member(index);
    }
    store_.on_promotion([this](const hosted_store::promotion& order)
                        { return promote(order.instance); });
    store_.on_order(
        [this](const hosted_store::promotion& order)
        {
            const std::lock_guard lock(log_->mutex);
            const auto found = log_->members.find(order.instance);
            return found != log_->members.end() && found->second.running;
        });
}

hosted_platform::~hosted_platform()
{
    const auto& report = difference_report();
    if (!report)
    {
        return;
    }
    const auto owners = this->owners();
    std::vector<std::string> found;
    {
        const std::lock_guard lock(log_->mutex);
        found = statement_ledger::of_process().check(*log_, owners);
    }
    std::map<std::string, std::size_t> counts;
    for (const auto& difference : found)
    {
        const auto rule = difference.substr(0, difference.find(' '));
        if (++counts[rule] <= most_reported)
        {
            report(difference);
        }
    }
    for (const auto& [rule, count] : counts)
    {
        if (count > most_reported)
        {
            report(fmt::format("{} {} in all", rule, count));
        }
    }
}

key_owners hosted_platform::owners() const
{
    const std::lock_guard lock(log_->mutex);
    return owners_;
}

void hosted_platform::configure(
    unsigned version, const std::map<std::string, std::string>& keys,
    double rate_per_s, const std::map<std::string, double>& other_rates)
{
    json tenants = json::array();
    for (const auto& [customer, key] : keys)
    {
        {
            const std::lock_guard lock(log_->mutex);
            owners_[key].insert(customer);
        }
        const auto other = other_rates.find(customer);
        const double rate =
            other == other_rates.end() ? rate_per_s : other->second;
        tenants.push_back(
            {{"name", customer},
             {"api_keys", {key}},
             {"rate_per_s", rate},
             {"burst", rate}});
    }
    const auto& service = settings_.service;
    const json value{
        {"version", version},
        {"routes",
         {route("latest", "primary", service),
          route("bounded", "bounded_staleness", service),
          route("session", "read_your_writes", service)}},
        {"services",
         {{{"name", service},
           {"max_connections", settings_.max_connections},
           {"sync_replicas", 1}}}},
        {"limits", {{"tx_idle_ms", 3000}}},
        {"tenants", tenants}};
    store_.put("op/config", value.dump());
}

void hosted_platform::register_member(
    std::size_t index, bool draining, std::int64_t born)
{
    const auto& instance = members_[index]->instance();
    bool primary = false;
    {
        const std::lock_guard lock(log_->mutex);
        primary = log_->members[instance].primary;
    }
    const json value{
        {"service", settings_.service},
        {"address", members_[index]->address()},
        {"zone", "zone-" + std::to_string(index)},
        {"version", "v1"},
        {"capacity", 3},
        {"phase", draining ? "draining" : "ready"},
        {"warmup_remaining_ms", 0},
        {"db_role", primary ? "primary" : "replica"},
        {"sequence", ++sequence_},
        {"born", born}};
    store_.put("servers/" + instance, value.dump());
}

void hosted_platform::remove_member(std::size_t index)
{
    store_.remove("servers/" + members_[index]->instance());
}

void hosted_platform::set_receiving(std::size_t index, bool value)
{
    const std::lock_guard lock(log_->mutex);
    log_->members[members_[index]->instance()].deaf = !value;
    log_->replicate_locked();
}

bool hosted_platform::promote(const std::string& instance)
{
    const std::lock_guard lock(log_->mutex);
    const auto found = log_->members.find(instance);
    if (found == log_->members.end() || !found->second.running)
    {
        return false;
    }
    if (log_->primary_locked() == instance)
    {
        return true;
    }
    std::uint64_t term = 0;
    for (auto& [name, member] : log_->members)
    {
        term = std::max(term, member.term);
    }
    for (auto& [name, member] : log_->members)
    {
        member.primary =
            !settings_.tokens_checked && member.primary && member.running;
        if (member.paused_term <= term + 1)
        {
            member.paused_term = 0;
        }
    }
    found->second.primary = true;
    found->second.term = term + 1;
    found->second.paused_term = 0;
    if (promoted_)
    {
        promoted_(instance, *log_);
    }
    log_->replicate_locked();
    return true;
}

void hosted_platform::retire(std::size_t index)
{
    members_[index]->crash();
    remove_member(index);
}

std::size_t hosted_platform::start_successor(std::size_t index)
{
    const auto port = port_of(members_[index]->address());
    const auto old = members_[index]->instance();
    const auto instance = "i-" + std::to_string(members_.size());
    {
        const std::lock_guard lock(log_->mutex);
        auto copy = log_->members[old];
        copy.primary = false;
        copy.paused_term = 0;
        copy.running = true;
        copy.deaf = false;
        log_->members[instance] = std::move(copy);
    }
    members_.push_back(std::make_unique<hosted_member>(
        settings_.service, instance, settings_.max_connections, log_, port));
    return members_.size() - 1;
}

std::size_t hosted_platform::runs_of(const std::string& id) const
{
    const std::lock_guard lock(log_->mutex);
    return static_cast<std::size_t>(std::count_if(
        log_->runs.begin(), log_->runs.end(),
        [&id](const hosted_run& run) { return run.id == id; }));
}

std::size_t hosted_platform::runs_at(const std::string& instance) const
{
    const std::lock_guard lock(log_->mutex);
    return static_cast<std::size_t>(std::count_if(
        log_->runs.begin(), log_->runs.end(),
        [&instance](const hosted_run& run)
        { return run.instance == instance; }));
}

std::size_t hosted_platform::primary() const
{
    const std::lock_guard lock(log_->mutex);
    const auto name = log_->primary_locked();
    for (std::size_t index = 0; index < members_.size(); ++index)
    {
        if (members_[index]->instance() == name)
        {
            return index;
        }
    }
    return members_.size();
}

} // namespace zinniahub::test
