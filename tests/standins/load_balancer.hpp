#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinniahub::load
{

/// @brief Chooses proxies by their health status, as the platform's load
/// balancer does.
class balancer
{
public:
    /// @brief Polls the health of the proxies until destruction.
    explicit balancer(std::vector<std::string> addresses);
    ~balancer();
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;

    /// @brief Index of a serving proxy; of any proxy if none is serving.
    std::size_t choose(std::uint64_t random) const;
    bool is_serving(std::size_t proxy) const;
    /// @brief Address that callers connect to.
    const std::string& address(std::size_t proxy) const
    {
        return addresses_[proxy];
    }
    std::size_t size() const
    {
        return addresses_.size();
    }

private:
    void poll();

    const std::vector<std::string> addresses_;
    std::vector<std::atomic<bool>> serving_;
    std::mutex mutex_;
    std::condition_variable stopped_changed_;
    bool stopped_ = false;
    std::thread thread_;
};

} // namespace zinniahub::load
