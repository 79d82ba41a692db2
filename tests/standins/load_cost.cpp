#include "operator/json.hpp"
#include "standins/commands.hpp"
#include "standins/control_port.hpp"
#include "standins/load_report.hpp"
#include "support/fleet.hpp"
#include "zinniahub/v1/member.grpc.pb.h"

#include <zinniahub/time.hpp>

#include <fmt/format.h>
#include <popt.h>

#include <atomic>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace zinniahub::standin
{

namespace
{

namespace json = commands::json;

/// Streams per channel; 4,500 caller connections are 100 TCP connections.
constexpr std::size_t streams_per_channel = 45;
constexpr std::size_t direct_streams = 16;
constexpr std::chrono::seconds settle_time{1};
constexpr std::chrono::seconds open_timeout{30};
constexpr const char* statement_text = "get cost/1";
constexpr const char* customer_name = "session-desk";
constexpr const char* group_name = "booth-ledger-1";

/// @brief One stream that sends one request at a time and records latency.
template<typename Request, typename Reply>
class cost_stream : public grpc::ClientBidiReactor<Request, Reply>
{
public:
    /// @brief Starts the call that `open` creates and the first read.
    template<typename Open>
    explicit cost_stream(Open open)
    {
        open(&context_, this);
        this->StartRead(&reply_);
        this->StartCall();
    }
    ~cost_stream() override
    {
        context_.TryCancel();
        done_.get_future().wait();
    }
    cost_stream(const cost_stream&) = delete;
    cost_stream& operator=(const cost_stream&) = delete;

    /// @return false if the previous request is in progress
    bool try_send(const Request& request, time_point intended)
    {
        if (is_busy())
            return false;
        pending_ = 2;
        intended_ = intended;
        request_ = request;
        request_.set_id(++id_);
        this->StartWrite(&request_);
        return true;
    }

    bool is_busy() const
    {
        return pending_ != 0;
    }
    bool has_failed() const
    {
        return failed_;
    }
    /// @brief Returns the latencies in ms and clears them.
    /// @pre no request is in progress
    std::vector<double> take_latencies()
    {
        return std::exchange(latencies_, {});
    }

    void OnReadDone(bool ok) override
    {
        if (!ok || !is_done(reply_))
        {
            failed_ = true;
            return;
        }
        latencies_.push_back(
            std::chrono::duration<double, std::milli>(clock::now() - intended_)
                .count());
        this->StartRead(&reply_);
        --pending_;
    }
    void OnWriteDone(bool ok) override
    {
        if (!ok)
            failed_ = true;
        --pending_;
    }
    void OnDone(const grpc::Status&) override
    {
        done_.set_value();
    }

private:
    static bool is_done(const v1::Reply& reply)
    {
        return reply.verdict() == v1::VERDICT_DONE;
    }
    static bool is_done(const v1::MemberReply& reply)
    {
        return reply.code() == v1::MEMBER_OK;
    }

    grpc::ClientContext context_;
    Request request_;
    Reply reply_;
    time_point intended_;
    std::uint64_t id_ = 0;
    /// Number of unfinished operations (write and read) of the current request.
    std::atomic<int> pending_ = 0;
    std::atomic<bool> failed_ = false;
    std::vector<double> latencies_;
    std::promise<void> done_;
};

using proxy_stream = cost_stream<v1::Request, v1::Reply>;
using member_stream = cost_stream<v1::MemberRequest, v1::MemberReply>;

template<typename Stream>
using stream_list = std::vector<std::unique_ptr<Stream>>;

std::shared_ptr<grpc::Channel> open_channel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
}

template<typename Stream>
void wait_until_idle(const stream_list<Stream>& streams)
{
    const bool idle = test::eventually(
        open_timeout,
        [&]
        {
            return std::none_of(
                streams.begin(), streams.end(),
                [](const auto& stream) { return stream->is_busy(); });
        });
    if (!idle)
        throw std::runtime_error(
            fmt::format("{} streams do not open", streams.size()));
}

/// @brief Opens streams over several channels and sends one request on each.
template<typename Service, typename Stream, typename Request>
stream_list<Stream> open_streams(
    const std::vector<std::string>& addresses, std::size_t count,
    const Request& request,
    void (*open)(typename Service::Stub&, grpc::ClientContext*, Stream*))
{
    stream_list<Stream> streams;
    std::shared_ptr<grpc::Channel> channel;
    for (std::size_t i = 0; i < count; ++i)
    {
        if (i % streams_per_channel == 0)
        {
            // The proxy limits the number of waiting requests.
            wait_until_idle(streams);
            channel = open_channel(
                addresses[(i / streams_per_channel) % addresses.size()]);
        }
        auto stub = Service::NewStub(channel);
        streams.push_back(std::make_unique<Stream>(
            [&](grpc::ClientContext* context, Stream* stream)
            { open(*stub, context, stream); }));
        streams.back()->try_send(request, clock::now());
    }
    wait_until_idle(streams);
    for (auto& stream : streams)
        stream->take_latencies();
    return streams;
}

/// @brief Sends at a fixed rate, round-robin over the streams.
/// @return latencies in ms, measured from the intended send time
template<typename Stream, typename Request>
std::vector<double> send_at_rate(
    stream_list<Stream>& streams, const Request& request, double rate_per_s,
    std::chrono::seconds seconds)
{
    const auto start = clock::now();
    const auto count = static_cast<std::uint64_t>(
        rate_per_s * static_cast<double>(seconds.count()));
    std::size_t at = 0;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        const auto intended =
            start + from_seconds(static_cast<double>(i) / rate_per_s);
        std::this_thread::sleep_until(intended);
        while (!streams[at]->try_send(request, intended))
            at = (at + 1) % streams.size();
        at = (at + 1) % streams.size();
    }
    std::this_thread::sleep_for(settle_time);
    std::vector<double> all;
    for (auto& stream : streams)
    {
        if (stream->is_busy() || stream->has_failed())
            throw std::runtime_error("a request failed or is still open");
        const auto part = stream->take_latencies();
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

/// @brief CPU time of a process in seconds, user and system.
double cpu_seconds(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string line;
    std::getline(file, line);
    // The second field may contain spaces; it ends at the last parenthesis.
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// @brief Resident memory of a process in KiB.
double resident_kib(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    std::string line;
    while (std::getline(file, line))
        if (line.starts_with("VmRSS:"))
            return std::stod(line.substr(6));
    return 0;
}

struct cost_options
{
    std::chrono::seconds seconds{5};
    double rate_per_s = 1000;
    std::string json_path;
};

struct cost_figures
{
    std::size_t proxies = 0;
    std::size_t connections = 0;
    std::uint64_t statements = 0;
    double statements_per_core_s = 0;
    double direct_p50_ms = 0;
    double direct_p99_ms = 0;
    double proxy_p50_ms = 0;
    double proxy_p99_ms = 0;
    double kib_per_connection = 0;
};

class cost_run
{
public:
    explicit cost_run(const cost_options& options)
        : options_(options)
        , system_(fleet_of())
    {
    }

    cost_figures measure(std::size_t proxies, std::size_t connections);

private:
    static test::fleet_options fleet_of();
    stream_list<member_stream> open_direct();
    v1::Request request() const;
    double total_cpu(std::size_t proxies);
    double total_kib(std::size_t proxies);

    const cost_options options_;
    test::fleet system_;
};

test::fleet_options cost_run::fleet_of()
{
    test::fleet_options options;
    options.proxies = 8;
    options.groups = {group_name};
    // Keeps the members from being the bottleneck of the measurement.
    options.slots = 1000;
    options.connections = 1000;
    options.connect_ms = 0;
    options.customers = {{customer_name, {100000, 100000}}};
    return options;
}

v1::Request cost_run::request() const
{
    v1::Request request;
    request.set_key(system_.key_of(customer_name));
    request.set_group(group_name);
    request.set_access(v1::ACCESS_READ);
    request.set_text(statement_text);
    return request;
}

v1::MemberRequest direct_request()
{
    v1::MemberRequest request;
    request.set_group_uid(1);
    request.set_access(v1::ACCESS_READ);
    request.set_text(statement_text);
    return request;
}

stream_list<member_stream> cost_run::open_direct()
{
    std::vector<std::string> addresses;
    for (const auto& name : system_.members_of(group_name))
        addresses.push_back(system_.member_address(name));
    return open_streams<v1::Member, member_stream>(
        addresses, direct_streams, direct_request(),
        [](v1::Member::Stub& stub, grpc::ClientContext* context,
           member_stream* stream) { stub.async()->Connect(context, stream); });
}

double cost_run::total_cpu(std::size_t proxies)
{
    double total = 0;
    for (std::size_t i = 0; i < proxies; ++i)
        total += cpu_seconds(system_.proxy(i).pid());
    return total;
}

double cost_run::total_kib(std::size_t proxies)
{
    double total = 0;
    for (std::size_t i = 0; i < proxies; ++i)
        total += resident_kib(system_.proxy(i).pid());
    return total;
}

cost_figures cost_run::measure(std::size_t proxies, std::size_t connections)
{
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < proxies; ++i)
        addresses.push_back(system_.proxy_address(i));
    cost_figures figures;
    figures.proxies = proxies;
    figures.connections = connections;
    auto direct = open_direct();
    const auto direct_latencies = send_at_rate(
        direct, direct_request(), options_.rate_per_s, options_.seconds);
    const auto kib_before = total_kib(proxies);
    auto streams = open_streams<v1::Proxy, proxy_stream>(
        addresses, connections, request(),
        [](v1::Proxy::Stub& stub, grpc::ClientContext* context,
           proxy_stream* stream) { stub.async()->Session(context, stream); });
    figures.kib_per_connection =
        (total_kib(proxies) - kib_before) / static_cast<double>(connections);
    const auto cpu_before = total_cpu(proxies);
    const auto latencies =
        send_at_rate(streams, request(), options_.rate_per_s, options_.seconds);
    const auto cpu = total_cpu(proxies) - cpu_before;
    figures.statements = latencies.size();
    figures.statements_per_core_s =
        cpu > 0 ? static_cast<double>(latencies.size()) / cpu : 0;
    figures.direct_p50_ms = load::quantile(direct_latencies, 0.5);
    figures.direct_p99_ms = load::quantile(direct_latencies, 0.99);
    figures.proxy_p50_ms = load::quantile(latencies, 0.5);
    figures.proxy_p99_ms = load::quantile(latencies, 0.99);
    return figures;
}

json::value to_json(const cost_figures& figures)
{
    return json::object(
        {{"proxies", json::number(std::uint64_t(figures.proxies))},
         {"connections", json::number(std::uint64_t(figures.connections))},
         {"statements", json::number(figures.statements)},
         {"statements_per_core_s", json::number(figures.statements_per_core_s)},
         {"direct_p50_ms", json::number(figures.direct_p50_ms)},
         {"direct_p99_ms", json::number(figures.direct_p99_ms)},
         {"proxy_p50_ms", json::number(figures.proxy_p50_ms)},
         {"proxy_p99_ms", json::number(figures.proxy_p99_ms)},
         {"kib_per_connection", json::number(figures.kib_per_connection)}});
}

cost_options parse_cost_options(int argc, const char** argv)
{
    char* json_path = nullptr;
    long seconds = 5;
    double rate = 1000;
    const poptOption table[] = {
        {"seconds", 0, POPT_ARG_LONG, &seconds, 0, "duration of a measurement",
         "S"},
        {"rate", 0, POPT_ARG_DOUBLE, &rate, 0, "statements per second", "N"},
        {"json", 0, POPT_ARG_STRING, &json_path, 0, "file for the figures",
         "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    parse_options(argc, argv, table);
    if (seconds <= 0 || rate <= 0)
        throw std::invalid_argument("--seconds and --rate must be positive");
    return {
        std::chrono::seconds(seconds), rate,
        json_path == nullptr ? "" : json_path};
}

} // namespace

int run_cost(int argc, const char** argv)
{
    const auto options = parse_cost_options(argc, argv);
    cost_run run(options);
    fmt::print(
        "{:>8}{:>12}{:>12}{:>14}{:>12}{:>12}{:>11}{:>11}{:>10}\n", "proxies",
        "connections", "statements", "per core s", "direct p50", "direct p99",
        "proxy p50", "proxy p99", "KiB/conn");
    std::vector<json::value> elements;
    // Memory is not returned to the system between measurements, so the cases
    // run in ascending order of size.
    for (const auto& [proxies, connections] :
         {std::pair<std::size_t, std::size_t>{1, 8},
          {1, 512},
          {1, 4500},
          {2, 512},
          {4, 512},
          {8, 512}})
    {
        const auto row = run.measure(proxies, connections);
        fmt::print(
            "{:>8}{:>12}{:>12}{:>14.0f}{:>12.2f}{:>12.2f}{:>11.2f}{:>11.2f}"
            "{:>10.1f}\n",
            row.proxies, row.connections, row.statements,
            row.statements_per_core_s, row.direct_p50_ms, row.direct_p99_ms,
            row.proxy_p50_ms, row.proxy_p99_ms, row.kib_per_connection);
        std::fflush(stdout);
        elements.push_back(to_json(row));
    }
    if (!options.json_path.empty())
        std::ofstream(options.json_path)
            << json::to_text(json::array(elements)) << "\n";
    return 0;
}

} // namespace zinniahub::standin
