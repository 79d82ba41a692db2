#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/time.hpp>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinniahub
{

/// @brief Base class of objects that can wait in a `fair_queue`. The queue does
/// not own them.
struct queue_entry
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::safe_link>>
{
    /// Must not change while the entry is queued.
    time_point deadline = never;
    /// Queue of the customer that holds the entry, or nullptr. Set by
    /// `fair_queue`.
    void* owning_queue = nullptr;
    /// Number of the entry in the order of `fair_queue::push`.
    std::uint64_t arrival = 0;
    /// Hook for the index of entries by deadline.
    boost::intrusive::set_member_hook<
        boost::intrusive::link_mode<boost::intrusive::safe_link>>
        by_deadline;
};

/// @brief One FIFO queue per customer, served by weighted deficit round robin.
class fair_queue
{
public:
    struct settings
    {
        /// Maximum number of entries of one customer.
        std::size_t max_per_customer = 256;
        /// Maximum number of entries of all customers. When it is reached, the
        /// newest entry of the longest queue, relative to its weight, is shed.
        std::size_t max_total = 2048;
    };

    explicit fair_queue(settings values);
    ~fair_queue();
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// @brief Adds an entry at the end of the customer's queue.
    /// @param weight entries served per round, at least 1
    /// @return the entry that was shed to make room, or nullptr; the error
    /// `errc::queue_full` if `entry` itself was not accepted
    /// @complexity logarithmic in entries if the entry has a deadline, else
    /// amortised constant; linear in customers when shedding
    result<queue_entry*>
    push(std::string_view customer, std::uint32_t weight, queue_entry& entry);

    /// @brief Removes and returns the next entry, or nullptr if there is none.
    /// Expired entries are returned too; call `pop_expired` first.
    /// @complexity amortised constant
    queue_entry* pop();

    /// @brief Puts an entry that `pop` returned back to its place in the
    /// customer's queue and gives the customer its turn again.
    /// @complexity linear in earlier entries of the customer
    void restore(
        std::string_view customer, std::uint32_t weight, queue_entry& entry);

    /// @brief Removes and returns the newest entry of the queue that is the
    /// longest relative to its weight, if that queue is longer than the given
    /// size; nullptr otherwise.
    /// @complexity linear in customers
    queue_entry* shed_longer_than(std::size_t size, std::uint32_t weight);

    /// @brief Removes and returns the entry with the earliest deadline if that
    /// deadline has passed, or nullptr.
    /// @complexity amortised constant
    queue_entry* pop_expired(time_point now);

    /// @brief Removes a queued entry, for example when the caller has
    /// disconnected. Has no effect on an entry that is not queued.
    /// @complexity amortised constant
    void erase(queue_entry& entry);

    std::size_t size() const;
    std::size_t size_of(std::string_view customer) const;

    /// @brief Number of entries that are served before a new entry of the
    /// customer, if no others are added and all weights are equal.
    /// @complexity linear in customers
    std::size_t ahead_of(std::string_view customer) const;

private:
    using entry_list = boost::intrusive::list<queue_entry>;

    struct earlier_deadline
    {
        bool operator()(const queue_entry& left, const queue_entry& right) const
        {
            return left.deadline < right.deadline;
        }
    };
    using deadline_index = boost::intrusive::multiset<
        queue_entry,
        boost::intrusive::member_hook<
            queue_entry, decltype(queue_entry::by_deadline),
            &queue_entry::by_deadline>,
        boost::intrusive::compare<earlier_deadline>>;

    /// Queue of one customer. It is removed when it becomes empty.
    struct customer_queue
        : boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::safe_link>>
    {
        std::string customer;
        std::uint32_t weight = 1;
        /// Number of entries that may still be served in the current round.
        std::uint32_t deficit = 0;
        entry_list entries;
    };

    struct customer_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>{}(name);
        }
    };
    using queue_map = std::unordered_map<
        std::string, std::unique_ptr<customer_queue>, customer_hash,
        std::equal_to<>>;

    customer_queue& queue_of(std::string_view customer);
    customer_queue* longest_queue() const;
    void link(customer_queue& queue, queue_entry& entry);
    result<queue_entry*>
    make_room(std::string_view customer, std::uint32_t weight);
    void append(customer_queue& queue, queue_entry& entry);
    void remove(queue_entry& entry);

    settings settings_;
    std::size_t size_ = 0;
    std::uint64_t arrivals_ = 0;
    queue_map queues_;
    // Queues in the order in which they are served.
    boost::intrusive::list<customer_queue> round_;
    deadline_index deadlines_;
};

} // namespace zinniahub
