#pragma once

#include "zinniahub/v1/member.grpc.pb.h"

#include <zinniahub/error.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <grpcpp/grpcpp.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

namespace zinniahub::upstream
{

/// @brief One database connection: a stream to a member that carries one
/// request at a time.
///
/// Handlers run on a gRPC thread and must post their work to another one.
class member_connection final
    : public grpc::ClientBidiReactor<v1::MemberRequest, v1::MemberReply>,
      public boost::intrusive_ref_counter<
          member_connection, boost::thread_safe_counter>
{
public:
    using pointer = boost::intrusive_ptr<member_connection>;
    using open_handler = std::function<void(result<void>)>;
    using reply_handler = std::function<void(result<v1::MemberReply>)>;

    /// @brief Starts to open a connection.
    /// @param opened called once: success when the member accepted the
    /// connection, else `errc::connection_limit_reached` or
    /// `errc::member_unreachable`. No request was sent before it is called.
    static pointer open(v1::Member::Stub& stub, open_handler opened);

    /// @brief Sends a request. The id is set here.
    /// @param replied called once: the reply, or a failure with an unknown
    /// outcome (`errc::connection_lost`, `errc::reply_mismatch`)
    void send(v1::MemberRequest request, reply_handler replied);

    /// @brief Closes the connection. The member rolls an open transaction back.
    void close();

    /// @brief True if no further request can be sent.
    bool is_broken() const;

private:
    member_connection();

    void OnReadInitialMetadataDone(bool ok) override;
    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

    void start_write(v1::MemberRequest request);
    void handle_reply();
    void fail_connection(errc code, const char* detail);
    void finish_open(result<void> outcome);

    grpc::ClientContext context_;
    mutable std::mutex mutex_;
    open_handler on_open_;
    reply_handler on_reply_;
    v1::MemberRequest request_;
    /// Written when the write of the previous request has completed.
    std::optional<v1::MemberRequest> next_request_;
    v1::MemberReply reply_;
    /// Less than the id of every request on this connection.
    const std::uint64_t base_id_;
    std::uint64_t last_id_;
    bool accepted_ = false;
    bool writing_ = false;
    bool broken_ = false;
};

} // namespace zinniahub::upstream
