#pragma once

#include "kv/platform_client.hpp"
#include "observability/metrics.hpp"
#include "zinniahub/v1/peer.pb.h"

#include <zinniahub/configuration.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinniahub::control
{

/// @brief Keeps this host's configuration up to date, from the platform or
/// from a relay host, and serves it to the hosts that use this one as relay
/// (its relay children).
///
/// Used on the control thread.
class configuration_sync
{
public:
    /// Called after the configuration changed.
    using change_handler = std::function<void(desired_state_ptr)>;

    configuration_sync(
        boost::asio::io_context& io, kv::async_platform_client& platform,
        duration call_timeout, metrics::registry& metrics,
        change_handler on_change);

    /// @brief Enables or disables watching the platform. It is disabled while a
    /// relay provides the configuration.
    void set_watching(bool enabled);

    /// @brief Applies records from a relay.
    /// @param sent_at when the request to the relay was sent
    void on_relay_reply(const v1::SyncReply& reply, time_point sent_at);

    /// @brief Returns the changes that a relay child lacks.
    /// @param known_revision revision that the relay child has
    v1::SyncReply changes_for(std::uint64_t known_revision) const;

    std::uint64_t revision() const
    {
        return store_.revision();
    }

    /// @brief Revision up to which this host has applied every record. It stays
    /// below the revision of a record that this host cannot apply.
    std::uint64_t applied_revision() const;

    /// @brief Time up to which the platform is known to have had no newer
    /// configuration than this host.
    time_point confirmed_at() const
    {
        return confirmed_at_;
    }

    bool is_loaded() const
    {
        return loaded_;
    }

private:
    void load();
    void watch();
    void on_loaded(const v1::RangeReply& reply, time_point sent_at);
    void on_watched(const v1::WatchReply& reply, time_point sent_at);
    void schedule_retry();
    void start_next_call();

    bool apply(const v1::KeyValue& entry);
    void cache_serialized_value(const v1::KeyValue& entry);
    bool apply_full(
        std::uint64_t revision,
        const google::protobuf::RepeatedPtrField<v1::KeyValue>& entries);
    /// @return nullopt if the value is invalid; the known record is kept
    std::optional<resource_record> decode(const v1::KeyValue& entry);
    void confirm(time_point at);
    void publish(bool changed);

    boost::asio::steady_timer timer_;
    kv::async_platform_client& platform_;
    std::chrono::milliseconds call_timeout_;
    metrics::counter& invalid_record_count_;
    change_handler on_change_;
    configuration_store store_;
    /// Serialized values by key, for relay children.
    std::map<std::string, std::string> serialized_values_;
    /// Revisions of records that cannot be applied, by key.
    std::map<std::string, std::uint64_t> invalid_revisions_;
    time_point confirmed_at_{};
    bool loaded_ = false;
    bool watching_ = false;
    bool call_pending_ = false;
};

} // namespace zinniahub::control
