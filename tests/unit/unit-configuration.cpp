#include <zinniahub/configuration.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <limits>
#include <random>

namespace
{

using namespace zinniahub;

group_resource group_named(std::string name, std::uint64_t uid)
{
    return {
        std::move(name),
        uid,
        {{"m1", "127.0.0.1:5401", "zlin-colo", false},
         {"m2", "127.0.0.1:5402", "brno-studio", false}},
        3,
        20,
        false};
}

customer_resource customer_named(std::string name)
{
    return {std::move(name), 100, 20, 1, {"ledger"}, {{"k1", digest_of("k1")}}};
}

domain_resource domain(bool in_service)
{
    return {"zlin-colo", in_service};
}

// Guards against accepting resources that hosts cannot serve, and against
// errors that do not name the field.
TEST(configuration, invalid_resources_name_the_field)
{
    struct row
    {
        std::string field;
        resource value;
    };
    std::vector<row> rows;
    const auto add_invalid_group = [&rows](std::string field, auto change)
    {
        auto group = group_named("ledger", 7);
        change(group);
        rows.push_back({std::move(field), group});
    };
    const auto add_invalid_customer = [&rows](std::string field, auto change)
    {
        auto customer = customer_named("shop");
        change(customer);
        rows.push_back({std::move(field), customer});
    };
    for (const auto& name :
         {std::string{}, std::string(64, 'a'), std::string("A"),
          std::string("a/b"), std::string("a b"), std::string("a\0b", 3)})
    {
        add_invalid_group("name", [&](auto& group) { group.name = name; });
        add_invalid_customer(
            "name", [&](auto& customer) { customer.name = name; });
        rows.push_back({"name", domain_resource{name, true}});
    }
    for (const auto* address :
         {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
          "127.0.0.1:080", "127.0.0.1:80x", "127.0.0.1:-1", "127.0.0.1: 80",
          "256.0.0.1:80", "localhost:80", "[::1]:80", ":80", "1.2.3:80"})
    {
        add_invalid_group(
            "members[1].address",
            [&](auto& group) { group.members[1].address = address; });
    }
    add_invalid_group("uid", [](auto& group) { group.uid = 0; });
    add_invalid_group("members", [](auto& group) { group.members.clear(); });
    add_invalid_group(
        "members[1].name",
        [](auto& group) { group.members[1].name = group.members[0].name; });
    add_invalid_group(
        "members[1].address", [](auto& group)
        { group.members[1].address = group.members[0].address; });
    add_invalid_group(
        "members[0].failure_domain",
        [](auto& group) { group.members[0].failure_domain = "Zlin"; });
    add_invalid_group("slots", [](auto& group) { group.slots = 0; });
    add_invalid_group(
        "connection_limit", [](auto& group) { group.connection_limit = 0; });
    for (const double rate :
         {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()})
    {
        add_invalid_customer(
            "rate", [=](auto& customer) { customer.rate = rate; });
        add_invalid_customer(
            "burst", [=](auto& customer) { customer.burst = rate; });
    }
    add_invalid_customer("burst", [](auto& customer) { customer.burst = 0.5; });
    add_invalid_customer("weight", [](auto& customer) { customer.weight = 0; });
    add_invalid_customer(
        "weight", [](auto& customer) { customer.weight = 101; });
    add_invalid_customer(
        "groups[1]",
        [](auto& customer) { customer.groups.emplace_back("ledger"); });
    add_invalid_customer(
        "keys[0].digest",
        [](auto& customer) { customer.keys[0].digest = "x"; });
    add_invalid_customer(
        "keys[1].id",
        [](auto& customer) {
            customer.keys.push_back({"k1", digest_of("k2")});
        });
    add_invalid_customer(
        "keys[1].digest",
        [](auto& customer) {
            customer.keys.push_back({"k2", digest_of("k1")});
        });
    for (const auto& [field, value] : rows)
    {
        const auto checked = validate(value);
        ASSERT_FALSE(checked) << field;
        EXPECT_EQ(checked.error().code, errc::resource_invalid);
        const auto& detail = checked.error().detail;
        EXPECT_EQ(detail.find(field + ": found "), 0U) << detail;
        EXPECT_NE(detail.find(", allowed "), std::string::npos) << detail;
    }
}

// Guards against rejecting values at the limits of the allowed ranges.
TEST(configuration, values_at_the_limits_are_valid)
{
    auto group = group_named(std::string(63, 'z'), 1);
    group.members[0].address = "0.0.0.1:1";
    group.members[1].address = "255.255.255.255:65535";
    group.slots = 1;
    group.connection_limit = 1;
    EXPECT_TRUE(validate(group));
    auto customer = customer_named("0-9");
    customer.rate = 0.001;
    customer.burst = 1;
    customer.weight = 100;
    EXPECT_TRUE(validate(customer));
    EXPECT_TRUE(validate(domain(false)));
}

constexpr std::string_view key = "domain/zlin-colo";

// Guards against a configuration that reverts to stale values from a lagging
// peer.
TEST(configuration, older_values_are_ignored)
{
    struct row
    {
        const char* name;
        bool expected_in_service;
        void (*run)(configuration_store&);
    };
    // In each case, `true` is the older value.
    const row rows[] = {
        {"older value from a lagging peer", false,
         [](configuration_store& store)
         {
             EXPECT_TRUE(store.apply(key, 5, domain(false)));
             EXPECT_FALSE(store.apply(key, 4, domain(true)));
         }},
        {"other value with the same revision", false,
         [](configuration_store& store)
         {
             EXPECT_TRUE(store.apply(key, 5, domain(false)));
             EXPECT_FALSE(store.apply(key, 5, domain(true)));
         }},
        {"deleted, then the older value", true,
         [](configuration_store& store)
         {
             EXPECT_TRUE(store.apply(key, 4, domain(false)));
             EXPECT_TRUE(store.apply(key, 6, std::nullopt));
             EXPECT_FALSE(store.apply(key, 5, domain(false)));
         }},
        {"deletion of an unknown key, then the older value", true,
         [](configuration_store& store)
         {
             EXPECT_TRUE(store.apply(key, 6, std::nullopt));
             EXPECT_FALSE(store.apply(key, 5, domain(false)));
         }},
        {"absent from a snapshot, then the older value", true,
         [](configuration_store& store)
         {
             EXPECT_TRUE(store.apply(key, 4, domain(false)));
             EXPECT_TRUE(store.apply_full(8, {}));
             EXPECT_FALSE(store.apply(key, 4, domain(false)));
             EXPECT_FALSE(store.apply(key, 8, domain(false)));
         }},
        {"unknown and absent from a snapshot, then the older value", true,
         [](configuration_store& store)
         {
             EXPECT_FALSE(store.apply_full(8, {}));
             EXPECT_FALSE(store.apply(key, 7, domain(false)));
         }},
        {"snapshot older than known", false,
         [](configuration_store& store)
         {
             EXPECT_TRUE(store.apply(key, 5, domain(false)));
             store.set_revision(9);
             const resource_record old{std::string(key), 4, domain(true)};
             EXPECT_FALSE(store.apply_full(8, std::array{old}));
             EXPECT_FALSE(store.apply_full(8, {}));
             store.set_revision(3);
             EXPECT_EQ(store.revision(), 9U);
         }},
        {"record ahead of a snapshot that lacks its key", false,
         [](configuration_store& store)
         {
             EXPECT_TRUE(store.apply(key, 12, domain(false)));
             EXPECT_FALSE(store.apply_full(8, {}));
             EXPECT_EQ(store.revision(), 8U);
         }},
        {"forgotten deletion, then the older value", true,
         [](configuration_store& store)
         {
             EXPECT_TRUE(store.apply(key, 4, std::nullopt));
             EXPECT_TRUE(store.apply("domain/a", 5, std::nullopt));
             EXPECT_TRUE(store.apply("domain/b", 6, std::nullopt));
             store.set_revision(6);
             EXPECT_EQ(store.find(key), nullptr);
             EXPECT_FALSE(store.apply(key, 3, domain(false)));
             EXPECT_TRUE(store.changes_after(3).full);
             EXPECT_FALSE(store.changes_after(6).full);
         }},
    };
    for (const auto& [name, expected_in_service, run] : rows)
    {
        SCOPED_TRACE(name);
        configuration_store store(2);
        run(store);
        EXPECT_EQ(
            store.snapshot().domain_in_service("zlin-colo"),
            expected_in_service);
    }
}

// Guards against session tokens of a deleted group that are applied to a new
// group of the same name.
TEST(configuration, recreated_group_has_its_new_uid)
{
    configuration_store store;
    store.apply("group/ledger", 3, group_named("ledger", 7));
    const auto before = store.shared_snapshot();
    store.apply("group/ledger", 5, group_named("ledger", 9));
    EXPECT_FALSE(store.apply("group/ledger", 4, std::nullopt));
    EXPECT_EQ(before->group("ledger")->uid, 7U);
    EXPECT_EQ(store.snapshot().group("ledger")->uid, 9U);
    EXPECT_EQ(store.snapshot().group("other"), nullptr);
}

// Guards against a revoked key that remains in the key ring.
TEST(configuration, snapshot_holds_the_valid_keys)
{
    configuration_store store;
    auto customer = customer_named("shop");
    EXPECT_EQ(resource_key(customer), "customer/shop");
    store.apply("customer/shop", 3, customer);
    EXPECT_EQ(*store.snapshot().keys.customer_of("k1"), "shop");
    customer.keys.clear();
    store.apply("customer/shop", 4, customer);
    EXPECT_EQ(store.snapshot().keys.customer_of("k1"), nullptr);
    EXPECT_EQ(store.snapshot().customer("shop")->rate, 100);
}

/// Change log of the platform's store; change i has revision i + 1.
class change_history
{
public:
    explicit change_history(std::mt19937_64& random)
    {
        for (std::uint64_t revision = 1; revision <= 60; ++revision)
        {
            const auto name = "d" + std::to_string(random() % 6);
            std::optional<resource> value;
            if (random() % 3 != 0)
            {
                value = domain_resource{name, random() % 2 == 0};
            }
            changes_.push_back({"domain/" + name, revision, value});
        }
    }

    const resource_record& random_change(std::mt19937_64& random) const
    {
        return changes_[random() % changes_.size()];
    }

    std::uint64_t last_revision() const
    {
        return changes_.size();
    }

    /// Returns the newest change of a key up to a revision, or null.
    const resource_record*
    at(std::string_view name, std::uint64_t revision) const
    {
        for (auto i = revision; i > 0; --i)
        {
            if (changes_[i - 1].key == name)
            {
                return &changes_[i - 1];
            }
        }
        return nullptr;
    }

    std::vector<resource_record> values_at(std::uint64_t revision) const
    {
        std::vector<resource_record> values;
        for (const auto* name : names)
        {
            const auto* change = at(name, revision);
            if (change != nullptr && change->value)
            {
                values.push_back(*change);
            }
        }
        return values;
    }

    static constexpr std::array names{"domain/d0", "domain/d1", "domain/d2",
                                      "domain/d3", "domain/d4", "domain/d5"};

private:
    std::vector<resource_record> changes_;
};

/// Configuration store of a host with the lower bound of each key's revision.
struct checked_host
{
    configuration_store store{3};
    std::array<std::uint64_t, change_history::names.size()> min_revisions{};

    /// Checks that every key has a value of the history that is not older than
    /// the host's revision or than the value seen before.
    void check_consistency(const change_history& history)
    {
        for (std::size_t i = 0; i < min_revisions.size(); ++i)
        {
            const auto* seen = store.find(change_history::names[i]);
            const bool present = seen != nullptr && seen->value;
            auto from = std::max(min_revisions[i], store.revision());
            while (from <= history.last_revision())
            {
                const auto* change = history.at(change_history::names[i], from);
                const bool exists = change != nullptr && change->value;
                if (exists == present && (!present || *change == *seen))
                {
                    break;
                }
                ++from;
            }
            ASSERT_LE(from, history.last_revision())
                << change_history::names[i];
            min_revisions[i] = from;
        }
    }
};

void sync(configuration_store& child, const configuration_store& parent)
{
    const auto changes = parent.changes_after(child.revision());
    if (changes.full)
    {
        child.apply_full(changes.revision, changes.records);
        return;
    }
    for (const auto& record : changes.records)
    {
        child.apply(record.key, record.revision, record.value);
    }
    child.set_revision(changes.revision);
}

void read_platform(
    configuration_store& store, const change_history& history,
    std::uint64_t revision)
{
    store.apply_full(revision, history.values_at(revision));
}

void watch_platform(
    configuration_store& store, const change_history& history,
    std::uint64_t revision)
{
    for (const auto* name : change_history::names)
    {
        const auto* change = history.at(name, revision);
        if (change != nullptr && change->revision > store.revision())
        {
            store.apply(change->key, change->revision, change->value);
        }
    }
    store.set_revision(revision);
}

void run_random_order(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const change_history history(random);
    std::array<checked_host, 4> hosts;
    for (int step = 0; step < 150; ++step)
    {
        auto& host = hosts[random() % hosts.size()];
        const auto& record = history.random_change(random);
        // The platform's revision grows during the run; replies may be stale.
        const auto platform_revision =
            random() % (1 + std::min<std::uint64_t>(
                                history.last_revision(),
                                static_cast<std::uint64_t>(step) / 2));
        switch (random() % 8)
        {
        case 0:
            read_platform(host.store, history, platform_revision);
            break;
        case 1:
            watch_platform(host.store, history, platform_revision);
            break;
        case 2:
        case 3:
            host.store.apply(record.key, record.revision, record.value);
            break;
        default:
            sync(host.store, hosts[random() % hosts.size()].store);
        }
        ASSERT_NO_FATAL_FAILURE(host.check_consistency(history));
    }
    watch_platform(hosts[0].store, history, history.last_revision());
    for (auto& host : hosts)
    {
        sync(host.store, hosts[0].store);
        ASSERT_NO_FATAL_FAILURE(host.check_consistency(history));
        const auto end = history.last_revision();
        EXPECT_EQ(host.store.revision(), end);
        EXPECT_EQ(
            host.store.snapshot().domains.size(),
            history.values_at(end).size());
    }
}

// Guards against a final state that depends on the order, repetition or sender
// of records and snapshots, and against a key that reverts to an older value.
TEST(configuration, any_order_from_any_relay_ends_in_the_same_state)
{
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed)
    {
        SCOPED_TRACE(seed);
        ASSERT_NO_FATAL_FAILURE(run_random_order(seed));
    }
}

} // namespace
