#include "deployment.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <unistd.h>

namespace review
{

using zinniahub::test::free_address;
using zinniahub::test::line_caller;
using zinniahub::test::process;
using zinniahub::test::replicated_log;
using namespace std::chrono_literals;

recorder::recorder(const std::string& path)
    : out_(path)
{
}

void recorder::write(const std::string& line)
{
    const std::chrono::duration<double> now = steady_clock::now() - start_;
    const std::lock_guard lock(mutex_);
    out_ << fmt::format("{:8.3f} {}\n", now.count(), line);
    out_.flush();
}

entry_host::entry_host(
    const std::string& folder, const std::string& name,
    const std::string& store, const std::string& failover)
    : name_(name)
    , client_(free_address())
    , ready_(free_address())
    , settings_(folder + "/" + name + ".toml")
    , log_(folder + "/" + name + ".log")
{
    const auto internal = free_address();
    const auto port = internal.substr(internal.rfind(':') + 1);
    std::ofstream(settings_) << fmt::format(
        R"(node_name = "{0}"
role = "proxy"
instance_class = "frontend"
serves = ["frontend"]
ip_address = "127.0.0.1"
zone = "zone-0"
region = "region-0"
internal_port_range = [{1}, {1}]
bootstrap = true
heartbeat_interval_ms = 1200
[listen_addrs]
frontend = "{2}"
ready = "{3}"
[bounds]
touch_ms = 4000
drain_timeout_ms = 7000
grace_period_s = 6
config_apply_ms = 3000
quota_window_s = 5
quota_overage = 0.1
quota_tolerance = 20
evacuation_ms = 5000
fencing_enforced = true
[platform]
address = "{4}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
ttl_min_ms = 1000
[cloud_api]
address = "{5}"
rate_per_s = 50.0
assigned_tasks = ["promotion"]
duty_per_s = 50.0
)",
        name, port, client_, ready_, store, failover);
}

void entry_host::start()
{
    ::setenv("ZINNIAHUB_CONFIG", settings_.c_str(), 1);
    child_ = process::start({"target/zinniahub", "serve-platform"}, log_);
}

bool entry_host::is_ready() const
{
    namespace asio = boost::asio;
    const auto colon = ready_.rfind(':');
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    boost::system::error_code failure;
    socket.connect(
        {asio::ip::make_address(ready_.substr(0, colon)),
         static_cast<unsigned short>(std::stoul(ready_.substr(colon + 1)))},
        failure);
    if (failure)
    {
        return false;
    }
    const std::string request =
        "GET /readyz HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n";
    asio::write(socket, asio::buffer(request), failure);
    std::string answer(64, '\0');
    const auto size = socket.read_some(asio::buffer(answer), failure);
    answer.resize(size);
    return answer.starts_with("HTTP/1.1 200");
}

deployment::deployment(
    recorder& record, std::size_t hosts, std::size_t members,
    milliseconds site_promotion_time)
    : record_(record)
    , promotion_time_(site_promotion_time)
    , platform_(
          {.service = "ledger", .members = members, .max_connections = 60})
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    // A promotion time of zero hands each order to `on_order` with the check of
    // its fencing token done.
    platform_.store().on_promotion(
        [this](const zinniahub::test::hosted_store::promotion& named)
        { return on_order(named); });
    platform_.configure(1, {{"alba", "key-alba-0001"}}, 2000);
    const auto store = platform_.store().address();
    for (std::size_t index = 0; index < hosts; ++index)
    {
        hosts_.push_back(std::make_unique<entry_host>(
            folder_, "frontend-zone-0-" + std::to_string(index + 1), store,
            store));
        hosts_.back()->start();
    }
    worker_ = std::thread([this] { carry_out(); });
}

deployment::~deployment()
{
    stop_clients();
    hosts_.clear();
    ended_ = true;
    worker_.join();
    if (std::getenv("KEEP_LOGS") == nullptr)
    {
        std::filesystem::remove_all(folder_);
    }
    else
    {
        fmt::print(stderr, "logs: {}\n", folder_);
    }
}

bool deployment::wait_until_ready()
{
    const auto end = steady_clock::now() + 10s;
    while (steady_clock::now() < end)
    {
        const bool ready = std::all_of(
            hosts_.begin(), hosts_.end(),
            [](const auto& host) { return host->is_ready(); });
        if (ready)
        {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

entry_host* deployment::host(const std::string& name)
{
    for (auto& entry : hosts_)
    {
        if (entry->name() == name)
        {
            return entry.get();
        }
    }
    return nullptr;
}

void deployment::register_all()
{
    for (std::size_t index = 0; index < platform_.size(); ++index)
    {
        bool draining = false;
        {
            const std::lock_guard lock(mutex_);
            draining = draining_[index];
        }
        platform_.register_member(index, draining);
    }
}

void deployment::drain(std::size_t index)
{
    {
        const std::lock_guard lock(mutex_);
        draining_[index] = true;
    }
    record_.write(
        fmt::format("member i-{} reports draining and goes on serving", index));
    platform_.register_member(index, true);
}

bool deployment::on_order(const zinniahub::test::hosted_store::promotion& named)
{
    bool running = false;
    bool is_primary = false;
    {
        const std::lock_guard lock(platform_.log().mutex);
        const auto found = platform_.log().members.find(named.instance);
        running =
            found != platform_.log().members.end() && found->second.running;
        is_primary = platform_.log().primary_locked() == named.instance;
    }
    record_.write(fmt::format(
        "POST /failover {} from {} with token {}: {}", named.instance,
        named.holder, named.token,
        !running     ? "409, not running"
        : is_primary ? "200, the present primary"
                     : "200"));
    if (!running)
    {
        return false;
    }
    const std::lock_guard lock(mutex_);
    const auto now = steady_clock::now();
    orders_.push_back(
        {named.holder, named.instance, named.token, !is_primary, now});
    const bool repeated = std::any_of(
        pending_.begin(), pending_.end(),
        [&named](const pending& entry)
        { return entry.instance == named.instance; });
    if (!is_primary && !repeated)
    {
        pending_.push_back({now + promotion_time_, named.instance});
    }
    return true;
}

void deployment::check_log(
    const std::string& instance, const replicated_log& log)
{
    std::set<std::string> held;
    for (const auto& row : log.members.at(instance).rows)
    {
        held.insert(row.data);
    }
    const std::lock_guard lock(mutex_);
    std::size_t missing = 0;
    for (const auto& [data, at] : acknowledged_)
    {
        if (!held.contains(data))
        {
            ++missing;
            lost_data_.insert(data);
            record_.write(fmt::format(
                "LOST: the log of {}, which now leads, lacks the acknowledged "
                "write of {}",
                instance, data));
        }
    }
    record_.write(fmt::format(
        "{} becomes the primary: {} acknowledged writes, {} of them not in its "
        "log",
        instance, acknowledged_.size(), missing));
}

// "Replicas that were ahead of it are rolled back."
void deployment::roll_back(const std::string& instance, replicated_log& log)
{
    const auto& leading = log.members.at(instance).rows;
    for (auto& [name, member] : log.members)
    {
        if (name == instance)
        {
            continue;
        }
        std::size_t common = 0;
        while (common < member.rows.size() && common < leading.size() &&
               member.rows[common].position == leading[common].position)
        {
            ++common;
        }
        if (common < member.rows.size())
        {
            member.rows.resize(common);
            member.received = common == 0 ? zinniahub::log_position{}
                                          : member.rows.back().position;
        }
    }
}

void deployment::carry_out()
{
    while (!ended_)
    {
        std::vector<std::string> due;
        {
            const std::lock_guard lock(mutex_);
            const auto now = steady_clock::now();
            std::erase_if(
                pending_,
                [&](const pending& entry)
                {
                    if (entry.due > now)
                    {
                        return false;
                    }
                    due.push_back(entry.instance);
                    return true;
                });
        }
        for (const auto& instance : due)
        {
            bool led_before = false;
            {
                const std::lock_guard lock(platform_.log().mutex);
                led_before = platform_.log().primary_locked() == instance;
                if (!led_before)
                {
                    check_log(instance, platform_.log());
                    roll_back(instance, platform_.log());
                }
                if (on_primary && !led_before)
                {
                    on_primary(instance, platform_.log());
                }
            }
            platform_.promote(instance);
            register_all();
        }
        std::this_thread::sleep_for(2ms);
    }
}

std::vector<deployment::order> deployment::orders() const
{
    const std::lock_guard lock(mutex_);
    return orders_;
}

bool deployment::wait_for_order(milliseconds timeout, order& found) const
{
    const auto end = steady_clock::now() + timeout;
    while (steady_clock::now() < end)
    {
        for (const auto& entry : orders())
        {
            if (entry.changes)
            {
                found = entry;
                return true;
            }
        }
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

std::string deployment::wait_for_holder(milliseconds timeout)
{
    const auto end = steady_clock::now() + timeout;
    while (steady_clock::now() < end)
    {
        auto holder = platform_.store().get("zinniahub/duty/promotion");
        if (host(holder) != nullptr)
        {
            return holder;
        }
        std::this_thread::sleep_for(20ms);
    }
    return {};
}

std::size_t deployment::lost() const
{
    const std::lock_guard lock(mutex_);
    return lost_data_.size();
}

void deployment::read_lost_items()
{
    std::set<std::string> lost;
    {
        const std::lock_guard lock(mutex_);
        lost = lost_data_;
    }
    std::size_t read = 0;
    for (const auto& data : lost)
    {
        const auto item = data.substr(data.find('-') + 1);
        line_caller caller(hosts_.back()->address(), 3s);
        caller.start("latest", "key-alba-0001");
        const auto reply = caller.run("FETCH " + item);
        record_.write(fmt::format(
            "client of {}: FETCH {} answered {} with {} rows",
            hosts_.back()->name(), item, reply.ok() ? "COMPLETE" : reply.code,
            reply.rows.size()));
        if (++read == 5)
        {
            return;
        }
    }
}

std::size_t deployment::acknowledged() const
{
    const std::lock_guard lock(mutex_);
    return acknowledged_.size();
}

void deployment::start_clients(std::size_t per_host, const std::string& except)
{
    for (auto& entry : hosts_)
    {
        if (entry->name() == except)
        {
            continue;
        }
        for (std::size_t number = 0; number < per_host; ++number)
        {
            clients_.emplace_back([this, host = entry.get(), number]
                                  { run_client(*host, number); });
        }
    }
}

void deployment::stop_clients()
{
    clients_ended_ = true;
    for (auto& client : clients_)
    {
        client.join();
    }
    clients_.clear();
}

void deployment::run_client(entry_host& host, std::size_t number)
{
    std::size_t count = 0;
    while (!clients_ended_)
    {
        line_caller caller(host.address(), 3s);
        if (!caller.start("latest", "key-alba-0001").ok())
        {
            std::this_thread::sleep_for(50ms);
            continue;
        }
        bool usable = true;
        while (usable && !clients_ended_)
        {
            const auto item =
                fmt::format("{}-{}-{}", host.name(), number, ++count);
            const auto reply =
                caller.run(fmt::format("PUT {} data-{}", item, item));
            {
                const std::lock_guard lock(mutex_);
                if (reply.ok())
                {
                    acknowledged_["data-" + item] = steady_clock::now();
                }
            }
            record_.write(fmt::format(
                "client of {}: PUT {} answered {}", host.name(), item,
                reply.ok()         ? "COMPLETE"
                : reply.cut        ? "(connection ended)"
                : reply.unanswered ? "(nothing)"
                                   : reply.code));
            usable = !reply.cut && !reply.unanswered;
            std::this_thread::sleep_for(reply.ok() ? 40ms : 60ms);
        }
    }
}

} // namespace review
