#pragma once

#include "observability/event_log.hpp"
#include "observability/metrics.hpp"

#include <zinniahub/time.hpp>

#include <optional>
#include <string>

namespace zinniahub::coordination
{

/// @brief What a host needs to serve requests, and whether it has it.
struct serving_conditions
{
    /// A configuration is in force: routes, keys and limits are known.
    bool configuration = false;
    /// The registered members have been read.
    bool members = false;
    /// The registration of this host is known to be valid.
    bool registration = false;
    /// This host may use parts of the rate limits.
    bool rate_share = false;

    friend bool
    operator==(const serving_conditions&, const serving_conditions&) = default;

    bool all() const
    {
        return *this == serving_conditions{true, true, true, true};
    }
};

/// @brief Names of the conditions that do not hold, separated by commas.
std::string missing_conditions(const serving_conditions& conditions);

/// @brief Logs why a host does not serve, and exposes it as metrics.
class serving_monitor
{
public:
    explicit serving_monitor(log::event_log& events)
        : events_(events)
    {
    }

    /// @brief Logs a line if the conditions have changed.
    void update(const serving_conditions& current, time_point now);

    void write_metrics(metrics::registry& registry) const;

private:
    log::event_log& events_;
    std::optional<serving_conditions> last_;
    time_point changed_at_{};
};

} // namespace zinniahub::coordination
