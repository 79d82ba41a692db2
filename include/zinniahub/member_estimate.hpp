#pragma once

#include <zinniahub/time.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniahub
{

/// @brief What the outcomes of a host's requests tell about one member.
///
/// Load: a member that is several times slower than the others, a member that
/// reports good health and fails 40% of its requests, or one that goes down and
/// up every 1.4 s. Health reports show none of them.
///
/// Service times and failures are exponentially weighted means over requests.
/// A member that is avoided gets few requests, so the outcome of one that comes
/// long after the last one has a higher weight.
class member_estimate
{
public:
    /// @brief A request was sent to the member.
    /// @param choice number of the request among those of the service
    void on_chosen(std::uint64_t choice, time_point now);
    /// @brief The member ran a statement.
    /// @param taken from sending the statement to its answer
    void on_answer(duration taken);
    /// @brief The member answered that a statement failed or that it is busy.
    void on_failure();
    /// @brief The member did not answer, or its connection was lost.
    void on_silence();
    /// @brief A connection was opened.
    void on_set_up(duration taken);

    /// @brief Mean time of a statement; none before there are enough answers to
    /// judge the member.
    std::optional<duration> service_time() const;
    /// @brief Fraction of requests that fail.
    double failure_rate() const
    {
        return failure_rate_;
    }
    /// @brief Mean time to open a connection.
    duration set_up_time() const
    {
        return from_seconds(set_up_s_);
    }
    /// @brief Number of requests of the service since the last one that was
    /// sent to this member.
    std::uint64_t choices_since(std::uint64_t choice) const
    {
        return choice - chosen_;
    }
    time_point chosen_at() const
    {
        return chosen_at_;
    }

private:
    double weight(double usual, double of_test) const
    {
        return is_test_ ? of_test : usual;
    }

    std::uint64_t answers_ = 0;
    double service_s_ = 0;
    double failure_rate_ = 0;
    /// Until a connection was opened, a usual time.
    double set_up_s_ = 0.012;
    /// Number and time of the last request that was sent to the member.
    std::uint64_t chosen_ = 0;
    time_point chosen_at_{};
    /// The last request came long after the one before.
    bool is_test_ = false;
};

/// @brief How a member compares with the others of its service.
enum class member_judgement
{
    usable,
    slow,
    failing
};

std::string_view to_string(member_judgement value);

/// @brief Compares the members that may run a request.
class member_comparison
{
public:
    /// @brief Adds a member; null if this host has no estimate of it.
    void add(const member_estimate* member);

    /// @brief Compares a member with the best of those added.
    member_judgement judge(const member_estimate& member) const;

    /// @brief Expected time to an answer.
    /// @param in_work requests of this host at the member
    /// @param set_ups connections to open before
    duration expected_time(
        const member_estimate* member, std::uint32_t in_work,
        unsigned set_ups) const;

    /// @brief True if a request should test a member that is not usable. It is
    /// tested by one request at a time, the more rarely the worse it is, and by
    /// a small part of the requests.
    /// @param choice number of the request
    bool is_test_due(
        const member_estimate& member, std::uint32_t in_work,
        std::uint64_t choice, time_point now) const;

private:
    double mean_service_s() const;

    double best_service_s_ = 0;
    double service_sum_s_ = 0;
    unsigned measured_ = 0;
    double best_failure_rate_ = 1;
};

} // namespace zinniahub
