#include "control/peer_client.hpp"

#include "settings/address.hpp"
#include "upstream/channel.hpp"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <utility>

namespace zinniahub::control
{

namespace
{

/// The reply with the full configuration of 30,000 groups has 6.8 MB, which
/// exceeds gRPC's default limit of 4 MB.
constexpr int max_reply_bytes = 16 * 1024 * 1024;

} // namespace

peer_client::peer_client(
    boost::asio::io_context& io,
    const std::vector<settings::peer_route>& routes)
    : io_(io)
{
    for (const auto& route : routes)
    {
        routes_[route.host] = route.address;
    }
}

void peer_client::set_address(
    const std::string& host, const std::string& address)
{
    const auto route = routes_.find(host);
    const auto& effective = route == routes_.end() ? address : route->second;
    // gRPC would read other text as a name, a socket file or a list.
    if (!settings::is_connectable_address(effective))
    {
        return;
    }
    auto& known = peers_[host];
    if (known.address == effective)
    {
        return;
    }
    known.address = effective;
    known.stub = nullptr;
}

std::shared_ptr<v1::Peer::Stub> peer_client::stub_of(const std::string& host)
{
    const auto found = peers_.find(host);
    if (found == peers_.end())
    {
        return nullptr;
    }
    auto& known = found->second;
    if (!known.stub)
    {
        known.stub = v1::Peer::NewStub(
            upstream::make_channel(known.address, max_reply_bytes));
    }
    return known.stub;
}

template<typename Request, typename Reply, typename Start>
void peer_client::call(
    const std::string& host, Request request, std::chrono::milliseconds timeout,
    handler<Reply> done, Start start)
{
    struct pending
    {
        grpc::ClientContext context;
        Request request;
        Reply reply;
        std::shared_ptr<v1::Peer::Stub> stub;
    };
    auto stub = stub_of(host);
    if (!stub)
    {
        done(fail(errc::member_unreachable, host));
        return;
    }
    auto state = std::make_shared<pending>();
    state->request = std::move(request);
    state->stub = std::move(stub);
    state->context.set_deadline(std::chrono::system_clock::now() + timeout);
    start(
        *state->stub, &state->context, &state->request, &state->reply,
        [this, state, host, done = std::move(done)](const grpc::Status& status)
        {
            boost::asio::post(
                io_,
                [state, host, done, ok = status.ok()]
                {
                    if (ok)
                    {
                        done(std::move(state->reply));
                    }
                    else
                    {
                        done(fail(errc::member_unreachable, host));
                    }
                });
        });
}

void peer_client::sync(
    const std::string& host, v1::SyncRequest request,
    std::chrono::milliseconds timeout, handler<v1::SyncReply> done)
{
    call<v1::SyncRequest, v1::SyncReply>(
        host, std::move(request), timeout, std::move(done),
        [](v1::Peer::Stub& stub, auto... arguments)
        { stub.async()->Sync(arguments...); });
}

void peer_client::tokens(
    const std::string& host, v1::TokensRequest request,
    std::chrono::milliseconds timeout, handler<v1::TokensReply> done)
{
    call<v1::TokensRequest, v1::TokensReply>(
        host, std::move(request), timeout, std::move(done),
        [](v1::Peer::Stub& stub, auto... arguments)
        { stub.async()->Tokens(arguments...); });
}

} // namespace zinniahub::control
