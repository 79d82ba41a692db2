#include "support/soak_callers.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace zinniahub::test
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Far above the time limit of a statement and the wait for a member.
constexpr milliseconds reply_limit = 6s;

std::uint64_t next_number()
{
    static std::atomic<std::uint64_t> count{0};
    return ++count;
}

/// Codes that promise that nothing of the attempt is kept.
bool is_promise(const std::string& code)
{
    constexpr const char* promises[] = {"BUSY",     "ABORTED",   "LAGGING",
                                        "READONLY", "MISROUTED", "TOOMANY"};
    return std::any_of(
        std::begin(promises), std::end(promises),
        [&code](const char* promise) { return code == promise; });
}

} // namespace

/// Connection of the line protocol with a limit on the wait for a reply.
class soak_caller::connection
{
public:
    enum class end
    {
        answered,
        cut,
        unanswered
    };

    explicit connection(const std::string& address)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto colon = address.rfind(':');
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
        const timeval limit{2, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
        const int on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        is_open_ = ::connect(
                       socket_, reinterpret_cast<const sockaddr*>(&peer),
                       sizeof(peer)) == 0;
    }

    ~connection()
    {
        ::close(socket_);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    end call(const std::string& line)
    {
        const auto bytes = line + "\r\n";
        code.clear();
        signature.clear();
        if (!is_open_ ||
            ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) !=
                static_cast<ssize_t>(bytes.size()))
        {
            return end::cut;
        }
        const auto limit = steady_clock::now() + reply_limit;
        std::string reply;
        while (true)
        {
            const auto read = read_line(limit, reply);
            if (read != end::answered)
            {
                return read;
            }
            if (reply.starts_with("COMPLETE "))
            {
                signature = reply.substr(9);
            }
            else if (reply.starts_with("ERROR "))
            {
                code = reply.substr(6, reply.find(' ', 6) - 6);
            }
            else if (reply.starts_with("READY "))
            {
                state = reply.at(6);
                return end::answered;
            }
        }
    }

    std::string code;
    std::string signature;
    char state = 'I';

private:
    end read_line(soak_time limit, std::string& line)
    {
        while (true)
        {
            const auto found = buffer_.find("\r\n");
            if (found != std::string::npos)
            {
                line = buffer_.substr(0, found);
                buffer_.erase(0, found + 2);
                return end::answered;
            }
            const auto left = std::chrono::duration_cast<milliseconds>(
                limit - steady_clock::now());
            pollfd entry{socket_, POLLIN, 0};
            if (left <= 0ms ||
                ::poll(&entry, 1, static_cast<int>(left.count())) == 0)
            {
                return end::unanswered;
            }
            std::array<char, 4096> bytes{};
            const auto count = ::recv(socket_, bytes.data(), bytes.size(), 0);
            if (count <= 0)
            {
                return end::cut;
            }
            buffer_.append(bytes.data(), static_cast<std::size_t>(count));
        }
    }

    int socket_;
    bool is_open_ = false;
    std::string buffer_;
};

soak_caller::soak_caller(settings values, choose_proxy choose)
    : settings_(std::move(values))
    , choose_(std::move(choose))
    , numbers_(settings_.seed)
    , thread_([this] { work(); })
{
}

soak_caller::~soak_caller()
{
    stop();
}

void soak_caller::stop()
{
    stopped_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void soak_caller::pause(milliseconds longest)
{
    std::this_thread::sleep_for(milliseconds(
        numbers_.between(1, static_cast<std::uint64_t>(longest.count()))));
}

void soak_caller::work()
{
    while (!stopped_)
    {
        const auto proxy = choose_(numbers_);
        if (proxy)
        {
            session(proxy->first, proxy->second);
        }
        pause(settings_.longest_pause);
    }
}

/// Sends a statement and records it.
/// @return false if the session has ended
bool soak_caller::ask(connection& peer, const std::string& text, bool is_first)
{
    current_.id = fmt::format("{:016x}", 0x50a0000000000000U + next_number());
    current_.text = text;
    current_.is_first = is_first;
    current_.is_read = text.starts_with("FETCH");
    current_.sent = steady_clock::now();
    const auto end = peer.call(fmt::format("QUERY {} {}", current_.id, text));
    current_.ended = steady_clock::now();
    current_.code = peer.code;
    current_.signature = peer.signature;
    current_.is_cut = end == connection::end::cut;
    current_.is_unanswered = end == connection::end::unanswered;
    requests.push_back(current_);
    return end == connection::end::answered;
}

void soak_caller::session(std::size_t proxy, const std::string& address)
{
    constexpr const char* databases[] = {
        "latest", "latest", "bounded", "session"};
    current_ = {};
    current_.proxy = proxy;
    current_.database = databases[numbers_.between(0, 3)];
    current_.key = settings_.key;
    current_.session = next_number();
    connection peer(address);
    const auto started = peer.call(
        fmt::format("STARTUP {} {}", current_.database, settings_.key));
    if (started != connection::end::answered || !peer.code.empty())
    {
        return;
    }
    const auto value = fmt::format("v{}", current_.session);
    if (!ask(peer, "SET owner " + value, false) || !peer.code.empty())
    {
        return;
    }
    current_.session_value = value;
    const auto operations = numbers_.chance(30) ? 1 : numbers_.between(5, 80);
    const auto item = fmt::format("item{}", numbers_.between(0, 20));
    for (std::uint64_t done = 0; done < operations && !stopped_; ++done)
    {
        if (!operation(peer, item) || peer.state != 'I')
        {
            return;
        }
        // Some sessions stay idle between their operations.
        pause(
            numbers_.chance(3) ? milliseconds(1500) : settings_.longest_pause);
    }
}

bool soak_caller::operation(connection& peer, const std::string& item)
{
    const auto kind = numbers_.between(1, 100);
    if (kind <= 40)
    {
        return ask(peer, "FETCH " + item, true);
    }
    if (kind <= 75)
    {
        const auto data = fmt::format("d{}", next_number());
        const bool is_open =
            ask(peer, fmt::format("PUT {} {}", item, data), true);
        finish_write(data, true);
        return is_open;
    }
    return transaction(peer, item);
}

bool soak_caller::transaction(connection& peer, const std::string& item)
{
    const auto data = fmt::format("d{}", next_number());
    const bool is_begun = ask(peer, "BEGIN", true);
    if (!is_begun || peer.state != 'T')
    {
        return is_begun;
    }
    pause(20ms);
    if (!ask(peer, fmt::format("PUT {} {}", item, data), false) ||
        peer.state != 'T')
    {
        finish_write(data, false);
        return false;
    }
    pause(numbers_.chance(5) ? 1500ms : 30ms);
    // Some clients leave in the middle, some roll back.
    if (numbers_.chance(5))
    {
        finish_write(data, false);
        return false;
    }
    const bool is_commit = !numbers_.chance(15);
    const bool is_open = ask(peer, is_commit ? "COMMIT" : "ROLLBACK", false);
    finish_write(data, is_commit);
    return is_open;
}

/// Records the outcome of an attempt whose last request is `current_`.
void soak_caller::finish_write(const std::string& data, bool is_commit_sent)
{
    soak_write write;
    write.data = data;
    write.session = current_.session;
    write.proxy = current_.proxy;
    write.acknowledged = current_.ended;
    write.code = current_.code;
    if (!is_commit_sent)
    {
        write.result = soak_write::outcome::not_asked;
    }
    else if (current_.ok())
    {
        write.result = soak_write::outcome::acknowledged;
    }
    else if (is_promise(current_.code))
    {
        write.result = soak_write::outcome::refused;
    }
    writes.push_back(std::move(write));
}

} // namespace zinniahub::test
