#include "support/fleet.hpp"

#include "control/ownership.hpp"
#include "kv/keys.hpp"
#include "zinniahub/v1/configuration.pb.h"
#include "zinniahub/v1/platform.grpc.pb.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace zinniahub::test
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::seconds start_timeout{20};

asio::ip::tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

std::string member_name(const std::string& group, std::size_t index)
{
    return fmt::format("{}-m{}", group, index);
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

std::function<bool()>& failure_check()
{
    static std::function<bool()> check;
    return check;
}

bool eventually(
    std::chrono::milliseconds timeout, const std::function<bool()>& condition)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= until)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string
control_command(const std::string& address, const std::string& command)
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    // A stand-in that was just started may not listen yet.
    boost::system::error_code failure;
    eventually(
        start_timeout,
        [&]
        {
            socket.close();
            socket.connect(endpoint_of(address), failure);
            return !failure;
        });
    if (failure)
    {
        throw boost::system::system_error(failure, address);
    }
    asio::write(socket, asio::buffer(command + "\n"));
    asio::streambuf buffer;
    std::istream lines(&buffer);
    std::string reply;
    std::string line;
    // Replies to "dump" have several lines, the last of which is "end".
    const bool is_dump = command.starts_with("dump");
    do
    {
        asio::read_until(socket, buffer, '\n');
        std::getline(lines, line);
        reply += line + "\n";
    } while (is_dump && line != "end");
    reply.pop_back();
    return reply;
}

fleet::fleet(fleet_options options)
    : options_(std::move(options))
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "zinniahub-test-XXXXXX")
            .string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("no directory for the fleet");
    }
    directory_ = pattern;
    start_platform();
    start_members();
    start_proxies();
    declare();
    wait_until_serving();
}

fleet::~fleet()
{
    if (const auto& failed = failure_check(); failed && failed())
    {
        for (const auto& entry :
             std::filesystem::directory_iterator(directory_))
        {
            if (entry.path().extension() == ".log")
            {
                auto text = read_file(entry.path().string());
                constexpr std::size_t shown = 4000;
                if (text.size() > shown)
                {
                    text = "..." + text.substr(text.size() - shown);
                }
                fmt::print(
                    "--- {}\n{}\n", entry.path().filename().string(), text);
            }
        }
    }
    proxies_.clear();
    members_.clear();
    links_.clear();
    platform_.kill();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

std::string fleet::log_path(const std::string& name) const
{
    return directory_ + "/" + name + ".log";
}

std::string fleet::log_of(const std::string& process_name) const
{
    return read_file(log_path(process_name));
}

// Start

void fleet::start_platform()
{
    platform_address_ = free_address();
    platform_control_ = free_address();
    platform_ = process::start(
        {ZINNIAHUB_STANDIN_BINARY, "platform", "--listen", platform_address_,
         "--control", platform_control_, "--list-lag-ms",
         std::to_string(options_.list_lag_ms)},
        log_path("platform"));
    operator_address_ = options_.operator_faults
                            ? add_link("operator", platform_address_)
                            : platform_address_;
}

void fleet::start_members()
{
    std::uint64_t uid = 0;
    for (const auto& group : options_.groups)
    {
        ++uid;
        for (std::size_t i = 0; i < options_.members; ++i)
        {
            member_process entry;
            entry.group = group;
            entry.uid = uid;
            entry.domain = domain_of_member(
                group, options_.spread_groups ? i + uid - 1 : i);
            entry.address = free_address();
            entry.control = free_address();
            members_.emplace(member_name(group, i), std::move(entry));
        }
    }
    for (auto& [name, entry] : members_)
    {
        start_member(name, false);
    }
}

void fleet::start_member(const std::string& name, bool rejoin)
{
    auto& entry = members_.at(name);
    std::string peers;
    for (const auto& [other, peer] : members_)
    {
        if (other == name || peer.group != entry.group)
        {
            continue;
        }
        const auto& address =
            options_.replication_faults
                ? add_link(
                      fmt::format("replication:{}:{}", name, other),
                      peer.address)
                : peer.address;
        peers +=
            fmt::format("{}{}={}", peers.empty() ? "" : ",", other, address);
    }
    std::vector<std::string> arguments{
        ZINNIAHUB_STANDIN_BINARY,
        "member",
        "--name",
        name,
        "--listen",
        entry.address,
        "--control",
        entry.control,
        "--group-uid",
        std::to_string(entry.uid),
        "--primary",
        member_name(entry.group, 0),
        "--lag-ms",
        std::to_string(options_.lag_ms),
        "--slots",
        std::to_string(options_.slots),
        "--connections",
        std::to_string(options_.connections),
        "--connect-ms",
        std::to_string(options_.connect_ms),
        "--statement-ms",
        std::to_string(options_.statement_ms)};
    if (!peers.empty())
    {
        arguments.insert(arguments.end(), {"--peers", peers});
    }
    if (rejoin)
    {
        arguments.emplace_back("--rejoin");
    }
    entry.running = process::start(arguments, log_path(name));
}

void fleet::start_proxies()
{
    for (std::size_t i = 0; i < options_.proxies; ++i)
    {
        proxy_process entry;
        entry.name = fmt::format("proxy{}", i);
        entry.domain = domain_of_proxy(i);
        entry.caller_address = free_address();
        entry.peer_address = free_address();
        entry.metrics_address = free_address();
        entry.settings_path = directory_ + "/" + entry.name + ".toml";
        proxies_.push_back(std::move(entry));
    }
    for (std::size_t i = 0; i < options_.proxies; ++i)
    {
        write_settings(i);
        start_proxy(i);
    }
}

void fleet::write_settings(std::size_t index)
{
    const auto& entry = proxies_[index];
    const auto platform =
        options_.platform_faults
            ? add_link("platform:" + entry.name, platform_address_)
            : platform_address_;
    std::ofstream file(entry.settings_path);
    file << fmt::format(
        "[host]\nname = \"{}\"\nfailure_domain = \"{}\"\n"
        "caller_address = \"{}\"\npeer_address = \"{}\"\n"
        "metrics_address = \"{}\"\n[platform]\naddress = \"{}\"\n{}\n",
        entry.name, entry.domain, entry.caller_address, entry.peer_address,
        entry.metrics_address, platform, options_.settings);
    if (options_.member_faults)
    {
        for (const auto& [name, member] : members_)
        {
            const auto& link =
                add_link("member:" + entry.name + ":" + name, member.address);
            file << fmt::format(
                "[[member_route]]\nmember = \"{}\"\naddress = \"{}\"\n", name,
                link);
        }
    }
    if (options_.peer_faults)
    {
        for (const auto& other : proxies_)
        {
            if (other.name != entry.name)
            {
                const auto& link = add_link(
                    "peer:" + entry.name + ":" + other.name,
                    other.peer_address);
                file << fmt::format(
                    "[[peer_route]]\nhost = \"{}\"\naddress = \"{}\"\n",
                    other.name, link);
            }
        }
    }
}

void fleet::start_proxy(std::size_t index)
{
    auto& entry = proxies_.at(index);
    entry.running = process::start(
        {ZINNIAHUB_BINARY, "serve", "--config", entry.settings_path},
        log_path(entry.name));
}

const std::string&
fleet::add_link(const std::string& name, const std::string& to)
{
    auto& link = links_[name];
    if (link.address.empty())
    {
        link.address = free_address();
        link.control = free_address();
        link.running = process::start(
            {ZINNIAHUB_STANDIN_BINARY, "fault", "--listen", link.address,
             "--to", to, "--control", link.control},
            log_path("link-" + std::to_string(links_.size())));
    }
    return link.address;
}

std::vector<std::string> fleet::declaration_of(const std::string& group) const
{
    std::vector<std::string> arguments{"apply", "group", group};
    for (const auto& name : members_of(group))
    {
        const auto& entry = members_.at(name);
        arguments.insert(
            arguments.end(),
            {"--member",
             fmt::format("{}={}@{}", name, entry.address, entry.domain)});
    }
    arguments.insert(
        arguments.end(),
        {"--slots", std::to_string(options_.slots), "--connections",
         std::to_string(options_.connections)});
    return arguments;
}

command_result fleet::declare_group(const std::string& group) const
{
    return operate(declaration_of(group));
}

command_result fleet::open_group(const std::string& group) const
{
    auto arguments = declaration_of(group);
    arguments.emplace_back("--open");
    return operate(std::move(arguments));
}

void fleet::declare()
{
    const bool up = eventually(
        start_timeout, [this] { return operate({"list"}).exit_code == 0; });
    if (!up)
    {
        throw std::runtime_error("the platform does not answer");
    }
    for (const auto& group : options_.groups)
    {
        declare_and_get_uid(group);
    }
    for (const auto& [name, limit] : options_.customers)
    {
        const auto result = operate(
            {"apply", "customer", name, "--rate", std::to_string(limit.first),
             "--burst", std::to_string(limit.second)});
        if (result.exit_code != 0)
        {
            throw std::runtime_error(result.output);
        }
        keys_[name] = add_key(name, "first");
    }
}

std::uint64_t fleet::declare_and_get_uid(const std::string& group)
{
    const auto result = declare_group(group);
    const auto at = result.output.find(" uid=");
    if (result.exit_code != 0 || at == std::string::npos)
    {
        throw std::runtime_error(result.output);
    }
    return std::stoull(result.output.substr(at + 5));
}

void fleet::recreate_group(const std::string& group)
{
    const auto result = operate({"withdraw", "group", group});
    if (result.exit_code != 0)
    {
        throw std::runtime_error(result.output);
    }
    for (const auto& name : members_of(group))
    {
        auto& entry = members_.at(name);
        entry.running.kill();
        entry.address = free_address();
        entry.control = free_address();
    }
    const auto uid = declare_and_get_uid(group);
    for (const auto& name : members_of(group))
    {
        members_.at(name).uid = uid;
    }
    for (const auto& name : members_of(group))
    {
        start_member(name, false);
    }
    for (const auto& name : members_of(group))
    {
        wait_for_member(name);
    }
}

std::string fleet::add_key(const std::string& customer, const std::string& id)
{
    const auto result = operate({"apply", "key", customer, "--id", id});
    const auto at = result.output.rfind("key=");
    if (result.exit_code != 0 || at == std::string::npos)
    {
        throw std::runtime_error("no key: " + result.output);
    }
    const auto end = result.output.find('\n', at);
    return result.output.substr(at + 4, end - at - 4);
}

void fleet::wait_until_serving()
{
    for (std::size_t i = 0; i < proxies_.size(); ++i)
    {
        const bool serving = eventually(
            start_timeout,
            [this, i]
            {
                auto probe = connect(i, options_.customers.begin()->first);
                return probe->read("get probe").is_done();
            });
        if (!serving)
        {
            throw std::runtime_error(fmt::format("proxy {} does not serve", i));
        }
    }
}

// Use

command_result fleet::operate(std::vector<std::string> arguments) const
{
    arguments.insert(arguments.begin(), ZINNIAHUB_BINARY);
    arguments.insert(arguments.end(), {"--platform", operator_address_});
    return run_command(arguments);
}

std::unique_ptr<caller> fleet::connect(
    std::size_t proxy, const std::string& customer,
    const std::string& group) const
{
    const auto key = keys_.find(customer);
    return std::make_unique<caller>(
        proxies_.at(proxy).caller_address,
        key == keys_.end() ? std::string() : key->second,
        group.empty() ? options_.groups.front() : group);
}

process& fleet::member(const std::string& name)
{
    return members_.at(name).running;
}

process& fleet::proxy(std::size_t index)
{
    return proxies_.at(index).running;
}

std::map<std::string, std::string>
fleet::owners_of(const std::string& prefix) const
{
    const auto stub = v1::Platform::NewStub(grpc::CreateChannel(
        platform_address_, grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    v1::RangeRequest request;
    request.set_prefix(prefix);
    v1::RangeReply reply;
    std::map<std::string, std::string> owners;
    if (stub->Range(&context, request, &reply).ok())
    {
        for (const auto& entry : reply.entries())
        {
            v1::Ownership owner;
            owner.ParseFromString(entry.value());
            owners[entry.key()] = owner.host();
        }
    }
    return owners;
}

std::optional<std::size_t>
fleet::rate_owner_of(const std::string& customer) const
{
    // FNV-1a, as the proxies assign customers to shards.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char symbol : customer)
    {
        hash ^= static_cast<unsigned char>(symbol);
        hash *= 1099511628211ULL;
    }
    constexpr std::uint64_t shards = 16;
    const auto owners = owners_of(std::string(kv::rate_prefix));
    const auto found = owners.find(kv::key_of(kv::rate_prefix, hash % shards));
    for (std::size_t i = 0; i < proxies_.size() && found != owners.end(); ++i)
    {
        if (proxies_[i].name == found->second)
        {
            return i;
        }
    }
    return std::nullopt;
}

std::size_t fleet::held_seats() const
{
    return owners_of(std::string(kv::seat_prefix)).size();
}

std::string fleet::delegate_of(const std::string& domain) const
{
    const auto key = kv::key_of(kv::delegate_prefix, domain);
    const auto owners = owners_of(key);
    const auto found = owners.find(key);
    return found == owners.end() ? std::string() : found->second;
}

bool fleet::wait_until_rates_settle() const
{
    std::map<std::string, std::string> owners;
    auto since = std::chrono::steady_clock::now();
    // A seat is usable after its activation time; one second more fills the
    // pool to a burst of one second.
    const auto settle_time =
        control::ownership::seat_activation_delay + std::chrono::seconds(1);
    return eventually(
        start_timeout,
        [&]
        {
            auto current = owners_of(std::string(kv::owner_prefix));
            const auto now = std::chrono::steady_clock::now();
            if (current != owners || held_seats() < proxies_.size())
            {
                owners = std::move(current);
                since = now;
            }
            return now - since >= settle_time;
        });
}

process& fleet::platform()
{
    return platform_;
}

void fleet::rejoin_member(const std::string& name)
{
    start_member(name, true);
    wait_for_member(name);
}

void fleet::wait_for_member(const std::string& name) const
{
    const auto answers = [&]
    {
        try
        {
            return !member_command(name, "stats").empty();
        }
        catch (const boost::system::system_error&)
        {
            return false;
        }
    };
    if (!eventually(start_timeout, answers))
    {
        throw std::runtime_error("member " + name + " does not start");
    }
}

std::string fleet::platform_command(const std::string& command) const
{
    return control_command(platform_control_, command);
}

std::string
fleet::member_command(const std::string& name, const std::string& command) const
{
    return control_command(members_.at(name).control, command);
}

std::map<std::string, std::string>
fleet::rows_of(const std::string& member) const
{
    std::istringstream lines(member_command(member, "dump "));
    std::map<std::string, std::string> rows;
    std::string line;
    while (std::getline(lines, line) && line != "end")
    {
        const auto space = line.find(' ');
        rows[line.substr(0, space)] = line.substr(space + 1);
    }
    return rows;
}

std::string
fleet::member_stat(const std::string& name, const std::string& key) const
{
    const auto stats = " " + member_command(name, "stats") + " ";
    const auto at = stats.find(" " + key + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + key.size() + 2;
    return stats.substr(begin, stats.find(' ', begin) - begin);
}

std::uint64_t fleet::requests_at(const std::string& name) const
{
    return std::stoull(member_command(name, "requests"));
}

std::vector<std::string> fleet::members_of(const std::string& group) const
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < options_.members; ++i)
    {
        names.push_back(member_name(group, i));
    }
    return names;
}

std::vector<std::string> fleet::member_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : members_)
    {
        names.push_back(name);
    }
    return names;
}

std::string fleet::primary_of(const std::string& group) const
{
    std::string primary;
    unsigned long long best = 0;
    for (const auto& name : members_of(group))
    {
        if (members_.at(name).running.pid() <= 0)
        {
            continue;
        }
        const auto term = std::stoull(member_stat(name, "term"));
        if (member_stat(name, "role") == "primary" && term >= best)
        {
            best = term;
            primary = name;
        }
    }
    return primary;
}

std::string
fleet::link_command(const std::string& name, const std::string& command) const
{
    return control_command(links_.at(name).control, command);
}

std::string fleet::member_fault(
    std::size_t proxy, const std::string& member,
    const std::string& command) const
{
    return link_command(
        "member:" + proxies_.at(proxy).name + ":" + member, command);
}

std::string
fleet::platform_fault(std::size_t proxy, const std::string& command) const
{
    return link_command("platform:" + proxies_.at(proxy).name, command);
}

std::string fleet::operator_fault(const std::string& command) const
{
    return link_command("operator", command);
}

std::string fleet::peer_fault(
    std::size_t from, std::size_t to, const std::string& command) const
{
    return link_command(
        "peer:" + proxies_.at(from).name + ":" + proxies_.at(to).name, command);
}

std::string fleet::replication_fault(
    const std::string& replica, const std::string& source,
    const std::string& command) const
{
    return link_command("replication:" + replica + ":" + source, command);
}

std::map<std::string, std::string> fleet::owners() const
{
    const auto stub = v1::Platform::NewStub(grpc::CreateChannel(
        platform_address_, grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    v1::RangeRequest request;
    request.set_prefix("/zinniahub/owner/");
    v1::RangeReply reply;
    if (!stub->Range(&context, request, &reply).ok())
    {
        throw std::runtime_error("the owners cannot be read");
    }
    std::map<std::string, std::string> owners;
    for (const auto& entry : reply.entries())
    {
        v1::Ownership owner;
        owner.ParseFromString(entry.value());
        owners[entry.key()] = owner.host();
    }
    return owners;
}

// Failure domains

std::string
fleet::domain_of_member(const std::string& group, std::size_t index) const
{
    const auto own = options_.member_domains.find(group);
    const auto& domains =
        own == options_.member_domains.end() ? options_.domains : own->second;
    return domains[index % domains.size()];
}

void fleet::command_links_of_domain(
    const std::string& domain, const std::string& command) const
{
    for (std::size_t i = 0; i < proxies_.size(); ++i)
    {
        const bool inside = proxies_[i].domain == domain;
        for (const auto& [name, member] : members_)
        {
            if (inside != (member.domain == domain))
            {
                member_fault(i, name, command);
            }
        }
        for (std::size_t other = 0; other < proxies_.size(); ++other)
        {
            if (inside != (proxies_[other].domain == domain))
            {
                peer_fault(i, other, command);
            }
        }
    }
    for (const auto& [name, member] : members_)
    {
        for (const auto& [other, source] : members_)
        {
            if (options_.replication_faults && member.group == source.group &&
                (member.domain == domain) != (source.domain == domain))
            {
                replication_fault(name, other, command);
            }
        }
    }
}

void fleet::command_platform_links_of_domain(
    const std::string& domain, const std::string& command) const
{
    for (std::size_t i = 0; i < proxies_.size(); ++i)
    {
        if (proxies_[i].domain == domain)
        {
            platform_fault(i, command);
        }
    }
}

void fleet::cut_domain_from_peers(const std::string& domain) const
{
    command_links_of_domain(domain, "cut");
}

void fleet::cut_domain_from_platform(const std::string& domain) const
{
    command_platform_links_of_domain(domain, "cut");
}

void fleet::heal_domain(const std::string& domain) const
{
    command_links_of_domain(domain, "heal");
    command_platform_links_of_domain(domain, "heal");
}

std::string fleet::metrics_page(std::size_t proxy) const
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect(endpoint_of(proxies_.at(proxy).metrics_address));
    asio::write(
        socket,
        asio::buffer(std::string("GET /metrics HTTP/1.1\r\nHost: localhost\r\n"
                                 "Connection: close\r\n\r\n")));
    std::string page;
    boost::system::error_code ended;
    asio::read(socket, asio::dynamic_buffer(page), ended);
    return page;
}

double fleet::metric(std::size_t proxy, const std::string& name) const
{
    const auto page = metrics_page(proxy);
    const auto at = page.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::strtod(page.c_str() + at + name.size() + 2, nullptr);
}

} // namespace zinniahub::test
