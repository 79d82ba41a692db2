// Contract tests of the stand-ins, as real processes. Faults of the stand-ins
// would otherwise show up as faults of the proxy.

#include "zinniahub/v1/member.grpc.pb.h"
#include "zinniahub/v1/platform.grpc.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <grpcpp/create_channel.h>
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace zinniahub
{

namespace
{

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint64_t group_uid = 7;

std::string free_address()
{
    boost::asio::io_context context;
    const tcp::acceptor acceptor(
        context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

bool eventually(const std::function<bool()>& condition)
{
    const auto end = steady_clock::now() + std::chrono::seconds(5);
    while (!condition())
    {
        if (steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

/// Starts the stand-in binary.
pid_t start_process(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), ZINNIAHUB_STANDIN_BINARY);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    pid_t pid = 0;
    if (posix_spawn(&pid, argv[0], nullptr, nullptr, argv.data(), environ) != 0)
        throw std::runtime_error("cannot start a stand-in");
    return pid;
}

/// Waits for the end of a process; -1 if it was killed.
int exit_status(pid_t pid)
{
    int status = 0;
    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/// A stand-in process with a control port; ended by SIGTERM, by process id.
class standin
{
public:
    standin(const std::string& kind, std::vector<std::string> arguments)
        : control_(free_address())
    {
        arguments.insert(arguments.begin(), kind);
        arguments.insert(arguments.end(), {"--control", control_});
        pid_ = start_process(std::move(arguments));
        if (!eventually([&] { return is_listening(); }))
            throw std::runtime_error("a stand-in does not listen");
    }

    ~standin()
    {
        stop();
    }

    standin(const standin&) = delete;
    standin& operator=(const standin&) = delete;

    int stop(int signal = SIGTERM)
    {
        if (pid_ == 0)
            return -1;
        kill(pid_, signal);
        return exit_status(std::exchange(pid_, 0));
    }

    /// Sends a command; replies of several lines end with "end".
    std::string command(const std::string& line) const
    {
        tcp::iostream stream;
        connect(stream);
        stream << line << "\n" << std::flush;
        std::string reply;
        std::string next;
        while (std::getline(stream, next))
        {
            if (!line.starts_with("dump"))
                return next;
            if (next == "end")
                break;
            reply += next + "\n";
        }
        return reply;
    }

private:
    void connect(tcp::iostream& stream) const
    {
        const auto colon = control_.find(':');
        stream.connect(control_.substr(0, colon), control_.substr(colon + 1));
    }

    bool is_listening() const
    {
        tcp::iostream stream;
        connect(stream);
        return stream.good();
    }

    std::string control_;
    pid_t pid_ = 0;
};

template<typename Service>
std::unique_ptr<typename Service::Stub> make_stub(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
    // Also bounds the time to connect; 50 ms failed with a thread sanitizer.
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 100);
    return Service::NewStub(grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments));
}

/// Makes a call with a deadline of two seconds.
template<typename Stub, typename Request, typename Reply>
grpc::Status call(
    Stub& stub,
    grpc::Status (Stub::*method)(grpc::ClientContext*, const Request&, Reply*),
    const Request& request, Reply& reply)
{
    grpc::ClientContext context;
    context.set_deadline(
        std::chrono::system_clock::now() + std::chrono::seconds(2));
    return (stub.*method)(&context, request, &reply);
}

/// Calls a method of the stub; `reply` is a new message.
#define CALL(stub, method, request, reply)                                     \
    call(                                                                      \
        *(stub), &std::remove_reference_t<decltype(*(stub))>::method, request, \
        reply)

class platform_contract : public testing::Test
{
protected:
    platform_contract()
        : address_(free_address())
        , process_("platform", {"--listen", address_, "--list-lag-ms", "300"})
        , stub_(make_stub<v1::Platform>(address_))
    {
    }

    v1::PutReply
    put(const std::string& key, const std::string& value,
        std::uint64_t expected, std::uint64_t lease = 0)
    {
        v1::PutRequest request;
        request.set_key(key);
        request.set_value(value);
        request.set_expected_revision(expected);
        request.set_lease(lease);
        v1::PutReply reply;
        check(CALL(stub_, Put, request, reply));
        return reply;
    }

    v1::GetReply get(const std::string& key)
    {
        v1::GetRequest request;
        request.set_key(key);
        v1::GetReply reply;
        check(CALL(stub_, Get, request, reply));
        return reply;
    }

    v1::WatchReply watch(std::uint64_t after, std::uint32_t wait_ms)
    {
        v1::WatchRequest request;
        request.set_prefix("/k");
        request.set_after_revision(after);
        request.set_wait_ms(wait_ms);
        v1::WatchReply reply;
        check(CALL(stub_, Watch, request, reply));
        return reply;
    }

    v1::ListHostsReply list()
    {
        v1::ListHostsReply reply;
        check(CALL(stub_, ListHosts, v1::ListHostsRequest(), reply));
        return reply;
    }

    /// A failed call leaves the reply's code at its default, which is OK.
    void check(const grpc::Status& status)
    {
        status_ = status;
        EXPECT_TRUE(status.ok() || may_fail_) << status.error_message();
    }

    std::string address_;
    standin process_;
    std::unique_ptr<v1::Platform::Stub> stub_;
    grpc::Status status_;
    bool may_fail_ = false;
};

} // namespace

// Guards against writes that ignore the revision they expect.
TEST_F(platform_contract, compares_revisions)
{
    const auto first = put("/k/a", "1", 0);
    EXPECT_EQ(first.code(), v1::PLATFORM_OK);
    EXPECT_EQ(put("/k/a", "2", 0).code(), v1::PLATFORM_CONFLICT);
    EXPECT_EQ(put("/k/a", "2", 0).revision(), first.revision());
    EXPECT_EQ(put("/k/a", "2", first.revision()).code(), v1::PLATFORM_OK);
    EXPECT_EQ(get("/k/a").entry().value(), "2");
    v1::DeleteRequest request;
    request.set_key("/k/a");
    request.set_expected_revision(first.revision());
    v1::DeleteReply reply;
    CALL(stub_, Delete, request, reply);
    EXPECT_EQ(reply.code(), v1::PLATFORM_CONFLICT);
    request.set_expected_revision(reply.revision());
    CALL(stub_, Delete, request, reply);
    EXPECT_EQ(reply.code(), v1::PLATFORM_OK);
    EXPECT_EQ(get("/k/a").code(), v1::PLATFORM_NOT_FOUND);
    const std::string large((1 << 20) + 1, 'x');
    EXPECT_EQ(put("/k/b", large, 0).code(), v1::PLATFORM_TOO_LARGE);
}

// Guards against keys that outlive their lease, and against a watch that misses
// the deletion.
TEST_F(platform_contract, deletes_keys_of_expired_leases)
{
    v1::GrantLeaseRequest request;
    request.set_ttl_ms(200);
    v1::GrantLeaseReply lease;
    CALL(stub_, GrantLease, request, lease);
    const auto written = put("/k/l", "held", 0, lease.lease());
    EXPECT_EQ(written.code(), v1::PLATFORM_OK);
    const auto seen = watch(written.revision(), 1500);
    ASSERT_EQ(seen.entries_size(), 1);
    EXPECT_TRUE(seen.entries(0).deleted());
    EXPECT_EQ(
        put("/k/l", "again", 0, lease.lease()).code(),
        v1::PLATFORM_LEASE_EXPIRED);
    v1::KeepAliveRequest late;
    late.set_lease(lease.lease());
    v1::KeepAliveReply reply;
    CALL(stub_, KeepAlive, late, reply);
    EXPECT_EQ(reply.code(), v1::PLATFORM_LEASE_EXPIRED);
}

// Guards against a watch that returns old changes, skips some, or reads from a
// history that no longer reaches back far enough.
TEST_F(platform_contract, watches_from_a_revision)
{
    const auto first = put("/k/a", "1", 0);
    put("/other", "1", 0);
    put("/k/b", "2", 0);
    const auto seen = watch(first.revision(), 1000);
    ASSERT_EQ(seen.entries_size(), 1);
    EXPECT_EQ(seen.entries(0).key(), "/k/b");
    EXPECT_EQ(seen.store_revision(), 3U);
    const auto idle = watch(3, 50);
    EXPECT_EQ(idle.entries_size(), 0);
    EXPECT_EQ(idle.code(), v1::PLATFORM_OK);
    std::thread writer(
        [&]
        {
            std::this_thread::sleep_for(milliseconds(100));
            v1::PutRequest request;
            request.set_key("/k/c");
            v1::PutReply reply;
            CALL(stub_, Put, request, reply);
        });
    EXPECT_EQ(watch(3, 1500).entries_size(), 1);
    writer.join();
    // 80 values of 1 MB exceed the 64 MB of history that are kept.
    std::uint64_t revision = 0;
    for (int count = 0; count < 80; ++count)
        revision = put("/big", std::string(1 << 20, 'x'), revision).revision();
    EXPECT_EQ(watch(3, 50).code(), v1::PLATFORM_COMPACTED);
    EXPECT_EQ(watch(revision, 50).code(), v1::PLATFORM_OK);
}

// Guards against a host list that is fresher than the real one.
TEST_F(platform_contract, lists_hosts_late)
{
    v1::AnnounceRequest request;
    request.mutable_host()->set_name("h1");
    v1::AnnounceReply reply;
    const auto start = steady_clock::now();
    ASSERT_TRUE(CALL(stub_, Announce, request, reply).ok());
    EXPECT_EQ(list().hosts_size(), 0);
    EXPECT_TRUE(eventually([&] { return list().hosts_size() == 1; }));
    EXPECT_GE(steady_clock::now() - start, milliseconds(300));
}

// Guards against faults that do not happen although a test asked for them.
TEST_F(platform_contract, injects_faults)
{
    may_fail_ = true;
    EXPECT_EQ(process_.command("lose-answers 1"), "ok");
    put("/k/a", "1", 0);
    EXPECT_EQ(status_.error_code(), grpc::StatusCode::UNAVAILABLE);
    EXPECT_EQ(get("/k/a").entry().value(), "1");

    process_.command("slow 100");
    const auto start = steady_clock::now();
    get("/k/a");
    EXPECT_TRUE(status_.ok());
    EXPECT_GE(steady_clock::now() - start, milliseconds(100));
    EXPECT_EQ(process_.command("heal"), "ok");

    process_.command("limit-writes 1");
    put("/k/b", "1", 0);
    EXPECT_TRUE(status_.ok());
    EXPECT_EQ(put("/k/c", "1", 0).code(), v1::PLATFORM_RATE_LIMITED);
    process_.command("heal");
    EXPECT_EQ(put("/k/c", "1", 0).code(), v1::PLATFORM_OK);
    EXPECT_TRUE(status_.ok());

    process_.command("outage 200");
    get("/k/a");
    EXPECT_EQ(status_.error_code(), grpc::StatusCode::UNAVAILABLE);
    EXPECT_TRUE(eventually([&] { return get("/k/a").has_entry(); }));
    const auto stats = process_.command("stats");
    EXPECT_NE(stats.find(" put=4"), std::string::npos) << stats;
    EXPECT_NE(stats.find(" writes=4"), std::string::npos) << stats;
    EXPECT_EQ(process_.command("nonsense"), "error unknown command");
    EXPECT_EQ(process_.stop(), 0);
}

namespace
{

/// One stream of `Member.Connect`.
class member_link
{
public:
    explicit member_link(v1::Member::Stub& stub)
        : stream_(stub.Connect(&context_))
    {
    }

    ~member_link()
    {
        context_.TryCancel();
        stream_->Finish();
    }

    member_link(const member_link&) = delete;
    member_link& operator=(const member_link&) = delete;

    bool send(
        const std::string& text, std::uint64_t term = 1,
        v1::Operation operation = v1::OPERATION_STATEMENT)
    {
        v1::MemberRequest request;
        request.set_id(++id_);
        request.set_term(term);
        request.set_group_uid(group_uid);
        request.set_operation(operation);
        request.set_text(text);
        return stream_->Write(request);
    }

    /// The next reply; nullopt when the stream has ended.
    std::optional<v1::MemberReply> receive()
    {
        v1::MemberReply reply;
        if (!stream_->Read(&reply))
            return std::nullopt;
        return reply;
    }

    /// Runs a statement; nullopt when the stream has ended.
    std::optional<v1::MemberReply>
    run(const std::string& text, std::uint64_t term = 1,
        v1::Operation operation = v1::OPERATION_STATEMENT)
    {
        if (!send(text, term, operation))
            return std::nullopt;
        return receive();
    }

    /// The code of a statement's reply, -1 when the stream has ended.
    int code(const std::string& text, std::uint64_t term = 1)
    {
        const auto reply = run(text, term);
        return reply ? reply->code() : -1;
    }

private:
    grpc::ClientContext context_;
    std::unique_ptr<
        grpc::ClientReaderWriter<v1::MemberRequest, v1::MemberReply>>
        stream_;
    std::uint64_t id_ = 0;
};

/// Three members "a", "b" and "c"; "a" is the primary of term 1.
class member_contract : public testing::Test
{
protected:
    member_contract()
    {
        for (auto& address : addresses_)
            address = free_address();
        for (std::size_t number = 0; number < 3; ++number)
            start(number);
    }

    void start(std::size_t number, bool rejoin = false)
    {
        std::string peers;
        for (std::size_t other = 0; other < 3; ++other)
            if (other != number)
                peers += fmt::format(
                    "{}{}={}", peers.empty() ? "" : ",", names_[other],
                    addresses_[other]);
        std::vector<std::string> arguments = {
            "--name",        names_[number],
            "--listen",      addresses_[number],
            "--group-uid",   std::to_string(group_uid),
            "--primary",     "a",
            "--peers",       peers,
            "--connections", "3",
            "--slots",       "1"};
        if (rejoin)
            arguments.emplace_back("--rejoin");
        processes_[number] = std::make_unique<standin>("member", arguments);
        stubs_[number] = make_stub<v1::Member>(addresses_[number]);
    }

    std::optional<v1::MemberStatus> status(std::size_t number)
    {
        grpc::ClientContext context;
        v1::WatchMemberRequest request;
        request.set_group_uid(group_uid);
        const auto reader = stubs_[number]->Watch(&context, request);
        v1::MemberStatus status;
        const bool read = reader->Read(&status);
        context.TryCancel();
        reader->Finish();
        return read ? std::optional(status) : std::nullopt;
    }

    v1::FenceReply fence(std::size_t number, std::uint64_t term)
    {
        v1::FenceRequest request;
        request.set_group_uid(group_uid);
        request.set_term(term);
        request.set_candidate(9);
        v1::FenceReply reply;
        CALL(stubs_[number], Fence, request, reply);
        return reply;
    }

    bool promote(
        std::size_t number, std::uint64_t term, const v1::Position& expected)
    {
        v1::PromoteRequest request;
        request.set_group_uid(group_uid);
        request.set_term(term);
        request.set_candidate(9);
        *request.mutable_expected_position() = expected;
        v1::PromoteReply reply;
        CALL(stubs_[number], Promote, request, reply);
        return reply.accepted();
    }

    bool follow(std::size_t number, std::uint64_t term, std::size_t primary)
    {
        v1::FollowRequest request;
        request.set_group_uid(group_uid);
        request.set_term(term);
        request.set_primary(names_[primary]);
        request.set_primary_address(addresses_[primary]);
        v1::FollowReply reply;
        CALL(stubs_[number], Follow, request, reply);
        return reply.accepted();
    }

    bool replicated(std::size_t number, const std::string& rows)
    {
        return eventually(
            [&] { return processes_[number]->command("dump ") == rows; });
    }

    std::string names_[3] = {"a", "b", "c"};
    std::string addresses_[3];
    std::unique_ptr<standin> processes_[3];
    std::unique_ptr<v1::Member::Stub> stubs_[3];
};

} // namespace

// Guards against a promotion that loses replicated writes, against an old
// primary that keeps its role and its own writes, and against a restarted
// member that does not catch up.
TEST_F(member_contract, changes_the_primary)
{
    {
        member_link link(*stubs_[0]);
        EXPECT_EQ(link.code("put k 1"), v1::MEMBER_OK);
        EXPECT_TRUE(replicated(1, "k 1\n"));
        EXPECT_TRUE(replicated(2, "k 1\n"));
    }
    const auto second = fence(1, 2);
    EXPECT_TRUE(second.accepted());
    EXPECT_TRUE(fence(2, 2).accepted());
    // The old primary does not know of term 2 yet.
    {
        member_link link(*stubs_[0]);
        EXPECT_EQ(link.code("put lost 1"), v1::MEMBER_OK);
    }
    EXPECT_TRUE(promote(1, 2, second.status().position()));
    EXPECT_TRUE(follow(0, 2, 1));
    EXPECT_TRUE(follow(2, 2, 1));
    member_link link(*stubs_[1]);
    EXPECT_EQ(link.code("put k 2"), v1::MEMBER_WRONG_TERM);
    EXPECT_EQ(link.code("put k 2", 2), v1::MEMBER_OK);
    EXPECT_TRUE(replicated(0, "k 2\n"));
    EXPECT_TRUE(replicated(2, "k 2\n"));

    processes_[2]->stop(SIGKILL);
    start(2, true);
    EXPECT_EQ(status(2)->term(), 0U);
    EXPECT_FALSE(fence(2, 3).accepted());
    EXPECT_TRUE(follow(2, 2, 1));
    EXPECT_TRUE(replicated(2, "k 2\n"));
    EXPECT_TRUE(eventually([&] { return fence(2, 3).accepted(); }));
}

// Guards against a silence that replicas do not report, which would keep a dead
// primary in its role.
TEST_F(member_contract, reports_the_silence_of_the_primary)
{
    EXPECT_EQ(status(0)->primary_silent_ms(), 0U);
    EXPECT_TRUE(
        eventually([&] { return status(1)->primary_silent_ms() < 200; }));
    processes_[0]->stop(SIGKILL);
    EXPECT_TRUE(
        eventually([&] { return status(1)->primary_silent_ms() > 1000; }));
}

// Guards against connections above the limit and against transactions that
// survive their connection.
TEST_F(member_contract, limits_connections_and_aborts_broken_transactions)
{
    member_link first(*stubs_[0]);
    member_link second(*stubs_[0]);
    auto third = std::make_unique<member_link>(*stubs_[0]);
    EXPECT_EQ(first.code("get k"), v1::MEMBER_OK);
    EXPECT_EQ(second.code("get k"), v1::MEMBER_OK);
    EXPECT_TRUE(third->run("", 1, v1::OPERATION_BEGIN));
    EXPECT_EQ(third->code("put k 1"), v1::MEMBER_OK);
    EXPECT_EQ(status(0)->open_transactions(), 1U);
    EXPECT_EQ(status(0)->connections(), 3U);
    member_link fourth(*stubs_[0]);
    const auto refusal = fourth.receive();
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->code(), v1::MEMBER_TOO_MANY_CONNECTIONS);
    EXPECT_FALSE(fourth.receive());
    third.reset();
    EXPECT_TRUE(eventually([&] { return status(0)->connections() == 2; }));
    EXPECT_EQ(status(0)->open_transactions(), 0U);
    EXPECT_EQ(processes_[0]->command("dump "), "");
}

// Guards against reply faults that do not happen although a test asked for
// them.
TEST_F(member_contract, injects_reply_faults)
{
    const auto& control = *processes_[0];
    member_link link(*stubs_[0]);
    control.command("crossed 1");
    EXPECT_NE(link.run("put k 1")->id(), 1U);
    control.command("garbage 1");
    EXPECT_FALSE(v1::MemberCode_IsValid(link.code("get k")));
    control.command("double 1");
    EXPECT_EQ(link.run("get k")->id(), 3U);
    EXPECT_EQ(link.receive()->id(), 3U);
    control.command("late 100");
    const auto start = steady_clock::now();
    EXPECT_EQ(link.run("get k")->id(), 4U);
    EXPECT_GE(steady_clock::now() - start, milliseconds(100));
    EXPECT_EQ(control.command("seen put k"), "yes");
    EXPECT_EQ(control.command("seen secret"), "no");
    EXPECT_EQ(
        control.command("stats"),
        "role=primary term=1 index=1 writes_acknowledged=1 connections=1 "
        "refused=0 transactions=0 silent_ms=0");
    EXPECT_EQ(processes_[0]->stop(), 0);
}

// Guards against statements that run at the same time beyond the slots.
TEST(member_slots, serialise_statements)
{
    const auto address = free_address();
    const standin process(
        "member", {"--name", "a", "--listen", address, "--group-uid",
                   std::to_string(group_uid), "--primary", "a", "--slots", "2",
                   "--statement-ms", "50", "--connect-ms", "100"});
    const auto stub = make_stub<v1::Member>(address);
    std::vector<std::thread> callers;
    callers.reserve(6);
    const auto start = steady_clock::now();
    for (int number = 0; number < 6; ++number)
        callers.emplace_back(
            [&]
            {
                member_link link(*stub);
                EXPECT_EQ(link.code("add n 1"), v1::MEMBER_OK);
            });
    for (auto& caller : callers)
        caller.join();
    // 100 ms to connect, then three rounds of 50 ms with two statements each.
    EXPECT_GE(steady_clock::now() - start, milliseconds(250));
    EXPECT_EQ(process.command("dump n"), "n 6\n");
}

namespace
{

/// A single member behind the fault proxy.
class fault_contract : public testing::Test
{
protected:
    fault_contract()
        : address_(free_address())
        , entry_(free_address())
        , member_(
              "member", {"--name", "a", "--listen", address_, "--group-uid",
                         std::to_string(group_uid), "--primary", "a"})
        , fault_("fault", {"--listen", entry_, "--to", address_})
        , stub_(make_stub<v1::Member>(entry_))
    {
    }

    bool reachable()
    {
        v1::QuiesceRequest request;
        request.set_group_uid(group_uid);
        request.set_term(1);
        v1::QuiesceReply reply;
        return CALL(stub_, Quiesce, request, reply).ok();
    }

    std::string address_;
    std::string entry_;
    standin member_;
    standin fault_;
    std::unique_ptr<v1::Member::Stub> stub_;
};

} // namespace

// Guards against partitions that let work through, and against links that do
// not recover.
TEST_F(fault_contract, cuts_and_heals)
{
    for (const auto* fault : {"cut", "cut-to", "cut-from", "freeze"})
    {
        member_link link(*stub_);
        ASSERT_EQ(link.code("add n 1"), v1::MEMBER_OK) << fault;
        EXPECT_EQ(fault_.command(fault), "ok");
        EXPECT_FALSE(reachable()) << fault;
        EXPECT_EQ(fault_.command("heal"), "ok");
        EXPECT_TRUE(eventually([&] { return reachable(); })) << fault;
    }
}

// Guards against a freeze that loses bytes.
TEST_F(fault_contract, resumes_a_frozen_connection)
{
    member_link link(*stub_);
    ASSERT_EQ(link.code("put k 1"), v1::MEMBER_OK);
    fault_.command("freeze");
    EXPECT_TRUE(link.send("put k 2"));
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(member_.command("dump k"), "k 1\n");
    fault_.command("heal");
    EXPECT_EQ(link.receive()->code(), v1::MEMBER_OK);
    EXPECT_EQ(member_.command("dump k"), "k 2\n");
}

// Guards against a lost answer whose request did not reach the target, which
// would hide requests that run twice.
TEST_F(fault_contract, drops_answers_after_the_request_has_run)
{
    for (int count = 1; count <= 20; ++count)
    {
        {
            member_link link(*stub_);
            ASSERT_TRUE(link.run("get n"));
            fault_.command("drop-answers 1");
            EXPECT_FALSE(link.run("add n 1"));
        }
        EXPECT_TRUE(eventually([&] { return reachable(); }));
        EXPECT_EQ(member_.command("dump n"), fmt::format("n {}\n", count));
    }
}

// Guards against a delay that is applied once for both directions, or that
// slows down a stream of messages to one per delay.
TEST_F(fault_contract, delays_each_direction)
{
    member_link link(*stub_);
    ASSERT_EQ(link.code("put k 1"), v1::MEMBER_OK);
    fault_.command("delay 50");
    auto start = steady_clock::now();
    ASSERT_EQ(link.code("get k"), v1::MEMBER_OK);
    const auto one = steady_clock::now() - start;
    EXPECT_GE(one, milliseconds(100));
    start = steady_clock::now();
    for (int count = 0; count < 20; ++count)
        ASSERT_TRUE(link.send("get k"));
    for (int count = 0; count < 20; ++count)
        ASSERT_EQ(link.receive()->code(), v1::MEMBER_OK);
    EXPECT_LT(steady_clock::now() - start, milliseconds(1000));
    EXPECT_EQ(fault_.stop(), 0);
}

// Guards against a stand-in that starts with options it does not understand.
TEST(standin_options, reject_bad_usage)
{
    const auto run = [](std::vector<std::string> arguments)
    { return exit_status(start_process(std::move(arguments))); };
    EXPECT_EQ(run({"--help"}), 0);
    for (const auto* kind : {"platform", "member", "fault"})
    {
        EXPECT_EQ(run({kind, "--help"}), 0) << kind;
        EXPECT_EQ(run({kind, "--nonsense"}), 1) << kind;
        EXPECT_EQ(run({kind, "--listen", "here"}), 1) << kind;
    }
    EXPECT_EQ(run({"nonsense"}), 2);
}

} // namespace zinniahub
