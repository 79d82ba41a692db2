#pragma once

#include <zinniahub/log_position.hpp>
#include <zinniahub/time.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace zinniahub
{

/// @brief Request of the holder of the promotion duty to the hosts, about the
/// commits of one service.
struct hold_request
{
    /// Greater for each holder than for the holders before.
    std::uint64_t duty = 0;
    /// Greater for each request of a holder than for those before.
    std::uint64_t number = 0;
    /// Newest term that the holder knows.
    std::uint64_t term = 0;
    /// Member that may be promoted; empty to end the hold.
    std::string candidate;

    friend bool operator==(const hold_request&, const hold_request&) = default;
};

/// @brief Answer of a host to a `hold_request`. From then on it holds.
struct hold_answer
{
    std::string host;
    std::uint64_t duty = 0;
    std::uint64_t number = 0;
    /// Highest log position that the host has passed on to clients as
    /// acknowledged.
    log_position acknowledged;
    /// Time since the host's process started.
    duration uptime{};
};

/// @brief What a host knows of the acknowledged commits of a service, and
/// whether it may pass on another one.
///
/// Every acknowledgement reaches its client through a host. So before the
/// holder of the promotion duty orders a promotion, it asks all hosts for the
/// highest position that they have passed on, and each of them promises to pass
/// on no further one unless the candidate's log holds it. The hold ends when
/// the holder ends it, or after `limit`. It leaves out what the candidate
/// acknowledges itself once it leads. An acknowledgement of a term before the
/// newest known one is not passed on, for `limit` after that became known.
///
/// A host that no holder reaches learns of an order from the durable record of
/// the replication group, which is written before the order is sent. Of request
/// and record, the one that it learned last counts, but for `contact_limit` a
/// request that names a candidate. A record without an order does not end a
/// hold.
class acknowledgement_hold
{
public:
    /// Longer than an order may be on its way.
    static constexpr duration limit = std::chrono::seconds(15);
    /// Age of a request that names a candidate up to which no record counts.
    static constexpr duration contact_limit = std::chrono::seconds(1);

    /// @return false if the request is outdated and gets no answer
    bool on_request(hold_request request, time_point now)
    {
        if (now < requested_at_ + limit &&
            std::tie(request.duty, request.number) <
                std::tie(request_.duty, request_.number))
        {
            return false;
        }
        on_term(request.term, now);
        request_ = std::move(request);
        requested_at_ = now;
        return true;
    }

    /// @brief Applies the record of the replication group.
    /// @param candidate member whose promotion was ordered; empty if there is
    /// none
    /// @param term of the primary
    void
    on_record(std::string_view candidate, std::uint64_t term, time_point now)
    {
        on_term(term, now);
        if (candidate != recorded_candidate_)
        {
            recorded_candidate_ = candidate;
            recorded_at_ = now;
        }
    }

    /// @brief Member that must have received a commit before its
    /// acknowledgement is passed on; none if it may be passed on now, empty if
    /// it may never be, because its primary was replaced.
    /// @param primary member that acknowledged the commit
    std::optional<std::string> required_member(
        std::string_view primary, log_position position, time_point now) const
    {
        if (position.term < term_ && now < term_since_ + limit)
        {
            return std::string();
        }
        // A record may be read late; the holder repeats its requests.
        const bool in_contact =
            !request_.candidate.empty() && now < requested_at_ + contact_limit;
        const bool by_record = !recorded_candidate_.empty() &&
                               recorded_at_ > requested_at_ && !in_contact;
        const auto& candidate =
            by_record ? recorded_candidate_ : request_.candidate;
        const auto since = by_record ? recorded_at_ : requested_at_;
        if (candidate.empty() || primary == candidate || now >= since + limit)
        {
            return std::nullopt;
        }
        return candidate;
    }

    /// @brief An acknowledgement is passed on to a client.
    void on_passed_on(log_position position)
    {
        acknowledged_ = std::max(acknowledged_, position);
    }

    /// @brief Candidate of the last request; empty if it ended the hold.
    std::string requested_candidate() const
    {
        return request_.candidate;
    }

    /// @brief Highest position that was passed on.
    log_position acknowledged() const
    {
        return acknowledged_;
    }

private:
    void on_term(std::uint64_t term, time_point now)
    {
        if (term > term_)
        {
            term_ = term;
            term_since_ = now;
        }
    }

    hold_request request_;
    time_point requested_at_ = time_point() - limit;
    std::string recorded_candidate_;
    time_point recorded_at_ = time_point() - limit;
    /// Newest term that is known from requests and records.
    std::uint64_t term_ = 0;
    time_point term_since_ = time_point() - limit;
    log_position acknowledged_;
};

} // namespace zinniahub
