#pragma once

#include <zinniahub/fair_queue.hpp>
#include <zinniahub/rate_share.hpp>
#include <zinniahub/time.hpp>

#include <boost/intrusive/list.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Requests of one service that wait for a member: which ones may wait,
/// and which one is served next.
///
/// Handles bursts of 1.7 to 2.6 times the usual requests for some seconds, a
/// customer with several times its usual requests, a third of the members that
/// carry all requests, twice the usual clients after hosts were killed, and a
/// primary that is missing for seconds.
///
/// Requests for the primary and reads wait in separate lanes. Within a lane,
/// priorities have weighted shares, customers of one priority equal shares, and
/// requests of one customer the order of arrival. Each release of capacity is
/// granted to one waiting request, which keeps its place until it has taken the
/// capacity or gives up.
class admission_queue
{
public:
    enum class lane : std::uint8_t
    {
        primary,
        read
    };

    struct settings
    {
        /// Maximum number of waiting requests. Beyond it, the newest request of
        /// the customer with the most is refused.
        std::size_t max_waiting = 2048;
        /// Shares of priorities 0, 1, and of each further one.
        std::array<std::uint32_t, 3> priority_weights{8, 3, 1};
        /// Shares of the lanes `primary` and `read` in the releases of the
        /// primary. Reads may have no other member.
        std::array<std::uint32_t, 2> lane_weights{3, 1};
        /// A request is refused if its expected wait is longer than this factor
        /// times its limit. The rate is an estimate, and a request that waits
        /// in vain costs less than one that is refused without need.
        double refusal_factor = 1.25;
        /// Requests that must have been served within the last second while
        /// others waited, and the minimum time for which some must have waited,
        /// before the rate is used.
        std::size_t min_served = 8;
        duration min_measured_time = std::chrono::milliseconds(100);
        /// Maximum number of requests to which one release is offered, one
        /// after the other.
        unsigned max_offers = 4;
        /// Time after which a refused request should be repeated, if the queue
        /// does not tell.
        duration default_retry_delay = std::chrono::milliseconds(200);
        duration min_retry_delay = std::chrono::milliseconds(20);
        duration max_retry_delay = std::chrono::seconds(2);
    };

    /// @brief A request that may wait. Leaves the queue when it is destroyed.
    class ticket : public queue_entry
    {
    public:
        ticket(lane where, std::uint32_t priority, std::string_view customer)
            : lane_(where)
            , priority_(priority)
            , customer_(customer)
        {
        }
        ~ticket();
        ticket(const ticket&) = delete;
        ticket& operator=(const ticket&) = delete;

        bool is_waiting() const
        {
            return owner_ != nullptr;
        }
        /// @brief True while the request may take capacity that was released.
        bool is_granted() const
        {
            return granted_;
        }

    private:
        friend class admission_queue;

        lane lane_;
        std::uint32_t priority_;
        std::string customer_;
        /// The queue in which the request waits, or nullptr.
        admission_queue* owner_ = nullptr;
        bool granted_ = false;
        /// Last release that was granted to the request, whether the primary
        /// released, and the number of requests to which it was offered before.
        std::uint64_t release_ = 0;
        bool at_primary_ = false;
        unsigned offers_ = 0;
    };

    enum class decision : std::uint8_t
    {
        admitted,
        /// The request could not be served before its limit.
        too_long,
        full
    };

    struct verdict
    {
        decision outcome = decision::admitted;
        /// None if the rate is not known.
        std::optional<duration> expected_wait;
        /// Request that no longer waits, to make room.
        ticket* shed = nullptr;
    };

    admission_queue()
        : admission_queue(settings{})
    {
    }
    explicit admission_queue(settings values)
        : settings_(values)
    {
    }
    ~admission_queue();
    admission_queue(const admission_queue&) = delete;
    admission_queue& operator=(const admission_queue&) = delete;

    /// @brief Adds a request at the end of its customer's queue, unless it
    /// cannot be served in time.
    /// @param limit time until which the request can wait
    /// @complexity linear in waiting customers
    verdict join(ticket& entry, time_point limit, time_point now);

    /// @brief A member can run one more statement.
    /// @return the request that may use it, or nullptr
    /// @complexity amortised constant
    ticket* on_release(bool at_primary);

    /// @brief A request to which a release was granted cannot use it. The
    /// request goes back to its place.
    /// @return the request to which the release is granted instead, or nullptr
    ticket* pass_on(ticket& entry);

    /// @brief A waiting request takes capacity and leaves the queue.
    /// @return another request that may take capacity, or nullptr
    ticket* on_taken(ticket& entry, time_point now);

    /// @brief A request takes capacity without having waited. While others
    /// wait, it counts towards the rate: one request may wait long for reasons
    /// of its own while the others hardly wait.
    void on_taken_at_once(lane where, std::uint32_t priority, time_point now);

    /// @brief A request that has taken capacity could not use it after all and
    /// goes back to its place.
    void put_back(ticket& entry);

    /// @brief A request gives up.
    /// @return the request to which its release is granted instead, or nullptr
    ticket* leave(ticket& entry);

    /// @brief True if a request must not take capacity now, because a release
    /// was granted to another request that has not yet run.
    bool must_yield(lane where, const ticket* entry);

    /// @brief Time until a new request would be served; none if the rate is
    /// not known.
    std::optional<duration> expected_wait(
        lane where, std::uint32_t priority, std::string_view customer,
        time_point now);

    /// @brief Time after which a refused request should be repeated: when the
    /// requests that wait now have been served.
    duration retry_delay(
        lane where, std::uint32_t priority, std::string_view customer,
        time_point now);

    std::size_t waiting() const
    {
        return lanes_[0].load.waiting + lanes_[1].load.waiting;
    }
    std::size_t waiting(lane where) const
    {
        return at(where).load.waiting;
    }

private:
    /// Share of a kind of request in the releases, by stride scheduling: the
    /// kind with the lowest `used` is next.
    struct share
    {
        std::uint64_t used = 0;
        std::uint64_t stride = 1;
    };
    /// Requests that wait, including those with a release, and how fast they
    /// are served while some wait.
    struct backlog
    {
        std::size_t waiting = 0;
        time_point busy_since = never;
        sliding_window_counter served;
    };
    struct priority_queue
    {
        explicit priority_queue(std::size_t max_entries)
            : entries({max_entries, max_entries})
        {
        }
        fair_queue entries;
        share part;
        backlog load;
    };
    struct lane_state
    {
        std::map<std::uint32_t, priority_queue> priorities;
        /// `used` of the priority that was served last.
        std::uint64_t priority_clock = 0;
        share part;
        backlog load;
        /// Requests that wait without a release.
        std::size_t queued = 0;
    };

    lane_state& at(lane where)
    {
        return lanes_[static_cast<std::size_t>(where)];
    }
    const lane_state& at(lane where) const
    {
        return lanes_[static_cast<std::size_t>(where)];
    }
    std::uint32_t weight_of(std::uint32_t priority) const;
    priority_queue& queue_of(lane_state& state, std::uint32_t priority);
    ticket* make_room(const ticket& entry);
    void append(ticket& entry, time_point now);
    lane_state* next_lane(bool at_primary);
    ticket* pop(bool at_primary);
    /// Undoes `pop`.
    void restore(ticket& entry);
    ticket* grant(std::uint64_t release, bool at_primary, unsigned offers);
    void unlink(ticket& entry);
    void count(const ticket& entry);
    void uncount(const ticket& entry);
    static void begin_backlog(backlog& load, time_point now);
    std::optional<double> rate_of(backlog& load, time_point now) const;
    std::size_t ahead_of(
        const lane_state& state, std::uint32_t priority,
        std::string_view customer) const;

    settings settings_;
    std::array<lane_state, 2> lanes_;
    /// `used` of the lane that was served last by the primary.
    std::uint64_t lane_clock_ = 0;
    boost::intrusive::list<queue_entry> granted_;
    std::size_t granted_at_primary_ = 0;
    /// A request has yielded to one in `granted_`.
    bool yielded_ = false;
    std::uint64_t release_ = 0;
};

/// @brief Spreads the delays of refused requests by their ids between once and
/// 1.5 times the base, so that their repetitions make no second peak.
duration spread_retry_delay(duration base, std::string_view request_id);

} // namespace zinniahub
