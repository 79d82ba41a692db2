#include "serve/proxy_server.hpp"

#include "kv/keys.hpp"
#include "observability/log.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <grpcpp/health_check_service_interface.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace zinniahub::serve
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{50};
constexpr std::chrono::milliseconds slow_tick_interval{500};
constexpr std::size_t token_secret_bytes = 32;
constexpr std::chrono::milliseconds reply_margin{500};
constexpr int exit_ok = 0;
constexpr int exit_failure = 1;

std::uint64_t random_number()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

template<typename Strategy>
using strategy_factory = std::unique_ptr<Strategy> (*)();

traffic::traffic_policy make_policy(const settings::host_settings& values)
{
    // Indexed by the enumerations of the settings.
    constexpr strategy_factory<request_router> routers[] = {
        make_fresh_replica_router, make_primary_only_router};
    constexpr strategy_factory<commit_rule> rules[] = {
        make_majority_ack_rule, make_primary_ack_rule};
    constexpr strategy_factory<connection_strategy> connections[] = {
        make_shared_strategy, make_fixed_split_strategy};
    traffic::traffic_policy policy;
    policy.router = routers[static_cast<int>(values.routing.reads)]();
    policy.commit = rules[static_cast<int>(values.routing.commit)]();
    policy.connections =
        connections[static_cast<int>(values.routing.connections)]();
    policy.queue.max_per_customer = values.limits.queue_per_customer;
    policy.queue.max_total = values.limits.queue_total;
    policy.local_domain = values.host.failure_domain;
    return policy;
}

const rate_strategy& strategy_of(const settings::host_settings& values)
{
    return values.rates.strategy == settings::rates_strategy::static_split
               ? static_split_strategy()
               : pooled_strategy();
}

host_entry
self_of(const settings::host_settings& values, std::uint64_t incarnation)
{
    return {
        values.host.name, values.host.failure_domain, values.host.peer_address,
        incarnation, false};
}

/// Milliseconds since the epoch and a random part, so that a restarted host
/// has a greater incarnation than before.
std::uint64_t make_incarnation()
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return (static_cast<std::uint64_t>(now.count()) << 16U) |
           (random_number() & 0xffffU);
}

control::ownership::settings
ownership_settings(const settings::host_settings& values, host_entry self)
{
    control::ownership::settings out;
    out.planner.self = std::move(self);
    out.planner.seats = values.rates.seats;
    out.planner.shards = values.rates.shards;
    out.call_timeout = values.platform.call_timeout;
    out.planner.use_shards =
        values.rates.strategy != settings::rates_strategy::static_split;
    return out;
}

control::fleet_sync::settings
fleet_settings(const settings::host_settings& values, host_entry self)
{
    control::fleet_sync::settings out;
    out.self = std::move(self);
    out.sync_interval = values.relay.sync_interval;
    out.fan_out = values.relay.fan_out;
    out.call_timeout = values.platform.call_timeout;
    return out;
}

control::rate_control::settings
rate_settings(const settings::host_settings& values, std::uint64_t incarnation)
{
    control::rate_control::settings out;
    out.seats = values.rates.seats;
    out.shards = values.rates.shards;
    out.call_timeout = values.platform.call_timeout;
    out.host = values.host.name;
    out.incarnation = incarnation;
    return out;
}

drain_controller::settings drain_settings(const settings::host_settings& values)
{
    drain_controller::settings out;
    out.announce_time = values.drain.announce;
    out.finish_time = values.drain.limit;
    return out;
}

} // namespace

proxy_server::proxy_server(const settings::host_settings& values)
    : settings_(values)
    , incarnation_(make_incarnation())
    , signals_(io_, SIGTERM, SIGINT)
    , timer_(io_)
    , exit_timer_(io_)
    , traffic_(values.host.traffic_threads)
    , policy_(make_policy(values))
    , platform_(kv::async_platform_client::make(io_, values.platform.address))
    , peers_(io_, values.peer_routes)
    , configuration_(
          io_, *platform_, values.platform.call_timeout, metrics_,
          [this](desired_state_ptr desired)
          { on_configuration(std::move(desired)); })
    , owners_(
          *platform_, ownership_settings(values, self_of(values, incarnation_)))
    , fleet_(
          *platform_, peers_, configuration_, owners_,
          fleet_settings(values, self_of(values, incarnation_)),
          [this] { return make_report(); })
    , rates_(
          strategy_of(values), owners_, peers_,
          rate_settings(values, incarnation_))
    , peer_service_(
          io_, {[this](const v1::SyncRequest& request)
                { return fleet_.on_sync(request, clock::now()); },
                [this](const v1::TokensRequest& request)
                { return rates_.on_demand(request, clock::now()); }})
    , caller_service_(state_, settings_.limits, metrics_)
    , drain_(drain_settings(values))
{
}

int proxy_server::run()
{
    if (auto started = start_servers(); !started)
    {
        log::failure(
            "start_failed", "error={} detail={}",
            to_string(started.error().code), started.error().detail);
        return exit_failure;
    }
    log::info(
        "serving", "host={} failure_domain={} caller_address={}",
        settings_.host.name, settings_.host.failure_domain,
        settings_.host.caller_address);
    signals_.async_wait(
        [this](boost::system::error_code failure, int)
        {
            if (!failure)
            {
                on_signal();
            }
        });
    schedule_tick();
    io_.run();

    shut_down_servers();
    for (const auto& [name, group] : groups_)
    {
        group->stop();
    }
    traffic_.join();
    log::info("stopped", "host={}", settings_.host.name);
    return exit_ok;
}

void proxy_server::shut_down_servers()
{
    // Open peer calls are answered on io_. Without running it, the shutdown
    // would wait for them forever.
    io_.restart();
    const auto guard = boost::asio::make_work_guard(io_);
    std::thread shutdown(
        [this]
        {
            const auto limit =
                std::chrono::system_clock::now() + std::chrono::seconds(1);
            caller_server_->Shutdown(limit);
            peer_server_->Shutdown(limit);
            io_.stop();
        });
    io_.run();
    shutdown.join();
}

result<void> proxy_server::start_servers()
{
    auto metrics_server = metrics::metrics_server::start(
        io_, settings_.host.metrics_address, metrics_);
    if (!metrics_server)
    {
        return tl::make_unexpected(metrics_server.error());
    }
    metrics_server_ = std::move(*metrics_server);

    grpc::EnableDefaultHealthCheckService(true);
    grpc::ServerBuilder callers;
    callers.AddListeningPort(
        settings_.host.caller_address, grpc::InsecureServerCredentials());
    callers.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    callers.SetMaxReceiveMessageSize(
        static_cast<int>(settings_.limits.max_statement_bytes * 2 + 65536));
    callers.RegisterService(&caller_service_);
    caller_server_ = callers.BuildAndStart();

    grpc::ServerBuilder peers;
    peers.AddListeningPort(
        settings_.host.peer_address, grpc::InsecureServerCredentials());
    peers.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    peers.RegisterService(&peer_service_);
    peer_server_ = peers.BuildAndStart();
    if (!caller_server_ || !peer_server_)
    {
        return fail(errc::settings_range, "an address cannot be bound");
    }
    caller_server_->GetHealthCheckService()->SetServingStatus(false);
    return {};
}

void proxy_server::schedule_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](boost::system::error_code failure)
        {
            if (!failure && drain_.state() != drain_state::finished)
            {
                tick();
                schedule_tick();
            }
        });
}

void proxy_server::tick()
{
    const auto now = clock::now();
    owners_.tick(fleet_.live_snapshot(now), now);
    fleet_.tick(now);
    rates_.tick(now);
    for (const auto& [name, group] : groups_)
    {
        group->tick();
    }
    const auto valid_until =
        configuration_.confirmed_at() + settings_.limits.max_configuration_age;
    state_.configuration_valid_until.store(
        configuration_.is_loaded() ? valid_until.time_since_epoch().count()
                                   : 0);
    if (now >= next_slow_tick_)
    {
        next_slow_tick_ = now + slow_tick_interval;
        load_token_secret();
        update_ranks();
        update_loads();
        update_gauges();
    }
    perform(drain_.on_tick(
        now, state_.open_requests.load(), state_.open_transactions.load()));
}

// Configuration

void proxy_server::on_configuration(desired_state_ptr desired)
{
    desired_ = std::move(desired);
    const bool out =
        !desired_->domain_in_service(settings_.host.failure_domain);
    if (out != state_.domain_out_of_service.load())
    {
        log::info("failure_domain", "in_service={}", !out);
        state_.domain_out_of_service.store(out);
        update_health();
    }
    apply_groups();
    apply_customers();
    publish_snapshot();
}

void proxy_server::load_token_secret()
{
    if (codec_ || secret_requested_ || !desired_)
    {
        return;
    }
    secret_requested_ = true;
    v1::GetRequest request;
    request.set_key(std::string(kv::token_secret_key));
    platform_->get(
        request, settings_.platform.call_timeout,
        [this](const result<v1::GetReply>& reply)
        {
            secret_requested_ = false;
            if (reply)
            {
                on_token_secret(reply->entry().value());
            }
            else if (reply.error().code == errc::not_found)
            {
                create_token_secret();
            }
        });
}

void proxy_server::create_token_secret()
{
    std::string secret;
    std::random_device source;
    while (secret.size() < token_secret_bytes)
    {
        secret.push_back(static_cast<char>(source()));
    }
    v1::PutRequest request;
    request.set_key(std::string(kv::token_secret_key));
    request.set_value(secret);
    secret_requested_ = true;
    // Another host may create the secret at the same time; the next read
    // returns the one that was stored.
    platform_->put(
        request, settings_.platform.call_timeout,
        [this](const result<v1::PutReply>&) { secret_requested_ = false; });
}

void proxy_server::on_token_secret(const std::string& secret)
{
    auto codec = token_codec::make(secret);
    if (!codec)
    {
        log::failure("token_secret", "detail={}", codec.error().detail);
        return;
    }
    codec_ = std::make_shared<const token_codec>(std::move(*codec));
    publish_snapshot();
    update_health();
    log::info("ready", "host={}", settings_.host.name);
}

/// Load balancers use the health status to send new requests only to proxies
/// that accept them.
void proxy_server::update_health()
{
    caller_server_->GetHealthCheckService()->SetServingStatus(
        codec_ && !state_.domain_out_of_service.load() &&
        drain_.state() == drain_state::serving);
}

std::string proxy_server::address_of(const member_resource& member) const
{
    const auto& routes = settings_.member_routes;
    const auto route = std::find_if(
        routes.begin(), routes.end(),
        [&](const settings::member_route& candidate)
        { return candidate.member == member.name; });
    return route == routes.end() ? member.address : route->address;
}

group_definition proxy_server::definition_of(const group_resource& group) const
{
    group_definition definition;
    definition.name = group.name;
    definition.uid = group.uid;
    for (const auto& member : group.members)
    {
        const bool in_service = !member.leaving && desired_->domain_in_service(
                                                       member.failure_domain);
        definition.members.push_back(
            {member.name, address_of(member), member.failure_domain,
             in_service});
    }
    return definition;
}

std::shared_ptr<control::group_control>
proxy_server::make_group(const group_resource& group)
{
    auto traffic = std::make_shared<traffic::group_traffic>(
        traffic_, policy_, metrics_, group.uid, group.name);
    traffic->start();
    traffic->set_host_count(static_cast<std::uint32_t>(live_hosts_));
    promotion_settings promotion;
    promotion.candidate = incarnation_;
    promotion.seed = incarnation_ ^ group.uid;
    control::group_control::declared_addresses addresses;
    for (const auto& member : group.members)
    {
        addresses[member.name] = member.address;
    }
    auto made = control::group_control::make(
        io_, definition_of(group), std::move(addresses), promotion,
        std::move(traffic));
    if (!made)
    {
        log::warning("invalid_group", "group={}", group.name);
        return nullptr;
    }
    return std::move(*made);
}

void proxy_server::apply_groups()
{
    std::erase_if(
        groups_,
        [this](const auto& item)
        {
            const auto* group = desired_->group(item.first);
            const bool keep =
                group != nullptr && group->uid == item.second->traffic()->uid();
            if (!keep)
            {
                item.second->stop();
            }
            return !keep;
        });
    for (const auto& [name, group] : desired_->groups)
    {
        const auto found = groups_.find(name);
        if (found == groups_.end())
        {
            if (auto made = make_group(group))
            {
                groups_.emplace(name, std::move(made));
            }
            continue;
        }
        control::group_control::declared_addresses addresses;
        for (const auto& member : group.members)
        {
            addresses[member.name] = member.address;
        }
        found->second->set_definition(
            definition_of(group), std::move(addresses));
    }
    update_ranks();
}

void proxy_server::apply_customers()
{
    std::erase_if(
        customers_, [this](const auto& item)
        { return desired_->customer(item.first) == nullptr; });
    for (const auto& [name, customer] : desired_->customers)
    {
        auto& admission = customers_[name];
        if (!admission)
        {
            admission = std::make_shared<traffic::customer_admission>(
                traffic_, name, settings_.limits.token_wait, metrics_);
        }
    }
    rates_.set_customers(*desired_, customers_);
}

void proxy_server::publish_snapshot()
{
    if (!codec_ || !desired_)
    {
        return;
    }
    boost::intrusive_ptr<traffic_snapshot> snapshot(new traffic_snapshot);
    snapshot->desired = desired_;
    snapshot->codec = codec_;
    for (const auto& [name, group] : groups_)
    {
        snapshot->groups.emplace(name, group->traffic());
    }
    snapshot->customers.insert(customers_.begin(), customers_.end());
    state_.snapshot.store(snapshot);
}

// Reports

host_report proxy_server::make_report()
{
    host_report report;
    report.host = settings_.host.name;
    report.failure_domain = settings_.host.failure_domain;
    report.incarnation = incarnation_;
    report.applied_revision = configuration_.applied_revision();
    report.configuration_age = clock::now() - configuration_.confirmed_at();
    report.draining = drain_.state() != drain_state::serving;
    std::map<std::string, std::uint32_t> open;
    for (const auto& [name, group] : groups_)
    {
        const auto& view = group->view();
        group_report item;
        item.group = name;
        item.term = view.term;
        item.writable = policy_.router->choose_write(view).has_value();
        if (view.primary != no_member)
        {
            item.primary = view.members[view.primary].name;
        }
        for (const auto& member : view.members)
        {
            if (!member.reachable)
            {
                item.unreachable.push_back(member.name);
            }
        }
        report.groups.push_back(std::move(item));
        for (const auto& [member_name, load] : loads_[name])
        {
            const auto& member = member_name;
            const auto found = std::find_if(
                view.members.begin(), view.members.end(),
                [&member](const member_view& candidate)
                { return candidate.name == member; });
            if (load > 0 && found != view.members.end() && !found->in_service)
            {
                open["group/" + name] += load;
                open["domain/" + found->failure_domain] += load;
            }
        }
    }
    if (state_.domain_out_of_service.load())
    {
        open["domain/" + settings_.host.failure_domain] +=
            static_cast<std::uint32_t>(
                state_.open_requests.load() + state_.open_transactions.load());
    }
    for (const auto& [resource, requests] : open)
    {
        if (requests > 0)
        {
            report.loads.push_back({resource, requests});
        }
    }
    return report;
}

void proxy_server::update_loads()
{
    for (const auto& [name, group] : groups_)
    {
        group->traffic()->collect_loads(
            [this, name = name](auto loads)
            {
                boost::asio::post(
                    io_, [this, name, loads = std::move(loads)]() mutable
                    { loads_[name] = std::move(loads); });
            });
    }
}

void proxy_server::update_gauges()
{
    metrics_.set_gauge(
        "zinniahub_configuration_revision",
        static_cast<double>(configuration_.revision()));
    metrics_.set_gauge(
        "zinniahub_configuration_age_seconds",
        to_seconds(clock::now() - configuration_.confirmed_at()));
    metrics_.set_gauge(
        "zinniahub_live_hosts", static_cast<double>(live_hosts_));
    metrics_.set_gauge(
        "zinniahub_open_requests",
        static_cast<double>(state_.open_requests.load()));
    metrics_.set_gauge(
        "zinniahub_open_transactions",
        static_cast<double>(state_.open_transactions.load()));
    for (const auto& [name, group] : groups_)
    {
        metrics_.set_gauge(
            fmt::format(
                "zinniahub_group_term{{group=\"{}\"}}",
                metrics::escape_label(name)),
            static_cast<double>(group->view().term));
    }
}

void proxy_server::update_ranks()
{
    std::vector<std::string> names;
    const auto live = fleet_.live_snapshot(clock::now());
    for (const auto& host : *live)
    {
        if (!host.leaving)
        {
            names.push_back(host.name);
        }
    }
    const auto hosts = std::max<std::size_t>(1, names.size());
    for (const auto& [name, group] : groups_)
    {
        group->set_rank(
            rank_of(group->traffic()->uid(), names, settings_.host.name));
        if (hosts != live_hosts_)
        {
            group->traffic()->set_host_count(static_cast<std::uint32_t>(hosts));
        }
    }
    live_hosts_ = hosts;
}

// Planned stop

void proxy_server::on_signal()
{
    log::info("drain", "host={}", settings_.host.name);
    perform(drain_.on_signal(clock::now()));
    if (const auto end = drain_.stops_at())
    {
        // Leaves time to send the last replies.
        state_.latest_deadline.store(
            (*end - reply_margin).time_since_epoch().count());
    }
}

void proxy_server::perform(const std::vector<drain_action>& actions)
{
    for (const auto action : actions)
    {
        switch (action)
        {
        case drain_action::announce_leaving:
            fleet_.set_leaving();
            break;
        case drain_action::set_not_serving:
            update_health();
            break;
        case drain_action::refuse_new:
            state_.refuses_new_requests.store(true);
            break;
        case drain_action::hand_over:
            owners_.release();
            break;
        case drain_action::exit:
            caller_service_.end_sessions();
            // Leaves time for the handover calls to finish and for the end of
            // the streams to reach the callers.
            exit_timer_.expires_after(settings_.platform.call_timeout);
            exit_timer_.async_wait([this](boost::system::error_code)
                                   { io_.stop(); });
            break;
        }
    }
}

} // namespace zinniahub::serve
