#pragma once

#include "standins/load_balancer.hpp"
#include "standins/load_checker.hpp"
#include "support/caller.hpp"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace zinniahub::load
{

/// @brief One request of the arrival schedule.
struct scheduled_request
{
    const statement_class* kind = nullptr;
    std::uint64_t number = 0;
    /// Determines proxy, group and row, so that they are reproducible by seed.
    std::uint64_t random = 0;
    time_point intended;
    bool inside_rate = true;
    /// Number of times that a concentrated customer has changed its proxy.
    std::uint64_t proxy_move_count = 0;
};

/// @brief Constant settings of a session.
struct session_settings
{
    std::string name;
    std::size_t customer = 0;
    std::string key;
    std::vector<std::string> groups;
    std::chrono::microseconds caller_delay{0};
    bool concentrated = false;
    /// Proxy of a session that does not roam.
    std::optional<std::size_t> fixed_proxy;
};

/// @brief A caller with a session token that roams between proxies.
///
/// Requests of a session run one at a time in order of arrival; waiting for
/// the previous one is part of the latency.
class load_session
{
public:
    load_session(session_settings settings, const balancer& proxies);
    ~load_session();
    load_session(const load_session&) = delete;
    load_session& operator=(const load_session&) = delete;

    void submit(scheduled_request arrival);
    /// @brief Runs the queued requests and stops the thread.
    /// @return the requests of this session
    std::vector<request_record> finish();

private:
    struct acknowledged_write
    {
        std::string group;
        const statement_class* kind;
        std::string id;
    };

    void serve();
    void run(const scheduled_request& arrival);
    std::size_t choose_proxy(const scheduled_request& arrival);
    test::caller& caller_at(std::size_t proxy);
    test::caller_reply attempt(
        std::size_t proxy, const scheduled_request& arrival,
        time_point deadline);
    test::caller_reply
    attempt_read(test::caller& to, const scheduled_request& arrival);
    test::caller_reply
    attempt_write(test::caller& to, const scheduled_request& arrival);
    test::caller_reply exchange(
        test::caller& to, v1::Operation operation, v1::Access access,
        const std::string& text);
    void remember_write(const request_record& request);

    const session_settings settings_;
    const balancer& proxies_;
    std::map<std::size_t, std::unique_ptr<test::caller>> callers_;
    std::string token_;
    std::size_t current_proxy_ = 0;
    bool has_proxy_ = false;
    std::deque<acknowledged_write> own_writes_;
    /// The request in progress.
    request_record current_;
    std::vector<request_record> history_;

    std::mutex mutex_;
    std::condition_variable queue_changed_;
    std::deque<scheduled_request> queue_;
    bool finishing_ = false;
    std::thread thread_;
};

} // namespace zinniahub::load
