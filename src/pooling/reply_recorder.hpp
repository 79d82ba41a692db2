#pragma once

#include "observability/event_log.hpp"
#include "observability/metrics.hpp"
#include "pooling/messages.hpp"
#include "pooling/wait_refusal.hpp"

#include <zinniahub/error.hpp>
#include <zinniahub/log_position.hpp>
#include <zinniahub/proxy_configuration.hpp>
#include <zinniahub/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniahub::pooling
{

/// @brief What happened to one operation, for its log line and the metrics.
struct operation_trace
{
    time_point started;
    std::string instance;
    /// When the last attempt obtained its connection.
    time_point connected{};
    bool on_replica = false;
    /// An attempt without an answer may have run.
    bool may_have_run = false;
    /// Answer of the member to the last attempt.
    reply_code member_code = reply_code::none;
    unsigned attempts = 0;
    /// Position of the member's log after a commit that it acknowledged.
    std::optional<log_position> committed;
    errc failure_code = errc::request_invalid;
    /// Set if the operation was refused before a member got it.
    wait_refusal refusal;
};

/// @brief Session state that the log line of an operation names.
struct operation_origin
{
    std::string_view database;
    std::string_view customer;
    const std::optional<route>& where;
    /// Version of the configuration in force, 0 if there is none.
    std::uint64_t configuration = 0;
};

/// @brief Counts the replies of all sessions of a host and logs those that
/// failed, were late or took several attempts, and a sample of the others.
class reply_recorder
{
public:
    reply_recorder(log::event_log& events, metrics::registry& metrics_registry)
        : events_(events)
        , metrics_(metrics_registry)
    {
    }

    void record(
        const statement& value, const reply& answer,
        const operation_trace& trace, const operation_origin& origin);

private:
    /// Logs a commit that the member acknowledged.
    void record_commit(
        const statement& value, const reply& answer,
        const operation_trace& trace);
    /// Name of the log line of a reply; empty if the reply is not logged.
    std::string_view
    event_of(const reply& answer, const operation_trace& trace, bool late);

    log::event_log& events_;
    metrics::registry& metrics_;
    /// Successes so far, to choose those that are logged.
    std::uint64_t successes_ = 0;
};

} // namespace zinniahub::pooling
