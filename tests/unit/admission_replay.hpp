#pragma once

#include <zinniahub/admission_queue.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace admission_replay
{

using namespace zinniahub;
using namespace std::chrono_literals;

inline const time_point start{std::chrono::hours(1)};

/// A stream of requests at equal intervals.
struct stream
{
    std::string customer;
    std::uint32_t priority = 0;
    double rate_per_s = 0;
    duration limit = 66ms;
    duration begins = 0s;
    duration ends = 3s;
    admission_queue::lane where = admission_queue::lane::primary;
};

struct outcome
{
    std::size_t sent = 0;
    std::size_t served = 0;
    /// Refused at once, and after a wait.
    std::size_t refused = 0;
    std::size_t timed_out = 0;
    duration longest_wait{};
    /// Served before a request of the same stream that had come earlier.
    std::size_t overtook = 0;
};

/// Replays streams of requests at one member in steps of 1 ms. A policy decides
/// which requests wait and which are woken. As in the event loop, requests that
/// arrive in the same step come between a release and the woken request, which
/// runs in the next step.
template<typename Policy>
class replay
{
public:
    std::vector<stream> streams;
    duration length = 3s;
    duration service_time = 10ms;
    /// Slots of the member over time.
    std::function<std::size_t(duration)> slots = [](duration)
    { return std::size_t{4}; };

    /// @return one outcome for each stream
    std::vector<outcome> run()
    {
        results_.assign(streams.size(), {});
        std::vector<double> due(streams.size(), 0);
        last_served_.assign(streams.size(), 0);
        for (now_ = start; now_ < start + length; now_ += 1ms)
        {
            finish_statements();
            for (std::size_t i = 0; i < streams.size(); ++i)
            {
                const auto& source = streams[i];
                const auto elapsed = now_ - start;
                if (elapsed < source.begins || elapsed >= source.ends)
                {
                    continue;
                }
                due[i] += source.rate_per_s / 1000;
                for (; due[i] >= 1; --due[i])
                {
                    arrive(i);
                }
            }
            look();
        }
        waiting_.clear();
        return results_;
    }

private:
    struct request
    {
        request(const stream& source, std::size_t index, time_point now)
            : entry(source.where, source.priority, source.customer)
            , stream_index(index)
            , arrived_at(now)
            , limit(now + source.limit)
        {
        }
        typename Policy::ticket entry;
        std::size_t stream_index;
        std::size_t number = 0;
        time_point arrived_at;
        time_point limit;
        time_point look_at{};
    };

    bool has_slot() const
    {
        return busy_until_.size() < slots(now_ - start);
    }

    void finish_statements()
    {
        while (!busy_until_.empty() && busy_until_.begin()->first <= now_)
        {
            busy_until_.erase(busy_until_.begin());
            if (has_slot())
            {
                policy_.release(now_);
            }
        }
    }

    void serve(const request& value)
    {
        busy_until_.emplace(now_ + service_time, 0);
        auto& result = results_[value.stream_index];
        ++result.served;
        result.longest_wait =
            std::max(result.longest_wait, now_ - value.arrived_at);
        auto& last = last_served_[value.stream_index];
        result.overtook += value.number < last ? 1 : 0;
        last = std::max(last, value.number);
    }

    void arrive(std::size_t index)
    {
        const auto& source = streams[index];
        auto& result = results_[index];
        auto added = std::make_unique<request>(source, index, now_);
        added->number = ++result.sent;
        if (has_slot() && policy_.may_take(added->entry))
        {
            policy_.taken_at_once(source, now_);
            serve(*added);
            return;
        }
        if (!policy_.join(added->entry, added->limit, now_))
        {
            ++result.refused;
            return;
        }
        added->look_at = std::min<time_point>(added->limit, now_ + 40ms);
        waiting_.push_back(std::move(added));
    }

    /// Runs the requests that were woken or whose time to look has come.
    void look()
    {
        for (auto entry = waiting_.begin(); entry != waiting_.end();)
        {
            auto& value = **entry;
            const bool woken = policy_.is_woken(value.entry);
            if (!woken && now_ < value.look_at)
            {
                ++entry;
                continue;
            }
            if (has_slot() && policy_.may_take(value.entry))
            {
                policy_.taken(value.entry, now_);
                serve(value);
                entry = waiting_.erase(entry);
                continue;
            }
            if (now_ >= value.limit)
            {
                policy_.leave(value.entry);
                ++results_[value.stream_index].timed_out;
                entry = waiting_.erase(entry);
                continue;
            }
            policy_.keep(value.entry);
            value.look_at = std::min<time_point>(value.limit, now_ + 40ms);
            ++entry;
        }
    }

    Policy policy_;
    time_point now_{};
    std::multimap<time_point, int> busy_until_;
    std::list<std::unique_ptr<request>> waiting_;
    std::vector<outcome> results_;
    std::vector<std::size_t> last_served_;
};

} // namespace admission_replay
