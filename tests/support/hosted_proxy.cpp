#include "support/hosted_proxy.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <istream>
#include <iterator>
#include <poll.h>
#include <thread>

namespace zinniahub::test
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr unsigned default_evacuation_ms = 5000;

constexpr const char* usage_bounds = R"(report_window_s = {}
usage_tolerance = 0.05
usage_delay_s = 10
lease_duration_ms = 3000
)";

/// Settings of a platform with three failure domains that are watched.
constexpr std::string_view watched_domains = R"([fault_tolerance]
zones = 1
[zones]
zone-0 = []
zone-1 = []
zone-2 = []
)";

std::string next_id()
{
    static std::atomic<unsigned> count{0};
    return fmt::format("{:016x}", 0x5c0e000000000000U + ++count);
}

tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

line_caller::line_caller(
    const std::string& proxy, std::chrono::milliseconds limit)
    : socket_(io_)
    , limit_(limit)
{
    boost::system::error_code failure;
    socket_.connect(endpoint_of(proxy), failure);
}

client_reply
line_caller::start(const std::string& database, const std::string& key)
{
    record_.start(key);
    return send_raw(fmt::format("STARTUP {} {}\r\n", database, key));
}

client_reply line_caller::run(const std::string& text)
{
    id_ = next_id();
    statement_ledger::of_process().add(record_.statement(id_, text));
    pending_ = text;
    return send_raw(fmt::format("QUERY {} {}\r\n", id_, text));
}

void line_caller::send_only(const std::string& bytes)
{
    boost::system::error_code failure;
    asio::write(socket_, asio::buffer(bytes), failure);
}

client_reply line_caller::send_raw(const std::string& bytes)
{
    send_only(bytes);
    return receive();
}

client_reply line_caller::receive()
{
    auto reply = read_reply();
    if (!reply.unanswered && pending_)
    {
        if (reply.ok())
        {
            record_.acknowledge(*pending_);
        }
        pending_.reset();
    }
    return reply;
}

client_reply line_caller::read_reply()
{
    client_reply reply;
    while (true)
    {
        boost::system::error_code failure;
        pollfd entry{socket_.native_handle(), POLLIN, 0};
        if (buffer_.size() == 0 &&
            ::poll(&entry, 1, static_cast<int>(limit_.count())) == 0)
        {
            reply.unanswered = true;
            return reply;
        }
        asio::read_until(socket_, buffer_, "\r\n", failure);
        if (failure)
        {
            reply.cut = true;
            return reply;
        }
        std::istream input(&buffer_);
        std::string line;
        std::getline(input, line);
        line.pop_back();
        const auto space = line.find(' ');
        const auto word = line.substr(0, space);
        const auto rest =
            space == std::string::npos ? std::string{} : line.substr(space + 1);
        if (word == "DATAROW")
        {
            reply.rows.push_back(rest);
        }
        else if (word == "COMPLETE")
        {
            reply.signature = rest;
        }
        else if (word == "ERROR")
        {
            reply.code = rest.substr(0, rest.find(' '));
        }
        else
        {
            reply.state = rest.substr(0, rest.find(' '));
            return reply;
        }
    }
}

bool line_caller::is_closed_within(std::chrono::milliseconds timeout)
{
    pollfd entry{socket_.native_handle(), POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0)
    {
        return false;
    }
    char byte = 0;
    return ::recv(entry.fd, &byte, 1, MSG_PEEK) <= 0;
}

hosted_proxy::hosted_proxy(
    const hosted_platform& platform, const std::string& name,
    const std::string& domain)
    : name_(name)
    , domain_(domain)
    , address_(free_address())
    , ready_(free_address())
{
    const auto folder = std::filesystem::temp_directory_path() /
                        fmt::format("zinniahub-{}-{}", ::getpid(), next_id());
    std::filesystem::create_directories(folder);
    settings_path_ = folder / "boot.toml";
    log_path_ = folder / "log";
    store_ = const_cast<hosted_platform&>(platform).store().address();
    tokens_checked_ = platform.tokens_checked();
    usage_window_s_ = platform.usage_window_s();
    internal_port_ = endpoint_of(free_address()).port();
    write_settings(default_evacuation_ms);
    restart();
}

void hosted_proxy::write_settings(unsigned evacuation_ms)
{
    const auto written = settings_path_ + ".new";
    std::ofstream(written) << fmt::format(
        R"(node_name = "{}"
zone = "{}"
ip_address = "127.0.0.1"
internal_port_range = [{}, {}]
[listen_addrs]
frontend = "{}"
ready = "{}"
[bounds]
drain_timeout_ms = 7000
grace_period_s = {}
evacuation_ms = {}
config_apply_ms = 3000
quota_overage = 0.1
quota_tolerance = 20
fencing_enforced = {}
{}[platform]
address = "{}"
[cloud_api]
address = "{}"
assigned_tasks = ["promotion"{}]
{}{})",
        name_, domain_.empty() ? "zone-0" : domain_, internal_port_,
        internal_port_, address_, ready_, grace_period_.count(), evacuation_ms,
        tokens_checked_,
        usage_window_s_ == 0 ? std::string{}
                             : fmt::format(usage_bounds, usage_window_s_),
        store_, store_, usage_window_s_ == 0 ? "" : R"(, "usage_reporting")",
        limits_, domain_.empty() ? "" : watched_domains);
    std::filesystem::rename(written, settings_path_);
}

void hosted_proxy::set_store(const std::string& address)
{
    store_ = address;
    write_settings(default_evacuation_ms);
}

void hosted_proxy::set_grace_period(std::chrono::seconds value)
{
    grace_period_ = value;
    write_settings(default_evacuation_ms);
}

void hosted_proxy::set_limits(
    std::size_t memory_mb, std::size_t max_file_descriptors)
{
    limits_ = fmt::format(
        "[limits]\nmemory_mb = {}\nmax_file_descriptors = {}\n", memory_mb,
        max_file_descriptors);
    write_settings(default_evacuation_ms);
}

std::string hosted_proxy::peer_address() const
{
    return fmt::format("127.0.0.1:{}", internal_port_);
}

std::size_t hosted_proxy::peak_memory_bytes() const
{
    std::ifstream file(fmt::format("/proc/{}/status", child_.pid()));
    std::string line;
    while (std::getline(file, line))
    {
        constexpr std::string_view name = "VmHWM:";
        if (line.starts_with(name))
        {
            return std::stoul(line.substr(name.size())) * 1024;
        }
    }
    return 0;
}

std::size_t hosted_proxy::descriptors() const
{
    std::error_code failure;
    const std::filesystem::directory_iterator entries(
        fmt::format("/proc/{}/fd", child_.pid()), failure);
    return static_cast<std::size_t>(
        std::distance(begin(entries), end(entries)));
}

void hosted_proxy::restart()
{
    child_ = process::start(
        {ZINNIAHUB_BINARY, "serve-platform", "--settings", settings_path_},
        log_path_);
}

unsigned hosted_proxy::get(const std::string& target, std::string* body) const
{
    asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code failure;
    socket.connect(endpoint_of(ready_), failure);
    if (failure)
    {
        return 0;
    }
    http::request<http::empty_body> request(http::verb::get, target, 11);
    http::write(socket, request, failure);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response, failure);
    if (failure)
    {
        return 0;
    }
    if (body != nullptr)
    {
        *body = response.body();
    }
    return response.result_int();
}

bool hosted_proxy::wait_until_ready(std::chrono::milliseconds timeout) const
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end)
    {
        if (get("/readyz") == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

std::string hosted_proxy::log() const
{
    std::ifstream file(log_path_);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace zinniahub::test
