#include "coordination/promotion_coordinator.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(50);

/// A status takes a slot for less than a millisecond.
constexpr duration status_timeout = std::chrono::milliseconds(350);
constexpr duration connect_timeout = std::chrono::milliseconds(350);

/// Name under which status connections are opened.
constexpr std::string_view control_customer = "zinniahub";

std::int64_t to_ms(duration value)
{
    return value / std::chrono::milliseconds(1);
}

/// @param code result of an order; zero if it was accepted
promotion_result outcome_of(errc code)
{
    if (code == errc{})
    {
        return promotion_result::accepted;
    }
    const bool not_executed =
        code == errc::conflict || code == errc::platform_rate_limited;
    return not_executed ? promotion_result::refused : promotion_result::unknown;
}

} // namespace

/// Connection for status queries and pauses, with at most one call in
/// progress.
class promotion_coordinator::member_control
{
public:
    std::unique_ptr<pooling::member_connection> link;
    bool busy = false;
    /// Command to send after the one in progress.
    std::optional<pooling::command> queued_command;
    /// Term for which replication was last seen paused; 0 if it was not.
    std::uint64_t paused_term = 0;
};

promotion_coordinator::service_state::service_state(
    failover_planner::settings values)
    : planner(values)
{
}
promotion_coordinator::service_state::~service_state() = default;

promotion_coordinator::promotion_coordinator(
    asio::io_context& io, store& target, promotion_api& platform,
    pooling::member_connector& connector, member_relay& relay,
    hold_channel& holds, const upstream_directory& directory, settings values,
    log::event_log& events)
    : io_(io)
    , store_(target)
    , platform_(platform)
    , connector_(connector)
    , relay_(relay)
    , holds_(holds)
    , directory_(directory)
    , settings_(std::move(values))
    , events_(events)
    , duty_(
          io, target,
          {.host = settings_.host, .return_delay = settings_.return_delay},
          duty_handlers(), events)
{
    relay_.set_handler(
        [this](
            const relayed_command& value, const replication_status& status,
            time_point asked_at)
        { on_relayed_status(value, status, asked_at); });
    holds_.set_handler(
        [this](std::string_view service, const hold_answer& answer)
        { on_hold_answer(service, answer); });
}

promotion_coordinator::~promotion_coordinator() = default;

void promotion_coordinator::start()
{
    duty_.start();
    asio::co_spawn(io_, run_planner(), asio::detached);
}

duty_lease::handlers promotion_coordinator::duty_handlers()
{
    return {
        .may_claim = [this] { return configuration_ != nullptr; },
        .on_taken = [this] { on_duty_taken(); },
        .prepare = [this] { return load_groups(); },
        .on_lost = [this] { services_.clear(); }};
}

void promotion_coordinator::on_duty_taken()
{
    services_.clear();
    groups_loaded_ = false;
    events_.write(
        "duty_taken", {{"lease", duty_.lease()},
                       {"revision", duty_.revision()},
                       {"members", directory_.members().size()}});
}

bool promotion_coordinator::is_urgent() const
{
    return duty_.has_lease() && std::any_of(
                                    services_.begin(), services_.end(),
                                    [](const auto& entry) {
                                        return entry.second.planner.is_urgent();
                                    });
}

awaitable<void> promotion_coordinator::run_planner()
{
    asio::steady_timer timer(io_);
    while (true)
    {
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = clock::now();
        if (!is_leader(now) || configuration_ == nullptr || !groups_loaded_)
        {
            continue;
        }
        update_hosts();
        for (const auto& [name, definition] : configuration_->services)
        {
            plan_service(definition, state_of(name), now);
        }
    }
}

void promotion_coordinator::update_hosts()
{
    auto hosts = holds_.hosts();
    if (hosts == hosts_)
    {
        return;
    }
    hosts_ = std::move(hosts);
    for (auto& [name, service] : services_)
    {
        service.planner.on_hosts(hosts_, clock::now());
    }
}

void promotion_coordinator::plan_service(
    const service_definition& definition, service_state& service,
    time_point now)
{
    update_group(definition, service, now);
    service.planner.on_members(
        planner_members(service.group.group()), definition.sync_replicas);
    for (const auto& step : service.planner.on_tick(now))
    {
        execute_step(definition.name, service, step);
    }
    log_state_change(definition.name, service, now);
}

void promotion_coordinator::log_state_change(
    const std::string& name, service_state& service, time_point now)
{
    const auto state = service.planner.state();
    if (state == service.last_state)
    {
        return;
    }
    const auto basis = service.planner.summary(now);
    events_.write(
        "failover_state",
        {{"service", name},
         {"from", service.last_state},
         {"to", state},
         {"reason", service.planner.reason()},
         {"candidate", basis.candidate},
         {"position", to_string(basis.candidate_position)},
         {"known", basis.known},
         {"answered", basis.answered},
         {"paused", basis.paused},
         {"farthest_paused", to_string(basis.farthest_paused)},
         {"oldest_status_ms", to_ms(basis.oldest_status)}});
    service.last_state = state;
}

void promotion_coordinator::log_order_basis(
    const std::string& service, const std::string& ordered,
    const std::vector<failover_member_report>& members)
{
    for (const auto& member : members)
    {
        const auto status = member.status.value_or(replication_status{});
        events_.write(
            "promotion_basis", {{"service", service},
                                {"ordered", ordered},
                                {"instance", member.instance},
                                {"answered", member.status.has_value()},
                                {"primary", status.primary},
                                {"term", status.term},
                                {"received", to_string(status.received)},
                                {"paused_term", status.paused_term},
                                {"status_age_ms", to_ms(member.status_age)},
                                {"registered", member.registered},
                                {"leaving", member.leaving},
                                {"exited", member.has_exited}});
    }
}

void promotion_coordinator::log_replication(
    const std::string& service, const std::string& instance,
    member_control& control, const replication_status& status)
{
    if (status.paused_term == control.paused_term)
    {
        return;
    }
    control.paused_term = status.paused_term;
    events_.write(
        status.paused_term > 0 ? "replication_paused" : "replication_resumed",
        {{"service", service},
         {"instance", instance},
         {"term", status.paused_term},
         {"received", to_string(status.received)}});
}

promotion_coordinator::service_state&
promotion_coordinator::state_of(const std::string& service)
{
    failover_planner::settings values;
    values.tokens_checked = settings_.tokens_checked;
    const auto [found, is_new] = services_.try_emplace(service, values);
    if (is_new)
    {
        found->second.planner.reset(duty_.taken_revision());
        found->second.planner.on_hosts(hosts_, clock::now());
    }
    return found->second;
}

promotion_coordinator::member_control&
promotion_coordinator::member_control_for(
    service_state& service, const std::string& instance)
{
    auto& control = service.members[instance];
    if (control == nullptr)
    {
        control = std::make_unique<member_control>();
    }
    return *control;
}

void promotion_coordinator::execute_step(
    const std::string& name, service_state& service, const failover_step& step)
{
    if (const auto* value =
            std::get_if<failover_action::order_promotion>(&step))
    {
        asio::co_spawn(io_, send_order(name, *value), asio::detached);
        return;
    }
    if (const auto* value =
            std::get_if<failover_action::hold_acknowledgements>(&step))
    {
        holds_.send(name, value->request, value->hosts);
        return;
    }
    pooling::command command{.kind = pooling::command_kind::status};
    std::string instance;
    bool through_hosts = false;
    if (const auto* query = std::get_if<failover_action::query>(&step))
    {
        instance = query->instance;
        through_hosts = query->through_hosts;
    }
    else if (
        const auto* hold =
            std::get_if<failover_action::pause_replication>(&step))
    {
        instance = hold->instance;
        command = {.kind = pooling::command_kind::pause, .term = hold->term};
    }
    else if (
        const auto* release =
            std::get_if<failover_action::resume_replication>(&step))
    {
        instance = release->instance;
        command = {.kind = pooling::command_kind::resume};
    }
    else if (
        const auto* demotion = std::get_if<failover_action::step_down>(&step))
    {
        instance = demotion->instance;
        through_hosts = demotion->through_hosts;
        command = {
            .kind = pooling::command_kind::step_down, .term = demotion->term};
        events_.write(
            "step_down_requested", {{"service", name},
                                    {"instance", instance},
                                    {"term", demotion->term},
                                    {"through_hosts", through_hosts}});
    }
    if (through_hosts)
    {
        relay_.send(
            {.service = name,
             .instance = instance,
             .kind = command.kind,
             .term = command.term});
        return;
    }
    auto& control = member_control_for(service, instance);
    if (control.busy)
    {
        if (command.kind != pooling::command_kind::status)
        {
            control.queued_command = command;
        }
        return;
    }
    asio::co_spawn(io_, run_on_member(name, instance, command), asio::detached);
}

void promotion_coordinator::on_relayed_status(
    const relayed_command& value, const replication_status& status,
    time_point asked_at)
{
    const auto found = services_.find(value.service);
    if (found == services_.end() || !is_leader(clock::now()))
    {
        return;
    }
    if (value.kind == pooling::command_kind::step_down)
    {
        events_.write(
            "step_down_answered", {{"service", value.service},
                                   {"instance", value.instance},
                                   {"term", value.term},
                                   {"primary", status.primary}});
    }
    found->second.planner.on_relayed_status(value.instance, status, asked_at);
}

void promotion_coordinator::on_hold_answer(
    std::string_view service, const hold_answer& answer)
{
    const auto found = services_.find(service);
    const auto now = clock::now();
    if (found != services_.end() && is_leader(now))
    {
        found->second.planner.on_hold_answer(answer, now);
    }
}

awaitable<void> promotion_coordinator::run_on_member(
    std::string service, std::string instance, pooling::command value)
{
    const auto& members = state_of(service).group.group().members;
    const auto found = members.find(instance);
    if (found == members.end())
    {
        co_return;
    }
    const pooling::member_address target{
        service, found->second.address, instance,
        std::string(control_customer)};
    const auto epoch = duty_.epoch();
    auto* control = &member_control_for(state_of(service), instance);
    control->busy = true;
    // The call owns the connection until it ends, because the duty may be
    // lost in the meantime.
    auto link = std::move(control->link);
    bool refused = false;
    bool is_full = false;
    if (link == nullptr || !link->is_open())
    {
        auto opened = co_await connector_.connect(target, connect_timeout);
        if (opened)
        {
            link = std::move(*opened);
        }
        else
        {
            // Nothing listens at the address, or another member does.
            refused = opened.error().cause ==
                          pooling::connect_failure::reason::refused ||
                      opened.error().code == pooling::reply_code::misrouted;
            is_full = opened.error().code == pooling::reply_code::too_many;
            link.reset();
        }
    }
    const auto sent_at = clock::now();
    result<pooling::reply> answer = fail(errc::member_unreachable);
    if (link != nullptr)
    {
        answer = co_await link->run(value, status_timeout);
    }
    const auto now = clock::now();
    if (epoch != duty_.epoch() || !services_.contains(service))
    {
        co_return;
    }
    auto& state = state_of(service);
    control = &member_control_for(state, instance);
    control->busy = false;
    control->link = std::move(link);
    if (answer && answer->ok() && answer->status_row)
    {
        log_replication(service, instance, *control, *answer->status_row);
        state.planner.on_status(instance, *answer->status_row, sent_at, now);
    }
    else if (!answer && !is_full)
    {
        // A member that has too many connections is running.
        state.planner.on_no_status(instance, refused, now);
    }
    if (control->queued_command && is_leader(now))
    {
        const auto next = *control->queued_command;
        control->queued_command.reset();
        asio::co_spawn(
            io_, run_on_member(service, instance, next), asio::detached);
    }
}

awaitable<result<std::uint64_t>> promotion_coordinator::fencing_token_for(
    service_state& service, const std::string& instance)
{
    const bool unused = service.fencing_token != duty_.revision();
    const bool repeated =
        service.fencing_token != 0 && service.ordered_instance == instance;
    if (unused || repeated)
    {
        // The token was not used for this service, or for the same order.
        service.fencing_token =
            unused ? duty_.revision() : service.fencing_token;
        service.ordered_instance = instance;
        co_return service.fencing_token;
    }
    const auto epoch = duty_.epoch();
    const auto written = co_await duty_.renew_token();
    if (written && epoch == duty_.epoch() && duty_.has_lease())
    {
        service.fencing_token = *written;
        service.ordered_instance = instance;
    }
    co_return written;
}

awaitable<void>
promotion_coordinator::wait_for_hosts(const std::string& service)
{
    const auto delay = state_of(service).planner.record_delay(clock::now());
    if (delay == duration::zero())
    {
        co_return;
    }
    asio::steady_timer timer(io_);
    timer.expires_after(delay);
    co_await timer.async_wait(asio::use_awaitable);
}

awaitable<void> promotion_coordinator::send_order(
    std::string service, failover_action::order_promotion value)
{
    const auto epoch = duty_.epoch();
    const bool recorded = co_await record_order(service, value.instance);
    if (epoch != duty_.epoch())
    {
        co_return;
    }
    result<std::uint64_t> token = fail(errc::platform_unavailable);
    if (recorded)
    {
        co_await wait_for_hosts(service);
    }
    if (epoch != duty_.epoch())
    {
        co_return;
    }
    if (recorded)
    {
        token = co_await fencing_token_for(state_of(service), value.instance);
    }
    if (epoch != duty_.epoch())
    {
        co_return;
    }
    // The members or the duty may have changed during the calls of the store.
    const auto now = clock::now();
    auto& planner = state_of(service).planner;
    const bool justified = planner.is_order_justified(value.instance, now);
    if (!token || !justified || !is_leader(now))
    {
        events_.write(
            "promotion_not_ordered", {{"service", service},
                                      {"instance", value.instance},
                                      {"recorded", recorded},
                                      {"token", token ? *token : 0},
                                      {"justified", justified}});
        planner.on_promotion_result(promotion_result::refused, now);
        co_return;
    }
    const auto basis = planner.summary(now);
    log_order_basis(service, value.instance, planner.member_reports(now));
    ++orders_sent_;
    const auto answer = co_await platform_.promote(
        service, value.instance, settings_.host, *token);
    const auto code = answer ? errc{} : answer.error().code;
    const auto outcome = outcome_of(code);
    events_.write(
        "promotion_ordered",
        {{"service", service},
         {"instance", value.instance},
         {"token", *token},
         {"outcome", static_cast<int>(outcome)},
         {"error", code == errc{} ? "" : to_string(code)},
         {"position", to_string(basis.candidate_position)},
         {"known", basis.known},
         {"answered", basis.answered},
         {"paused", basis.paused},
         {"farthest_paused", to_string(basis.farthest_paused)},
         {"oldest_status_ms", to_ms(basis.oldest_status)},
         {"hosts", basis.hosts},
         {"promised", basis.promised},
         {"acknowledged", to_string(basis.acknowledged)}});
    const auto found = services_.find(service);
    if (found != services_.end() && epoch == duty_.epoch())
    {
        found->second.planner.on_promotion_result(outcome, clock::now());
    }
}

} // namespace zinniahub::coordination
