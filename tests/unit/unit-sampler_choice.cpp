#include <zinniahub/sampler_choice.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <set>

namespace
{

using namespace zinniahub;
using namespace std::chrono_literals;

using action = sampler_choice::action;

const time_point start{1h};

/// Hosts that need a position of one primary every 100 ms.
class simulated_hosts
{
public:
    explicit simulated_hosts(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            names_.push_back("host-" + std::to_string(index));
        }
        for (const auto& own : names_)
        {
            std::vector<std::string> others;
            for (const auto& name : names_)
            {
                if (name != own)
                {
                    others.push_back(name);
                }
            }
            choices_.emplace_back("ledger").set_hosts(own, others);
        }
    }

    const std::vector<std::string>& names() const
    {
        return names_;
    }

    /// Hosts that sample in the last second of `length`.
    /// @param reaches whether the second host answers the first one
    std::set<std::string> samplers(
        duration length,
        const std::function<bool(const std::string&, const std::string&)>&
            reaches)
    {
        std::set<std::string> sampling;
        for (duration at{}; at < length; at += 100ms)
        {
            for (std::size_t index = 0; index < names_.size(); ++index)
            {
                const auto decision = choices_[index].next(start + at);
                if (decision.next == action::sample && at >= length - 1s)
                {
                    sampling.insert(names_[index]);
                }
                if (decision.next == action::ask &&
                    reaches(names_[index], decision.host))
                {
                    choices_[index].on_reply();
                }
            }
        }
        return sampling;
    }

private:
    std::vector<std::string> names_;
    std::deque<sampler_choice> choices_;
};

bool always(const std::string&, const std::string&)
{
    return true;
}

// Guards against samples of all hosts together that grow with the number of
// hosts and take all slots of a primary.
TEST(sampler_choice, one_host_samples_however_many_there_are)
{
    for (const std::size_t count : {1U, 2U, 9U, 79U, 400U})
    {
        simulated_hosts hosts(count);
        EXPECT_EQ(hosts.samplers(3s, always).size(), 1U) << count << " hosts";
    }
}

// Guards against one host that samples for all services.
TEST(sampler_choice, services_are_spread_over_the_hosts)
{
    const std::vector<std::string> others{"host-1", "host-2", "host-3"};
    std::set<std::string> asked;
    for (int number = 0; number < 40; ++number)
    {
        sampler_choice choice("service-" + std::to_string(number));
        choice.set_hosts("host-0", others);
        asked.insert(choice.next(start).host);
    }
    EXPECT_EQ(asked, (std::set<std::string>{"", "host-1", "host-2", "host-3"}));
}

// Guards against hosts that are cut off together and all sample, or get no
// position at all.
TEST(sampler_choice, each_side_of_a_partition_has_few_samplers)
{
    simulated_hosts hosts(80);
    const auto is_left = [](const std::string& name)
    { return std::stoi(name.substr(5)) < 20; };
    const auto sampling = hosts.samplers(
        5s, [&is_left](const std::string& from, const std::string& to)
        { return is_left(from) == is_left(to); });
    std::size_t left = 0;
    for (const auto& name : sampling)
    {
        left += is_left(name) ? 1 : 0;
    }
    EXPECT_GE(left, 1U);
    EXPECT_GE(sampling.size() - left, 1U);
    EXPECT_LE(sampling.size(), 8U);
}

// Guards against a host that asks hosts without end that do not answer.
TEST(sampler_choice, host_samples_when_the_others_do_not_answer)
{
    std::vector<std::string> others;
    for (int number = 1; number < 80; ++number)
    {
        others.push_back("host-" + std::to_string(number));
    }
    std::size_t most_asked = 0;
    for (int number = 0; number < 40; ++number)
    {
        sampler_choice choice("service-" + std::to_string(number));
        choice.set_hosts("host-0", others);
        auto now = start;
        std::size_t asked = 0;
        while (choice.next(now).next == action::ask)
        {
            ASSERT_LT(++asked, 3U);
            EXPECT_EQ(choice.next(now + 1ms).next, action::wait);
            now += sampler_choice::reply_timeout;
        }
        most_asked = std::max(most_asked, asked);
    }
    EXPECT_EQ(most_asked, sampler_choice::max_unanswered);
}

// Guards against a host that is cut off from the primary and does not ask the
// hosts that reach it.
TEST(sampler_choice, sampler_that_fails_asks_another_host)
{
    sampler_choice choice("ledger");
    choice.set_hosts("host-0", {});
    EXPECT_EQ(choice.next(start).next, action::sample);
    simulated_hosts hosts(9);
    const auto first = *hosts.samplers(2s, always).begin();
    std::vector<std::string> others;
    for (const auto& name : hosts.names())
    {
        if (name != first)
        {
            others.push_back(name);
        }
    }
    choice.set_hosts(first, others);
    EXPECT_EQ(choice.next(start).next, action::sample);
    choice.on_sample_failed(start);
    EXPECT_EQ(choice.next(start).next, action::ask);
    choice.on_reply();
    EXPECT_EQ(
        choice.next(start + sampler_choice::retry_interval).next,
        action::sample);
}

} // namespace
