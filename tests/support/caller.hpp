#pragma once

#include "zinniahub/v1/caller.grpc.pb.h"

#include <zinniahub/error.hpp>
#include <zinniahub/outcome.hpp>

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace zinniahub::test
{

/// @brief Result of a request as a caller sees it.
struct caller_reply
{
    verdict outcome = verdict::unknown;
    errc code{};
    std::string detail;
    std::vector<v1::Row> rows;
    std::string served_by;
    bool from_replica = false;
    /// False if the stream ended without a reply.
    bool answered = false;

    bool is_done() const
    {
        return outcome == verdict::done;
    }
    bool is_refused() const
    {
        return outcome == verdict::not_run;
    }
    /// @brief Value of the only row, empty without rows.
    std::string value() const
    {
        return rows.empty() ? std::string() : rows.front().value();
    }
};

/// @brief A caller with one stream to one proxy. The session token can roam.
class caller
{
public:
    caller(
        const std::string& proxy_address, std::string key, std::string group);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    caller_reply write(const std::string& text);
    /// @brief A write that may run twice.
    caller_reply idempotent_write(const std::string& text);
    caller_reply read(const std::string& text);
    caller_reply begin();
    caller_reply commit();
    caller_reply rollback();

    /// @brief Sends any request; id, key, group and token are filled in.
    caller_reply run(v1::Request request);

    /// @brief Sends without waiting; `receive` returns the reply.
    void send(v1::Request request);
    caller_reply receive();

    /// @brief Connects if needed.
    /// @return false if the proxy cannot be connected within the timeout
    bool wait_for_connection(std::chrono::milliseconds timeout);

    /// @brief Closes the connection abruptly; simulates a caller crash.
    void disconnect();

    const std::string& session_token() const
    {
        return token_;
    }
    void set_session_token(std::string token)
    {
        token_ = std::move(token);
    }
    void set_group(std::string group)
    {
        group_ = std::move(group);
    }
    void set_key(std::string key)
    {
        key_ = std::move(key);
    }
    void set_deadline(std::chrono::milliseconds deadline)
    {
        deadline_ = deadline;
    }

private:
    void connect();

    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<v1::Proxy::Stub> stub_;
    std::unique_ptr<grpc::ClientContext> context_;
    std::unique_ptr<grpc::ClientReaderWriter<v1::Request, v1::Reply>> stream_;
    std::string key_;
    std::string group_;
    std::string token_;
    std::chrono::milliseconds deadline_{5000};
    std::uint64_t last_id_ = 0;
};

} // namespace zinniahub::test
