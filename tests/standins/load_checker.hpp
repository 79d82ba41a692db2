#pragma once

#include "standins/load_statements.hpp"

#include <zinniahub/error.hpp>
#include <zinniahub/outcome.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace zinniahub::load
{

/// @brief Time from sending an admitted statement to its reply.
struct admission
{
    time_point sent;
    time_point replied;
};

/// @brief One request of the workload and its result.
struct request_record
{
    const statement_class* kind = nullptr;
    std::size_t customer = 0;
    std::string group;
    std::string session;
    std::string id;
    /// Scheduled send time.
    time_point intended;
    time_point finished;
    verdict outcome = verdict::unknown;
    errc code{};
    /// True if the request was within the rate and burst of the customer.
    bool inside_rate = true;
    bool from_replica = false;
    /// A read that lacks an acknowledged write of the same session.
    bool stale = false;
    /// Proxy of the first attempt.
    std::size_t first_proxy = 0;
    /// Statements with the verdict done or unknown.
    std::vector<admission> admitted;
};

/// @brief Values of all rows by group and key.
using group_rows = std::map<std::string, std::map<std::string, std::string>>;

/// @brief Violations found in a history. All are 0 in a correct system.
struct violations
{
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    std::uint64_t stale_session_reads = 0;
    std::uint64_t false_not_run = 0;
    /// Descriptions of the first violations.
    std::vector<std::string> details;
};

/// @brief Checks a history of requests against the final rows.
violations
check_history(std::span<const request_record> history, const group_rows& rows);

/// @brief Greatest number of statements beyond rate * window + burst that were
/// certainly admitted within one window, over all windows.
///
/// A statement is certainly admitted within a window that contains the time
/// from its sending to its reply. Complexity: O(n log n).
double
rate_excess(std::vector<admission> admitted, double rate_per_s, double burst);

} // namespace zinniahub::load
