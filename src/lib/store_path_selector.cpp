#include <zinniahub/store_path_selector.hpp>

#include <algorithm>

namespace zinniahub
{

void store_path_selector::on_direct_answer(time_point now)
{
    answered_at_ = std::max(answered_at_, now);
    failing_since_.reset();
}

void store_path_selector::on_direct_failure(time_point sent_at, time_point now)
{
    const bool answered_since =
        answered_at_ != time_point::min() && answered_at_ >= sent_at;
    if (!answered_since && !failing_since_)
    {
        failing_since_ = std::min(sent_at, now);
    }
}

void store_path_selector::on_offer(std::string_view address, time_point now)
{
    std::erase_if(
        offers_, [&](const offer& entry)
        { return now - entry.heard_at >= settings_.offer_lifetime; });
    const auto known = std::find_if(
        offers_.begin(), offers_.end(),
        [&](const offer& entry) { return entry.address == address; });
    if (known != offers_.end())
    {
        known->heard_at = now;
    }
    else if (offers_.size() < settings_.max_offers)
    {
        offers_.push_back({std::string(address), now});
    }
}

void store_path_selector::on_relay_failure(std::string_view address)
{
    std::erase_if(
        offers_, [&](const offer& entry) { return entry.address == address; });
}

void store_path_selector::on_relay_answer(time_point now)
{
    relay_answered_at_ = std::max(relay_answered_at_, now);
}

bool store_path_selector::is_direct_lost(time_point now) const
{
    return failing_since_ &&
           (answered_at_ == time_point::min() ||
            now - *failing_since_ >= settings_.failure_tolerance);
}

std::string store_path_selector::relay(time_point now) const
{
    if (!is_direct_lost(now))
    {
        return {};
    }
    const auto found = std::find_if(
        offers_.begin(), offers_.end(),
        [&](const offer& entry)
        { return now - entry.heard_at < settings_.offer_lifetime; });
    return found == offers_.end() ? std::string{} : found->address;
}

bool store_path_selector::is_served_through_relay(time_point now) const
{
    return is_direct_lost(now) && relay_answered_at_ != time_point::min() &&
           now - relay_answered_at_ < settings_.relayed_answer_lifetime;
}

bool store_path_selector::can_offer(time_point now) const
{
    return !failing_since_ && answered_at_ != time_point::min() &&
           now - answered_at_ < settings_.offering_limit;
}

} // namespace zinniahub
