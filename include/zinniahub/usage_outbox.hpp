#pragma once

#include <zinniahub/time.hpp>
#include <zinniahub/usage_collection.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinniahub
{

/// @brief Decides which counts this host sends to which collector, and when.
///
/// Load: collectors that change, messages that are lost, and fleets of hundreds
/// of hosts, whose messages must not fill the link of the holder.
class usage_outbox
{
public:
    struct settings
    {
        std::string host;
        /// Least time between two messages of one window.
        duration interval = std::chrono::milliseconds(500);
        /// Final counts are repeated until they are acknowledged, at most this
        /// often.
        unsigned max_repeats = 12;
        /// Counts of other hosts that are not final are sent this often.
        unsigned max_forwards = 3;
    };

    struct item
    {
        std::uint64_t window = 0;
        usage_origin origin;
    };

    explicit usage_outbox(settings values)
        : settings_(std::move(values))
    {
    }

    /// @brief Lengthens the interval in a large fleet: up to 250 hosts together
    /// send a collector at most 125 windows a second for each open window.
    void set_host_count(std::size_t hosts);
    duration interval() const
    {
        return settings_.interval;
    }

    /// @brief Sets the collectors other than this host. A new one gets all
    /// counts.
    void set_targets(const std::vector<std::string>& hosts);

    /// @brief A collector has lost what it had.
    void forget(const std::string& host)
    {
        targets_.erase(host);
    }

    /// @brief Counts to send to a collector now.
    /// @param forwards whether to send the counts of an origin other than this
    /// host
    template<typename Forwards>
    std::vector<item>
    due(const std::string& target, const usage_collection& collection,
        std::size_t limit, time_point now, Forwards forwards)
    {
        std::vector<item> items;
        for (const auto& [window, origins] : collection.windows())
        {
            for (const auto& [origin, entry] : origins)
            {
                const bool is_own = origin.host == settings_.host;
                if (items.size() < limit && (is_own || forwards(origin)) &&
                    take(target, {window, origin}, entry, is_own, now))
                {
                    items.push_back({window, origin});
                }
            }
        }
        return items;
    }

    /// @brief A collector has received final counts.
    void on_acknowledged(
        std::string_view target, std::uint64_t window,
        const usage_origin& origin, std::uint64_t total);

    /// @brief The windows up to this one need not be sent any more.
    void close_through(std::uint64_t window);

private:
    using key = std::pair<std::uint64_t, usage_origin>;
    struct delivery
    {
        std::uint64_t total = 0;
        bool is_final = false;
        bool is_acknowledged = false;
        unsigned repeats = 0;
        time_point next = time_point::min();
    };

    bool take(
        const std::string& target, const key& what, const usage_entry& entry,
        bool is_own, time_point now);

    settings settings_;
    std::map<std::string, std::map<key, delivery>, std::less<>> targets_;
};

} // namespace zinniahub
