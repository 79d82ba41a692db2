#pragma once

#include "support/hosted_proxy.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using namespace std::chrono_literals;
using zinniahub::test::free_address;
using zinniahub::test::hosted_platform;
using zinniahub::test::line_caller;
using zinniahub::test::process;
using steady = std::chrono::steady_clock;

/// @brief Steps of a case, written to its record with the time since the start.
class record_file
{
public:
    explicit record_file(const std::string& path)
        : out_(path)
    {
    }

    template<typename... Args>
    void write(fmt::format_string<Args...> text, Args&&... args)
    {
        const std::chrono::duration<double> time = steady::now() - started_;
        out_ << fmt::format("{:8.3f} s  ", time.count())
             << fmt::format(text, std::forward<Args>(args)...) << std::endl;
    }

private:
    steady::time_point started_ = steady::now();
    std::ofstream out_;
};

/// @brief An entry host: the program and the command of the deploy file, with
/// the settings of a small deployment.
class entry_host
{
public:
    /// @param store address of the platform's store as this host sees it
    /// @param calls address of the platform's promotion call
    entry_host(
        const std::string& folder, const std::string& name,
        const std::string& zone, const std::string& store,
        const std::string& calls)
        : settings_(folder + "/" + name + ".toml")
        , log_(folder + "/" + name + ".log")
        , address_(free_address())
        , ready_(free_address())
    {
        const auto peer = free_address();
        const auto port = peer.substr(peer.rfind(':') + 1);
        std::ofstream(settings_) << fmt::format(
            R"(node_name = "{}"
role = "proxy"
instance_class = "frontend"
serves = ["frontend"]
ip_address = "127.0.0.1"
zone = "{}"
region = "pl-central"
internal_port_range = [{}, {}]
bootstrap = true
discovery = "platform"
ingress = "virtual_ip"
heartbeat_interval_ms = 1200
[zones]
zone-0 = "pl-central"
zone-1 = "pl-central"
zone-2 = "pl-central"
[listen_addrs]
frontend = "{}"
ready = "{}"
[limits]
cpu_quota = 0.25
vcpus = 1
memory_mb = 260
max_file_descriptors = 4300
[fault_tolerance]
nodes = 1
zones = 1
regions = 0
[bounds]
touch_ms = 4000
ack_timeout_ms = 5000
drain_timeout_ms = 7000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_skew_ms = 12000
quota_window_s = 5
quota_overage = 0.1
quota_tolerance = 20
evacuation_ms = 5000
recovery_s = 12
fencing_enforced = true
[platform]
address = "{}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
ttl_min_ms = 1000
[cloud_api]
address = "{}"
rate_per_s = 50.0
assigned_tasks = ["promotion"]
duty_per_s = 50.0
)",
            name, zone, port, port, address_, ready_, store, calls);
        start();
    }

    void start()
    {
        ::setenv("ZINNIAHUB_CONFIG", settings_.c_str(), 1);
        child_ = process::start({"target/zinniahub", "serve-platform"}, log_);
    }

    const std::string& address() const
    {
        return address_;
    }
    process& child()
    {
        return child_;
    }

    bool is_ready() const
    {
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        boost::system::error_code failure;
        const auto colon = ready_.rfind(':');
        socket.connect(
            {boost::asio::ip::make_address(ready_.substr(0, colon)),
             static_cast<unsigned short>(std::stoul(ready_.substr(colon + 1)))},
            failure);
        if (failure)
        {
            return false;
        }
        const std::string request =
            "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(request), failure);
        boost::asio::streambuf answer;
        boost::asio::read_until(socket, answer, "\r\n", failure);
        std::istream input(&answer);
        std::string line;
        std::getline(input, line);
        return line.find(" 200 ") != std::string::npos;
    }

    bool wait_until_ready(std::chrono::seconds limit) const
    {
        const auto end = steady::now() + limit;
        while (steady::now() < end)
        {
            if (is_ready())
            {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

private:
    std::string settings_;
    std::string log_;
    std::string address_;
    std::string ready_;
    process child_;
};

} // namespace review
