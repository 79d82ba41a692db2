#include <zinniahub/usage_report_planner.hpp>

#include <algorithm>

namespace zinniahub
{

void usage_report_planner::on_duty_taken(time_point now)
{
    holding_ = true;
    taken_at_ = now;
    state_ = record_state::unread;
    record_ = {};
    revision_ = 0;
    new_record_after_.reset();
    store_busy_ = false;
    sending_ = false;
    next_store_call_ = now;
    // A late call of the holder before should arrive before one with a higher
    // token.
    next_report_ = now + settings_.takeover_delay;
    refused_token_ = 0;
}

void usage_report_planner::on_duty_lost()
{
    holding_ = false;
}

void usage_report_planner::on_fixed_elsewhere(std::uint64_t window)
{
    fixed_through_ = std::max(fixed_through_, window);
}

void usage_report_planner::adopt(
    const usage_record& record, std::uint64_t revision)
{
    // A record that was written before a confirmation still holds the window.
    const auto settled =
        std::max(record.settled_through, record_.settled_through);
    record_ = record;
    record_.settled_through = settled;
    std::erase_if(
        record_.fixed, [settled](const usage_report& report)
        { return report.window <= settled; });
    revision_ = revision;
    state_ = record_state::known;
    on_fixed_elsewhere(record_.fixed_through());
}

void usage_report_planner::on_record_read(
    std::optional<usage_record> record, std::uint64_t revision)
{
    store_busy_ = false;
    if (record)
    {
        adopt(*record, revision);
        return;
    }
    state_ = record_state::missing;
    revision_ = 0;
}

void usage_report_planner::on_record_unreadable(std::uint64_t revision)
{
    store_busy_ = false;
    new_record_after_.reset();
    state_ = record_state::unreadable;
    revision_ = revision;
}

void usage_report_planner::on_read_failed(time_point now)
{
    store_busy_ = false;
    next_store_call_ = now + settings_.retry_interval;
}

void usage_report_planner::on_written(
    const usage_record& record, std::uint64_t revision)
{
    store_busy_ = false;
    adopt(record, revision);
}

void usage_report_planner::on_write_failed(time_point now)
{
    store_busy_ = false;
    state_ = record_state::unread;
    next_store_call_ = now + settings_.retry_interval;
}

void usage_report_planner::on_answer(
    std::uint64_t window, usage_answer answer, std::uint64_t token,
    time_point now)
{
    sending_ = false;
    switch (answer)
    {
    case usage_answer::accepted:
        record_.settled_through = std::max(record_.settled_through, window);
        std::erase_if(
            record_.fixed, [window](const usage_report& report)
            { return report.window <= window; });
        break;
    case usage_answer::token_refused:
        refused_token_ = std::max(refused_token_, token);
        break;
    case usage_answer::unknown:
        next_report_ = now + settings_.retry_interval;
        break;
    }
}

std::uint64_t usage_report_planner::last_closed(const inputs& given)
{
    if (!new_record_after_)
    {
        // The unreadable record may hold each window that has begun.
        new_record_after_ = state_ == record_state::unreadable
                                ? settings_.windows.at(given.time_of_day)
                                : given.first_window;
    }
    return std::max(*new_record_after_, fixed_through_);
}

void usage_report_planner::skip(
    usage_action::write_record& action, const inputs& given)
{
    const auto present = settings_.windows.at(given.time_of_day);
    if (state_ != record_state::known)
    {
        action.record = {.settled_through = last_closed(given)};
        action.skipped = 1;
        action.skipped_through = action.record.settled_through;
        action.skip_reason = state_ == record_state::unreadable
                                 ? "record_unreadable"
                                 : "no_record";
    }
    const auto closed = action.record.fixed_through();
    if (action.record.fixed.empty() && closed + 1 + max_usage_windows < present)
    {
        action.record.settled_through = present - max_usage_windows - 1;
        action.skipped = action.record.settled_through - closed;
        action.skipped_through = action.record.settled_through;
        action.skip_reason = "too_old";
    }
}

bool usage_report_planner::is_due(
    std::uint64_t window, const inputs& given) const
{
    const auto age = settings_.windows.age(window, given.time_of_day);
    if (age < usage_settle_time)
    {
        return false;
    }
    // 0.6 of the delay; the rest is for the record and the report.
    return age >= settings_.delay * 3 / 5 ||
           given.collection.is_complete(window, given.registered);
}

std::optional<usage_action::write_record>
usage_report_planner::next_write(const inputs& given)
{
    if (given.now - taken_at_ < settings_.takeover_delay)
    {
        return std::nullopt;
    }
    const auto present = settings_.windows.at(given.time_of_day);
    usage_action::write_record action{.record = record_, .revision = revision_};
    skip(action, given);
    auto window = action.record.fixed_through() + 1;
    // The counts of older windows are kept no longer.
    while (action.record.fixed.size() < settings_.max_fixed &&
           window + max_usage_windows >= present && is_due(window, given))
    {
        auto sum =
            given.collection.sum(window, given.registered, given.is_known);
        action.record.fixed.push_back({window, sum.counts});
        action.fixed.push_back(
            {window, std::move(sum),
             settings_.windows.age(window, given.time_of_day)});
        ++window;
    }
    return action.fixed.empty() ? std::nullopt
                                : std::optional(std::move(action));
}

std::optional<usage_action::send_report>
usage_report_planner::next_report(const inputs& given)
{
    if (record_.fixed.empty() || given.now < next_report_ ||
        given.token <= refused_token_)
    {
        return std::nullopt;
    }
    return usage_action::send_report{record_.fixed.front(), given.token};
}

std::vector<usage_step> usage_report_planner::on_tick(const inputs& given)
{
    std::vector<usage_step> steps;
    if (!holding_)
    {
        return steps;
    }
    if (!store_busy_ && given.now >= next_store_call_)
    {
        if (state_ == record_state::unread)
        {
            store_busy_ = true;
            steps.emplace_back(usage_action::read_record{});
        }
        else if (auto action = next_write(given))
        {
            store_busy_ = true;
            steps.emplace_back(std::move(*action));
        }
    }
    if (!sending_)
    {
        if (auto action = next_report(given))
        {
            sending_ = true;
            steps.emplace_back(std::move(*action));
        }
    }
    return steps;
}

} // namespace zinniahub
