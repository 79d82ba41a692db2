#include "observability/log.hpp"
#include "standins/commands.hpp"
#include "standins/control_port.hpp"
#include "standins/member_store.hpp"
#include "zinniahub/v1/member.grpc.pb.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <fmt/format.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

namespace zinniahub::standin
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds status_interval{200};
constexpr milliseconds log_poll_time{50};
constexpr milliseconds log_call_deadline{500};
/// Pause after a failed call and between checks for a primary to follow.
constexpr milliseconds log_retry_pause{10};
/// Added to the id of a reply that is sent as crossed.
constexpr std::uint64_t crossed_id_offset = 1'000'000'000;
constexpr int garbage_code = 99;

struct member_options
{
    std::string listen;
    std::string control;
    std::map<std::string, std::string> peers;
    member_settings store;
    std::uint32_t slots = 0;
    std::uint64_t lag_ms = 0;
    std::uint64_t connect_ms = 0;
    double statement_ms = 0;
};

/// Stop flag with a sleep that is interrupted when the flag is set.
class stop_signal
{
public:
    void set()
    {
        {
            const std::lock_guard lock(mutex_);
            stopped_ = true;
        }
        changed_.notify_all();
    }

    bool is_set() const
    {
        return stopped_;
    }

    void sleep(duration time)
    {
        if (time <= duration::zero())
            return;
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, time, [&] { return stopped_.load(); });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> stopped_ = false;
};

/// FIFO semaphore that limits the number of statements executing concurrently.
class slot_queue
{
public:
    explicit slot_queue(std::uint64_t slots)
        : slots_(slots)
    {
    }

    void acquire()
    {
        std::unique_lock lock(mutex_);
        const auto ticket = next_ticket_++;
        released_changed_.wait(
            lock, [&] { return slots_ == 0 || ticket < released_ + slots_; });
    }

    void release()
    {
        {
            const std::lock_guard lock(mutex_);
            ++released_;
        }
        released_changed_.notify_all();
    }

private:
    const std::uint64_t slots_;
    std::mutex mutex_;
    std::condition_variable released_changed_;
    std::uint64_t next_ticket_ = 0;
    std::uint64_t released_ = 0;
};

/// Request texts and metadata received by the member; tests search them.
class request_record
{
public:
    void add(std::string_view text)
    {
        const std::lock_guard lock(mutex_);
        texts_.emplace(text);
    }

    void add(const grpc::ServerContext& context)
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [key, value] : context.client_metadata())
        {
            texts_.emplace(key.data(), key.size());
            texts_.emplace(value.data(), value.size());
        }
    }

    bool contains(const std::string& wanted) const
    {
        const std::lock_guard lock(mutex_);
        return std::any_of(
            texts_.begin(), texts_.end(),
            [&](const std::string& text)
            { return text.find(wanted) != std::string::npos; });
    }

private:
    mutable std::mutex mutex_;
    std::set<std::string> texts_;
};

/// Faults injected by tests. Each count is the number of replies that remain to
/// be affected.
struct reply_faults
{
    std::atomic<std::uint64_t> crossed = 0;
    std::atomic<std::uint64_t> doubled = 0;
    std::atomic<std::uint64_t> garbage = 0;
    std::atomic<std::uint64_t> late_ms = 0;
    std::atomic<std::uint64_t> swapped = 0;
};

/// Swaps the replies of two connections. Simulates an upstream that sends a
/// reply to the wrong caller.
class reply_exchange
{
public:
    /// @return the reply of the next connection that calls this function, or
    /// `own` if there is no such call within the time limit
    v1::MemberReply exchange(v1::MemberReply own)
    {
        std::unique_lock lock(mutex_);
        if (waiting_ != nullptr)
        {
            std::swap(own, *std::exchange(waiting_, nullptr));
            lock.unlock();
            exchanged_.notify_all();
            return own;
        }
        waiting_ = &own;
        exchanged_.wait_for(lock, wait_limit, [&] { return waiting_ != &own; });
        if (waiting_ == &own)
            waiting_ = nullptr;
        return own;
    }

private:
    static constexpr milliseconds wait_limit{100};

    std::mutex mutex_;
    std::condition_variable exchanged_;
    v1::MemberReply* waiting_ = nullptr;
};

bool take_one(std::atomic<std::uint64_t>& count)
{
    auto left = count.load();
    while (left > 0 && !count.compare_exchange_weak(left, left - 1))
    {
    }
    return left > 0;
}

class member_service : public v1::Member::Service
{
public:
    explicit member_service(member_options options);
    ~member_service() override;
    member_service(const member_service&) = delete;
    member_service& operator=(const member_service&) = delete;

    using connection =
        grpc::ServerReaderWriter<v1::MemberReply, v1::MemberRequest>;

    grpc::Status
    Connect(grpc::ServerContext* context, connection* stream) override;
    grpc::Status Watch(
        grpc::ServerContext* context, const v1::WatchMemberRequest* request,
        grpc::ServerWriter<v1::MemberStatus>* writer) override;
    grpc::Status Fence(
        grpc::ServerContext* context, const v1::FenceRequest* request,
        v1::FenceReply* reply) override;
    grpc::Status Promote(
        grpc::ServerContext* context, const v1::PromoteRequest* request,
        v1::PromoteReply* reply) override;
    grpc::Status Follow(
        grpc::ServerContext* context, const v1::FollowRequest* request,
        v1::FollowReply* reply) override;
    grpc::Status Quiesce(
        grpc::ServerContext* context, const v1::QuiesceRequest* request,
        v1::QuiesceReply* reply) override;
    grpc::Status FetchLog(
        grpc::ServerContext* context, const v1::FetchLogRequest* request,
        v1::FetchLogReply* reply) override;

    control_commands commands();
    void stop();

private:
    bool open_connection();
    void serve_connection(connection& stream);
    v1::MemberReply
    execute(member_session& session, const v1::MemberRequest& request);
    bool send(connection& stream, v1::MemberReply reply);
    v1::MemberStatus status_locked() const;
    void notify_locked();
    template<typename Reply>
    grpc::Status change_term(
        grpc::ServerContext* context, Reply* reply, std::string_view event,
        const std::function<bool()>& change);
    void replicate();
    void apply_delayed_entries();
    void fetch_once(v1::Member::Stub& primary, const v1::FetchLogRequest&);
    std::string stats() const;
    std::string dump(const std::string& prefix) const;

    const member_options options_;
    stop_signal stop_;
    slot_queue slots_;
    reply_faults faults_;
    reply_exchange exchange_;
    request_record requests_;
    std::atomic<std::uint64_t> lag_ms_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::condition_variable held_changed_;
    member_store store_;
    std::uint64_t changes_ = 0;
    std::uint32_t connections_ = 0;
    std::uint64_t writes_acknowledged_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t requests_received_ = 0;

    std::thread replication_;
    std::thread application_;
};

member_service::member_service(member_options options)
    : options_(std::move(options))
    , slots_(options_.slots)
    , lag_ms_(options_.lag_ms)
    , store_(options_.store, clock::now())
    , replication_([this] { replicate(); })
    , application_([this] { apply_delayed_entries(); })
{
}

member_service::~member_service()
{
    stop();
    replication_.join();
    application_.join();
}

void member_service::stop()
{
    stop_.set();
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
    held_changed_.notify_all();
}

bool member_service::open_connection()
{
    const std::lock_guard lock(mutex_);
    const auto limit = options_.store.connection_limit;
    if (limit != 0 && connections_ >= limit)
    {
        ++refused_;
        return false;
    }
    ++connections_;
    notify_locked();
    return true;
}

grpc::Status
member_service::Connect(grpc::ServerContext* context, connection* stream)
{
    requests_.add(*context);
    if (!open_connection())
    {
        v1::MemberReply refusal;
        refusal.set_code(v1::MEMBER_TOO_MANY_CONNECTIONS);
        stream->Write(refusal);
        return {
            grpc::StatusCode::RESOURCE_EXHAUSTED, "connection limit reached"};
    }
    stop_.sleep(milliseconds(options_.connect_ms));
    stream->SendInitialMetadata();
    serve_connection(*stream);
    const std::lock_guard lock(mutex_);
    --connections_;
    notify_locked();
    return grpc::Status::OK;
}

void member_service::serve_connection(connection& stream)
{
    member_session session;
    v1::MemberRequest request;
    while (!stop_.is_set() && stream.Read(&request))
    {
        requests_.add(request.text());
        const bool uses_slot = request.operation() == v1::OPERATION_STATEMENT;
        if (uses_slot)
        {
            slots_.acquire();
            stop_.sleep(from_seconds(options_.statement_ms / 1000));
        }
        auto reply = execute(session, request);
        if (uses_slot)
            slots_.release();
        if (!send(stream, std::move(reply)))
            break;
    }
    const std::lock_guard lock(mutex_);
    store_.close(session);
}

v1::MemberReply member_service::execute(
    member_session& session, const v1::MemberRequest& request)
{
    const std::lock_guard lock(mutex_);
    ++requests_received_;
    const auto before = store_.position();
    const auto now = clock::now();
    auto reply = store_.execute(session, request, now);
    if (reply.code() != v1::MEMBER_OK)
        ++refused_;
    const bool wrote = store_.position() != before;
    if (wrote)
        ++writes_acknowledged_;
    // During a planned change the coordinator waits for open transactions.
    if (wrote || store_.status(now).quiesced())
        notify_locked();
    return reply;
}

bool member_service::send(connection& stream, v1::MemberReply reply)
{
    stop_.sleep(milliseconds(faults_.late_ms.load()));
    if (take_one(faults_.swapped))
        reply = exchange_.exchange(std::move(reply));
    if (take_one(faults_.crossed))
        reply.set_id(reply.id() + crossed_id_offset);
    if (take_one(faults_.garbage))
    {
        reply.set_code(static_cast<v1::MemberCode>(garbage_code));
        reply.clear_rows();
    }
    if (take_one(faults_.doubled) && !stream.Write(reply))
        return false;
    return stream.Write(reply);
}

v1::MemberStatus member_service::status_locked() const
{
    auto status = store_.status(clock::now());
    status.set_connections(connections_);
    return status;
}

void member_service::notify_locked()
{
    ++changes_;
    changed_.notify_all();
}

grpc::Status member_service::Watch(
    grpc::ServerContext* context, const v1::WatchMemberRequest* request,
    grpc::ServerWriter<v1::MemberStatus>* writer)
{
    requests_.add(*context);
    if (request->group_uid() != options_.store.group_uid)
        return {grpc::StatusCode::NOT_FOUND, "other database group"};
    std::unique_lock lock(mutex_);
    while (!stop_.is_set() && !context->IsCancelled())
    {
        const auto seen = changes_;
        const auto status = status_locked();
        lock.unlock();
        if (!writer->Write(status))
            break;
        lock.lock();
        changed_.wait_for(
            lock, status_interval,
            [&] { return changes_ != seen || stop_.is_set(); });
    }
    return grpc::Status::OK;
}

template<typename Reply>
grpc::Status member_service::change_term(
    grpc::ServerContext* context, Reply* reply, std::string_view event,
    const std::function<bool()>& change)
{
    requests_.add(*context);
    const std::lock_guard lock(mutex_);
    reply->set_accepted(change());
    *reply->mutable_status() = status_locked();
    notify_locked();
    held_changed_.notify_all();
    log::info(
        event, "member={} accepted={} term={} role={} primary={} index={}",
        options_.store.name, reply->accepted(), reply->status().term(),
        v1::MemberRole_Name(reply->status().role()), reply->status().primary(),
        reply->status().position().index());
    return grpc::Status::OK;
}

grpc::Status member_service::Fence(
    grpc::ServerContext* context, const v1::FenceRequest* request,
    v1::FenceReply* reply)
{
    return change_term(
        context, reply, "member_fence", [&] { return store_.fence(*request); });
}

grpc::Status member_service::Promote(
    grpc::ServerContext* context, const v1::PromoteRequest* request,
    v1::PromoteReply* reply)
{
    return change_term(
        context, reply, "member_promote",
        [&] { return store_.promote(*request); });
}

grpc::Status member_service::Follow(
    grpc::ServerContext* context, const v1::FollowRequest* request,
    v1::FollowReply* reply)
{
    // Replication connects through the addresses given to this member, so that
    // tests can cut its links.
    auto routed = *request;
    const auto route = options_.peers.find(request->primary());
    if (route != options_.peers.end())
        routed.set_primary_address(route->second);
    return change_term(
        context, reply, "member_follow", [&] { return store_.follow(routed); });
}

grpc::Status member_service::Quiesce(
    grpc::ServerContext* context, const v1::QuiesceRequest* request,
    v1::QuiesceReply* reply)
{
    return change_term(
        context, reply, "member_quiesce",
        [&] { return store_.quiesce(*request, clock::now()); });
}

grpc::Status member_service::FetchLog(
    grpc::ServerContext* context, const v1::FetchLogRequest* request,
    v1::FetchLogReply* reply)
{
    requests_.add(*context);
    std::unique_lock lock(mutex_);
    const log_position last{request->last().term(), request->last().index()};
    changed_.wait_for(
        lock, log_poll_time,
        [&]
        {
            return stop_.is_set() || !store_.is_primary() ||
                   request->term() != store_.term() ||
                   store_.position() != last;
        });
    const bool was_primary = store_.is_primary();
    auto answer = store_.serve_log(*request);
    if (was_primary && !store_.is_primary())
        notify_locked();
    if (!answer)
        return {grpc::StatusCode::FAILED_PRECONDITION, "not primary"};
    *reply = std::move(*answer);
    return grpc::Status::OK;
}

std::unique_ptr<v1::Member::Stub> make_stub(const std::string& address)
{
    grpc::ChannelArguments arguments;
    // The default of up to 120 s would delay replication after an outage.
    // The minimum also limits the time to connect; 50 ms was too short with the
    // thread sanitizer.
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return v1::Member::NewStub(grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments));
}

void member_service::replicate()
{
    std::string address;
    std::unique_ptr<v1::Member::Stub> primary;
    while (!stop_.is_set())
    {
        std::optional<v1::FetchLogRequest> request;
        {
            const std::lock_guard lock(mutex_);
            request = store_.log_request();
            if (request && std::exchange(address, store_.primary_address()) !=
                               store_.primary_address())
                primary = make_stub(address);
        }
        if (request)
            fetch_once(*primary, *request);
        else
            stop_.sleep(log_retry_pause);
    }
}

void member_service::fetch_once(
    v1::Member::Stub& primary, const v1::FetchLogRequest& request)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + log_call_deadline);
    v1::FetchLogReply reply;
    if (!primary.FetchLog(&context, request, &reply).ok())
        return stop_.sleep(log_retry_pause);
    const std::lock_guard lock(mutex_);
    const auto now = clock::now();
    store_.receive_log(request, reply, now, now + milliseconds(lag_ms_.load()));
    if (store_.apply_due(now) || !reply.matches())
        notify_locked();
    held_changed_.notify_all();
}

void member_service::apply_delayed_entries()
{
    std::unique_lock lock(mutex_);
    while (!stop_.is_set())
    {
        if (store_.apply_due(clock::now()))
            notify_locked();
        const auto due = store_.next_due();
        if (due == never)
            held_changed_.wait(lock);
        else
            held_changed_.wait_until(lock, due);
    }
}

std::string member_service::stats() const
{
    const std::lock_guard lock(mutex_);
    const auto status = status_locked();
    return fmt::format(
        "role={} term={} index={} writes_acknowledged={} connections={} "
        "refused={} transactions={} silent_ms={}",
        store_.is_primary() ? "primary" : "replica", status.term(),
        status.position().index(), writes_acknowledged_, connections_, refused_,
        status.open_transactions(), status.primary_silent_ms());
}

std::string member_service::dump(const std::string& prefix) const
{
    const std::lock_guard lock(mutex_);
    std::string lines;
    for (const auto& [key, value] : store_.rows(prefix))
        lines += fmt::format("{} {}\n", key, value);
    return lines + "end";
}

control_commands member_service::commands()
{
    return {
        {"lag", number_command([this](auto value) { lag_ms_ = value; })},
        {"crossed",
         number_command([this](auto value) { faults_.crossed = value; })},
        {"late",
         number_command([this](auto value) { faults_.late_ms = value; })},
        {"double",
         number_command([this](auto value) { faults_.doubled = value; })},
        {"garbage",
         number_command([this](auto value) { faults_.garbage = value; })},
        {"swap",
         number_command([this](auto value) { faults_.swapped = value; })},
        {"stats", [this](const std::string&) { return stats(); }},
        {"requests",
         [this](const std::string&)
         {
             const std::lock_guard lock(mutex_);
             return std::to_string(requests_received_);
         }},
        {"dump", [this](const std::string& prefix) { return dump(prefix); }},
        {"seen", [this](const std::string& text)
         { return std::string(requests_.contains(text) ? "yes" : "no"); }},
    };
}

std::map<std::string, std::string> parse_peers(const std::string& text)
{
    std::map<std::string, std::string> peers;
    std::vector<std::string> parts;
    if (!text.empty())
        boost::split(parts, text, boost::is_any_of(","));
    for (const auto& part : parts)
    {
        const auto equals = part.find('=');
        if (equals == std::string::npos)
            throw std::invalid_argument("name=IP:PORT expected: " + part);
        parse_endpoint(part.substr(equals + 1));
        peers[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return peers;
}

std::string to_text(const char* value)
{
    return value == nullptr ? "" : value;
}

/// Option values as plain C types, as popt requires; checked and converted
/// here.
member_options parse_member_options(int argc, const char** argv)
{
    char* name = nullptr;
    char* listen = nullptr;
    char* control = nullptr;
    char* primary = nullptr;
    char* peers = nullptr;
    long group_uid = 0;
    long lag_ms = 0;
    long slots = 0;
    long connections = 0;
    long connect_ms = 0;
    double statement_ms = 0;
    int rejoin = 0;
    const poptOption table[] = {
        {"name", 0, POPT_ARG_STRING, &name, 0, "name of the member", "N"},
        {"listen", 0, POPT_ARG_STRING, &listen, 0, "address", "IP:PORT"},
        {"control", 0, POPT_ARG_STRING, &control, 0, "control address",
         "IP:PORT"},
        {"group-uid", 0, POPT_ARG_LONG, &group_uid, 0, "group uid", "U"},
        {"primary", 0, POPT_ARG_STRING, &primary, 0, "primary of term 1",
         "NAME"},
        {"peers", 0, POPT_ARG_STRING, &peers, 0, "other members",
         "name=IP:PORT,..."},
        {"lag-ms", 0, POPT_ARG_LONG, &lag_ms, 0, "replication lag", "MS"},
        {"slots", 0, POPT_ARG_LONG, &slots, 0,
         "statements executed at the same time, 0 for no limit", "N"},
        {"connections", 0, POPT_ARG_LONG, &connections, 0,
         "connection limit, 0 for none", "N"},
        {"connect-ms", 0, POPT_ARG_LONG, &connect_ms, 0,
         "time to open a connection", "MS"},
        {"statement-ms", 0, POPT_ARG_DOUBLE, &statement_ms, 0,
         "service time of a statement", "MS"},
        {"rejoin", 0, POPT_ARG_NONE, &rejoin, 0,
         "start with an empty log at term 0 and wait for Follow", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    parse_options(argc, argv, table);

    member_options options;
    options.listen = to_text(listen);
    options.control = to_text(control);
    options.peers = parse_peers(to_text(peers));
    options.store.name = to_text(name);
    options.store.group_uid = static_cast<std::uint64_t>(group_uid);
    options.store.primary = to_text(primary);
    options.store.rejoin = rejoin != 0;
    options.store.connection_limit = static_cast<std::uint32_t>(connections);
    options.slots = static_cast<std::uint32_t>(slots);
    options.lag_ms = static_cast<std::uint64_t>(lag_ms);
    options.connect_ms = static_cast<std::uint64_t>(connect_ms);
    options.statement_ms = statement_ms;
    const auto& initial = options.store.primary;
    if (options.store.name.empty())
        throw std::invalid_argument("--name is missing");
    if (!options.store.rejoin && initial != options.store.name)
    {
        const auto found = options.peers.find(initial);
        if (found == options.peers.end())
            throw std::invalid_argument("--primary is not one of the peers");
        options.store.primary_address = found->second;
    }
    return options;
}

} // namespace

int run_member(int argc, const char** argv)
{
    const auto options = parse_member_options(argc, argv);
    member_service service(options);
    return serve(
        service, options.listen, options.control, service.commands(),
        [&] { service.stop(); });
}

} // namespace zinniahub::standin
