#include "control/fleet_sync.hpp"

#include "control/report_codec.hpp"
#include "kv/keys.hpp"

#include <algorithm>
#include <utility>

namespace zinniahub::control
{

namespace
{

constexpr std::chrono::seconds announce_interval{2};
constexpr std::chrono::seconds list_interval{2};
constexpr std::chrono::seconds report_interval{1};

/// A host lists the hosts more often after its start. Until it knows its peers,
/// it has no other source of configuration if it loses the platform.
constexpr std::chrono::milliseconds first_list_interval{500};
constexpr std::chrono::seconds first_list_period{10};

std::uint64_t wall_clock_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace

fleet_sync::fleet_sync(
    kv::async_platform_client& platform, peer_client& peers,
    configuration_sync& configuration, ownership& owners, settings values,
    report_source own_report)
    : platform_(platform)
    , peers_(peers)
    , configuration_(configuration)
    , owners_(owners)
    , settings_(std::move(values))
    , own_report_(std::move(own_report))
    , planner_(
          {settings_.self.name, settings_.self.failure_domain,
           settings_.sync_interval, settings_.fan_out})
    , started_at_(clock::now())
{
}

void fleet_sync::set_leaving()
{
    settings_.self.leaving = true;
    announce();
}

void fleet_sync::tick(time_point now)
{
    hosts_.on_reported(settings_.self, now);
    if (now >= next_announce_)
    {
        next_announce_ = now + announce_interval;
        announce();
    }
    if (now >= next_host_list_)
    {
        const bool started_recently = now - started_at_ < first_list_period;
        next_host_list_ =
            now + (started_recently ? first_list_interval : list_interval);
        list_hosts();
    }
    if (now >= next_sync_)
    {
        next_sync_ = now + settings_.sync_interval;
        sync_with_peers(now);
    }
    if (now >= next_report_ && owners_.is_delegate(now) &&
        !report_write_pending_)
    {
        next_report_ = now + report_interval;
        write_domain_report(now);
    }
}

// Membership

void fleet_sync::announce()
{
    v1::AnnounceRequest request;
    to_protocol(settings_.self, *request.mutable_host());
    platform_.announce(
        request, settings_.call_timeout,
        [](const result<v1::AnnounceReply>&) {});
}

void fleet_sync::list_hosts()
{
    platform_.list_hosts(
        v1::ListHostsRequest(), settings_.call_timeout,
        [this](const result<v1::ListHostsReply>& reply)
        {
            if (!reply)
            {
                return;
            }
            std::vector<host_entry> entries;
            for (const auto& host : reply->hosts())
            {
                if (host.state() != v1::HOST_GONE)
                {
                    entries.push_back(from_protocol(host));
                    peers_.set_address(host.name(), host.peer_address());
                }
            }
            hosts_.on_listed(entries, clock::now());
        });
}

// Relay

void fleet_sync::sync_with_peers(time_point now)
{
    const auto plan = planner_.next(
        hosts_,
        {owners_.is_delegate(now),
         owners_.delegate_of(settings_.self.failure_domain),
         configuration_.confirmed_at()},
        now);
    configuration_.set_watching(plan.watch_platform);
    for (const auto& host : plan.hosts)
    {
        sync_with(host, now);
    }
}

void fleet_sync::sync_with(const std::string& host, time_point now)
{
    v1::SyncRequest request;
    to_protocol(settings_.self, *request.mutable_sender());
    request.set_known_revision(configuration_.revision());
    request.set_owners_wanted(owners_.is_table_stale(now));
    reports_.on_report(own_report_(), now);
    for (const auto& report : reports_.reports(now))
    {
        // Reports are exchanged only within a failure domain.
        if (report.failure_domain == settings_.self.failure_domain)
        {
            to_protocol(report, *request.add_reports());
        }
    }
    peers_.sync(
        host, std::move(request), settings_.call_timeout,
        [this, host, sent_at = now](const result<v1::SyncReply>& reply)
        { on_sync_reply(host, reply, sent_at); });
}

void fleet_sync::on_sync_reply(
    const std::string& host, const result<v1::SyncReply>& reply,
    time_point sent_at)
{
    const auto now = clock::now();
    if (!reply)
    {
        hosts_.on_unresponsive(host, now);
        return;
    }
    hosts_.on_reported(from_protocol(reply->responder()), now);
    configuration_.on_relay_reply(*reply, sent_at);
    // A table that was recently read from the platform is newer than the
    // peer's.
    if (owners_.is_table_stale(now))
    {
        owners_.on_owners_received(reply->owners());
    }
    if (reply->revision() > 0 && reply->revision() >= configuration_.revision())
    {
        planner_.on_current_reply(
            sent_at, std::chrono::milliseconds(reply->configuration_age_ms()));
    }
}

v1::SyncReply
fleet_sync::on_sync(const v1::SyncRequest& request, time_point now)
{
    const auto sender = from_protocol(request.sender());
    hosts_.on_reported(sender, now);
    peers_.set_address(sender.name, sender.peer_address);
    for (const auto& report : request.reports())
    {
        // The delegate of another failure domain reports its own hosts.
        if (report.failure_domain() == settings_.self.failure_domain)
        {
            reports_.on_report(from_protocol(report), now);
        }
    }
    auto reply = configuration_.changes_for(request.known_revision());
    to_protocol(settings_.self, *reply.mutable_responder());
    if (request.owners_wanted())
    {
        *reply.mutable_owners() = owners_.known_owners(now);
    }
    return reply;
}

// Observed state

void fleet_sync::write_domain_report(time_point now)
{
    v1::DomainReport report;
    report.set_failure_domain(settings_.self.failure_domain);
    report.set_delegate(settings_.self.name);
    reports_.on_report(own_report_(), now);
    for (const auto& host : reports_.reports(now))
    {
        to_protocol(host, *report.add_hosts());
    }
    // Ages change all the time and are left out of the comparison, except
    // whether the configuration was confirmed recently.
    auto content = report;
    for (auto& host : *content.mutable_hosts())
    {
        host.clear_report_age_ms();
        const bool confirmed = host.configuration_age_ms() < 5000;
        host.set_configuration_age_ms(confirmed ? 0 : 1);
    }
    auto fingerprint = content.SerializeAsString();
    if (fingerprint == last_written_report_ &&
        now - last_written_at_ < domain_report_refresh)
    {
        return;
    }
    last_written_report_ = std::move(fingerprint);
    last_written_at_ = now;
    report.set_written_at_ms(wall_clock_ms());
    put_domain_report(report.SerializeAsString(), report_revision_);
}

void fleet_sync::put_domain_report(std::string value, std::uint64_t revision)
{
    const auto key =
        kv::key_of(kv::observed_prefix, settings_.self.failure_domain);
    v1::PutRequest request;
    request.set_key(key);
    request.set_value(std::move(value));
    request.set_expected_revision(revision);
    report_write_pending_ = true;
    platform_.put(
        request, settings_.call_timeout,
        [this, key](const result<v1::PutReply>& reply)
        {
            if (reply)
            {
                report_write_pending_ = false;
                report_revision_ = reply->revision();
                return;
            }
            // Another delegate has written the key, or the reply was lost.
            last_written_report_.clear();
            v1::GetRequest read;
            read.set_key(key);
            platform_.get(
                read, settings_.call_timeout,
                [this](const result<v1::GetReply>& current)
                {
                    report_write_pending_ = false;
                    if (current)
                    {
                        report_revision_ = current->entry().revision();
                    }
                    else if (current.error().code == errc::not_found)
                    {
                        report_revision_ = 0;
                    }
                });
        });
}

} // namespace zinniahub::control
