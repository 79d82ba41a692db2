#include <zinniahub/observed_state.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <tuple>
#include <unordered_map>

namespace zinniahub
{

namespace
{

constexpr std::string_view configuration_prefix = "/zinniahub/config/";

std::string_view relative_key(std::string_view key)
{
    if (key.starts_with(configuration_prefix))
    {
        key.remove_prefix(configuration_prefix.size());
    }
    return key;
}

std::int64_t seconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::seconds>(value).count();
}

/// Newest report of a host with its current ages.
struct host_view
{
    const host_report* report = nullptr;
    duration report_age{};
    duration configuration_age{};

    bool is_fresh() const
    {
        return report_age <= report_lifetime;
    }

    /// Returns true if the host was live in the last report of its failure
    /// domain and that report has expired. The platform's host list no longer
    /// contains such a host, but it may be partitioned from the platform and
    /// still serve requests with a key.
    bool may_be_partitioned() const
    {
        const auto time_since_write = report_age - report->report_age;
        return !report->draining && time_since_write > report_lifetime &&
               report->report_age <= report_lifetime &&
               configuration_age < max_configuration_age;
    }
};

template<typename T>
struct host_observation
{
    const host_view* host;
    const T* value;
};

std::string describe_unconfirmed(duration age)
{
    const auto left = max_configuration_age - age;
    if (left > duration::zero())
    {
        return fmt::format(
            "configuration not confirmed for {} s, keyed requests stop in {} s",
            seconds(age), seconds(left));
    }
    return fmt::format(
        "configuration not confirmed for {} s, keyed requests stopped {} s ago",
        seconds(age), seconds(-left));
}

/// Visitor that describes the desired state of a resource.
struct resource_describer
{
    std::string operator()(const group_resource& group) const
    {
        std::vector<std::string_view> leaving;
        for (const auto& member : group.members)
        {
            if (member.leaving)
            {
                leaving.push_back(member.name);
            }
        }
        auto text = fmt::format(
            "group uid {}, {} members", group.uid, group.members.size());
        return leaving.empty()
                   ? text
                   : fmt::format(
                         "{}, leaving {}", text, fmt::join(leaving, " "));
    }

    std::string operator()(const customer_resource& customer) const
    {
        return fmt::format(
            "rate {}/s, burst {}, weight {}, {} keys", customer.rate,
            customer.burst, customer.weight, customer.keys.size());
    }

    std::string operator()(const domain_resource& domain) const
    {
        return domain.in_service ? "in service" : "out of service";
    }
};

class comparison
{
public:
    comparison(
        std::span<const resource_record> desired,
        std::span<const host_entry> live,
        std::span<const domain_report> reports, time_point now);

    resource_status status_of(const resource_record& record) const;

private:
    using lag_list = std::vector<lagging_host>;
    using group_observations = std::vector<host_observation<group_report>>;

    void index_desired(std::span<const resource_record> desired);
    void index_hosts(std::span<const domain_report> reports);
    void index_host(const host_report& report, duration time_since_write);
    void drop_departed_hosts(std::span<const host_entry> live);
    void index_observations();
    void find_silent_domains(
        std::span<const host_entry> live,
        std::span<const domain_report> reports);
    void find_silent_hosts(std::span<const host_entry> live);
    void find_unconfirmed_hosts();

    static void
    add(lag_list& lags, const host_view& host, lag_kind kind,
        std::string reason);
    void add_revision_lags(const resource_record& record, lag_list& lags) const;
    void add_load_lags(const resource_record& record, lag_list& lags) const;
    void add_group_lags(const resource_record& record, lag_list& lags) const;
    void add_primary_lag(
        const group_resource& group, const host_view& host,
        const group_report& observed, lag_list& lags) const;
    void add_domain_lags(const resource_record& record, lag_list& lags) const;

    bool domain_in_service(std::string_view name) const;
    bool is_leaving(const member_resource& member) const;
    bool is_being_drained(const resource_record& record) const;
    const group_observations& observations_of(std::string_view group) const;
    const group_report*
    observation_by(std::string_view group, const host_view& host) const;
    std::size_t hosts_at_revision(std::uint64_t revision) const;
    std::string describe_observed(const resource_record& record) const;

    time_point now_;
    std::map<std::string_view, host_view> hosts_;
    std::size_t expected_hosts_ = 0;
    /// Lags that apply to every resource.
    lag_list common_lags_;
    std::map<std::string_view, const group_resource*> groups_;
    std::set<std::string_view> domains_out_;
    std::unordered_map<std::string_view, group_observations>
        group_observations_;
    std::unordered_map<
        std::string_view, std::vector<host_observation<resource_load>>>
        loads_;
};

comparison::comparison(
    std::span<const resource_record> desired, std::span<const host_entry> live,
    std::span<const domain_report> reports, time_point now)
    : now_(now)
{
    index_desired(desired);
    index_hosts(reports);
    drop_departed_hosts(live);
    index_observations();
    find_silent_domains(live, reports);
    find_silent_hosts(live);
    find_unconfirmed_hosts();
    if (expected_hosts_ == 0)
    {
        common_lags_.push_back(
            {{}, {}, lag_kind::domain_silent, "no host has reported"});
    }
}

void comparison::index_desired(std::span<const resource_record> desired)
{
    for (const auto& record : desired)
    {
        if (!record.value)
        {
            continue;
        }
        if (const auto* group = std::get_if<group_resource>(&*record.value))
        {
            groups_[group->name] = group;
        }
        const auto* domain = std::get_if<domain_resource>(&*record.value);
        if (domain != nullptr && !domain->in_service)
        {
            domains_out_.insert(domain->name);
        }
    }
}

void comparison::index_hosts(std::span<const domain_report> reports)
{
    for (const auto& domain : reports)
    {
        const auto time_since_write =
            std::max(now_ - domain.written_at, duration::zero());
        for (const auto& report : domain.hosts)
        {
            index_host(report, time_since_write);
        }
    }
}

void comparison::index_host(
    const host_report& report, duration time_since_write)
{
    const host_view view{
        &report, report.report_age + time_since_write,
        report.configuration_age + report.report_age + time_since_write};
    const auto [at, is_new] = hosts_.try_emplace(report.host, view);
    const auto& known = at->second;
    if (!is_new && std::tuple(report.incarnation, known.report_age) >
                       std::tuple(known.report->incarnation, view.report_age))
    {
        at->second = view;
    }
}

/// Drops hosts that left, were replaced or restarted after their last report.
void comparison::drop_departed_hosts(std::span<const host_entry> live)
{
    std::map<std::string_view, std::uint64_t> incarnations;
    for (const auto& host : live)
    {
        incarnations[host.name] = host.incarnation;
    }
    std::erase_if(
        hosts_,
        [&](const auto& item)
        {
            const auto& view = item.second;
            const auto found = incarnations.find(item.first);
            return found == incarnations.end()
                       ? !view.is_fresh() && !view.may_be_partitioned()
                       : view.report->incarnation < found->second;
        });
    expected_hosts_ = hosts_.size();
}

void comparison::index_observations()
{
    for (const auto& [name, host] : hosts_)
    {
        if (!host.is_fresh())
        {
            continue;
        }
        for (const auto& group : host.report->groups)
        {
            group_observations_[group.group].push_back({&host, &group});
        }
        for (const auto& load : host.report->loads)
        {
            loads_[relative_key(load.resource)].push_back({&host, &load});
        }
    }
}

void comparison::find_silent_domains(
    std::span<const host_entry> live, std::span<const domain_report> reports)
{
    std::map<std::string_view, time_point> written;
    for (const auto& report : reports)
    {
        auto& at = written.try_emplace(report.failure_domain, report.written_at)
                       .first->second;
        at = std::max(at, report.written_at);
    }
    std::set<std::string_view> domains;
    for (const auto& host : live)
    {
        domains.insert(host.failure_domain);
    }
    for (const auto& [name, host] : hosts_)
    {
        domains.insert(host.report->failure_domain);
    }
    for (const auto domain : domains)
    {
        const auto found = written.find(domain);
        if (found == written.end())
        {
            common_lags_.push_back(
                {{},
                 std::string(domain),
                 lag_kind::domain_silent,
                 "failure domain has no report"});
        }
        else if (now_ - found->second > report_lifetime)
        {
            common_lags_.push_back(
                {{},
                 std::string(domain),
                 lag_kind::domain_silent,
                 fmt::format(
                     "report of the failure domain is {} s old",
                     seconds(now_ - found->second))});
        }
    }
}

void comparison::find_silent_hosts(std::span<const host_entry> live)
{
    for (const auto& host : live)
    {
        const auto found = hosts_.find(host.name);
        if (found == hosts_.end() && !host.leaving)
        {
            ++expected_hosts_;
            common_lags_.push_back(
                {host.name, host.failure_domain, lag_kind::host_silent,
                 "host is listed but has not reported since its start"});
        }
        else if (found != hosts_.end() && !found->second.is_fresh())
        {
            common_lags_.push_back(
                {host.name, host.failure_domain, lag_kind::host_silent,
                 fmt::format(
                     "last report of the host is {} s old",
                     seconds(found->second.report_age))});
        }
    }
}

void comparison::find_unconfirmed_hosts()
{
    for (const auto& [name, host] : hosts_)
    {
        if (host.configuration_age > confirmation_lag_threshold)
        {
            add(common_lags_, host, lag_kind::configuration_unconfirmed,
                describe_unconfirmed(host.configuration_age));
        }
    }
}

void comparison::add(
    lag_list& lags, const host_view& host, lag_kind kind, std::string reason)
{
    lags.push_back(
        {host.report->host, host.report->failure_domain, kind,
         std::move(reason)});
}

void comparison::add_revision_lags(
    const resource_record& record, lag_list& lags) const
{
    for (const auto& [name, host] : hosts_)
    {
        if (host.report->applied_revision < record.revision)
        {
            add(lags, host, lag_kind::revision_not_reached,
                fmt::format(
                    "configuration revision {} not reached, applied {}",
                    record.revision, host.report->applied_revision));
        }
    }
}

void comparison::add_load_lags(
    const resource_record& record, lag_list& lags) const
{
    const auto found = loads_.find(relative_key(record.key));
    if (found == loads_.end() || !is_being_drained(record))
    {
        return;
    }
    for (const auto& [host, load] : found->second)
    {
        if (load->open_requests > 0)
        {
            add(lags, *host, lag_kind::open_requests,
                fmt::format("{} open requests", load->open_requests));
        }
    }
}

void comparison::add_group_lags(
    const resource_record& record, lag_list& lags) const
{
    const auto* group =
        record.value ? std::get_if<group_resource>(&*record.value) : nullptr;
    if (group == nullptr)
    {
        return;
    }
    for (const auto& [name, host] : hosts_)
    {
        const bool expected = host.is_fresh() && !host.report->draining &&
                              host.report->applied_revision >= record.revision;
        if (!expected)
        {
            continue;
        }
        const auto* observed = observation_by(group->name, host);
        if (observed == nullptr || !observed->writable ||
            observed->primary.empty())
        {
            add(lags, host, lag_kind::no_writable_primary,
                fmt::format(
                    "no writable primary as seen by host {}, term {}", name,
                    observed == nullptr ? 0 : observed->term));
            continue;
        }
        add_primary_lag(*group, host, *observed, lags);
    }
}

void comparison::add_primary_lag(
    const group_resource& group, const host_view& host,
    const group_report& observed, lag_list& lags) const
{
    const auto member = std::find_if(
        group.members.begin(), group.members.end(),
        [&](const member_resource& candidate)
        { return candidate.name == observed.primary; });
    if (member == group.members.end())
    {
        add(lags, host, lag_kind::primary_on_leaving_member,
            fmt::format("primary {} is not declared", observed.primary));
    }
    else if (is_leaving(*member))
    {
        add(lags, host, lag_kind::primary_on_leaving_member,
            fmt::format(
                "primary is still on leaving member {}", observed.primary));
    }
}

void comparison::add_domain_lags(
    const resource_record& record, lag_list& lags) const
{
    const auto* domain =
        record.value ? std::get_if<domain_resource>(&*record.value) : nullptr;
    if (domain == nullptr || domain->in_service)
    {
        return;
    }
    for (const auto& [name, group] : groups_)
    {
        for (const auto& member : group->members)
        {
            if (member.failure_domain != domain->name)
            {
                continue;
            }
            for (const auto& [host, observed] : observations_of(name))
            {
                if (observed->primary == member.name)
                {
                    add(lags, *host, lag_kind::primary_on_leaving_member,
                        fmt::format(
                            "primary of group {} is still on member {}", name,
                            member.name));
                }
            }
        }
    }
}

bool comparison::domain_in_service(std::string_view name) const
{
    return !domains_out_.contains(name);
}

bool comparison::is_leaving(const member_resource& member) const
{
    return member.leaving || !domain_in_service(member.failure_domain);
}

bool comparison::is_being_drained(const resource_record& record) const
{
    if (!record.value)
    {
        return true;
    }
    if (const auto* group = std::get_if<group_resource>(&*record.value))
    {
        return std::any_of(
            group->members.begin(), group->members.end(),
            [this](const member_resource& member)
            { return is_leaving(member); });
    }
    const auto* domain = std::get_if<domain_resource>(&*record.value);
    return domain != nullptr && !domain->in_service;
}

const comparison::group_observations&
comparison::observations_of(std::string_view group) const
{
    static const group_observations none;
    const auto found = group_observations_.find(group);
    return found == group_observations_.end() ? none : found->second;
}

/// The observations of a group are sorted by host name.
const group_report*
comparison::observation_by(std::string_view group, const host_view& host) const
{
    const auto& observations = observations_of(group);
    const auto found = std::lower_bound(
        observations.begin(), observations.end(), host.report->host,
        [](const auto& observation, const std::string& name)
        { return observation.host->report->host < name; });
    return found != observations.end() && found->host == &host ? found->value
                                                               : nullptr;
}

std::size_t comparison::hosts_at_revision(std::uint64_t revision) const
{
    return static_cast<std::size_t>(std::count_if(
        hosts_.begin(), hosts_.end(),
        [revision](const auto& item)
        { return item.second.report->applied_revision >= revision; }));
}

std::string comparison::describe_observed(const resource_record& record) const
{
    auto text = fmt::format(
        "in force on {} of {} hosts", hosts_at_revision(record.revision),
        expected_hosts_);
    const auto* group =
        record.value ? std::get_if<group_resource>(&*record.value) : nullptr;
    if (group == nullptr)
    {
        return text;
    }
    const auto& observations = observations_of(group->name);
    const auto newest = std::max_element(
        observations.begin(), observations.end(),
        [](const auto& left, const auto& right)
        { return left.value->term < right.value->term; });
    if (newest != observations.end() && !newest->value->primary.empty())
    {
        text += fmt::format(
            ", primary {} in term {}", newest->value->primary,
            newest->value->term);
    }
    return text;
}

resource_status comparison::status_of(const resource_record& record) const
{
    resource_status status;
    status.key = relative_key(record.key);
    status.desired = fmt::format(
        "{} at revision {}",
        record.value ? std::visit(resource_describer{}, *record.value)
                     : "deleted",
        record.revision);
    status.observed = describe_observed(record);
    status.lagging = common_lags_;
    add_revision_lags(record, status.lagging);
    add_load_lags(record, status.lagging);
    add_group_lags(record, status.lagging);
    add_domain_lags(record, status.lagging);
    std::stable_sort(
        status.lagging.begin(), status.lagging.end(),
        [](const lagging_host& left, const lagging_host& right)
        {
            return std::tie(left.failure_domain, left.host) <
                   std::tie(right.failure_domain, right.host);
        });
    status.converged = status.lagging.empty();
    return status;
}

} // namespace

std::string_view to_string(lag_kind value)
{
    switch (value)
    {
    case lag_kind::domain_silent:
        return "domain_silent";
    case lag_kind::host_silent:
        return "host_silent";
    case lag_kind::revision_not_reached:
        return "revision_not_reached";
    case lag_kind::configuration_unconfirmed:
        return "configuration_unconfirmed";
    case lag_kind::open_requests:
        return "open_requests";
    case lag_kind::no_writable_primary:
        return "no_writable_primary";
    case lag_kind::primary_on_leaving_member:
        return "primary_on_leaving_member";
    }
    return "unknown";
}

std::vector<resource_status> compare(
    std::span<const resource_record> desired, std::span<const host_entry> live,
    std::span<const domain_report> reports, time_point now)
{
    const comparison compared(desired, live, reports, now);
    std::vector<resource_status> statuses;
    statuses.reserve(desired.size());
    for (const auto& record : desired)
    {
        statuses.push_back(compared.status_of(record));
    }
    return statuses;
}

} // namespace zinniahub
