#include "control/peer_service.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace zinniahub::control
{

peer_service::peer_service(boost::asio::io_context& io, handlers calls)
    : io_(io)
    , handlers_(std::move(calls))
{
}

template<typename Request, typename Reply>
grpc::ServerUnaryReactor* peer_service::handle_call(
    grpc::CallbackServerContext* context,
    const std::function<Reply(const Request&)>& handler, const Request* request,
    Reply* reply)
{
    auto* reactor = context->DefaultReactor();
    boost::asio::post(
        io_,
        [&handler, reactor, request, reply]
        {
            *reply = handler(*request);
            reactor->Finish(grpc::Status::OK);
        });
    return reactor;
}

grpc::ServerUnaryReactor* peer_service::Sync(
    grpc::CallbackServerContext* context, const v1::SyncRequest* request,
    v1::SyncReply* reply)
{
    return handle_call(context, handlers_.sync, request, reply);
}

grpc::ServerUnaryReactor* peer_service::Tokens(
    grpc::CallbackServerContext* context, const v1::TokensRequest* request,
    v1::TokensReply* reply)
{
    return handle_call(context, handlers_.tokens, request, reply);
}

} // namespace zinniahub::control
