#pragma once

#include "support/client_text.hpp"
#include "support/hosted_proxy.hpp"
#include "support/soak_schedule.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace zinniahub::test
{

using soak_time = std::chrono::steady_clock::time_point;

/// @brief A request of a caller and its reply.
struct soak_request
{
    std::string id;
    std::string text;
    std::string database;
    std::string key;
    std::size_t session = 0;
    std::size_t proxy = 0;
    soak_time sent;
    soak_time ended;
    client_reply reply;
    /// First statement of its operation.
    bool is_first = false;
    /// Executes a prepared read.
    bool executes_read = false;

    bool is_read() const
    {
        return text.starts_with("FETCH") || executes_read;
    }
};

/// @brief One attempt to write a value that no other attempt writes.
struct soak_write
{
    enum class outcome
    {
        acknowledged,
        /// The reply promises that nothing is kept.
        refused,
        /// The client did not ask for the commit.
        not_asked,
        unknown
    };

    std::string data;
    outcome result = outcome::unknown;
    std::string code;
    std::size_t session = 0;
    std::size_t proxy = 0;
    soak_time acknowledged;
};

/// @brief A client that keeps its sessions open until they are closed, and
/// records each request.
class soak_caller
{
public:
    struct settings
    {
        std::uint64_t seed = 0;
        std::string key;
        std::chrono::milliseconds longest_pause{40};
    };
    /// Chooses a proxy for a new connection; nothing if none takes any.
    using choose_proxy =
        std::function<std::optional<std::pair<std::size_t, std::string>>(
            seeded_numbers&)>;

    soak_caller(settings values, choose_proxy choose);
    ~soak_caller();

    void stop();

    /// Complete after `stop`.
    std::vector<soak_request> requests;
    std::vector<soak_write> writes;

private:
    void work();
    void session(std::size_t proxy, const std::string& address);
    bool operation(line_caller& peer, const std::string& item);
    bool transaction(line_caller& peer, const std::string& item);
    bool ask(line_caller& peer, const std::string& text, bool is_first);
    bool prepare(line_caller& peer);
    bool change_session(line_caller& peer);
    bool set_value(line_caller& peer);
    bool write(
        line_caller& peer, const std::string& item, const std::string& data,
        bool is_first);
    std::string new_data();
    std::string shape();
    void finish_write(const std::string& data, bool is_commit_sent);
    void pause(std::chrono::milliseconds longest);

    settings settings_;
    choose_proxy choose_;
    seeded_numbers numbers_;
    client_text text_;
    /// Names of the prepared read and the prepared write of the session.
    std::string read_name_;
    std::string write_name_;
    soak_request current_;
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

} // namespace zinniahub::test
