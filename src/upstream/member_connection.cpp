#include "upstream/member_connection.hpp"

#include <random>
#include <utility>

namespace zinniahub::upstream
{

namespace
{

/// Request ids of a connection begin at a random number: with the same ids on
/// all connections, a reply that belongs to another connection would be
/// taken for the expected one.
std::uint64_t random_first_id()
{
    constexpr std::uint64_t max_first_id = 1ULL << 62;
    static std::mutex mutex;
    static std::mt19937_64 generator(std::random_device{}());
    const std::lock_guard lock(mutex);
    return std::uniform_int_distribution<std::uint64_t>(1, max_first_id)(
        generator);
}

} // namespace

member_connection::member_connection()
    : base_id_(random_first_id())
    , last_id_(base_id_)
{
}

member_connection::pointer
member_connection::open(v1::Member::Stub& stub, open_handler opened)
{
    pointer connection(new member_connection);
    connection->on_open_ = std::move(opened);
    stub.async()->Connect(&connection->context_, connection.get());
    // gRPC holds a reference until OnDone.
    intrusive_ptr_add_ref(connection.get());
    connection->StartRead(&connection->reply_);
    connection->StartCall();
    return connection;
}

void member_connection::send(v1::MemberRequest request, reply_handler replied)
{
    {
        const std::lock_guard lock(mutex_);
        if (!broken_)
        {
            request.set_id(++last_id_);
            on_reply_ = std::move(replied);
            // A reply can arrive before the write of its request has completed,
            // and gRPC allows one write at a time.
            if (writing_)
            {
                next_request_ = std::move(request);
            }
            else
            {
                start_write(std::move(request));
            }
            return;
        }
    }
    // Nothing was written, so the request has not run.
    replied(fail(errc::member_unreachable, "connection is closed"));
}

void member_connection::start_write(v1::MemberRequest request)
{
    request_ = std::move(request);
    writing_ = true;
    StartWrite(&request_);
}

void member_connection::close()
{
    {
        const std::lock_guard lock(mutex_);
        broken_ = true;
    }
    context_.TryCancel();
}

bool member_connection::is_broken() const
{
    const std::lock_guard lock(mutex_);
    return broken_;
}

void member_connection::OnReadInitialMetadataDone(bool ok)
{
    if (ok)
    {
        finish_open({});
    }
}

void member_connection::finish_open(result<void> outcome)
{
    open_handler opened;
    {
        const std::lock_guard lock(mutex_);
        accepted_ = accepted_ || outcome.has_value();
        opened = std::exchange(on_open_, nullptr);
    }
    if (opened)
    {
        opened(std::move(outcome));
    }
}

void member_connection::OnReadDone(bool ok)
{
    if (!ok)
    {
        fail_connection(errc::connection_lost, "stream ended");
        return;
    }
    handle_reply();
}

void member_connection::handle_reply()
{
    if (reply_.code() == v1::MEMBER_TOO_MANY_CONNECTIONS)
    {
        // The refusal can follow the metadata that reported the connection as
        // open. The member reads no request of a connection it refuses.
        finish_open(fail(errc::connection_limit_reached));
        fail_connection(
            errc::connection_limit_reached, "refused by the member");
        context_.TryCancel();
        StartRead(&reply_);
        return;
    }

    reply_handler replied;
    v1::MemberReply reply;
    bool crossed = false;
    {
        const std::lock_guard lock(mutex_);
        // A reply with an earlier id of this connection is a duplicate of one
        // that was already delivered.
        const bool duplicate = reply_.id() > base_id_ && reply_.id() < last_id_;
        const bool expected = on_reply_ && reply_.id() == last_id_;
        crossed = !duplicate && !expected && reply_.id() != last_id_;
        if (expected)
        {
            replied = std::exchange(on_reply_, nullptr);
            reply = std::move(reply_);
        }
    }
    if (crossed)
    {
        fail_connection(errc::reply_mismatch, "reply to another request");
        context_.TryCancel();
    }
    StartRead(&reply_);
    if (replied)
    {
        replied(std::move(reply));
    }
}

void member_connection::OnWriteDone(bool ok)
{
    // A failed write is followed by a failed read, which ends the connection.
    const std::lock_guard lock(mutex_);
    writing_ = false;
    if (ok && next_request_)
    {
        start_write(*std::exchange(next_request_, std::nullopt));
    }
}

void member_connection::fail_connection(errc code, const char* detail)
{
    reply_handler replied;
    {
        const std::lock_guard lock(mutex_);
        broken_ = true;
        replied = std::exchange(on_reply_, nullptr);
    }
    finish_open(fail(errc::member_unreachable, detail));
    if (replied)
    {
        replied(fail(code, detail));
    }
}

void member_connection::OnDone(const grpc::Status& status)
{
    fail_connection(errc::connection_lost, status.error_message().c_str());
    intrusive_ptr_release(this);
}

} // namespace zinniahub::upstream
