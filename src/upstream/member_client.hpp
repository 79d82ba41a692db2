#pragma once

#include "zinniahub/v1/member.grpc.pb.h"

#include <zinniahub/promotion.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace zinniahub::upstream
{

/// @brief Result of an administrative call: whether the member accepted it and
/// its status, or nothing if there was no answer.
struct call_result
{
    bool answered = false;
    bool accepted = false;
    member_status status;
};

/// @brief Administrative calls to one member and the stream of its status.
///
/// Used on the control thread; handlers are posted to its io_context. Calls
/// that are not answered within the timeout fail.
class member_client : public std::enable_shared_from_this<member_client>
{
public:
    using call_handler = std::function<void(call_result)>;
    using status_handler = std::function<void(const member_status&)>;
    using disconnect_handler = std::function<void()>;

    member_client(
        boost::asio::io_context& io, const std::string& address,
        std::uint64_t group_uid, duration call_timeout);

    /// @brief Watches the member's status until `stop`; reconnects
    /// automatically.
    void watch(status_handler on_status, disconnect_handler on_disconnected);
    void stop();

    void fence(std::uint64_t term, std::uint64_t candidate, call_handler done);
    void promote(
        std::uint64_t term, std::uint64_t candidate, log_position expected,
        call_handler done);
    void follow(
        std::uint64_t term, const std::string& primary,
        const std::string& primary_address, call_handler done);
    void quiesce(std::uint64_t term, duration limit, call_handler done);

private:
    class status_stream;

    void open_stream();
    void on_stream_status(const v1::MemberStatus& status);
    void on_stream_closed();

    boost::asio::io_context& io_;
    boost::asio::steady_timer reconnect_timer_;
    std::shared_ptr<v1::Member::Stub> stub_;
    std::uint64_t group_uid_;
    duration call_timeout_;
    status_handler on_status_;
    disconnect_handler on_disconnected_;
    status_stream* stream_ = nullptr;
    bool stopped_ = false;
};

/// @brief Converts a status from the protocol.
member_status from_protocol(const v1::MemberStatus& status);

} // namespace zinniahub::upstream
