#pragma once

#include "settings/settings.hpp"
#include "zinniahub/v1/peer.grpc.pb.h"

#include <zinniahub/error.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace zinniahub::control
{

/// @brief Client for the `Peer` service of other proxies, by host name.
///
/// Used on the control thread; handlers are posted to its io_context.
class peer_client
{
public:
    template<typename Reply>
    using handler = std::function<void(result<Reply>)>;

    /// @param routes addresses that override the announced ones
    peer_client(
        boost::asio::io_context& io,
        const std::vector<settings::peer_route>& routes);

    /// @param address as the host announced it; text that is no address is
    /// ignored
    void set_address(const std::string& host, const std::string& address);

    /// @return `errc::member_unreachable` through the handler if the host has
    /// no known address or does not answer in time
    void sync(
        const std::string& host, v1::SyncRequest request,
        std::chrono::milliseconds timeout, handler<v1::SyncReply> done);
    void tokens(
        const std::string& host, v1::TokensRequest request,
        std::chrono::milliseconds timeout, handler<v1::TokensReply> done);

private:
    struct peer
    {
        std::string address;
        /// Created on the first call, because a host calls few of its peers.
        std::shared_ptr<v1::Peer::Stub> stub;
    };

    std::shared_ptr<v1::Peer::Stub> stub_of(const std::string& host);

    template<typename Request, typename Reply, typename Start>
    void call(
        const std::string& host, Request request,
        std::chrono::milliseconds timeout, handler<Reply> done, Start start);

    boost::asio::io_context& io_;
    std::map<std::string, std::string> routes_;
    std::map<std::string, peer> peers_;
};

} // namespace zinniahub::control
