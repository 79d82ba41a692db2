#include <zinniahub/member_estimate.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

/// Answers before a member is judged by its service time, so that a single
/// long statement does not count for much.
constexpr std::uint64_t min_answers = 8;

/// Weights of one outcome. With 0.05 the mean of exponentially distributed
/// times varies by 16%.
constexpr double answer_weight = 0.05;
constexpr double failure_weight = 0.05;
/// A member that does not answer probably fails all its requests.
constexpr double silence_weight = 0.15;

/// Weights of the outcome of a test. A member that has recovered is usable
/// after a few tests; one that fails 40% rarely is.
constexpr double test_answer_weight = 0.5;
constexpr double test_failure_weight = 0.25;

/// A member is slow if its service time is above the best one by this factor
/// and by this time.
constexpr double slow_factor = 2;
constexpr double slow_margin_s = 0.005;

/// A member is failing if its failure rate is above the best one by this much.
constexpr double failing_margin = 0.1;

/// Statements that a member runs at the same time.
constexpr double slots = 4;

/// Bound of the failure rate in the expected time.
constexpr double max_failure_rate = 0.9;

/// A member is tested by at most one in this many requests.
constexpr std::uint64_t choices_per_test = 16;
constexpr duration min_test_interval = std::chrono::milliseconds(250);
constexpr duration max_test_interval = std::chrono::seconds(2);
/// Added to the interval of a member that fails all requests.
constexpr duration failing_test_interval = std::chrono::seconds(4);
/// A request on the way for longer than this does not keep others from testing.
constexpr duration max_test_time = std::chrono::seconds(2);

void blend(double& mean, double value, double weight)
{
    mean += weight * (value - mean);
}

} // namespace

void member_estimate::on_chosen(std::uint64_t choice, time_point now)
{
    is_test_ = answers_ > 0 && choices_since(choice) >= choices_per_test;
    chosen_ = choice;
    chosen_at_ = now;
}

void member_estimate::on_answer(duration taken)
{
    ++answers_;
    const auto usual = std::max(answer_weight, 1.0 / double(answers_));
    blend(
        service_s_, to_seconds(taken),
        std::max(usual, weight(0, test_answer_weight)));
    blend(failure_rate_, 0, weight(failure_weight, test_failure_weight));
}

void member_estimate::on_failure()
{
    blend(failure_rate_, 1, weight(failure_weight, test_failure_weight));
}

void member_estimate::on_silence()
{
    blend(failure_rate_, 1, weight(silence_weight, test_failure_weight));
}

void member_estimate::on_set_up(duration taken)
{
    blend(set_up_s_, to_seconds(taken), answer_weight);
}

std::optional<duration> member_estimate::service_time() const
{
    if (answers_ < min_answers)
    {
        return std::nullopt;
    }
    return from_seconds(service_s_);
}

std::string_view to_string(member_judgement value)
{
    switch (value)
    {
    case member_judgement::usable:
        return "usable";
    case member_judgement::slow:
        return "slow";
    case member_judgement::failing:
        return "failing";
    }
    return "unknown";
}

void member_comparison::add(const member_estimate* member)
{
    const auto failure_rate = member == nullptr ? 0 : member->failure_rate();
    best_failure_rate_ = std::min(best_failure_rate_, failure_rate);
    const auto measured =
        member == nullptr ? std::nullopt : member->service_time();
    if (measured)
    {
        const auto service_s = to_seconds(*measured);
        best_service_s_ =
            measured_ == 0 ? service_s : std::min(best_service_s_, service_s);
        service_sum_s_ += service_s;
        ++measured_;
    }
}

double member_comparison::mean_service_s() const
{
    return measured_ == 0 ? 0 : service_sum_s_ / measured_;
}

member_judgement member_comparison::judge(const member_estimate& member) const
{
    if (member.failure_rate() > best_failure_rate_ + failing_margin)
    {
        return member_judgement::failing;
    }
    const auto measured = member.service_time();
    const auto slow_from_s = std::max(
        slow_factor * best_service_s_, best_service_s_ + slow_margin_s);
    const bool is_slow =
        measured && measured_ > 0 && to_seconds(*measured) > slow_from_s;
    return is_slow ? member_judgement::slow : member_judgement::usable;
}

duration member_comparison::expected_time(
    const member_estimate* member, std::uint32_t in_work,
    unsigned set_ups) const
{
    const auto estimate = member == nullptr ? member_estimate{} : *member;
    const auto measured = estimate.service_time();
    const auto service_s = measured ? to_seconds(*measured) : mean_service_s();
    const auto succeeding =
        1 - std::min(estimate.failure_rate(), max_failure_rate);
    const auto queued = 1 + in_work / slots;
    return from_seconds(
        service_s / succeeding * queued +
        set_ups * to_seconds(estimate.set_up_time()));
}

bool member_comparison::is_test_due(
    const member_estimate& member, std::uint32_t in_work, std::uint64_t choice,
    time_point now) const
{
    const auto since = now - member.chosen_at();
    if (member.choices_since(choice) < choices_per_test ||
        (in_work > 0 && since < max_test_time))
    {
        return false;
    }
    auto interval = min_test_interval;
    switch (judge(member))
    {
    case member_judgement::usable:
        return false;
    case member_judgement::slow:
        interval = std::min<duration>(
            max_test_interval,
            from_seconds(
                to_seconds(min_test_interval) *
                to_seconds(member.service_time().value_or(duration::zero())) /
                std::max(best_service_s_, slow_margin_s)));
        break;
    case member_judgement::failing:
        interval += from_seconds(
            member.failure_rate() * to_seconds(failing_test_interval));
        break;
    }
    return since >= interval;
}

} // namespace zinniahub
