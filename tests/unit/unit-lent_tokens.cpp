#include <zinniahub/rate_ledger.hpp>
#include <zinniahub/token_requests.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>

// The limit of one customer on several hosts that lend tokens to one another
// over an unreliable network, while hosts join, leave, are suspended, restart
// and learn late of changes of the shares.

using namespace zinniahub;
using namespace std::chrono_literals;

namespace
{

const time_point start{std::chrono::hours(1)};
constexpr rate_allowance allowance{0.1, 20, 5s};
constexpr rate_limit limit{40, 40};
constexpr std::string_view customer = "alba";
constexpr double window_limit = (40 * 5 + 40) * 1.1 + 20;

/// Shorter than in production, so that registrations end often.
constexpr duration registration_ttl = 2s;
constexpr duration read_validity = 1500ms;
constexpr duration removal_delay = read_validity + 100ms;

/// Uniform also in the first, small cases of a property.
std::size_t random_between(std::size_t from, std::size_t to)
{
    return *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(from, to));
}

std::size_t random_below(std::size_t bound)
{
    return random_between(0, bound);
}

duration random_ms(std::size_t bound)
{
    return std::chrono::milliseconds(random_below(bound));
}

constexpr duration load_period = 10s;
constexpr duration idle_time = 4s;

struct versioned_shares
{
    rate_shares shares;
    int revision = 0;
};

struct message
{
    time_point arrives_at;
    std::size_t from = 0;
    std::size_t to = 0;
    bool is_reply = false;
    double count = 0;
    std::uint64_t id = 0;
};

class host
{
public:
    host(std::string name, time_point now, std::uint64_t first_id)
        : name_(std::move(name))
        , limiter_(allowance, limit, now)
        , requests_(first_id)
        , planner_(
              {.host = name_,
               .settle_time = 0ms,
               .self_assign_delay = 300ms,
               .removal_delay = removal_delay})
    {
    }

    void see(const versioned_shares& current)
    {
        if (!view_ || current.revision > view_->revision)
        {
            view_ = current;
            writing_.reset();
        }
    }
    void extend_validity(time_point until)
    {
        valid_until_ = std::max(valid_until_, until);
    }
    /// Parts that the host uses, whether it has a valid registration or not.
    part_ranges parts() const
    {
        const auto owned =
            view_ ? view_->shares.ranges_of(name_) : part_ranges{};
        return writing_
                   ? intersection(owned, *writing_, rate_shares::total_parts)
                   : owned;
    }
    bool is_valid(time_point now) const
    {
        return valid_until_ > now;
    }
    void apply(time_point now)
    {
        limiter_.set_share(
            count_portions(customer, parts()) * rate_shares::total_parts /
                portions_per_limit,
            now, valid_until_);
    }
    /// Proposes a change of the shares and stops using what it would lower.
    std::optional<share_change>
    propose(const std::set<std::string>& registered, time_point now)
    {
        if (!view_ || valid_until_ <= now)
        {
            return std::nullopt;
        }
        auto change = planner_.on_tick(registered, view_->shares, now);
        if (change)
        {
            const auto& own = change->shares.ranges_of(name_);
            // An earlier change may have been executed without a reply.
            writing_ =
                writing_
                    ? intersection(own, *writing_, rate_shares::total_parts)
                    : own;
            apply(now);
        }
        return change;
    }
    int revision() const
    {
        return view_ ? view_->revision : -1;
    }
    std::vector<std::string> keepers() const
    {
        return view_ ? view_->shares.keepers_of(customer)
                     : std::vector<std::string>{};
    }
    host_rate_limiter& limiter()
    {
        return limiter_;
    }
    token_requests& requests()
    {
        return requests_;
    }

private:
    std::string name_;
    host_rate_limiter limiter_;
    token_requests requests_;
    share_planner planner_;
    std::optional<versioned_shares> view_;
    std::optional<part_ranges> writing_;
    time_point valid_until_ = time_point::min();
};

class fleet_simulation
{
public:
    explicit fleet_simulation(std::size_t hosts)
        : registered_until_(hosts, time_point::min())
        , suspended_until_(hosts, time_point::min())
        , cut_off_until_(hosts, time_point::min())
        , steps_per_disruption_(random_between(200, 3000))
    {
        for (std::size_t number = 0; number < hosts; ++number)
        {
            hosts_.push_back(make_host(number));
            register_host(number);
        }
    }

    void step()
    {
        now_ += random_ms(25);
        deliver();
        const auto number = random_below(hosts_.size());
        if (suspended_until_[number] > now_)
        {
            return;
        }
        const auto event = random_below(steps_per_disruption_);
        if (event == 0)
        {
            restart(number);
        }
        else if (event == 1)
        {
            suspended_until_[number] = now_ + random_ms(4000);
        }
        else if (event == 2)
        {
            cut_off_until_[number] = now_ + random_ms(8000);
        }
        else
        {
            act(number);
        }
    }

    void act(std::size_t number)
    {
        const auto action = random_below(12);
        if (action < 3 && cut_off_until_[number] > now_)
        {
            return;
        }
        switch (action)
        {
        case 0:
            register_host(number);
            return;
        case 1:
            see_shares(number);
            return;
        case 2:
            change_shares(number);
            return;
        default:
            use_tokens(number);
        }
    }

    /// Tokens are collected without load for a while, and used at a high load
    /// in the rest of each period.
    bool is_busy() const
    {
        return (now_ - start) % load_period > idle_time;
    }

    void use_tokens(std::size_t number)
    {
        if (is_busy())
        {
            serve(number);
        }
        if (!is_busy() || random_below(8) == 0)
        {
            request_tokens(number);
        }
    }

    /// @brief Whether no part is in use by two hosts.
    bool has_one_user_of_each_part() const
    {
        part_ranges used;
        std::uint32_t total = 0;
        for (const auto& entry : hosts_)
        {
            if (entry.is_valid(now_))
            {
                total += entry.parts().size();
                used.add(entry.parts());
            }
        }
        return used.size() == total;
    }

    /// @brief Operations admitted in the last window.
    std::size_t taken_in_window()
    {
        while (!taken_.empty() && now_ - taken_.front() > allowance.window)
        {
            taken_.pop_front();
        }
        return taken_.size();
    }
    std::size_t total_taken() const
    {
        return total_taken_;
    }
    std::size_t total_lent() const
    {
        return total_lent_;
    }

private:
    static std::string name_of(std::size_t number)
    {
        return std::string(1, static_cast<char>('a' + number));
    }
    static std::size_t number_of(const std::string& name)
    {
        return static_cast<std::size_t>(name.front() - 'a');
    }

    host make_host(std::size_t number)
    {
        // Ids of one process are never reached by another one.
        return {name_of(number), now_, 1'000'000ULL * ++processes_};
    }

    std::set<std::string> registered() const
    {
        std::set<std::string> names;
        for (std::size_t number = 0; number < hosts_.size(); ++number)
        {
            if (registered_until_[number] > now_)
            {
                names.insert(name_of(number));
            }
        }
        return names;
    }

    /// Renews the registration. A host whose registration has ended reads the
    /// shares back before it uses any.
    void register_host(std::size_t number)
    {
        if (registered_until_[number] <= now_)
        {
            hosts_[number].see(current_);
        }
        registered_until_[number] = now_ + registration_ttl;
        if (random_below(4) == 0)
        {
            return; // The reply is lost.
        }
        hosts_[number].extend_validity(now_ + registration_ttl);
        hosts_[number].apply(now_);
    }

    /// Reads the shares and the registrations.
    void see_shares(std::size_t number)
    {
        hosts_[number].see(current_);
        if (registered_until_[number] > now_)
        {
            hosts_[number].extend_validity(now_ + read_validity);
        }
        hosts_[number].apply(now_);
    }

    void restart(std::size_t number)
    {
        hosts_[number] = make_host(number);
        see_shares(number);
        register_host(number);
    }

    void change_shares(std::size_t number)
    {
        const auto names = registered();
        const auto change = hosts_[number].propose(names, now_);
        if (!change || hosts_[number].revision() != current_.revision)
        {
            return;
        }
        RC_ASSERT(change->shares.is_valid());
        for (const auto& removed : change->removed_hosts)
        {
            RC_ASSERT(!names.contains(removed));
        }
        const auto outcome = random_below(4);
        if (outcome == 0)
        {
            return; // The request is lost.
        }
        current_ = {change->shares, current_.revision + 1};
        if (outcome == 1)
        {
            return; // The reply is lost.
        }
        see_shares(number);
    }

    void serve(std::size_t number)
    {
        while (hosts_[number].limiter().try_take(now_))
        {
            taken_.push_back(now_);
            ++total_taken_;
        }
    }

    void request_tokens(std::size_t number)
    {
        auto& own = hosts_[number];
        own.requests().drop_unanswered(now_);
        // Also hosts that hold tokens request more.
        const auto wanted = static_cast<double>(random_between(1, 9));
        for (const auto& keeper : own.keepers())
        {
            if (random_below(2) == 0)
            {
                const auto id = own.requests().add(keeper, wanted, now_);
                send({now_, number, number_of(keeper), false, wanted, id});
            }
        }
    }

    /// Sends a message, which may be lost, late or repeated.
    void send(message value)
    {
        const auto fate = random_below(8);
        if (fate == 0)
        {
            return;
        }
        value.arrives_at = now_ + random_ms(fate == 1 ? 400 : 20);
        in_transit_.push_back(value);
        if (fate == 2)
        {
            value.arrives_at += random_ms(400);
            in_transit_.push_back(value);
        }
    }

    /// A suspended host reads its messages when it wakes up.
    void deliver()
    {
        std::vector<message> arrived;
        std::erase_if(
            in_transit_,
            [&](const message& value)
            {
                const bool due = value.arrives_at <= now_ &&
                                 suspended_until_[value.to] <= now_;
                if (due)
                {
                    arrived.push_back(value);
                }
                return due;
            });
        for (const auto& value : arrived)
        {
            receive(value);
        }
    }

    void receive(const message& value)
    {
        auto& target = hosts_[value.to];
        if (!value.is_reply)
        {
            const auto given = target.limiter().give(value.count, now_);
            send({now_, value.to, value.from, true, given, value.id});
            return;
        }
        const auto answer = target.requests().on_reply(value.id, value.count);
        if (answer)
        {
            total_lent_ += static_cast<std::size_t>(answer->count);
            target.limiter().receive(answer->count, now_, answer->requested_at);
            if (is_busy() && random_below(3) > 0)
            {
                serve(value.to);
            }
        }
    }

    time_point now_ = start;
    std::vector<host> hosts_;
    std::vector<time_point> registered_until_;
    std::vector<time_point> suspended_until_;
    /// The host reaches other hosts, but not the store.
    std::vector<time_point> cut_off_until_;
    /// Between restarts, between suspensions, and between losses of the store.
    std::size_t steps_per_disruption_;
    versioned_shares current_;
    std::vector<message> in_transit_;
    std::uint64_t processes_ = 0;
    std::deque<time_point> taken_;
    std::size_t total_taken_ = 0;
    std::size_t total_lent_ = 0;
};

} // namespace

// Guards against exceeding the limit in a window by lent tokens, repeated or
// late messages, or parts that two hosts use at the same time.
TEST(lent_tokens, all_hosts_together_keep_the_limit)
{
    std::size_t taken = 0;
    std::size_t lent = 0;
    std::size_t highest = 0;
    EXPECT_TRUE(rc::check(
        [&]
        {
            fleet_simulation fleet(random_between(2, 9));
            for (int step = 0; step < 2500; ++step)
            {
                fleet.step();
                RC_ASSERT(fleet.has_one_user_of_each_part());
                const auto in_window = fleet.taken_in_window();
                highest = std::max(highest, in_window);
                RC_ASSERT(static_cast<double>(in_window) <= window_limit);
            }
            taken += fleet.total_taken();
            lent += fleet.total_lent();
        }));
    // The simulation comes close to the limit and lends tokens.
    EXPECT_GT(static_cast<double>(highest), 0.8 * window_limit);
    EXPECT_GT(taken, 10'000U);
    EXPECT_GT(lent, 1'000U);
}

// Guards against using a lent token later than the refill accounts for.
TEST(lent_tokens, expire)
{
    host_rate_limiter limiter(allowance, limit, start);
    limiter.receive(2, start + 10ms, start);
    EXPECT_TRUE(limiter.try_take(start + lent_token_validity - 1ms));
    EXPECT_FALSE(limiter.try_take(start + lent_token_validity));
}

// Guards against using a share that may belong to another host, for example
// after a suspension.
TEST(lent_tokens, share_ends_with_the_registration)
{
    host_rate_limiter limiter(allowance, limit, start);
    limiter.set_share(rate_shares::total_parts, start, start + 1s);
    EXPECT_TRUE(limiter.try_take(start + 999ms));
    EXPECT_FALSE(limiter.try_take(start + 1s));
    EXPECT_EQ(limiter.give(5, start + 1s), 0);
}

// Guards against a reply that is counted twice or brings more than requested.
TEST(token_requests, reply_counts_once)
{
    token_requests requests(7);
    const auto id = requests.add("a", 2, start);
    EXPECT_FALSE(requests.on_reply(id + 1, 2));
    const auto answer = requests.on_reply(id, 3);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->count, 2);
    EXPECT_EQ(answer->requested_at, start);
    EXPECT_FALSE(requests.on_reply(id, 2));
}

// Guards against waiting for hosts that do not answer.
TEST(token_requests, reports_hosts_that_do_not_answer)
{
    token_requests requests(7);
    requests.add("a", 2, start);
    EXPECT_EQ(requests.count_since(8ms, start + 7ms), 2);
    EXPECT_EQ(requests.count_since(8ms, start + 8ms), 0);
    EXPECT_TRUE(requests.drop_unanswered(start + 100ms).empty());
    EXPECT_EQ(
        requests.drop_unanswered(start + lent_token_validity),
        std::vector<std::string>{"a"});
    EXPECT_EQ(requests.size(), 0U);
}

// Guards against portions that are owned by two hosts or by none.
TEST(part_ranges, each_portion_has_one_owner)
{
    rate_shares shares;
    shares.by_host = {
        {"a", part_ranges({{0, 2500}, {9000, 10000}})},
        {"b", part_ranges({{2500, 9000}})}};
    ASSERT_TRUE(shares.is_valid());
    for (const auto* name : {"alba", "bea", "zoe"})
    {
        EXPECT_EQ(
            count_portions(name, shares.ranges_of("a")) +
                count_portions(name, shares.ranges_of("b")),
            portions_per_limit);
    }
    shares.by_host["c"] = part_ranges({{8999, 9001}});
    EXPECT_FALSE(shares.is_valid());
}

// Guards against hosts that place portions differently on another architecture
// or in another build.
TEST(part_ranges, portions_lie_at_fixed_parts)
{
    EXPECT_EQ(part_of_portion("", 0), 14695981039346656037ULL % 10000);
    EXPECT_EQ(part_of_portion("a", 0), 0xaf63dc4c8601ec8cULL % 10000);
}

// Guards against assigning ranges while a host of an earlier version may use a
// share without ranges.
TEST(share_planner, waits_for_shares_without_ranges)
{
    share_planner planner({.host = "a"});
    rate_shares shares;
    shares.without_ranges = {"a", "b", "gone"};
    const std::set<std::string> hosts{"a", "b"};
    const auto change = planner.on_tick(hosts, shares, start);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->removed_hosts, std::vector<std::string>{"gone"});
    EXPECT_TRUE(change->shares.without_ranges.contains("b"));
    EXPECT_EQ(change->shares.sum(), 0U);
    EXPECT_FALSE(planner.on_tick(hosts, change->shares, start + 1s));
}
