#include "control/peer_client.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <optional>

namespace
{

using namespace zinniahub;

class large_peer : public v1::Peer::Service
{
public:
    grpc::Status Sync(
        grpc::ServerContext*, const v1::SyncRequest*,
        v1::SyncReply* reply) override
    {
        constexpr std::size_t full_reply_bytes = 6'810'000;
        reply->mutable_responder()->set_name(
            std::string(full_reply_bytes, 'x'));
        return grpc::Status::OK;
    }
};

// Guards against a relay that cannot serve a starting host because a full
// configuration exceeds gRPC's default message limit of 4 MB.
TEST(peer_client, accepts_a_full_configuration_at_the_target_size)
{
    large_peer service;
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
        "127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    const auto server = builder.BuildAndStart();
    ASSERT_NE(server, nullptr);

    boost::asio::io_context io;
    control::peer_client peers(io, {});
    peers.set_address("entry-1", "127.0.0.1:" + std::to_string(port));
    std::optional<std::size_t> received;
    bool failed = false;
    peers.sync(
        "entry-1", {}, std::chrono::seconds(10),
        [&](const result<v1::SyncReply>& reply)
        {
            failed = !reply;
            received = reply ? reply->ByteSizeLong() : 0;
        });
    // The reply is posted by a gRPC thread; keep `io` running until then.
    const auto guard = boost::asio::make_work_guard(io);
    io.run_one_for(std::chrono::seconds(15));
    ASSERT_TRUE(received.has_value());
    EXPECT_FALSE(failed);
    EXPECT_GT(*received, 4U * 1024 * 1024);
    server->Shutdown();
}

// Guards against an announced address that gRPC reads as a name, a socket file
// or a list of addresses.
TEST(peer_client, announced_text_that_is_no_address_is_not_connected)
{
    large_peer service;
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
        "127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    const auto server = builder.BuildAndStart();
    ASSERT_NE(server, nullptr);

    const auto address = "127.0.0.1:" + std::to_string(port);
    for (const auto& text :
         {"ipv4:" + address, "dns:///" + address, address + ",127.0.0.1:1",
          address + std::string(1, '\0'), std::string()})
    {
        boost::asio::io_context io;
        control::peer_client peers(io, {});
        peers.set_address("entry-1", text);
        bool failed_at_once = false;
        peers.sync(
            "entry-1", {}, std::chrono::seconds(10),
            [&](const result<v1::SyncReply>& reply)
            { failed_at_once = !reply; });
        EXPECT_TRUE(failed_at_once) << text;
        // A call that was started ends before its client does.
        const auto guard = boost::asio::make_work_guard(io);
        io.run_one_for(std::chrono::seconds(failed_at_once ? 0 : 15));
    }
    server->Shutdown();
}

} // namespace
