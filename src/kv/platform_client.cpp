#include "kv/platform_client.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <algorithm>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace zinniahub::kv
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::system_clock;

/// The library's default of up to 120 s between connection attempts would
/// break the bound of 14 s for configuration changes after an outage.
constexpr int max_reconnect_backoff_ms = 1000;
constexpr int initial_reconnect_backoff_ms = 100;
/// gRPC also uses the minimum as the limit on the time to connect; 100 ms is
/// too short on a busy host and made commands fail.
constexpr int min_reconnect_backoff_ms = 1000;

/// A range of the whole configuration exceeds the library's default of 4 MiB.
constexpr int max_receive_bytes = 64 * 1024 * 1024;

/// Consecutive timeouts after which the connection is replaced. If the peer
/// disappears without a TCP reset, timeouts are the only indication.
constexpr unsigned max_consecutive_timeouts = 3;

/// Attempts of a read by an operator command.
constexpr int read_attempts = 4;
constexpr milliseconds read_retry_delay{100};

/// Attempts of a write that got no reply.
constexpr int write_attempts = 4;
constexpr milliseconds write_retry_delay{100};

std::shared_ptr<grpc::Channel> make_channel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(
        GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initial_reconnect_backoff_ms);
    arguments.SetInt(
        GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_reconnect_backoff_ms);
    arguments.SetInt(
        GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    arguments.SetMaxReceiveMessageSize(max_receive_bytes);
    // A replaced channel must not share the old one's connection.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
}

std::string detail_of(const v1::PutReply& reply)
{
    return fmt::format("current revision {}", reply.revision());
}

std::string detail_of(const v1::DeleteReply& reply)
{
    return fmt::format("current revision {}", reply.revision());
}

template<typename Reply>
std::string detail_of(const Reply& reply)
{
    return reply.code() == v1::PLATFORM_COMPACTED ? "revision is compacted"
                                                  : std::string();
}

template<typename Reply>
result<Reply> to_result(const grpc::Status& status, Reply&& reply)
{
    if (!status.ok())
    {
        return fail(
            errc::platform_unavailable,
            fmt::format(
                "status {}: {}", static_cast<int>(status.error_code()),
                status.error_message()));
    }
    if (reply.code() != v1::PLATFORM_OK)
        return fail(errc_of(reply.code()), detail_of(reply));
    return std::forward<Reply>(reply);
}

bool is_retryable_read_error(errc code)
{
    return code == errc::platform_unavailable ||
           code == errc::platform_rate_limited;
}

} // namespace

errc errc_of(v1::PlatformCode code)
{
    switch (code)
    {
    case v1::PLATFORM_CONFLICT:
        return errc::conflict;
    case v1::PLATFORM_NOT_FOUND:
    case v1::PLATFORM_COMPACTED:
        return errc::not_found;
    case v1::PLATFORM_LEASE_EXPIRED:
        return errc::lease_expired;
    case v1::PLATFORM_RATE_LIMITED:
        return errc::platform_rate_limited;
    case v1::PLATFORM_TOO_LARGE:
        return errc::value_too_large;
    default:
        return errc::platform_unavailable;
    }
}

/// @brief Connection and calls in progress, shared with the gRPC threads.
///
/// A channel must not be destroyed in a completion callback: if it is the last
/// one of the process, gRPC 1.51 stops and joins its callback threads, and the
/// callback's own thread is one of them. Channels are therefore released only
/// by the threads that start calls or destroy the client.
struct async_platform_client::state
{
    using stub_pointer = std::shared_ptr<v1::Platform::Stub>;

    state(boost::asio::io_context& io, std::string_view platform_address)
        : context(io)
        , address_(platform_address)
        , stub_(v1::Platform::NewStub(make_channel(address_)))
    {
    }

    stub_pointer begin_call(grpc::ClientContext& call)
    {
        // Destroyed after the lock is released: the destruction may wait for
        // callback threads, which take the lock.
        std::vector<stub_pointer> unused;
        const std::lock_guard guard(lock_);
        if (consecutive_timeouts_ >= max_consecutive_timeouts)
            replace_channel();
        const auto first_unused = std::partition(
            retired_.begin(), retired_.end(),
            [](const stub_pointer& old) { return old.use_count() > 1; });
        std::move(first_unused, retired_.end(), std::back_inserter(unused));
        retired_.erase(first_unused, retired_.end());
        calls_.insert(&call);
        ++active_calls_;
        return stub_;
    }

    /// @brief Records the status of a completed call, which can no longer be
    /// cancelled.
    void complete_call(grpc::ClientContext& call, const grpc::Status& status)
    {
        const std::lock_guard guard(lock_);
        calls_.erase(&call);
        const bool timed_out =
            status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
        consecutive_timeouts_ = timed_out ? consecutive_timeouts_ + 1 : 0;
    }

    /// @brief Unregisters a call whose context has been destroyed.
    void release_call()
    {
        const std::lock_guard guard(lock_);
        --active_calls_;
        idle_.notify_all();
    }

    void cancel_all()
    {
        std::unique_lock guard(lock_);
        for (auto* call : calls_)
            call->TryCancel();
        idle_.wait(guard, [this] { return active_calls_ == 0; });
    }

    boost::asio::io_context& context;

private:
    /// @pre lock is held
    void replace_channel()
    {
        retired_.push_back(std::move(stub_));
        stub_ = v1::Platform::NewStub(make_channel(address_));
        consecutive_timeouts_ = 0;
    }

    const std::string address_;
    std::mutex lock_;
    std::condition_variable idle_;
    std::set<grpc::ClientContext*> calls_;
    std::size_t active_calls_ = 0;
    stub_pointer stub_;
    /// Replaced stubs, kept while calls use them.
    std::vector<stub_pointer> retired_;
    unsigned consecutive_timeouts_ = 0;
};

namespace
{

template<typename Reply>
using handler = async_platform_client::handler<Reply>;

/// `class` is needed because the stub has a function of the same name.
using async_rpcs = class v1::Platform::Stub::async;

template<typename Request, typename Reply>
using method = void (async_rpcs::*)(
    grpc::ClientContext*, const Request*, Reply*,
    std::function<void(grpc::Status)>);

/// @brief A call in progress, owned by its gRPC callback.
template<typename Request, typename Reply>
struct pending_call
{
    /// Declared first, so that it is destroyed after the context, which also
    /// refers to the channel.
    std::shared_ptr<v1::Platform::Stub> stub;
    grpc::ClientContext context;
    Request request;
    Reply reply;
    handler<Reply> done;
};

template<typename State, typename Request, typename Reply>
void start_call(
    State& state, method<Request, Reply> rpc, const Request& request,
    milliseconds limit, handler<Reply> done)
{
    auto call = std::make_shared<pending_call<Request, Reply>>();
    call->request = request;
    call->done = std::move(done);
    call->context.set_deadline(system_clock::now() + limit);
    call->stub = state.begin_call(call->context);
    auto& record = *call;
    auto work = boost::asio::make_work_guard(state.context);
    auto finish = [&state, call = std::move(call),
                   work = std::move(work)](const grpc::Status& status) mutable
    {
        boost::asio::post(
            state.context,
            [done = std::move(call->done),
             outcome = to_result(status, std::move(call->reply))]() mutable
            { done(std::move(outcome)); });
        state.complete_call(call->context, status);
        call.reset();
        // The state and the io_context may be destroyed after this call.
        work.reset();
        state.release_call();
    };
    (record.stub->async()->*rpc)(
        &record.context, &record.request, &record.reply, std::move(finish));
}

} // namespace

std::unique_ptr<async_platform_client> async_platform_client::make(
    boost::asio::io_context& context, std::string_view address)
{
    return std::unique_ptr<async_platform_client>(
        new async_platform_client(std::make_unique<state>(context, address)));
}

async_platform_client::async_platform_client(std::unique_ptr<state> owned)
    : state_(std::move(owned))
{
}

async_platform_client::~async_platform_client()
{
    state_->cancel_all();
}

void async_platform_client::get(
    const v1::GetRequest& request, timeout limit, handler<v1::GetReply> done)
{
    start_call(*state_, &async_rpcs::Get, request, limit, std::move(done));
}

void async_platform_client::range(
    const v1::RangeRequest& request, timeout limit,
    handler<v1::RangeReply> done)
{
    start_call(*state_, &async_rpcs::Range, request, limit, std::move(done));
}

void async_platform_client::put(
    const v1::PutRequest& request, timeout limit, handler<v1::PutReply> done)
{
    start_call(*state_, &async_rpcs::Put, request, limit, std::move(done));
}

void async_platform_client::remove(
    const v1::DeleteRequest& request, timeout limit,
    handler<v1::DeleteReply> done)
{
    start_call(*state_, &async_rpcs::Delete, request, limit, std::move(done));
}

void async_platform_client::grant_lease(
    const v1::GrantLeaseRequest& request, timeout limit,
    handler<v1::GrantLeaseReply> done)
{
    start_call(
        *state_, &async_rpcs::GrantLease, request, limit, std::move(done));
}

void async_platform_client::keep_alive(
    const v1::KeepAliveRequest& request, timeout limit,
    handler<v1::KeepAliveReply> done)
{
    start_call(
        *state_, &async_rpcs::KeepAlive, request, limit, std::move(done));
}

void async_platform_client::revoke_lease(
    const v1::RevokeLeaseRequest& request, timeout limit,
    handler<v1::RevokeLeaseReply> done)
{
    start_call(
        *state_, &async_rpcs::RevokeLease, request, limit, std::move(done));
}

void async_platform_client::watch(
    const v1::WatchRequest& request, timeout limit,
    handler<v1::WatchReply> done)
{
    start_call(
        *state_, &async_rpcs::Watch, request,
        limit + milliseconds(request.wait_ms()), std::move(done));
}

void async_platform_client::announce(
    const v1::AnnounceRequest& request, timeout limit,
    handler<v1::AnnounceReply> done)
{
    start_call(*state_, &async_rpcs::Announce, request, limit, std::move(done));
}

void async_platform_client::list_hosts(
    const v1::ListHostsRequest& request, timeout limit,
    handler<v1::ListHostsReply> done)
{
    start_call(
        *state_, &async_rpcs::ListHosts, request, limit, std::move(done));
}

namespace
{

using blocking_rpcs = v1::Platform::Stub;

template<typename Request, typename Reply>
using blocking_method = grpc::Status (blocking_rpcs::*)(
    grpc::ClientContext*, const Request&, Reply*);

template<typename Request, typename Reply>
result<Reply> call_once(
    v1::Platform::Stub& stub, blocking_method<Request, Reply> rpc,
    const Request& request, milliseconds limit)
{
    grpc::ClientContext context;
    context.set_deadline(system_clock::now() + limit);
    Reply reply;
    const auto status = (stub.*rpc)(&context, request, &reply);
    return to_result(status, std::move(reply));
}

template<typename Request, typename Reply>
result<Reply> call_with_retries(
    v1::Platform::Stub& stub, blocking_method<Request, Reply> rpc,
    const Request& request, milliseconds limit)
{
    auto outcome = call_once(stub, rpc, request, limit);
    for (int attempt = 1; attempt < read_attempts && !outcome &&
                          is_retryable_read_error(outcome.error().code);
         ++attempt)
    {
        std::this_thread::sleep_for(read_retry_delay * attempt);
        outcome = call_once(stub, rpc, request, limit);
    }
    return outcome;
}

} // namespace

std::unique_ptr<blocking_platform_client> blocking_platform_client::make(
    std::string_view address, milliseconds call_timeout)
{
    return std::unique_ptr<blocking_platform_client>(
        new blocking_platform_client(
            make_channel(std::string(address)), call_timeout));
}

blocking_platform_client::blocking_platform_client(
    const std::shared_ptr<grpc::Channel>& channel, milliseconds call_timeout)
    : stub_(v1::Platform::NewStub(channel))
    , call_timeout_(call_timeout)
{
}

result<v1::GetReply>
blocking_platform_client::get(const v1::GetRequest& request)
{
    return call_with_retries(
        *stub_, &blocking_rpcs::Get, request, call_timeout_);
}

result<v1::RangeReply>
blocking_platform_client::range(const v1::RangeRequest& request)
{
    return call_with_retries(
        *stub_, &blocking_rpcs::Range, request, call_timeout_);
}

result<v1::PutReply>
blocking_platform_client::put(const v1::PutRequest& request)
{
    return call_once(*stub_, &blocking_rpcs::Put, request, call_timeout_);
}

result<v1::DeleteReply>
blocking_platform_client::remove(const v1::DeleteRequest& request)
{
    return call_once(*stub_, &blocking_rpcs::Delete, request, call_timeout_);
}

result<v1::ListHostsReply> blocking_platform_client::list_hosts()
{
    return call_with_retries(
        *stub_, &blocking_rpcs::ListHosts, {}, call_timeout_);
}

namespace
{

/// @brief True if the key must be read to learn whether the write took effect
/// and may be retried.
bool needs_read_back(errc code)
{
    return code == errc::platform_unavailable ||
           code == errc::platform_rate_limited || code == errc::conflict;
}

/// @brief Stored state of a key.
struct stored_key
{
    /// 0 if the key does not exist.
    std::uint64_t revision = 0;
    std::string value;
};

result<stored_key> read_key(platform_store& store, std::string_view key)
{
    v1::GetRequest request;
    request.set_key(std::string(key));
    auto reply = store.get(request);
    if (reply)
        return stored_key{reply->entry().revision(), reply->entry().value()};
    if (reply.error().code == errc::not_found)
        return stored_key{};
    return tl::make_unexpected(reply.error());
}

tl::unexpected<error> revision_conflict(
    std::string_view key, std::uint64_t revision, std::uint64_t expected)
{
    return fail(
        errc::conflict,
        fmt::format(
            "{} has revision {}, expected {}", key, revision, expected));
}

/// @brief Retries a write until its outcome is known, with at most
/// `write_attempts` attempts.
/// @param write sends the write; takes the number of earlier attempts
/// @param revision_if_applied the revision of the write if the stored key shows
/// that it took effect
template<typename Write, typename RevisionIfApplied>
result<std::uint64_t> write_with_retries(
    platform_store& store, std::string_view key,
    std::uint64_t expected_revision, const Write& write,
    const RevisionIfApplied& revision_if_applied)
{
    error last{errc::platform_unavailable, {}};
    for (int attempt = 0; attempt < write_attempts; ++attempt)
    {
        if (attempt > 0)
            std::this_thread::sleep_for(write_retry_delay * attempt);
        result<std::uint64_t> written = write(attempt);
        if (written)
            return written;
        last = written.error();
        if (!needs_read_back(last.code))
            return tl::make_unexpected(last);
        // A conflict may be caused by an earlier attempt of this write.
        const auto stored = read_key(store, key);
        if (!stored)
            last = stored.error();
        else if (const auto revision = revision_if_applied(*stored))
            return *revision;
        else if (stored->revision != expected_revision)
            return revision_conflict(key, stored->revision, expected_revision);
    }
    return tl::make_unexpected(last);
}

} // namespace

result<std::uint64_t> compare_and_swap(
    platform_store& store, std::string_view key, std::string_view value,
    std::uint64_t expected_revision, const change_predicate& is_own_write)
{
    v1::PutRequest request;
    request.set_key(std::string(key));
    request.set_value(std::string(value));
    request.set_expected_revision(expected_revision);
    const auto write = [&](int) -> result<std::uint64_t>
    {
        return store.put(request).map([](const v1::PutReply& reply)
                                      { return reply.revision(); });
    };
    const auto revision_if_applied =
        [&](const stored_key& stored) -> std::optional<std::uint64_t>
    {
        if (stored.revision != 0 && is_own_write(stored.value))
            return stored.revision;
        return std::nullopt;
    };
    return write_with_retries(
        store, key, expected_revision, write, revision_if_applied);
}

result<std::uint64_t> compare_and_remove(
    platform_store& store, std::string_view key,
    std::uint64_t expected_revision)
{
    v1::DeleteRequest request;
    request.set_key(std::string(key));
    request.set_expected_revision(expected_revision);
    const auto write = [&](int earlier_attempts) -> result<std::uint64_t>
    {
        const auto removed = store.remove(request);
        if (removed)
            return removed->revision();
        if (removed.error().code == errc::not_found && earlier_attempts > 0)
            return 0;
        return tl::make_unexpected(removed.error());
    };
    const auto revision_if_applied =
        [](const stored_key& stored) -> std::optional<std::uint64_t>
    {
        if (stored.revision == 0)
            return 0;
        return std::nullopt;
    };
    return write_with_retries(
        store, key, expected_revision, write, revision_if_applied);
}

} // namespace zinniahub::kv
