#pragma once

#include "zinniahub/v1/caller.pb.h"

#include <zinniahub/outcome.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace zinniahub::commands
{

/// @brief Statements to run through a proxy.
struct exec_plan
{
    /// Addresses of proxies in order of preference.
    std::vector<std::string> proxies;
    std::string group;
    std::string key;
    bool read = false;
    bool idempotent = false;
    /// Deadline of each request in ms; 0 means the proxy's default.
    std::uint32_t deadline_ms = 0;
    /// True if the statements form one transaction.
    bool transaction = false;
    std::vector<std::string> statements;
    /// Initial session token.
    std::string session_token;
};

/// @brief Outcome of one request.
struct exec_outcome
{
    v1::Operation operation = v1::OPERATION_STATEMENT;
    std::string statement;
    zinniahub::verdict verdict = verdict::not_run;
    /// Number of zinniahub::errc, 0 if done.
    std::uint32_t error_code = 0;
    std::string error_detail;
    std::vector<std::pair<std::string, std::string>> rows;
    std::string served_by;
    bool from_replica = false;
    /// Address of the proxy that replied.
    std::string proxy;
};

using token_handler = std::function<void(const std::string& token)>;

/// @brief Runs the statements in order and stops at the first that is not
/// done. The next proxy is tried only if a proxy cannot be connected, or if the
/// verdict is not_run and another proxy may succeed.
/// @param on_token called with each new session token
/// @return the outcomes of the requests, at least one
std::vector<exec_outcome>
run_plan(const exec_plan& plan, const token_handler& on_token);

} // namespace zinniahub::commands
