#include "fake_platform_store.hpp"
#include "kv/platform_client.hpp"

#include <fmt/format.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <thread>

namespace
{

using namespace std::chrono_literals;
using namespace zinniahub;
using tests::fake_platform_store;

bool is_ours(std::string_view value)
{
    return value == "ours";
}

struct write_case
{
    const char* name;
    int lost_answers;
    int lost_requests;
    /// Value that another writer stores before the first attempt.
    const char* other;
    bool succeeds;
    errc failure;
    const char* stored;
};

// Guards against a write that is reported as failed although it took effect,
// and against one that overwrites the change of another operator.
TEST(compare_and_swap, resolves_lost_answers)
{
    const write_case cases[]{
        {"plain", 0, 0, nullptr, true, {}, "ours"},
        {"answer_lost", 1, 0, nullptr, true, {}, "ours"},
        {"request_lost", 0, 1, nullptr, true, {}, "ours"},
        {"both_lost", 1, 1, nullptr, true, {}, "ours"},
        {"other_first", 0, 0, "theirs", false, errc::conflict, "theirs"},
        {"other_first_lost", 1, 0, "theirs", false, errc::conflict, "theirs"},
        // An earlier attempt of this write that arrives late.
        {"own_late", 0, 0, "ours", true, {}, "ours"},
        {"all_lost", 0, 100, nullptr, false, errc::platform_unavailable, "old"},
    };
    for (const auto& test : cases)
    {
        SCOPED_TRACE(test.name);
        fake_platform_store store;
        store.records["k"] = {"old", store.revision = 7};
        store.lost_answers = test.lost_answers;
        store.lost_requests = test.lost_requests;
        if (test.other != nullptr)
        {
            store.before_write = [&] {
                store.records["k"] = {test.other, ++store.revision};
            };
        }
        const auto written =
            kv::compare_and_swap(store, "k", "ours", 7, is_ours);
        EXPECT_EQ(written.has_value(), test.succeeds);
        if (written)
            EXPECT_EQ(*written, store.revision_of("k"));
        else
            EXPECT_EQ(written.error().code, test.failure);
        EXPECT_EQ(store.records["k"].value, test.stored);
    }
}

// Guards against a removal that is reported as failed because its reply was
// lost.
TEST(compare_and_remove, resolves_lost_answers)
{
    fake_platform_store store;
    store.records["k"] = {"old", store.revision = 7};
    store.lost_answers = 1;
    EXPECT_TRUE(kv::compare_and_remove(store, "k", 7));
    EXPECT_TRUE(store.records.empty());

    store.records["k"] = {"new", store.revision = 9};
    const auto refused = kv::compare_and_remove(store, "k", 7);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, errc::conflict);
}

/// @brief Platform that replies with a given code and never replies to a watch.
class fake_platform : public v1::Platform::Service
{
public:
    std::atomic<v1::PlatformCode> code = v1::PLATFORM_OK;

    grpc::Status
    Put(grpc::ServerContext*, const v1::PutRequest* request,
        v1::PutReply* reply) override
    {
        reply->set_code(code);
        reply->set_revision(request->expected_revision() + 1);
        return grpc::Status::OK;
    }

    grpc::Status Watch(
        grpc::ServerContext* context, const v1::WatchRequest*,
        v1::WatchReply*) override
    {
        while (!context->IsCancelled())
            std::this_thread::sleep_for(5ms);
        return grpc::Status::CANCELLED;
    }
};

class platform_client : public testing::Test
{
protected:
    void SetUp() override
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(
            "127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
        builder.RegisterService(&service_);
        server_ = builder.BuildAndStart();
        ASSERT_NE(server_, nullptr);
        client_ = kv::async_platform_client::make(
            context_, fmt::format("127.0.0.1:{}", port_));
    }

    result<v1::PutReply> put()
    {
        std::optional<result<v1::PutReply>> outcome;
        v1::PutRequest request;
        request.set_expected_revision(4);
        client_->put(
            request, 5s, [&](auto reply) { outcome = std::move(reply); });
        context_.restart();
        context_.run();
        return outcome ? *outcome : fail(errc::wait_timeout);
    }

    int port_ = 0;
    fake_platform service_;
    std::unique_ptr<grpc::Server> server_;
    boost::asio::io_context context_;
    std::unique_ptr<kv::async_platform_client> client_;
};

// Guards against platform codes that are mapped to the wrong error.
TEST_F(platform_client, codes_are_mapped)
{
    const auto written = put();
    ASSERT_TRUE(written);
    EXPECT_EQ(written->revision(), 5U);
    const std::pair<v1::PlatformCode, errc> codes[]{
        {v1::PLATFORM_CONFLICT, errc::conflict},
        {v1::PLATFORM_NOT_FOUND, errc::not_found},
        {v1::PLATFORM_COMPACTED, errc::not_found},
        {v1::PLATFORM_LEASE_EXPIRED, errc::lease_expired},
        {v1::PLATFORM_RATE_LIMITED, errc::platform_rate_limited},
        {v1::PLATFORM_TOO_LARGE, errc::value_too_large}};
    for (const auto& [code, expected] : codes)
    {
        service_.code = code;
        const auto refused = put();
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().code, expected);
    }
}

// Guards against a call that waits forever for an unresponsive platform, and
// against a connection that is unusable after such calls.
TEST_F(platform_client, unresponsive_platform_times_out_and_recovers)
{
    int timeouts = 0;
    for (int call = 0; call < 4; ++call)
    {
        client_->watch(
            {}, 50ms,
            [&](const auto& reply)
            {
                ASSERT_FALSE(reply);
                EXPECT_EQ(reply.error().code, errc::platform_unavailable);
                ++timeouts;
            });
    }
    context_.run();
    EXPECT_EQ(timeouts, 4);
    EXPECT_TRUE(put());
}

// Guards against handlers that are lost, or called on another thread, when the
// client is destroyed with calls in progress.
TEST_F(platform_client, destruction_completes_calls_in_progress)
{
    int completed = 0;
    const auto thread = std::this_thread::get_id();
    for (int call = 0; call < 8; ++call)
    {
        client_->watch(
            {}, 60s,
            [&](const auto& reply)
            {
                EXPECT_FALSE(reply);
                EXPECT_EQ(std::this_thread::get_id(), thread);
                ++completed;
            });
    }
    client_.reset();
    context_.run();
    EXPECT_EQ(completed, 8);
}

// Guards against a reconnect delay of minutes after an outage of the platform.
TEST_F(platform_client, client_reconnects_after_an_outage)
{
    server_->Shutdown();
    server_.reset();
    const auto refused = put();
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, errc::platform_unavailable);

    grpc::ServerBuilder builder;
    builder.AddListeningPort(
        fmt::format("127.0.0.1:{}", port_), grpc::InsecureServerCredentials());
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    ASSERT_NE(server_, nullptr);
    const auto end = std::chrono::steady_clock::now() + 5s;
    bool recovered = false;
    while (!recovered && std::chrono::steady_clock::now() < end)
    {
        recovered = put().has_value();
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_TRUE(recovered);
}

} // namespace
