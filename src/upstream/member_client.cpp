#include "upstream/member_client.hpp"

#include "upstream/channel.hpp"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <utility>

namespace zinniahub::upstream
{

namespace
{

constexpr std::chrono::milliseconds reconnect_delay{100};

/// State of one unary call until its answer arrives.
template<typename Request, typename Reply>
struct unary_call
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

template<typename Request, typename Reply, typename Start>
void start_call(
    boost::asio::io_context& io, Request request, duration timeout,
    member_client::call_handler done, Start start)
{
    auto call = std::make_shared<unary_call<Request, Reply>>();
    call->request = std::move(request);
    call->context.set_deadline(
        std::chrono::system_clock::now() +
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
    start(
        &call->context, &call->request, &call->reply,
        [&io, call, done = std::move(done)](const grpc::Status& status)
        {
            call_result outcome;
            outcome.answered = status.ok();
            outcome.accepted = status.ok() && call->reply.accepted();
            outcome.status = from_protocol(call->reply.status());
            boost::asio::post(io, [done, outcome] { done(outcome); });
        });
}

} // namespace

member_status from_protocol(const v1::MemberStatus& status)
{
    member_status out;
    out.group_uid = status.group_uid();
    out.role = status.role() == v1::ROLE_PRIMARY ? member_role::primary
                                                 : member_role::replica;
    out.term = status.term();
    out.primary = status.primary();
    out.position = {status.position().term(), status.position().index()};
    out.primary_silent = std::chrono::milliseconds(status.primary_silent_ms());
    out.open_transactions = status.open_transactions();
    out.connections = status.connections();
    out.connection_limit = status.connection_limit();
    out.quiesced = status.quiesced();
    return out;
}

/// Reads the status stream of a member; deletes itself when it has ended.
class member_client::status_stream final
    : public grpc::ClientReadReactor<v1::MemberStatus>
{
public:
    explicit status_stream(std::shared_ptr<member_client> owner)
        : owner_(std::move(owner))
    {
        request_.set_group_uid(owner_->group_uid_);
    }

    void start()
    {
        owner_->stub_->async()->Watch(&context_, &request_, this);
        StartRead(&status_);
        StartCall();
    }

    void cancel()
    {
        context_.TryCancel();
    }

    void OnReadDone(bool ok) override
    {
        if (ok)
        {
            boost::asio::post(
                owner_->io_, [owner = owner_, status = status_]
                { owner->on_stream_status(status); });
            StartRead(&status_);
        }
    }

    void OnDone(const grpc::Status&) override
    {
        boost::asio::post(
            owner_->io_,
            [owner = owner_, self = std::unique_ptr<status_stream>(this)]
            {
                owner->stream_ = nullptr;
                owner->on_stream_closed();
            });
    }

private:
    std::shared_ptr<member_client> owner_;
    grpc::ClientContext context_;
    v1::WatchMemberRequest request_;
    v1::MemberStatus status_;
};

member_client::member_client(
    boost::asio::io_context& io, const std::string& address,
    std::uint64_t group_uid, duration call_timeout)
    : io_(io)
    , reconnect_timer_(io)
    , group_uid_(group_uid)
    , call_timeout_(call_timeout)
{
    stub_ = v1::Member::NewStub(make_channel(address));
}

void member_client::watch(
    status_handler on_status, disconnect_handler on_disconnected)
{
    on_status_ = std::move(on_status);
    on_disconnected_ = std::move(on_disconnected);
    open_stream();
}

void member_client::open_stream()
{
    stream_ = new status_stream(shared_from_this());
    stream_->start();
}

void member_client::stop()
{
    stopped_ = true;
    on_status_ = nullptr;
    on_disconnected_ = nullptr;
    reconnect_timer_.cancel();
    if (stream_ != nullptr)
    {
        stream_->cancel();
    }
}

void member_client::on_stream_status(const v1::MemberStatus& status)
{
    if (on_status_ && status.group_uid() == group_uid_)
    {
        on_status_(from_protocol(status));
    }
}

void member_client::on_stream_closed()
{
    if (stopped_)
    {
        return;
    }
    on_disconnected_();
    reconnect_timer_.expires_after(reconnect_delay);
    reconnect_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code failure)
        {
            if (!failure && !self->stopped_)
            {
                self->open_stream();
            }
        });
}

void member_client::fence(
    std::uint64_t term, std::uint64_t candidate, call_handler done)
{
    v1::FenceRequest request;
    request.set_group_uid(group_uid_);
    request.set_term(term);
    request.set_candidate(candidate);
    start_call<v1::FenceRequest, v1::FenceReply>(
        io_, std::move(request), call_timeout_, std::move(done),
        [stub = stub_](auto... arguments)
        { stub->async()->Fence(arguments...); });
}

void member_client::promote(
    std::uint64_t term, std::uint64_t candidate, log_position expected,
    call_handler done)
{
    v1::PromoteRequest request;
    request.set_group_uid(group_uid_);
    request.set_term(term);
    request.set_candidate(candidate);
    request.mutable_expected_position()->set_term(expected.term);
    request.mutable_expected_position()->set_index(expected.index);
    start_call<v1::PromoteRequest, v1::PromoteReply>(
        io_, std::move(request), call_timeout_, std::move(done),
        [stub = stub_](auto... arguments)
        { stub->async()->Promote(arguments...); });
}

void member_client::follow(
    std::uint64_t term, const std::string& primary,
    const std::string& primary_address, call_handler done)
{
    v1::FollowRequest request;
    request.set_group_uid(group_uid_);
    request.set_term(term);
    request.set_primary(primary);
    request.set_primary_address(primary_address);
    start_call<v1::FollowRequest, v1::FollowReply>(
        io_, std::move(request), call_timeout_, std::move(done),
        [stub = stub_](auto... arguments)
        { stub->async()->Follow(arguments...); });
}

void member_client::quiesce(
    std::uint64_t term, duration limit, call_handler done)
{
    v1::QuiesceRequest request;
    request.set_group_uid(group_uid_);
    request.set_term(term);
    request.set_duration_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(limit).count()));
    start_call<v1::QuiesceRequest, v1::QuiesceReply>(
        io_, std::move(request), call_timeout_, std::move(done),
        [stub = stub_](auto... arguments)
        { stub->async()->Quiesce(arguments...); });
}

} // namespace zinniahub::upstream
