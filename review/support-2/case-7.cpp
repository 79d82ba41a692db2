#include "entry_host.hpp"

// A replica receives nothing for a while, and then the failure domain of the
// other replica loses power. The primary runs and can be reached all the while.

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

using namespace review;

namespace
{

/// Time from the start of a member that holds nothing until it receives the
/// log of the primary.
constexpr auto empty_member_start = 500ms;

/// Writes that clients saw acknowledged, and the logs of promoted members.
struct history
{
    struct promotion
    {
        steady::time_point at;
        std::string instance;
        std::set<std::string> data;
    };
    std::mutex mutex;
    std::map<std::string, steady::time_point> acknowledged;
    std::vector<promotion> promotions;
};

bool write_once(
    const std::string& host, const std::string& data, history& seen,
    record_file& record, std::mutex& record_mutex, const char* who)
{
    line_caller caller(host, 2500ms);
    const auto started = caller.start("latest", "key-a");
    std::string outcome = "no session";
    bool done = false;
    if (started.ok())
    {
        const auto answer = caller.run("PUT " + data + " " + data);
        done = answer.ok();
        outcome = done                ? "acknowledged"
                  : answer.cut        ? "cut"
                  : answer.unanswered ? "no answer"
                                      : answer.code;
    }
    const auto now = steady::now();
    if (done)
    {
        const std::lock_guard lock(seen.mutex);
        seen.acknowledged[data] = now;
    }
    const std::lock_guard lock(record_mutex);
    record.write("{} PUT {}: {}", who, data, outcome);
    return done;
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
    std::mutex record_mutex;
    const auto note = [&](const std::string& text)
    {
        const std::lock_guard lock(record_mutex);
        record.write("{}", text);
    };
    const bool trouble = std::string(arguments[3]) != "0";

    history seen;
    hosted_platform platform({.max_connections = 22});
    auto& store = platform.store();
    store.set_promotion_time(1s);
    platform.configure(1, {{"alba", "key-a"}});
    platform.on_promoted(
        [&](const std::string& instance,
            const zinniahub::test::replicated_log& log)
        {
            history::promotion entry{steady::now(), instance, {}};
            for (const auto& row : log.members.at(instance).rows)
            {
                entry.data.insert(row.data);
            }
            const std::lock_guard lock(seen.mutex);
            seen.promotions.push_back(std::move(entry));
        });

    std::vector<std::unique_ptr<entry_host>> hosts;
    for (int index = 0; index < 3; ++index)
    {
        hosts.push_back(std::make_unique<entry_host>(
            folder, fmt::format("n{}", index + 1),
            fmt::format("zone-{}", index), store.address(), store.address()));
        // The first host takes the duty of promotions.
        if (!hosts.back()->wait_until_ready(15s))
        {
            note("a host did not become ready");
            return 2;
        }
        std::this_thread::sleep_for(1s);
    }
    std::this_thread::sleep_for(6s);
    note("primary i-0 in zone-0, replicas i-1 in zone-1 and i-2 in zone-2; "
         "hosts n1, n2, n3 in zone-0, zone-1, zone-2");
    for (int index = 0; index < 3; ++index)
    {
        if (!write_once(
                hosts[static_cast<std::size_t>(index)]->address(),
                fmt::format("before-{}", index), seen, record, record_mutex,
                "client"))
        {
            return 2;
        }
    }

    if (trouble)
    {
        platform.set_receiving(2, false);
        note("replica_lag: i-2 receives nothing, for 6.5 s");
    }
    const auto deaf_since = steady::now();
    for (int take = 1; take <= 8; ++take)
    {
        write_once(
            hosts[1]->address(), fmt::format("take-{}", take), seen, record,
            record_mutex, "desk in zone-1");
        std::this_thread::sleep_for(100ms);
    }
    if (trouble)
    {
        hosts[1]->child().kill();
        platform.member(1).crash();
        note("zone_loss: zone-1 has no power (n2, i-1), for 3 s");
    }
    const auto lost_at = steady::now();

    std::atomic<bool> ended{false};
    std::vector<std::thread> clients;
    for (const std::size_t index : {0U, 2U})
    {
        clients.emplace_back(
            [&, index]
            {
                for (int number = 0; !ended; ++number)
                {
                    write_once(
                        hosts[index]->address(),
                        fmt::format("later-{}-{}", index + 1, number), seen,
                        record, record_mutex, "client");
                    std::this_thread::sleep_for(150ms);
                }
            });
    }
    std::this_thread::sleep_until(lost_at + 3s);
    if (trouble)
    {
        {
            const std::lock_guard lock(platform.log().mutex);
            auto& log = platform.log().members["i-1"];
            log.rows.clear();
            log.received = {};
            log.term = 0;
            log.deaf = true;
        }
        platform.member(1).restart();
        platform.register_member(1, false, 4000);
        hosts[1]->start();
        note("zone-1 has power again: n2 starts, i-1 starts and holds nothing "
             "of before");
    }
    std::this_thread::sleep_until(lost_at + 3s + empty_member_start);
    if (trouble)
    {
        platform.set_receiving(1, true);
        note("i-1 receives from the primary, unless it is paused");
    }
    std::this_thread::sleep_until(deaf_since + 6500ms);
    if (trouble)
    {
        platform.set_receiving(2, true);
        note("i-2 receives again, unless it is paused");
    }
    std::this_thread::sleep_until(lost_at + 22s);
    ended = true;
    for (auto& client : clients)
    {
        client.join();
    }

    {
        const std::lock_guard lock(platform.log().mutex);
        for (const auto& run : platform.log().runs)
        {
            const std::chrono::duration<double> after = run.at - lost_at;
            record.write(
                "ran at {} {:+.3f} s from the loss: {} {}{}", run.instance,
                after.count(), run.id, run.text,
                run.committed ? ", committed at " + to_string(run.position)
                              : std::string());
        }
    }
    int missing = 0;
    const std::lock_guard lock(seen.mutex);
    for (const auto& promotion : seen.promotions)
    {
        std::string names;
        for (const auto& [data, at] : seen.acknowledged)
        {
            if (at < promotion.at && !promotion.data.contains(data))
            {
                ++missing;
                names += " " + data;
            }
        }
        const std::chrono::duration<double> after = promotion.at - lost_at;
        record.write(
            "promoted {} at {:.2f} s after the loss; acknowledged and not in "
            "its log:{}",
            promotion.instance, after.count(), names.empty() ? " none" : names);
    }
    for (int take = 1; take <= 8; ++take)
    {
        line_caller caller(hosts[0]->address(), 2500ms);
        if (caller.start("latest", "key-a").ok())
        {
            const auto answer = caller.run(fmt::format("FETCH take-{}", take));
            record.write(
                "FETCH take-{}: {}", take,
                !answer.ok()          ? answer.code
                : answer.rows.empty() ? "no row"
                                      : answer.rows.front());
        }
    }
    record.write(
        "{} acknowledged, {} promotions, {} acknowledged commits not in the "
        "log of a promoted member",
        seen.acknowledged.size(), seen.promotions.size(), missing);
    return missing > 0 ? 1 : 0;
}
