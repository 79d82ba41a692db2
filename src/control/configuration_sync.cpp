#include "control/configuration_sync.hpp"

#include "control/resource_codec.hpp"
#include "kv/keys.hpp"
#include "observability/log.hpp"

#include <utility>

namespace zinniahub::control
{

namespace
{

constexpr std::chrono::milliseconds retry_delay{200};
constexpr std::uint32_t watch_wait_ms = 1000;

/// Key without the configuration prefix, as `configuration_store` uses it.
/// @return empty if the key is not one of the configuration; no record has an
/// empty key
std::string short_key(const std::string& key)
{
    return std::string(
        kv::name_below(kv::configuration_prefix, key).value_or(""));
}

/// @brief Decodes the value of a record, which must be the resource that the
/// key names. Otherwise it would replace the resource with that name.
result<resource>
decode_value(const resource_record& record, const std::string& value)
{
    auto decoded = decode_resource(value);
    if (decoded && resource_key(*decoded) != record.key)
    {
        return fail(
            errc::resource_invalid,
            "the value is the resource " + resource_key(*decoded));
    }
    return decoded;
}

} // namespace

configuration_sync::configuration_sync(
    boost::asio::io_context& io, kv::async_platform_client& platform,
    duration call_timeout, metrics::registry& metrics, change_handler on_change)
    : timer_(io)
    , platform_(platform)
    , call_timeout_(
          std::chrono::duration_cast<std::chrono::milliseconds>(call_timeout))
    , invalid_record_count_(
          metrics.counter_of("zinniahub_invalid_configuration_records_total"))
    , on_change_(std::move(on_change))
{
}

void configuration_sync::set_watching(bool enabled)
{
    watching_ = enabled;
    if (enabled && !call_pending_)
    {
        start_next_call();
    }
}

void configuration_sync::start_next_call()
{
    call_pending_ = watching_;
    if (!watching_)
    {
        return;
    }
    if (loaded_)
    {
        watch();
    }
    else
    {
        load();
    }
}

void configuration_sync::schedule_retry()
{
    timer_.expires_after(retry_delay);
    timer_.async_wait(
        [this](boost::system::error_code failure)
        {
            if (!failure)
            {
                start_next_call();
            }
        });
}

void configuration_sync::load()
{
    v1::RangeRequest request;
    request.set_prefix(std::string(kv::configuration_prefix));
    platform_.range(
        request, call_timeout_,
        [this, sent_at = clock::now()](const result<v1::RangeReply>& reply)
        {
            if (!reply)
            {
                schedule_retry();
                return;
            }
            on_loaded(*reply, sent_at);
            start_next_call();
        });
}

void configuration_sync::on_loaded(
    const v1::RangeReply& reply, time_point sent_at)
{
    const bool changed = apply_full(reply.store_revision(), reply.entries());
    const bool first = !std::exchange(loaded_, true);
    confirm(sent_at);
    publish(changed || first);
}

void configuration_sync::watch()
{
    v1::WatchRequest request;
    request.set_prefix(std::string(kv::configuration_prefix));
    request.set_after_revision(store_.revision());
    request.set_wait_ms(watch_wait_ms);
    platform_.watch(
        request, call_timeout_,
        [this, sent_at = clock::now()](const result<v1::WatchReply>& reply)
        {
            if (reply)
            {
                on_watched(*reply, sent_at);
                start_next_call();
                return;
            }
            // `not_found` means that the platform no longer has the changes
            // since this revision, so all records are loaded again.
            loaded_ = loaded_ && reply.error().code != errc::not_found;
            schedule_retry();
        });
}

void configuration_sync::on_watched(
    const v1::WatchReply& reply, time_point sent_at)
{
    bool changed = false;
    for (const auto& entry : reply.entries())
    {
        changed |= apply(entry);
    }
    store_.set_revision(reply.store_revision());
    confirm(sent_at);
    publish(changed);
}

void configuration_sync::on_relay_reply(
    const v1::SyncReply& reply, time_point sent_at)
{
    bool changed = false;
    if (reply.full())
    {
        changed = apply_full(reply.revision(), reply.records());
    }
    else
    {
        for (const auto& entry : reply.records())
        {
            changed |= apply(entry);
        }
        store_.set_revision(reply.revision());
    }
    // A peer without a configuration, or with an older one, cannot confirm
    // that this host's configuration is current.
    if (reply.revision() == 0 || reply.revision() < store_.revision())
    {
        return;
    }
    const bool first = !std::exchange(loaded_, true);
    confirm(sent_at - std::chrono::milliseconds(reply.configuration_age_ms()));
    publish(changed || first);
}

v1::SyncReply
configuration_sync::changes_for(std::uint64_t known_revision) const
{
    v1::SyncReply reply;
    if (!loaded_)
    {
        return reply;
    }
    const auto changes = store_.changes_after(known_revision);
    reply.set_revision(std::min(changes.revision, applied_revision()));
    reply.set_full(changes.full);
    for (const auto& record : changes.records)
    {
        auto* entry = reply.add_records();
        entry->set_key(kv::key_of(kv::configuration_prefix, record.key));
        entry->set_revision(record.revision);
        entry->set_deleted(!record.value.has_value());
        const auto value = serialized_values_.find(entry->key());
        if (record.value && value != serialized_values_.end())
        {
            entry->set_value(value->second);
        }
    }
    reply.set_configuration_age_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            clock::now() - confirmed_at_)
            .count()));
    return reply;
}

std::optional<resource_record>
configuration_sync::decode(const v1::KeyValue& entry)
{
    resource_record record{short_key(entry.key()), entry.revision(), {}};
    if (record.key.empty())
    {
        invalid_record_count_.fetch_add(1);
        log::warning(
            "foreign_key", "key={} revision={}", entry.key(), entry.revision());
        return std::nullopt;
    }
    const auto invalid = invalid_revisions_.find(entry.key());
    if (invalid != invalid_revisions_.end() &&
        invalid->second < entry.revision())
    {
        invalid_revisions_.erase(invalid);
    }
    if (entry.deleted())
    {
        return record;
    }
    auto value = decode_value(record, entry.value());
    if (!value)
    {
        invalid_record_count_.fetch_add(1);
        invalid_revisions_[entry.key()] = entry.revision();
        log::warning(
            "invalid_resource", "key={} revision={} detail={}", entry.key(),
            entry.revision(), value.error().detail);
        return std::nullopt;
    }
    record.value = std::move(*value);
    return record;
}

bool configuration_sync::apply(const v1::KeyValue& entry)
{
    auto record = decode(entry);
    if (!record)
    {
        return false;
    }
    const bool changed =
        store_.apply(record->key, record->revision, std::move(record->value));
    cache_serialized_value(entry);
    return changed;
}

bool configuration_sync::apply_full(
    std::uint64_t revision,
    const google::protobuf::RepeatedPtrField<v1::KeyValue>& entries)
{
    if (revision < store_.revision())
    {
        return false;
    }
    std::vector<resource_record> records;
    for (const auto& entry : entries)
    {
        auto record = decode(entry);
        if (!record)
        {
            // Keep the known value; apply_full would delete a missing record.
            const auto* known = store_.find(short_key(entry.key()));
            if (known != nullptr)
            {
                records.push_back(*known);
            }
            continue;
        }
        records.push_back(std::move(*record));
    }
    const bool changed = store_.apply_full(revision, records);
    for (const auto& entry : entries)
    {
        cache_serialized_value(entry);
    }
    return changed;
}

void configuration_sync::cache_serialized_value(const v1::KeyValue& entry)
{
    // Skip values that the store rejected: a relay child must not get an older
    // value under a newer revision.
    const auto* record = store_.find(short_key(entry.key()));
    if (record != nullptr && record->revision == entry.revision())
    {
        serialized_values_[entry.key()] = entry.value();
    }
}

std::uint64_t configuration_sync::applied_revision() const
{
    auto revision = store_.revision();
    for (const auto& [key, invalid] : invalid_revisions_)
    {
        revision = std::min(revision, invalid - 1);
    }
    return revision;
}

void configuration_sync::confirm(time_point at)
{
    confirmed_at_ = std::max(confirmed_at_, at);
}

void configuration_sync::publish(bool changed)
{
    if (!changed)
    {
        return;
    }
    log::info("configuration", "revision={}", store_.revision());
    on_change_(store_.shared_snapshot());
}

} // namespace zinniahub::control
