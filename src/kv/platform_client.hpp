#pragma once

#include "zinniahub/v1/platform.grpc.pb.h"

#include <zinniahub/error.hpp>

#include <boost/asio/io_context.hpp>
#include <grpcpp/channel.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace zinniahub::kv
{

/// @brief Maps the code of a platform reply. `PLATFORM_COMPACTED` becomes
/// `errc::not_found`: the requested history no longer exists and the
/// range must be read again.
/// @pre code is not PLATFORM_OK
errc errc_of(v1::PlatformCode code);

/// @brief Non-blocking platform client, used by the daemon.
///
/// Each completion handler is posted exactly once to the given io_context, even
/// if the client is destroyed before the call ends. The io_context must outlive
/// the client; calls in progress keep it running.
class async_platform_client
{
public:
    template<typename Reply>
    using handler = std::function<void(result<Reply>)>;

    using timeout = std::chrono::milliseconds;

    /// @brief Makes a client of the platform at `address` (IP:port). The
    /// connection is opened by the first call and reopened after failures.
    static std::unique_ptr<async_platform_client>
    make(boost::asio::io_context& context, std::string_view address);

    async_platform_client(const async_platform_client&) = delete;
    async_platform_client& operator=(const async_platform_client&) = delete;

    /// @brief Cancels the calls in progress and waits until their handlers are
    /// posted with `errc::platform_unavailable`. Must not run on a gRPC thread.
    ~async_platform_client();

    /// A missing key gives `errc::not_found`.
    void
    get(const v1::GetRequest& request, timeout limit,
        handler<v1::GetReply> done);
    void range(
        const v1::RangeRequest& request, timeout limit,
        handler<v1::RangeReply> done);
    /// After `errc::platform_unavailable` the write may have taken effect. The
    /// detail of `errc::conflict` names the current revision.
    void
    put(const v1::PutRequest& request, timeout limit,
        handler<v1::PutReply> done);
    void remove(
        const v1::DeleteRequest& request, timeout limit,
        handler<v1::DeleteReply> done);
    void grant_lease(
        const v1::GrantLeaseRequest& request, timeout limit,
        handler<v1::GrantLeaseReply> done);
    void keep_alive(
        const v1::KeepAliveRequest& request, timeout limit,
        handler<v1::KeepAliveReply> done);
    void revoke_lease(
        const v1::RevokeLeaseRequest& request, timeout limit,
        handler<v1::RevokeLeaseReply> done);
    /// The timeout is counted from the end of the request's `wait_ms`.
    void watch(
        const v1::WatchRequest& request, timeout limit,
        handler<v1::WatchReply> done);
    void announce(
        const v1::AnnounceRequest& request, timeout limit,
        handler<v1::AnnounceReply> done);
    void list_hosts(
        const v1::ListHostsRequest& request, timeout limit,
        handler<v1::ListHostsReply> done);

private:
    struct state;

    explicit async_platform_client(std::unique_ptr<state> owned);

    std::unique_ptr<state> state_;
};

/// @brief Platform calls used by the operator commands. Implemented by
/// `blocking_platform_client` and by fakes in tests.
class platform_store
{
public:
    virtual ~platform_store() = default;

    virtual result<v1::GetReply> get(const v1::GetRequest& request) = 0;
    virtual result<v1::RangeReply> range(const v1::RangeRequest& request) = 0;
    /// After `errc::platform_unavailable` the write may have taken effect.
    virtual result<v1::PutReply> put(const v1::PutRequest& request) = 0;
    virtual result<v1::DeleteReply>
    remove(const v1::DeleteRequest& request) = 0;
    virtual result<v1::ListHostsReply> list_hosts() = 0;
};

/// @brief Blocking platform client, used by the operator commands. Each call
/// has a deadline; reads are retried after transient failures, writes are not.
class blocking_platform_client : public platform_store
{
public:
    /// @param address IP:port
    /// @param call_timeout limit of one attempt
    static std::unique_ptr<blocking_platform_client>
    make(std::string_view address, std::chrono::milliseconds call_timeout);

    result<v1::GetReply> get(const v1::GetRequest& request) override;
    result<v1::RangeReply> range(const v1::RangeRequest& request) override;
    result<v1::PutReply> put(const v1::PutRequest& request) override;
    result<v1::DeleteReply> remove(const v1::DeleteRequest& request) override;
    result<v1::ListHostsReply> list_hosts() override;

private:
    blocking_platform_client(
        const std::shared_ptr<grpc::Channel>& channel,
        std::chrono::milliseconds call_timeout);

    std::unique_ptr<v1::Platform::Stub> stub_;
    std::chrono::milliseconds call_timeout_;
};

/// @brief True if a stored value carries the change id of the current write.
using change_predicate = std::function<bool(std::string_view value)>;

/// @brief Writes a key if it has the expected revision (0: does not exist).
///
/// If the reply is lost, the key is read again: if it holds this write, the
/// write succeeded; if it still has the expected revision, the write is sent
/// again; any other content is a conflict.
/// @param is_own_write true for a value that this write produced; values must
/// carry a random change id
/// @return the revision of the write, `errc::conflict`, or
/// `errc::platform_unavailable` if the outcome could not be determined
result<std::uint64_t> compare_and_swap(
    platform_store& store, std::string_view key, std::string_view value,
    std::uint64_t expected_revision, const change_predicate& is_own_write);

/// @brief Removes a key if it has the expected revision.
///
/// If the reply is lost, the key is read again. A key that is then absent
/// counts as removed.
/// @return the revision of the removal, or 0 if it is not known because the
/// reply was lost
result<std::uint64_t> compare_and_remove(
    platform_store& store, std::string_view key,
    std::uint64_t expected_revision);

} // namespace zinniahub::kv
