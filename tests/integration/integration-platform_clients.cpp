#include "support/hosted_proxy.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// Clients that take more than their part of a process: it must live, stay
// within the limits of its settings, and answer an ordinary request afterwards.

using namespace std::chrono_literals;
using zinniahub::test::hosted_platform;
using zinniahub::test::hosted_proxy;
using zinniahub::test::line_caller;
using zinniahub::test::statement_ledger;
using clock_type = std::chrono::steady_clock;

namespace
{

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr std::size_t memory_mb = 64;
constexpr std::size_t max_file_descriptors = 400;
/// Longest time for which a crowd goes on sending.
constexpr auto sending_limit = 20s;
/// Time in which the process reads what the kernel has buffered for it.
constexpr auto reading_time = 3s;
/// Longest time until an ordinary request must be answered; only so that the
/// test reports its logs before its own timeout.
constexpr auto answer_limit = 90s;

std::string query(const std::string& text)
{
    static unsigned count = 0;
    const auto id = fmt::format("{:016x}", 0xc11e000000000000U + ++count);
    statement_ledger::of_process().add(
        {.id = id, .text = text, .key = "key-a"});
    return fmt::format("QUERY {} {}\r\n", id, text);
}

/// A message without its end.
std::string unfinished(std::size_t bytes)
{
    return "QUERY 1 FETCH " + std::string(bytes, 'x');
}

/// Connections that send without regard to what the proxy answers. All stay
/// open until the crowd is destroyed.
class crowd
{
public:
    using message_of = std::function<std::string(std::size_t)>;

    crowd(const std::string& address, std::size_t count)
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        target.sin_port = htons(static_cast<std::uint16_t>(
            std::stoul(address.substr(address.rfind(':') + 1))));
        for (std::size_t index = 0; index < count; ++index)
        {
            const int socket =
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            // Replies that are not read stay with the proxy.
            const int receive_bytes = 4096;
            ::setsockopt(
                socket, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof(receive_bytes));
            // Completes in the background.
            (void)::connect(
                socket, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target));
            sockets_.push_back(socket);
            std::this_thread::sleep_for(100us);
        }
    }
    ~crowd()
    {
        for (const int socket : sockets_)
        {
            ::close(socket);
        }
    }
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Starts sessions.
    void start()
    {
        send([](std::size_t) { return "STARTUP latest key-a\r\n"; }, kib);
        for (const int socket : sockets_)
        {
            pollfd entry{socket, POLLIN, 0};
            ::poll(&entry, 1, 1000);
            char reply[16];
            (void)!::recv(socket, reply, sizeof("READY I -\r\n") - 1, 0);
        }
    }

    /// Sends a message on each connection, all at once, in pieces.
    void send(const message_of& message, std::size_t piece_bytes)
    {
        std::vector<std::string> messages;
        for (std::size_t index = 0; index < sockets_.size(); ++index)
        {
            messages.push_back(message(index));
        }
        std::vector<std::size_t> sent(sockets_.size());
        const auto end = clock_type::now() + sending_limit;
        bool unsent = true;
        while (unsent && clock_type::now() < end)
        {
            unsent = false;
            bool progress = false;
            for (std::size_t index = 0; index < sockets_.size(); ++index)
            {
                const auto rest = messages[index].size() - sent[index];
                const auto count = ::send(
                    sockets_[index], messages[index].data() + sent[index],
                    std::min(rest, piece_bytes), MSG_NOSIGNAL);
                const bool closed = count < 0 && errno != EAGAIN;
                sent[index] += closed      ? rest
                               : count > 0 ? static_cast<std::size_t>(count)
                                           : 0;
                progress = progress || count > 0;
                unsent = unsent || sent[index] < messages[index].size();
            }
            std::this_thread::sleep_for(progress ? 0ms : 2ms);
        }
    }

private:
    std::vector<int> sockets_;
};

class platform_clients : public testing::Test
{
protected:
    void SetUp() override
    {
        start_proxy(memory_mb);
    }

    void start_proxy(std::size_t memory)
    {
        platform_.configure(1, {{"alba", "key-a"}}, 20000);
        proxy_ = std::make_unique<hosted_proxy>(platform_, "n1");
        proxy_->child().kill();
        proxy_->set_limits(memory, max_file_descriptors);
        proxy_->restart();
        ASSERT_TRUE(proxy_->wait_until_ready()) << proxy_->log();
        expect_answer("FETCH item");
    }

    void TearDown() override
    {
        expect_within_limits();
        if (HasFailure())
        {
            GTEST_LOG_(INFO) << proxy_->log().substr(0, 20 * kib);
        }
    }

    /// The process lives within the limits.
    void expect_within_limits()
    {
        EXPECT_TRUE(proxy_->child().is_running());
        const auto memory = proxy_->peak_memory_bytes();
        const auto descriptors = proxy_->descriptors();
        fmt::print("peak {} MiB, {} descriptors\n", memory / mib, descriptors);
        EXPECT_LT(memory, memory_mb * mib);
        EXPECT_LT(descriptors, max_file_descriptors);
    }

    /// One ordinary request, tried again until it is answered.
    void expect_answer(const std::string& text)
    {
        const auto end = clock_type::now() + answer_limit;
        while (clock_type::now() < end && proxy_->child().is_running())
        {
            line_caller caller(proxy_->address(), 2s);
            if (caller.start("latest", "key-a").ok() && caller.run(text).ok())
            {
                return;
            }
            std::this_thread::sleep_for(50ms);
        }
        ADD_FAILURE() << "no answer";
    }

    void expect_service()
    {
        std::this_thread::sleep_for(reading_time);
        expect_within_limits();
        expect_answer("FETCH item");
    }

    hosted_platform platform_;
    std::unique_ptr<hosted_proxy> proxy_;
};

/// Statement of the largest legal message.
std::string largest_read()
{
    return "FETCH " +
           std::string(mib - std::string("QUERY  FETCH ").size() - 16, 'x');
}

} // namespace

// Guards against limits that refuse the largest legal message of one client.
TEST_F(platform_clients, one_largest_message_is_served)
{
    expect_answer(largest_read());
}

// Guards against memory that grows with the number of large messages.
TEST_F(platform_clients, largest_messages_of_many_in_one_piece)
{
    crowd clients(proxy_->address(), 120);
    clients.start();
    clients.send([](std::size_t) { return query(largest_read()); }, mib);
    expect_service();
}

// Guards against the same with messages that grow in step, so that all are
// unfinished at once.
TEST_F(platform_clients, largest_messages_of_many_in_small_pieces)
{
    crowd clients(proxy_->address(), 120);
    clients.start();
    clients.send([](std::size_t) { return query(largest_read()); }, kib);
    expect_service();
}

// Guards against memory held for messages that are refused anyway.
TEST_F(platform_clients, messages_far_over_the_limit)
{
    crowd clients(proxy_->address(), 120);
    clients.start();
    clients.send([](std::size_t) { return unfinished(4 * mib); }, 16 * kib);
    expect_service();
}

// Guards against statements and replies that pile up for a client that sends
// ahead without reading.
TEST_F(platform_clients, statements_ahead_without_reading)
{
    crowd clients(proxy_->address(), 120);
    clients.start();
    const auto statements = [](std::size_t)
    {
        std::string all;
        for (int count = 0; count < 2000; ++count)
        {
            all += query("FETCH item");
        }
        return all;
    };
    clients.send(statements, 64 * kib);
    expect_service();
}

// Guards against large replies that pile up for clients that read nothing.
TEST_F(platform_clients, clients_that_read_nothing)
{
    expect_answer("PUT large " + std::string(900 * kib, 'v'));
    crowd clients(proxy_->address(), 120);
    clients.start();
    const auto reads = [](std::size_t)
    {
        std::string all;
        for (int count = 0; count < 20; ++count)
        {
            all += query("FETCH large");
        }
        return all;
    };
    clients.send(reads, kib);
    expect_service();
}

// Guards against many connections that each hold a long unfinished STARTUP.
TEST_F(platform_clients, senders_that_stop_in_startup)
{
    crowd clients(proxy_->address(), 1500);
    clients.send(
        [](std::size_t)
        { return "STARTUP latest " + std::string(60 * kib, 'k'); },
        16 * kib);
    expect_service();
}

// Guards against unfinished messages that are kept for good.
TEST_F(platform_clients, senders_that_stop_in_a_line)
{
    crowd clients(proxy_->address(), 150);
    clients.start();
    clients.send([](std::size_t) { return unfinished(900 * kib); }, 16 * kib);
    expect_service();
}

// Guards against the same in open transactions, which hold connections too.
TEST_F(platform_clients, senders_that_stop_in_a_transaction)
{
    crowd clients(proxy_->address(), 150);
    clients.start();
    const auto stopped = [](std::size_t index)
    {
        return query("BEGIN") + query(fmt::format("PUT item{} v", index)) +
               unfinished(900 * kib);
    };
    clients.send(stopped, 16 * kib);
    expect_service();
}

// Guards against clients that take the descriptors of members and the store.
TEST_F(platform_clients, more_connections_than_descriptors)
{
    {
        crowd clients(proxy_->address(), 1000);
        clients.start();
        expect_within_limits();
    }
    expect_service();
}

// Guards against session state that takes the memory of the process.
TEST_F(platform_clients, sessions_with_many_prepared_texts)
{
    crowd clients(proxy_->address(), 150);
    clients.start();
    const auto prepare = [](std::size_t)
    {
        std::string all;
        for (int number = 0; number < 40; ++number)
        {
            all += query(
                fmt::format("PREPARE s{} FETCH ", number) +
                std::string(60 * kib, 's'));
        }
        return all;
    };
    clients.send(prepare, 64 * kib);
    expect_service();
}

// Guards against probes that take all descriptors.
TEST_F(platform_clients, unfinished_requests_at_the_ready_port)
{
    crowd clients(proxy_->ready_address(), 1000);
    clients.send(
        [](std::size_t)
        { return "GET /readyz HTTP/1.1\r\nx: " + std::string(7 * kib, 'x'); },
        kib);
    expect_service();
}

// Guards against bodies that are kept for other hosts.
TEST_F(platform_clients, unfinished_requests_at_the_peer_port)
{
    crowd clients(proxy_->peer_address(), 1000);
    const auto request = [](std::size_t)
    {
        return fmt::format(
                   "POST /kv-put HTTP/1.1\r\nhost: x\r\ncontent-length: "
                   "{}\r\n\r\n",
                   2 * mib) +
               std::string(2 * mib - kib, 'x');
    };
    clients.send(request, 16 * kib);
    expect_service();
}

// Prints the memory of sessions for docs/CAPACITY.md; only with
// CLIENT_MEMORY=1.
TEST(platform_clients_by_hand, memory_of_sessions)
{
    if (std::getenv("CLIENT_MEMORY") == nullptr)
    {
        GTEST_SKIP() << "CLIENT_MEMORY is not set";
    }
    constexpr std::size_t count = 4000;
    hosted_platform platform;
    platform.configure(1, {{"alba", "key-a"}}, 20000);
    hosted_proxy proxy(platform, "n1");
    ASSERT_TRUE(proxy.wait_until_ready());
    std::this_thread::sleep_for(reading_time);
    const auto print = [&proxy](const std::string& what, std::size_t before)
    {
        const auto growth = proxy.peak_memory_bytes() - before;
        fmt::print(
            "{}: {} bytes more, {} a session, {} descriptors\n", what, growth,
            growth / count, proxy.descriptors());
    };
    auto before = proxy.peak_memory_bytes();
    {
        line_caller caller(proxy.address());
        caller.start("latest", "key-a");
        caller.run(largest_read());
        print("one largest message", before);
    }
    proxy.restart();
    ASSERT_TRUE(proxy.wait_until_ready());
    std::this_thread::sleep_for(reading_time);
    before = proxy.peak_memory_bytes();
    crowd clients(proxy.address(), count);
    clients.start();
    std::this_thread::sleep_for(reading_time);
    print("at rest", before);
    clients.send([](std::size_t) { return unfinished(3 * kib); }, kib);
    std::this_thread::sleep_for(reading_time);
    print("with 3 KiB of a message", before);
    clients.send([](std::size_t) { return std::string(64 * kib, 'x'); }, kib);
    std::this_thread::sleep_for(reading_time);
    print("with 67 KiB of a message", before);
}
