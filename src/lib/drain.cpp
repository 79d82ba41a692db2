#include <zinniahub/drain.hpp>

namespace zinniahub
{

std::string_view to_string(drain_state value)
{
    switch (value)
    {
    case drain_state::serving:
        return "serving";
    case drain_state::announcing:
        return "announcing";
    case drain_state::refusing:
        return "refusing";
    case drain_state::finished:
        return "finished";
    }
    return "unknown";
}

drain_controller::drain_controller(settings values)
    : settings_(values)
{
}

std::vector<drain_action> drain_controller::on_signal(time_point now)
{
    if (state_ != drain_state::serving)
    {
        return {};
    }
    state_ = drain_state::announcing;
    signalled_at_ = now;
    return {drain_action::announce_leaving, drain_action::set_not_serving};
}

/// Performs at most one state transition per tick: when refusing starts, the
/// counts passed to that tick may lack a request that arrived after they were
/// taken.
std::vector<drain_action> drain_controller::on_tick(
    time_point now, std::size_t open_requests, std::size_t open_transactions)
{
    if (state_ == drain_state::announcing &&
        now - signalled_at_ >= settings_.announce_time)
    {
        state_ = drain_state::refusing;
        refusing_since_ = now;
        return {drain_action::refuse_new};
    }
    const bool idle = open_requests == 0 && open_transactions == 0;
    if (state_ == drain_state::refusing &&
        (idle || now - refusing_since_ >= settings_.finish_time))
    {
        state_ = drain_state::finished;
        return {drain_action::hand_over, drain_action::exit};
    }
    return {};
}

std::optional<time_point> drain_controller::stops_at() const
{
    switch (state_)
    {
    case drain_state::serving:
        return std::nullopt;
    case drain_state::announcing:
        return signalled_at_ + settings_.announce_time + settings_.finish_time;
    default:
        return refusing_since_ + settings_.finish_time;
    }
}

} // namespace zinniahub
