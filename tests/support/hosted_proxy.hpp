#pragma once

#include "support/hosted_platform.hpp"
#include "support/process.hpp"
#include "support/statement_ledger.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace zinniahub::test
{

/// @brief Reply of a proxy to a client.
struct client_reply
{
    std::vector<std::string> rows;
    std::string signature;
    /// Word of an error; empty after a success.
    std::string code;
    std::string state;
    /// The connection ended before the reply was complete.
    bool cut = false;
    /// No complete reply within the limit of the caller.
    bool unanswered = false;

    bool ok() const
    {
        return !cut && !unanswered && code.empty();
    }
};

/// @brief Blocking client of the line protocol.
///
/// Its statements and what is acknowledged to it are registered in the
/// `statement_ledger` of the process; bytes that are sent as they are, are not.
class line_caller
{
public:
    /// @param proxy IP:port
    /// @param limit longest wait for a part of a reply
    explicit line_caller(
        const std::string& proxy,
        std::chrono::milliseconds limit = std::chrono::minutes(1));

    /// @brief Starts a session.
    client_reply start(const std::string& database, const std::string& key);
    /// @brief Runs a statement under an id that is new in this process.
    client_reply run(const std::string& text);
    const std::string& last_id() const
    {
        return id_;
    }
    /// @brief Sends bytes as they are and waits for a reply.
    client_reply send_raw(const std::string& bytes);
    void send_only(const std::string& bytes);
    client_reply receive();
    /// @brief True if the proxy closes the connection within `timeout`.
    bool is_closed_within(std::chrono::milliseconds timeout);

private:
    client_reply read_reply();

    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
    std::chrono::milliseconds limit_;
    boost::asio::streambuf buffer_;
    std::string id_;
    session_record record_;
    /// Statement whose reply has not arrived.
    std::optional<std::string> pending_;
};

/// @brief A proxy process in front of a `hosted_platform`.
class hosted_proxy
{
public:
    /// @param domain failure domain, one of "zone-0" to "zone-2", as those of
    /// the members; without it, domains are not watched
    hosted_proxy(
        const hosted_platform& platform, const std::string& name,
        const std::string& domain = {});

    const std::string& address() const
    {
        return address_;
    }
    /// @brief IP:port of the ready probe.
    const std::string& ready_address() const
    {
        return ready_;
    }
    /// @brief IP:port for connections from other proxies.
    std::string peer_address() const;
    process& child()
    {
        return child_;
    }
    /// @brief Highest resident memory of the process so far; 0 if it has ended.
    std::size_t peak_memory_bytes() const;
    /// @brief Open descriptors of the process.
    std::size_t descriptors() const;
    /// @brief Waits until the ready probe answers with 200.
    bool wait_until_ready(
        std::chrono::milliseconds timeout = std::chrono::seconds(5)) const;
    /// @brief Status of a GET request to the ready address; 0 without answer.
    unsigned get(const std::string& target, std::string* body = nullptr) const;
    /// @brief Lines that the process has written.
    std::string log() const;

    /// @brief Starts the process again under the same name and addresses.
    void restart();
    /// @brief Writes the settings file with another bound for evacuations.
    void write_settings(unsigned evacuation_ms);
    /// @brief Writes the settings file with another address of the store; takes
    /// effect with the next start.
    void set_store(const std::string& address);
    /// @brief Writes the settings file with another grace period; takes effect
    /// with the next start.
    void set_grace_period(std::chrono::seconds value);
    /// @brief Writes the settings file with the limits of the machine; takes
    /// effect with the next start.
    void set_limits(std::size_t memory_mb, std::size_t max_file_descriptors);

private:
    std::string name_;
    std::string domain_;
    std::string address_;
    std::string ready_;
    std::string store_;
    std::chrono::seconds grace_period_{6};
    /// Port for datagrams and connections between the proxies.
    unsigned short internal_port_ = 0;
    bool tokens_checked_ = true;
    unsigned usage_window_s_ = 0;
    /// Section of the settings file, empty unless a test sets it.
    std::string limits_;
    std::string settings_path_;
    std::string log_path_;
    process child_;
};

} // namespace zinniahub::test
