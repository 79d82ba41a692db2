#include "support/caller.hpp"

#include <utility>

namespace zinniahub::test
{

namespace
{

verdict from_protocol(v1::Verdict value)
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

/// Same value as `zinniahub exec`.
constexpr std::chrono::milliseconds connect_timeout{1000};

/// @return false if the proxy refuses the connection or the time is over
bool is_connectable(grpc::Channel& channel)
{
    const auto limit = std::chrono::system_clock::now() + connect_timeout;
    auto state = channel.GetState(true);
    while (state != GRPC_CHANNEL_READY &&
           state != GRPC_CHANNEL_TRANSIENT_FAILURE)
    {
        if (!channel.WaitForStateChange(state, limit))
        {
            return false;
        }
        state = channel.GetState(true);
    }
    return state == GRPC_CHANNEL_READY;
}

v1::Request statement(const std::string& text, v1::Access access)
{
    v1::Request request;
    request.set_text(text);
    request.set_access(access);
    return request;
}

v1::Request control(v1::Operation operation)
{
    v1::Request request;
    request.set_operation(operation);
    return request;
}

} // namespace

caller::caller(
    const std::string& proxy_address, std::string key, std::string group)
    : key_(std::move(key))
    , group_(std::move(group))
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 20);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 100);
    channel_ = grpc::CreateCustomChannel(
        proxy_address, grpc::InsecureChannelCredentials(), arguments);
    stub_ = v1::Proxy::NewStub(channel_);
}

caller::~caller()
{
    disconnect();
}

void caller::connect()
{
    // Without a connection nothing is sent; `receive` reports the failure.
    if (!stream_ && is_connectable(*channel_))
    {
        context_ = std::make_unique<grpc::ClientContext>();
        context_->set_wait_for_ready(false);
        stream_ = stub_->Session(context_.get());
    }
}

bool caller::wait_for_connection(std::chrono::milliseconds timeout)
{
    if (channel_->GetState(true) == GRPC_CHANNEL_READY)
    {
        return true;
    }
    disconnect();
    return channel_->WaitForConnected(
        std::chrono::system_clock::now() + timeout);
}

void caller::disconnect()
{
    if (stream_)
    {
        context_->TryCancel();
        v1::Reply reply;
        while (stream_->Read(&reply))
        {
        }
        stream_->Finish();
        stream_ = nullptr;
        context_ = nullptr;
    }
}

void caller::send(v1::Request request)
{
    connect();
    request.set_id(++last_id_);
    request.set_key(key_);
    request.set_group(group_);
    request.set_session_token(token_);
    if (request.deadline_ms() == 0)
    {
        request.set_deadline_ms(static_cast<std::uint32_t>(deadline_.count()));
    }
    if (stream_)
    {
        stream_->Write(request);
    }
}

caller_reply caller::receive()
{
    caller_reply out;
    v1::Reply reply;
    if (!stream_)
    {
        out.outcome = verdict::not_run;
        out.code = errc::member_unreachable;
        out.detail = "proxy cannot be connected";
        return out;
    }
    if (!stream_->Read(&reply))
    {
        // The stream ended: the outcome of the request is unknown, unless the
        // status is that of a planned stop.
        const auto status = stream_->Finish();
        const bool aborted = status.error_code() == grpc::StatusCode::ABORTED;
        out.outcome = aborted ? verdict::not_run : verdict::unknown;
        out.code = aborted ? errc::draining : errc::connection_lost;
        out.detail = "proxy closed the stream, status " +
                     std::to_string(status.error_code()) + " " +
                     status.error_message();
        stream_ = nullptr;
        context_ = nullptr;
        return out;
    }
    out.answered = true;
    if (reply.id() != last_id_)
    {
        out.code = errc::reply_mismatch;
        out.detail = "reply to another request";
        return out;
    }
    out.outcome = from_protocol(reply.verdict());
    out.code = static_cast<errc>(reply.error_code());
    out.detail = reply.error_detail();
    out.rows.assign(reply.rows().begin(), reply.rows().end());
    out.served_by = reply.served_by();
    out.from_replica = reply.from_replica();
    if (out.is_done())
    {
        token_ = reply.session_token();
    }
    return out;
}

caller_reply caller::run(v1::Request request)
{
    send(std::move(request));
    return receive();
}

caller_reply caller::write(const std::string& text)
{
    return run(statement(text, v1::ACCESS_WRITE));
}

caller_reply caller::idempotent_write(const std::string& text)
{
    auto request = statement(text, v1::ACCESS_WRITE);
    request.set_idempotent(true);
    return run(std::move(request));
}

caller_reply caller::read(const std::string& text)
{
    return run(statement(text, v1::ACCESS_READ));
}

caller_reply caller::begin()
{
    return run(control(v1::OPERATION_BEGIN));
}

caller_reply caller::commit()
{
    return run(control(v1::OPERATION_COMMIT));
}

caller_reply caller::rollback()
{
    return run(control(v1::OPERATION_ROLLBACK));
}

} // namespace zinniahub::test
