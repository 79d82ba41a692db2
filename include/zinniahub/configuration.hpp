#pragma once

#include <zinniahub/customer_keys.hpp>
#include <zinniahub/error.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinniahub
{

/// @brief Database instance that belongs to a group.
struct member_resource
{
    std::string name;
    /// IPv4 address and port, for example "127.0.0.1:5400".
    std::string address;
    std::string failure_domain;
    /// True if the member is being removed and must not get new requests.
    bool leaving = false;

    friend bool
    operator==(const member_resource&, const member_resource&) = default;
};

struct group_resource
{
    std::string name;
    /// Unique id, never reused, even if the name is.
    std::uint64_t uid = 0;
    std::vector<member_resource> members;
    /// Maximum number of statements that a member executes concurrently.
    std::uint32_t slots = 1;
    /// Maximum number of connections to a member, over all hosts.
    std::uint32_t connection_limit = 1;
    /// True if requests without a key are accepted.
    bool open_to_all = false;

    friend bool
    operator==(const group_resource&, const group_resource&) = default;
};

struct key_resource
{
    std::string id;
    /// SHA-256 of the key, 32 bytes.
    std::string digest;

    friend bool operator==(const key_resource&, const key_resource&) = default;
};

struct customer_resource
{
    std::string name;
    /// Sustained request limit per second, over all hosts.
    double rate = 0;
    /// Requests above the rate that are accepted at once, over all hosts.
    double burst = 0;
    /// Share of a busy upstream relative to other customers.
    std::uint32_t weight = 1;
    /// Names of the groups that the customer may access; empty allows all.
    std::vector<std::string> groups;
    /// Valid keys. Revoked keys are removed from the list.
    std::vector<key_resource> keys;

    friend bool
    operator==(const customer_resource&, const customer_resource&) = default;
};

struct domain_resource
{
    std::string name;
    bool in_service = true;

    friend bool
    operator==(const domain_resource&, const domain_resource&) = default;
};

using resource =
    std::variant<group_resource, customer_resource, domain_resource>;

/// @brief Returns the name of a resource.
const std::string& name_of(const resource& value);

/// @brief Returns the key of a resource relative to /zinniahub/config/, for
/// example "group/orders".
std::string resource_key(const resource& value);

/// @brief Validates a resource before it is stored.
/// @return `errc::resource_invalid`; the detail names the field, its value and
/// the allowed values
result<void> validate(const resource& value);

/// @brief Value of a key at a revision; a record without a value is a
/// tombstone.
struct resource_record
{
    std::string key;
    std::uint64_t revision = 0;
    std::optional<resource> value;

    friend bool
    operator==(const resource_record&, const resource_record&) = default;
};

/// @brief Reply of a relay to a host that requests configuration changes.
struct configuration_changes
{
    /// Revision that the requesting host has reached after applying `records`.
    std::uint64_t revision = 0;
    /// True if the records are the whole configuration, for `apply_full`.
    bool full = false;
    /// Values and tombstones, sorted by key.
    std::vector<resource_record> records;
};

/// @brief Immutable snapshot of the configuration, shared between threads.
struct desired_state : boost::intrusive_ref_counter<desired_state>
{
    template<typename T>
    using by_name = std::map<std::string, T, std::less<>>;

    /// Revision up to which the snapshot is complete.
    std::uint64_t revision = 0;
    by_name<group_resource> groups;
    by_name<customer_resource> customers;
    by_name<domain_resource> domains;
    key_ring keys;

    /// @brief Returns the group with the given name, or null.
    const group_resource* group(std::string_view name) const;

    /// @brief Returns the customer with the given name, or null.
    const customer_resource* customer(std::string_view name) const;

    /// @brief Returns false if the failure domain was declared out of service.
    /// Undeclared failure domains are in service.
    bool domain_in_service(std::string_view name) const;
};

using desired_state_ptr = boost::intrusive_ptr<const desired_state>;

/// @brief Revisioned configuration of one host. Not thread-safe.
///
/// Records and full snapshots may arrive in any order, more than once, and from
/// peers with stale data. A key never reverts to an older revision, and a
/// deleted key is never restored by an older value.
class configuration_store
{
public:
    /// Tombstones of ten hours if all of 76,000 changes a day are deletions.
    static constexpr std::size_t default_max_tombstones = 32'768;

    /// @param max_tombstones number of tombstones kept; when older ones are
    /// dropped, a host whose revision precedes them needs the full
    /// configuration
    explicit configuration_store(
        std::size_t max_tombstones = default_max_tombstones);

    /// @brief Applies one record.
    /// @param value no value if the key was deleted at that revision
    /// @return false if the record was ignored because its revision is not
    /// newer than the known revision of the key
    bool apply(
        std::string_view key, std::uint64_t revision,
        std::optional<resource> value);

    /// @brief Applies a full snapshot of the platform's store.
    ///
    /// A snapshot older than `revision()` is ignored. Keys that are missing
    /// from the snapshot are deleted unless their known revision is newer than
    /// `store_revision`. Records without a value are tombstones.
    /// @return true if any key changed
    bool apply_full(
        std::uint64_t store_revision, std::span<const resource_record> records);

    /// @brief Returns the revision up to which the configuration is complete.
    std::uint64_t revision() const
    {
        return revision_;
    }

    /// @brief Raises the known revision; a lower value is ignored.
    /// @pre every record up to this revision was applied
    void set_revision(std::uint64_t value);

    /// @brief Returns the changes after a revision.
    ///
    /// Returns the full configuration if a tombstone after that revision may
    /// have been dropped.
    configuration_changes changes_after(std::uint64_t known_revision) const;

    /// @brief Returns the record or tombstone of a key, or null.
    const resource_record* find(std::string_view key) const;

    desired_state snapshot() const;

    /// @brief Returns a reference-counted snapshot that threads may share.
    desired_state_ptr shared_snapshot() const;

private:
    bool is_newer(std::string_view key, std::uint64_t revision) const;
    void
    put(std::string_view key, std::uint64_t revision,
        std::optional<resource> value);
    bool erase_absent(
        std::uint64_t store_revision, std::span<const resource_record> records);
    void drop_old_tombstones();

    std::size_t max_tombstones_;
    std::size_t tombstone_count_ = 0;
    std::uint64_t revision_ = 0;
    /// Highest revision of a record. It is below `revision_` if the latest
    /// changes of the platform's store concern keys other than configuration.
    std::uint64_t newest_record_revision_ = 0;
    /// Revision up to which tombstones may have been dropped. A key without a
    /// record is known not to exist at this revision.
    std::uint64_t compacted_revision_ = 0;
    std::map<std::string, resource_record, std::less<>> records_;
};

} // namespace zinniahub
