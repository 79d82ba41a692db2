#include "support/process.hpp"

#include <fmt/format.h>

#include <array>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace zinniahub::test
{

namespace
{

/// Below the ephemeral port range of the kernel.
constexpr int first_port = 12000;
constexpr int last_port = 32000;
constexpr int ports_per_block = 400;

std::vector<char*> to_argv(const std::vector<std::string>& arguments)
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto& argument : arguments)
    {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    return argv;
}

/// @return a socket bound to the port, or -1
int bind_port(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(
            socket, reinterpret_cast<const sockaddr*>(&address),
            sizeof(address)) != 0)
    {
        ::close(socket);
        return -1;
    }
    return socket;
}

bool can_bind(int port)
{
    const int socket = bind_port(port);
    if (socket >= 0)
    {
        ::close(socket);
    }
    return socket >= 0;
}

/// Block of ports reserved for this test program. If programs shared ports, a
/// member of another fleet could take the port of a killed member, and proxies
/// would reach the wrong fleet.
class port_block
{
public:
    port_block()
    {
        constexpr int blocks = (last_port - first_port) / ports_per_block;
        const int start = ::getpid() % blocks;
        for (int i = 0; i < blocks && reservation_ < 0; ++i)
        {
            first_ = first_port + (start + i) % blocks * ports_per_block;
            reservation_ = bind_port(first_);
        }
        if (reservation_ < 0)
        {
            throw std::runtime_error("no free block of ports");
        }
    }

    ~port_block()
    {
        ::close(reservation_);
    }

    port_block(const port_block&) = delete;
    port_block& operator=(const port_block&) = delete;

    int first() const
    {
        return first_ + 1;
    }
    int end() const
    {
        return first_ + ports_per_block;
    }

private:
    int first_ = 0;
    /// Bound to the first port of the block while the program runs.
    int reservation_ = -1;
};

} // namespace

process process::start(
    const std::vector<std::string>& arguments, const std::string& log_path)
{
    auto argv = to_argv(arguments);
    const pid_t child = ::fork();
    if (child < 0)
    {
        throw std::runtime_error("fork failed");
    }
    if (child == 0)
    {
        const int log = ::open(
            log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    process started;
    started.pid_ = child;
    return started;
}

process::process(process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1))
{
}

process& process::operator=(process&& other) noexcept
{
    if (this != &other)
    {
        kill();
        pid_ = std::exchange(other.pid_, -1);
    }
    return *this;
}

process::~process()
{
    kill();
}

void process::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

void process::terminate() const
{
    ::kill(pid_, SIGTERM);
}

void process::freeze() const
{
    ::kill(pid_, SIGSTOP);
}

void process::resume() const
{
    ::kill(pid_, SIGCONT);
}

void process::hang_up() const
{
    ::kill(pid_, SIGHUP);
}

bool process::is_running()
{
    return pid_ > 0 && !wait(std::chrono::milliseconds(0));
}

std::optional<int> process::wait(std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (pid_ > 0)
    {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status)
                                     : 128 + WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= until)
        {
            return std::nullopt;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return std::nullopt;
}

command_result run_command(const std::vector<std::string>& arguments)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
    {
        throw std::runtime_error("pipe failed");
    }
    auto argv = to_argv(arguments);
    const pid_t child = ::fork();
    if (child == 0)
    {
        ::dup2(ends[1], STDOUT_FILENO);
        ::dup2(ends[1], STDERR_FILENO);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    ::close(ends[1]);
    command_result result;
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = ::read(ends[0], buffer.data(), buffer.size())) > 0)
    {
        result.output.append(buffer.data(), static_cast<std::size_t>(count));
    }
    ::close(ends[0]);
    int status = 0;
    ::waitpid(child, &status, 0);
    result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

std::string free_address()
{
    static const port_block block;
    static int next = block.first();
    for (int tries = 0; tries < ports_per_block; ++tries)
    {
        const int port = next;
        next = next + 1 >= block.end() ? block.first() : next + 1;
        if (can_bind(port))
        {
            return fmt::format("127.0.0.1:{}", port);
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace zinniahub::test
