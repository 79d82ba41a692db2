#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <utility>

namespace zinniahub::serve
{

/// @brief A value that the control thread publishes and traffic threads read.
///
/// Readers keep the pointer per thread and take the lock only after a new
/// value was published. One instance per type and process.
template<typename Pointer>
class published_value
{
public:
    void store(Pointer value)
    {
        const std::lock_guard lock(mutex_);
        value_ = std::move(value);
        version_.fetch_add(1, std::memory_order_release);
    }

    /// @return a reference that is valid until the thread's next call
    const Pointer& load() const
    {
        thread_local std::uint64_t cached_version = 0;
        thread_local Pointer cached;
        if (version_.load(std::memory_order_acquire) != cached_version)
        {
            const std::lock_guard lock(mutex_);
            cached = value_;
            cached_version = version_.load(std::memory_order_relaxed);
        }
        return cached;
    }

private:
    mutable std::mutex mutex_;
    std::atomic<std::uint64_t> version_{0};
    Pointer value_;
};

} // namespace zinniahub::serve
