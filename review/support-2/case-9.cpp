#include "entry_host.hpp"

// A host stands still for 4 s while the configuration, which has many routes,
// changes in quick succession. The last change withdraws a key.

#include <boost/asio/io_context.hpp>

#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

using namespace review;
using nlohmann::json;

namespace
{

constexpr int host_count = 3;
constexpr int changes = 12;
constexpr auto change_interval = 330ms;
constexpr auto freeze_time = 4s;
/// `touch_ms`, and a reserve for the start of the process's next turn.
constexpr auto touch_time = 4200ms;
/// `config_apply_ms`, likewise.
constexpr auto apply_time = 3200ms;
/// `retention_s` of the store.
constexpr auto retention = 20s;
/// Routes beside the one that the clients use; the value stays below
/// `max_value_bytes`.
constexpr int other_routes = 4200;

json route(const std::string& database, const std::string& type)
{
    return {{"name", "r-" + database}, {"host", database},
            {"prefix", "/"},           {"type", type},
            {"timeout_ms", 1000},      {"target_latency_ms", 400},
            {"priority", 2},           {"service", "ledger"},
            {"max_attempts", 2},       {"max_staleness_ms", 2500},
            {"public", false}};
}

json tenant(const std::string& name, const json& keys)
{
    return {
        {"name", name},
        {"api_keys", keys},
        {"rate_per_s", 1000},
        {"burst", 1000}};
}

std::string configuration(unsigned version, bool with_key)
{
    json routes = json::array({route("latest", "primary")});
    for (int number = 0; number < other_routes; ++number)
    {
        routes.push_back(
            route(fmt::format("base{:05}", number), "read_your_writes"));
    }
    const json keys = with_key ? json::array({"key-b"}) : json::array();
    return json{
        {"version", version},
        {"routes", routes},
        {"services",
         {{{"name", "ledger"}, {"max_connections", 50}, {"sync_replicas", 1}}}},
        {"limits", {{"tx_idle_ms", 3000}}},
        {"tenants", {tenant("alba", {"key-a"}), tenant("boda", keys)}}}
        .dump();
}

/// @return true if a member ran the statement for the client
bool run_with_key(
    const std::string& host, const char* key, std::string& outcome)
{
    line_caller caller(host, 2000ms);
    const auto started = caller.start("latest", key);
    if (!started.ok())
    {
        outcome = "STARTUP refused " + started.code;
        return false;
    }
    const auto answer = caller.run("PUT item value");
    outcome = answer.ok() ? "PUT acknowledged" : "PUT refused " + answer.code;
    return answer.ok();
}

} // namespace

/// Arguments: a folder for settings and logs, the file of the record, and 0 to
/// leave the disruptions out.
int main(int count, char** arguments)
{
    if (count != 4)
    {
        return 2;
    }
    const std::string folder = arguments[1];
    record_file record(arguments[2]);
    const bool trouble = std::string(arguments[3]) != "0";

    hosted_platform platform({.max_connections = 50});
    auto& store = platform.store();
    const auto first = configuration(1, true);
    store.put("op/config", first);
    record.write("configuration 1 has {} bytes", first.size());
    std::vector<std::string> versions;
    versions.reserve(changes);
    for (unsigned number = 1; number <= changes; ++number)
    {
        versions.push_back(configuration(1 + number, number < changes));
    }

    std::vector<std::unique_ptr<entry_host>> hosts;
    hosts.reserve(host_count);
    for (int index = 0; index < host_count; ++index)
    {
        hosts.push_back(std::make_unique<entry_host>(
            folder, fmt::format("n{}", index + 1),
            fmt::format("zone-{}", index), store.address(), store.address()));
    }
    for (const auto& host : hosts)
    {
        if (!host->wait_until_ready(15s))
        {
            record.write("a host did not become ready");
            return 2;
        }
    }
    std::this_thread::sleep_for(2s);
    std::string outcome;
    for (std::size_t index = 0; index < hosts.size(); ++index)
    {
        const bool ran =
            run_with_key(hosts[index]->address(), "key-b", outcome);
        record.write("n{} with key-b: {}", index + 1, outcome);
        if (!ran)
        {
            return 2;
        }
    }

    const auto begin = steady::now();
    if (trouble)
    {
        hosts[0]->child().freeze();
        record.write("node_freeze: n1 stands still, for 4 s");
    }
    for (std::size_t number = 0; number < versions.size(); ++number)
    {
        std::this_thread::sleep_until(
            begin + (static_cast<int>(number) + 1) * change_interval);
        store.put("op/config", versions[number]);
        record.write(
            "configuration {} acknowledged{}", number + 2,
            number + 1 == versions.size() ? ", without key-b" : "");
    }
    const auto withdrawn_at = steady::now();
    std::this_thread::sleep_until(begin + freeze_time);
    if (trouble)
    {
        hosts[0]->child().resume();
        record.write("n1 runs again");
    }
    // From here on n1 is in touch, and the withdrawal has to be in force.
    const auto judged_from =
        std::max(begin + freeze_time + touch_time, withdrawn_at + apply_time);
    int broken = 0;
    bool history_dropped = false;
    for (auto at = begin + 5s; at < begin + 26s; at += 500ms)
    {
        std::this_thread::sleep_until(at);
        if (!history_dropped && at >= begin + retention)
        {
            store.compact();
            history_dropped = true;
            record.write("the store drops its history");
        }
        for (const std::size_t index : {0U, 1U})
        {
            const auto sent_at = steady::now();
            const bool ran =
                run_with_key(hosts[index]->address(), "key-b", outcome);
            const bool judged = sent_at >= judged_from;
            broken += ran && judged ? 1 : 0;
            record.write(
                "n{} with key-b: {}{}", index + 1, outcome,
                ran && judged ? ", though the key is withdrawn" : "");
        }
    }
    const auto by_tenant = [&platform]
    {
        const std::lock_guard lock(platform.log().mutex);
        std::size_t count = 0;
        for (const auto& run : platform.log().runs)
        {
            count += run.customer == "boda" ? 1 : 0;
        }
        return count;
    }();
    record.write("members ran {} statements of tenant boda", by_tenant);
    record.write("{} requests ran with the withdrawn key", broken);
    return broken > 0 ? 1 : 0;
}
