#pragma once

#include "support/hosted_member.hpp"
#include "support/hosted_store.hpp"
#include "support/statement_ledger.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinniahub::test
{

/// @brief Stand-in for the users' platform on loopback: its store, the members
/// of one service, and the call that promotes a member. When it is destroyed,
/// all that its members ran is compared with what clients sent.
class hosted_platform
{
public:
    struct settings
    {
        std::string service = "ledger";
        std::size_t members = 3;
        /// Connections that each member accepts.
        unsigned max_connections = 22;
        /// The platform rejects outdated fencing tokens, and a replaced primary
        /// stops leading at once. Otherwise it leads until it is told to step
        /// down.
        bool tokens_checked = true;
        /// Length of a window of the usage reports; 0 if there are none.
        unsigned usage_window_s = 0;
    };

    explicit hosted_platform(settings values);
    hosted_platform()
        : hosted_platform(settings{})
    {
    }
    ~hosted_platform();
    hosted_platform(const hosted_platform&) = delete;
    hosted_platform& operator=(const hosted_platform&) = delete;

    hosted_store& store()
    {
        return store_;
    }
    hosted_member& member(std::size_t index)
    {
        return *members_.at(index);
    }
    std::size_t size() const
    {
        return members_.size();
    }
    bool tokens_checked() const
    {
        return settings_.tokens_checked;
    }
    unsigned usage_window_s() const
    {
        return settings_.usage_window_s;
    }
    const std::string& service() const
    {
        return settings_.service;
    }

    /// @brief Writes a configuration with one route of each kind: databases
    /// "latest", "bounded" and "session".
    /// @param other_rates customers whose rate is not `rate_per_s`
    void configure(
        unsigned version, const std::map<std::string, std::string>& keys,
        double rate_per_s = 1000,
        const std::map<std::string, double>& other_rates = {});

    /// @brief The customers that each key of a configuration has had.
    key_owners owners() const;

    /// @brief Registers a member as it is now.
    /// @param born Unix time of its start in ms
    void register_member(
        std::size_t index, bool draining = false, std::int64_t born = 1000);
    void remove_member(std::size_t index);

    /// @brief Whether a replica receives the primary's log.
    void set_receiving(std::size_t index, bool value);

    /// @brief Makes a member the primary, as the platform does.
    /// @return false if the member is not running
    bool promote(const std::string& instance);

    /// @brief Ends a member for good; its log goes to a successor.
    void retire(std::size_t index);
    /// @brief Starts a member at the address and with the log of one that
    /// was retired.
    /// @return its index
    std::size_t start_successor(std::size_t index);

    /// @brief Called for each promotion with the log of the new primary, with
    /// the lock of the log held.
    void on_promoted(
        std::function<void(const std::string&, const replicated_log&)> handler)
    {
        promoted_ = std::move(handler);
    }
    replicated_log& log()
    {
        return *log_;
    }

    /// @brief How often members ran the statement with an id.
    std::size_t runs_of(const std::string& id) const;
    /// @brief Statements that a member ran.
    std::size_t runs_at(const std::string& instance) const;

    /// @brief Index of the primary.
    std::size_t primary() const;

private:
    settings settings_;
    std::shared_ptr<replicated_log> log_;
    /// Guarded by the mutex of the log.
    key_owners owners_;
    std::function<void(const std::string&, const replicated_log&)> promoted_;
    hosted_store store_;
    std::vector<std::unique_ptr<hosted_member>> members_;
    unsigned sequence_ = 0;
};

/// @brief Called with each difference that a `hosted_platform` finds. Empty
/// unless a test framework sets it; without it nothing is compared.
std::function<void(const std::string&)>& difference_report();

} // namespace zinniahub::test
