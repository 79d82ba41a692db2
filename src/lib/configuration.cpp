#include <zinniahub/configuration.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace zinniahub
{

namespace
{

/// Key prefixes, in the order of the alternatives of `resource`.
constexpr std::array<std::string_view, std::variant_size_v<resource>>
    kind_prefixes{"group/", "customer/", "domain/"};

template<typename Map>
const typename Map::mapped_type* find_in(const Map& map, std::string_view name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

class snapshot_builder
{
public:
    explicit snapshot_builder(desired_state& state)
        : state_(state)
    {
    }

    void operator()(const group_resource& group)
    {
        state_.groups.insert_or_assign(group.name, group);
    }

    void operator()(const customer_resource& customer)
    {
        for (const auto& key : customer.keys)
        {
            keys_.push_back({customer.name, key.id, key.digest});
        }
        state_.customers.insert_or_assign(customer.name, customer);
    }

    void operator()(const domain_resource& domain)
    {
        state_.domains.insert_or_assign(domain.name, domain);
    }

    void finish()
    {
        state_.keys = key_ring::make(keys_);
    }

private:
    desired_state& state_;
    std::vector<customer_key> keys_;
};

} // namespace

const std::string& name_of(const resource& value)
{
    return std::visit(
        [](const auto& kind) -> const std::string& { return kind.name; },
        value);
}

std::string resource_key(const resource& value)
{
    return std::string(kind_prefixes[value.index()]).append(name_of(value));
}

const group_resource* desired_state::group(std::string_view name) const
{
    return find_in(groups, name);
}

const customer_resource* desired_state::customer(std::string_view name) const
{
    return find_in(customers, name);
}

bool desired_state::domain_in_service(std::string_view name) const
{
    const auto* domain = find_in(domains, name);
    return domain == nullptr || domain->in_service;
}

configuration_store::configuration_store(std::size_t max_tombstones)
    : max_tombstones_(max_tombstones)
{
}

bool configuration_store::is_newer(
    std::string_view key, std::uint64_t revision) const
{
    const auto* known = find(key);
    return revision >
           (known != nullptr ? known->revision : compacted_revision_);
}

void configuration_store::put(
    std::string_view key, std::uint64_t revision, std::optional<resource> value)
{
    auto found = records_.find(key);
    if (found == records_.end())
    {
        found = records_.try_emplace(std::string(key)).first;
        found->second.key = key;
    }
    else if (!found->second.value)
    {
        --tombstone_count_;
    }
    tombstone_count_ += value ? 0 : 1;
    found->second.revision = revision;
    found->second.value = std::move(value);
    newest_record_revision_ = std::max(newest_record_revision_, revision);
}

bool configuration_store::apply(
    std::string_view key, std::uint64_t revision, std::optional<resource> value)
{
    if (!is_newer(key, revision))
    {
        return false;
    }
    put(key, revision, std::move(value));
    drop_old_tombstones();
    return true;
}

bool configuration_store::apply_full(
    std::uint64_t store_revision, std::span<const resource_record> records)
{
    if (store_revision < revision_)
    {
        return false;
    }
    bool changed = false;
    for (const auto& record : records)
    {
        if (is_newer(record.key, record.revision))
        {
            put(record.key, record.revision, record.value);
            changed = true;
        }
    }
    changed |= erase_absent(store_revision, records);
    compacted_revision_ = std::max(compacted_revision_, store_revision);
    set_revision(store_revision);
    return changed;
}

/// Also removes the tombstones up to the snapshot's revision: afterwards every
/// key without a record is known to be absent at that revision.
bool configuration_store::erase_absent(
    std::uint64_t store_revision, std::span<const resource_record> records)
{
    std::set<std::string_view> present;
    for (const auto& record : records)
    {
        present.insert(record.key);
    }
    bool changed = false;
    std::erase_if(
        records_,
        [&](const auto& item)
        {
            const auto& known = item.second;
            const bool absent = !known.value || !present.contains(known.key);
            if (!absent || known.revision > store_revision)
            {
                return false;
            }
            changed |= known.value.has_value();
            tombstone_count_ -= known.value ? 0 : 1;
            return true;
        });
    return changed;
}

void configuration_store::set_revision(std::uint64_t value)
{
    revision_ = std::max(revision_, value);
    drop_old_tombstones();
}

/// Drops the older half at once, so that the amortised cost per deletion is
/// constant. Tombstones newer than the known revision are kept, because keys
/// without a record would otherwise count as absent at a revision that is not
/// known yet.
void configuration_store::drop_old_tombstones()
{
    if (tombstone_count_ <= max_tombstones_)
    {
        return;
    }
    std::vector<std::uint64_t> revisions;
    for (const auto& [key, record] : records_)
    {
        if (!record.value && record.revision <= revision_)
        {
            revisions.push_back(record.revision);
        }
    }
    if (revisions.empty())
    {
        return;
    }
    const auto middle =
        revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    compacted_revision_ = std::max(compacted_revision_, *middle);
    tombstone_count_ -= std::erase_if(
        records_,
        [this](const auto& item) {
            return !item.second.value &&
                   item.second.revision <= compacted_revision_;
        });
}

configuration_changes
configuration_store::changes_after(std::uint64_t known_revision) const
{
    configuration_changes changes;
    changes.revision = revision_;
    changes.full = known_revision < compacted_revision_;
    if (!changes.full && known_revision >= newest_record_revision_)
    {
        return changes;
    }
    // A full configuration needs tombstones only above its own revision,
    // because the receiver deletes keys that are missing from it.
    const auto deletions_after = changes.full ? revision_ : known_revision;
    const auto values_after = changes.full ? 0 : known_revision;
    for (const auto& [key, record] : records_)
    {
        if (record.revision > (record.value ? values_after : deletions_after))
        {
            changes.records.push_back(record);
        }
    }
    return changes;
}

const resource_record* configuration_store::find(std::string_view key) const
{
    return find_in(records_, key);
}

desired_state configuration_store::snapshot() const
{
    desired_state state;
    state.revision = revision_;
    snapshot_builder builder(state);
    for (const auto& [key, record] : records_)
    {
        if (record.value)
        {
            std::visit(builder, *record.value);
        }
    }
    builder.finish();
    return state;
}

desired_state_ptr configuration_store::shared_snapshot() const
{
    return desired_state_ptr(new desired_state(snapshot()));
}

} // namespace zinniahub
