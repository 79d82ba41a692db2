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

/// @brief A database member of a group.
struct member_resource
{
    std::string name;
    /// IPv4 address and port, for example "127.0.0.1:5400".
    std::string address;
    std::string failure_domain;
    /// A leaving member gets no new work.
    bool leaving = false;

    friend bool
    operator==(const member_resource&, const member_resource&) = default;
};

struct group_resource
{
    std::string name;
    /// Allocated once and never reused, also if the name is.
    std::uint64_t uid = 0;
    std::vector<member_resource> members;
    /// Statements a member executes at the same time.
    std::uint32_t slots = 1;
    /// Connections a member accepts from all hosts together.
    std::uint32_t connection_limit = 1;
    /// True if requests may come without a key.
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
    /// Requests per second over all hosts together.
    double rate = 0;
    /// Requests above the rate that may come at once, over all hosts together.
    double burst = 0;
    /// Share of a busy upstream relative to other customers.
    std::uint32_t weight = 1;
    /// Names of the groups the customer may use; empty means all.
    std::vector<std::string> groups;
    /// Valid keys. A withdrawn key is absent.
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

/// @brief Name of a resource.
const std::string& name_of(const resource& value);

/// @brief Key of a resource below /zinniahub/config/, for example
/// "group/orders".
std::string resource_key(const resource& value);

/// @brief Checks a resource before it is stored.
/// @return `errc::resource_invalid` with the field, what was found and what is
/// allowed
result<void> validate(const resource& value);

/// @brief Value of a key at a revision; no value means that it was deleted.
struct resource_record
{
    std::string key;
    std::uint64_t revision = 0;
    std::optional<resource> value;

    friend bool
    operator==(const resource_record&, const resource_record&) = default;
};

/// @brief What a relay passes to a host that asks for changes.
struct configuration_changes
{
    /// Revision up to which the records bring the asking host.
    std::uint64_t revision = 0;
    /// True if the records are the whole configuration, for `apply_full`.
    bool full = false;
    /// Records with their deletions, sorted by key.
    std::vector<resource_record> records;
};

/// @brief Immutable snapshot of the configuration, shared between threads.
struct desired_state : boost::intrusive_ref_counter<desired_state>
{
    template<typename T>
    using by_name = std::map<std::string, T, std::less<>>;

    /// Revision up to which the configuration is known.
    std::uint64_t revision = 0;
    by_name<group_resource> groups;
    by_name<customer_resource> customers;
    by_name<domain_resource> domains;
    key_ring keys;

    /// @brief The group of that name or null.
    const group_resource* group(std::string_view name) const;

    /// @brief The customer of that name or null.
    const customer_resource* customer(std::string_view name) const;

    /// @brief False if operators took the failure domain out of service.
    /// Undeclared failure domains are in service.
    bool domain_in_service(std::string_view name) const;
};

using desired_state_ptr = boost::intrusive_ptr<const desired_state>;

/// @brief Revisioned configuration of one host. Not thread-safe.
///
/// Records and whole snapshots may arrive in any order, repeated, and from
/// peers that lag. No key goes back to an older revision, and a deleted key
/// does not come back with an older value.
class configuration_store
{
public:
    /// Ten hours of deletions if each of 76,000 changes a day is one.
    static constexpr std::size_t default_max_tombstones = 32'768;

    /// @param max_tombstones deletions that are remembered one by one; older
    /// ones are dropped, after which a host that lags behind them needs the
    /// whole configuration
    explicit configuration_store(
        std::size_t max_tombstones = default_max_tombstones);

    /// @brief Applies one record.
    /// @param value none if the key was deleted at that revision
    /// @return false if the record was ignored because its revision is not
    /// above the one known for the key
    bool apply(
        std::string_view key, std::uint64_t revision,
        std::optional<resource> value);

    /// @brief Applies a whole snapshot at a revision of the store.
    ///
    /// Ignored if older than `revision()`. Keys that are absent from it and
    /// whose known revision is not above `store_revision` are deleted. Records
    /// without a value are deletions.
    /// @return true if any key changed
    bool apply_full(
        std::uint64_t store_revision, std::span<const resource_record> records);

    /// @brief Highest revision up to which the configuration is known.
    std::uint64_t revision() const
    {
        return revision_;
    }

    /// @brief Raises the known revision. Call it after every record up to it
    /// was applied; a lower revision is ignored.
    void set_revision(std::uint64_t value);

    /// @brief Changes for a host that knows the configuration up to a revision.
    ///
    /// The result is the whole configuration if a deletion after that revision
    /// is no longer remembered.
    configuration_changes changes_after(std::uint64_t known_revision) const;

    /// @brief The record of a key, also of a remembered deletion, or null.
    const resource_record* find(std::string_view key) const;

    desired_state snapshot() const;

    /// @brief A snapshot to be shared between threads.
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
    /// Highest revision of a record, below `revision_` if the store also has
    /// keys that are not configuration.
    std::uint64_t newest_record_revision_ = 0;
    /// Keys without a record are known not to exist at this revision. Deletions
    /// up to it may be missing from the records.
    std::uint64_t compacted_revision_ = 0;
    std::map<std::string, resource_record, std::less<>> records_;
};

} // namespace zinniahub
