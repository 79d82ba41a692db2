#include <zinniahub/membership.hpp>
#include <zinniahub/sampler_choice.hpp>

namespace zinniahub
{

sampler_choice::sampler_choice(std::string_view service)
    : service_id_(stable_id(service))
{
}

void sampler_choice::set_hosts(
    const std::string& own, const std::vector<std::string>& other_hosts)
{
    own_ = own;
    auto hosts = other_hosts;
    hosts.push_back(own);
    order_.clear();
    for (const auto index : rendezvous_order(service_id_, hosts))
    {
        order_.push_back(hosts[index]);
    }
    passed_over_until_.clear();
}

bool sampler_choice::is_passed_over(
    const std::string& host, time_point now) const
{
    const auto found = passed_over_until_.find(host);
    return found != passed_over_until_.end() && now < found->second;
}

sampler_choice::decision sampler_choice::next(time_point now)
{
    if (asked_)
    {
        if (now - asked_at_ < reply_timeout)
        {
            return {action::wait, {}};
        }
        passed_over_until_[*asked_] = now + retry_interval;
        asked_.reset();
        ++unanswered_;
    }
    if (unanswered_ >= max_unanswered)
    {
        unanswered_ = 0;
        return {action::sample, {}};
    }
    for (const auto& host : order_)
    {
        if (is_passed_over(host, now))
        {
            continue;
        }
        if (host == own_)
        {
            break;
        }
        asked_ = host;
        asked_at_ = now;
        return {action::ask, host};
    }
    return {action::sample, {}};
}

void sampler_choice::on_reply()
{
    asked_.reset();
    unanswered_ = 0;
}

void sampler_choice::on_sample_failed(time_point now)
{
    passed_over_until_[own_] = now + retry_interval;
}

} // namespace zinniahub
