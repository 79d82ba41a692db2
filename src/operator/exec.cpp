#include "operator/exec.hpp"

#include "zinniahub/v1/caller.grpc.pb.h"

#include <fmt/format.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <chrono>
#include <memory>

namespace zinniahub::commands
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr milliseconds connect_timeout{1000};

/// Default of limits.max_deadline_ms of a proxy.
constexpr milliseconds default_max_deadline{30000};

/// Time allowed for the reply to arrive after the deadline of a request.
constexpr milliseconds reply_margin{1000};

constexpr int max_receive_bytes = 64 * 1024 * 1024;

struct step
{
    v1::Operation operation;
    std::string text;
};

std::vector<step> steps_of(const exec_plan& plan)
{
    std::vector<step> steps;
    if (plan.transaction)
        steps.push_back({v1::OPERATION_BEGIN, {}});
    for (const auto& statement : plan.statements)
        steps.push_back({v1::OPERATION_STATEMENT, statement});
    if (plan.transaction)
        steps.push_back({v1::OPERATION_COMMIT, {}});
    return steps;
}

verdict verdict_of_reply(v1::Verdict value)
{
    switch (value)
    {
    case v1::VERDICT_DONE:
        return verdict::done;
    case v1::VERDICT_NOT_RUN:
        return verdict::not_run;
    default:
        return verdict::unknown;
    }
}

exec_outcome failed_outcome(const step& request, errc code, std::string detail)
{
    exec_outcome outcome;
    outcome.operation = request.operation;
    outcome.statement = request.text;
    outcome.verdict = verdict_of(code);
    outcome.error_code = static_cast<std::uint32_t>(code);
    outcome.error_detail = std::move(detail);
    return outcome;
}

exec_outcome outcome_of(const step& request, const v1::Reply& reply)
{
    exec_outcome outcome;
    outcome.operation = request.operation;
    outcome.statement = request.text;
    outcome.verdict = verdict_of_reply(reply.verdict());
    outcome.error_code = reply.error_code();
    outcome.error_detail = reply.error_detail();
    for (const auto& row : reply.rows())
        outcome.rows.emplace_back(row.key(), row.value());
    outcome.served_by = reply.served_by();
    outcome.from_replica = reply.from_replica();
    return outcome;
}

/// @brief A stream to a proxy. Closing it rolls back an open transaction.
class proxy_session
{
public:
    /// @return nullptr if the proxy cannot be connected
    static std::unique_ptr<proxy_session>
    connect(const std::string& address, milliseconds limit);

    exec_outcome
    run(const exec_plan& plan, const step& request, std::string& token);

private:
    using stream = grpc::ClientReaderWriter<v1::Request, v1::Reply>;

    proxy_session(
        const std::shared_ptr<grpc::Channel>& channel, milliseconds limit);

    grpc::ClientContext context_;
    std::unique_ptr<v1::Proxy::Stub> stub_;
    std::unique_ptr<stream> stream_;
    std::uint64_t next_id_ = 1;
};

std::unique_ptr<proxy_session>
proxy_session::connect(const std::string& address, milliseconds limit)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(max_receive_bytes);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    const auto channel = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
    if (!channel->WaitForConnected(system_clock::now() + connect_timeout))
        return nullptr;
    return std::unique_ptr<proxy_session>(new proxy_session(channel, limit));
}

proxy_session::proxy_session(
    const std::shared_ptr<grpc::Channel>& channel, milliseconds limit)
    : stub_(v1::Proxy::NewStub(channel))
{
    context_.set_deadline(system_clock::now() + limit);
    stream_ = stub_->Session(&context_);
}

exec_outcome proxy_session::run(
    const exec_plan& plan, const step& request, std::string& token)
{
    v1::Request message;
    message.set_id(next_id_++);
    message.set_key(plan.key);
    message.set_group(plan.group);
    message.set_session_token(token);
    message.set_operation(request.operation);
    message.set_access(plan.read ? v1::ACCESS_READ : v1::ACCESS_WRITE);
    message.set_idempotent(plan.idempotent);
    message.set_deadline_ms(plan.deadline_ms);
    message.set_text(request.text);
    v1::Reply reply;
    // The request may have been sent even if Write fails.
    if (!stream_->Write(message) || !stream_->Read(&reply))
    {
        const auto status = stream_->Finish();
        // The proxy guarantees that the request was not run, see caller.proto.
        if (status.error_code() == grpc::StatusCode::ABORTED)
            return failed_outcome(
                request, errc::draining, status.error_message());
        return failed_outcome(
            request, errc::connection_lost,
            fmt::format(
                "status {}: {}", static_cast<int>(status.error_code()),
                status.error_message()));
    }
    if (reply.id() != message.id())
    {
        return failed_outcome(
            request, errc::reply_mismatch,
            fmt::format(
                "reply has id {}, expected {}", reply.id(), message.id()));
    }
    if (!reply.session_token().empty())
        token = reply.session_token();
    return outcome_of(request, reply);
}

/// @brief True if a request that was not run may succeed at another proxy.
bool can_retry_at_another_proxy(const exec_outcome& outcome)
{
    if (outcome.verdict != verdict::not_run)
        return false;
    const auto code = static_cast<errc>(outcome.error_code);
    switch (code)
    {
    // These failures concern only the host that answered.
    case errc::draining:
    case errc::failure_domain_out:
    case errc::configuration_expired:
    case errc::configuration_missing:
        return true;
    default:
        return is_transient(code);
    }
}

milliseconds time_limit(const exec_plan& plan, std::size_t steps)
{
    const auto deadline = plan.deadline_ms == 0
                              ? default_max_deadline
                              : milliseconds(plan.deadline_ms);
    return (deadline + reply_margin) * static_cast<int>(steps);
}

/// @brief Runs the steps from `first` on at one proxy.
std::vector<exec_outcome> run_at_proxy(
    const std::string& proxy, const exec_plan& plan,
    const std::vector<step>& steps, std::size_t first, std::string& token,
    const token_handler& on_token)
{
    const auto session =
        proxy_session::connect(proxy, time_limit(plan, steps.size() - first));
    std::vector<exec_outcome> outcomes;
    for (auto index = first; index < steps.size(); ++index)
    {
        const auto previous = token;
        auto outcome =
            session ? session->run(plan, steps[index], token)
                    : failed_outcome(
                          steps[index], errc::member_unreachable,
                          fmt::format("proxy {} cannot be connected", proxy));
        outcome.proxy = proxy;
        outcomes.push_back(std::move(outcome));
        if (token != previous)
            on_token(token);
        if (outcomes.back().verdict != verdict::done)
            break;
    }
    return outcomes;
}

} // namespace

std::vector<exec_outcome>
run_plan(const exec_plan& plan, const token_handler& on_token)
{
    const auto steps = steps_of(plan);
    auto token = plan.session_token;
    std::vector<exec_outcome> completed;
    for (std::size_t index = 0; index < plan.proxies.size(); ++index)
    {
        auto outcomes = run_at_proxy(
            plan.proxies[index], plan, steps, completed.size(), token,
            on_token);
        const bool last = index + 1 == plan.proxies.size();
        if (last || !can_retry_at_another_proxy(outcomes.back()))
        {
            std::move(
                outcomes.begin(), outcomes.end(),
                std::back_inserter(completed));
            return completed;
        }
        // A transaction is restarted; otherwise completed statements are kept.
        if (!plan.transaction)
        {
            outcomes.pop_back();
            std::move(
                outcomes.begin(), outcomes.end(),
                std::back_inserter(completed));
        }
    }
    return completed;
}

} // namespace zinniahub::commands
