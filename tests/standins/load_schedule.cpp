#include "standins/load_schedule.hpp"

#include <algorithm>

namespace zinniahub::load
{

namespace
{

constexpr double flood_factor = 10;
/// Time after which a concentrated customer moves to another proxy.
constexpr std::chrono::seconds move_interval{5};

double uniform(std::mt19937_64& random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

arrival_schedule::arrival_schedule(
    const deployment& environment, std::vector<flood> floods,
    std::uint64_t seed)
    : environment_(environment)
    , floods_(std::move(floods))
    , streams_(environment.customers.size())
{
    for (std::size_t i = 0; i < streams_.size(); ++i)
    {
        std::seed_seq mixed{seed, static_cast<std::uint64_t>(i)};
        streams_[i].random.seed(mixed);
        streams_[i].tokens = environment.customers[i].burst;
        advance(i);
    }
}

void arrival_schedule::advance(std::size_t customer)
{
    auto& arrivals = streams_[customer];
    double load = environment_.customers[customer].load;
    for (const auto& wave : floods_)
        if (wave.customer == customer && arrivals.next_at >= wave.begin &&
            arrivals.next_at < wave.end)
            // The flood is ten times the customer's rate, not its usual load.
            load = environment_.customers[customer].rate * flood_factor;
    arrivals.next_at += from_seconds(
        std::exponential_distribution<double>(load)(arrivals.random));
}

bool arrival_schedule::take_tokens(
    std::size_t customer, const statement_class& kind)
{
    auto& arrivals = streams_[customer];
    const auto& plan = environment_.customers[customer];
    const auto elapsed =
        std::chrono::duration<double>(arrivals.next_at - arrivals.filled_at);
    arrivals.tokens =
        std::min(plan.burst, arrivals.tokens + elapsed.count() * plan.rate);
    arrivals.filled_at = arrivals.next_at;
    if (arrivals.tokens < kind.tokens())
        return false;
    arrivals.tokens -= kind.tokens();
    return true;
}

const statement_class* arrival_schedule::choose_class(std::size_t customer)
{
    const auto& mix = environment_.customers[customer].mix;
    double total = 0;
    for (const auto& [kind, weight] : mix)
        total += weight;
    auto left = uniform(streams_[customer].random) * total;
    for (const auto& [kind, weight] : mix)
    {
        left -= weight;
        if (left < 0)
            return kind;
    }
    return mix.back().first;
}

arrival_schedule::arrival arrival_schedule::next()
{
    const auto first = std::min_element(
        streams_.begin(), streams_.end(),
        [](const auto& left, const auto& right)
        { return left.next_at < right.next_at; });
    arrival found;
    found.customer = static_cast<std::size_t>(first - streams_.begin());
    found.offset = first->next_at;
    found.session =
        first->random() % environment_.customers[found.customer].sessions;
    found.request.kind = choose_class(found.customer);
    found.request.number = ++count_;
    found.request.random = first->random();
    found.request.proxy_move_count =
        static_cast<std::uint64_t>(first->next_at / move_interval);
    found.request.inside_rate =
        take_tokens(found.customer, *found.request.kind);
    advance(found.customer);
    return found;
}

} // namespace zinniahub::load
