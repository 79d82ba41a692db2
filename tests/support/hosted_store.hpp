#pragma once

#include "support/hosted_server.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace zinniahub::test
{

/// @brief Stand-in for the platform's store, over HTTP with JSON bodies.
class hosted_store
{
public:
    /// Injected fault of all calls.
    enum class fault
    {
        none,
        /// Refused with 503.
        busy,
        /// Refused with 429.
        limited,
        /// The connection is reset.
        reset,
        /// The call has no effect and gets no reply.
        silent,
        /// Writes take effect, but get no reply.
        answers_lost
    };

    struct promotion
    {
        std::string service;
        std::string instance;
        std::string holder;
        std::uint64_t token = 0;
    };
    /// @brief A promotion that the platform carries out later.
    struct pending_promotion
    {
        std::chrono::steady_clock::time_point due;
        promotion what;
        /// False if the order arrives when it is due, true if the member leads
        /// from then on.
        bool accepted = false;
    };

    /// @brief A call that reports the usage of a window.
    struct usage_call
    {
        std::uint64_t window = 0;
        std::string body;
        std::string holder;
        std::uint64_t token = 0;
    };
    /// What happens to a call that reports usage.
    enum class usage_fate
    {
        served,
        /// It has no effect and gets no reply.
        lost,
        /// It has its effect, but gets no reply.
        unanswered
    };

    hosted_store();
    ~hosted_store();

    std::string address() const
    {
        return server_.address();
    }

    void set_fault(fault value)
    {
        fault_ = value;
    }
    /// @brief Delay of each answer.
    void set_delay(std::chrono::milliseconds value)
    {
        delay_ms_ = value.count();
    }
    /// @brief Drops the history, so that watches from before are refused.
    void compact();

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::string get(const std::string& key) const;
    std::uint64_t revision_of(const std::string& key) const;
    std::uint64_t calls() const
    {
        return calls_;
    }

    /// @brief Called for each order to promote; false means 409.
    void on_promotion(std::function<bool(const promotion&)> handler);
    std::vector<promotion> promotions() const;
    /// @brief Whether the member of an order is running. Asked when the order
    /// arrives, if promotions take time.
    void on_order(std::function<bool(const promotion&)> handler);
    /// @brief Time from the reply to an order until it is carried out.
    void set_promotion_time(std::chrono::milliseconds value)
    {
        promotion_ms_ = value.count();
    }
    /// @brief Orders get no reply and arrive after `value`; they are accepted
    /// if their fencing token is still the highest then. 0 ends this.
    void delay_orders(std::chrono::milliseconds value)
    {
        late_ms_ = value.count();
    }

    /// @brief Called for each report of usage, before it is served.
    void on_usage(std::function<usage_fate(const usage_call&)> handler);
    /// @brief The first accepted report of each window.
    std::map<std::uint64_t, usage_call> usage() const;
    /// @brief Reports that differ from an accepted one of their window.
    std::vector<std::string> usage_violations() const;

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct change
    {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        std::string value;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        std::chrono::steady_clock::time_point ends;
        std::chrono::milliseconds ttl{};
    };
    struct answer
    {
        unsigned status = 200;
        nlohmann::json body = nlohmann::json::object();
    };

    void serve(hosted_server::socket& peer);
    answer handle(
        const std::string& method, const std::string& target,
        const std::string& body, const promotion& order);
    answer range(const std::string& prefix, const std::string& after);
    answer
    watch(const std::string& prefix, std::uint64_t after, std::int64_t wait_ms);
    answer transact(const nlohmann::json& body);
    answer promote(const promotion& named);
    /// @return status of the reply
    unsigned accept_locked(const promotion& named);
    void carry_out_orders();
    answer report_usage(const usage_call& call);
    answer grant(const nlohmann::json& body);
    void expire_locked();
    void write_locked(
        const std::string& key, const std::string& value,
        std::uint64_t lease_id);
    void remove_locked(const std::string& key);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    std::uint64_t next_lease_ = 100;
    std::atomic<fault> fault_{fault::none};
    std::atomic<std::int64_t> delay_ms_{0};
    std::atomic<std::uint64_t> calls_{0};
    std::function<bool(const promotion&)> promote_;
    std::vector<promotion> promotions_;
    std::function<bool(const promotion&)> accept_;
    std::vector<pending_promotion> orders_;
    std::atomic<std::int64_t> promotion_ms_{0};
    std::atomic<std::int64_t> late_ms_{0};
    std::map<std::string, std::uint64_t> tokens_;
    std::function<usage_fate(const usage_call&)> usage_handler_;
    std::map<std::uint64_t, usage_call> usage_;
    std::vector<std::string> usage_violations_;
    std::uint64_t usage_token_ = 0;
    std::atomic<bool> ended_{false};
    std::thread worker_;
    /// Declared last, because its threads use the members above.
    hosted_server server_;
};

} // namespace zinniahub::test
