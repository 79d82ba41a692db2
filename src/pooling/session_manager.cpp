#include "pooling/session_manager.hpp"

#include "pooling/client_session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <exception>
#include <string>
#include <vector>

namespace zinniahub::pooling
{

namespace asio = boost::asio;

namespace
{

/// Members of a silent failure domain that are tried: a connection takes a slot
/// of the member while it is set up.
constexpr std::size_t max_tried_members = 4;
constexpr std::size_t max_tried_members_of_service = 2;

std::string describe(const std::exception_ptr& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& error)
    {
        return error.what();
    }
    catch (...)
    {
        return "unknown exception";
    }
}

} // namespace

session_manager::session_manager(
    asio::io_context& io, member_connector& connector,
    const upstream_directory& directory, admission& admission_control,
    position_exchange& positions, log::event_log& events,
    metrics::registry& metrics_registry)
    : io_(io)
    , connector_(connector)
    , directory_(directory)
    , admission_(admission_control)
    , positions_(positions)
    , events_(events)
    , replies_(events, metrics_registry)
{
}

session_manager::~session_manager() = default;

void session_manager::on_configuration(configuration_ptr configuration)
{
    if (configuration_ != nullptr &&
        configuration->version <= configuration_->version)
    {
        return;
    }
    events_.write(
        "configuration_applied",
        {{"version", configuration->version},
         {"routes", configuration->routes.size()},
         {"services", configuration->services.size()},
         {"customers", configuration->customers.size()},
         {"unreadable", configuration->unreadable}});
    configuration_ = std::move(configuration);
    update_gateways();
}

void session_manager::set_hosts(
    std::string own, const std::set<std::string>& hosts)
{
    if (!idle_budget_.set_hosts(std::move(own), {hosts.begin(), hosts.end()}))
    {
        return;
    }
    events_.write(
        "idle_budget_changed", {{"hosts", idle_budget_.host_count()},
                                {"registered", idle_budget_.is_registered()}});
    update_gateways();
}

void session_manager::update_gateways()
{
    if (configuration_ == nullptr)
    {
        return;
    }
    const std::string customer = configuration_->customers.empty()
                                     ? std::string{}
                                     : configuration_->customers.begin()->first;
    for (const auto& [name, definition] : configuration_->services)
    {
        gateway(name).set_definition(definition, idle_budget_, customer);
    }
}

service_gateway& session_manager::gateway(const std::string& service)
{
    auto& found = gateways_[service];
    if (found == nullptr)
    {
        found = std::make_unique<service_gateway>(
            io_, connector_, directory_, service_definition{service},
            positions_, events_, first_rotation_);
        if (proof_required_)
        {
            found->require_primary_proof();
        }
    }
    return *found;
}

std::string session_manager::customer_for_key(
    const route& where, std::string_view key) const
{
    const auto* customer = configuration_->keys.customer_of(key);
    if (customer != nullptr)
    {
        return *customer;
    }
    return where.is_public ? "public" : std::string{};
}

void session_manager::serve(
    std::shared_ptr<client_stream> stream, const route& where,
    std::string customer, std::string key)
{
    auto session = std::make_shared<client_session>(
        *this, std::move(stream), where.database, std::move(customer),
        std::move(key));
    sessions_.push_back(*session);
    asio::co_spawn(
        io_, session->run(),
        [this, session](const std::exception_ptr& failure)
        {
            if (failure)
            {
                events_.write(
                    "session_failed", {{"detail", describe(failure)}});
            }
        });
}

bool has_begun_to_run(const result<reply>& answer)
{
    if (!answer)
    {
        const auto code = answer.error().code;
        return code != errc::statement_too_large &&
               code != errc::request_invalid;
    }
    return answer->ok() || answer->code == reply_code::failed ||
           answer->code == reply_code::timeout;
}

bool session_manager::count_usage(
    const result<reply>& answer, std::string_view customer, time_point sent_at)
{
    const bool has_begun = has_begun_to_run(answer);
    if (usage_sink_ != nullptr && has_begun)
    {
        usage_sink_->on_operation(customer, sent_at);
    }
    return has_begun;
}

void session_manager::close_idle_sessions()
{
    closing_ = true;
    for (auto& session : sessions_)
    {
        if (session.is_idle())
        {
            session.interrupt();
        }
    }
}

void session_manager::end_transactions()
{
    ending_transactions_ = true;
    for (auto& session : sessions_)
    {
        if (session.is_idle_in_transaction())
        {
            session.interrupt();
        }
    }
}

service_gateway::member_counts session_manager::count_members() const
{
    service_gateway::member_counts total;
    for (const auto& [name, entry] : gateways_)
    {
        const auto part = entry->count_members();
        total.members += part.members;
        total.unreachable += part.unreachable;
    }
    return total;
}

std::map<std::string, time_point, std::less<>>
session_manager::answer_times() const
{
    std::map<std::string, time_point, std::less<>> times;
    for (const auto& [name, entry] : gateways_)
    {
        entry->add_answer_times(times);
    }
    return times;
}

void session_manager::try_members(std::string_view domain)
{
    auto left = max_tried_members;
    for (const auto& [name, entry] : gateways_)
    {
        left -= entry->try_members(
            domain, std::min(left, max_tried_members_of_service));
    }
}

void session_manager::on_tick()
{
    for (auto& [name, entry] : gateways_)
    {
        entry->on_tick();
    }
}

} // namespace zinniahub::pooling
