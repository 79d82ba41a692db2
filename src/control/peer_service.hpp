#pragma once

#include "zinniahub/v1/peer.grpc.pb.h"

#include <boost/asio/io_context.hpp>
#include <grpcpp/grpcpp.h>

#include <functional>

namespace zinniahub::control
{

/// @brief Implements the `Peer` service by posting each call to the control
/// thread.
class peer_service final : public v1::Peer::CallbackService
{
public:
    /// Called on the control thread.
    struct handlers
    {
        std::function<v1::SyncReply(const v1::SyncRequest&)> sync;
        std::function<v1::TokensReply(const v1::TokensRequest&)> tokens;
    };

    peer_service(boost::asio::io_context& io, handlers calls);

    grpc::ServerUnaryReactor* Sync(
        grpc::CallbackServerContext* context, const v1::SyncRequest* request,
        v1::SyncReply* reply) override;

    grpc::ServerUnaryReactor* Tokens(
        grpc::CallbackServerContext* context, const v1::TokensRequest* request,
        v1::TokensReply* reply) override;

private:
    /// Runs a handler on the control thread and finishes the call.
    template<typename Request, typename Reply>
    grpc::ServerUnaryReactor* handle_call(
        grpc::CallbackServerContext* context,
        const std::function<Reply(const Request&)>& handler,
        const Request* request, Reply* reply);

    boost::asio::io_context& io_;
    handlers handlers_;
};

} // namespace zinniahub::control
