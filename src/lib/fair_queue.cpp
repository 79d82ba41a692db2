#include <zinniahub/fair_queue.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

/// Returns true if the first queue is longer than the second, each relative to
/// its weight.
bool is_longer(
    std::size_t size, std::uint32_t weight, std::size_t other_size,
    std::uint32_t other_weight)
{
    return static_cast<std::uint64_t>(size) * other_weight >
           static_cast<std::uint64_t>(other_size) * weight;
}

} // namespace

fair_queue::fair_queue(settings values)
    : settings_(values)
{
}

fair_queue::~fair_queue()
{
    while (pop() != nullptr)
    {
    }
}

result<queue_entry*> fair_queue::push(
    std::string_view customer, std::uint32_t weight, queue_entry& entry)
{
    weight = std::max(1U, weight);
    auto shed = make_room(customer, weight);
    if (!shed)
    {
        return shed;
    }
    auto& queue = queue_of(customer);
    queue.weight = weight;
    append(queue, entry);
    return shed;
}

result<queue_entry*>
fair_queue::make_room(std::string_view customer, std::uint32_t weight)
{
    const auto own_size = size_of(customer);
    if (own_size >= settings_.max_per_customer)
    {
        return fail(errc::queue_full, "queue of the customer is full");
    }
    if (size_ < settings_.max_total)
    {
        return nullptr;
    }
    // Including the new entry, the customer itself may have the longest queue.
    auto* newest = shed_longer_than(own_size + 1, weight);
    if (newest == nullptr)
    {
        return fail(errc::queue_full, "all queues are full");
    }
    return newest;
}

queue_entry*
fair_queue::shed_longer_than(std::size_t size, std::uint32_t weight)
{
    auto* longest = longest_queue();
    if (longest == nullptr ||
        !is_longer(longest->entries.size(), longest->weight, size, weight))
    {
        return nullptr;
    }
    auto& newest = longest->entries.back();
    remove(newest);
    return &newest;
}

fair_queue::customer_queue* fair_queue::longest_queue() const
{
    customer_queue* longest = nullptr;
    for (const auto& [customer, queue] : queues_)
    {
        if (longest == nullptr || is_longer(
                                      queue->entries.size(), queue->weight,
                                      longest->entries.size(), longest->weight))
        {
            longest = queue.get();
        }
    }
    return longest;
}

fair_queue::customer_queue& fair_queue::queue_of(std::string_view customer)
{
    if (const auto found = queues_.find(customer); found != queues_.end())
    {
        return *found->second;
    }
    auto created = std::make_unique<customer_queue>();
    created->customer = customer;
    auto& queue = *created;
    queues_.emplace(queue.customer, std::move(created));
    round_.push_back(queue);
    return queue;
}

void fair_queue::append(customer_queue& queue, queue_entry& entry)
{
    entry.arrival = ++arrivals_;
    queue.entries.push_back(entry);
    link(queue, entry);
}

void fair_queue::restore(
    std::string_view customer, std::uint32_t weight, queue_entry& entry)
{
    auto& queue = queue_of(customer);
    queue.weight = std::max(1U, weight);
    ++queue.deficit;
    round_.splice(round_.begin(), round_, round_.iterator_to(queue));
    const auto later = std::find_if(
        queue.entries.begin(), queue.entries.end(),
        [&entry](const queue_entry& other)
        { return other.arrival > entry.arrival; });
    queue.entries.insert(later, entry);
    link(queue, entry);
}

void fair_queue::link(customer_queue& queue, queue_entry& entry)
{
    entry.owning_queue = &queue;
    if (entry.deadline != never)
    {
        deadlines_.insert(entry);
    }
    ++size_;
}

void fair_queue::remove(queue_entry& entry)
{
    auto& queue = *static_cast<customer_queue*>(entry.owning_queue);
    queue.entries.erase(entry_list::s_iterator_to(entry));
    entry.owning_queue = nullptr;
    if (entry.by_deadline.is_linked())
    {
        deadlines_.erase(deadlines_.iterator_to(entry));
    }
    --size_;
    if (queue.entries.empty())
    {
        round_.erase(round_.iterator_to(queue));
        queues_.erase(queues_.find(queue.customer));
    }
}

queue_entry* fair_queue::pop()
{
    if (round_.empty())
    {
        return nullptr;
    }
    auto& queue = round_.front();
    if (queue.deficit == 0)
    {
        queue.deficit = queue.weight;
    }
    --queue.deficit;
    if (queue.deficit == 0)
    {
        round_.splice(round_.end(), round_, round_.iterator_to(queue));
    }
    auto& entry = queue.entries.front();
    remove(entry);
    return &entry;
}

queue_entry* fair_queue::pop_expired(time_point now)
{
    if (deadlines_.empty() || deadlines_.begin()->deadline > now)
    {
        return nullptr;
    }
    auto& entry = *deadlines_.begin();
    remove(entry);
    return &entry;
}

void fair_queue::erase(queue_entry& entry)
{
    if (entry.owning_queue != nullptr)
    {
        remove(entry);
    }
}

std::size_t fair_queue::size() const
{
    return size_;
}

std::size_t fair_queue::size_of(std::string_view customer) const
{
    const auto found = queues_.find(customer);
    return found == queues_.end() ? 0 : found->second->entries.size();
}

std::size_t fair_queue::ahead_of(std::string_view customer) const
{
    const auto own = size_of(customer);
    std::size_t ahead = 0;
    for (const auto& [name, queue] : queues_)
    {
        ahead += std::min(queue->entries.size(), own + 1);
    }
    return std::min(ahead, size_);
}

} // namespace zinniahub
