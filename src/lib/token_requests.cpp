#include <zinniahub/rate_ledger.hpp>
#include <zinniahub/token_requests.hpp>

#include <algorithm>
#include <utility>

namespace zinniahub
{

std::uint64_t
token_requests::add(std::string keeper, double count, time_point now)
{
    const auto id = next_id_++;
    open_.push_back({id, std::move(keeper), count, now});
    return id;
}

std::optional<token_requests::answer>
token_requests::on_reply(std::uint64_t id, double count)
{
    const auto found = std::find_if(
        open_.begin(), open_.end(),
        [id](const entry& request) { return request.id == id; });
    if (found == open_.end())
    {
        return std::nullopt;
    }
    answer value{
        std::move(found->keeper), std::min(count, found->count),
        found->sent_at};
    open_.erase(found);
    return value;
}

std::vector<std::string> token_requests::drop_unanswered(time_point now)
{
    std::vector<std::string> silent;
    std::erase_if(
        open_,
        [&](const entry& request)
        {
            const bool expired = now - request.sent_at >= lent_token_validity;
            if (expired)
            {
                silent.push_back(request.keeper);
            }
            return expired;
        });
    return silent;
}

double token_requests::count_since(duration age, time_point now) const
{
    double total = 0;
    for (const auto& request : open_)
    {
        total += now - request.sent_at < age ? request.count : 0;
    }
    return total;
}

} // namespace zinniahub
