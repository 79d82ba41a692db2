#pragma once

#include <grpcpp/channel.h>

#include <memory>
#include <string>

namespace zinniahub::upstream
{

/// @brief Opens a channel to a member or another proxy.
/// @param address IP:port
/// @param max_receive_bytes longest message accepted; 0 for gRPC's default
std::shared_ptr<grpc::Channel>
make_channel(const std::string& address, int max_receive_bytes = 0);

} // namespace zinniahub::upstream
