#include "upstream/channel.hpp"

#include <grpcpp/grpcpp.h>

namespace zinniahub::upstream
{

namespace
{

/// gRPC also uses the minimum as the connect timeout, for which 100 ms is too
/// short on a busy host.
constexpr int min_reconnect_backoff_ms = 1000;
constexpr int initial_reconnect_backoff_ms = 100;
/// The default of up to 120 s would keep a peer out of use long after a
/// partition has healed.
constexpr int max_reconnect_backoff_ms = 1000;

} // namespace

std::shared_ptr<grpc::Channel>
make_channel(const std::string& address, int max_receive_bytes)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(
        GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_reconnect_backoff_ms);
    arguments.SetInt(
        GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initial_reconnect_backoff_ms);
    arguments.SetInt(
        GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    if (max_receive_bytes > 0)
    {
        arguments.SetMaxReceiveMessageSize(max_receive_bytes);
    }
    return grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace zinniahub::upstream
