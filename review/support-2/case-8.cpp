#include "entry_host.hpp"

// A primary is cut off from its replicas for 5 s. Meanwhile a host restarts,
// and one replica is lost for good. Then all hosts are killed and start again.
// The former primary and the other replica run and can be reached.

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace review;

namespace
{

constexpr auto recovery_time = 12s;
constexpr auto cut_time = 5s;

/// An operation of a client.
struct request
{
    steady::time_point sent_at;
    bool served = false;
};

class clients
{
public:
    clients(record_file& record, const std::vector<std::string>& hosts)
        : record_(record)
    {
        const std::vector<std::pair<std::string, std::string>> kinds{
            {"latest", "PUT"}, {"bounded", "FETCH"}, {"session", "FETCH"}};
        for (const auto& host : hosts)
        {
            for (const auto& kind : kinds)
            {
                threads_.emplace_back([this, host, kind]
                                      { run(host, kind.first, kind.second); });
            }
        }
    }

    void stop()
    {
        ended_ = true;
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }

    /// @brief Share of the requests of a time that were served.
    double served(steady::time_point from, steady::time_point to)
    {
        const std::lock_guard lock(mutex_);
        std::size_t all = 0;
        std::size_t served = 0;
        for (const auto& entry : requests_)
        {
            if (entry.sent_at >= from && entry.sent_at < to)
            {
                ++all;
                served += entry.served ? 1 : 0;
            }
        }
        record_.write("{} of {} requests were served", served, all);
        return all == 0
                   ? 0
                   : static_cast<double>(served) / static_cast<double>(all);
    }

private:
    void
    run(const std::string& host, const std::string& database,
        const std::string& word)
    {
        for (int number = 0; !ended_; ++number)
        {
            const auto item = fmt::format("{}-{}", database, number % 20);
            const request entry{steady::now(), false};
            line_caller caller(host, 2500ms);
            const auto started = caller.start(database, "key-a");
            std::string outcome = "no session " + started.code;
            bool served = false;
            if (started.ok())
            {
                const auto answer = caller.run(
                    word == "PUT" ? "PUT " + item + " data" : "FETCH " + item);
                served = answer.ok();
                outcome = served              ? "served"
                          : answer.cut        ? "cut"
                          : answer.unanswered ? "no answer"
                                              : answer.code;
            }
            {
                const std::lock_guard lock(mutex_);
                requests_.push_back({entry.sent_at, served});
                record_.write("{} {} {}: {}", database, word, item, outcome);
            }
            std::this_thread::sleep_for(250ms);
        }
    }

    record_file& record_;
    std::mutex mutex_;
    std::vector<request> requests_;
    std::atomic<bool> ended_{false};
    std::vector<std::thread> threads_;
};

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

    hosted_platform platform({.max_connections = 22});
    platform.store().set_promotion_time(1s);
    platform.configure(1, {{"alba", "key-a"}});
    std::vector<std::unique_ptr<entry_host>> hosts;
    std::vector<std::string> addresses;
    for (int index = 0; index < 3; ++index)
    {
        hosts.push_back(std::make_unique<entry_host>(
            folder, fmt::format("n{}", index + 1),
            fmt::format("zone-{}", index), platform.store().address(),
            platform.store().address()));
        addresses.push_back(hosts.back()->address());
        // The first host takes the duty of promotions.
        if (!hosts.back()->wait_until_ready(15s))
        {
            record.write("a host did not become ready");
            return 2;
        }
        std::this_thread::sleep_for(500ms);
    }
    std::this_thread::sleep_for(6s);
    record.write("primary i-0, replicas i-1 and i-2; hosts n1, n2, n3");

    const auto begin = steady::now();
    clients traffic(record, addresses);
    std::this_thread::sleep_for(20s);
    const auto cut_at = steady::now();
    if (trouble)
    {
        platform.set_receiving(1, false);
        platform.set_receiving(2, false);
        record.write("primary_cut: i-0 is cut off from its replicas, for 5 s");
        std::this_thread::sleep_until(cut_at + 400ms);
        hosts[2]->child().kill();
        record.write("node_kill: n3 is killed");
        std::this_thread::sleep_until(cut_at + 1400ms);
        hosts[2]->start();
        record.write("n3 starts");
        std::this_thread::sleep_until(cut_at + 3s);
        platform.retire(1);
        record.write("srv_crash: i-1 is lost for good");
        std::this_thread::sleep_until(cut_at + cut_time);
        platform.set_receiving(2, true);
        record.write("the cut heals");
    }
    std::this_thread::sleep_until(cut_at + 9s);
    platform.configure(2, {{"alba", "key-a"}});
    const auto fault_at = steady::now();
    for (const auto& host : hosts)
    {
        host->child().kill();
    }
    record.write("final fault: all hosts are killed after a change of the "
                 "configuration was acknowledged");
    std::this_thread::sleep_for(700ms);
    for (const auto& host : hosts)
    {
        host->start();
    }
    const auto back_at = steady::now();
    record.write("all hosts start");
    std::this_thread::sleep_until(back_at + recovery_time + 20s);
    const auto end = steady::now() - 2s;
    traffic.stop();

    for (const auto* const name : {"i-0", "i-1", "i-2"})
    {
        const std::lock_guard lock(platform.log().mutex);
        const auto& log = platform.log().members[name];
        record.write(
            "{}: {}, {}, term {}, received {}, replication {}", name,
            log.running ? "running" : "lost",
            log.primary ? "primary" : "replica", log.term,
            to_string(log.received),
            log.paused_term > 0 ? "paused" : "not paused");
    }
    record.write("{} promotions", platform.store().promotions().size());
    record.write("before the final fault:");
    const double before = traffic.served(begin, fault_at);
    record.write("from 12 s after the hosts were back:");
    const double after = traffic.served(back_at + recovery_time, end);
    const bool broken = before >= 0.25 && after < 0.25;
    record.write(
        "served before {:.2f}, after {:.2f}: RECOVER is {}", before, after,
        broken ? "broken" : "kept");
    return broken ? 1 : 0;
}
