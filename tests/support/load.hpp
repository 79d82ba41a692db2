#pragma once

#include "support/fleet.hpp"
#include "support/request_records.hpp"

#include <zinniahub/time.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinniahub::test
{

/// @brief Kind of operation that the callers of a load run.
enum class load_work
{
    /// One read of `load_options::text`.
    reads,
    /// One write of a new row.
    writes,
    /// A write of a new row, or a transaction that writes two new rows.
    writes_and_transactions
};

/// @brief Condition on which a caller changes to another proxy.
enum class roaming
{
    /// After a request that was not run, at the next of its proxies.
    after_refusal,
    /// After a stream that ended without a reply, at the next proxy.
    after_lost_stream,
    /// When a proxy cannot be connected, at the next proxy. No request is sent
    /// without a connection.
    when_unreachable
};

struct load_options
{
    load_work work = load_work::writes_and_transactions;
    std::string customer = "session-desk";
    std::string group;
    std::size_t callers = 4;
    /// Further callers that only read, without a session token. Their requests
    /// are recorded, but do not count as operations.
    std::size_t readers = 0;
    /// Caller i starts at proxy i modulo size; empty for all proxies.
    std::vector<std::size_t> proxies;
    /// Proxy that caller `index` uses for its next request, instead of
    /// `proxies`.
    std::function<std::size_t(std::size_t index)> target;
    roaming roams = roaming::after_refusal;
    std::chrono::milliseconds deadline{8000};
    /// Operations per second of all callers; 0 for no limit.
    double rate = 0;
    /// Pause of a caller after each operation.
    std::chrono::milliseconds pause{10};
    /// Further pause after an operation that failed.
    std::chrono::milliseconds failure_pause{0};
    /// Pause before an operation that was not run is repeated.
    std::chrono::milliseconds retry_pause{20};
    /// Attempts of one operation.
    std::size_t attempts = 8;
    /// Operations of one caller.
    std::size_t operations = std::numeric_limits<std::size_t>::max();
    /// Reads each row back that was written.
    bool read_back = true;
    /// Every n-th operation is a transaction, 0 for none.
    std::size_t transaction_every = 4;
    std::string text = "get probe";
};

/// @brief Reads without pause from 8 callers, one attempt each.
load_options reads_of(const std::string& customer);

/// @brief Writes without pause, one attempt each, by one caller per entry of
/// `proxies`.
load_options writes_at(std::vector<std::size_t> proxies);

/// @brief Rows that contradict the replies to their writes.
struct row_audit
{
    std::vector<std::string> lost;
    std::vector<std::string> doubled;
    std::vector<std::string> false_refusals;
    std::vector<std::string> stale_reads;
};

/// @brief Several callers that send requests until they are stopped.
///
/// Each write adds 1 to a row of its own, so that the row shows how often it
/// ran. An operation that was not run is repeated with the same row: a false
/// "not run" shows as a row with the value 2.
class load
{
public:
    load(const fleet& system, load_options options);
    ~load();
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    /// @brief Stops the callers after their present operation.
    /// @return all requests in the order of their replies
    request_records stop();

    /// @name Results; also while the callers run
    /// @{
    request_records records() const;
    std::size_t done_operations() const;
    std::size_t done_operations_of(std::size_t caller) const;
    /// @brief Operations that were given up after all attempts.
    std::size_t failed_operations() const;
    /// @brief Waits until `count` more operations are done.
    bool progresses(std::size_t count, std::chrono::milliseconds timeout) const;
    /// @}

    /// @brief Compares the rows that a member holds with the replies.
    row_audit audit(const std::map<std::string, std::string>& rows) const;

    /// @brief The findings of `audit`, one line each.
    std::vector<std::string>
    faults(const std::map<std::string, std::string>& rows) const;

private:
    /// State of one caller thread.
    struct caller_state
    {
        std::size_t proxy = 0;
        std::size_t moves = 0;
        /// By proxy. A caller whose target changes keeps its connections.
        std::map<std::size_t, std::unique_ptr<caller>> connections;
        std::string token;
    };

    void run(std::size_t index);
    bool run_operation(std::size_t index, std::uint64_t number);
    bool run_read(std::size_t index);
    bool run_write(std::size_t index, std::uint64_t number);
    bool run_transaction(std::size_t index, std::uint64_t number);
    /// @brief Repeats an attempt while its verdict is `not_run`.
    template<typename Attempt>
    verdict repeat(std::size_t index, const Attempt& attempt);
    verdict attempt_transaction(
        std::size_t index, const std::string& left, const std::string& right);
    void check_read(std::size_t index, const std::string& row);

    bool is_reader(std::size_t index) const;
    bool wait_for_turn(std::size_t index, std::size_t number) const;
    std::size_t proxy_of(std::size_t index) const;
    caller& connection(std::size_t index);
    void move_on(std::size_t index);
    /// @brief Sends one request at the caller's proxy and records it.
    template<typename Call>
    caller_reply
    send(std::size_t index, request_record entry, const Call& call);

    const fleet& system_;
    const load_options options_;
    const std::string name_;
    const time_point started_at_;
    std::atomic<bool> stopping_ = false;
    std::vector<caller_state> callers_;
    std::vector<std::thread> threads_;

    mutable std::mutex mutex_;
    request_records records_;
    /// Known state of each row that was written.
    std::map<std::string, verdict> rows_;
    std::vector<std::string> stale_reads_;
    std::vector<std::size_t> done_operations_;
    std::size_t failed_operations_ = 0;
};

} // namespace zinniahub::test
