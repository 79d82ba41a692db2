#pragma once

#include "observability/event_log.hpp"
#include "observability/metrics.hpp"
#include "pooling/ports.hpp"
#include "pooling/reply_recorder.hpp"
#include "pooling/service_gateway.hpp"

#include <zinniahub/proxy_configuration.hpp>
#include <zinniahub/session_values.hpp>
#include <zinniahub/upstream_directory.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/intrusive/list.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace zinniahub::pooling
{

/// @brief Interface through which the session manager ends sessions in a
/// planned stop.
class managed_session
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~managed_session() = default;
    /// @brief True between two operations.
    virtual bool is_idle() const = 0;
    /// @brief True in a transaction, between two statements.
    virtual bool is_idle_in_transaction() const = 0;
    /// @brief Ends the wait for the next statement.
    virtual void interrupt() = 0;
};

/// @brief Whether an operation may run.
struct admission_result
{
    bool admitted = true;
    /// Time until a token is expected, if the operation may not run.
    duration retry_after{};
};

/// @brief Decides whether a customer may run another operation.
class admission
{
public:
    virtual ~admission() = default;
    /// @brief Takes a token for one operation, if this host has one.
    virtual bool try_admit(std::string_view customer) = 0;
    /// @brief As `try_admit`, but requests tokens from other hosts for some
    /// milliseconds before it refuses.
    /// @param request id of the request, for the log line of a refusal
    virtual awaitable<admission_result>
    admit(std::string customer, std::string request) = 0;
    /// @brief Returns the token of an operation that was not sent to a member.
    virtual void refund(std::string_view customer) = 0;
};

/// @brief Runs the sessions of a host. Owns what they share: the configuration
/// in force, the gateways to the services, and the state of a planned stop.
class session_manager
{
public:
    session_manager(
        boost::asio::io_context& io, member_connector& connector,
        const upstream_directory& directory, admission& admission_control,
        position_exchange& positions, log::event_log& events,
        metrics::registry& metrics_registry);
    ~session_manager();

    /// @brief Applies a configuration; an older version is ignored.
    void on_configuration(configuration_ptr configuration);
    /// @brief From now on a member counts as the primary only with a
    /// `primary_proof`.
    void require_primary_proof()
    {
        proof_required_ = true;
    }
    /// @brief Sets the member with which the reads of this host begin; hosts
    /// with different numbers begin with different members.
    void set_first_rotation(std::uint64_t rotation)
    {
        first_rotation_ = rotation;
    }
    /// @brief Counts the operations of all sessions from now on; without a
    /// sink, nothing is counted.
    void set_usage_sink(usage_sink* sink)
    {
        usage_sink_ = sink;
    }
    /// @brief Counts an operation if the member began to run its statement.
    /// @return true if it did
    bool count_usage(
        const result<reply>& answer, std::string_view customer,
        time_point sent_at);
    /// @brief Sets the hosts that share the members' connections.
    /// @param own this host
    /// @param hosts registered hosts
    void set_hosts(std::string own, const std::set<std::string>& hosts);

    /// @brief Starts a session that serves a client until it disconnects.
    void serve(
        std::shared_ptr<client_stream> stream, const route& where,
        std::string customer, std::string key);

    /// @brief Closes sessions without an open operation or transaction, now
    /// and as they become idle. Open transactions continue.
    void close_idle_sessions();
    /// @brief Serves sessions again after `close_idle_sessions`.
    void cancel_closing()
    {
        closing_ = false;
    }
    /// @brief Counts the members of all services, and the unreachable ones.
    service_gateway::member_counts count_members() const;
    /// @brief Last answer of any member of each failure domain with registered
    /// members; `time_point::min()` if there was none.
    std::map<std::string, time_point, std::less<>> answer_times() const;
    /// @brief Opens connections to a few members of a failure domain, to see
    /// whether they answer.
    void try_members(std::string_view domain);
    /// @brief Ends open transactions with their next statement.
    void end_transactions();
    std::size_t sessions() const
    {
        return sessions_.size();
    }

    /// @brief Call every 100 ms.
    void on_tick();

    const configuration_ptr& configuration() const
    {
        return configuration_;
    }
    /// @brief Customer that a key identifies on a route; empty if it may not
    /// use the route.
    std::string
    customer_for_key(const route& where, std::string_view key) const;
    service_gateway& gateway(const std::string& service);
    const std::map<std::string, std::unique_ptr<service_gateway>, std::less<>>&
    gateways() const
    {
        return gateways_;
    }

    boost::asio::io_context& io()
    {
        return io_;
    }
    admission& admission_control()
    {
        return admission_;
    }
    log::event_log& events()
    {
        return events_;
    }
    reply_recorder& replies()
    {
        return replies_;
    }
    /// @brief Memory for the values and prepared statements of all sessions.
    session_budget& session_memory()
    {
        return session_memory_;
    }
    bool is_closing() const
    {
        return closing_;
    }
    bool is_ending_transactions() const
    {
        return ending_transactions_;
    }

private:
    void update_gateways();

    using session_list = boost::intrusive::list<
        managed_session, boost::intrusive::constant_time_size<false>>;

    boost::asio::io_context& io_;
    member_connector& connector_;
    const upstream_directory& directory_;
    admission& admission_;
    position_exchange& positions_;
    log::event_log& events_;
    reply_recorder replies_;
    configuration_ptr configuration_;
    idle_budget idle_budget_;
    std::map<std::string, std::unique_ptr<service_gateway>, std::less<>>
        gateways_;
    /// A small part of the memory of the smallest hosts.
    static constexpr std::size_t max_session_bytes = std::size_t{48} << 20;

    session_budget session_memory_{max_session_bytes};
    session_list sessions_;
    usage_sink* usage_sink_ = nullptr;
    bool proof_required_ = false;
    std::uint64_t first_rotation_ = 0;
    bool closing_ = false;
    bool ending_transactions_ = false;
};

} // namespace zinniahub::pooling
