#include <zinniahub/acknowledgement_survey.hpp>

#include <algorithm>
#include <set>

namespace zinniahub
{

void acknowledgement_survey::reset(std::uint64_t duty)
{
    *this = {};
    request_.duty = duty;
}

void acknowledgement_survey::set_hosts(
    const std::vector<std::string>& hosts, time_point now)
{
    const std::set<std::string_view> known(hosts.begin(), hosts.end());
    const auto lost = std::erase_if(
        hosts_,
        [&known](const auto& entry) { return !known.contains(entry.first); });
    if (lost > 0)
    {
        host_lost_at_ = now;
    }
    for (const auto& host : hosts)
    {
        hosts_.try_emplace(host);
    }
}

void acknowledgement_survey::hold(
    std::string_view candidate, std::uint64_t term, time_point now)
{
    if (request_.candidate == candidate && request_.term == term)
    {
        return;
    }
    request_.candidate = candidate;
    request_.term = term;
    start_request(now);
}

void acknowledgement_survey::release(std::uint64_t term, time_point now)
{
    if (request_.candidate.empty() && request_.number > 0)
    {
        return;
    }
    request_.candidate.clear();
    request_.term = term;
    start_request(now);
}

void acknowledgement_survey::start_request(time_point now)
{
    ++request_.number;
    since_ = now;
    for (auto& [name, host] : hosts_)
    {
        host.next_request = now;
    }
}

void acknowledgement_survey::on_answer(
    const hold_answer& answer, time_point now)
{
    const auto found = hosts_.find(answer.host);
    if (found == hosts_.end() || answer.duty != request_.duty ||
        answer.number != request_.number)
    {
        return;
    }
    found->second.answered = answer.number;
    found->second.answered_at = now;
    found->second.started_at = now - answer.uptime;
    acknowledged_ = std::max(acknowledged_, answer.acknowledged);
}

std::vector<std::string> acknowledgement_survey::due_hosts(time_point now)
{
    const bool releasing = request_.candidate.empty();
    std::vector<std::string> due;
    if (request_.number == 0 || (releasing && now - since_ >= release_limit))
    {
        return due;
    }
    for (auto& [name, host] : hosts_)
    {
        const bool promised = host.answered == request_.number;
        if (now < host.next_request || (releasing && promised))
        {
            continue;
        }
        host.next_request = now + (promised ? renew_interval : repeat_interval);
        due.push_back(name);
    }
    return due;
}

std::size_t acknowledgement_survey::promised(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        hosts_.begin(), hosts_.end(),
        [this, now](const auto& entry)
        { return has_promised(entry.second, now); }));
}

bool acknowledgement_survey::all_promised(time_point now) const
{
    return promised(now) == hosts_.size();
}

bool acknowledgement_survey::is_complete_since(
    time_point since, time_point now) const
{
    return has_hosts() && host_lost_at_ < since &&
           std::all_of(
               hosts_.begin(), hosts_.end(),
               [this, since, now](const auto& entry)
               {
                   const auto& host = entry.second;
                   return has_promised(host, now) && host.started_at < since;
               });
}

} // namespace zinniahub
