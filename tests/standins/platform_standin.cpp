#include "standins/commands.hpp"
#include "standins/control_port.hpp"
#include "zinniahub/v1/platform.grpc.pb.h"

#include <zinniahub/time.hpp>

#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace zinniahub::standin
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_value_bytes = 1 << 20;
constexpr std::size_t max_history_entries = 10'000;
constexpr std::size_t max_history_bytes = 64 << 20;
/// Keeps watch answers below the 4 MiB message limit of gRPC.
constexpr std::size_t max_watch_bytes = 2 << 20;
constexpr milliseconds host_lifetime{10'000};
/// Interval at which a waiting watch checks for expired leases and for the end
/// of an outage.
constexpr milliseconds watch_check_interval{20};

/// Accepts up to `rate` calls per second, with a burst of one second.
class call_limit
{
public:
    /// A rate of 0 means no limit.
    void set_rate(double rate)
    {
        rate_ = rate;
        available_ = rate;
    }

    bool take(time_point now)
    {
        if (rate_ <= 0)
            return true;
        available_ =
            std::min(rate_, available_ + rate_ * to_seconds(now - updated_));
        updated_ = now;
        if (available_ < 1)
            return false;
        available_ -= 1;
        return true;
    }

private:
    double rate_ = 0;
    double available_ = 0;
    time_point updated_ = clock::now();
};

/// Keys, leases and the bounded history of changes, without I/O.
class key_value_store
{
public:
    v1::GetReply get(const std::string& key) const
    {
        v1::GetReply reply;
        reply.set_store_revision(revision_);
        const auto found = entries_.find(key);
        if (found == entries_.end())
            reply.set_code(v1::PLATFORM_NOT_FOUND);
        else
            *reply.mutable_entry() = found->second;
        return reply;
    }

    v1::RangeReply range(const std::string& prefix) const
    {
        v1::RangeReply reply;
        reply.set_store_revision(revision_);
        for (auto at = entries_.lower_bound(prefix);
             at != entries_.end() && at->first.starts_with(prefix); ++at)
            *reply.add_entries() = at->second;
        return reply;
    }

    v1::PutReply put(const v1::PutRequest& request)
    {
        v1::PutReply reply;
        reply.set_revision(revision_of(request.key()));
        if (request.value().size() > max_value_bytes)
            reply.set_code(v1::PLATFORM_TOO_LARGE);
        else if (reply.revision() != request.expected_revision())
            reply.set_code(v1::PLATFORM_CONFLICT);
        else if (request.lease() != 0 && !leases_.contains(request.lease()))
            reply.set_code(v1::PLATFORM_LEASE_EXPIRED);
        else
        {
            v1::KeyValue entry;
            entry.set_key(request.key());
            entry.set_value(request.value());
            entry.set_lease(request.lease());
            record(entry);
            entries_[request.key()] = history_.back();
            reply.set_revision(revision_);
        }
        return reply;
    }

    v1::DeleteReply remove(const v1::DeleteRequest& request)
    {
        v1::DeleteReply reply;
        reply.set_revision(revision_of(request.key()));
        if (reply.revision() == 0)
            reply.set_code(v1::PLATFORM_NOT_FOUND);
        else if (reply.revision() != request.expected_revision())
            reply.set_code(v1::PLATFORM_CONFLICT);
        else
        {
            erase(request.key());
            reply.set_revision(revision_);
        }
        return reply;
    }

    std::uint64_t grant(std::uint32_t ttl_ms, time_point now)
    {
        const auto id = next_lease_++;
        leases_[id] = {milliseconds(ttl_ms), now + milliseconds(ttl_ms)};
        return id;
    }

    v1::PlatformCode keep_alive(std::uint64_t id, time_point now)
    {
        const auto found = leases_.find(id);
        if (found == leases_.end())
            return v1::PLATFORM_LEASE_EXPIRED;
        found->second.end = now + found->second.ttl;
        return v1::PLATFORM_OK;
    }

    v1::PlatformCode revoke(std::uint64_t id)
    {
        if (leases_.erase(id) == 0)
            return v1::PLATFORM_LEASE_EXPIRED;
        erase_keys_without_lease();
        return v1::PLATFORM_OK;
    }

    void expire(time_point now)
    {
        if (std::erase_if(
                leases_,
                [&](const auto& entry) { return entry.second.end <= now; }) > 0)
            erase_keys_without_lease();
    }

    /// Changes after a revision; nullopt if there are none yet.
    std::optional<v1::WatchReply> changes(const v1::WatchRequest& request) const
    {
        v1::WatchReply reply;
        reply.set_store_revision(revision_);
        const auto after = request.after_revision();
        if (after + history_.size() < revision_ || after > revision_)
        {
            reply.set_code(v1::PLATFORM_COMPACTED);
            return reply;
        }
        std::size_t bytes = 0;
        const auto skipped = history_.size() - (revision_ - after);
        for (auto at = history_.begin() + static_cast<std::ptrdiff_t>(skipped);
             at != history_.end(); ++at)
        {
            if (!at->key().starts_with(request.prefix()))
                continue;
            if (bytes != 0 && bytes + at->ByteSizeLong() > max_watch_bytes)
            {
                reply.set_store_revision(at->revision() - 1);
                break;
            }
            bytes += at->ByteSizeLong();
            *reply.add_entries() = *at;
        }
        if (reply.entries_size() == 0)
            return std::nullopt;
        return reply;
    }

    std::uint64_t revision() const
    {
        return revision_;
    }

private:
    struct lease
    {
        duration ttl;
        time_point end;
    };

    std::uint64_t revision_of(const std::string& key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? 0 : found->second.revision();
    }

    void erase(const std::string& key)
    {
        v1::KeyValue entry;
        entry.set_key(key);
        entry.set_deleted(true);
        entries_.erase(key);
        record(std::move(entry));
    }

    void erase_keys_without_lease()
    {
        std::vector<std::string> orphaned;
        for (const auto& [key, entry] : entries_)
            if (entry.lease() != 0 && !leases_.contains(entry.lease()))
                orphaned.push_back(key);
        for (const auto& key : orphaned)
            erase(key);
    }

    /// Every change has its own revision, so the history is contiguous.
    void record(v1::KeyValue entry)
    {
        entry.set_revision(++revision_);
        history_bytes_ += entry.ByteSizeLong();
        history_.push_back(std::move(entry));
        while (history_.size() > max_history_entries ||
               (history_bytes_ > max_history_bytes && history_.size() > 1))
        {
            history_bytes_ -= history_.front().ByteSizeLong();
            history_.pop_front();
        }
    }

    std::uint64_t revision_ = 0;
    std::uint64_t next_lease_ = 1;
    std::map<std::string, v1::KeyValue> entries_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<v1::KeyValue> history_;
    std::size_t history_bytes_ = 0;
};

/// Host list that returns announcements with a delay.
class lagging_host_list
{
public:
    void announce(const v1::HostEntry& host, time_point now)
    {
        announcements_[host.name()].push_back({now, host});
    }

    v1::ListHostsReply list(time_point at)
    {
        v1::ListHostsReply reply;
        for (auto& [name, history] : announcements_)
        {
            while (history.size() > 1 && history[1].time <= at)
                history.pop_front();
            const auto& known = history.front();
            if (known.time <= at && at < known.time + host_lifetime &&
                known.host.state() != v1::HOST_GONE)
                *reply.add_hosts() = known.host;
        }
        return reply;
    }

private:
    struct announcement
    {
        time_point time;
        v1::HostEntry host;
    };

    std::map<std::string, std::deque<announcement>> announcements_;
};

struct platform_options
{
    std::string listen;
    std::string control;
    std::uint64_t list_lag_ms = 0;
    double max_writes_per_s = 0;
    double max_reads_per_s = 0;
};

class platform_service : public v1::Platform::Service
{
public:
    explicit platform_service(const platform_options& options)
        : options_(options)
    {
        heal();
    }

    grpc::Status
    Get(grpc::ServerContext*, const v1::GetRequest* request,
        v1::GetReply* reply) override
    {
        return read("get", reply, [&] { *reply = store_.get(request->key()); });
    }

    grpc::Status Range(
        grpc::ServerContext*, const v1::RangeRequest* request,
        v1::RangeReply* reply) override
    {
        return read(
            "range", reply, [&] { *reply = store_.range(request->prefix()); });
    }

    grpc::Status
    Put(grpc::ServerContext*, const v1::PutRequest* request,
        v1::PutReply* reply) override
    {
        return write("put", reply, [&] { *reply = store_.put(*request); });
    }

    grpc::Status Delete(
        grpc::ServerContext*, const v1::DeleteRequest* request,
        v1::DeleteReply* reply) override
    {
        return write(
            "delete", reply, [&] { *reply = store_.remove(*request); });
    }

    grpc::Status GrantLease(
        grpc::ServerContext*, const v1::GrantLeaseRequest* request,
        v1::GrantLeaseReply* reply) override
    {
        return write(
            "grant", reply,
            [&] {
                reply->set_lease(store_.grant(request->ttl_ms(), clock::now()));
            });
    }

    grpc::Status KeepAlive(
        grpc::ServerContext*, const v1::KeepAliveRequest* request,
        v1::KeepAliveReply* reply) override
    {
        return write(
            "keep_alive", reply,
            [&] {
                reply->set_code(
                    store_.keep_alive(request->lease(), clock::now()));
            });
    }

    grpc::Status RevokeLease(
        grpc::ServerContext*, const v1::RevokeLeaseRequest* request,
        v1::RevokeLeaseReply* reply) override
    {
        return write(
            "revoke", reply,
            [&] { reply->set_code(store_.revoke(request->lease())); });
    }

    grpc::Status Announce(
        grpc::ServerContext*, const v1::AnnounceRequest* request,
        v1::AnnounceReply* reply) override
    {
        return write(
            "announce", reply,
            [&] { hosts_.announce(request->host(), clock::now()); });
    }

    grpc::Status ListHosts(
        grpc::ServerContext*, const v1::ListHostsRequest*,
        v1::ListHostsReply* reply) override
    {
        return read(
            "list_hosts", reply,
            [&] {
                *reply = hosts_.list(
                    clock::now() - milliseconds(options_.list_lag_ms));
            });
    }

    grpc::Status Watch(
        grpc::ServerContext* context, const v1::WatchRequest* request,
        v1::WatchReply* reply) override;

    control_commands commands();

    void stop()
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }

private:
    using lock_type = std::unique_lock<std::mutex>;

    grpc::Status enter(lock_type& lock, const std::string& kind);
    bool is_out(time_point now) const
    {
        return stopping_ || now < outage_end_;
    }
    static grpc::Status unavailable()
    {
        return {grpc::StatusCode::UNAVAILABLE, "outage"};
    }

    template<typename Reply, typename Action>
    grpc::Status read(const std::string& kind, Reply* reply, Action action)
    {
        lock_type lock(mutex_);
        if (auto status = enter(lock, kind); !status.ok())
            return status;
        if (count_read())
            action();
        else
            reply->set_code(v1::PLATFORM_RATE_LIMITED);
        return grpc::Status::OK;
    }

    template<typename Reply, typename Action>
    grpc::Status write(const std::string& kind, Reply* reply, Action action)
    {
        lock_type lock(mutex_);
        if (auto status = enter(lock, kind); !status.ok())
            return status;
        if (!count_write())
        {
            reply->set_code(v1::PLATFORM_RATE_LIMITED);
            return grpc::Status::OK;
        }
        action();
        changed_.notify_all();
        if (lost_answers_ == 0)
            return grpc::Status::OK;
        --lost_answers_;
        return {grpc::StatusCode::UNAVAILABLE, "answer lost"};
    }

    bool count_read()
    {
        ++counts_["reads"];
        return admit(reads_);
    }

    bool count_write()
    {
        ++counts_["writes"];
        return admit(writes_);
    }

    bool admit(call_limit& limit)
    {
        const bool admitted = limit.take(clock::now());
        if (!admitted)
            ++counts_["limited"];
        return admitted;
    }

    void heal();
    std::string stats();

    const platform_options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    key_value_store store_;
    lagging_host_list hosts_;
    call_limit reads_;
    call_limit writes_;
    std::map<std::string, std::uint64_t> counts_;
    time_point outage_end_ = time_point::min();
    milliseconds slow_{0};
    std::uint64_t lost_answers_ = 0;
    bool stopping_ = false;
};

/// Counts the call and applies the injected outage and delay.
grpc::Status platform_service::enter(lock_type& lock, const std::string& kind)
{
    ++counts_[kind];
    if (slow_.count() != 0)
    {
        const auto slow = slow_;
        lock.unlock();
        std::this_thread::sleep_for(slow);
        lock.lock();
    }
    const auto now = clock::now();
    if (is_out(now))
        return unavailable();
    store_.expire(now);
    return grpc::Status::OK;
}

grpc::Status platform_service::Watch(
    grpc::ServerContext* context, const v1::WatchRequest* request,
    v1::WatchReply* reply)
{
    lock_type lock(mutex_);
    if (auto status = enter(lock, "watch"); !status.ok())
        return status;
    if (!count_read())
    {
        reply->set_code(v1::PLATFORM_RATE_LIMITED);
        return grpc::Status::OK;
    }
    const auto end = clock::now() + milliseconds(request->wait_ms());
    for (;;)
    {
        const auto now = clock::now();
        store_.expire(now);
        if (is_out(now))
            return unavailable();
        if (auto found = store_.changes(*request))
        {
            *reply = std::move(*found);
            return grpc::Status::OK;
        }
        if (now >= end || context->IsCancelled())
            break;
        changed_.wait_until(lock, std::min(end, now + watch_check_interval));
    }
    reply->set_store_revision(store_.revision());
    return grpc::Status::OK;
}

void platform_service::heal()
{
    outage_end_ = time_point::min();
    slow_ = milliseconds(0);
    lost_answers_ = 0;
    writes_.set_rate(options_.max_writes_per_s);
    reads_.set_rate(options_.max_reads_per_s);
}

std::string platform_service::stats()
{
    std::string line = fmt::format("revision={}", store_.revision());
    for (const auto& [kind, count] : counts_)
        line += fmt::format(" {}={}", kind, count);
    return line;
}

control_commands platform_service::commands()
{
    // Runs a change of the faults under the lock.
    const auto number = [this](void (*apply)(platform_service&, std::uint64_t))
    {
        return number_command(
            [this, apply](std::uint64_t value)
            {
                const std::lock_guard lock(mutex_);
                apply(*this, value);
            });
    };
    using self = platform_service&;
    return {
        {"outage",
         number([](self to, std::uint64_t value)
                { to.outage_end_ = clock::now() + milliseconds(value); })},
        {"slow", number([](self to, std::uint64_t value)
                        { to.slow_ = milliseconds(value); })},
        {"lose-answers", number([](self to, std::uint64_t value)
                                { to.lost_answers_ = value; })},
        {"limit-writes",
         number([](self to, std::uint64_t value)
                { to.writes_.set_rate(static_cast<double>(value)); })},
        {"limit-reads",
         number([](self to, std::uint64_t value)
                { to.reads_.set_rate(static_cast<double>(value)); })},
        {"heal", plain_command(
                     [this]
                     {
                         const std::lock_guard lock(mutex_);
                         heal();
                     })},
        {"stats",
         [this](const std::string&)
         {
             const std::lock_guard lock(mutex_);
             return stats();
         }},
    };
}

platform_options parse_platform_options(int argc, const char** argv)
{
    char* listen = nullptr;
    char* control = nullptr;
    long list_lag_ms = 0;
    platform_options options;
    const poptOption table[] = {
        {"listen", 0, POPT_ARG_STRING, &listen, 0, "address", "IP:PORT"},
        {"control", 0, POPT_ARG_STRING, &control, 0, "control address",
         "IP:PORT"},
        {"list-lag-ms", 0, POPT_ARG_LONG, &list_lag_ms, 0,
         "lag of the host list", "MS"},
        {"max-writes-per-s", 0, POPT_ARG_DOUBLE, &options.max_writes_per_s, 0,
         "limit of write calls, 0 for none", "N"},
        {"max-reads-per-s", 0, POPT_ARG_DOUBLE, &options.max_reads_per_s, 0,
         "limit of read calls, 0 for none", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    parse_options(argc, argv, table);
    options.listen = listen == nullptr ? "" : listen;
    options.control = control == nullptr ? "" : control;
    options.list_lag_ms = static_cast<std::uint64_t>(list_lag_ms);
    return options;
}

} // namespace

int run_platform(int argc, const char** argv)
{
    const auto options = parse_platform_options(argc, argv);
    platform_service service(options);
    return serve(
        service, options.listen, options.control, service.commands(),
        [&] { service.stop(); });
}

} // namespace zinniahub::standin
